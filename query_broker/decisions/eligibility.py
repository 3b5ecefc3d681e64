"""Eligibility of an endpoint for a request: rules 2 to 7 and the endpoint's health.

Performs no I/O.
"""

from __future__ import annotations

from .accounting import SlidingSum
from .active_settings import ActiveSettings
from .endpoint_pool import EndpointPool
from .events import EndpointEntry
from .key_ordering import KeyQueues
from .open_requests import Request
from .outlier_detection import OutlierDetector
from .settings import Effect, IdempotencyScope, RequestClass
from .slow_start import SlowStart
from .tracked_endpoint import TrackedEndpoint

# Ticks before the end of an idempotency window from which no retry is dispatched any more, so that
# its first byte leaves in time.
WINDOW_MARGIN_TICKS = 2


class RetryBudget:
    """Rule 7: attempts after the first, as a part of the arrivals within a window.

    Attributes:
        arrivals: Requests that have arrived within the window.
        retries: Attempts after the first within the window.
    """

    __slots__ = ("active", "arrivals", "retries")

    def __init__(self, active: ActiveSettings) -> None:
        """Begin with an empty window."""
        self.active = active
        self.arrivals = SlidingSum(active.contract.retry_budget_window_ns)
        self.retries = SlidingSum(active.contract.retry_budget_window_ns)

    def apply_settings(self) -> None:
        """Apply the window of the settings in force."""
        window_ns = self.active.contract.retry_budget_window_ns
        self.arrivals.span_ns = window_ns
        self.retries.span_ns = window_ns

    def allows(self, now_ns: int) -> bool:
        """Whether another attempt stays within the budget; without a window there is no limit."""
        contract = self.active.contract
        budget = contract.retry_budget_free
        budget += contract.retry_budget_ratio * self.arrivals.at(now_ns)
        return contract.retry_budget_window_ns <= 0 or self.retries.at(now_ns) + 1 <= budget


class Eligibility:
    """Applies the rules to a request and an endpoint."""

    __slots__ = ("active", "key_queues", "outliers", "pool", "retry_budget", "slow_start")

    def __init__(
        self,
        active: ActiveSettings,
        pool: EndpointPool,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        key_queues: KeyQueues,
        retry_budget: RetryBudget,
    ) -> None:
        """Take the collaborators."""
        self.active = active
        self.pool = pool
        self.slow_start = slow_start
        self.outliers = outliers
        self.key_queues = key_queues
        self.retry_budget = retry_budget

    def allows(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Whether a request may be dispatched to an endpoint now, whatever the load there."""
        attempts = request.attempts_started
        key = request.key
        return (
            not request.finished
            and self.pool.is_open(endpoint)  # rule 3, drains
            and attempts < self.active.limits.max_attempts
            and self._effect_allows(now_ns, request, endpoint)  # rule 2
            and _is_placed(request.spec, endpoint.entry)  # rule 6
            and (key is None or self.key_queues.may_dispatch(now_ns, key, request))  # rule 5
            and (attempts == 0 or self.retry_budget.allows(now_ns))  # rule 7
            and self.slow_start.allows(now_ns, endpoint, request.work_ns)  # rule 4
            and self.outliers.allows(now_ns, request, endpoint)
        )

    def record_retry(self, now_ns: int) -> None:
        """Count an attempt after the first against the retry budget (rule 7)."""
        self.retry_budget.retries.add(now_ns)

    def _effect_allows(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Rule 2: whether a request may run at an endpoint after its earlier attempts."""
        is_idempotent = request.spec.effect is Effect.IDEMPOTENT
        if request.in_flight:
            may_hedge = self.active.limits.hedging and is_idempotent
            if not may_hedge or len(request.in_flight) != 1:
                return False
        if is_idempotent or not request.maybe_executed:
            return True
        return self._may_repeat(now_ns, request, endpoint)

    def _may_repeat(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Whether the endpoint still knows the idempotency key of a request that may have run."""
        spec = request.spec
        if spec.effect is Effect.NON_IDEMPOTENT:
            return False
        first = request.maybe_executed[0]
        margin_ns = WINDOW_MARGIN_TICKS * self.active.settings.tick_ns
        if now_ns - first.dispatched_ns >= spec.idempotency_window_ns - margin_ns:
            return False
        if spec.idempotency_scope is IdempotencyScope.ALL:
            return True
        origin = self.pool.endpoints.get(first.endpoint)
        if origin is None or origin.entry.zone != endpoint.entry.zone:
            return False
        is_same_cell = origin.entry.cell == endpoint.entry.cell
        return spec.idempotency_scope is IdempotencyScope.ZONE or is_same_cell


def _is_placed(spec: RequestClass, entry: EndpointEntry) -> bool:
    """Rule 6: whether a class may run in the endpoint's zone and on its kind."""
    if spec.allowed_zones and entry.zone not in spec.allowed_zones:
        return False
    return not spec.allowed_kinds or entry.kind in spec.allowed_kinds
