"""Eligibility of an endpoint for a request: the rules of the contract and the endpoint's health.

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

# No retry is dispatched in the last ticks of an idempotency window: its first byte must leave
# within the window.
IDEMPOTENCY_MARGIN_TICKS = 2


class RetryBudget:
    """Limits the attempts after the first to a fraction of the arrivals within a window.

    Attributes:
        arrivals: Requests that have arrived within the window.
        retries: Attempts after the first within the window.
    """

    __slots__ = ("active_settings", "arrivals", "retries")

    def __init__(self, active_settings: ActiveSettings) -> None:
        """Start with an empty window."""
        self.active_settings = active_settings
        self.arrivals = SlidingSum(active_settings.contract.retry_budget_window_ns)
        self.retries = SlidingSum(active_settings.contract.retry_budget_window_ns)

    def apply_settings(self) -> None:
        """Apply the window of the current settings."""
        window_ns = self.active_settings.contract.retry_budget_window_ns
        self.arrivals.span_ns = window_ns
        self.retries.span_ns = window_ns

    def allows(self, now_ns: int) -> bool:
        """Whether the budget allows one more retry; without a window there is no limit."""
        contract = self.active_settings.contract
        budget = contract.retry_budget_free
        budget += contract.retry_budget_ratio * self.arrivals.sum_at(now_ns)
        return contract.retry_budget_window_ns <= 0 or self.retries.sum_at(now_ns) + 1 <= budget


class Eligibility:
    """Decides whether a request may be dispatched to an endpoint, without regard to load."""

    __slots__ = ("active_settings", "key_queues", "outliers", "pool", "retry_budget", "slow_start")

    def __init__(
        self,
        active_settings: ActiveSettings,
        pool: EndpointPool,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        key_queues: KeyQueues,
        retry_budget: RetryBudget,
    ) -> None:
        """Store the collaborators."""
        self.active_settings = active_settings
        self.pool = pool
        self.slow_start = slow_start
        self.outliers = outliers
        self.key_queues = key_queues
        self.retry_budget = retry_budget

    def allows(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Whether the contract and the endpoint's health let a request be dispatched to it now."""
        attempts = request.attempts_started
        key = request.key
        return (
            not request.finished
            and self.pool.is_open(endpoint)  # ready in the list and not disabled
            and attempts < self.active_settings.limits.max_attempts
            and self._effect_allows(now_ns, request, endpoint)  # no double effect
            and _placement_allows(request.spec, endpoint.entry)  # zones and kinds
            and (key is None or self.key_queues.may_dispatch(now_ns, key, request))
            and (attempts == 0 or self.retry_budget.allows(now_ns))
            and self.slow_start.allows(now_ns, endpoint, request.work_ns)
            and self.outliers.allows(now_ns, request, endpoint)
        )

    def record_retry(self, now_ns: int) -> None:
        """Count an attempt after the first against the retry budget."""
        self.retry_budget.retries.add(now_ns)

    def _effect_allows(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Whether a request may run at an endpoint after its earlier attempts."""
        is_idempotent = request.spec.effect is Effect.IDEMPOTENT
        if request.in_flight:
            may_hedge = self.active_settings.limits.hedging and is_idempotent
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
        first_attempt = request.maybe_executed[0]
        margin_ns = IDEMPOTENCY_MARGIN_TICKS * self.active_settings.settings.tick_ns
        if now_ns - first_attempt.dispatched_ns >= spec.idempotency_window_ns - margin_ns:
            return False
        if spec.idempotency_scope is IdempotencyScope.ALL:
            return True
        first_endpoint = self.pool.endpoints.get(first_attempt.endpoint)
        if first_endpoint is None or first_endpoint.entry.zone != endpoint.entry.zone:
            return False
        is_same_cell = first_endpoint.entry.cell == endpoint.entry.cell
        return spec.idempotency_scope is IdempotencyScope.ZONE or is_same_cell


def _placement_allows(spec: RequestClass, entry: EndpointEntry) -> bool:
    """Whether a class may run in the endpoint's zone and on its kind."""
    if spec.allowed_zones and entry.zone not in spec.allowed_zones:
        return False
    return not spec.allowed_kinds or entry.kind in spec.allowed_kinds
