"""The harness of the benchmarks: bounds, exit code, ratios and windows."""

from __future__ import annotations

import pytest

from benchmarks.harness.arguments import is_selected
from benchmarks.harness.results import Results
from benchmarks.harness.statistics import busiest_window, lower_quartile, record_ratios


@pytest.mark.parametrize(
    ("value", "bounds", "line", "is_broken"),
    [
        pytest.param(1.5, {}, "x=1.5", False, id="no bound"),
        pytest.param(2, {"at_most": 2}, "x=2  # bound: at most 2", False, id="at its upper bound"),
        pytest.param(3, {"at_most": 2}, "x=3  # bound: at most 2 BROKEN", True, id="above it"),
        pytest.param(2, {"at_least": 2}, "x=2  # bound: at least 2", False, id="at a lower bound"),
        pytest.param(1, {"at_least": 2}, "x=1  # bound: at least 2 BROKEN", True, id="below it"),
    ],
)
def test_a_broken_bound_is_printed_and_sets_exit_code_1(
    value: float,
    bounds: dict[str, float],
    line: str,
    is_broken: bool,
    capsys: pytest.CaptureFixture[str],
) -> None:
    results = Results()
    results.record("x", value, **bounds)
    results.record("y", 0.12345)
    assert capsys.readouterr().out == f"{line}\ny=0.1235\n"
    assert results.broken == ["x"] * is_broken
    assert results.exit_code() == int(is_broken)


def test_the_bound_applies_to_the_median_ratio() -> None:
    results = Results()
    record_ratios(results, "cost", [2.0, 1.0, 9.0], [2.0, 2.0, 3.0], at_most=0.9)
    assert results.broken == ["cost"]


def test_a_quarter_of_the_values_is_below_the_lower_quartile() -> None:
    assert lower_quartile([5.0, 1.0, 4.0, 2.0]) == 2.0


@pytest.mark.parametrize(
    ("times_s", "count"),
    [
        pytest.param([], 0, id="none"),
        pytest.param([0.0, 1.0], 1, id="a window apart"),
        pytest.param([0.0, 0.5, 0.9, 1.2, 1.4], 4, id="across the edge of a second"),
        pytest.param([3.0, 0.1, 3.1, 0.2, 3.2], 3, id="unordered"),
    ],
)
def test_the_busiest_window_may_begin_at_any_time(times_s: list[float], count: int) -> None:
    assert busiest_window(times_s) == count


def test_a_part_is_selected_if_it_or_no_part_is_named() -> None:
    assert is_selected("path", "")
    assert is_selected("path", "model,path")
    assert not is_selected("path", "model")
