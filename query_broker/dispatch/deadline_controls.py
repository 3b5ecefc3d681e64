"""What operators set about deadlines, and the statistics of it, for one dispatcher."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..deadlines.handover_checks import HandOverStatistics
from ..deadlines.retry_budget import RetryBudget
from ..deadlines.settings import DeadlineSettings, TimeoutStart

if TYPE_CHECKING:
    from ..deadlines.stage_latencies import StageLatencies

NS_PER_MS = 1_000_000
# Kept of a request's timeout for its way here and the answer's way back, where it is not learned.
DEFAULT_ANSWER_MARGIN_NS = 10 * NS_PER_MS


class DeadlineControls:
    """Deadline settings in force; replaced at a reload, read for each request.

    Attributes:
        settings: As operators have set them.
        margin_ns: Kept of each request's timeout for the way here and back.
        stages: Latencies of each stage; None where operators neither see nor learn from them.
        retry_budget: Bounds retries; None where operators set no bound.
        statistics: What hand-over checks have stopped and cancellation has come to.
    """

    def __init__(self) -> None:
        """Begin with the defaults: no stages, no retry budget."""
        self.settings = DeadlineSettings()
        self.margin_ns = DEFAULT_ANSWER_MARGIN_NS
        self.stages: StageLatencies | None = None
        self.retry_budget: RetryBudget | None = None
        self.statistics = HandOverStatistics()

    def timeout_ns(
        self, stated_ms: float, class_deadline_ns: int, received_ns: int, now_ns: int
    ) -> int:
        """How long the broker may take for a request that is admitted now.

        Args:
            stated_ms: The client's timeout. Accounts are kept for as long, so that the deadline of
                the class bounds it.
            class_deadline_ns: The deadline of its class.
            received_ns: When its first byte was read, 0 where that is not known. The time since
                then counts only where operators let a timeout begin with the first byte.
            now_ns: The time.
        """
        timeout_ns = min(int(stated_ms * NS_PER_MS), class_deadline_ns)
        timeout_ns -= min(self.margin_ns, timeout_ns // 4)
        if received_ns and self.settings.timeout_start is TimeoutStart.FIRST_BYTE:
            return max(1, timeout_ns - (now_ns - received_ns))
        return timeout_ns

    def metrics_text(self) -> bytes:
        """Lines of the Prometheus text format; empty where stages are not recorded."""
        if self.stages is None:
            return b""
        # Imported here: the module needs an optional package, which `run` must not load.
        from ..deadlines.metrics import render_deadline_metrics

        return render_deadline_metrics(
            self.statistics, self.stages, self.margin_ns, self.retry_budget
        )
