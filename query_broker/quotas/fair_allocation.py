"""Max-min fair allocation of a limit, and the forecast of what a broker will need of it.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from operator import itemgetter

RISE_SMOOTHING = 0.7  # weight of a new sample above the mean: a forecast follows a rise quickly


def max_min_fair(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Allocate a capacity so that demands are met up to a level that is the same for all.

    A demand below the level is met in full; asking for more than the level gains nothing.
    """
    remaining = capacity
    allocation: dict[str, float] = {}
    by_name = sorted(demands.items())
    ascending = sorted(by_name, key=itemgetter(1))
    for position, (name, demand) in enumerate(ascending):
        even_part = remaining / (len(demands) - position)
        allocation[name] = max(0.0, min(demand, even_part))
        remaining -= allocation[name]
    return allocation


class DemandForecast:
    """Predicts one broker's demand from its recent mean and its last second.

    Attributes:
        mean_per_s: Exponential mean of the demand.
        last_per_s: Demand of the last second.
    """

    def __init__(self, headroom: float = 1.25, fall_smoothing: float = 0.3) -> None:
        """Start from no demand.

        Args:
            headroom: Factor by which the forecast exceeds the observed demand.
            fall_smoothing: Weight of a new sample below the mean.
        """
        self.headroom = headroom
        self.fall_smoothing = fall_smoothing
        self.mean_per_s = 0.0
        self.last_per_s = 0.0

    def record(self, demand_per_s: float) -> None:
        """Take in the demand of one more second."""
        is_rising = demand_per_s > self.mean_per_s
        smoothing = RISE_SMOOTHING if is_rising else self.fall_smoothing
        self.mean_per_s += smoothing * (demand_per_s - self.mean_per_s)
        self.last_per_s = demand_per_s

    def predicted_per_s(self) -> float:
        """Return the demand to provide for."""
        return self.headroom * max(self.mean_per_s, self.last_per_s)
