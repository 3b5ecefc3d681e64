"""The endpoints that this broker tracks, their common limit, and the subset that it uses.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import replace

from .accounting import DecayingMean, SlidingSum
from .active_settings import ActiveSettings
from .concurrency_limit import THREADS_PER_CORE, PoolConcurrencyLimit
from .events import (
    AdministrativeChange,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    OutstandingWork,
    PeerProcessLoad,
)
from .period_clock import CONTROL_PERIOD_NS
from .tracked_endpoint import NO_OUTSTANDING_WORK, TrackedEndpoint

# Target of the pool's mean delay, in latency objectives. It is below that of an endpoint, since the
# delays show an overload by all brokers together late.
POOL_DELAY_OBJECTIVE = 0.5
# Threads a core in the pool's quota. It is below that of an endpoint, since the pool does not count
# attempts that still run at an endpoint after their timeout.
POOL_THREADS_PER_CORE = 1.5
# Time constant of the mean of the threads in flight: several run times of a request.
POOL_MEAN_TIME_CONSTANT_NS = 3 * CONTROL_PERIOD_NS
# Number of endpoints that one broker of a large fleet uses: few, so that it has many outcomes of
# each.
SUBSET_SIZE = 10
# The fractional parts of its multiples are spread evenly from 0 to 1, for any number of brokers.
GOLDEN_RATIO_CONJUGATE = (5**0.5 - 1) / 2
# Updates that contain every endpoint; an endpoint that is missing from one has been removed.
COMPLETE_LIST_KINDS = frozenset({ListUpdateKind.FULL, ListUpdateKind.CACHED})


class EndpointPool:
    """The table of endpoints, and the values that depend on all of them.

    Attributes:
        endpoints: The endpoints by number. A removed one stays until its last outcome.
        disabled: Numbers of the endpoints that operators have disabled.
        limit: The bound over all endpoints, which applies in a large fleet.
        subset: Endpoints that this broker uses; in a small fleet all that are open.
        warming_endpoints: Endpoints in warm-up, which the brokers of a large fleet use in turns.
        brokers_per_turn: Number of brokers that share a turn at an endpoint in warm-up.
        large_fleet: Whether the quota at an average endpoint is less than one request of the class
            with the most threads.
        health_checks_replace_trials: Whether ejected endpoints get health checks instead of trial
            requests: in a large fleet whose settings allow health checks.
    """

    __slots__ = (
        "active_settings",
        "disabled",
        "health_checks_replace_trials",
        "endpoints",
        "large_fleet",
        "limit",
        "subset",
        "brokers_per_turn",
        "warming_endpoints",
    )

    def __init__(self, active_settings: ActiveSettings, now_ns: int) -> None:
        """Start without endpoints."""
        self.active_settings = active_settings
        self.endpoints: dict[int, TrackedEndpoint] = {}
        self.disabled: set[int] = set()
        self.limit = PoolConcurrencyLimit(
            mean_threads=DecayingMean(POOL_MEAN_TIME_CONSTANT_NS, now_ns),
            delay_objective=POOL_DELAY_OBJECTIVE,
        )
        self.subset: list[TrackedEndpoint] = []
        self.warming_endpoints: list[TrackedEndpoint] = []
        self.brokers_per_turn = 1
        self.large_fleet = False
        self.health_checks_replace_trials = False

    def is_open(self, endpoint: TrackedEndpoint) -> bool:
        """Whether an endpoint is ready in the endpoint list and not disabled by operators.

        An update of the endpoint list does not enable an endpoint that operators have disabled.
        """
        entry = endpoint.entry
        return entry.state is EndpointState.READY and entry.endpoint not in self.disabled

    def update(self, now_ns: int, event: EndpointListUpdate) -> None:
        """Apply an update of the endpoint list."""
        for entry in event.entries:
            self._update_entry(now_ns, entry)
        if event.kind in COMPLETE_LIST_KINDS:
            listed = {entry.endpoint for entry in event.entries}
            for number in self.endpoints.keys() - listed:
                self.remove(number)
        self.refresh(now_ns)

    def remove(self, number: int) -> None:
        """Mark an endpoint as removed, and drop it if no attempt is in flight there."""
        endpoint = self.endpoints.get(number)
        if endpoint is None:
            return
        endpoint.entry = replace(endpoint.entry, state=EndpointState.REMOVED)
        if not endpoint.in_flight:
            del self.endpoints[number]

    def set_administrative_state(self, now_ns: int, event: AdministrativeChange) -> None:
        """Disable an endpoint on behalf of operators, or enable it again.

        An endpoint that is enabled again is treated as restarted, since the endpoint list may show
        a restart late or never.
        """
        if event.disabled:
            self.disabled.add(event.endpoint)
        else:
            self.disabled.discard(event.endpoint)
            endpoint = self.endpoints.get(event.endpoint)
            if endpoint is not None:
                self._restart(now_ns, endpoint, event.at_ns)
        self.refresh(now_ns)

    def set_peer_process_load(self, event: PeerProcessLoad) -> None:
        """Add the outstanding work of the broker's other processes to that of this process.

        Two processes that each used the full quota would overload endpoints, above all endpoints in
        warm-up.
        """
        for number, endpoint in self.endpoints.items():
            previous = endpoint.peer_process_work
            endpoint.peer_process_work = event.outstanding.get(number, NO_OUTSTANDING_WORK)
            endpoint.threads_in_flight += endpoint.peer_process_work.threads - previous.threads
            endpoint.backlog_ns += endpoint.peer_process_work.backlog_ns - previous.backlog_ns

    def add_outstanding(
        self, now_ns: int, endpoint: TrackedEndpoint, backlog_ns: int, threads: int
    ) -> None:
        """Add to the outstanding work of an endpoint and the pool; negative values subtract."""
        limit = self.limit
        endpoint.backlog_ns += backlog_ns
        endpoint.threads_in_flight += threads
        if endpoint.in_pool:
            limit.backlog_ns += backlog_ns
            limit.threads_in_flight += threads
        limit.mean_threads.record(now_ns, limit.threads_in_flight)

    def outstanding(self, now_ns: int) -> dict[int, OutstandingWork]:
        """Return the outstanding work of this process, without the other processes, by endpoint."""
        return {
            number: OutstandingWork(
                endpoint.threads_in_flight - endpoint.peer_process_work.threads,
                endpoint.backlog_ns - endpoint.peer_process_work.backlog_ns,
                endpoint.warmup_work.sum_at(now_ns),
            )
            for number, endpoint in self.endpoints.items()
        }

    def count_avoided_endpoints(self) -> int:
        """Count the listed endpoints that are disabled or ejected."""
        return sum(
            endpoint.ejected or number in self.disabled
            for number, endpoint in self.endpoints.items()
            if endpoint.entry.state is not EndpointState.REMOVED
        )

    def apply_settings(self, now_ns: int) -> None:
        """Rescale all bounds to the current settings."""
        for endpoint in self.endpoints.values():
            self._rescale(endpoint)
        self.refresh(now_ns)

    def refresh(self, now_ns: int) -> None:
        """Recompute the values that depend on the state of all endpoints.

        In a large fleet a broker's quota of an endpoint is less than one request, and the control
        loop of one endpoint gets too few outcomes; that of the pool gets enough. Work at an
        endpoint that is removed, draining or warming up does not count against the pool's limit.
        """
        open_endpoints = [
            endpoint for endpoint in self.endpoints.values() if self.is_open(endpoint)
        ]
        self._classify_fleet(open_endpoints)
        for endpoint in self.endpoints.values():
            is_warming = self.large_fleet and now_ns < endpoint.warmup_ends_ns
            endpoint.in_pool = self.is_open(endpoint) and not (endpoint.ejected or is_warming)
        self._recompute_limit(now_ns, [endpoint for endpoint in open_endpoints if endpoint.in_pool])
        self._choose_subset(open_endpoints)

    def _classify_fleet(self, open_endpoints: list[TrackedEndpoint]) -> None:
        fleet_size = self.active_settings.settings.fleet_size
        cores = [endpoint.cores for endpoint in open_endpoints] or [0]
        mean_threads = THREADS_PER_CORE * sum(cores) / len(cores)
        self.large_fleet = 0 < mean_threads < self.active_settings.max_request_threads * fleet_size
        # In a large fleet the trial requests of all brokers together would overload an endpoint.
        self.health_checks_replace_trials = (
            self.large_fleet and self.active_settings.limits.health_checks
        )
        self.brokers_per_turn = max(1, round(fleet_size / max(1, len(open_endpoints))))

    def _recompute_limit(self, now_ns: int, pool_endpoints: list[TrackedEndpoint]) -> None:
        fleet_size = self.active_settings.settings.fleet_size
        limit = self.limit
        limit.rescale(sum(endpoint.initial_bound_ns for endpoint in pool_endpoints))
        cores = sum(endpoint.cores for endpoint in pool_endpoints)
        quota = POOL_THREADS_PER_CORE * cores / fleet_size
        limit.thread_quota = quota or self.active_settings.max_request_threads
        limit.backlog_ns = sum(
            pool_endpoint.backlog_ns - pool_endpoint.peer_process_work.backlog_ns
            for pool_endpoint in pool_endpoints
        )
        limit.threads_in_flight = sum(
            pool_endpoint.threads_in_flight - pool_endpoint.peer_process_work.threads
            for pool_endpoint in pool_endpoints
        )
        limit.mean_threads.record(now_ns, limit.threads_in_flight)

    def _choose_subset(self, open_endpoints: list[TrackedEndpoint]) -> None:
        """Choose the endpoints that this broker uses.

        If every broker of a large fleet used all endpoints, it would have few outcomes of each, and
        would lose requests at every faulty one. So each broker uses a few endpoints, and one more
        for each of them that is ejected. All brokers sort the endpoints in the same order; their
        subsets start at positions that are spread evenly over that order.
        """
        ordered = sorted(open_endpoints, key=lambda endpoint: endpoint.entry.endpoint)
        start_fraction = self.active_settings.settings.broker_index * GOLDEN_RATIO_CONJUGATE % 1
        start_index = int(start_fraction * len(ordered))
        missing_count = SUBSET_SIZE if self.large_fleet else len(ordered)
        self.subset = []
        for endpoint in ordered[start_index:] + ordered[:start_index]:
            if missing_count > 0 and (endpoint.in_pool or endpoint.ejected):
                self.subset.append(endpoint)
                missing_count -= endpoint.in_pool
        self.warming_endpoints = [
            endpoint for endpoint in open_endpoints if not (endpoint.in_pool or endpoint.ejected)
        ]

    def _update_entry(self, now_ns: int, entry: EndpointEntry) -> None:
        if entry.state is EndpointState.REMOVED:
            self.remove(entry.endpoint)
            return
        endpoint = self.endpoints.get(entry.endpoint)
        if endpoint is None:
            endpoint = self._add(now_ns, entry)
        if entry.started_ns > endpoint.entry.started_ns:
            self._restart(now_ns, endpoint, entry.started_ns)
        endpoint.entry = entry

    def _add(self, now_ns: int, entry: EndpointEntry) -> TrackedEndpoint:
        cores_by_kind = dict(self.active_settings.settings.kind_cores)
        endpoint = TrackedEndpoint(
            entry=replace(entry, started_ns=0),
            cores=cores_by_kind.get(entry.kind) or max(1, round(entry.weight)),
            last_activity_ns=now_ns,
            warmup_work=SlidingSum(0),
        )
        self.endpoints[entry.endpoint] = endpoint
        self._rescale(endpoint)
        return endpoint

    def _rescale(self, endpoint: TrackedEndpoint) -> None:
        fleet_size = self.active_settings.settings.fleet_size
        threads = THREADS_PER_CORE * endpoint.cores / fleet_size
        endpoint.rescale(threads * self.active_settings.longest_objective_ns)
        # Brokers seldom peak at the same time: each may exceed its share by one request.
        endpoint.thread_quota = (
            threads + (1 - 1 / fleet_size) * self.active_settings.max_request_threads
        )
        endpoint.warmup_work.span_ns = self.active_settings.contract.overload_window_ns

    def _restart(self, now_ns: int, endpoint: TrackedEndpoint, started_ns: int) -> None:
        """Reset the state of an endpoint whose process has been replaced.

        Its warm-up begins, and what was learned about the previous process no longer applies.
        """
        endpoint.ejected = False
        endpoint.slowdown = 1.0
        endpoint.best_slowdown = 1.0
        endpoint.failure_rate = 0.0
        endpoint.error_rate = 0.0
        endpoint.load_report = None
        endpoint.full_until_ns = 0
        endpoint.process_started_ns = min(now_ns, started_ns)
        endpoint.last_activity_ns = max(endpoint.last_activity_ns, endpoint.process_started_ns)
        warm_ns = started_ns + self.active_settings.contract.warmup_ns
        endpoint.warmup_ends_ns = max(endpoint.warmup_ends_ns, warm_ns)
