"""The operators' deadline settings and the statistics of hand-over checks, of one dispatcher."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..deadlines.handover_checks import HandOverStatistics
from ..deadlines.retry_budget import RetryBudget
from ..deadlines.settings import DeadlineSettings, TimeoutStart

if TYPE_CHECKING:
    from ..deadlines.stage_latencies import StageLatencies

NS_PER_MS = 1_000_000
# Part of a request's timeout that is reserved for the network, where it is not learned.
DEFAULT_ANSWER_MARGIN_NS = 10 * NS_PER_MS


class DeadlineControls:
    """Deadline settings in force; replaced at a reload, read for each request.

    Attributes:
        settings: The deadline settings of the operators.
        margin_ns: Part of each request's timeout that is reserved for the network, to the broker
            and back to the client.
        stages: Latencies of each stage; None where operators neither see nor learn from them.
        retry_budget: Bounds retries; None where operators set no bound.
        statistics: Counts of what hand-over checks have stopped and of cancellations' outcomes.
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
        """Return how long the broker may take for a request that is admitted now, in nanoseconds.

        Args:
            stated_ms: The client's timeout. A request is accounted for until then, so that the
                deadline of the class bounds it.
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
        """Return lines of the Prometheus text format; empty where stages are not recorded."""
        if self.stages is None:
            return b""
        # Imported here: the module needs an optional package, which `run` must not load.
        from ..deadlines.metrics import render_deadline_metrics

        return render_deadline_metrics(
            self.statistics, self.stages, self.margin_ns, self.retry_budget
        )
