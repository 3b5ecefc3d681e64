"""What is begun for clients that have left.

Run `python -m benchmarks.deadlines [--quick] [--base REV] [--only PART,...]`. The parts: `inside`,
randomised lifecycles before a broker in this process; `before`, the same with the program before,
by its own copy of this benchmark; `cancels`, engine time after the client left; `path`, the
processor time of a request and the copies made of a large statement.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
from pathlib import Path

import uvloop

from .cancelled_queries import record_cancels
from .client_lifecycles import SEEDS, record_lifecycles
from .harness.arguments import add_base_option, add_only_option, benchmark_parser, is_selected
from .harness.daemon import Program
from .harness.request_cost import compare_request_costs, ordinary_path
from .harness.results import Results
from .harness.statistics import lower_quartile
from .harness.trees import PACKAGE, ROOT, package_of, worktree

BASE_COMMIT = "47b6501"  # the last commit before deadlines
#: Goal for the cost of the checks at each hand-over, with an allowance for noise: consecutive runs
#: differ by 0.04 (`docs/design/measurements.md`).
MAX_COST_AGAINST_BEFORE = 1.05

#: The package that contains the encoder of engine lines, by the import package of a tree.
ENCODER_PACKAGES = {"query_broker": "query_broker.protocols", "larchhall": "larchhall.wire"}
COUNT_COPIES = """
import sys, tracemalloc
from {package} import resp
statement = b'x' * 200_000
tracemalloc.start()
made = getattr(resp, 'pieces', resp.encode)(b'do', b'1', b'limit=1', statement)
print(round(tracemalloc.get_traced_memory()[1] / 200_000))
"""


def record_before(results: Results, base: str, quick: bool) -> None:
    """Record the values of `inside` for the base commit by running that commit's own benchmark.

    This part runs the broker in the process of the benchmark, so that it depends on the names of
    its commit.
    """
    with worktree(base) as tree:
        if package_of(tree) != PACKAGE:
            print(f"before: not measured, {base} is older than the package {PACKAGE}")
            return
        command = [sys.executable, "-m", "benchmarks.deadlines", "--only", "inside"]
        if quick:
            command.append("--quick")
        completed = subprocess.run(command, cwd=tree, capture_output=True, text=True, check=False)
    values = read_values(completed.stdout)
    if not values:
        print(f"before: not measured, benchmarks.deadlines of {base} reported nothing")
    for name, value in values.items():
        results.record(f"before.{name.removeprefix('inside.')}", value)


def read_values(output: str) -> dict[str, float]:
    """Return the values that a benchmark printed, without their bounds."""
    values = {}
    for line in output.splitlines():
        name, separator, rest = line.partition("=")
        if separator and not line.startswith("#"):
            values[name] = float(rest.split()[0])
    return values


def count_statement_copies(tree: Path) -> int:
    """Return how many copies of a large statement the encoder of a tree makes."""
    program = COUNT_COPIES.format(package=ENCODER_PACKAGES[package_of(tree)])
    completed = subprocess.run(
        [sys.executable, "-c", program], cwd=tree, capture_output=True, text=True, check=True
    )
    return int(completed.stdout)


async def record_ordinary_path(results: Results, base: str, rounds: int, count: int) -> None:
    """Compare the cost of a request with that in the base commit."""
    with worktree(base) as tree:
        programs = {"before": Program(tree), "now": Program(ROOT)}
        async with ordinary_path(programs) as daemons:
            costs_us = await compare_request_costs(daemons, rounds, count)
        copies = {name: count_statement_copies(program.tree) for name, program in programs.items()}
    for name, values in costs_us.items():
        results.record(f"path.{name}_us", statistics.median(values))
    # Other work on the machine only adds time, so the lower quartiles are compared.
    ratio = lower_quartile(costs_us["now"]) / lower_quartile(costs_us["before"])
    results.record("path.now_against_before", ratio, at_most=MAX_COST_AGAINST_BEFORE)
    results.record("path.copies_of_a_large_statement_before", copies["before"])
    # The base commit's number of copies is the bound.
    results.record("path.copies_of_a_large_statement_now", copies["now"], at_most=copies["before"])


def main() -> int:
    """Run the parts that the command line names; return the exit code."""
    parser = benchmark_parser(__doc__)
    add_base_option(parser, BASE_COMMIT)
    add_only_option(parser)
    options = parser.parse_args()
    results = Results()
    print(f"# seeds {SEEDS}")
    lifecycles = 1_200 if options.quick else 20_000
    cancel_s = 2.0 if options.quick else 12.0
    rounds = 12 if options.quick else 40
    requests = 250 if options.quick else 500
    if is_selected("inside", options.only):
        uvloop.run(record_lifecycles(results, lifecycles))
    if is_selected("before", options.only):
        record_before(results, options.base, options.quick)
    if is_selected("cancels", options.only):
        uvloop.run(record_cancels(results, cancel_s))
    if is_selected("path", options.only):
        uvloop.run(record_ordinary_path(results, options.base, rounds, requests))
    return results.exit_code()


if __name__ == "__main__":
    sys.exit(main())
