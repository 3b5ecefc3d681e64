"""A data engine's machine: cores that its queries share, a warm-up, and a ledger of what ran when.
Pure.

Processor sharing: a query gets its threads' worth of cores while there are enough, else its part of
them. A machine that starts is at `cold_from` of its pace and warm after `cold`; one that is sent
more than `fall_multiple` times what it can do within `fall` falls over and stays down.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

S = 1_000_000_000


@dataclass(slots=True)
class Run:
    """One line of the ledger; ``ended`` 0: it had not ended. Work in thread-nanoseconds."""

    id: bytes
    cls: bytes
    statement: bytes
    begun: int
    work: float
    threads: int
    ended: int = 0
    left: float = 0.0
    nonce: str = ""


@dataclass(slots=True)
class Machine:
    cores: int = 8
    started: int = 0  # 0: long ago
    cold_from: float = 0.36
    cold: int = 12 * S
    fall: int = 3 * S // 2
    fall_multiple: float = 2.0
    sessions: int = 64
    slow: float = 1.0  # every query takes so many times its work
    ledger: list[Run] = field(default_factory=list)
    running: dict[bytes, Run] = field(default_factory=dict)
    fallen: bool = False
    arrived: deque[tuple[int, float]] = field(default_factory=deque)
    now: int = 0

    def pace(self, now: int) -> float:
        """Share of its capacity."""
        if not self.started or now >= self.started + self.cold:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, now - self.started) / self.cold

    def arrive(
        self,
        now: int,
        id: bytes,
        cls: bytes,
        statement: bytes,
        work: float,
        threads: int,
        nonce: str = "",
    ) -> bool:
        """Take a query; False: the engine is full, and it never ran."""
        self.pass_time(now)
        if self.started and now < self.started + self.cold:
            self.arrived.append((now, work))
            while self.arrived[0][0] <= now - self.fall:
                self.arrived.popleft()
            budget = self.fall_multiple * self.pace(now) * self.cores * self.fall
            if sum(w for _, w in self.arrived) > budget:
                self.fallen = True
        if len(self.running) >= self.sessions or id in self.running:
            return False
        run = Run(id, cls, statement, now, work, threads, left=work * self.slow, nonce=nonce)
        self.ledger.append(run)
        self.running[id] = run
        return True

    def rates(self, now: int) -> Iterator[tuple[Run, float]]:
        """Thread-nanoseconds a nanosecond that each query gets."""
        wanted = sum(r.threads for r in self.running.values())
        part = min(1.0, self.cores / wanted) * self.pace(now) if wanted else 0.0
        for run in self.running.values():
            yield run, run.threads * part

    def pass_time(self, now: int) -> list[Run]:
        """What has ended by now. Between two calls the pace is that of the first."""
        ended = []
        for run, rate in list(self.rates(self.now)):
            run.left -= rate * (now - self.now)
            if run.left <= 1.0:
                run.ended = now
                del self.running[run.id]
                ended.append(run)
        self.now = now
        return ended

    def next_end(self, now: int) -> int | None:
        """When the first of them ends, at the present pace."""
        ends = [now + int(run.left / rate) + 1 for run, rate in self.rates(now) if rate > 0]
        return min(ends, default=None)

    def drop(self, now: int, id: bytes) -> list[Run]:
        """An `undo` that is honoured; gives what had ended before it."""
        ended = self.pass_time(now)
        if (run := self.running.pop(id, None)) is not None:
            run.ended = now
        return ended

    def report(self) -> str:
        threads = sum(r.threads for r in self.running.values())
        return f"inflight:{len(self.running)};util:{min(1.0, threads / self.cores):.3f}"
