"""Ejection of outliers: endpoints that fail, do not answer, are full, or report an overload.

Performs no I/O.
"""

from __future__ import annotations

import random

from .accounting import Attempt
from .active_settings import ActiveSettings
from .concurrency_limit import THREADS_PER_CORE
from .endpoint_pool import EndpointPool
from .events import (
    AttemptEnded,
    AttemptProgress,
    AttemptResult,
    HealthCheckResult,
)
from .open_requests import Request
from .order_buffer import OrderBuffer
from .orders import HealthCheck
from .period_clock import CONTROL_PERIOD_NS, PeriodClock
from .settings import Effect
from .tracked_endpoint import TrackedEndpoint

# Weight of one outcome in the exponentially weighted failure and error rates.
FAILURE_LEARNING_RATE = 0.2
# One reset alone does not raise the failure rate above this; a second one soon after the first
# does, and shows that the process is dead.
SINGLE_RESET_FAILURE_RATE = 0.3
# An endpoint with attempts in flight that sends no answer for this multiple of the shortest latency
# objective is ejected.
SILENCE_MULTIPLE = 1.0
# Time between trials of an ejected or full endpoint; a rejection for lack of capacity counts as
# pressure for the same time.
TRIAL_INTERVAL_NS = CONTROL_PERIOD_NS
# Upper limit of the jitter, which is multiplied by the failure rate and added to that time, so that
# the trials of several brokers do not coincide.
MAX_TRIAL_JITTER_NS = 8 * CONTROL_PERIOD_NS
# An answer later than this multiple of its expected latency does not end an ejection.
LATE_ANSWER_MULTIPLE = 3.0

CONNECTION_FAILURE_RESULTS = frozenset({AttemptResult.RESET, AttemptResult.CONNECT_FAILED})


