"""The planner's solver: a mixed-integer programme for HiGHS.

It needs the optional dependency `highspy`, which the daemon never loads. The objective is the
highest relative load of a cell and, with a far smaller weight, the number of moves. The programme
has a binary column for each pair of a tenant and a cell, and one column for the highest relative
load; each pair of tenants that must be apart adds a row per cell. A solution is checked against the
constraints before it is used.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ..errors import QueryBrokerError
from .planner import Plan, Problem, broken_constraints, greedy_placement, make_plan

#: The cost of moving all tenants, in units of the highest relative load: small enough to decide
#: only between placements that are otherwise equally good.
TOTAL_MOVE_COST = 1e-4
#: The relative gap to the best possible plan at which the search stops.
OPTIMALITY_GAP = 0.01
#: A binary column above this value is read as 1.
BINARY_THRESHOLD = 0.5
#: The minimum decrease of the highest relative load for one placement to replace another, so that
#: rounding errors do not decide.
MIN_GAIN = 1e-9
DEFAULT_TIME_LIMIT_S = 20.0


class NoPlanError(QueryBrokerError):
    """No placement satisfies the constraints, or none was found in time, as the message says."""


class InvalidSolutionError(NoPlanError):
    """The solver's placement does not satisfy the constraints."""

    def __init__(self, violation: str) -> None:
        """Name the first violated constraint."""
        super().__init__(f"the solver's placement violates a constraint: {violation}")


class SearchResult(NamedTuple):
    """The result of a search.

    Attributes:
        placement: The placement; None if none was found.
        proven: Whether the placement is proven optimal or, for None, the problem infeasible.
    """

    placement: dict[str, str] | None
    proven: bool


class MatrixEntry(NamedTuple):
    """A coefficient in a row of the programme."""

    column: int
    value: float


def solve(problem: Problem, time_limit_s: float = DEFAULT_TIME_LIMIT_S) -> Plan:
    """Return the plan for a problem.

    Args:
        problem: The problem to solve.
        time_limit_s: The time limit of the search.

    Raises:
        NoPlanError: No placement satisfies the constraints, or none was found in time.
    """
    start = greedy_placement(problem)
    start_is_valid = not broken_constraints(problem, start)
    placement, proven = _search(problem, start, time_limit_s)
    if placement is None:
        if not start_is_valid:
            raise NoPlanError(
                "no placement satisfies the terms" if proven else "no placement was found in time"
            )
        placement = start
    broken = broken_constraints(problem, placement)
    if broken:
        raise InvalidSolutionError(broken[0])
    if start_is_valid:
        solved_load = _highest_load(problem, placement)
        if _highest_load(problem, start) < solved_load - MIN_GAIN:
            return make_plan(problem, start, proven=False)
    return make_plan(problem, placement, proven)


def _highest_load(problem: Problem, placement: dict[str, str]) -> float:
    return max(make_plan(problem, placement, proven=False).loads_after.values())


def _search(problem: Problem, start: dict[str, str], time_limit_s: float) -> SearchResult:
    """Solve the programme, from this starting placement if it is valid."""
    import highspy

    programme = _Programme(problem)
    solver = highspy.Highs()  # type: ignore[no-untyped-call]
    for name, value in (
        ("output_flag", False),
        ("time_limit", float(time_limit_s)),
        ("mip_rel_gap", OPTIMALITY_GAP),
        ("threads", 1),
        ("random_seed", 1),
    ):
        solver.setOptionValue(name, value)
    solver.passModel(programme.model())
    if not broken_constraints(problem, start):
        solver.setSolution(programme.solution_of(start))
    solver.run()
    status = solver.getModelStatus()
    if status in (
        highspy.HighsModelStatus.kInfeasible,
        highspy.HighsModelStatus.kUnboundedOrInfeasible,
    ):
        return SearchResult(None, proven=True)
    placement = programme.placement_of(list(solver.getSolution().col_value))
    is_optimal = placement is not None and status == highspy.HighsModelStatus.kOptimal
    return SearchResult(placement, proven=bool(is_optimal))


