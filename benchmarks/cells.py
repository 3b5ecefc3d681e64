"""What cells achieve and what they cost: `python -m benchmarks.cells [--quick] [--base REV]`.

The parts, of which `--only` selects some: `map`, large maps of cells and plans; `path`, the
processor time of a request; `isolation`, one tenant with a fault; `loans`, capacity that a cell
lends comes back; `moves`, migrations under load and faults.
"""

from __future__ import annotations

import statistics
import sys
from typing import NamedTuple

import uvloop

from .cell_isolation import record_isolation
from .cell_lending import record_lending
from .cell_migrations import record_migrations
from .cell_placement import record_placement
from .harness.arguments import add_base_option, add_only_option, benchmark_parser, is_selected
from .harness.daemon import Daemon, Program
from .harness.request_cost import compare_request_costs, ordinary_path, shuffled_order
from .harness.results import Results
from .harness.statistics import lower_quartile
from .harness.trees import ROOT, worktree

BASE_COMMIT = "22cc526"  # the last commit before cells
CELL_COUNT = 4
#: Without cells the cost must not grow; the bound allows for noise alone (consecutive runs differ
#: by 0.04, `docs/design/measurements.md`).
MAX_COST_WITHOUT_CELLS = 1.03
#: Goal for four cells, each with its own decisions and accounts.
MAX_COST_WITH_CELLS = 1.10
#: No engine has a fault, so nearly all requests are served; a busy machine may delay a few.
MIN_SERVED = 0.99


class Size(NamedTuple):
    """The amount of work that a run measures."""

    path_rounds: int
    path_requests: int
    isolation_s: float
    migrations: int
    solver_s: float


QUICK = Size(16, 250, 4.0, 40, 3.0)
FULL = Size(40, 500, 20.0, 200, 20.0)


def operator_script() -> str:
    """Return the operators' file of four cells with one engine and one tenant each."""
    numbers = range(CELL_COUNT)
    lines = [
        "epoch(1)",
        *(f'cell("c{number}", engines = ["s-{number}"])' for number in numbers),
        'default_cell("c0")',
        *(f'tenant("t{number}", cell = "c{number}")' for number in numbers),
    ]
    return "\n".join(lines)


async def record_ordinary_path(results: Results, base: str, rounds: int, count: int) -> None:
    """Compare the cost of a request without cells, with four cells, and in the base commit."""
    with worktree(base) as tree:
        programs = {
            "base": Program(tree),
            "off": Program(ROOT),
            "on": Program(ROOT, operator_script()),
        }
        async with ordinary_path(programs) as daemons:
            costs_us = await compare_request_costs(daemons, rounds, count, shuffled_order)
            for name, daemon in daemons.items():
                results.record(f"path.{name}_us", statistics.median(costs_us[name]))
                _record_daemon(results, name, daemon)
    # Other work on the machine only adds time, so the lower quartiles are compared.
    base_us = lower_quartile(costs_us["base"])
    for name, bound in (("off", MAX_COST_WITHOUT_CELLS), ("on", MAX_COST_WITH_CELLS)):
        ratio = lower_quartile(costs_us[name]) / base_us
        results.record(f"path.{name}_against_base", ratio, at_most=bound)


def _record_daemon(results: Results, name: str, daemon: Daemon) -> None:
    records = daemon.requests.records
    served = sum(record.code == 0 for record in records) / len(records)
    results.record(f"path.{name}_served", served, at_least=MIN_SERVED)
    results.record(f"path.{name}_memory_mb", daemon.memory_mb())


def main() -> int:
    """Run the parts that the command line names; return the exit code."""
    parser = benchmark_parser(__doc__)
    add_base_option(parser, BASE_COMMIT)
    add_only_option(parser)
    options = parser.parse_args()
    size = QUICK if options.quick else FULL
    results = Results()
    if is_selected("map", options.only):
        record_placement(results, size.solver_s)
    if is_selected("path", options.only):
        uvloop.run(
            record_ordinary_path(results, options.base, size.path_rounds, size.path_requests)
        )
    if is_selected("isolation", options.only):
        uvloop.run(record_isolation(results, size.isolation_s))
    if is_selected("loans", options.only):
        uvloop.run(record_lending(results))
    if is_selected("moves", options.only):
        uvloop.run(record_migrations(results, size.migrations))
    return results.exit_code()


if __name__ == "__main__":
    sys.exit(main())
