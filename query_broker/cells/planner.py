"""Plans tenant migrations: the planning problem, a greedy placement and the plan.

The solver is in `query_broker.cells.solver`; this module reads its problem, checks its solution and
computes the load before and after a plan. Placement by hashing serves as a baseline. Performs no
I/O.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..errors import QueryBrokerError
from .model import rendezvous

#: Loads and capacities must be below this: larger values are implausible and degrade the solver's
#: numerical scaling.
VALUE_LIMIT = 1e12
#: The tolerance on ``max_load`` for rounding errors.
LOAD_TOLERANCE = 1e-6
#: The minimum decrease of the highest relative load, so that rounding errors cause no moves.
MIN_GAIN = 1e-9
JSON_DECIMAL_PLACES = 6


class PlanningProblemError(QueryBrokerError, ValueError):
    """A planning problem that cannot be used; its text is ``key: problem``."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the key and what is wrong with it."""
        super().__init__(f"{key}: {problem}")


class UnreadableProblemError(PlanningProblemError):
    """A text that is not a JSON object."""

    def __init__(self, *, expected: str) -> None:
        """Name the expected content of the file."""
        ValueError.__init__(self, f"the file holds no {expected}")


@dataclass(frozen=True, slots=True)
class Problem:
    """A planning problem; every instance is validated.

    Attributes:
        loads: The load of each tenant in thread-seconds a second.
        capacities: The capacity of each cell in cores.
        current_cells: The cell of each tenant today.
        separated_pairs: Pairs of tenants that must not be in one cell.
        fixed_cells: The cell of each tenant that must be in a given one.
        max_moves: How many tenants may change cells; None sets no bound.
        max_load: The maximum load of a cell relative to its capacity; None sets no bound.

    Raises:
        PlanningProblemError: The problem contradicts itself; the text names the key.
    """

    loads: Mapping[str, float]
    capacities: Mapping[str, float]
    current_cells: Mapping[str, str]
    separated_pairs: tuple[tuple[str, str], ...] = ()
    fixed_cells: Mapping[str, str] | None = None
    max_moves: int | None = None
    max_load: float | None = None

    def __post_init__(self) -> None:
        """Validate the problem, in the order of the keys of the file."""
        self._check_loads()
        self._check_capacities()
        self._check_current_cells()
        self._check_names("apart", [name for pair in self.separated_pairs for name in pair])
        self._check_names("fixed", self.fixed_cells or {})
        for cell in (self.fixed_cells or {}).values():
            if cell not in self.capacities:
                raise PlanningProblemError("fixed", f"{cell!r} is no cell")

    def _check_loads(self) -> None:
        if not self.loads:
            raise PlanningProblemError("tenants", "none is named")
        if not self.capacities:
            raise PlanningProblemError("cells", "none is named")
        for name, value in self.loads.items():
            if not 0 <= value < VALUE_LIMIT:
                raise PlanningProblemError("tenants.load", f"of {name!r} must not be negative")

    def _check_capacities(self) -> None:
        for name, value in self.capacities.items():
            if not 0 < value < VALUE_LIMIT:
                raise PlanningProblemError("cells.capacity", f"of {name!r} must be above 0")

    def _check_current_cells(self) -> None:
        for name in self.loads:
            if self.current_cells.get(name) not in self.capacities:
                raise PlanningProblemError(
                    "tenants.cell", f"{self.current_cells.get(name)!r} of {name!r} is no cell"
                )

    def _check_names(self, key: str, names: Iterable[str]) -> None:
        for name in names:
            if name not in self.loads:
                raise PlanningProblemError(f"{key}", f"{name!r} is no tenant")


def read_problem(text: str) -> Problem:
    """Read a problem from JSON.

    The form is ``{"tenants": {NAME: {"cell": C, "load": L}}, "cells": {C: CAPACITY}, "apart":
    [[A, B]], "fixed": {NAME: C}, "most_moves": N, "most_load": FRACTION}``; the last four are
    optional.

    Raises:
        PlanningProblemError: The text is not of this form, or the problem contradicts itself.
    """
    raw = _read_object(text)
    _check_container_types(raw)
    tenants = raw.get("tenants", {})
    cells = raw.get("cells", {})
    _check_tenant_loads(tenants)
    _check_cell_capacities(cells)
    for key in ("most_moves", "most_load"):
        _check_bound(key, raw.get(key))
    most_moves = raw.get("most_moves")
    return Problem(
        loads={name: float(tenant["load"]) for name, tenant in tenants.items()},
        capacities={name: float(capacity) for name, capacity in cells.items()},
        current_cells={name: tenant.get("cell") for name, tenant in tenants.items()},
        separated_pairs=_read_pairs(raw.get("apart", [])),
        fixed_cells=raw.get("fixed"),
        max_moves=None if most_moves is None else int(most_moves),
        max_load=raw.get("most_load"),
    )


