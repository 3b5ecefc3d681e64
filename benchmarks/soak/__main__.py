"""Plays seeds one after the other and prints what each broke; see the package."""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import uvloop

from .audit import RunRecord, Violation, audit, count_violations_by_rule, timeline
from .play import SoakRun, fault_counts
from .scenario import Scenario, draw_scenario

#: Where the logs of a seed that broke a rule are kept.
LOG_FOLDER = Path("found") / "soak"
SHOWN_VIOLATIONS = 5


@dataclass(frozen=True, slots=True)
class Outcome:
    """The record of one run and the violations that the audit found in it."""

    record: RunRecord
    violations: list[Violation]


def play(scenario: Scenario, log_folder: Path | None = None) -> Outcome:
    """Play a scenario once, and audit it."""

    async def run() -> RunRecord:
        return await SoakRun(scenario).play(log_folder)

    record = uvloop.run(run())
    return Outcome(record, audit(record))


def print_outcome(scenario: Scenario, outcome: Outcome) -> None:
    """Print the broken rules of a run, its scenario and the timelines of the first violations."""
    rules = {
        rule.value: count for rule, count in count_violations_by_rule(outcome.violations).items()
    }
    print(
        f"seed {scenario.seed}: {len(outcome.record.requests)} requests, broken {rules or 'none'}"
    )
    if not outcome.violations:
        return
    print(f"  {scenario.describe()}")
    for violation in outcome.violations[:SHOWN_VIOLATIONS]:
        print(f"  {violation.rule.value}: {violation.text}")
        if violation.request is not None:
            for line in timeline(violation.request, outcome.record):
                print(f"    {line}")


def shrink(scenario: Scenario, outcome: Outcome) -> Scenario:
    """Remove parts of a scenario for as long as its run still breaks the same rule."""
    rule = outcome.violations[0].rule
    changed = True
    while changed:
        changed = False
        for smaller in scenario.without_parts():
            if any(violation.rule is rule for violation in play(smaller).violations):
                scenario = smaller
                changed = True
                break
    return scenario


def main(arguments: list[str]) -> int:
    """Run the command line; return 1 if any run broke a rule."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="play this seed alone")
    parser.add_argument("--seeds", type=int, nargs=2, metavar=("FIRST", "COUNT"), default=(1, 10))
    parser.add_argument("--shrink", action="store_true", help="drop parts that are not needed")
    options = parser.parse_args(arguments)
    first, count = (options.seed, 1) if options.seed is not None else options.seeds
    totals: Counter[str] = Counter()
    broken: Counter[str] = Counter()
    for seed in range(first, first + count):
        scenario = draw_scenario(seed)
        folder = LOG_FOLDER / str(seed)
        outcome = play(scenario, folder)
        print_outcome(scenario, outcome)
        totals["requests"] += len(outcome.record.requests)
        totals.update(fault_counts(scenario))
        broken.update(rule.value for rule in count_violations_by_rule(outcome.violations))
        if outcome.violations and options.shrink:
            print(f"  shrunk: {shrink(scenario, outcome).describe()}")
    print(
        f"{count} seeds; totals {json.dumps(totals)}; seeds with broken rules {json.dumps(broken)}"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
