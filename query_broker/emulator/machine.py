"""The machine of an emulated data engine: shared cores, a warm-up and a ledger of queries.

Performs no I/O. Cores are assigned by processor sharing: a query gets one core for each of its
threads while there are enough cores, else a proportional share. A machine warms up after its start;
if it gets far more work than it can do during the warm-up, it crashes and stays down.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

NS_PER_S = 1_000_000_000
#: Remaining work up to this counts as done, to absorb rounding errors of the floating-point rates.
COMPLETION_TOLERANCE_NS = 1.0


@dataclass(slots=True)
class QueryRun:
    """An entry of a machine's ledger: one run of a query.

    Attributes:
        query_id: Id of the attempt.
        request_class: Name of the request class.
        statement: The statement.
        begun_ns: When the run began.
        work_ns: The work that the statement states, in thread-nanoseconds.
        threads: The most threads that the query uses.
        ended_ns: When the run ended; 0 while it has not.
        remaining_ns: The remaining work, in thread-nanoseconds.
        idempotency_key: The key of an idempotent write; empty without one.
    """

    query_id: bytes
    request_class: bytes
    statement: bytes
    begun_ns: int
    work_ns: float
    threads: int
    ended_ns: int = 0
    remaining_ns: float = 0.0
    idempotency_key: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether all work is done; False if the run was cancelled or lost."""
        return self.remaining_ns <= COMPLETION_TOLERANCE_NS


class WorkArrival(NamedTuple):
    """The arrival time of a query and its work, in thread-nanoseconds."""

    arrived_ns: int
    work_ns: float


class ExecutionRate(NamedTuple):
    """A running query and the thread-nanoseconds of work that are done on it per nanosecond."""

    run: QueryRun
    rate: float


@dataclass(slots=True)
class Machine:
    """A set of cores and the queries that run on them.

    Attributes:
        cores: Number of cores.
        started_ns: When the machine started; 0 means long ago, so that it is warm.
        initial_fraction: The fraction of the full capacity at the start.
        warm_up_ns: Time from the start until the full capacity.
        overload_window_ns: Time window over which arriving work is summed during the warm-up.
        overload_multiple: The machine crashes if the work that arrives within the window exceeds
            this multiple of what it can do in that time.
        max_sessions: The most queries that may run at once.
        slowdown: Factor by which the work of every query is multiplied.
        ledger: The runs of all queries that began.
        running: The running queries, by id.
        crashed: Whether the machine has crashed.
        recent_arrivals: The work that arrived within the window.
        now_ns: Time up to which work has been done.
    """

    cores: int = 8
    started_ns: int = 0
    initial_fraction: float = 0.36
    warm_up_ns: int = 12 * NS_PER_S
    overload_window_ns: int = 3 * NS_PER_S // 2
    overload_multiple: float = 2.0
    max_sessions: int = 64
    slowdown: float = 1.0
    ledger: list[QueryRun] = field(default_factory=list)
    running: dict[bytes, QueryRun] = field(default_factory=dict)
    crashed: bool = False
    recent_arrivals: deque[WorkArrival] = field(default_factory=deque)
    now_ns: int = 0

    def capacity_fraction(self, now_ns: int) -> float:
        """Return the fraction of the full capacity that the machine has at this time."""
        if not self._is_warming_up(now_ns):
            return 1.0
        age_ns = max(0, now_ns - self.started_ns)
        return self.initial_fraction + (1 - self.initial_fraction) * age_ns / self.warm_up_ns

    def start_query(
        self,
        now_ns: int,
        query_id: bytes,
        request_class: bytes,
        statement: bytes,
        work_ns: float,
        threads: int,
        idempotency_key: str = "",
    ) -> bool:
        """Start a query; return False if too many queries run or one with its id runs already."""
        self.advance(now_ns)
        if self._is_warming_up(now_ns):
            self._record_arrival(now_ns, work_ns)
        if len(self.running) >= self.max_sessions or query_id in self.running:
            return False
        run = QueryRun(
            query_id,
            request_class,
            statement,
            now_ns,
            work_ns,
            threads,
            remaining_ns=work_ns * self.slowdown,
            idempotency_key=idempotency_key,
        )
        self.ledger.append(run)
        self.running[query_id] = run
        return True

    def _is_warming_up(self, now_ns: int) -> bool:
        return self.started_ns != 0 and now_ns < self.started_ns + self.warm_up_ns

    def _record_arrival(self, now_ns: int, work_ns: float) -> None:
        self.recent_arrivals.append(WorkArrival(now_ns, work_ns))
        while self.recent_arrivals[0].arrived_ns <= now_ns - self.overload_window_ns:
            self.recent_arrivals.popleft()
        capacity = self.overload_multiple * self.capacity_fraction(now_ns) * self.cores
        budget_ns = capacity * self.overload_window_ns
        if sum(arrival.work_ns for arrival in self.recent_arrivals) > budget_ns:
            self.crashed = True

    def execution_rates(self, now_ns: int) -> Iterator[ExecutionRate]:
        """Yield the rate of each running query."""
        threads = self._threads_in_use()
        fraction = 0.0
        if threads:
            fraction = min(1.0, self.cores / threads) * self.capacity_fraction(now_ns)
        for run in self.running.values():
            yield ExecutionRate(run, run.threads * fraction)

    def advance(self, now_ns: int) -> list[QueryRun]:
        """Do the work up to now and return the runs that have completed.

        The capacity is taken as constant since the last call.
        """
        ended = []
        for run, rate in list(self.execution_rates(self.now_ns)):
            run.remaining_ns -= rate * (now_ns - self.now_ns)
            if run.is_complete:
                run.ended_ns = now_ns
                del self.running[run.query_id]
                ended.append(run)
        self.now_ns = now_ns
        return ended

    def next_completion(self, now_ns: int) -> int | None:
        """Return when the next query completes at the current rates, in ns; None if none runs."""
        ends = [
            now_ns + int(run.remaining_ns / rate) + 1
            for run, rate in self.execution_rates(now_ns)
            if rate > 0
        ]
        return min(ends, default=None)

    def cancel(self, now_ns: int, query_id: bytes) -> list[QueryRun]:
        """Cancel a query and return the runs that completed before."""
        ended = self.advance(now_ns)
        run = self.running.pop(query_id, None)
        if run is not None:
            run.ended_ns = now_ns
        return ended

    def load_meter(self) -> str:
        """Return the load report in the form that the engine sends on the wire."""
        utilisation = min(1.0, self._threads_in_use() / self.cores)
        return f"inflight:{len(self.running)};util:{utilisation:.3f}"

    def _threads_in_use(self) -> int:
        return sum(run.threads for run in self.running.values())
