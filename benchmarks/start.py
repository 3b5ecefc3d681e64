"""What a mass start costs the discovery service and the engines.

Run `python -m benchmarks.start [--quick] [--base REV]`. Real processes of this program, started
within a second, before an emulated discovery service and emulated engines, beside the program as it
was; and the same decisions for up to 1,000 brokers on a simulated clock. `--plot FILE` draws the
calls of each second (extra `plots`).
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import NamedTuple

import uvloop

from .harness.arguments import add_base_option, benchmark_parser
from .harness.results import Results
from .harness.trees import add_present_name, worktree
from .start_calls import record_calls
from .start_processes import MassStart, StartScenario, record_start
from .start_settings import DISCOVERY_FAULTS, LIST_CALLS_PER_S, SLOW_DISCOVERY
from .start_simulation import record_cold_starts

BASE_COMMIT = "4131f1a"  # the last commit before starts were paced
#: With faults, a start of more processes would only measure the machine.
MAX_BROKERS_WITH_FAULTS = 24
MIN_ENGINES = 3
BROKERS_PER_ENGINE = 10
#: Number of terminated engines in the list of a slow discovery service.
TERMINATED_ENGINES = 300


class Size(NamedTuple):
    """The amount of work that a run measures."""

    call_seeds: int
    start_seeds: int
    simulated_brokers: tuple[int, ...]
    simulated_s: float
    processes: int
    requests_end_s: float


QUICK = Size(2, 1, (10,), 16.0, 24, 6.0)
FULL = Size(20, 2, (10, 100, 1_000), 40.0, 200, 30.0)
QUICK_CALL_BROKERS = (10, 100)


def plot_calls(path: str, times_s: Mapping[str, list[float]]) -> None:
    """Plot the calls of the discovery service in each second, one diagram for each title."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(times_s), 1, sharex=True, figsize=(8, 1.6 * len(times_s)))
    for axis, (title, calls_s) in zip(axes, times_s.items(), strict=True):
        axis.hist(calls_s, bins=range(int(max(calls_s)) + 2))
        axis.axhline(LIST_CALLS_PER_S, linestyle="--")
        axis.set_title(f"calls a second on the list service: {title}", fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


async def record_paced_starts(
    results: Results, brokers: int, requests_end_s: float, is_quick: bool
) -> None:
    """Record starts of the current program: without faults, with faults, with a slow list."""
    engines = max(MIN_ENGINES, brokers // BROKERS_PER_ENGINE)
    brokers_with_faults = min(brokers, MAX_BROKERS_WITH_FAULTS)
    scenarios = {
        f"paced_{brokers}": StartScenario(brokers, engines, requests_end_s),
        f"faults_{brokers_with_faults}": StartScenario(
            brokers_with_faults, MIN_ENGINES, requests_end_s, DISCOVERY_FAULTS
        ),
    }
    if not is_quick:
        scenarios[f"slow_{brokers}"] = StartScenario(
            brokers, engines, requests_end_s, SLOW_DISCOVERY, TERMINATED_ENGINES
        )
    for name, scenario in scenarios.items():
        result = await MassStart(scenario).run()
        record_start(results, f"processes.{name}", result, scenario, is_paced=True)


async def record_former_starts(
    results: Results, base: str, brokers: int, requests_end_s: float
) -> None:
    """Record starts of the base commit's program."""
    engines = max(MIN_ENGINES, brokers // BROKERS_PER_ENGINE)
    with worktree(base) as tree:
        add_present_name(tree)
        scenarios = {
            f"before_{brokers}": StartScenario(
                brokers, engines, requests_end_s, tree=tree, operator_script=""
            ),
            f"before_slow_{brokers}": StartScenario(
                brokers,
                engines,
                requests_end_s,
                SLOW_DISCOVERY,
                TERMINATED_ENGINES,
                tree=tree,
                operator_script="",
            ),
        }
        for name, scenario in scenarios.items():
            result = await MassStart(scenario).run()
            record_start(results, f"processes.{name}", result, scenario, is_paced=False)


async def main() -> int:
    """Run the benchmark; return the exit code."""
    parser = benchmark_parser(__doc__)
    add_base_option(parser, BASE_COMMIT)
    parser.add_argument("--count", type=int, default=0, help="processes that start")
    parser.add_argument("--plot", default="", metavar="FILE", help="draw the simulated calls")
    options = parser.parse_args()
    size = QUICK if options.quick else FULL
    results = Results()
    call_brokers = QUICK_CALL_BROKERS if options.quick else size.simulated_brokers
    calls_s = record_calls(results, size.call_seeds, call_brokers)
    record_cold_starts(results, size.start_seeds, size.simulated_brokers, size.simulated_s)
    if options.plot:
        plot_calls(options.plot, calls_s)
    brokers = options.count or size.processes
    await record_paced_starts(results, brokers, size.requests_end_s, options.quick)
    if not options.quick:
        await record_former_starts(results, options.base, brokers, size.requests_end_s)
    return results.exit_code()


if __name__ == "__main__":
    sys.exit(uvloop.run(main()))
