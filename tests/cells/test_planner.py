"""Work rates and the planner of migrations."""

from __future__ import annotations

from typing import Any

import pytest

from query_broker.cells import planner
from query_broker.cells.solver import NoPlanError, solve
from query_broker.cells.work_rates import DECAY_TIME_CONSTANT_NS, WorkRates

from .cell_brokers import NS_PER_SECOND


def test_rates_decay_and_their_number_is_bounded() -> None:
    rates = WorkRates()
    for second in range(600):
        rates.add("x", NS_PER_SECOND // 2)
        rates.update_means(second * NS_PER_SECOND)
    assert 0.45 < rates.rate_at("x", 600 * NS_PER_SECOND) < 0.55
    assert rates.rate_at("x", 600 * NS_PER_SECOND + 5 * DECAY_TIME_CONSTANT_NS) < 0.01
    assert rates.rate_at("y", 0) == 0.0
    for number in range(10_000):
        rates.add(f"t{number}", 1)
        rates.update_means(600 * NS_PER_SECOND)
    assert len(rates.means) <= 4_097
    assert "x" in rates.means


LOAD_BY_TENANT = {f"t{number}": 1.0 + number % 5 for number in range(30)}
CAPACITY_BY_CELL = {"a": 10.0, "b": 10.0, "c": 20.0}


ALL_IN_A = dict.fromkeys(LOAD_BY_TENANT, "a")


def test_a_plan_balances_the_load_within_its_constraints() -> None:
    plan = solve(
        planner.Problem(LOAD_BY_TENANT, CAPACITY_BY_CELL, ALL_IN_A, (("t1", "t2"),), {"t3": "b"})
    )
    assert max(plan.loads_after.values()) <= 1.02 * sum(LOAD_BY_TENANT.values()) / 40 + 0.1
    assert plan.moves == tuple(sorted(plan.moves, key=lambda move: (-move[3], move[0])))


def test_a_plan_with_few_moves_reduces_the_largest_load() -> None:
    plan = solve(planner.Problem(LOAD_BY_TENANT, CAPACITY_BY_CELL, ALL_IN_A, max_moves=4))
    assert len(plan.moves) <= 4
    assert max(plan.loads_after.values()) < max(plan.loads_before.values())


def test_a_plan_with_no_moves_allowed_is_empty() -> None:
    problem = planner.Problem(LOAD_BY_TENANT, CAPACITY_BY_CELL, ALL_IN_A, max_moves=0)
    assert solve(problem).moves == ()
    unconstrained = planner.Problem(LOAD_BY_TENANT, CAPACITY_BY_CELL, ALL_IN_A)
    assert planner.broken_constraints(unconstrained, ALL_IN_A) == []


@pytest.mark.parametrize(
    "constraints",
    [
        pytest.param(
            {
                "separated_pairs": (
                    ("t1", "t2"),
                    ("t2", "t3"),
                    ("t1", "t3"),
                    ("t1", "t4"),
                    ("t2", "t4"),
                    ("t3", "t4"),
                )
            },
            id="four apart in three cells",
        ),
        pytest.param({"max_load": 0.5}, id="bound below the total load"),
        pytest.param(
            {"fixed_cells": {"t1": "b"}, "max_moves": 0}, id="a fixed tenant that may not move"
        ),
    ],
)
def test_unsatisfiable_constraints_are_rejected(constraints: dict[str, Any]) -> None:
    with pytest.raises(NoPlanError, match="no placement satisfies"):
        solve(planner.Problem(LOAD_BY_TENANT, CAPACITY_BY_CELL, ALL_IN_A, **constraints))


@pytest.mark.parametrize(
    ("text", "key"),
    [
        pytest.param("[", "the file", id="cut short"),
        pytest.param("[]", "the file", id="a list"),
        pytest.param('{"tenants": 3}', "tenants", id="tenants that are no map"),
        pytest.param('{"tenants": {}}', "tenants", id="no tenant"),
        pytest.param(
            '{"tenants": {"t": {"load": "x"}}}', "tenants.load", id="load that is no number"
        ),
        pytest.param('{"tenants": {"t": {"load": 1}}}', "cells", id="no cells"),
        pytest.param(
            '{"tenants": {"t": {"load": 1, "cell": "b"}}, "cells": {"a": 1}}',
            "tenants.cell",
            id="tenant in an unknown cell",
        ),
        pytest.param(
            '{"tenants": {"t": {"load": -1, "cell": "a"}}, "cells": {"a": 1}}',
            "tenants.load",
            id="negative load",
        ),
        pytest.param(
            '{"tenants": {"t": {"load": 1, "cell": "a"}}, "cells": {"a": 0}}',
            "cells.capacity",
            id="cell without capacity",
        ),
        pytest.param(
            '{"tenants": {"t": {"load": 1, "cell": "a"}}, "cells": {"a": 1}, '
            '"apart": [["t", "u"]]}',
            "apart",
            id="unknown tenant apart",
        ),
        pytest.param(
            '{"tenants": {"t": {"load": 1, "cell": "a"}}, "cells": {"a": 1}, "fixed": {"t": "z"}}',
            "fixed",
            id="fixed to an unknown cell",
        ),
        pytest.param(
            '{"tenants": {"t": {"load": 1, "cell": "a"}}, "cells": {"a": 1}, "most_moves": true}',
            "most_moves",
            id="most_moves that is no number",
        ),
    ],
)
def test_an_invalid_problem_is_rejected_with_its_key(text: str, key: str) -> None:
    with pytest.raises(planner.PlanningProblemError, match=f"^{key}"):
        planner.read_problem(text)


def test_an_unreadable_problem_is_rejected_without_a_key() -> None:
    with pytest.raises(planner.UnreadableProblemError, match="^the file holds no JSON object$"):
        planner.read_problem("[]")
