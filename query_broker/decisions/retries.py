"""First attempts, retries and hedges of requests, and the review of overdue attempts.

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
from .period_clock import CONTROL_PERIOD_NS
from .settings import Effect
from .slow_start import SlowStart
from .tracked_endpoint import TrackedEndpoint

# An attempt of an idempotent request is hedged after this multiple of its expected latency.
HEDGE_LATENCY_MULTIPLE = 3.0
# An attempt is cancelled and retried after this multiple of its expected run time: its query plan
# is assumed to be bad, or the attempt to be lost or short of resources.
CANCEL_RUN_TIME_MULTIPLE = 6.0
# That multiple grows by this factor with each attempt: the next attempt may need more time.
CANCEL_BACKOFF_FACTOR = 2
# A timer that is late by more ticks than this shows a stall of this process.
MAX_TIMER_DELAY_TICKS = 2


class RetryPolicy:
    """Starts the attempts of a request, and hedges or cancels late attempts."""

    __slots__ = (
        "active_settings",
        "dispatcher",
        "orders",
        "outliers",
        "pool",
        "selector",
        "slow_start",
    )

    def __init__(
        self,
        active_settings: ActiveSettings,
        pool: EndpointPool,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        selector: EndpointSelector,
        dispatcher: AttemptDispatcher,
        orders: OrderBuffer,
    ) -> None:
        """Store the collaborators."""
        self.active_settings = active_settings
        self.pool = pool
        self.slow_start = slow_start
        self.outliers = outliers
        self.selector = selector
        self.dispatcher = dispatcher
        self.orders = orders

    def start_first_attempt(self, now_ns: int, request: Request) -> bool:
        """Start the first attempt if an endpoint has capacity; return whether one was started."""
        endpoint = self.selector.select_for_first_attempt(now_ns, request)
        return endpoint is not None and self._start_attempt(now_ns, request, endpoint)

    def start_retry(self, now_ns: int, request: Request) -> bool:
        """Start another attempt if the contract allows it; return whether one was started."""
        endpoint = self.selector.select_for_retry(now_ns, request)
        return endpoint is not None and self._start_attempt(now_ns, request, endpoint)

    def _start_attempt(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        attempt = self.dispatcher.dispatch(now_ns, request, endpoint)
        if attempt is None:
            return False
        self._set_timers(now_ns, request, endpoint, attempt)
        return True

    def _set_timers(
        self, now_ns: int, request: Request, endpoint: TrackedEndpoint, attempt: Attempt
    ) -> None:
        limits = self.active_settings.limits
        may_hedge = limits.hedging and request.spec.effect is Effect.IDEMPOTENT
        if self.pool.health_checks_replace_trials or may_hedge:
            expected_ns = request.statistics.expected_latency(request.work_ns)
            expected_ns /= self.slow_start.capacity_fraction(now_ns, endpoint)
            due_ns = now_ns + int(HEDGE_LATENCY_MULTIPLE * expected_ns)
            self._set_review(due_ns, self._hedge_if_late, request, attempt.number)
        if limits.cancellation:
            multiple = CANCEL_RUN_TIME_MULTIPLE * CANCEL_BACKOFF_FACTOR**attempt.number
            wait_ns = int(multiple * request.run_time() * max(1.0, endpoint.slowdown))
            due_ns = now_ns + max(wait_ns, self.active_settings.shortest_objective_ns)
            self._set_review(due_ns, self._cancel_if_overdue, request, attempt.number)

    def _set_review(
        self,
        due_ns: int,
        review: Callable[[int, Request, int], None],
        request: Request,
        attempt_number: int,
    ) -> None:
        self.orders.set_timer(due_ns, self._review, due_ns, review, request, attempt_number)

    def _review(
        self,
        now_ns: int,
        due_ns: int,
        review: Callable[[int, Request, int], None],
        request: Request,
        attempt_number: int,
    ) -> None:
        """Timer: review an attempt; after a stall only at the next tick.

        After a stall of this process its timers fire before it reads its sockets. An attempt whose
        answer is still unread would be cancelled and, under pressure, not retried, so that its
        request would be rejected. By the next tick the answers have been read.
        """
        tick_ns = self.active_settings.settings.tick_ns
        if now_ns - due_ns > MAX_TIMER_DELAY_TICKS * tick_ns:
            self.orders.set_timer(now_ns + tick_ns, review, request, attempt_number)
        else:
            review(now_ns, request, attempt_number)

    def _hedge_if_late(self, now_ns: int, request: Request, attempt_number: int) -> None:
        """Timer: hedge a late attempt; its answer may be lost, or its endpoint overloaded.

        In a large fleet the outcomes of one broker show an overload late, so that a health check of
        the endpoint is ordered as well.
        """
        attempt = request.in_flight.get(attempt_number)
        if attempt is None:
            return
        endpoint = self.pool.endpoints.get(attempt.endpoint)
        if endpoint is None:
            return
        since_check_ns = now_ns - endpoint.health_check_requested_ns
        if (
            self.pool.health_checks_replace_trials
            and not endpoint.ejected
            and since_check_ns > CONTROL_PERIOD_NS
        ):
            self.outliers.request_health_check(now_ns, endpoint)
        if attempt_number == 0:
            self.start_retry(now_ns, request)

    def _cancel_if_overdue(self, now_ns: int, request: Request, attempt_number: int) -> None:
        """Timer: cancel an attempt far past its expected run time, so that it is retried."""
        if (
            attempt_number in request.in_flight
            and not request.finished
            and request.spec.effect is not Effect.NON_IDEMPOTENT
            and request.attempts_started < self.active_settings.limits.max_attempts
            and request.deadline_ns - now_ns >= request.run_time()
        ):
            self.orders.add(CancelAttempt(request.id, attempt_number))
