"""How fast, and how wrongly, brokers detect which of them are present.

Run `python -m benchmarks.members [--quick] [--part PART]`. The parts are: a simulated clock, beside
plain SWIM and plain heartbeats on the same seeds; a model of three members under every order of
events; real processes, with quiet and with busy cores, and the processor time of a request with
the membership and without it.
"""

from __future__ import annotations

import sys

import uvloop

from .harness.arguments import benchmark_parser
from .harness.results import Results
from .harness.trees import ROOT
from .member_processes import MEMBERS_ALONE, GroupScenario, record_costs, record_group
from .member_simulations import record_simulations

LOSSES = (0.0, 0.1, 0.3)
PAUSED_FRACTIONS = (0.0, 0.01, 0.05, 0.1)
STATES_PER_SETTLED_STATE = 25
QUICK_GROUP = GroupScenario(members=8, kills=1, is_busy=False, interval_s=0.25)
FULL_GROUPS = (
    GroupScenario(members=24, kills=4, is_busy=False, interval_s=1.0),
    GroupScenario(members=24, kills=4, is_busy=True, interval_s=1.0),
)
COST_ROUNDS = 12
COST_REQUESTS = 400
QUICK_DEPTH = 3
FULL_DEPTH = 6
#: An exploration that reached no state or found a violation proves nothing.
MIN_STATES = 1


def record_model(results: Results, depth: int) -> None:
    """Explore the model of three members up to a depth."""
    sys.path.insert(0, str(ROOT))
    from tests.support.members_model import Exploration, PropertyViolationError, explore

    try:
        exploration = explore(depth, STATES_PER_SETTLED_STATE)
    except PropertyViolationError as violation:
        print(f"# {violation}")
        exploration = Exploration(0, 0)
    results.record(f"model.states_to_depth_{depth}", exploration.states, at_least=MIN_STATES)
    results.record(
        "model.states_that_agree_once_messages_flow", exploration.settled, at_least=MIN_STATES
    )


def record_simulated(results: Results, quick: bool) -> None:
    """Run the measurements on the simulated clock."""
    if quick:
        record_simulations(results, {10: 24, 60: 8}, (0.1,), (0.0, 0.1))
        return
    record_simulations(results, {10: 1_000, 100: 100}, LOSSES, PAUSED_FRACTIONS)
    record_simulations(results, {1_000: 8}, (0.1,), (0.0, 0.1))


async def record_real(results: Results, quick: bool) -> None:
    """Run the measurements on real processes."""
    if quick:
        await record_group(results, QUICK_GROUP)
        return
    for scenario in FULL_GROUPS:
        await record_group(results, scenario)
    await record_costs(results, MEMBERS_ALONE, COST_ROUNDS, COST_REQUESTS)


def main() -> int:
    """Run the parts that the command line names; return the exit code."""
    parser = benchmark_parser(__doc__)
    parser.add_argument("--part", choices=("simulated", "model", "real"), default="")
    options = parser.parse_args()
    results = Results()
    if options.part in ("", "simulated"):
        record_simulated(results, options.quick)
    if options.part in ("", "model"):
        record_model(results, QUICK_DEPTH if options.quick else FULL_DEPTH)
    if options.part in ("", "real"):
        uvloop.run(record_real(results, options.quick))
    return results.exit_code()


if __name__ == "__main__":
    sys.exit(main())
