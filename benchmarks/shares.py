"""What shared limits and outlier consensus achieve: `python -m benchmarks.shares [--quick]`.

Schedules of faults on a simulated clock, watched by an auditor; uneven demand beside an even
division and a central counter without faults; how soon all act on a failing endpoint with and
without gossip; every order of events among three brokers.
"""

from __future__ import annotations

import argparse
import itertools
import multiprocessing
import multiprocessing.pool
import os
import random
import sys
from collections.abc import Sequence
from functools import partial
from typing import Any, NamedTuple

import uvloop

from query_broker import decisions as api
from query_broker.decisions.facade import AdministrativeChange, AttemptResult
from query_broker.emulator.decision_simulation import (
    BEGIN_NS,
    SimulatedBroker,
    SimulatedEngine,
    Simulation,
)
from query_broker.emulator.machine import Machine
from query_broker.emulator.quota_simulation import (
    FaultInjector,
    QuotaSimulation,
    SimulatedConditions,
)
from query_broker.outlier_consensus.consensus import OutlierConsensus
from query_broker.outlier_consensus.messages import Endpoint, ObserverReports
from query_broker.outlier_consensus.observations import ObservationStore
from query_broker.outlier_consensus.settings import OutlierConsensusSettings, gossip_rounds
from query_broker.quotas.settings import LimitSettings, QuotaSettings

from .harness import ROOT, Figures
from .member_processes import costs

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
SETTINGS = QuotaSettings(limits=(LimitSettings("a", rate=100.0), LimitSettings("b", rate=50.0)))
LIMITS = {"a": 100.0, "b": 50.0}
FAILS_AFTER_NS = 5 * NS_PER_S
GOSSIP_DELAY_NS = 2 * NS_PER_MS
ROUNDING_ERROR = 1e-6


class FaultScheduleResult(NamedTuple):
    """What the auditor saw during one schedule of faults."""

    overshoot_per_s: float
    messages_per_s: float  # of one broker
    had_two_leaders: bool


