"""The planner's solver: a mixed-integer programme for HiGHS (highspy, an extra; the daemon never
loads it).

Least first: the fullest cell's share of its capacity, then how little is moved. Tenants are binary
by cell; `apart` is a row for each pair and cell; a solution is checked against the terms before it
is believed.
"""

from __future__ import annotations

from typing import Any

from .planner import Plan, Problem, faults, greedy, plan_of

MOVE_PRICE = 1e-4  # of the fullest cell's share, for all tenants moved
GAP = 0.01  # a plan so near to the best that can be is taken


class NoPlan(Exception):
    """No placement satisfies the terms, or none was found in time; the text says which."""


def solve(problem: Problem, seconds: float = 20.0) -> Plan:
    """The plan; NoPlan says why there is none. ``seconds`` bounds the search."""
    start = greedy(problem)
    placed, proven = _search(problem, start, seconds)
    if placed is None:
        if faults(problem, start):
            raise NoPlan(
                "no placement satisfies the terms" if proven else "no placement was found in time"
            )
        placed = start
    if broken := faults(problem, placed):
        raise NoPlan(f"the solver's placement breaks the terms: {broken[0]}")
    if not faults(problem, start) and _worst(problem, start) < _worst(problem, placed) - 1e-9:
        placed, proven = start, False
    return plan_of(problem, placed, proven)


def _worst(problem: Problem, placed: dict[str, str]) -> float:
    return max(plan_of(problem, placed, False).after.values())


def _search(
    problem: Problem, start: dict[str, str], seconds: float
) -> tuple[dict[str, str] | None, bool]:
    import highspy
    import numpy

    tenants, cells = sorted(problem.loads), sorted(problem.capacities)
    count, wide = len(tenants), len(cells)
    top = count * wide  # the column of the fullest cell's share
    h = highspy.Highs()  # type: ignore[no-untyped-call]
    for name, value in (
        ("output_flag", False),
        ("time_limit", float(seconds)),
        ("mip_rel_gap", GAP),
        ("threads", 1),
        ("random_seed", 1),
    ):
        h.setOptionValue(name, value)
    price = MOVE_PRICE / max(1, count)
    row_start: list[int] = []
    indices: list[int] = []
    values: list[float] = []
    low: list[float] = []
    high: list[float] = []

    def row(least: float, most: float, entries: list[tuple[int, float]]) -> None:
        row_start.append(len(indices))
        indices.extend(i for i, _ in entries)
        values.extend(v for _, v in entries)
        low.append(least)
        high.append(most)

    at = {tenant: i * wide for i, tenant in enumerate(tenants)}
    for tenant in tenants:
        row(1.0, 1.0, [(at[tenant] + c, 1.0) for c in range(wide)])
    for c, cell in enumerate(cells):
        row(
            -highspy.kHighsInf,
            0.0,
            [
                (at[t] + c, problem.loads[t] / problem.capacities[cell])
                for t in tenants
                if problem.loads[t]
            ]
            + [(top, -1.0)],
        )
    for a, b in problem.apart:
        for c in range(wide):
            row(-highspy.kHighsInf, 1.0, [(at[a] + c, 1.0), (at[b] + c, 1.0)])
    stays = [(at[t] + cells.index(problem.now[t]), 1.0) for t in tenants]
    if problem.most_moves is not None:
        row(float(count - problem.most_moves), highspy.kHighsInf, stays)
    fixed = problem.fixed or {}
    lower = numpy.zeros(top + 1)
    upper = numpy.ones(top + 1)
    upper[top] = highspy.kHighsInf if problem.most_load is None else problem.most_load
    for tenant, cell in fixed.items():
        lower[at[tenant] + cells.index(cell)] = 1.0
    costs = numpy.full(top + 1, price)
    costs[top] = 1.0
    for index, _ in stays:
        costs[index] = 0.0
    lp: Any = highspy.HighsLp()
    lp.num_col_, lp.num_row_ = top + 1, len(low)
    lp.col_cost_, lp.col_lower_, lp.col_upper_ = costs, lower, upper
    lp.row_lower_, lp.row_upper_ = numpy.array(low), numpy.array(high)
    lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    lp.a_matrix_.start_ = numpy.array([*row_start, len(indices)], dtype=numpy.int32)
    lp.a_matrix_.index_ = numpy.array(indices, dtype=numpy.int32)
    lp.a_matrix_.value_ = numpy.array(values)
    lp.integrality_ = [highspy.HighsVarType.kInteger] * top + [highspy.HighsVarType.kContinuous]
    h.passModel(lp)
    if not faults(problem, start):
        begin: Any = highspy.HighsSolution()
        filled = numpy.zeros(top + 1)
        for tenant in tenants:
            filled[at[tenant] + cells.index(start[tenant])] = 1.0
        filled[top] = _worst(problem, start)
        begin.col_value = list(filled)
        h.setSolution(begin)
    h.run()
    status = h.getModelStatus()
    if status in (
        highspy.HighsModelStatus.kInfeasible,
        highspy.HighsModelStatus.kUnboundedOrInfeasible,
    ):
        return None, True
    solution = list(h.getSolution().col_value)
    if len(solution) != top + 1 or not any(value > 0.5 for value in solution[:top]):
        return None, False
    placed = {
        t: cells[max(range(wide), key=lambda c, t=t: solution[at[t] + c])]  # type: ignore[misc]
        for t in tenants
    }
    return placed, bool(status == highspy.HighsModelStatus.kOptimal)
