"""The fuzzy step compared with the paper, and its effect on the bound of an endpoint."""

from __future__ import annotations

import pytest

from query_broker.decisions.concurrency_limit import MAX_BOUND_MULTIPLE, MAX_STEP_FRACTION
from query_broker.decisions.fuzzy_control import fuzzy_step, memberships, output_level

from ..support.helpers import S, make_settings
from .harness_steps import one_endpoint_harness

NAMES = "NVL NL NM NS ZE PS PM PL PVL".split()

TABLE_2 = """
NVL NVL NVL NL NL NL NM NS ZE
NVL NVL NL NL NL NM NS ZE PS
NVL NL NL NL NM NS ZE PS PM
NL NL NL NM NS ZE PS PM PL
NL NL NM NS ZE PS PM PL PL
NL NM NS ZE PS PM PL PL PVL
NM NS ZE PS PM PL PL PVL PVL
NS ZE PS PM PL PL PVL PVL PVL
ZE PS PM PL PL PVL PVL PVL PVL
"""


def test_output_levels_match_table_2_of_the_paper() -> None:
    rows = [line.split() for line in TABLE_2.strip().splitlines()]
    for error, row in enumerate(rows):
        for change, name in enumerate(row):
            level = output_level(error - 4, change - 4)
            assert NAMES[level + 4] == name, (NAMES[error], NAMES[change])


def test_step_matches_the_example_of_the_paper() -> None:
    """Section 5.1: e = -0.2 s and change = -0.4 s over +-1 s give -57.15, centres up to 100."""
    assert dict(memberships(-0.2, 4)) == pytest.approx({-1: 0.8, 0: 0.2})
    assert dict(memberships(-0.4, 4)) == pytest.approx({-2: 0.6, -1: 0.4})
    assert [
        output_level(-1, -2),
        output_level(-1, -1),
        output_level(0, -2),
        output_level(0, -1),
    ] == [-3, -2, -2, -1]
    assert fuzzy_step(-0.2, -0.4, 100.0) == pytest.approx(-57.15, abs=0.01)


def test_memberships_saturate() -> None:
    assert memberships(5.0, 4) == [(4, 1.0)]
    assert memberships(-5.0, 4) == [(-4, 1.0)]


def test_bound_is_clamped_and_steps_as_designed() -> None:
    harness = one_endpoint_harness()
    endpoint = harness.controller.endpoints[1]
    latency_objective_ns = make_settings().classes[0].latency_objective_ns
    start = 2 * 4 * latency_objective_ns
    assert endpoint.bound_ns == start
    endpoint.bound_was_tested = True
    endpoint.delays = [0.1]
    harness.pass_time(S)
    # PVL with ZE gives PL.
    assert endpoint.bound_ns - start == pytest.approx(
        start * MAX_BOUND_MULTIPLE * MAX_STEP_FRACTION * 3 / 4
    )
    for _ in range(20):
        endpoint.bound_was_tested = True
        endpoint.delays = [0.1]
        harness.pass_time(S)
    assert endpoint.bound_ns == MAX_BOUND_MULTIPLE * start
    for _ in range(40):
        endpoint.bound_was_tested = True
        endpoint.delays = [9.0]
        harness.pass_time(S)
    assert endpoint.bound_ns == 0.0


@pytest.mark.parametrize("factor", [0.0, 4.0])
def test_empty_period_moves_the_bound_toward_its_initial_value(factor: float) -> None:
    harness = one_endpoint_harness()
    endpoint = harness.controller.endpoints[1]
    start = endpoint.bound_ns
    endpoint.bound_ns = factor * start
    harness.pass_time(S)
    assert abs(endpoint.bound_ns - start) < abs(factor * start - start)


def test_low_delays_without_pressure_do_not_raise_the_bound() -> None:
    """Otherwise the bound would be at its upper limit when a surge of requests begins."""
    harness = one_endpoint_harness()
    endpoint = harness.controller.endpoints[1]
    start = endpoint.bound_ns
    for _ in range(5):
        endpoint.delays = [0.1]
        harness.pass_time(S)
    assert endpoint.bound_ns == start
