"""How fast, and how wrongly, brokers detect which of them are present.

Run `python -m benchmarks.members [--quick] [--part PART]`. The parts are: a simulated clock, beside
plain SWIM and plain heartbeats on the same seeds; a model of three members under every order of
events; real processes, with quiet and with busy cores, and the processor time of a request with
the membership and without it.
"""

from __future__ import annotations

import argparse
import sys

import uvloop

from .former_harness import ROOT, Figures
from .member_processes import costs, processes
from .member_simulations import simulated

LOSSES = (0.0, 0.1, 0.3)
PAUSED_FRACTIONS = (0.0, 0.01, 0.05, 0.1)
SETTLE_EVERY = 25


def model(figures: Figures, depth: int) -> None:
    """Explore the model of three members up to a depth."""
    sys.path.insert(0, str(ROOT))
    from tests.members_model import Exploration, PropertyViolationError, explore

    try:
        explored = explore(depth, SETTLE_EVERY)
    except PropertyViolationError as violation:
        print(f"# {violation}")
        explored = Exploration(0, 0)
    figures.tell(f"model.states_to_depth_{depth}", explored.states, least=1)
    figures.tell("model.states_that_agree_once_messages_flow", explored.settled, least=1)


def simulate(figures: Figures, quick: bool) -> None:
    """Measure on the simulated clock."""
    if quick:
        simulated(figures, {10: 24, 60: 8}, (0.1,), (0.0, 0.1))
        return
    simulated(figures, {10: 1_000, 100: 100}, LOSSES, PAUSED_FRACTIONS)
    simulated(figures, {1_000: 8}, (0.1,), (0.0, 0.1))


async def real(figures: Figures, quick: bool) -> None:
    """Measure on real processes."""
    if quick:
        await processes(figures, 8, 1, False, 0.25)
        return
    for busy in (False, True):
        await processes(figures, 24, 4, busy, 1.0)
    await costs(figures, 12, 400)


def main() -> int:
    """Run the parts that the command line names; return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--part", choices=("simulated", "model", "real"), default="")
    options = parser.parse_args()
    figures = Figures()
    if options.part in ("", "simulated"):
        simulate(figures, options.quick)
    if options.part in ("", "model"):
        model(figures, 3 if options.quick else 6)
    if options.part in ("", "real"):
        uvloop.run(real(figures, options.quick))
    return figures.exit()


if __name__ == "__main__":
    sys.exit(main())