class OutlierDetector:
    """Ejects endpoints by the outcomes of attempts, missing answers and health checks.

    An ejected endpoint gets one trial at a time, an idempotent request; in a large fleet that may
    use health checks it gets these instead. If all open endpoints are ejected, all are used.

    Attributes:
        group_failure_rates: Exponentially weighted failure rate by zone and by kind: the endpoints
            of a zone or of a kind often fail together.
    """

    __slots__ = (
        "active_settings",
        "clock",
        "group_failure_rates",
        "orders",
        "pool",
        "random_source",
    )

    def __init__(
        self,
        active_settings: ActiveSettings,
        pool: EndpointPool,
        clock: PeriodClock,
        orders: OrderBuffer,
        random_source: random.Random,
    ) -> None:
        """Store the collaborators and the source of random numbers."""
        self.active_settings = active_settings
        self.pool = pool
        self.clock = clock
        self.orders = orders
        self.random_source = random_source
        self.group_failure_rates: dict[str, float] = {}

    def allows(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Whether the endpoint's health lets this request be dispatched to it."""
        self._check_silence(now_ns, endpoint)
        # Without a backlog every request fits the bound, so that requests would be dispatched to a
        # full endpoint, and rejected there, without a pause.
        if endpoint.backlog_ns == 0 and now_ns < endpoint.full_until_ns:
            return now_ns >= endpoint.next_trial_ns
        if not endpoint.ejected or self._all_ejected():
            return True
        return (
            now_ns >= endpoint.next_trial_ns
            and request.spec.effect is Effect.IDEMPOTENT
            and not self.pool.health_checks_replace_trials
            and not any(attempt.is_trial for attempt in endpoint.in_flight.values())
        )

    def record_outcome(self, endpoint: TrackedEndpoint, failed: bool) -> None:
        """Record an outcome in the failure rates of an endpoint, its zone and its kind."""
        endpoint.failure_rate += FAILURE_LEARNING_RATE * (failed - endpoint.failure_rate)
        rates = self.group_failure_rates
        for group in (endpoint.entry.zone, endpoint.entry.kind):
            group_rate = rates.get(group, 0.0)
            rates[group] = group_rate + FAILURE_LEARNING_RATE * (failed - group_rate)

    def failure_rate(self, endpoint: TrackedEndpoint) -> float:
        """Return the higher of the failure and error rates of an endpoint.

        In a large fleet one endpoint has too few outcomes, so the failure rates of its zone and its
        kind count as well.
        """
        endpoint_rate = max(endpoint.failure_rate, endpoint.error_rate)
        if not self.pool.large_fleet:
            return endpoint_rate
        rates = self.group_failure_rates
        entry = endpoint.entry
        return max(endpoint_rate, rates.get(entry.zone, 0.0), rates.get(entry.kind, 0.0))

    def set_ejected(self, now_ns: int, endpoint: TrackedEndpoint, ejected: bool) -> None:
        """Eject an endpoint, prolong its ejection, or end its ejection."""
        if ejected or endpoint.ejected:
            endpoint.ejected = ejected
            jitter_ns = int(
                MAX_TRIAL_JITTER_NS * endpoint.failure_rate * self.random_source.random()
            )
            endpoint.next_trial_ns = now_ns + TRIAL_INTERVAL_NS + jitter_ns
            self.pool.refresh(now_ns)

    def request_health_check(self, now_ns: int, endpoint: TrackedEndpoint) -> None:
        """Order a health check."""
        endpoint.next_trial_ns = now_ns + TRIAL_INTERVAL_NS
        endpoint.health_check_requested_ns = now_ns
        self.orders.add(HealthCheck(endpoint.entry.endpoint))

    def handle_health_check(self, now_ns: int, event: HealthCheckResult) -> None:
        """Eject or readmit an endpoint after a health check.

        An endpoint that answers but has more requests in flight than it can run is overloaded, and
        is ejected too.
        """
        endpoint = self.pool.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        reported_inflight = 0.0
        if event.load_report is not None:
            endpoint.update_load_report(event.load_report)
            reported_inflight = event.load_report.inflight or 0.0
        if self.pool.health_checks_replace_trials:
            is_overloaded = reported_inflight > THREADS_PER_CORE * endpoint.cores
            failed = event.result is not AttemptResult.SERVED or is_overloaded
            self.record_outcome(endpoint, failed)
            self.set_ejected(now_ns, endpoint, failed)

    def handle_progress(self, now_ns: int, event: AttemptProgress) -> None:
        """Record activity of the endpoint; the reported progress is not used."""
        endpoint = self.pool.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.last_activity_ns = now_ns

    def handle_outcome(
        self, now_ns: int, endpoint: TrackedEndpoint, request: Request, event: AttemptEnded
    ) -> None:
        """Update the health of an endpoint after the outcome of an attempt.

        An endpoint that fails fast looks idle: if outcomes did not count, it would get most of the
        requests.
        """
        result = event.result
        connection_failed = result in CONNECTION_FAILURE_RESULTS
        if connection_failed or result is AttemptResult.SERVED:
            self.record_outcome(endpoint, connection_failed)
        if result is AttemptResult.ERROR or result is AttemptResult.SERVED:
            is_error = result is AttemptResult.ERROR
            endpoint.error_rate += FAILURE_LEARNING_RATE * (is_error - endpoint.error_rate)
        if result is AttemptResult.ERROR:
            request.error_endpoints.append(endpoint)
        elif result is AttemptResult.FULL:
            self._handle_rejection(now_ns, endpoint)
        elif connection_failed:
            self._handle_connection_failure(now_ns, endpoint, result)
        elif result is AttemptResult.SERVED:
            self._handle_answer(now_ns, endpoint, request, event.latency_ns)

    def end_period(self, now_ns: int) -> None:
        """Check ejected endpoints of the subset in use, and end the ejection of the others.

        An endpoint outside the subset would get no health check and would stay ejected.
        """
        used = {endpoint.entry.endpoint for endpoint in self.pool.subset}
        if not self.pool.health_checks_replace_trials:
            return
        for endpoint in self.pool.endpoints.values():
            # Drop old reports: if no answer renews one, the threads dispatched since it add up
            # without limit.
            endpoint.load_report = None
            if not endpoint.ejected or now_ns < endpoint.next_trial_ns:
                continue
            if endpoint.entry.endpoint in used:
                self.request_health_check(now_ns, endpoint)
            else:
                self.set_ejected(now_ns, endpoint, False)

    def _handle_rejection(self, now_ns: int, endpoint: TrackedEndpoint) -> None:
        full_until_ns = now_ns + TRIAL_INTERVAL_NS
        endpoint.full_until_ns = full_until_ns
        self.pool.limit.full_until_ns = full_until_ns
        ejected = endpoint.ejected or self.pool.health_checks_replace_trials
        self.set_ejected(now_ns, endpoint, ejected)

    def _handle_connection_failure(
        self, now_ns: int, endpoint: TrackedEndpoint, result: AttemptResult
    ) -> None:
        if (
            result is AttemptResult.CONNECT_FAILED
            or endpoint.failure_rate > SINGLE_RESET_FAILURE_RATE
        ):
            self.set_ejected(now_ns, endpoint, True)

    def _handle_answer(
        self, now_ns: int, endpoint: TrackedEndpoint, request: Request, latency_ns: int
    ) -> None:
        if self.pool.health_checks_replace_trials:
            # This endpoint has served the request, so the earlier errors were the fault of other
            # endpoints. A large fleet can do without the capacity of endpoints that fail some of
            # their requests.
            for other in request.error_endpoints:
                self.record_outcome(other, True)
                ejected = other.ejected or other.failure_rate > SINGLE_RESET_FAILURE_RATE
                self.set_ejected(now_ns, other, ejected)
        endpoint.last_activity_ns = now_ns
        expected_ns = request.statistics.expected_latency(request.work_ns)
        is_late = latency_ns > LATE_ANSWER_MULTIPLE * expected_ns
        ejected = endpoint.ejected and self.pool.health_checks_replace_trials and is_late
        self.set_ejected(now_ns, endpoint, ejected)

    def _check_silence(self, now_ns: int, endpoint: TrackedEndpoint) -> None:
        """Eject an endpoint that accepts attempts and sends no answers.

        The endpoint list may not show such a fault, or only later.
        """
        limit_ns = SILENCE_MULTIPLE * self.active_settings.shortest_objective_ns
        last_activity_ns = max(endpoint.last_activity_ns, self.clock.last_stall_ns)
        if endpoint.ejected or now_ns - last_activity_ns <= limit_ns:
            return
        if any(
            _is_unanswered(now_ns, attempt, limit_ns, endpoint.process_started_ns)
            for attempt in endpoint.in_flight.values()
        ):
            self.record_outcome(endpoint, True)
            self.set_ejected(now_ns, endpoint, True)

    def _all_ejected(self) -> bool:
        pool = self.pool
        return all(
            endpoint.ejected for endpoint in pool.endpoints.values() if pool.is_open(endpoint)
        )


def _is_unanswered(now_ns: int, attempt: Attempt, limit_ns: float, process_started_ns: int) -> bool:
    age_ns = now_ns - attempt.dispatched_ns
    is_overdue = age_ns > max(limit_ns, attempt.backlog_ns)
    return is_overdue and attempt.dispatched_ns >= process_started_ns
