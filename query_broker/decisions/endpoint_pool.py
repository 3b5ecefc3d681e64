"""The endpoints that this broker knows, their limit together, and the subset that it uses.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import replace

from .accounting import FadingMean, SlidingSum
from .active_settings import ActiveSettings
from .concurrency_limit import THREADS_PER_CORE, PoolConcurrencyLimit
from .events import (
    AdministrativeChange,
    CoProcessLoad,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    OutstandingWork,
)
from .period_clock import PERIOD_NS
from .tracked_endpoint import NO_OUTSTANDING_WORK, TrackedEndpoint

# Wanted mean delay of the pool, in latency objectives: an overload by all brokers together shows in
# the delays late, so the pool's objective is below that of an endpoint.
POOL_DELAY_OBJECTIVE = 0.5
# Threads a core of the pool's quota; below an endpoint's, since the pool does not count attempts
# that still run at an endpoint after their timeout.
POOL_THREADS_PER_CORE = 1.5
# Time constant of the pool's mean of our threads: several run times.
POOL_MEMORY_NS = 3 * PERIOD_NS
# Endpoints that one broker of a large fleet uses: few, so that it has many outcomes of each.
SUBSET_SIZE = 10
# The fractional parts of its multiples are spread evenly from 0 to 1, for any number of brokers.
GOLDEN_RATIO_CONJUGATE = (5**0.5 - 1) / 2
# Lists that name every endpoint there is; what they leave out has been removed.
COMPLETE_LISTS = frozenset({ListUpdateKind.FULL, ListUpdateKind.CACHED})


class EndpointPool:
    """The table of endpoints, with what follows from all of them together.

    Attributes:
        endpoints: By number. One that the list has removed stays until its last outcome.
        disabled: Endpoints that operators have disabled, whatever the list says.
        limit: The bound over all endpoints, which counts in a large fleet.
        subset: Endpoints that this broker uses; all that are not warming up in a small fleet.
        warming: Endpoints in warm-up, which a large fleet uses in turns.
        turn_owners: Number of brokers that share a turn on an endpoint in warm-up.
        large_fleet: Whether the quota at an average endpoint is less than one request of the class
            with the most threads.
        ejects_by_health_check: Whether health checks take the place of trial requests: in a large
            fleet, where the settings allow health checks.
    """

    __slots__ = (
        "active",
        "disabled",
        "ejects_by_health_check",
        "endpoints",
        "large_fleet",
        "limit",
        "subset",
        "turn_owners",
        "warming",
    )

    def __init__(self, active: ActiveSettings, now_ns: int) -> None:
        """Begin without endpoints."""
        self.active = active
        self.endpoints: dict[int, TrackedEndpoint] = {}
        self.disabled: set[int] = set()
        self.limit = PoolConcurrencyLimit(
            mean_threads=FadingMean(POOL_MEMORY_NS, now_ns), delay_objective=POOL_DELAY_OBJECTIVE
        )
        self.subset: list[TrackedEndpoint] = []
        self.warming: list[TrackedEndpoint] = []
        self.turn_owners = 1
        self.large_fleet = False
        self.ejects_by_health_check = False

    def is_open(self, endpoint: TrackedEndpoint) -> bool:
        """Whether list and operators let an endpoint take requests (rule 3).

        The list may call an endpoint ready that operators have disabled; no update lifts that.
        """
        entry = endpoint.entry
        return entry.state is EndpointState.READY and entry.endpoint not in self.disabled

    def update(self, now_ns: int, event: EndpointListUpdate) -> None:
        """Apply an update of the endpoint list."""
        for entry in event.entries:
            self._update_entry(now_ns, entry)
        if event.kind in COMPLETE_LISTS:
            listed = {entry.endpoint for entry in event.entries}
            for number in self.endpoints.keys() - listed:
                self.remove(number)
        self.refresh(now_ns)

    def remove(self, number: int) -> None:
        """Dispatch no more to an endpoint, and forget it once nothing is in flight."""
        endpoint = self.endpoints.get(number)
        if endpoint is None:
            return
        endpoint.entry = replace(endpoint.entry, state=EndpointState.REMOVED)
        if not endpoint.in_flight:
            del self.endpoints[number]

    def set_administrative_state(self, now_ns: int, event: AdministrativeChange) -> None:
        """Disable an endpoint by hand, or enable it again.

        An endpoint that is enabled counts as restarted: the list may show a restart late or never.
        """
        if event.disabled:
            self.disabled.add(event.endpoint)
        else:
            self.disabled.discard(event.endpoint)
            endpoint = self.endpoints.get(event.endpoint)
            if endpoint is not None:
                self._restart(now_ns, endpoint, event.at_ns)
        self.refresh(now_ns)

    def set_co_process_load(self, event: CoProcessLoad) -> None:
        """Count the outstanding work of this broker's other processes as our own.

        Two processes that each used the full quota would overload endpoints, first those in
        warm-up.
        """
        for number, endpoint in self.endpoints.items():
            previous = endpoint.co_process_work
            endpoint.co_process_work = event.outstanding.get(number, NO_OUTSTANDING_WORK)
            endpoint.threads_in_flight += endpoint.co_process_work.threads - previous.threads
            endpoint.backlog_ns += endpoint.co_process_work.backlog_ns - previous.backlog_ns

    def add_outstanding(
        self, now_ns: int, endpoint: TrackedEndpoint, backlog_ns: int, threads: int
    ) -> None:
        """Add to the outstanding work of an endpoint and of the pool; negative where it ends."""
        limit = self.limit
        endpoint.backlog_ns += backlog_ns
        endpoint.threads_in_flight += threads
        if endpoint.in_pool:
            limit.backlog_ns += backlog_ns
            limit.threads_in_flight += threads
        limit.mean_threads.record(now_ns, limit.threads_in_flight)

    def outstanding(self, now_ns: int) -> dict[int, OutstandingWork]:
        """Return the outstanding work of this process alone, by endpoint."""
        return {
            number: OutstandingWork(
                endpoint.threads_in_flight - endpoint.co_process_work.threads,
                endpoint.backlog_ns - endpoint.co_process_work.backlog_ns,
                endpoint.warmup_work.at(now_ns),
            )
            for number, endpoint in self.endpoints.items()
        }

    def avoided(self) -> int:
        """Count the listed endpoints that are disabled or ejected."""
        return sum(
            endpoint.ejected or number in self.disabled
            for number, endpoint in self.endpoints.items()
            if endpoint.entry.state is not EndpointState.REMOVED
        )

    def apply_settings(self, now_ns: int) -> None:
        """Rescale all bounds to the settings in force."""
        for endpoint in self.endpoints.values():
            self._rescale(endpoint)
        self.refresh(now_ns)

    def refresh(self, now_ns: int) -> None:
        """Recompute what follows from the state of all endpoints together.

        In a large fleet a quota is less than one request, and no endpoint's own control loop gets
        enough outcomes; the pool's does. Work on an endpoint that has been removed, is draining or
        is warming up must not count against the pool's limit.
        """
        open_endpoints = [
            endpoint for endpoint in self.endpoints.values() if self.is_open(endpoint)
        ]
        self._measure_fleet(open_endpoints)
        for endpoint in self.endpoints.values():
            is_warming = self.large_fleet and now_ns < endpoint.warmup_ends_ns
            endpoint.in_pool = self.is_open(endpoint) and not (endpoint.ejected or is_warming)
        self._measure_limit(now_ns, [endpoint for endpoint in open_endpoints if endpoint.in_pool])
        self._choose_subset(open_endpoints)

    def _measure_fleet(self, open_endpoints: list[TrackedEndpoint]) -> None:
        fleet_size = self.active.settings.fleet_size
        cores = [endpoint.cores for endpoint in open_endpoints] or [0]
        mean_threads = THREADS_PER_CORE * sum(cores) / len(cores)
        self.large_fleet = 0 < mean_threads < self.active.widest_threads * fleet_size
        # In a large fleet the trial requests of all brokers add up and overload an endpoint.
        self.ejects_by_health_check = self.large_fleet and self.active.limits.health_checks
        self.turn_owners = max(1, round(fleet_size / max(1, len(open_endpoints))))

    def _measure_limit(self, now_ns: int, members: list[TrackedEndpoint]) -> None:
        fleet_size = self.active.settings.fleet_size
        limit = self.limit
        limit.rescale(sum(endpoint.initial_bound_ns for endpoint in members))
        cores = sum(endpoint.cores for endpoint in members)
        quota = POOL_THREADS_PER_CORE * cores / fleet_size
        limit.thread_quota = quota or self.active.widest_threads
        limit.backlog_ns = sum(
            member.backlog_ns - member.co_process_work.backlog_ns for member in members
        )
        limit.threads_in_flight = sum(
            member.threads_in_flight - member.co_process_work.threads for member in members
        )
        limit.mean_threads.record(now_ns, limit.threads_in_flight)

    def _choose_subset(self, open_endpoints: list[TrackedEndpoint]) -> None:
        """Choose the endpoints that this broker uses.

        If many brokers used all endpoints, each would have few outcomes of each endpoint, and would
        lose requests at every faulty one. So each uses a few, and one more for each that is
        ejected, beginning at positions spread evenly over an order that all brokers share.
        """
        ordered = sorted(open_endpoints, key=lambda endpoint: endpoint.entry.endpoint)
        place = self.active.settings.broker_index * GOLDEN_RATIO_CONJUGATE % 1
        first = int(place * len(ordered))
        missing = SUBSET_SIZE if self.large_fleet else len(ordered)
        self.subset = []
        for endpoint in ordered[first:] + ordered[:first]:
            if missing > 0 and (endpoint.in_pool or endpoint.ejected):
                self.subset.append(endpoint)
                missing -= endpoint.in_pool
        self.warming = [
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
        cores_by_kind = dict(self.active.settings.kind_cores)
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
        fleet_size = self.active.settings.fleet_size
        threads = THREADS_PER_CORE * endpoint.cores / fleet_size
        endpoint.rescale(threads * self.active.longest_objective_ns)
        # Brokers seldom peak at the same time: each may exceed its part by one request.
        endpoint.thread_quota = threads + (1 - 1 / fleet_size) * self.active.widest_threads
        endpoint.warmup_work.span_ns = self.active.contract.overload_window_ns

    def _restart(self, now_ns: int, endpoint: TrackedEndpoint, started_ns: int) -> None:
        """Reset the endpoint, since another process runs under its number.

        It is in warm-up, and nothing that was learned of the previous process applies.
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
        warm_ns = started_ns + self.active.contract.warmup_ns
        endpoint.warmup_ends_ns = max(endpoint.warmup_ends_ns, warm_ns)