def _read_object(text: str) -> dict[str, Any]:
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise UnreadableProblemError(expected=f"JSON ({error})") from None
    if not isinstance(raw, dict):
        raise UnreadableProblemError(expected="JSON object")
    return raw


def _check_container_types(raw: Mapping[str, Any]) -> None:
    for key, expected_type in (
        ("tenants", dict),
        ("cells", dict),
        ("apart", list),
        ("fixed", dict),
    ):
        if not isinstance(raw.get(key, expected_type()), expected_type):
            raise PlanningProblemError(
                f"{key}", f"is no {'object' if expected_type is dict else 'list'}"
            )


def _check_tenant_loads(tenants: Mapping[str, Any]) -> None:
    for name, tenant in tenants.items():
        if not isinstance(tenant, dict) or not isinstance(tenant.get("load"), int | float):
            raise PlanningProblemError("tenants.load", f"of {name!r} is no number")


def _check_cell_capacities(cells: Mapping[str, Any]) -> None:
    for name, value in cells.items():
        if not isinstance(value, int | float):
            raise PlanningProblemError("cells.capacity", f"of {name!r} is no number")


def _check_bound(key: str, value: Any) -> None:
    if value is None:
        return
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 0:
        raise PlanningProblemError(f"{key}", "is no number from 0 up")


def _read_pairs(groups: Iterable[Any]) -> tuple[tuple[str, str], ...]:
    """Return every pair of tenants in each group whose members must be in different cells."""
    pairs: list[tuple[str, str]] = []
    for group in groups:
        if not isinstance(group, list) or not all(isinstance(name, str) for name in group):
            raise PlanningProblemError("apart", "must be a list of lists of tenants")
        for index, first in enumerate(group):
            pairs += [(first, second) for second in group[index + 1 :]]
    return tuple(pairs)


def hashed_placement(tenants: Iterable[str], capacities: Mapping[str, float]) -> dict[str, str]:
    """Return the placement by weighted rendezvous hashing, the baseline of a plan."""
    return {
        tenant: min(capacities, key=lambda cell: rendezvous(cell, tenant, capacities[cell]))
        for tenant in tenants
    }


def relative_loads(problem: Problem, placement: Mapping[str, str]) -> dict[str, float]:
    """Return the load of each cell relative to its capacity."""
    loads = _absolute_loads(problem, placement)
    return {cell: load / problem.capacities[cell] for cell, load in loads.items()}


def _absolute_loads(problem: Problem, placement: Mapping[str, str]) -> dict[str, float]:
    loads = dict.fromkeys(problem.capacities, 0.0)
    for tenant, cell in placement.items():
        loads[cell] += problem.loads[tenant]
    return loads


def broken_constraints(problem: Problem, placement: Mapping[str, str]) -> list[str]:
    """Return a text for each constraint of the problem that a placement violates.

    A solution of the solver is used only after this check.
    """
    broken = [
        f"{first} and {second} are both in {placement[first]}"
        for first, second in problem.separated_pairs
        if placement[first] == placement[second]
    ]
    broken += [
        f"{tenant} is in {placement[tenant]}, not in {cell}"
        for tenant, cell in (problem.fixed_cells or {}).items()
        if placement[tenant] != cell
    ]
    moved_count = sum(
        placement[tenant] != problem.current_cells[tenant] for tenant in problem.loads
    )
    if problem.max_moves is not None and moved_count > problem.max_moves:
        broken.append(f"{moved_count} tenants move, more than {problem.max_moves}")
    if problem.max_load is not None:
        broken += [
            f"{cell} has {load:.2f} of its capacity"
            for cell, load in relative_loads(problem, placement).items()
            if load > problem.max_load + LOAD_TOLERANCE
        ]
    return broken


def greedy_placement(problem: Problem) -> dict[str, str]:
    """Return a placement by greedy search, which may still violate constraints.

    The placement is the solver's starting point, and the result if the solver runs out of time. The
    search separates the pairs that must be apart, then repeats the move that lowers the highest
    relative load most, until no move lowers it.
    """
    search = _GreedySearch(problem)
    search.separate_pairs()
    while search.make_best_move():
        pass
    return search.placement


class _Candidate(NamedTuple):
    """A move that lowers the highest relative load; candidates sort from best to worst."""

    load_after: float
    tenant: str
    cell: str


