"""Max-min fair allocation of a limit, and the demand forecast."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.quotas.fair_allocation import DemandForecast, max_min_fair


@given(st.lists(st.floats(0, 100), min_size=1, max_size=20), st.floats(0, 500))
def test_allocation_meets_demands_up_to_a_common_level(
    demands: list[float], capacity: float
) -> None:
    allocation = max_min_fair(
        {str(position): demand for position, demand in enumerate(demands)}, capacity
    )
    assert sum(allocation.values()) <= capacity + 1e-6
    assert sum(allocation.values()) == pytest.approx(min(capacity, sum(demands)))
    level = max(allocation.values())
    for position, demand in enumerate(demands):
        allocated = allocation[str(position)]
        assert allocated <= demand + 1e-9
        assert allocated >= min(demand, level) - 1e-6


def test_forecast_rises_at_once_and_falls_slowly() -> None:
    forecast = DemandForecast()
    for demand_per_s in (0, 0, 100):
        forecast.record(demand_per_s)
    assert forecast.predicted_demand_per_s() >= 125
    forecast.record(0)
    assert 0 < forecast.predicted_demand_per_s() < 100
