"""Simulates the decisions of many brokers, and their engines, on one clock in one process.

Performs no I/O, and reads no clock of the machine: a run with the same seed is the same each time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

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
from .machine import Machine, QueryRun

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
LINK_LATENCY_NS = NS_PER_MS // 2  # one way over a link
BEGIN_NS = 100 * NS_PER_S  # the clock's first moment: 0 means "long ago" to a machine


class Simulation:
    """A simulated clock with its scheduled calls.

    Attributes:
        now_ns: The present time.
        random: The one source of random numbers.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now_ns, self.random = BEGIN_NS, random.Random(seed)
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = itertools.count()

    def call_at(self, when: int, call: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (max(when, self.now_ns), next(self.count), call))

    def run(self, seconds: float) -> None:
        """To so many seconds after the beginning."""
        end = BEGIN_NS + int(seconds * NS_PER_S)
        while self.heap and self.heap[0][0] <= end:
            self.now_ns, _, call = heapq.heappop(self.heap)
            call()
        self.now_ns = end


class SimulatedEngine:
    """A machine; ``most``: the most work that it had in hand, thread-nanoseconds."""

    def __init__(self, sim: Simulation, number: int, machine: Machine) -> None:
        self.simulation, self.number, self.machine = sim, number, machine
        self.completions: dict[bytes, Callable[[AttemptResult], None]] = {}
        self.timer_generation, self.peak_work_ns, self.health_checks_ns = 0, 0.0, list[int]()

    def load_report(self) -> LoadReport:
        threads = sum(r.threads for r in self.machine.running.values())
        return LoadReport(
            utilisation=min(1.0, threads / self.machine.cores),
            inflight=float(len(self.machine.running)),
        )

    def execute(
        self, id: bytes, cls: str, work: float, threads: int, done: Callable[[AttemptResult], None]
    ) -> None:
        now = self.simulation.now_ns
        self._end(self.machine.advance(now))
        if self.machine.crashed:
            return  # it says nothing any more
        if not self.machine.start_query(now, id, cls.encode(), id, work, threads):
            self.simulation.call_at(now + LINK_LATENCY_NS, lambda: done(AttemptResult.FULL))
            return
        self.completions[id] = done
        self.peak_work_ns = max(
            self.peak_work_ns, sum(r.remaining_ns for r in self.machine.running.values())
        )
        self._look()

    def _end(self, runs: list[QueryRun]) -> None:
        for run in runs:
            done = self.completions.pop(run.query_id, None)
            if done is not None and not self.machine.crashed:
                self.simulation.call_at(
                    self.simulation.now_ns + LINK_LATENCY_NS, partial(done, AttemptResult.SERVED)
                )

    def _look(self) -> None:
        self.timer_generation += 1
        turn, end = self.timer_generation, self.machine.next_completion(self.simulation.now_ns)
        if end is not None:  # while it warms up its pace changes: looked at again
            self.simulation.call_at(
                min(end, self.simulation.now_ns + NS_PER_S // 4), lambda: self._due(turn)
            )

    def _due(self, turn: int) -> None:
        if turn == self.timer_generation:
            self._end(self.machine.advance(self.simulation.now_ns))
            self._look()


class SimulatedBroker:
    """One broker's decisions behind their facade. ``asked``: of each request when it came, its
    class, when it was answered (0: not yet), and whether an engine served it.
    """

    def __init__(
        self, sim: Simulation, settings: Settings, seed: int, engines: dict[int, SimulatedEngine]
    ) -> None:
        self.simulation, self.settings, self.engines = sim, settings, engines
        self.timer_wheel = TimerWheel(settings.tick_ns, sim.now_ns)
        self.facade = Facade(settings, seed, sim.now_ns, self.timer_wheel)
        self.requests: dict[str, tuple[int, str, int, bool]] = {}
        self.work: dict[str, tuple[float, int]] = {}
        self.retry_afters: list[tuple[int, int]] = []
        self.is_running = True
        self.attempt_observer: Callable[[int, AttemptResult], None] | None = (
            None  # hears what becomes of attempts
        )
        self._tick()

    def _tick(self) -> None:
        if not self.is_running:
            return
        self.timer_wheel.advance(self.simulation.now_ns)
        while self.facade.due:
            self._carry_out(self.facade.tick(self.simulation.now_ns))
        self.simulation.call_at(self.simulation.now_ns + self.settings.tick_ns, self._tick)

    def kill(self) -> None:
        self.is_running = False

    def announce_endpoints(self) -> None:
        self.report(
            EndpointListUpdate(
                ListUpdateKind.FULL,
                tuple(
                    EndpointEntry(
                        e.number, EndpointState.READY, "a", "std", started_ns=e.machine.started_ns
                    )
                    for e in self.engines.values()
                ),
            )
            for engine in self.engines.values()
        )
        self.report(EndpointListUpdate(ListUpdateKind.FULL, entries))

    def report(self, news: Event) -> None:
        if self.is_running:
            self._carry_out(self.facade.report(self.simulation.now_ns, news))

    def send_request(self, id: str, cls: str, work: float, threads: int, patience: int) -> None:
        self.requests[id] = (self.simulation.now_ns, cls, 0, False)
        if not self.is_running:
            return
        self.work[id] = (work, threads)
        self._carry_out(
            self.facade.pick(
                self.simulation.now_ns,
                RequestArrived(id, cls, patience, None, None, int(work), 10.0, 0, False),
            )
        )
        self._carry_out(self.facade.pick(now_ns, arrival))

    def check_health(self, engine: int) -> None:
        target = self.engines[engine]

        def answer() -> None:
            if not target.machine.crashed:
                target.machine.advance(self.simulation.now_ns)
                target.health_checks_ns.append(self.simulation.now_ns)
                load = target.load_report()
                self.simulation.call_at(
                    self.simulation.now_ns + LINK_LATENCY_NS,
                    lambda: self.report(
                        HealthCheckResult(engine, AttemptResult.SERVED, 2 * LINK_LATENCY_NS, load)
                    ),
                )

        self.simulation.call_at(self.simulation.now_ns + LINK_LATENCY_NS, answer)

    def _carry_out(self, orders: OrderBatch) -> None:
        for dispatch in orders.dispatches:
            self._dispatch(dispatch)
        for answer in orders.answers:
            came, cls, answered, served = self.requests[answer.request_id]
            self.requests[answer.request_id] = (
                came,
                cls,
                answered or self.simulation.now_ns,
                served,
            )
            if isinstance(answer, Reject):
                self.retry_afters.append((self.simulation.now_ns, answer.retry_after_ns))
        for check in orders.health_checks:
            self.check_health(check.endpoint)

    def _send(self, send: Dispatch) -> None:
        sent, engine = self.simulation.now_ns, self.engines[send.endpoint]
        work, threads = self.work[send.request_id]
        ended: list[AttemptResult] = []

        def done(result: AttemptResult) -> None:
            if ended:
                return
            ended.append(result)
            served = result is AttemptResult.SERVED
            if served:
                came, cls, answered, _ = self.requests[send.request_id]
                self.requests[send.request_id] = (
                    came,
                    cls,
                    answered or self.simulation.now_ns,
                    not answered,
                )
            if self.attempt_observer is not None:
                self.attempt_observer(send.endpoint, result)
            load = (
                engine.load_report()
                if result in (AttemptResult.SERVED, AttemptResult.FULL)
                else None
            )
            self.report(
                AttemptEnded(
                    send.request_id,
                    send.attempt,
                    send.endpoint,
                    result,
                    self.simulation.now_ns - sent,
                    served,
                    load,
                )
            )

        id = f"{self.settings.broker_index}/{send.request_id}/{send.attempt}".encode()
        cls = self.requests[send.request_id][1]
        self.simulation.call_at(
            sent + LINK_LATENCY_NS, lambda: engine.execute(id, cls, work, threads, done)
        )
        self.simulation.call_at(sent + send.timeout_ns, lambda: done(AttemptResult.TIMEOUT))
