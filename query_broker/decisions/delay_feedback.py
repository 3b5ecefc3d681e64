"""Feedback of latencies to the control loops and the request classes. Performs no I/O."""

from __future__ import annotations

from .accounting import Attempt
from .concurrency_limit import LEARNING_RATE
from .endpoint_pool import EndpointPool
from .events import AttemptEnded, AttemptResult
from .open_requests import Request
from .period_clock import PeriodClock
from .slow_start import SlowStart
from .tracked_endpoint import TrackedEndpoint

# An attempt without an answer counts as this delay in the mean; from the design page.
TIMEOUT_DELAY_OBJECTIVES = 2.0
# Lower limit of the ratio of a latency to the expected run time: one estimate that is far too high
# must not make an endpoint look fast.
MIN_LATENCY_RATIO = 1 / 6

NO_ANSWER_RESULTS = frozenset({AttemptResult.TIMEOUT, AttemptResult.RESET})


class DelayFeedback:
    """Passes the latencies of attempts to the loops of endpoint and pool, and to the class."""

    __slots__ = ("clock", "pool", "slow_start")

    def __init__(self, pool: EndpointPool, slow_start: SlowStart, clock: PeriodClock) -> None:
        """Store the collaborators."""
        self.pool = pool
        self.slow_start = slow_start
        self.clock = clock

    def learn_from_outcome(
        self,
        now_ns: int,
        endpoint: TrackedEndpoint,
        request: Request,
        attempt: Attempt,
        event: AttemptEnded,
    ) -> None:
        """Learn from the outcome of an attempt.

        Nothing is learned from an answer to an attempt that was in flight during a stall of this
        process: its latency includes the stall, whenever the answer is read. Such latencies would
        raise the estimates of later requests, which would then be rejected under pressure.
        """
        if event.result in NO_ANSWER_RESULTS:
            endpoint.delays.append(TIMEOUT_DELAY_OBJECTIVES)
            self.pool.limit.delays.append(TIMEOUT_DELAY_OBJECTIVES)
        was_stalled = attempt.dispatched_ns < self.clock.last_stall_ns
        if event.result is AttemptResult.SERVED and not was_stalled:
            self._learn(now_ns, endpoint, request, attempt, event.latency_ns)

    def _learn(
        self,
        now_ns: int,
        endpoint: TrackedEndpoint,
        request: Request,
        attempt: Attempt,
        latency_ns: int,
    ) -> None:
        warm_latency_ns = latency_ns * self.slow_start.capacity_fraction(now_ns, endpoint)
        ratio = max(MIN_LATENCY_RATIO, warm_latency_ns / max(1, request.run_time()))
        delay = latency_ns / max(1, request.latency_objective())
        limit = self.pool.limit
        endpoint.delays.append(delay)
        endpoint.update_slowdown(ratio)
        limit.delays.append(delay)
        limit.update_slowdown(ratio)
        statistics = request.statistics
        statistics.slowdown *= (ratio / statistics.slowdown) ** LEARNING_RATE
        if attempt.uncontended:
            statistics.record_uncontended_latency(request.estimate_ns, latency_ns)
