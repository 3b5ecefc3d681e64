"""What a larger fleet costs one broker: `python -m benchmarks.fleet [--quick] [--base REV]`."""

from __future__ import annotations

import json
import os
import random
import statistics
import subprocess
import sys
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from query_broker import decisions as api
from query_broker.decisions.controller import AdmissionController
from query_broker.emulator.cluster import EmulatedCluster, tenant_settings

from .fleet_programs import DECIDE, DECIDE_LARCHHALL
from .harness.arguments import add_base_option, benchmark_parser
from .harness.daemon import Daemon, Program, running_daemons
from .harness.request_cost import TENANTS, compare_request_costs
from .harness.results import Results
from .harness.simulated_load import CONTRACT, REQUEST_CLASSES
from .harness.statistics import ratios, record_ratios
from .harness.trees import PACKAGE, ROOT, package_of, worktree
from .harness.units import NS_PER_MS

BASE_COMMIT = "649d4a1"  # the last commit before brokers used a subset of the engines


class FleetSize(NamedTuple):
    """The number of engines, and of the brokers that share them."""

    engines: int
    brokers: int


SMALL = FleetSize(6, 3)
LARGE = FleetSize(60, 40)
SPREAD_SIZES = (SMALL, FleetSize(30, 40), LARGE, FleetSize(60, 200))
SPREAD_SEED = 5
#: Settings of the daemons: in so large a fleet a broker may only use a part of a small machine.
DAEMON_SETTINGS: dict[str, Any] = {
    "tenants": tenant_settings(*TENANTS),
    "fleet_size": LARGE.brokers,
    "limits": {"sockets": 384, "memory_mb": 80},
    "charges": {"handshake": 0.08},
}

#: Goal for a small fleet, where the subset contains all engines and only adds its upkeep.
MAX_SMALL_AGAINST_BEFORE = 1.15
#: In a large fleet a subset must not cost more than using all engines did.
MAX_LARGE_AGAINST_BEFORE = 1.0
#: Goal for ten times the engines: far below ten times the cost, since a subset has 10 engines.
MAX_LARGE_AGAINST_SMALL = 4.0
#: Size of the subset of engines that a broker uses (`docs/design/fleet.md`).
MAX_USED_ENGINES = 10
#: Every engine is in the same number of subsets, within 30 % (`docs/design/fleet.md`).
MAX_USE_AGAINST_MEAN = 1.3
MIN_USE_AGAINST_MEAN = 0.7
#: Three fifths of the memory and a third of the sockets that the daemons may use.
MAX_MEMORY_MB = 48
MAX_DESCRIPTORS = 128
#: Goal for a complete daemon, with an allowance for noise: consecutive runs differ by 0.04
#: (`docs/design/measurements.md`).
MAX_DAEMON_AGAINST_BEFORE = 1.05


class Repetitions(NamedTuple):
    """The number of repetitions of each measurement."""

    decision_rounds: int
    decision_requests: int
    daemon_rounds: int
    daemon_requests: int


QUICK = Repetitions(5, 1_500, 6, 250)
FULL = Repetitions(15, 5_000, 20, 500)


class DecisionCase(NamedTuple):
    """A program, and the size of the fleet that it decides for."""

    program: str
    size: FleetSize


