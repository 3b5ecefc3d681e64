"""Dispatch of an attempt: its orders, and its accounting. Performs no I/O."""

from __future__ import annotations

from .accounting import Attempt
from .active_settings import ActiveSettings
from .capacity_check import CapacityCheck
from .data_set_affinity import DataSetAffinity
from .eligibility import Eligibility
from .endpoint_pool import EndpointPool
from .open_requests import Request
from .order_buffer import OrderBuffer
from .orders import Dispatch, DispatchOptions
from .outlier_detection import TRIAL_INTERVAL_NS
from .settings import Effect
from .tracked_endpoint import TrackedEndpoint

# Load in threads a core below which a latency shows what a request costs by itself.
UNCONTENDED_LOAD = 1.0
# Multiple of the estimated memory that is granted; more would make other requests spill.
MEMORY_GRANT_MARGIN = 1.2
# Priorities of the endpoints' protocol: the shortest requests, those up to the longest objective,
# the others, and what exceeds its tenant's quota.
HIGH_PRIORITY = 3
MEDIUM_PRIORITY = 2
LOW_PRIORITY = 1
OVER_QUOTA_PRIORITY = 0


class AttemptDispatcher:
    """Orders attempts, and accounts for them from their dispatch to their end."""

    __slots__ = ("active", "affinity", "capacity", "eligibility", "orders", "pool")

    def __init__(
        self,
        active: ActiveSettings,
        pool: EndpointPool,
        eligibility: Eligibility,
        capacity: CapacityCheck,
        affinity: DataSetAffinity,
        orders: OrderBuffer,
    ) -> None:
        """Take the collaborators."""
        self.active = active
        self.pool = pool
        self.eligibility = eligibility
        self.capacity = capacity
        self.affinity = affinity
        self.orders = orders

    def dispatch(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> Attempt | None:
        """Order an attempt and account for it at the request, the endpoint and the pool.

        The rules are checked here once more, so that nothing is dispatched against them, however
        the endpoint was chosen; returns None where they forbid it.
        """
        if not self.eligibility.allows(now_ns, request, endpoint):
            return None
        if request.attempts_started > 0:
            self.eligibility.record_retry(now_ns)
        else:
            self.capacity.record(request)
        attempt = self._start(now_ns, request, endpoint)
        self._reserve(now_ns, request, endpoint, attempt)
        return attempt

    def release(
        self, now_ns: int, request: Request, endpoint: TrackedEndpoint, attempt: Attempt
    ) -> None:
        """Release what an attempt that has ended had reserved at the endpoint and the pool."""
        spec = request.spec
        del endpoint.in_flight[request.id, attempt.number]
        self.pool.add_outstanding(now_ns, endpoint, -attempt.backlog_ns, -spec.threads)
        if spec.is_load:
            self.affinity.add_loads(endpoint, request.data_set, -1)

    def _start(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> Attempt:
        number = endpoint.entry.endpoint
        attempt = Attempt(
            request.attempts_started,
            number,
            now_ns,
            endpoint.backlog_of(request.work_ns),
            endpoint.load() < UNCONTENDED_LOAD and not endpoint.is_pressed(now_ns),
            endpoint.ejected,
        )
        if attempt.number == 0:
            self._order_options(request)
        timeout_ns = request.deadline_ns - now_ns
        latest_start_ns = _latest_start(request)
        self.orders.add(Dispatch(request.id, attempt.number, number, timeout_ns, latest_start_ns))
        request.attempts_started += 1
        request.tried_endpoints.append(number)
        request.in_flight[attempt.number] = attempt
        request.maybe_executed.append(attempt)  # until an outcome proves that it never ran
        return attempt

    def _reserve(
        self, now_ns: int, request: Request, endpoint: TrackedEndpoint, attempt: Attempt
    ) -> None:
        spec = request.spec
        endpoint.in_flight[request.id, attempt.number] = attempt
        if len(endpoint.in_flight) == 1:
            # It owed no answer until now: the time of its silence begins here.
            endpoint.last_activity_ns = max(endpoint.last_activity_ns, now_ns)
        self.pool.add_outstanding(now_ns, endpoint, attempt.backlog_ns, spec.threads)
        if spec.is_load:
            self.affinity.add_loads(endpoint, request.data_set, 1)
        endpoint.threads_since_report += spec.threads
        endpoint.next_trial_ns = now_ns + TRIAL_INTERVAL_NS
        if now_ns < endpoint.warmup_ends_ns:
            endpoint.warmup_work.add(now_ns, request.work_ns)

    def _order_options(self, request: Request) -> None:
        settings = self.active.settings
        if settings.priorities or settings.memory_grants:
            memory_mb = MEMORY_GRANT_MARGIN * request.memory_mb
            self.orders.add(DispatchOptions(request.id, self._priority(request), memory_mb))

    def _priority(self, request: Request) -> int:
        """Return the priority of a request: the shorter its run time, the higher."""
        if request.over_quota:
            return OVER_QUOTA_PRIORITY
        run_time_ns = request.run_time()
        if run_time_ns < self.active.shortest_objective_ns:
            return HIGH_PRIORITY
        if run_time_ns < self.active.longest_objective_ns:
            return MEDIUM_PRIORITY
        return LOW_PRIORITY


def _latest_start(request: Request) -> int:
    """Return when an attempt's first byte must have left, since rule 2 counts from then."""
    if request.maybe_executed and request.spec.effect is Effect.IDEMPOTENCY_KEY:
        return request.maybe_executed[0].dispatched_ns + request.spec.idempotency_window_ns
    return request.deadline_ns
