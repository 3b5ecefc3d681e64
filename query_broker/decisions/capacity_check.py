"""Whether an endpoint and the pool have capacity for a request. Performs no I/O."""

from __future__ import annotations

from .endpoint_pool import EndpointPool
from .open_requests import Request
from .slow_start import SlowStart
from .tracked_endpoint import TrackedEndpoint

# Fraction of the bound, under pressure, for traffic that exceeds its tenant's quota.
OVER_QUOTA_FACTOR = 0.25
# Smallest divisor of the pool's bound: the more of a class is rejected, the more of the bound
# it may use, up to this.
MIN_ADMITTED = 0.2
# Weight of one dispatch in the mean priority weight and work.
MEAN_LEARNING_RATE = 0.02


class CapacityCheck:
    """The design's admission test, over the bounds of an endpoint and of the pool.

    Attributes:
        mean_priority_weight: Fading mean over first attempts.
        mean_work_ns: Fading mean over first attempts, in thread-nanoseconds.
    """

    __slots__ = ("mean_priority_weight", "mean_work_ns", "pool", "slow_start")

    def __init__(self, pool: EndpointPool, slow_start: SlowStart) -> None:
        """Take the collaborators; the means begin with the first dispatches."""
        self.pool = pool
        self.slow_start = slow_start
        # Smaller than any weight of a deployment, and not 0, since it is a divisor.
        self.mean_priority_weight = 1e-9
        self.mean_work_ns = 1.0

    def record(self, request: Request) -> None:
        """Record a first attempt in the means.

        Only dispatched requests count: a request that never fits must not change what others are
        compared with.
        """
        weight = request.spec.priority_weight
        self.mean_priority_weight += MEAN_LEARNING_RATE * (weight - self.mean_priority_weight)
        self.mean_work_ns += MEAN_LEARNING_RATE * (request.work_ns - self.mean_work_ns)

    def fits(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Whether a request fits the bounds.

        A large request would take the capacity of small ones that have more priority weight for
        their work, so the bound of each is in proportion to its priority weight per work. The bound
        of a request that exceeds its tenant's quota is smaller. Bounds apply only under pressure.
        """
        pool = self.pool
        spec = request.spec
        if pool.large_fleet and not endpoint.in_pool:
            return self.slow_start.fits_in_turn(now_ns, endpoint, spec.threads)
        backlog_ns = endpoint.backlog_of(request.work_ns)
        bound_factor = (
            spec.priority_weight / request.work_ns * self.mean_work_ns / self.mean_priority_weight
        )
        if request.over_quota:
            bound_factor *= OVER_QUOTA_FACTOR
        if not endpoint.fits(now_ns, backlog_ns, spec.threads, bound_factor):
            return False
        if not pool.large_fleet:
            return True
        pool_factor = bound_factor / max(MIN_ADMITTED, request.statistics.admitted)
        return pool.limit.fits(now_ns, backlog_ns, spec.threads, pool_factor)
