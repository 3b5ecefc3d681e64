"""Max-min fair allocation of a limit, and the forecast of a broker's demand for it.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from operator import itemgetter

RISE_SMOOTHING_FACTOR = 0.7  # weight of a sample above the mean; high, to follow a rise quickly


def max_min_fair(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Allocate a capacity so that each demand is met up to the same level.

    A demand below the level is met in full; demanding more than the level gains nothing.
    """
    remaining = capacity
    allocation: dict[str, float] = {}
    by_name = sorted(demands.items())
    ascending = sorted(by_name, key=itemgetter(1))
    for position, (name, demand) in enumerate(ascending):
        equal_share = remaining / (len(demands) - position)
        allocation[name] = max(0.0, min(demand, equal_share))
        remaining -= allocation[name]
    return allocation


class DemandForecast:
    """Predicts one broker's demand from its recent mean and from the last second.

    Attributes:
        mean_demand_per_s: Exponential moving average of the demand.
        last_demand_per_s: Demand of the last second.
    """

    def __init__(self, headroom_factor: float = 1.25, fall_smoothing_factor: float = 0.3) -> None:
        """Start from no demand.

        Args:
            headroom_factor: Factor by which the forecast exceeds the observed demand.
            fall_smoothing_factor: Weight of a sample below the mean.
        """
        self.headroom_factor = headroom_factor
        self.fall_smoothing_factor = fall_smoothing_factor
        self.mean_demand_per_s = 0.0
        self.last_demand_per_s = 0.0

    def record(self, demand_per_s: float) -> None:
        """Add the demand of one second."""
        is_rising = demand_per_s > self.mean_demand_per_s
        smoothing_factor = RISE_SMOOTHING_FACTOR if is_rising else self.fall_smoothing_factor
        self.mean_demand_per_s += smoothing_factor * (demand_per_s - self.mean_demand_per_s)
        self.last_demand_per_s = demand_per_s

    def predicted_demand_per_s(self) -> float:
        """Return the demand to request capacity for."""
        return self.headroom_factor * max(self.mean_demand_per_s, self.last_demand_per_s)
