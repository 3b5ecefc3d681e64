"""A cold start of a complete cluster on a simulated clock.

All brokers and all engines start at once, and clients request from the first second on: the
decisions of each broker, the pacing and the ramp of its start, and the machines of the engines.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

from query_broker.decisions.facade import OutstandingWork, PeerProcessLoad
from query_broker.emulator.decision_simulation import (
    BEGIN_NS,
    SimulatedBroker,
    SimulatedEngine,
    SimulatedRequest,
    Simulation,
)
from query_broker.emulator.machine import Machine
from query_broker.startup.admission_ramp import AdmissionRamp, assumed_work
from query_broker.startup.pacing import CallSchedule, call_window_ns, health_check_slot_ns
from query_broker.startup.settings import StartupSettings

from .harness.results import Results
from .harness.simulated_load import (
    CONTRACT,
    ENGINE_CORES,
    LOAD_FRACTION,
    MEAN_WORK_NS,
    draw_request,
    engine_count,
    simulated_settings,
)
from .harness.statistics import busiest_window
from .harness.units import NS_PER_S
from .start_settings import ENGINE_PROBES_PER_S, LIST_CALLS_PER_S, MODES

MIN_ENGINES = 3
TIMEOUT_NS = 5 * NS_PER_S
RAMP_STEP_NS = NS_PER_S
OBSERVED_TIMES_S = (10.0, 30.0)
#: Work that a warm engine may be sent within the contract's window, in thread-nanoseconds.
WARM_BUDGET_NS = CONTRACT.overload_multiple * ENGINE_CORES * CONTRACT.overload_window_ns

#: The contract states the load above which a warming engine crashes.
MAX_ENGINES_CRASHED = 0
MAX_SENT_AGAINST_CONTRACT = 1.0
#: Every broker completes its admission ramp.
MIN_OPENED_FRACTION = 1.0
#: The ramp takes 8 s, up to four times that with failures (`docs/cold-start.md`); the health checks
#: before it 2 s.
MAX_RAMP_S = 4 * 8
HEALTH_CHECKS_S = 2
#: A broker calls the discovery service within two windows.
CALL_WINDOWS = 2


class StartOutcome(NamedTuple):
    """The results of a simulated start.

    Attributes:
        engines_crashed: Engines that crashed.
        served_fractions: Served fraction of the demand until each of the observed times.
        last_open_s: When the last broker completed its admission ramp.
        opened: How many brokers completed their admission ramp.
        peak_against_contract: Peak of the outstanding work at an engine, relative to its contract.
        peak_probes_per_s: Peak of the health checks of one engine in a second.
        warm_up_against_contract: Peak of the work sent to a cold engine, relative to its contract.
    """

    engines_crashed: int
    served_fractions: tuple[float, ...]
    last_open_s: float
    opened: int
    peak_against_contract: float
    peak_probes_per_s: int
    warm_up_against_contract: float


class ColdStart:
    """One simulated start."""

    def __init__(self, brokers: int, seed: int, is_paced: bool) -> None:
        """Create the engines, and the brokers, which call the discovery service within a second.

        Args:
            brokers: How many brokers start.
            seed: Seed of the simulation.
            is_paced: Whether they pace their calls and ramp up their admission.
        """
        self._simulation = Simulation(seed)
        self._is_paced = is_paced
        self._settings = StartupSettings(
            list_connects_per_s=LIST_CALLS_PER_S, endpoint_probes_per_s=ENGINE_PROBES_PER_S
        )
        self._open_s: list[float] = []
        self._accepting: list[SimulatedBroker] = []
        self._request_ids = itertools.count()
        self._engines = self._create_engines(engine_count(brokers, MIN_ENGINES))
        for index in range(brokers):
            self._create_broker(index, brokers)
        demand = LOAD_FRACTION * ENGINE_CORES * len(self._engines)
        self._request_gap_ns = int(MEAN_WORK_NS / demand)

    def _create_engines(self, count: int) -> dict[int, SimulatedEngine]:
        rng = self._simulation.random
        engines = {}
        for number in (rng.randrange(1 << 32) for _ in range(count)):
            machine = Machine(started_ns=BEGIN_NS - rng.randrange(NS_PER_S // 2))
            engines[number] = SimulatedEngine(self._simulation, number, machine)
        return engines

    def _create_broker(self, index: int, brokers: int) -> None:
        simulation = self._simulation
        settings = simulated_settings(index, brokers)
        broker = SimulatedBroker(simulation, settings, index, self._engines)
        begun_ns = simulation.now_ns + simulation.random.randrange(NS_PER_S)
        calls = CallSchedule(index, brokers, LIST_CALLS_PER_S, simulation.random.random)
        first_call_ns = calls.first_call_ns(begun_ns)
        due_ns = first_call_ns if self._is_paced else begun_ns
        simulation.call_at(due_ns, partial(self._receive_endpoints, broker))

    def _receive_endpoints(self, broker: SimulatedBroker) -> None:
        broker.announce_endpoints()
        if not self._is_paced:
            self._accepting.append(broker)
            return
        simulation = self._simulation
        index = broker.settings.broker_index
        brokers = broker.settings.fleet_size
        for number in self._engines:
            slot_ns = health_check_slot_ns(
                simulation.now_ns, number, index, brokers, ENGINE_PROBES_PER_S
            )
            simulation.call_at(slot_ns, partial(broker.check_health, number))
        opens_ns = simulation.now_ns + self._settings.contact_wait_ns
        simulation.call_at(opens_ns, partial(self._open, broker))

    def _open(self, broker: SimulatedBroker) -> None:
        ramp = AdmissionRamp(self._settings, self._simulation.now_ns)
        self._advance_ramp(broker, ramp, 0)
        self._accepting.append(broker)

    def _advance_ramp(
        self, broker: SimulatedBroker, ramp: AdmissionRamp, served_before: int
    ) -> None:
        simulation = self._simulation
        served = sum(request.is_served for request in broker.requests.values())
        open_fraction = ramp.step(simulation.now_ns, served - served_before, 0)
        broker.report(PeerProcessLoad(_assumed_load(broker, open_fraction), 1))
        if ramp.is_complete():
            self._open_s.append((simulation.now_ns - BEGIN_NS) / NS_PER_S)
            return
        due_ns = simulation.now_ns + RAMP_STEP_NS
        simulation.call_at(due_ns, partial(self._advance_ramp, broker, ramp, served))

    def _send_requests(self) -> None:
        simulation = self._simulation
        gap_ns = int(simulation.random.expovariate(1) * self._request_gap_ns)
        simulation.call_at(simulation.now_ns + gap_ns, self._send_requests)
        if not self._accepting:
            return
        # The front end sends each request to a broker that is ready.
        request = draw_request(simulation.random)
        broker = simulation.random.choice(self._accepting)
        broker.send_request(str(next(self._request_ids)), *request)

    def run(self, seconds: float) -> StartOutcome:
        """Run the simulation for a number of seconds."""
        self._send_requests()
        self._simulation.run(seconds)
        engines = self._engines.values()
        probes_s = [
            [time_ns / NS_PER_S for time_ns in engine.health_checks_ns] for engine in engines
        ]
        return StartOutcome(
            sum(engine.machine.crashed for engine in engines),
            tuple(self._served_fraction(observed_s) for observed_s in OBSERVED_TIMES_S),
            max(self._open_s, default=0.0),
            len(self._open_s),
            max(engine.peak_work_ns for engine in engines) / WARM_BUDGET_NS,
            max(map(busiest_window, probes_s)),
            max(warm_up_against_contract(engine.machine) for engine in engines),
        )

    def _served_fraction(self, observed_s: float) -> float:
        """Return the fraction of the demand of the first seconds that was served in time."""
        end_ns = BEGIN_NS + observed_s * NS_PER_S
        served = sum(
            _is_served_in_time(request)
            for broker in self._accepting
            for request in broker.requests.values()
            if request.arrived_ns < end_ns
        )
        return served / max(1, observed_s * NS_PER_S / self._request_gap_ns)


def _is_served_in_time(request: SimulatedRequest) -> bool:
    return request.is_served and request.answered_ns - request.arrived_ns <= TIMEOUT_NS


def _assumed_load(broker: SimulatedBroker, open_fraction: float) -> dict[int, OutstandingWork]:
    """Return the outstanding work to assume at each engine while the ramp is incomplete."""
    if open_fraction >= 1:
        return {}
    widest = broker.facade.max_request_threads()
    return {
        number: OutstandingWork(*assumed_work(open_fraction, threads, bound_ns, widest), 0)
        for number, (threads, bound_ns) in broker.facade.quotas_and_bounds().items()
    }


def warm_up_against_contract(machine: Machine) -> float:
    """Return the peak of the work sent to a warming machine within the contract's window.

    The work is relative to what the contract allows at that stage of the warm-up.
    """
    warm_ns = machine.started_ns + machine.warm_up_ns
    runs = [run for run in machine.ledger if run.begun_ns < warm_ns]
    first = 0
    window_work_ns = 0.0
    worst = 0.0
    for run in runs:
        window_work_ns += run.work_ns
        while runs[first].begun_ns <= run.begun_ns - machine.overload_window_ns:
            window_work_ns -= runs[first].work_ns
            first += 1
        capacity = machine.capacity_fraction(run.begun_ns) * machine.cores
        allowed_ns = machine.overload_multiple * capacity * machine.overload_window_ns
        worst = max(worst, window_work_ns / allowed_ns)
    return worst


def record_cold_starts(results: Results, seeds: int, sizes: Sequence[int], seconds: float) -> None:
    """Record simulated starts of each size, unpaced as before and paced."""
    for size in sizes:
        for mode in MODES:
            runs = [
                ColdStart(size, seed, mode.is_paced).run(seconds) for seed in range(1, seeds + 1)
            ]
            name = f"cold_world.{mode.name}_{size}"
            _record_engines(results, name, runs, mode.is_paced)
            if mode.is_paced:
                _record_opening(results, name, runs, size)


def _record_engines(
    results: Results, name: str, runs: Sequence[StartOutcome], is_paced: bool
) -> None:
    results.record(
        f"{name}.engines_fallen",
        sum(run.engines_crashed for run in runs),
        at_most=MAX_ENGINES_CRASHED if is_paced else None,
    )
    results.record(
        f"{name}.sent_while_cold_against_contract",
        max(run.warm_up_against_contract for run in runs),
        at_most=MAX_SENT_AGAINST_CONTRACT if is_paced else None,
    )
    results.record(
        f"{name}.work_in_hand_against_contract", max(run.peak_against_contract for run in runs)
    )
    results.record(
        f"{name}.probes_of_one_engine_in_the_busiest_second",
        max(run.peak_probes_per_s for run in runs),
    )
    for position, observed_s in enumerate(OBSERVED_TIMES_S):
        mean = sum(run.served_fractions[position] for run in runs) / len(runs)
        results.record(f"{name}.served_{observed_s:g}", mean)


def _record_opening(results: Results, name: str, runs: Sequence[StartOutcome], size: int) -> None:
    window_s = call_window_ns(size, LIST_CALLS_PER_S) / NS_PER_S
    max_open_s = CALL_WINDOWS * window_s + HEALTH_CHECKS_S + MAX_RAMP_S
    results.record(f"{name}.all_full_s", max(run.last_open_s for run in runs), at_most=max_open_s)
    results.record(
        f"{name}.at_their_whole_share",
        min(run.opened for run in runs) / size,
        at_least=MIN_OPENED_FRACTION,
    )
