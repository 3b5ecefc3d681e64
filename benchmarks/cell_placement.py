"""Large maps of cells, the placement of engines in them, and plans for tenants."""

from __future__ import annotations

import random
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from query_broker.cells.model import CellMap
from query_broker.cells.placement import PlacedEndpoint, Placement
from query_broker.cells.planner import Problem, hashed_placement, relative_loads
from query_broker.cells.solver import solve
from query_broker.operator_config.script import evaluate

from .harness.results import Results

SEED = 3
CELL_COUNT = 12
MIN_CELL_ENGINES = 3
MAX_CELL_ENGINES = 7
TENANT_COUNT = 1_000
ENGINE_COUNT = 60
ENGINE_CORES = 8.0
LOOKUP_COUNT = 100_000
PARETO_SHAPE = 1.3
SEPARATED_PAIR_COUNT = 20
SMALL_PLAN_MAX_MOVES = 60
MS_PER_S = 1_000
US_PER_S = 1_000_000
OPERATOR_FILE = f"""\
epoch(1)
sizes = {{"least": {MIN_CELL_ENGINES}, "most": {MAX_CELL_ENGINES}}}
[cell("c%d" % i, **sizes) for i in range({CELL_COUNT})]
[tenant("t%d" % i, cell = "c%d" % (i % {CELL_COUNT})) for i in range({TENANT_COUNT})]
default_cell("c0")
"""

#: Goal, since a reload evaluates the file while the broker serves. Runs took 0.2 to 0.3 s.
MAX_FILE_MS = 2_000.0
#: Goal, since the endpoint list changes while the broker serves. Runs took less than 4 ms.
MAX_PLACEMENT_MS = 50.0
#: The removal of an engine must not move any other engine to another cell.
MAX_OTHERS_MOVED = 0
#: The solver has a time limit; building the problem and reading the plan may take this much more.
SOLVER_MARGIN_S = 5.0
#: Goal of a plan: the fullest cell has at most 1.1 times the mean load; 1.004 was measured
#: (`docs/design/measurements.md`).
MAX_FULLEST_BY_PLAN = 1.1


class Stopwatch:
    """Measures the duration of a block.

    Attributes:
        seconds: The duration, once the block has ended.
    """

    def __init__(self) -> None:
        """Create a stopwatch that has measured nothing."""
        self.seconds = 0.0

    @contextmanager
    def running(self) -> Iterator[None]:
        """Measure a block."""
        begun_s = time.perf_counter()
        yield
        self.seconds = time.perf_counter() - begun_s


def _evaluate_map(results: Results) -> CellMap:
    stopwatch = Stopwatch()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "ops.star"
        path.write_text(OPERATOR_FILE)
        with stopwatch.running():
            cell_map = evaluate(str(path)).cell_map
    results.record("map.file_ms", stopwatch.seconds * MS_PER_S, at_most=MAX_FILE_MS)
    assert cell_map is not None
    return cell_map


def _place_engines(
    results: Results, cell_map: CellMap, engines: Sequence[PlacedEndpoint]
) -> Placement:
    stopwatch = Stopwatch()
    with stopwatch.running():
        placement = Placement(cell_map)
        placement.apply_list_update(engines)
    results.record("map.placement_ms", stopwatch.seconds * MS_PER_S, at_most=MAX_PLACEMENT_MS)
    with stopwatch.running():
        for number in range(LOOKUP_COUNT):
            cell_map.home(f"t{number % TENANT_COUNT}")
    results.record("map.home_us", stopwatch.seconds / LOOKUP_COUNT * US_PER_S)
    sizes = [placement.size(cell.name) for cell in cell_map.cells]
    results.record("map.least_engines", min(sizes), at_least=MIN_CELL_ENGINES)
    results.record("map.most_engines", max(sizes), at_most=MAX_CELL_ENGINES)
    return placement


def _count_moved_by_removals(cell_map: CellMap, engines: Sequence[PlacedEndpoint]) -> int:
    """Remove each engine in turn, and count the other engines that change their cell."""
    moved = 0
    for engine in engines:
        placement = Placement(cell_map)
        placement.apply_list_update(engines)
        seats_before = dict(placement.seats)
        placement.apply_list_update([], [engine.uid])
        moved += sum(
            placement.seats[uid] != cell for uid, cell in seats_before.items() if uid != engine.uid
        )
    return moved


def _plan_tenants(
    results: Results, loads: dict[str, float], capacities: dict[str, float], solver_s: float
) -> None:
    hashed = hashed_placement(loads, capacities)
    separated = tuple(
        (f"t{number}", f"t{number + 1}") for number in range(0, 2 * SEPARATED_PAIR_COUNT, 2)
    )
    mean = sum(loads.values()) / sum(capacities.values())
    stopwatch = Stopwatch()
    with stopwatch.running():
        plan = solve(Problem(loads, capacities, hashed, separated), solver_s)
    max_s = solver_s + SOLVER_MARGIN_S
    results.record("plan.seconds", stopwatch.seconds, at_most=max_s)
    by_hashing = relative_loads(Problem(loads, capacities, hashed), hashed)
    results.record("plan.fullest_by_hashing", max(by_hashing.values()) / mean)
    fullest_by_plan = max(plan.loads_after.values()) / mean
    results.record("plan.fullest_by_plan", fullest_by_plan, at_most=MAX_FULLEST_BY_PLAN)
    results.record("plan.tenants_moved", len(plan.moves))
    with stopwatch.running():
        small_plan = solve(
            Problem(loads, capacities, hashed, separated, max_moves=SMALL_PLAN_MAX_MOVES), solver_s
        )
    results.record("plan.seconds_60_moves", stopwatch.seconds, at_most=max_s)
    results.record("plan.fullest_by_60_moves", max(small_plan.loads_after.values()) / mean)


def record_placement(results: Results, solver_s: float) -> None:
    """Evaluate a map of twelve cells and 1,000 tenants, place 60 engines, and plan the tenants."""
    rng = random.Random(SEED)
    cell_map = _evaluate_map(results)
    engines = [
        PlacedEndpoint(f"s-{number:04x}", "east", "std", True) for number in range(ENGINE_COUNT)
    ]
    placement = _place_engines(results, cell_map, engines)
    moved = _count_moved_by_removals(cell_map, engines)
    results.record("map.others_moved_when_one_leaves", moved, at_most=MAX_OTHERS_MOVED)
    loads = {f"t{number}": rng.paretovariate(PARETO_SHAPE) for number in range(TENANT_COUNT)}
    capacities = {
        cell.name: ENGINE_CORES * max(1, placement.size(cell.name)) for cell in cell_map.cells
    }
    _plan_tenants(results, loads, capacities, solver_s)
