"""The selection of an endpoint for an attempt, among the eligible ones with capacity.

Performs no I/O.
"""

from __future__ import annotations

from .capacity_check import CapacityCheck
from .eligibility import Eligibility
from .endpoint_pool import EndpointPool
from .load_balancing import LoadBalancer
from .open_requests import Request
from .tracked_endpoint import TrackedEndpoint

# A request that this many endpoints answered with an error is assumed to be faulty itself.
MAX_ERROR_ENDPOINTS = 2


class EndpointSelector:
    """Chooses the endpoint of the next attempt of a request."""

    __slots__ = ("balancer", "capacity", "eligibility", "pool")

    def __init__(
        self,
        pool: EndpointPool,
        balancer: LoadBalancer,
        eligibility: Eligibility,
        capacity: CapacityCheck,
    ) -> None:
        """Store the collaborators."""
        self.pool = pool
        self.balancer = balancer
        self.eligibility = eligibility
        self.capacity = capacity

    def select_for_first_attempt(self, now_ns: int, request: Request) -> TrackedEndpoint | None:
        """Choose an endpoint with capacity for the request; None if there is none."""
        allows = self.eligibility.allows
        candidates = self.balancer.candidates(now_ns)
        eligible = [endpoint for endpoint in candidates if allows(now_ns, request, endpoint)]
        # A request that can't end in time would waste the endpoint's capacity.
        if not _has_time_to_run(now_ns, request):
            return None
        fits = self.capacity.fits
        fitting = [endpoint for endpoint in eligible if fits(now_ns, request, endpoint)]
        # Endpoints in warm-up come first: capacity that stays unused in this broker's turn is lost.
        warming = [endpoint for endpoint in fitting if not (endpoint.in_pool or endpoint.ejected)]
        return self._choose(request, warming or fitting)

    def select_for_retry(self, now_ns: int, request: Request) -> TrackedEndpoint | None:
        """Choose the endpoint of a retry or a hedge; None if there should be no further attempt.

        Retries increase the overload that caused them. So there is none under pressure, none that
        can't end in time, and none for a request that two endpoints answered with an error.
        """
        errors = request.error_endpoints
        eligible = [
            endpoint
            for endpoint in self.balancer.candidates(now_ns)
            if self._may_retry_at(now_ns, request, endpoint)
        ]
        if len(errors) >= MAX_ERROR_ENDPOINTS or not _has_time_to_run(now_ns, request):
            return None
        tried = request.tried_endpoints
        untried = [endpoint for endpoint in eligible if endpoint.entry.endpoint not in tried]
        if untried or errors:
            return self._choose(request, untried)
        return self._choose(request, eligible)

    def _may_retry_at(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        if not self.eligibility.allows(now_ns, request, endpoint):
            return False
        if self.pool.large_fleet or request.error_endpoints:
            return self.capacity.fits(now_ns, request, endpoint)
        return not endpoint.is_under_pressure(now_ns)

    def _choose(self, request: Request, endpoints: list[TrackedEndpoint]) -> TrackedEndpoint | None:
        return self.balancer.choose(request, endpoints) if endpoints else None


def _has_time_to_run(now_ns: int, request: Request) -> bool:
    return request.deadline_ns - now_ns > request.run_time()
