"""Whether an endpoint and the pool have capacity for a request. Performs no I/O."""

from __future__ import annotations

from .endpoint_pool import EndpointPool
from .open_requests import Request
from .slow_start import SlowStart
from .tracked_endpoint import TrackedEndpoint

# Under pressure, requests that exceed their tenant's quota may use this fraction of the bound.
OVER_QUOTA_BOUND_FRACTION = 0.25
# The bound of the pool is divided by the admission rate of the class, but by no less than this: a
# class with many rejections may use more of the bound.
MIN_ADMISSION_RATE = 0.2
# Weight of one dispatch in the exponentially weighted means of priority weight and work.
MEAN_LEARNING_RATE = 0.02


class CapacityCheck:
    """The admission test against the bounds of an endpoint and of the pool.

    Attributes:
        mean_priority_weight: Exponentially weighted mean over first attempts.
        mean_work_ns: Exponentially weighted mean over first attempts, in thread-nanoseconds.
    """

    __slots__ = ("mean_priority_weight", "mean_work_ns", "pool", "slow_start")

    def __init__(self, pool: EndpointPool, slow_start: SlowStart) -> None:
        """Store the collaborators; the means are learned from the first dispatches."""
        self.pool = pool
        self.slow_start = slow_start
        # Below the weight of any real class, but not 0, since it is a divisor.
        self.mean_priority_weight = 1e-9
        self.mean_work_ns = 1.0

    def record_first_attempt(self, request: Request) -> None:
        """Add the request of a first attempt to the means.

        Only dispatched requests count: a request that is too large to be dispatched must not change
        the means that other requests are compared with.
        """
        weight = request.spec.priority_weight
        self.mean_priority_weight += MEAN_LEARNING_RATE * (weight - self.mean_priority_weight)
        self.mean_work_ns += MEAN_LEARNING_RATE * (request.work_ns - self.mean_work_ns)

    def fits(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Whether a request fits the bounds of the endpoint and, in a large fleet, of the pool.

        The bound for a request is proportional to its priority weight per work: otherwise large
        requests would take the capacity of small ones with more priority weight per work. A
        request that exceeds its tenant's quota has a smaller bound. Bounds apply only under
        pressure.
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
            bound_factor *= OVER_QUOTA_BOUND_FRACTION
        if not endpoint.fits(now_ns, backlog_ns, spec.threads, bound_factor):
            return False
        if not pool.large_fleet:
            return True
        pool_factor = bound_factor / max(MIN_ADMISSION_RATE, request.statistics.admission_rate)
        return pool.limit.fits(now_ns, backlog_ns, spec.threads, pool_factor)
