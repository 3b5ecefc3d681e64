"""What engines that warm up are sent by all brokers together.

Run `python -m benchmarks.cold [--quick] [--seeds N]`. The decisions of 1 to 200 brokers before
machines on a simulated clock. Engines join, others start anew under their old names, under a burst;
each broker is notified after a while of its own, and some get several times the mean of the
traffic. An engine's budget is N: what it can do then, by its own warm-up, times the contract's
multiple and window, in requests of mean work; N + 2 x root of N + 2 is chance.
"""

from __future__ import annotations

import itertools
import math
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from query_broker.decisions.facade import (
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
)
from query_broker.emulator.decision_simulation import (
    BEGIN_NS,
    Completion,
    SimulatedBroker,
    SimulatedEngine,
    Simulation,
)
from query_broker.emulator.machine import Machine

from .harness.arguments import benchmark_parser
from .harness.results import Results
from .harness.simulated_load import (
    ENGINE_CORES,
    LOAD_FRACTION,
    MEAN_WORK_NS,
    draw_request,
    engine_count,
    simulated_settings,
)
from .harness.units import NS_PER_S

MIN_ENGINES = 4
#: One engine in five joins during the run, and as many restart.
STARTING_DIVISOR = 5
#: Factor on the load from the first start of an engine on.
BURST_FACTOR = 1.5
#: Each broker is notified of a start after a random delay of up to this time.
MAX_NOTIFICATION_DELAY_S = 2.0
FAVOURED_FRACTION = 0.1
#: Traffic of a favoured broker, as a multiple of the traffic of the others.
FAVOURED_WEIGHT = 5.0
JOIN_S = 5.0
RESTART_S = 20.0
DURATION_S = 36.0
QUICK_FLEETS = (1, 3)
FULL_FLEETS = (1, 3, 20, 30, 200)
QUICK_SEEDS = 1
FULL_SEEDS = 3
#: Notified brokers may exceed the budget of an engine by no more than chance explains.
MAX_SENT_AGAINST_CHANCE = 1.0


class ReceivedQuery(NamedTuple):
    """A query that a starting engine received.

    Attributes:
        received_ns: When it was received.
        work_ns: Its work.
        sender_notified: Whether its broker had been notified of the start.
    """

    received_ns: int
    work_ns: float
    sender_notified: bool


@dataclass(slots=True)
class ObservedStart:
    """A start of an engine, and the queries that it received since."""

    engine: SimulatedEngine
    received: list[ReceivedQuery] = field(default_factory=list)


class WorstWindow(NamedTuple):
    """The most work that a starting engine was sent within any window of the contract.

    Attributes:
        against_budget: Relative to N, in windows where notified brokers sent more than two thirds.
        against_chance: Relative to what chance allows, in the same windows.
        against_budget_by_all: Relative to N, in all windows.
    """

    against_budget: float
    against_chance: float
    against_budget_by_all: float


def worst_window(start: ObservedStart) -> WorstWindow:
    """Return the most work that a starting engine was sent within any window."""
    machine = start.engine.machine
    warm_ns = machine.started_ns + machine.warm_up_ns
    received = [query for query in start.received if query.received_ns < warm_ns]
    worst = WorstWindow(0.0, 0.0, 0.0)
    first = 0
    window_work_ns = 0.0
    notified_work_ns = 0.0
    for query in received:
        window_work_ns += query.work_ns
        notified_work_ns += query.work_ns * query.sender_notified
        while received[first].received_ns <= query.received_ns - machine.overload_window_ns:
            window_work_ns -= received[first].work_ns
            notified_work_ns -= received[first].work_ns * received[first].sender_notified
            first += 1
        budget = _budget_requests(machine, query.received_ns)
        requests = window_work_ns / MEAN_WORK_NS
        is_by_notified = notified_work_ns * 3 > window_work_ns * 2
        worst = _update_worst(worst, requests, budget, is_by_notified)
    return worst


def _budget_requests(machine: Machine, now_ns: int) -> float:
    """Return how many requests of mean work the contract allows within a window."""
    capacity = machine.capacity_fraction(now_ns) * machine.cores
    return machine.overload_multiple * capacity * machine.overload_window_ns / MEAN_WORK_NS