class _GreedySearch:
    """The state of the search of `greedy_placement`."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        self.fixed: Mapping[str, str] = problem.fixed_cells or {}
        self.placement: dict[str, str] = {**problem.current_cells, **self.fixed}
        self.loads = _absolute_loads(problem, self.placement)
        self.conflicts: dict[str, set[str]] = {}
        for first, second in problem.separated_pairs:
            self.conflicts.setdefault(first, set()).add(second)
            self.conflicts.setdefault(second, set()).add(first)
        allowed_moves = len(self.placement) if problem.max_moves is None else problem.max_moves
        moved_count = sum(
            cell != problem.current_cells[tenant] for tenant, cell in self.placement.items()
        )
        self.moves_left = allowed_moves - moved_count

    def separate_pairs(self) -> None:
        """Move one tenant of each pair that shares a cell but must not, if a cell can take it."""
        for first, second in self.problem.separated_pairs:
            tenant = self._tenant_to_move(first, second)
            cells = [
                cell for cell in self.problem.capacities if self._has_no_conflict(tenant, cell)
            ]
            together = self.placement[first] == self.placement[second]
            if together and tenant not in self.fixed and cells and self.moves_left > 0:
                self._move(tenant, min(cells, key=lambda cell: self._load_after(tenant, cell)))

    def _tenant_to_move(self, first: str, second: str) -> str:
        """Return the tenant that is not fixed; if neither is, the one with the smaller load."""
        if first in self.fixed:
            return second
        loads = self.problem.loads
        if second in self.fixed or loads[first] <= loads[second]:
            return first
        return second

    def make_best_move(self) -> bool:
        """Make the move that lowers the highest relative load most; return False if none does."""
        if self.moves_left <= 0:
            return False
        best = min(self._candidates(), default=None)
        if best is None:
            return False
        self._move(best.tenant, best.cell)
        return True

    def _candidates(self) -> Iterable[_Candidate]:
        fullest_cell = max(self.loads, key=self._relative_load)
        highest_load = self._relative_load(fullest_cell)
        for tenant, current_cell in self.placement.items():
            if current_cell != fullest_cell or not self._may_migrate(tenant):
                continue
            for cell in self.problem.capacities:
                if cell == fullest_cell or not self._has_no_conflict(tenant, cell):
                    continue
                load_after = self._load_after(tenant, cell)
                if load_after < highest_load - MIN_GAIN:
                    yield _Candidate(load_after, tenant, cell)

    def _may_migrate(self, tenant: str) -> bool:
        """Return whether the tenant is still in its current cell and is not fixed."""
        if tenant in self.fixed or tenant not in self.problem.loads:
            return False
        return self.problem.current_cells[tenant] == self.placement[tenant]

    def _has_no_conflict(self, tenant: str, cell: str) -> bool:
        return all(self.placement[other] != cell for other in self.conflicts.get(tenant, ()))

    def _relative_load(self, cell: str) -> float:
        return self.loads[cell] / self.problem.capacities[cell]

    def _load_after(self, tenant: str, cell: str) -> float:
        load = self.loads[cell] + self.problem.loads[tenant]
        return load / self.problem.capacities[cell]

    def _move(self, tenant: str, cell: str) -> None:
        self.loads[self.placement[tenant]] -= self.problem.loads[tenant]
        self.loads[cell] += self.problem.loads[tenant]
        self.placement[tenant] = cell
        self.moves_left -= 1


class PlannedMove(NamedTuple):
    """One tenant that changes cells.

    Attributes:
        tenant: The tenant.
        source: The current cell of the tenant.
        target: The planned cell of the tenant.
        load: The load of the tenant in thread-seconds a second.
    """

    tenant: str
    source: str
    target: str
    load: float


@dataclass(frozen=True, slots=True)
class Plan:
    """The solution of a problem.

    Attributes:
        moves: The tenants that change cells, the largest load first.
        loads_before: The current load of each cell relative to its capacity.
        loads_after: The planned load of each cell relative to its capacity.
        proven: Whether the plan is proven optimal, within the solver's tolerance.
    """

    moves: tuple[PlannedMove, ...]
    loads_before: Mapping[str, float]
    loads_after: Mapping[str, float]
    proven: bool

    def plain(self) -> dict[str, Any]:
        """Return the plan as plain objects for JSON."""
        moves = [
            {"tenant": move.tenant, "from": move.source, "to": move.target, "load": move.load}
            for move in self.moves
        ]
        cells = {}
        for cell in self.loads_before:
            cells[cell] = {
                "before": round(self.loads_before[cell], JSON_DECIMAL_PLACES),
                "after": round(self.loads_after[cell], JSON_DECIMAL_PLACES),
            }
        return {"moves": moves, "cells": cells, "proven": self.proven}


def make_plan(problem: Problem, placement: Mapping[str, str], proven: bool) -> Plan:
    """Return the plan that leads from the current placement to this one."""
    moves = [
        PlannedMove(tenant, problem.current_cells[tenant], placement[tenant], load)
        for tenant, load in problem.loads.items()
        if placement[tenant] != problem.current_cells[tenant]
    ]
    moves.sort(key=lambda move: (-move.load, move.tenant))
    return Plan(
        moves=tuple(moves),
        loads_before=relative_loads(problem, problem.current_cells),
        loads_after=relative_loads(problem, placement),
        proven=proven,
    )
