"""Dispatch of attempts: their orders and the accounting of their work. Performs no I/O."""

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

# Below this load a latency is the run time of the request without contention.
UNCONTENDED_THREADS_PER_CORE = 1.0
# A dispatch grants this multiple of the estimated memory; more would make other requests spill.
MEMORY_GRANT_FACTOR = 1.2
# Priorities of the endpoints' protocol, by run time: below the shortest latency objective of any
# class, below the longest, and above. The lowest is for requests that exceed a tenant's quota.
HIGH_PRIORITY = 3
MEDIUM_PRIORITY = 2
LOW_PRIORITY = 1
OVER_QUOTA_PRIORITY = 0


class AttemptDispatcher:
    """Orders attempts, and accounts for their work from dispatch to end."""

    __slots__ = ("active_settings", "affinity", "capacity", "eligibility", "orders", "pool")

    def __init__(
        self,
        active_settings: ActiveSettings,
        pool: EndpointPool,
        eligibility: Eligibility,
        capacity: CapacityCheck,
        affinity: DataSetAffinity,
        orders: OrderBuffer,
    ) -> None:
        """Store the collaborators."""
        self.active_settings = active_settings
        self.pool = pool
        self.eligibility = eligibility
        self.capacity = capacity
        self.affinity = affinity
        self.orders = orders

    def dispatch(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> Attempt | None:
        """Order an attempt and account for it at the request, the endpoint and the pool.

        The eligibility is checked here once more, so that no attempt breaks the contract, however
        the endpoint was chosen. Returns None if the endpoint is not eligible.
        """
        if not self.eligibility.allows(now_ns, request, endpoint):
            return None
        if request.attempts_started > 0:
            self.eligibility.record_retry(now_ns)
        else:
            self.capacity.record_first_attempt(request)
        attempt = self._start(now_ns, request, endpoint)
        self._reserve(now_ns, request, endpoint, attempt)
        return attempt

    def release(
        self, now_ns: int, request: Request, endpoint: TrackedEndpoint, attempt: Attempt
    ) -> None:
        """Remove the work of an attempt that has ended from the endpoint and the pool."""
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
            endpoint.load() < UNCONTENDED_THREADS_PER_CORE
            and not endpoint.is_under_pressure(now_ns),
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
        request.maybe_executed.append(attempt)  # until its result proves that it did not run
        return attempt

    def _reserve(
        self, now_ns: int, request: Request, endpoint: TrackedEndpoint, attempt: Attempt
    ) -> None:
        spec = request.spec
        endpoint.in_flight[request.id, attempt.number] = attempt
        if len(endpoint.in_flight) == 1:
            # No answer was due until now: the time without an answer begins here.
            endpoint.last_activity_ns = max(endpoint.last_activity_ns, now_ns)
        self.pool.add_outstanding(now_ns, endpoint, attempt.backlog_ns, spec.threads)
        if spec.is_load:
            self.affinity.add_loads(endpoint, request.data_set, 1)
        endpoint.threads_since_report += spec.threads
        endpoint.next_trial_ns = now_ns + TRIAL_INTERVAL_NS
        if now_ns < endpoint.warmup_ends_ns:
            endpoint.warmup_work.add(now_ns, request.work_ns)

    def _order_options(self, request: Request) -> None:
        settings = self.active_settings.settings
        if settings.priorities or settings.memory_grants:
            memory_mb = MEMORY_GRANT_FACTOR * request.memory_mb
            self.orders.add(DispatchOptions(request.id, self._priority(request), memory_mb))

    def _priority(self, request: Request) -> int:
        """Return the priority of a request; shorter requests have a higher priority."""
        if request.over_quota:
            return OVER_QUOTA_PRIORITY
        run_time_ns = request.run_time()
        if run_time_ns < self.active_settings.shortest_objective_ns:
            return HIGH_PRIORITY
        if run_time_ns < self.active_settings.longest_objective_ns:
            return MEDIUM_PRIORITY
        return LOW_PRIORITY


def _latest_start(request: Request) -> int:
    """Return when an attempt must have arrived completely.

    For a retry with an idempotency key, this is when the endpoints forget the key.
    """
    if request.maybe_executed and request.spec.effect is Effect.IDEMPOTENCY_KEY:
        return request.maybe_executed[0].dispatched_ns + request.spec.idempotency_window_ns
    return request.deadline_ns