def _update_worst(
    worst: WorstWindow, requests: float, budget: float, is_by_notified: bool
) -> WorstWindow:
    against_budget = requests / budget
    by_all = max(worst.against_budget_by_all, against_budget)
    if not is_by_notified:
        return worst._replace(against_budget_by_all=by_all)
    against_chance = requests / (budget + 2 * math.sqrt(budget) + 2)
    return WorstWindow(
        max(worst.against_budget, against_budget),
        max(worst.against_chance, against_chance),
        by_all,
    )


class SimulationResult(NamedTuple):
    """The results of one simulation.

    Attributes:
        against_budget: The worst window of all starts, see `WorstWindow`.
        against_chance: Likewise.
        against_budget_by_all: Likewise.
        starts: Starts of engines.
        starts_past_budget: Starts with a window past the budget.
        engines_crashed: Engines that crashed.
        served: The fraction of the requests that was served.
        queries_per_start: Mean number of queries to a starting engine.
    """

    against_budget: float
    against_chance: float
    against_budget_by_all: float
    starts: int
    starts_past_budget: int
    engines_crashed: int
    served: float
    queries_per_start: float


class WarmUpSimulation:
    """Brokers and engines, some of which start while the others are warm."""

    def __init__(self, brokers: int, seed: int) -> None:
        """Create the engines and brokers, and schedule the starts."""
        self._simulation = Simulation(seed)
        self._engine_count = engine_count(brokers, MIN_ENGINES)
        starting = max(1, self._engine_count // STARTING_DIVISOR)
        rng = self._simulation.random
        numbers = rng.sample(range(1 << 32), self._engine_count + starting)
        warm = numbers[: self._engine_count]
        joining = numbers[self._engine_count :]
        self._engines = {
            number: SimulatedEngine(self._simulation, number, Machine()) for number in warm
        }
        self._starts: list[ObservedStart] = []
        # Time of the last notification of a start, by broker index and engine number.
        self._notified_ns: dict[tuple[int, int], int] = {}
        self._brokers = [self._create_broker(index, brokers) for index in range(brokers)]
        self._schedule_starts(joining, JOIN_S)
        self._schedule_starts(warm[:starting], RESTART_S)
        self._weights = _traffic_weights(brokers)
        self._request_ids = itertools.count()

    def _create_broker(self, index: int, brokers: int) -> SimulatedBroker:
        settings = simulated_settings(index, brokers)
        broker = SimulatedBroker(self._simulation, settings, index, self._engines)
        broker.announce_endpoints()
        return broker

    def _schedule_starts(self, numbers: Sequence[int], begin_s: float) -> None:
        for number in numbers:
            at_s = begin_s + self._simulation.random.random()
            at_ns = BEGIN_NS + int(at_s * NS_PER_S)
            self._simulation.call_at(at_ns, partial(self._start_engine, number))

    def _start_engine(self, number: int) -> None:
        simulation = self._simulation
        engine = self._engines.get(number)
        if engine is None:
            engine = SimulatedEngine(simulation, number, Machine(started_ns=simulation.now_ns))
            self._engines[number] = engine
        else:
            _restart(engine, simulation.now_ns)
        start = ObservedStart(engine)
        self._starts.append(start)
        self._observe(start)
        for broker in self._brokers:
            delay_s = simulation.random.random() * MAX_NOTIFICATION_DELAY_S
            notified_ns = simulation.now_ns + int(delay_s * NS_PER_S)
            simulation.call_at(notified_ns, partial(self._notify, broker, engine))

    def _notify(self, broker: SimulatedBroker, engine: SimulatedEngine) -> None:
        index = broker.settings.broker_index
        self._notified_ns[index, engine.number] = self._simulation.now_ns
        entry = EndpointEntry(
            engine.number,
            EndpointState.READY,
            "a",
            "std",
            started_ns=engine.machine.started_ns,
        )
        broker.report(EndpointListUpdate(ListUpdateKind.CHANGES, (entry,)))

    def _observe(self, start: ObservedStart) -> None:
        """Record the queries that an engine receives until it restarts."""
        engine = start.engine
        machine = engine.machine
        execute = engine.execute

        def observed_execute(
            query_id: bytes,
            request_class: str,
            work_ns: float,
            threads: int,
            completion: Completion,
        ) -> None:
            if engine.machine is machine:
                broker_index = int(query_id.split(b"/")[0])
                notified_ns = self._notified_ns.get((broker_index, engine.number), -1)
                is_notified = notified_ns >= machine.started_ns
                query = ReceivedQuery(self._simulation.now_ns, work_ns, is_notified)
                start.received.append(query)
            execute(query_id, request_class, work_ns, threads, completion)

        engine.execute = observed_execute  # type: ignore[method-assign]

    def _send_requests(self) -> None:
        simulation = self._simulation
        has_burst = simulation.now_ns > BEGIN_NS + JOIN_S * NS_PER_S
        load_factor = BURST_FACTOR if has_burst else 1.0
        load = LOAD_FRACTION * load_factor * ENGINE_CORES * self._engine_count
        gap_ns = int(simulation.random.expovariate(1) * MEAN_WORK_NS / load)
        simulation.call_at(simulation.now_ns + gap_ns, self._send_requests)
        request = draw_request(simulation.random)
        broker = simulation.random.choices(self._brokers, self._weights)[0]
        broker.send_request(str(next(self._request_ids)), *request)

    def run(self) -> SimulationResult:
        """Run the simulation."""
        self._send_requests()
        self._simulation.run(DURATION_S)
        worst = [worst_window(start) for start in self._starts]
        received = sum(len(start.received) for start in self._starts)
        return SimulationResult(
            max(window.against_budget for window in worst),
            max(window.against_chance for window in worst),
            max(window.against_budget_by_all for window in worst),
            len(worst),
            sum(window.against_budget > 1 for window in worst),
            sum(engine.machine.crashed for engine in self._engines.values()),
            self._served_fraction(),
            received / len(self._starts),
        )

    def _served_fraction(self) -> float:
        requests = [request for broker in self._brokers for request in broker.requests.values()]
        return sum(request.is_served for request in requests) / len(requests)


def _restart(engine: SimulatedEngine, now_ns: int) -> None:
    """Reset all queries of an engine, and give it a machine that has just started."""
    completions = engine.completions
    engine.completions = {}
    for complete in completions.values():
        complete(AttemptResult.RESET)
    engine.machine.running.clear()
    engine.machine = Machine(started_ns=now_ns)


def _traffic_weights(brokers: int) -> list[float]:
    favoured = max(1, int(FAVOURED_FRACTION * brokers))
    return [FAVOURED_WEIGHT] * favoured + [1.0] * (brokers - favoured)


def record_fleet(results: Results, brokers: int, seeds: int) -> None:
    """Record the simulations of a number of brokers, one for each seed."""
    runs = [WarmUpSimulation(brokers, seed).run() for seed in range(1, seeds + 1)]
    name = f"cold.{brokers}_brokers"
    results.record(f"{name}.starts", sum(run.starts for run in runs))
    results.record(
        f"{name}.calls_to_one_while_watched",
        sum(run.queries_per_start for run in runs) / len(runs),
    )
    results.record(f"{name}.sent_against_n", max(run.against_budget for run in runs))
    results.record(
        f"{name}.sent_against_chance",
        max(run.against_chance for run in runs),
        at_most=MAX_SENT_AGAINST_CHANCE,
    )
    results.record(f"{name}.starts_past_n", sum(run.starts_past_budget for run in runs))
    results.record(
        f"{name}.sent_against_n_whoever_sent", max(run.against_budget_by_all for run in runs)
    )
    results.record(f"{name}.engines_fallen", sum(run.engines_crashed for run in runs))
    results.record(f"{name}.served", min(run.served for run in runs))


def main() -> int:
    """Run the benchmark; return the exit code."""
    parser = benchmark_parser(__doc__)
    parser.add_argument("--seeds", type=int, default=0, help="simulations of each size")
    options = parser.parse_args()
    seeds = options.seeds or (QUICK_SEEDS if options.quick else FULL_SEEDS)
    results = Results()
    for brokers in QUICK_FLEETS if options.quick else FULL_FLEETS:
        record_fleet(results, brokers, seeds)
    return results.exit_code()


if __name__ == "__main__":
    sys.exit(main())
