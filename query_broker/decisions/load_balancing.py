"""The choice among the endpoints that a request may go to: a draw weighted by load and health.

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

# Exponent of the load in the draw; a higher one comes nearer to "least loaded".
LOAD_EXPONENT = 3
# Threads a core that are added to every load, so that an idle endpoint does not get all requests.
IDLE_LOAD = 0.15
# The weight of an endpoint in another zone is divided by 1 + this times the price of crossing
# zones.
CROSS_ZONE_PENALTY = 25
# Weight of an endpoint that has already been tried for this request.
TRIED_WEIGHT = 0.1
# Smallest weight of an endpoint: a draw needs a positive sum.
MIN_WEIGHT = 1e-9


class LoadBalancer:
    """Draws the endpoint of an attempt."""

    __slots__ = ("active", "affinity", "outliers", "pool", "random", "slow_start")

    def __init__(
        self,
        active: ActiveSettings,
        pool: EndpointPool,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        affinity: DataSetAffinity,
        random_source: random.Random,
    ) -> None:
        """Take the collaborators and the source of random numbers."""
        self.active = active
        self.pool = pool
        self.slow_start = slow_start
        self.outliers = outliers
        self.affinity = affinity
        self.random = random_source

    def candidates(self, now_ns: int) -> list[TrackedEndpoint]:
        """Return the endpoints in use, and those in warm-up whose turn is ours."""
        is_our_turn = self.slow_start.is_our_turn
        ours = [endpoint for endpoint in self.pool.warming if is_our_turn(now_ns, endpoint)]
        return self.pool.subset + ours

    def draw(self, request: Request, endpoints: list[TrackedEndpoint]) -> TrackedEndpoint:
        """Draw one of at least one endpoint."""
        weights = [self._weight(request, endpoint) for endpoint in endpoints]
        return self.random.choices(endpoints, weights)[0]

    def _weight(self, request: Request, endpoint: TrackedEndpoint) -> float:
        spec = request.spec
        settings = self.active.settings
        healthy = 1 - self.outliers.failure_rate(endpoint)
        weight = endpoint.cores * (healthy / (IDLE_LOAD + endpoint.load())) ** LOAD_EXPONENT
        slowdown = endpoint.slowdown
        weight /= max(1.0, slowdown / endpoint.best_slowdown) * slowdown
        if spec.effect is Effect.NON_IDEMPOTENT:
            # It can't be retried: a failure loses the request.
            weight *= healthy**LOAD_EXPONENT
        if endpoint.entry.zone != settings.zone:
            weight /= 1 + CROSS_ZONE_PENALTY * settings.cross_zone_price
        if request.data_set >= 0:
            weight *= self.affinity.weight(spec, request.data_set, endpoint)
        if endpoint.entry.endpoint in request.tried_endpoints:
            weight *= TRIED_WEIGHT
        return max(weight, MIN_WEIGHT)
