"""Preference of endpoints by the data set that a request reads or loads. Performs no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from .active_settings import ActiveSettings
from .settings import RequestClass
from .tracked_endpoint import TrackedEndpoint

# The fraction of the endpoints that the loads of a data set go to and its readers avoid; where no
# class loads, the fraction that keeps the data set cached.
HOME_FRACTION = 1 / 3
# Weight of an endpoint on the wrong side of that partition.
WRONG_SIDE_WEIGHT = 0.1
# Weight of an endpoint that does not keep the data set cached, where no class loads.
COLD_DATA_SET_WEIGHT = 0.5
# Weight of an endpoint where a load of ours blocks the data set that the request uses.
BLOCKED_WEIGHT = 0.05
# Data sets whose ranking of endpoints is cached; clients can name any number of data sets.
MAX_CACHED_RANKS = 1_000


class DataSetAffinity:
    """Keeps the loads of a data set apart from its readers.

    A load blocks the readers of its data set on its endpoint. All brokers rank the endpoints of a
    data set alike, by a hash: loads go to the last ones and readers to the others.

    Attributes:
        endpoints: Numbers of the known endpoints.
        ranks: Cache of `rank` for each endpoint, by data set.
        loads_in_flight: Number of our loads by endpoint and data set; entries of 0 are dropped.
    """

    __slots__ = ("active", "endpoints", "loads_in_flight", "ranks")

    def __init__(self, active: ActiveSettings, endpoints: Collection[int]) -> None:
        """Take the settings and the live collection of endpoint numbers."""
        self.active = active
        self.endpoints = endpoints
        self.ranks: dict[int, dict[int, float]] = {}
        self.loads_in_flight: dict[tuple[int, int], int] = {}

    def weight(self, spec: RequestClass, data_set: int, endpoint: TrackedEndpoint) -> float:
        """Return the factor of an endpoint's weight for a request that uses a data set."""
        number = endpoint.entry.endpoint
        rank = self.rank(data_set, number)
        if not self.active.has_load_class:
            return 1.0 if rank < HOME_FRACTION else COLD_DATA_SET_WEIGHT
        is_home = rank >= 1 - HOME_FRACTION
        is_wrong_side = not is_home if spec.is_load else is_home and spec.blocked_by_loads
        factor = WRONG_SIDE_WEIGHT if is_wrong_side else 1.0
        if (spec.is_load or spec.blocked_by_loads) and (number, data_set) in self.loads_in_flight:
            factor *= BLOCKED_WEIGHT
        return factor

    def add_loads(self, endpoint: TrackedEndpoint, data_set: int, count: int) -> None:
        """Count loads of a data set that begin, or with a negative count end."""
        load_key = (endpoint.entry.endpoint, data_set)
        load_count = self.loads_in_flight.get(load_key, 0) + count
        if load_count > 0:
            self.loads_in_flight[load_key] = load_count
        else:
            self.loads_in_flight.pop(load_key, None)

    def rank(self, data_set: int, number: int) -> float:
        """Return the rank of an endpoint in the order of a data set, from 0 to below 1."""
        ranks = self.ranks.get(data_set)
        if ranks is None:
            ranks = self._rank_all(data_set)
        return ranks.get(number, 0.0)

    def forget_ranks(self) -> None:
        """Drop the cached ranks, since the endpoints have changed."""
        self.ranks.clear()

    def _rank_all(self, data_set: int) -> dict[int, float]:
        if len(self.ranks) > MAX_CACHED_RANKS:
            self.ranks.clear()
        order = sorted(
            self.endpoints,
            key=lambda number: hashlib.blake2b(b"%d/%d" % (data_set, number)).digest(),
        )
        ranks = {number: place / len(order) for place, number in enumerate(order)}
        self.ranks[data_set] = ranks
        return ranks
