"""Preference of endpoints by the data set that a request reads or loads. Performs no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from .active_settings import ActiveSettings
from .settings import RequestClass
from .tracked_endpoint import TrackedEndpoint

# Fraction of the endpoints that the loads of a data set go to and its readers avoid. If no class
# loads data sets, the fraction of the endpoints that keep the data set cached.
DATA_SET_PARTITION_FRACTION = 1 / 3
# Weight of an endpoint in the other part: for a load the readers' part, for a reader the loads'.
WRONG_PARTITION_WEIGHT = 0.1
# Weight of an endpoint that does not keep the data set cached, if no class loads data sets.
UNCACHED_DATA_SET_WEIGHT = 0.5
# Weight of an endpoint where a load from this broker blocks the data set of the request.
BLOCKED_DATA_SET_WEIGHT = 0.05
# Limit on the data sets whose ranks are cached: clients can name any number of data sets.
MAX_CACHED_RANKS = 1_000


class DataSetAffinity:
    """Separates the loads of a data set from its readers.

    A load blocks the readers of its data set on its endpoint. For each data set a hash ranks the
    endpoints, equally on all brokers: loads prefer the endpoints with the highest ranks, readers
    the others.

    Attributes:
        endpoints: Numbers of the known endpoints.
        ranks: Cache of `rank` for each endpoint, by data set.
        loads_in_flight: Number of this broker's loads by endpoint and data set; zeros are left out.
    """

    __slots__ = ("active_settings", "endpoints", "loads_in_flight", "ranks")

    def __init__(self, active_settings: ActiveSettings, endpoints: Collection[int]) -> None:
        """Store the settings and the live collection of endpoint numbers."""
        self.active_settings = active_settings
        self.endpoints = endpoints
        self.ranks: dict[int, dict[int, float]] = {}
        self.loads_in_flight: dict[tuple[int, int], int] = {}

    def weight(self, spec: RequestClass, data_set: int, endpoint: TrackedEndpoint) -> float:
        """Return the factor on an endpoint's weight for a request that uses a data set."""
        number = endpoint.entry.endpoint
        rank = self.rank(data_set, number)
        if not self.active_settings.has_load_class:
            return 1.0 if rank < DATA_SET_PARTITION_FRACTION else UNCACHED_DATA_SET_WEIGHT
        is_in_load_partition = rank >= 1 - DATA_SET_PARTITION_FRACTION
        is_wrong_partition = (
            not is_in_load_partition
            if spec.is_load
            else is_in_load_partition and spec.blocked_by_loads
        )
        factor = WRONG_PARTITION_WEIGHT if is_wrong_partition else 1.0
        if (spec.is_load or spec.blocked_by_loads) and (number, data_set) in self.loads_in_flight:
            factor *= BLOCKED_DATA_SET_WEIGHT
        return factor

    def add_loads(self, endpoint: TrackedEndpoint, data_set: int, count: int) -> None:
        """Add to the count of loads in flight; a negative count is for loads that have ended."""
        load_key = (endpoint.entry.endpoint, data_set)
        load_count = self.loads_in_flight.get(load_key, 0) + count
        if load_count > 0:
            self.loads_in_flight[load_key] = load_count
        else:
            self.loads_in_flight.pop(load_key, None)

    def rank(self, data_set: int, number: int) -> float:
        """Return the rank of an endpoint for a data set: at least 0 and less than 1."""
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