def run_fault_schedule(count: int, seconds: float, seed: int) -> FaultScheduleResult:
    """Play one schedule of faults among some brokers."""
    draw = random.Random(seed)
    conditions = SimulatedConditions(
        SETTINGS.clock_drift,
        draw.choice([0.0, 0.1, 0.3]),
        draw.choice([NS_PER_S // 2, 4 * NS_PER_S, 10 * NS_PER_S]),
    )
    simulation = QuotaSimulation(count, SETTINGS, LIMITS, seed, conditions)
    FaultInjector(simulation, seed).schedule(seconds - 10)
    try:
        simulation.run(seconds)
    except AssertionError:
        return FaultScheduleResult(0.0, 0.0, True)
    overshoot = max(simulation.worst_overshoot_per_s.values())
    return FaultScheduleResult(overshoot, simulation.message_count / count / seconds, False)


class UsedFractions(NamedTuple):
    """Which fraction of a limit is used: by leases, by even division, by a central counter."""

    leased: float
    divided: float
    central: float


def run_uneven_demand(count: int, seed: int) -> UsedFractions:
    """Ask for a limit 1 : 10 : 100, in all a fifth more than the limit."""
    conditions = SimulatedConditions(SETTINGS.clock_drift)
    simulation = QuotaSimulation(count, SETTINGS, LIMITS, seed, conditions)
    limit_per_s = LIMITS["a"]
    ratios = [1.0, 10.0, 100.0]
    scale = 3 * 120.0 / (count * sum(ratios))
    demands = [ratios[broker.number % 3] * scale for broker in simulation.brokers]
    guaranteed = limit_per_s * SETTINGS.guaranteed_fraction / count
    for broker, demand in zip(simulation.brokers, demands, strict=True):
        broker.leases.holder.wanted_per_s = {"a": max(0.0, demand - guaranteed)}
    simulation.run(30)
    leased = sum(
        min(demand, guaranteed + broker.amount_per_s("a", simulation.now_ns))
        for broker, demand in zip(simulation.brokers, demands, strict=True)
    )
    divided = sum(min(demand, limit_per_s / count) for demand in demands)
    central = min(sum(demands), limit_per_s)
    return UsedFractions(leased / limit_per_s, divided / limit_per_s, central / limit_per_s)


class FailingEngine(SimulatedEngine):
    """Fails every query from a moment on, at once."""

    failed_queries = 0

    def execute(self, id: bytes, cls: str, work: float, threads: int, done: Any) -> None:
        """Fail the query, or run it as long as the endpoint works."""
        if self.simulation.now_ns < BEGIN_NS + FAILS_AFTER_NS:
            super().execute(id, cls, work, threads, done)
            return
        self.failed_queries += 1
        self.simulation.call_at(
            self.simulation.now_ns + NS_PER_MS, partial(done, AttemptResult.ERROR)
        )


class FailingEndpointResult(NamedTuple):
    """How the brokers coped with a failing endpoint.

    Attributes:
        until_last_s: From the first failure until the last broker ejected it; until the end of the
            run if one never did.
        failed_queries: Queries that failed there.
        brokers: How many brokers ejected it.
    """

    until_last_s: float
    failed_queries: int
    brokers: int


class FailingEndpointRun:
    """Brokers and endpoints, one of which fails every query from a moment on."""

    def __init__(self, count: int, use_gossip: bool, seed: int) -> None:
        """Create the endpoints and the brokers."""
        self.simulation = Simulation(seed)
        self.use_gossip = use_gossip
        self.settings = OutlierConsensusSettings()
        draw = self.simulation.random
        numbers = [draw.randrange(1 << 32) for _ in range(max(5, count // 4))]
        self.failing = FailingEngine(self.simulation, numbers[0], Machine())
        self.engines: dict[int, SimulatedEngine] = {
            number: SimulatedEngine(self.simulation, number, Machine()) for number in numbers[1:]
        }
        self.engines[numbers[0]] = self.failing
        self.names = [f"b{number}" for number in range(count)]
        self.zones = {Endpoint(str(number), 0): "a" for number in numbers}
        self.ejected_at_ns: dict[str, int] = {}
        self.first_failure_ns: int | None = None
        self.brokers = [self._create(position) for position in range(count)]
        self.request_ids = itertools.count()
        self.request_gap_ns = int(NS_PER_S / (4 * count))

    def _create(self, position: int) -> tuple[SimulatedBroker, OutlierConsensus]:
        settings = api.Settings(
            classes=(api.RequestClass("glance", NS_PER_S, 5 * NS_PER_S, 1.0),),
            fleet_size=len(self.names),
            broker_index=position,
            tick_ns=25 * NS_PER_MS,
            kind_cores=(("std", 8),),
            limits=api.Limits(health_checks=True, max_attempts=3, max_retry_after_ns=2 * NS_PER_S),
        )
        broker = SimulatedBroker(self.simulation, settings, position, self.engines)
        observations = ObservationStore(self.names[position], "a", self.settings)
        broker.attempt_observer = partial(self._record, observations)
        broker.announce_endpoints()
        return broker, OutlierConsensus(observations)

    def _record(self, observations: ObservationStore, number: int, result: AttemptResult) -> None:
        now_ns = self.simulation.now_ns
        if result is AttemptResult.ERROR and self.first_failure_ns is None:
            self.first_failure_ns = now_ns
        if result in (AttemptResult.SERVED, AttemptResult.ERROR):
            observations.record(now_ns, Endpoint(str(number), 0), result is AttemptResult.SERVED)

    def _gossip(self, broker: SimulatedBroker, consensus: OutlierConsensus) -> None:
        simulation = self.simulation
        now_ns = simulation.now_ns
        due_ns = now_ns + self.settings.gossip_interval_ns
        simulation.call_at(due_ns, partial(self._gossip, broker, consensus))
        consensus.observations.write_report(now_ns)
        newest = consensus.observations.newest_reports(now_ns, 16)
        batch = ObserverReports(tuple(report for report in newest if report.observations))
        if self.use_gossip:
            arrival_ns = now_ns + GOSSIP_DELAY_NS
            for _, other in simulation.random.sample(self.brokers, 3):
                receive = partial(other.observations.receive, arrival_ns, batch, self.names)
                simulation.call_at(arrival_ns, receive)
        for ejection in consensus.evaluate(now_ns, self.names, self.zones).ejected:
            self.ejected_at_ns.setdefault(consensus.observations.name, now_ns)
            broker.report(AdministrativeChange(int(ejection.endpoint.uid), True, now_ns))

    def _send_request(self) -> None:
        simulation = self.simulation
        gap_ns = int(simulation.random.expovariate(1) * self.request_gap_ns)
        simulation.call_at(simulation.now_ns + gap_ns, self._send_request)
        broker, _ = simulation.random.choice(self.brokers)
        request_id = str(next(self.request_ids))
        broker.send_request(request_id, "glance", NS_PER_S // 5, 1, 5 * NS_PER_S)

    def run(self) -> FailingEndpointResult:
        """Play 25 seconds."""
        simulation = self.simulation
        for broker, consensus in self.brokers:
            offset_ns = simulation.random.randrange(self.settings.gossip_interval_ns)
            simulation.call_at(BEGIN_NS + offset_ns, partial(self._gossip, broker, consensus))
        self._send_request()
        simulation.run(25)
        last_ns = simulation.now_ns
        if len(self.ejected_at_ns) == len(self.names):
            last_ns = max(self.ejected_at_ns.values())
        first_ns = simulation.now_ns if self.first_failure_ns is None else self.first_failure_ns
        return FailingEndpointResult(
            (last_ns - first_ns) / NS_PER_S, self.failing.failed_queries, len(self.ejected_at_ns)
        )


def run_failing_endpoint(count: int, use_gossip: bool, seed: int) -> FailingEndpointResult:
    """Play one run with a failing endpoint, in a process of its own."""
    return FailingEndpointRun(count, use_gossip, seed).run()


class SimulationSize(NamedTuple):
    """How much to simulate with a number of brokers."""

    brokers: int
    seeds: int
    seconds: float


def report_fault_schedules(
    figures: Figures, pool: multiprocessing.pool.Pool, size: SimulationSize
) -> None:
    """Print what the auditor saw over many schedules."""
    play = partial(run_fault_schedule, size.brokers, size.seconds)
    results = pool.map(play, range(size.seeds), 1)
    name = f"schedules_{size.brokers}"
    breaches = sum(result.overshoot_per_s > ROUNDING_ERROR for result in results)
    figures.tell(f"{name}.seeds", size.seeds)
    figures.tell(f"{name}.breaches", breaches, most=0)
    figures.tell(f"{name}.two_homes", sum(result.had_two_leaders for result in results), most=0)
    busiest = max(result.messages_per_s for result in results)
    figures.tell(f"{name}.messages_a_second", busiest, most=40.0)


def report_uneven_demand(
    figures: Figures, pool: multiprocessing.pool.Pool, size: SimulationSize
) -> None:
    """Print which fraction of a limit is used at uneven demand."""
    results = pool.map(partial(run_uneven_demand, size.brokers), range(min(size.seeds, 8)), 1)
    for position, name in enumerate(UsedFractions._fields):
        mean = sum(result[position] for result in results) / len(results)
        bound = 0.9 if name == "leased" else None
        figures.tell(f"skewed_{size.brokers}.{name}", mean, least=bound)


def report_failing_endpoint(
    figures: Figures, pool: multiprocessing.pool.Pool, count: int, use_gossip: bool
) -> None:
    """Print how soon all brokers eject a failing endpoint."""
    results = pool.map(partial(run_failing_endpoint, count, use_gossip), range(1, 5), 1)
    interval_s = OutlierConsensusSettings().gossip_interval_ns / NS_PER_S
    bound_s = 2.0 + gossip_rounds(count) * interval_s if use_gossip else None
    name = f"bad_engine_{count}.{'shared' if use_gossip else 'alone'}"
    slowest = max(result.until_last_s for result in results)
    figures.tell(f"{name}.until_the_last_acts_s", slowest, most=bound_s)
    mean_failed = sum(result.failed_queries for result in results) / len(results)
    figures.tell(f"{name}.queries_that_failed", mean_failed)


def report_simulations(
    figures: Figures, sizes: Sequence[SimulationSize], endpoint_runs: Sequence[int]
) -> None:
    """Print the figures of all simulations.

    Args:
        figures: Prints each figure and remembers broken bounds.
        sizes: Simulations of shared limits.
        endpoint_runs: Numbers of brokers in the runs with a failing endpoint.
    """
    with multiprocessing.get_context("fork").Pool(len(os.sched_getaffinity(0))) as pool:
        for size in sizes:
            report_fault_schedules(figures, pool, size)
            report_uneven_demand(figures, pool, size)
        for count in endpoint_runs:
            for use_gossip in (False, True):
                report_failing_endpoint(figures, pool, count, use_gossip)


def report_model_checker(figures: Figures, depth: int) -> None:
    """Print how many states the model checker reached; 0, a broken bound, if it found a fault."""
    sys.path.insert(0, str(ROOT))
    from tests.support.quota_model import PropertyViolatedError, explore

    try:
        states = explore(depth)
    except PropertyViolatedError as violation:
        print(f"# {violation}")
        states = 0
    figures.tell(f"model.states_to_depth_{depth}", states, least=1)


DIRECTIVES = (
    '\nlimit("t0")\nlimit("t1")\nlimit("work", kind = "work")\n'
    'limit("c", kind = "connects", rate = 500)\n'
    "verdicts()"
)
QUICK_SIZES = (SimulationSize(10, 48, 60.0),)
FULL_SIZES = (
    SimulationSize(10, 1_000, 60.0),
    SimulationSize(100, 48, 60.0),
    SimulationSize(500, 8, 40.0),
)


def main() -> int:
    """Run all; return 1 if a bound was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    figures = Figures()
    if arguments.quick:
        report_simulations(figures, QUICK_SIZES, (10, 40))
        report_model_checker(figures, 3)
        return figures.exit()
    report_simulations(figures, FULL_SIZES, (10, 100, 500))
    report_model_checker(figures, 4)
    uvloop.run(costs(figures, 12, 400, "limits", DIRECTIVES, 1.08))
    return figures.exit()


if __name__ == "__main__":
    sys.exit(main())
