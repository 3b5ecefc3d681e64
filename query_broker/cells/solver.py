"""The planner's solver: a mixed-integer programme for HiGHS.

It needs the extra with `highspy`, which the daemon never loads. Minimised are, in this order, the
load of the fullest cell against its capacity and how many tenants move. The programme has a binary
column for each tenant and cell and one column for the load of the fullest cell; a pair that must be
apart is a row for each cell. A solution is checked against the constraints before it is used.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ..errors import QueryBrokerError
from .planner import Plan, Problem, broken_constraints, greedy_placement, make_plan

#: The cost of moving all tenants, against the load of the fullest cell: it only decides between
#: placements that are otherwise equally good.
MOVE_PRICE = 1e-4
#: A plan that is proven to be this near to the best possible one is taken.
OPTIMALITY_GAP = 0.01
#: From here up a binary column is read as 1.
BINARY_THRESHOLD = 0.5
#: A placement has to be better by more than rounding to replace another.
MIN_GAIN = 1e-9
DEFAULT_TIME_LIMIT_S = 20.0


class NoPlanError(QueryBrokerError):
    """No placement satisfies the constraints, or none was found in time; the text says which."""


class InvalidSolutionError(NoPlanError):
    """The solver's placement does not satisfy the constraints."""

    def __init__(self, fault: str) -> None:
        """Name the first constraint that it breaks."""
        super().__init__(f"the solver's placement breaks the terms: {fault}")


class SearchResult(NamedTuple):
    """What the search has found.

    Attributes:
        placement: The placement; None if there is none.
        proven: Whether it is proven to be the best, or that there is none.
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
        problem: What to solve.
        time_limit_s: How long the search may take.

    Raises:
        NoPlanError: There is none, or none was found in time.
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
    """Solve the programme, beginning with a placement that is used where it is valid."""
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
    """The mixed-integer programme of a problem, in the row-wise form that HiGHS takes.

    Attributes:
        tenants: The tenants in the order of their columns.
        cells: The cells, in the order of the columns of each tenant.
        load_column: The column of the load of the fullest cell; the binary columns precede it.
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
        self.columns_today = [
            self._column(tenant, problem.current_cells[tenant]) for tenant in self.tenants
        ]
        self._add_one_cell_rows()
        self._add_load_rows()
        self._add_apart_rows()
        self._add_max_moves_row()

    def _column(self, tenant: str, cell: str) -> int:
        return self.first_columns[tenant] + self.cells.index(cell)

    # --- rows ---

    def _add_row(self, lower: float, upper: float, entries: list[MatrixEntry]) -> None:
        self.row_starts.append(len(self.indices))
        self.indices.extend(entry.column for entry in entries)
        self.values.extend(entry.value for entry in entries)
        self.row_lower.append(lower)
        self.row_upper.append(upper)

    def _add_one_cell_rows(self) -> None:
        """Each tenant is in exactly one cell."""
        for tenant in self.tenants:
            first = self.first_columns[tenant]
            columns = range(first, first + len(self.cells))
            self._add_row(1.0, 1.0, [MatrixEntry(column, 1.0) for column in columns])

    def _add_load_rows(self) -> None:
        """The load of each cell is at most the load of the fullest."""
        for cell in self.cells:
            capacity = self.problem.capacities[cell]
            entries = [
                MatrixEntry(self._column(tenant, cell), self.problem.loads[tenant] / capacity)
                for tenant in self.tenants
                if self.problem.loads[tenant]
            ]
            entries.append(MatrixEntry(self.load_column, -1.0))
            self._add_row(-self.infinity, 0.0, entries)

    def _add_apart_rows(self) -> None:
        """Of two tenants that must be apart, each cell has at most one."""
        for first, second in self.problem.separated_pairs:
            for cell in self.cells:
                entries = [
                    MatrixEntry(self._column(first, cell), 1.0),
                    MatrixEntry(self._column(second, cell), 1.0),
                ]
                self._add_row(-self.infinity, 1.0, entries)

    def _add_max_moves_row(self) -> None:
        """Enough tenants stay where they are."""
        if self.problem.max_moves is None:
            return
        must_stay = float(len(self.tenants) - self.problem.max_moves)
        entries = [MatrixEntry(column, 1.0) for column in self.columns_today]
        self._add_row(must_stay, self.infinity, entries)

    # --- columns ---

    def _column_costs(self) -> Any:
        """Return the cost of each column: a price for each move, and the load of the fullest."""
        import numpy

        costs = numpy.full(self.load_column + 1, MOVE_PRICE / max(1, len(self.tenants)))
        costs[self.load_column] = 1.0
        for column in self.columns_today:
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
        """Return the programme as HiGHS takes it."""
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

    # --- placements ---

    def solution_of(self, placement: dict[str, str]) -> Any:
        """Return a placement as a solution that HiGHS can begin with."""
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
        """Return the placement that a solution stands for; None if it stands for none."""
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