def decision_cost_us(tree: Path, size: FleetSize, requests: int) -> float:
    """Return the processor time of the decisions for a request, its outcome and its timers."""
    program = DECIDE if package_of(tree) == PACKAGE else DECIDE_LARCHHALL
    completed = subprocess.run(
        [sys.executable, "-c", program, str(size.engines), str(size.brokers), str(requests)],
        env={**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"},
        cwd=tree,
        capture_output=True,
        text=True,
        check=True,
    )
    return float(completed.stdout)


def measure_decisions(
    trees: Mapping[str, Path], rounds: int, requests: int
) -> dict[DecisionCase, list[float]]:
    """Measure the decisions of each program and size, in a random order in each round."""
    cases = [DecisionCase(program, size) for program in trees for size in (SMALL, LARGE)]
    costs_us: dict[DecisionCase, list[float]] = {case: [] for case in cases}
    for round_number in range(rounds):
        order = list(cases)
        random.Random(round_number).shuffle(order)
        for case in order:
            cost_us = decision_cost_us(trees[case.program], case.size, requests)
            costs_us[case].append(cost_us)
    return costs_us


def record_decisions(results: Results, before: Path, rounds: int, requests: int) -> None:
    """Compare the decisions with those of the base commit, and large fleets with small ones."""
    trees = {"before": before, "now": ROOT}
    costs_us = measure_decisions(trees, rounds, requests)
    for case, values in costs_us.items():
        name = f"decisions.{case.program}_{case.size.engines}_engines_us"
        results.record(name, statistics.median(values))
    bounds = {SMALL: MAX_SMALL_AGAINST_BEFORE, LARGE: MAX_LARGE_AGAINST_BEFORE}
    for size, bound in bounds.items():
        record_ratios(
            results,
            f"decisions.now_against_before_{size.engines}",
            costs_us[DecisionCase("now", size)],
            costs_us[DecisionCase("before", size)],
            at_most=bound,
        )
    for program in trees:
        size_ratios = ratios(
            costs_us[DecisionCase(program, LARGE)], costs_us[DecisionCase(program, SMALL)]
        )
        results.record(
            f"decisions.{program}_60_engines_against_6",
            statistics.median(size_ratios),
            at_most=MAX_LARGE_AGAINST_SMALL if program == "now" else None,
        )


def spread_settings(broker_index: int, brokers: int) -> api.Settings:
    """Return the settings of one broker of a fleet."""
    return api.Settings(
        classes=REQUEST_CLASSES,
        fleet_size=brokers,
        broker_index=broker_index,
        tick_ns=5 * NS_PER_MS,
        kind_cores=(("std", 8),),
        contract=CONTRACT,
    )


def count_users(size: FleetSize) -> Counter[int]:
    """Return how many brokers use each engine."""
    numbers = random.Random(SPREAD_SEED).sample(range(1 << 32), size.engines)
    entries = tuple(
        api.EndpointEntry(number, api.EndpointState.READY, "a", "std") for number in numbers
    )
    update = api.EndpointListUpdate(api.ListUpdateKind.FULL, entries)
    users = Counter(dict.fromkeys(numbers, 0))
    for index in range(size.brokers):
        controller = AdmissionController(spread_settings(index, size.brokers), index, 0)
        controller.handle(0, update)
        users.update(engine.entry.endpoint for engine in controller.pool.subset)
    return users


def record_spread(results: Results) -> None:
    """Record how many engines a broker uses, and how evenly all brokers together use them."""
    for size in SPREAD_SIZES:
        users = count_users(size)
        mean = users.total() / size.engines
        name = f"spread.{size.brokers}_brokers_{size.engines}_engines"
        results.record(f"{name}_each_uses", users.total() / size.brokers, at_most=MAX_USED_ENGINES)
        results.record(
            f"{name}_most_used_against_mean",
            max(users.values()) / mean,
            at_most=MAX_USE_AGAINST_MEAN,
        )
        results.record(
            f"{name}_least_used_against_mean",
            min(users.values()) / mean,
            at_least=MIN_USE_AGAINST_MEAN,
        )


async def record_daemons(results: Results, before: Path, rounds: int, requests: int) -> None:
    """Compare the complete daemons in a fleet of 40 brokers with 60 engines."""
    cluster = EmulatedCluster()
    await cluster.start(*(f"s-{number}" for number in range(LARGE.engines)))
    programs = {"before": Program(before), "now": Program(ROOT)}
    async with running_daemons(programs, cluster, DAEMON_SETTINGS) as daemons:
        costs_us = await compare_request_costs(daemons, rounds, requests)
        for name, daemon in daemons.items():
            results.record(f"daemon.{name}_us", statistics.median(costs_us[name]))
            _record_resources(results, name, daemon)
    record_ratios(
        results,
        "daemon.now_against_before",
        costs_us["now"],
        costs_us["before"],
        at_most=MAX_DAEMON_AGAINST_BEFORE,
    )
    cluster.stop()


def _record_resources(results: Results, name: str, daemon: Daemon) -> None:
    is_bounded = name == "now"
    results.record(
        f"daemon.{name}_memory_mb",
        daemon.memory_mb(),
        at_most=MAX_MEMORY_MB if is_bounded else None,
    )
    results.record(
        f"daemon.{name}_descriptors",
        daemon.descriptor_count(),
        at_most=MAX_DESCRIPTORS if is_bounded else None,
    )


def main() -> int:
    """Run the benchmark; return the exit code."""
    parser = benchmark_parser(__doc__)
    add_base_option(parser, BASE_COMMIT)
    options = parser.parse_args()
    repetitions = QUICK if options.quick else FULL
    results = Results()
    print(f"# {json.dumps({'seeds': [5, 7, 11], 'sizes': [SMALL, LARGE]})}")
    record_spread(results)
    with worktree(options.base) as before:
        record_decisions(
            results, before, repetitions.decision_rounds, repetitions.decision_requests
        )
        uvloop.run(
            record_daemons(results, before, repetitions.daemon_rounds, repetitions.daemon_requests)
        )
    return results.exit_code()


if __name__ == "__main__":
    sys.exit(main())
