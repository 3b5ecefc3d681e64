"""Simulates the decisions of many brokers and their engines on one clock, in one process.

Performs no I/O and reads no system clock, so that runs with the same seed are identical.
"""

from __future__ import annotations

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
from .event_queue import EventQueue
from .machine import Machine, QueryRun

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
#: One-way latency of a link between a broker and an engine.
LINK_LATENCY_NS = NS_PER_MS // 2
#: Start of the simulated clock; not 0, which means "long ago" as the start time of a machine.
BEGIN_NS = 100 * NS_PER_S
#: Longest time until completions are recomputed, as the capacity of a warming machine changes.
MAX_TIMER_DELAY_NS = NS_PER_S // 4
#: The memory estimate that every request states.
ESTIMATED_MEMORY_MB = 10.0

Completion = Callable[[AttemptResult], None]


class Simulation:
    """A simulated clock and its scheduled calls.

    Attributes:
        now_ns: The current time.
        random: The only source of random numbers.
    """

    def __init__(self, seed: int = 1) -> None:
        """Create a clock at ``BEGIN_NS`` with nothing scheduled."""
        self.now_ns = BEGIN_NS
        self.random = random.Random(seed)
        self._events = EventQueue()

    def call_at(self, due_ns: int, callback: Callable[[], None]) -> None:
        """Schedule a call; calls due at the same time are made in the order of scheduling."""
        self._events.schedule(max(due_ns, self.now_ns), callback)

    def call_after_link(self, callback: Callable[[], None]) -> None:
        """Schedule a call for the time at which a message sent now arrives."""
        self.call_at(self.now_ns + LINK_LATENCY_NS, callback)

    def run(self, seconds: float) -> None:
        """Make all calls that are due up to this many seconds after `BEGIN_NS`."""
        end_ns = BEGIN_NS + int(seconds * NS_PER_S)
        while self._events.has_due(end_ns):
            event = self._events.pop()
            self.now_ns = event.due_ns
            event.callback()
        self.now_ns = end_ns


class SimulatedEngine:
    """A machine that answers over a simulated link.

    Attributes:
        number: The engine's number in the endpoint list.
        machine: The machine that runs the queries.
        completions: The function to call with the result of each running query, by query id.
        timer_generation: Number of the current timer; earlier timers have no effect.
        peak_work_ns: The most work in flight so far, in thread-nanoseconds.
        health_checks_ns: The times at which the engine answered health checks.
    """

    def __init__(self, simulation: Simulation, number: int, machine: Machine) -> None:
        """Create an engine without queries."""
        self.simulation = simulation
        self.number = number
        self.machine = machine
        self.completions: dict[bytes, Completion] = {}
        self.timer_generation = 0
        self.peak_work_ns = 0.0
        self.health_checks_ns: list[int] = []

    def load_report(self) -> LoadReport:
        """Return the load report of the engine."""
        threads = sum(run.threads for run in self.machine.running.values())
        return LoadReport(
            utilisation=min(1.0, threads / self.machine.cores),
            inflight=float(len(self.machine.running)),
        )

    def execute(
        self,
        query_id: bytes,
        request_class: str,
        work_ns: float,
        threads: int,
        completion: Completion,
    ) -> None:
        """Run a query; a crashed machine never calls ``completion``."""
        now_ns = self.simulation.now_ns
        self._report_completed(self.machine.advance(now_ns))
        if self.machine.crashed:
            return
        is_started = self.machine.start_query(
            now_ns, query_id, request_class.encode(), query_id, work_ns, threads
        )
        if not is_started:
            self.simulation.call_after_link(partial(completion, AttemptResult.FULL))
            return
        self.completions[query_id] = completion
        work_in_flight_ns = sum(run.remaining_ns for run in self.machine.running.values())
        self.peak_work_ns = max(self.peak_work_ns, work_in_flight_ns)
        self._set_timer()

    def _report_completed(self, runs: list[QueryRun]) -> None:
        for run in runs:
            completion = self.completions.pop(run.query_id, None)
            if completion is not None and not self.machine.crashed:
                self.simulation.call_after_link(partial(completion, AttemptResult.SERVED))

    def _set_timer(self) -> None:
        self.timer_generation += 1
        generation = self.timer_generation
        now_ns = self.simulation.now_ns
        end_ns = self.machine.next_completion(now_ns)
        if end_ns is not None:
            due_ns = min(end_ns, now_ns + MAX_TIMER_DELAY_NS)
            self.simulation.call_at(due_ns, lambda: self._timer_due(generation))

    def _timer_due(self, generation: int) -> None:
        if generation == self.timer_generation:
            self._report_completed(self.machine.advance(self.simulation.now_ns))
            self._set_timer()


class SimulatedRequest(NamedTuple):
    """A request and its outcome.

    Attributes:
        arrived_ns: When the request arrived.
        request_class: The request class.
        answered_ns: When the request was first answered; 0 while it has no answer.
        is_served: Whether the first answer was that of an engine that served the request.
    """

    arrived_ns: int
    request_class: str
    answered_ns: int = 0
    is_served: bool = False


class QueryWork(NamedTuple):
    """The true work of a request, in thread-nanoseconds, and its threads."""

    work_ns: float
    threads: int


class Rejection(NamedTuple):
    """When a request was rejected, and the delay before a retry that the rejection asked for."""

    rejected_ns: int
    retry_after_ns: int