class _Programme:
    """The mixed-integer programme of a problem, in the row-wise form of HiGHS.

    Attributes:
        tenants: The tenants in the order of their columns.
        cells: The cells, in the order of the columns of each tenant.
        load_column: The column of the highest relative load, which follows the binary columns.
    """

    def __init__(self, problem: Problem) -> None:
        import highspy

        self.problem = problem
        self.infinity = highspy.kHighsInf
        self.tenants = sorted(problem.loads)
        self.cells = sorted(problem.capacities)
        self.load_column = len(self.tenants) * len(self.cells)
        self.first_columns = {
            tenant: index * len(self.cells) for index, tenant in enumerate(self.tenants)
        }
        self.row_starts: list[int] = []
        self.row_lower: list[float] = []
        self.row_upper: list[float] = []
        self.indices: list[int] = []
        self.values: list[float] = []
        self.current_cell_columns = [
            self._column(tenant, problem.current_cells[tenant]) for tenant in self.tenants
        ]
        self._add_one_cell_rows()
        self._add_load_rows()
        self._add_separation_rows()
        self._add_max_moves_row()

    def _column(self, tenant: str, cell: str) -> int:
        return self.first_columns[tenant] + self.cells.index(cell)

    def _add_row(self, lower: float, upper: float, entries: list[MatrixEntry]) -> None:
        self.row_starts.append(len(self.indices))
        self.indices.extend(entry.column for entry in entries)
        self.values.extend(entry.value for entry in entries)
        self.row_lower.append(lower)
        self.row_upper.append(upper)

    def _add_one_cell_rows(self) -> None:
        """Add the constraint that each tenant is in exactly one cell."""
        for tenant in self.tenants:
            first = self.first_columns[tenant]
            columns = range(first, first + len(self.cells))
            self._add_row(1.0, 1.0, [MatrixEntry(column, 1.0) for column in columns])

    def _add_load_rows(self) -> None:
        """Add the constraint that no relative load exceeds the load column."""
        for cell in self.cells:
            capacity = self.problem.capacities[cell]
            entries = [
                MatrixEntry(self._column(tenant, cell), self.problem.loads[tenant] / capacity)
                for tenant in self.tenants
                if self.problem.loads[tenant]
            ]
            entries.append(MatrixEntry(self.load_column, -1.0))
            self._add_row(-self.infinity, 0.0, entries)

    def _add_separation_rows(self) -> None:
        """Add the constraint that each cell has at most one of two tenants that must be apart."""
        for first, second in self.problem.separated_pairs:
            for cell in self.cells:
                entries = [
                    MatrixEntry(self._column(first, cell), 1.0),
                    MatrixEntry(self._column(second, cell), 1.0),
                ]
                self._add_row(-self.infinity, 1.0, entries)

    def _add_max_moves_row(self) -> None:
        """Add the bound on moves: a minimum number of tenants stay in their current cells."""
        if self.problem.max_moves is None:
            return
        must_stay = float(len(self.tenants) - self.problem.max_moves)
        entries = [MatrixEntry(column, 1.0) for column in self.current_cell_columns]
        self._add_row(must_stay, self.infinity, entries)

    def _column_costs(self) -> Any:
        """Return the objective's coefficients: the cost per move, and 1 for the load column."""
        import numpy

        costs = numpy.full(self.load_column + 1, TOTAL_MOVE_COST / max(1, len(self.tenants)))
        costs[self.load_column] = 1.0
        for column in self.current_cell_columns:
            costs[column] = 0.0
        return costs

    def _column_lower(self) -> Any:
        import numpy

        lower = numpy.zeros(self.load_column + 1)
        for tenant, cell in (self.problem.fixed_cells or {}).items():
            lower[self._column(tenant, cell)] = 1.0
        return lower

    def _column_upper(self) -> Any:
        import numpy

        max_load = self.problem.max_load
        upper = numpy.ones(self.load_column + 1)
        upper[self.load_column] = self.infinity if max_load is None else max_load
        return upper

    def model(self) -> Any:
        """Return the programme as a model of HiGHS."""
        import highspy
        import numpy

        model: Any = highspy.HighsLp()
        model.num_col_ = self.load_column + 1
        model.num_row_ = len(self.row_lower)
        model.col_cost_ = self._column_costs()
        model.col_lower_ = self._column_lower()
        model.col_upper_ = self._column_upper()
        model.row_lower_ = numpy.array(self.row_lower)
        model.row_upper_ = numpy.array(self.row_upper)
        starts = [*self.row_starts, len(self.indices)]
        model.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
        model.a_matrix_.start_ = numpy.array(starts, dtype=numpy.int32)
        model.a_matrix_.index_ = numpy.array(self.indices, dtype=numpy.int32)
        model.a_matrix_.value_ = numpy.array(self.values)
        binary = [highspy.HighsVarType.kInteger] * self.load_column
        model.integrality_ = [*binary, highspy.HighsVarType.kContinuous]
        return model

    def solution_of(self, placement: dict[str, str]) -> Any:
        """Return a placement as a starting solution for HiGHS."""
        import highspy
        import numpy

        columns = numpy.zeros(self.load_column + 1)
        for tenant in self.tenants:
            columns[self._column(tenant, placement[tenant])] = 1.0
        columns[self.load_column] = _highest_load(self.problem, placement)
        solution: Any = highspy.HighsSolution()
        solution.col_value = list(columns)
        return solution

    def placement_of(self, solution: list[float]) -> dict[str, str] | None:
        """Return the placement of a solution; None if the solution holds none."""
        binary = solution[: self.load_column]
        is_complete = len(solution) == self.load_column + 1
        if not is_complete or not any(value > BINARY_THRESHOLD for value in binary):
            return None
        placement = {}
        for tenant in self.tenants:
            first = self.first_columns[tenant]
            values = binary[first : first + len(self.cells)]
            placement[tenant] = self.cells[values.index(max(values))]
        return placement
