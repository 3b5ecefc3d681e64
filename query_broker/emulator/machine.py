"""The machine of an emulated data engine: cores that its queries share, a warm-up and a ledger.

Performs no I/O. Cores are shared as in processor sharing: a query gets as many as it has threads
while there are enough, else its part of them. A machine that has just started warms up over a
while; one that gets far more work than it can do meanwhile crashes and stays down.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

NS_PER_S = 1_000_000_000


@dataclass(slots=True)
class QueryRun:
    """One line of the ledger; ``ended`` 0: it had not ended. Work in thread-nanoseconds."""

    query_id: bytes
    request_class: bytes
    statement: bytes
    begun_ns: int
    work_ns: float
    threads: int
    ended_ns: int = 0
    remaining_ns: float = 0.0
    idempotency_key: str = ""


@dataclass(slots=True)
class Machine:
    """Cores, and the queries that run on them.

    Attributes:
        cores: Number of cores.
        started_ns: When it started; 0 means long ago, so that it is warm.
        initial_fraction: The fraction of its capacity that it has when it starts.
        warm_up_ns: Time until it has all of it.
        overload_window_ns: Time over which the work that arrives is added up while it warms up.
        overload_multiple: It crashes when more arrives than this many times what it can do.
        max_sessions: Queries that may run at once.
        slowdown: Every query takes this many times its work.
        ledger: Every query that began.
        running: The queries that run, by id.
        crashed: Whether it is down.
        recent_arrivals: Time and work of arrivals within the window.
        now_ns: Time up to which work has been done.
    """

    cores: int = 8
    started_ns: int = 0  # 0: long ago
    initial_fraction: float = 0.36
    warm_up_ns: int = 12 * NS_PER_S
    overload_window_ns: int = 3 * NS_PER_S // 2
    overload_multiple: float = 2.0
    max_sessions: int = 64
    slowdown: float = 1.0  # every query takes so many times its work
    ledger: list[QueryRun] = field(default_factory=list)
    running: dict[bytes, QueryRun] = field(default_factory=dict)
    crashed: bool = False
    recent_arrivals: deque[tuple[int, float]] = field(default_factory=deque)
    now_ns: int = 0

    def capacity_fraction(self, now: int) -> float:
        """Share of its capacity."""
        if not self.started_ns or now >= self.started_ns + self.warm_up_ns:
            return 1.0
        return (
            self.initial_fraction
            + (1 - self.initial_fraction) * max(0, now - self.started_ns) / self.warm_up_ns
        )

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
        """Take a query; False: the engine is full, and it never ran."""
        self.advance(now)
        if self.started_ns and now < self.started_ns + self.warm_up_ns:
            self.recent_arrivals.append((now, work))
            while self.recent_arrivals[0][0] <= now - self.overload_window_ns:
                self.recent_arrivals.popleft()
            budget = (
                self.overload_multiple
                * self.capacity_fraction(now)
                * self.cores
                * self.overload_window_ns
            )
            if sum(w for _, w in self.recent_arrivals) > budget:
                self.crashed = True
        if len(self.running) >= self.max_sessions or id in self.running:
            return False
        run = QueryRun(
            id,
            cls,
            statement,
            now,
            work,
            threads,
            remaining_ns=work * self.slowdown,
            idempotency_key=nonce,
        )
        self.ledger.append(run)
        self.running[query_id] = run
        return True

    def execution_rates(self, now: int) -> Iterator[tuple[QueryRun, float]]:
        """Thread-nanoseconds a nanosecond that each query gets."""
        wanted = sum(r.threads for r in self.running.values())
        part = min(1.0, self.cores / wanted) * self.capacity_fraction(now) if wanted else 0.0
        for run in self.running.values():
            yield run, run.threads * part

    def advance(self, now: int) -> list[QueryRun]:
        """What has ended by now. Between two calls the pace is that of the first."""
        ended = []
        for run, rate in list(self.execution_rates(self.now_ns)):
            run.remaining_ns -= rate * (now - self.now_ns)
            if run.remaining_ns <= 1.0:
                run.ended_ns = now
                del self.running[run.query_id]
                ended.append(run)
        self.now_ns = now
        return ended

    def next_completion(self, now: int) -> int | None:
        """When the first of them ends, at the present pace."""
        ends = [
            now + int(run.remaining_ns / rate) + 1
            for run, rate in self.execution_rates(now)
            if rate > 0
        ]
        return min(ends, default=None)

    def cancel(self, now: int, id: bytes) -> list[QueryRun]:
        """An `undo` that is honoured; gives what had ended before it."""
        ended = self.advance(now)
        if (run := self.running.pop(id, None)) is not None:
            run.ended_ns = now
        return ended

    def load_meter(self) -> str:
        threads = sum(r.threads for r in self.running.values())
        return f"inflight:{len(self.running)};util:{min(1.0, threads / self.cores):.3f}"