class SimulatedBroker:
    """The decisions of one broker behind their facade; orders are carried out immediately.

    Attributes:
        settings: The settings of the broker.
        engines: The engines, by number.
        facade: The decisions.
        requests: The requests, by id.
        work: The true work of each request, by id.
        rejections: The rejections, in the order of their time.
        is_running: Whether the broker runs; False after it was killed.
        attempt_observer: Called with the engine number and the result of each attempt that ends.
    """

    def __init__(
        self,
        simulation: Simulation,
        settings: Settings,
        seed: int,
        engines: dict[int, SimulatedEngine],
    ) -> None:
        """Create a broker, and schedule its ticks."""
        self.simulation = simulation
        self.settings = settings
        self.engines = engines
        self.timer_wheel = TimerWheel(settings.tick_ns, simulation.now_ns)
        self.facade = Facade(settings, seed, simulation.now_ns, self.timer_wheel)
        self.requests: dict[str, SimulatedRequest] = {}
        self.work: dict[str, QueryWork] = {}
        self.rejections: list[Rejection] = []
        self.is_running = True
        self.attempt_observer: Callable[[int, AttemptResult], None] | None = None
        self._tick()

    def _tick(self) -> None:
        if not self.is_running:
            return
        self.timer_wheel.advance(self.simulation.now_ns)
        while self.facade.due:
            self._carry_out(self.facade.tick(self.simulation.now_ns))
        self.simulation.call_at(self.simulation.now_ns + self.settings.tick_ns, self._tick)

    def kill(self) -> None:
        """Stop the broker; attempts in flight keep running at their engines."""
        self.is_running = False

    def announce_endpoints(self) -> None:
        """Pass all engines to the decisions as a full endpoint list."""
        entries = tuple(
            EndpointEntry(
                engine.number,
                EndpointState.READY,
                "a",
                "std",
                started_ns=engine.machine.started_ns,
            )
            for engine in self.engines.values()
        )
        self.report(EndpointListUpdate(ListUpdateKind.FULL, entries))

    def report(self, event: Event) -> None:
        """Pass an event to the decisions and carry out their orders."""
        if self.is_running:
            self._carry_out(self.facade.report(self.simulation.now_ns, event))

    def send_request(
        self, request_id: str, request_class: str, work_ns: float, threads: int, timeout_ns: int
    ) -> None:
        """Send a request to this broker; a killed broker never answers it."""
        now_ns = self.simulation.now_ns
        self.requests[request_id] = SimulatedRequest(now_ns, request_class)
        if not self.is_running:
            return
        self.work[request_id] = QueryWork(work_ns, threads)
        arrival = RequestArrived(
            request_id,
            request_class,
            timeout_ns,
            None,
            None,
            int(work_ns),
            ESTIMATED_MEMORY_MB,
            0,
            False,
        )
        self._carry_out(self.facade.pick(now_ns, arrival))

    def check_health(self, engine_number: int) -> None:
        """Send a health check to an engine; a crashed one does not answer."""
        engine = self.engines[engine_number]

        def answer() -> None:
            if engine.machine.crashed:
                return
            engine.machine.advance(self.simulation.now_ns)
            engine.health_checks_ns.append(self.simulation.now_ns)
            result = HealthCheckResult(
                engine_number, AttemptResult.SERVED, 2 * LINK_LATENCY_NS, engine.load_report()
            )
            self.simulation.call_after_link(lambda: self.report(result))

        self.simulation.call_after_link(answer)

    def _carry_out(self, orders: OrderBatch) -> None:
        for dispatch in orders.dispatches:
            self._dispatch(dispatch)
        for answer in orders.answers:
            self._record_answer(answer.request_id)
            if isinstance(answer, Reject):
                rejection = Rejection(self.simulation.now_ns, answer.retry_after_ns)
                self.rejections.append(rejection)
        for check in orders.health_checks:
            self.check_health(check.endpoint)

    def _record_answer(self, request_id: str) -> None:
        request = self.requests[request_id]
        answered_ns = request.answered_ns or self.simulation.now_ns
        self.requests[request_id] = request._replace(answered_ns=answered_ns)

    def _record_served(self, request_id: str) -> None:
        request = self.requests[request_id]
        self.requests[request_id] = request._replace(
            answered_ns=request.answered_ns or self.simulation.now_ns,
            is_served=not request.answered_ns,
        )

    def _dispatch(self, dispatch: Dispatch) -> None:
        sent_ns = self.simulation.now_ns
        engine = self.engines[dispatch.endpoint]
        work = self.work[dispatch.request_id]
        request_class = self.requests[dispatch.request_id].request_class
        results: list[AttemptResult] = []

        def complete(result: AttemptResult) -> None:
            if not results:  # the answer and the timeout can both occur
                results.append(result)
                self._attempt_ended(dispatch, sent_ns, result)

        attempt = f"{self.settings.broker_index}/{dispatch.request_id}/{dispatch.attempt}".encode()
        self.simulation.call_at(
            sent_ns + LINK_LATENCY_NS,
            lambda: engine.execute(attempt, request_class, work.work_ns, work.threads, complete),
        )
        self.simulation.call_at(
            sent_ns + dispatch.timeout_ns, lambda: complete(AttemptResult.TIMEOUT)
        )

    def _attempt_ended(self, dispatch: Dispatch, sent_ns: int, result: AttemptResult) -> None:
        is_served = result is AttemptResult.SERVED
        if is_served:
            self._record_served(dispatch.request_id)
        if self.attempt_observer is not None:
            self.attempt_observer(dispatch.endpoint, result)
        has_load = result in (AttemptResult.SERVED, AttemptResult.FULL)
        load = self.engines[dispatch.endpoint].load_report() if has_load else None
        ended = AttemptEnded(
            dispatch.request_id,
            dispatch.attempt,
            dispatch.endpoint,
            result,
            self.simulation.now_ns - sent_ns,
            is_served,
            load,
        )
        self.report(ended)
