"""Attempts: the first of a request, retries, hedges, and the review of overdue ones.

Performs no I/O.
"""

from __future__ import annotations

from .accounting import Attempt
from .active_settings import ActiveSettings
from .dispatching import AttemptDispatcher
from .endpoint_pool import EndpointPool
from .endpoint_selection import EndpointSelector
from .open_requests import Request
from .order_buffer import OrderBuffer
from .orders import CancelAttempt
from .outlier_detection import OutlierDetector
from .period_clock import PERIOD_NS
from .settings import Effect
from .slow_start import SlowStart
from .tracked_endpoint import TrackedEndpoint

# Multiple of its expected latency after which an attempt is hedged, where that is harmless.
HEDGE_MULTIPLE = 3.0
# Multiple of its expected run time after which an attempt is taken to have a bad plan, to be lost
# or to be crowded out.
REVIEW_MULTIPLE = 6.0
# By which that multiple grows from attempt to attempt: the next one may need the longer time.
REVIEW_BACKOFF = 2


class RetryPolicy:
    """Starts each attempt of a request and follows it until its outcome."""

    __slots__ = (
        "active",
        "dispatcher",
        "orders",
        "outliers",
        "pool",
        "selector",
        "slow_start",
    )

    def __init__(
        self,
        active: ActiveSettings,
        pool: EndpointPool,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        selector: EndpointSelector,
        dispatcher: AttemptDispatcher,
        orders: OrderBuffer,
    ) -> None:
        """Take the collaborators."""
        self.active = active
        self.pool = pool
        self.slow_start = slow_start
        self.outliers = outliers
        self.selector = selector
        self.dispatcher = dispatcher
        self.orders = orders

    def first_attempt(self, now: int, request: Request) -> bool:
        """Dispatch a request where it fits; returns whether that was done."""
        endpoint = self.selector.for_first_attempt(now, request)
        return endpoint is not None and self._attempt(now, request, endpoint)

    def retry(self, now: int, request: Request) -> bool:
        """Start another attempt where the rules allow; returns whether that was done."""
        endpoint = self.selector.for_retry(now, request)
        return endpoint is not None and self._attempt(now, request, endpoint)

    def _attempt(self, now: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        attempt = self.dispatcher.dispatch(now, request, endpoint)
        if attempt is None:
            return False
        self._set_timers(now, request, endpoint, attempt)
        return True

    def _set_timers(
        self, now: int, request: Request, endpoint: TrackedEndpoint, attempt: Attempt
    ) -> None:
        limits = self.active.limits
        may_hedge = limits.hedging and request.spec.effect is Effect.IDEMPOTENT
        if self.pool.ejects_by_health_check or may_hedge:
            expected_ns = request.statistics.expected_latency(request.work_ns)
            expected_ns /= self.slow_start.capacity_fraction(now, endpoint)
            due_ns = now + int(HEDGE_MULTIPLE * expected_ns)
            self.orders.set_timer(due_ns, self._hedge_if_late, request, attempt.number)
        if limits.cancellation:
            multiple = REVIEW_MULTIPLE * REVIEW_BACKOFF**attempt.number
            wait_ns = int(multiple * request.run_time() * max(1.0, endpoint.slowdown))
            due_ns = now + max(wait_ns, self.active.shortest_objective_ns)
            self.orders.set_timer(due_ns, self._cancel_if_overdue, request, attempt.number)

    def _hedge_if_late(self, now: int, request: Request, number: int) -> None:
        """Timer: the answer of an attempt was lost, or its endpoint is jammed.

        Each of many brokers notices that late by itself, so the endpoint's health is checked.
        """
        attempt = request.in_flight.get(number)
        if attempt is None:
            return
        endpoint = self.pool.endpoints.get(attempt.endpoint)
        if endpoint is None:
            return
        unchecked_ns = now - endpoint.health_check_requested_ns
        if self.pool.ejects_by_health_check and not endpoint.ejected and unchecked_ns > PERIOD_NS:
            self.outliers.request_health_check(now, endpoint)
        if number == 0:
            self.retry(now, request)

    def _cancel_if_overdue(self, now: int, request: Request, number: int) -> None:
        """Timer: cancel an attempt far past its expected time, so that it is tried anew."""
        if (
            number in request.in_flight
            and not request.finished
            and request.spec.effect is not Effect.NON_IDEMPOTENT
            and request.attempts_started < self.active.limits.max_attempts
            and request.deadline_ns - now >= request.run_time()
        ):
            self.orders.add(CancelAttempt(request.id, number))
