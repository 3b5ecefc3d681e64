"""Load balancing: a random choice of an endpoint, weighted by load and health.

Performs no I/O.
"""

from __future__ import annotations

import random

from .active_settings import ActiveSettings
from .data_set_affinity import DataSetAffinity
from .endpoint_pool import EndpointPool
from .open_requests import Request
from .outlier_detection import OutlierDetector
from .settings import Effect
from .slow_start import SlowStart
from .tracked_endpoint import TrackedEndpoint

# Exponent of the load in a weight; a higher one is closer to "least loaded".
LOAD_EXPONENT = 3
# Added to the load of each endpoint, so that an idle endpoint does not get all requests.
BASE_THREADS_PER_CORE = 0.15
# The weight of an endpoint in another zone is divided by 1 + this x the price of crossing zones.
CROSS_ZONE_PENALTY = 25
# Factor on the weight of an endpoint that has already had an attempt of the request.
TRIED_WEIGHT = 0.1
# Lower limit of a weight: the random choice needs a positive sum.
MIN_WEIGHT = 1e-9


class LoadBalancer:
    """Chooses the endpoint of an attempt at random, by weight."""

    __slots__ = ("active_settings", "affinity", "outliers", "pool", "random_source", "slow_start")

    def __init__(
        self,
        active_settings: ActiveSettings,
        pool: EndpointPool,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        affinity: DataSetAffinity,
        random_source: random.Random,
    ) -> None:
        """Store the collaborators and the source of random numbers."""
        self.active_settings = active_settings
        self.pool = pool
        self.slow_start = slow_start
        self.outliers = outliers
        self.affinity = affinity
        self.random_source = random_source

    def candidates(self, now_ns: int) -> list[TrackedEndpoint]:
        """Return the endpoints in use, and those in warm-up where this broker has the turn."""
        has_turn = self.slow_start.has_turn
        warming_in_turn = [
            endpoint for endpoint in self.pool.warming_endpoints if has_turn(now_ns, endpoint)
        ]
        return self.pool.subset + warming_in_turn

    def choose(self, request: Request, endpoints: list[TrackedEndpoint]) -> TrackedEndpoint:
        """Choose one of the endpoints; there must be at least one."""
        weights = [self._weight(request, endpoint) for endpoint in endpoints]
        return self.random_source.choices(endpoints, weights)[0]

    def _weight(self, request: Request, endpoint: TrackedEndpoint) -> float:
        spec = request.spec
        settings = self.active_settings.settings
        success_rate = 1 - self.outliers.failure_rate(endpoint)
        weight = (
            endpoint.cores
            * (success_rate / (BASE_THREADS_PER_CORE + endpoint.load())) ** LOAD_EXPONENT
        )
        slowdown = endpoint.slowdown
        weight /= max(1.0, slowdown / endpoint.best_slowdown) * slowdown
        if spec.effect is Effect.NON_IDEMPOTENT:
            # Such a request can't be retried: a failure loses it.
            weight *= success_rate**LOAD_EXPONENT
        if endpoint.entry.zone != settings.zone:
            weight /= 1 + CROSS_ZONE_PENALTY * settings.cross_zone_price
        if request.data_set >= 0:
            weight *= self.affinity.weight(spec, request.data_set, endpoint)
        if endpoint.entry.endpoint in request.tried_endpoints:
            weight *= TRIED_WEIGHT
        return max(weight, MIN_WEIGHT)
