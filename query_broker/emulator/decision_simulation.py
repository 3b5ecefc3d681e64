"""Many brokers' decisions and their engines on one simulated clock, in one process. Pure: no
socket, no thread, no clock of the machine's; a run of a seed is the same each time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

from ..decisions.facade import (
    AttemptEnded,
    AttemptResult,
    Dispatch,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    Event,
    Facade,
    HealthCheckResult,
    ListUpdateKind,
    LoadReport,
    OrderBatch,
    Reject,
    RequestArrived,
    Settings,
)
from ..timer_wheel import TimerWheel
from .machine import Machine, Run

MS = 1_000_000
S = 1_000 * MS
WAY = MS // 2  # one way over a link
BEGIN = 100 * S  # the clock's first moment: 0 means "long ago" to a machine


class Simulation:
    """What is to happen, by its time; ``at`` takes the calls in the order in which they fall
    due.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now, self.draw = BEGIN, random.Random(seed)
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = itertools.count()

    def at(self, when: int, call: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (max(when, self.now), next(self.count), call))

    def run(self, seconds: float) -> None:
        """To so many seconds after the beginning."""
        end = BEGIN + int(seconds * S)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = end


class SimEngine:
    """A machine; ``most``: the most work that it had in hand, thread-nanoseconds."""

    def __init__(self, sim: Simulation, number: int, machine: Machine) -> None:
        self.sim, self.number, self.machine = sim, number, machine
        self.askers: dict[bytes, Callable[[AttemptResult], None]] = {}
        self.turn, self.most, self.probes = 0, 0.0, list[int]()

    def load(self) -> LoadReport:
        threads = sum(r.threads for r in self.machine.running.values())
        return LoadReport(
            utilisation=min(1.0, threads / self.machine.cores),
            inflight=float(len(self.machine.running)),
        )

    def take(
        self, id: bytes, cls: str, work: float, threads: int, done: Callable[[AttemptResult], None]
    ) -> None:
        now = self.sim.now
        self._end(self.machine.pass_time(now))
        if self.machine.fallen:
            return  # it says nothing any more
        if not self.machine.arrive(now, id, cls.encode(), id, work, threads):
            self.sim.at(now + WAY, lambda: done(AttemptResult.FULL))
            return
        self.askers[id] = done
        self.most = max(self.most, sum(r.left for r in self.machine.running.values()))
        self._look()

    def _end(self, runs: list[Run]) -> None:
        for run in runs:
            done = self.askers.pop(run.id, None)
            if done is not None and not self.machine.fallen:
                self.sim.at(self.sim.now + WAY, partial(done, AttemptResult.SERVED))

    def _look(self) -> None:
        self.turn += 1
        turn, end = self.turn, self.machine.next_end(self.sim.now)
        if end is not None:  # while it warms up its pace changes: looked at again
            self.sim.at(min(end, self.sim.now + S // 4), lambda: self._due(turn))

    def _due(self, turn: int) -> None:
        if turn == self.turn:
            self._end(self.machine.pass_time(self.sim.now))
            self._look()


class SimBroker:
    """One broker's decisions behind their facade. ``asked``: of each request when it came, its
    class, when it was answered (0: not yet), and whether an engine served it.
    """

    def __init__(
        self, sim: Simulation, settings: Settings, seed: int, engines: dict[int, SimEngine]
    ) -> None:
        self.sim, self.settings, self.engines = sim, settings, engines
        self.wheel = TimerWheel(settings.tick_ns, sim.now)
        self.facade = Facade(settings, seed, sim.now, self.wheel)
        self.asked: dict[str, tuple[int, str, int, bool]] = {}
        self.work: dict[str, tuple[float, int]] = {}
        self.pauses: list[tuple[int, int]] = []
        self.up = True
        self.outcome: Callable[[int, AttemptResult], None] | None = (
            None  # hears what becomes of attempts
        )
        self._tick()

    def _tick(self) -> None:
        if not self.up:
            return
        self.wheel.advance(self.sim.now)
        while self.facade.due:
            self._carry_out(self.facade.tick(self.sim.now))
        self.sim.at(self.sim.now + self.settings.tick_ns, self._tick)

    def kill(self) -> None:
        self.up = False

    def list_told(self) -> None:
        self.report(
            EndpointListUpdate(
                ListUpdateKind.FULL,
                tuple(
                    EndpointEntry(
                        e.number, EndpointState.READY, "a", "std", started_ns=e.machine.started
                    )
                    for e in self.engines.values()
                ),
            )
        )

    def report(self, news: Event) -> None:
        if self.up:
            self._carry_out(self.facade.report(self.sim.now, news))

    def ask(self, id: str, cls: str, work: float, threads: int, patience: int) -> None:
        self.asked[id] = (self.sim.now, cls, 0, False)
        if not self.up:
            return
        self.work[id] = (work, threads)
        self._carry_out(
            self.facade.pick(
                self.sim.now,
                RequestArrived(id, cls, patience, None, None, int(work), 10.0, 0, False),
            )
        )

    def probe(self, engine: int) -> None:
        target = self.engines[engine]

        def answer() -> None:
            if not target.machine.fallen:
                target.machine.pass_time(self.sim.now)
                target.probes.append(self.sim.now)
                load = target.load()
                self.sim.at(
                    self.sim.now + WAY,
                    lambda: self.report(
                        HealthCheckResult(engine, AttemptResult.SERVED, 2 * WAY, load)
                    ),
                )

        self.sim.at(self.sim.now + WAY, answer)

    def _carry_out(self, orders: OrderBatch) -> None:
        for send in orders.dispatches:
            self._send(send)
        for answer in orders.answers:
            came, cls, answered, served = self.asked[answer.request_id]
            self.asked[answer.request_id] = (came, cls, answered or self.sim.now, served)
            if isinstance(answer, Reject):
                self.pauses.append((self.sim.now, answer.retry_after_ns))
        for check in orders.health_checks:
            self.probe(check.endpoint)

    def _send(self, send: Dispatch) -> None:
        sent, engine = self.sim.now, self.engines[send.endpoint]
        work, threads = self.work[send.request_id]
        ended: list[AttemptResult] = []

        def done(result: AttemptResult) -> None:
            if ended:
                return
            ended.append(result)
            served = result is AttemptResult.SERVED
            if served:
                came, cls, answered, _ = self.asked[send.request_id]
                self.asked[send.request_id] = (came, cls, answered or self.sim.now, not answered)
            if self.outcome is not None:
                self.outcome(send.endpoint, result)
            load = engine.load() if result in (AttemptResult.SERVED, AttemptResult.FULL) else None
            self.report(
                AttemptEnded(
                    send.request_id,
                    send.attempt,
                    send.endpoint,
                    result,
                    self.sim.now - sent,
                    served,
                    load,
                )
            )

        id = f"{self.settings.broker_index}/{send.request_id}/{send.attempt}".encode()
        cls = self.asked[send.request_id][1]
        self.sim.at(sent + WAY, lambda: engine.take(id, cls, work, threads, done))
        self.sim.at(sent + send.timeout_ns, lambda: done(AttemptResult.TIMEOUT))
