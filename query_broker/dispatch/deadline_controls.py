"""The deadline settings in force at a dispatcher, and its statistics of hand-over checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..deadlines.handover_checks import HandOverStatistics
from ..deadlines.retry_budget import RetryBudget
from ..deadlines.settings import DeadlineSettings, TimeoutStart
from .requests import ReceiveTimes

if TYPE_CHECKING:
    from ..deadlines.stage_latencies import StageLatencies

NS_PER_MS = 1_000_000
# Part of a request's timeout that is reserved for the network if the margin is not learned.
DEFAULT_ANSWER_MARGIN_NS = 10 * NS_PER_MS


class DeadlineControls:
    """Deadline settings in force; replaced at a reload, read for each request.

    Attributes:
        settings: The deadline settings of the operators.
        margin_ns: Part of each request's timeout that is reserved for the network, to the broker
            and back to the client.
        stages: Latencies of each stage; None if operators have not enabled their recording.
        retry_budget: Limits retries; None if operators set no limit.
        statistics: Counts of attempts stopped at hand-overs and of the outcomes of cancellations.
    """

    def __init__(self) -> None:
        """Start with the defaults: no recording of stages, no retry budget."""
        self.settings = DeadlineSettings()
        self.margin_ns = DEFAULT_ANSWER_MARGIN_NS
        self.stages: StageLatencies | None = None
        self.retry_budget: RetryBudget | None = None
        self.statistics = HandOverStatistics()

    def timeout_ns(
        self, client_timeout_ms: float, class_deadline_ns: int, times: ReceiveTimes, now_ns: int
    ) -> int:
        """Return how long the broker may take for a request that is admitted now, in nanoseconds.

        Args:
            client_timeout_ms: The client's timeout. The request occupies resources until then, so
                the deadline of its class is an upper bound.
            class_deadline_ns: The deadline of the request's class.
            times: When the request was read. The time since its last byte counts, or that since
                its first byte if operators let timeouts start there.
            now_ns: The current time.
        """
        timeout_ns = min(int(client_timeout_ms * NS_PER_MS), class_deadline_ns)
        timeout_ns -= min(self.margin_ns, timeout_ns // 4)
        start_ns = times.last_byte_ns
        if self.settings.timeout_start is TimeoutStart.FIRST_BYTE:
            start_ns = times.first_byte_ns
        if not start_ns:
            return timeout_ns
        return max(1, timeout_ns - (now_ns - start_ns))

    def metrics_text(self) -> bytes:
        """Return lines of the Prometheus text format; empty if stages are not recorded."""
        if self.stages is None:
            return b""
        # Imported here because the module needs an optional package, which `run` must not load.
        from ..deadlines.metrics import render_deadline_metrics

        return render_deadline_metrics(
            self.statistics, self.stages, self.margin_ns, self.retry_budget
        )
