"""Attempts: the first of a request, retries, hedges, and the review of overdue ones.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

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

# Multiple of its expected latency after which an attempt of an idempotent request is hedged.
HEDGE_MULTIPLE = 3.0
# Multiple of its expected run time after which an attempt is assumed to have a bad query plan, to
# be lost or to be starved of resources.
REVIEW_MULTIPLE = 6.0
# Factor by which that multiple grows with each attempt: the next one may need more time.
REVIEW_BACKOFF = 2
# Ticks by which a timer may be late before that shows a stall of this process.
MAX_TIMER_DELAY_TICKS = 2


class RetryPolicy:
    """Starts the attempts of a request, and hedges or cancels those that are late."""

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

    def first_attempt(self, now_ns: int, request: Request) -> bool:
        """Start the first attempt where the request fits; return whether one was started."""
        endpoint = self.selector.for_first_attempt(now_ns, request)
        return endpoint is not None and self._attempt(now_ns, request, endpoint)

    def retry(self, now_ns: int, request: Request) -> bool:
        """Start another attempt where the rules allow it; return whether one was started."""
        endpoint = self.selector.for_retry(now_ns, request)
        return endpoint is not None and self._attempt(now_ns, request, endpoint)

    def _attempt(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        attempt = self.dispatcher.dispatch(now_ns, request, endpoint)
        if attempt is None:
            return False
        self._set_timers(now_ns, request, endpoint, attempt)
        return True

    def _set_timers(
        self, now_ns: int, request: Request, endpoint: TrackedEndpoint, attempt: Attempt
    ) -> None:
        limits = self.active.limits
        may_hedge = limits.hedging and request.spec.effect is Effect.IDEMPOTENT
        if self.pool.ejects_by_health_check or may_hedge:
            expected_ns = request.statistics.expected_latency(request.work_ns)
            expected_ns /= self.slow_start.capacity_fraction(now_ns, endpoint)
            due_ns = now_ns + int(HEDGE_MULTIPLE * expected_ns)
            self._set_review(due_ns, self._hedge_if_late, request, attempt.number)
        if limits.cancellation:
            multiple = REVIEW_MULTIPLE * REVIEW_BACKOFF**attempt.number
            wait_ns = int(multiple * request.run_time() * max(1.0, endpoint.slowdown))
            due_ns = now_ns + max(wait_ns, self.active.shortest_objective_ns)
            self._set_review(due_ns, self._cancel_if_overdue, request, attempt.number)

    def _set_review(
        self,
        due_ns: int,
        review: Callable[[int, Request, int], None],
        request: Request,
        number: int,
    ) -> None:
        self.orders.set_timer(due_ns, self._review, due_ns, review, request, number)

    def _review(
        self,
        now_ns: int,
        due_ns: int,
        review: Callable[[int, Request, int], None],
        request: Request,
        number: int,
    ) -> None:
        """Timer: review an attempt, but not before the answers of a stall have been read.

        After a stall of this process its timers are due before its sockets are read. An attempt
        whose answer lies there unread would be cancelled, and under pressure it is not retried: its
        request would be rejected. By the next tick the answers have been read.
        """
        tick_ns = self.active.settings.tick_ns
        if now_ns - due_ns > MAX_TIMER_DELAY_TICKS * tick_ns:
            self.orders.set_timer(now_ns + tick_ns, review, request, number)
        else:
            review(now_ns, request, number)

    def _hedge_if_late(self, now_ns: int, request: Request, number: int) -> None:
        """Timer: hedge a late attempt, whose answer may be lost or whose endpoint overloaded.

        In a large fleet the outcomes of one broker would show that late, so a health check of the
        endpoint is ordered as well.
        """
        attempt = request.in_flight.get(number)
        if attempt is None:
            return
        endpoint = self.pool.endpoints.get(attempt.endpoint)
        if endpoint is None:
            return
        since_check_ns = now_ns - endpoint.health_check_requested_ns
        if self.pool.ejects_by_health_check and not endpoint.ejected and since_check_ns > PERIOD_NS:
            self.outliers.request_health_check(now_ns, endpoint)
        if number == 0:
            self.retry(now_ns, request)

    def _cancel_if_overdue(self, now_ns: int, request: Request, number: int) -> None:
        """Timer: cancel an attempt far past its expected time, so that it is retried."""
        if (
            number in request.in_flight
            and not request.finished
            and request.spec.effect is not Effect.NON_IDEMPOTENT
            and request.attempts_started < self.active.limits.max_attempts
            and request.deadline_ns - now_ns >= request.run_time()
        ):
            self.orders.add(CancelAttempt(request.id, number))
