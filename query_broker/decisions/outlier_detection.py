"""Ejection of outliers: endpoints that fail, are silent, are full, or report an overload.

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
from .period_clock import PERIOD_NS, PeriodClock
from .settings import Effect
from .tracked_endpoint import TrackedEndpoint

# Weight of one outcome in the fading fractions of failures and errors.
FAILURE_LEARNING_RATE = 0.2
# Failure fraction that one reset alone does not exceed; a second soon after it shows a dead
# process.
SINGLE_RESET = 0.3
# An endpoint that owes answers and sends none for this multiple of the shortest latency objective
# is ejected.
SILENCE_MULTIPLE = 1.0
# Time between single trials of an ejected or full endpoint; a rejection counts as pressure as long.
TRIAL_INTERVAL_NS = PERIOD_NS
# Upper bound of the jitter that is added to it, times the failure fraction, so that brokers
# don't try at the same time.
TRIAL_JITTER_NS = 8 * PERIOD_NS
# Multiple of its expected latency from which an answer is no sign that the endpoint is well.
LATE_MULTIPLE = 3.0

CONNECTION_FAILURES = frozenset({AttemptResult.RESET, AttemptResult.CONNECT_FAILED})


class OutlierDetector:
    """Judges endpoints by their outcomes, their silence and their health checks.

    An ejected endpoint gets one trial at a time, an idempotent request; in a large fleet that may
    use health checks it gets these instead. Where all open endpoints are ejected, all are used.

    Attributes:
        group_failures: Fading fraction of failures by zone and by kind: the endpoints of a zone or
            of a kind often fail together.
    """

    __slots__ = ("active", "clock", "group_failures", "orders", "pool", "random")

    def __init__(
        self,
        active: ActiveSettings,
        pool: EndpointPool,
        clock: PeriodClock,
        orders: OrderBuffer,
        random_source: random.Random,
    ) -> None:
        """Take the collaborators and the source of random numbers."""
        self.active = active
        self.pool = pool
        self.clock = clock
        self.orders = orders
        self.random = random_source
        self.group_failures: dict[str, float] = {}

    def allows(self, now_ns: int, request: Request, endpoint: TrackedEndpoint) -> bool:
        """Whether the endpoint's health lets this request be dispatched to it."""
        self._check_silence(now_ns, endpoint)
        # With no backlog of ours every request fits the bound: without this, requests would be sent
        # to a full endpoint and rejected there without pause.
        if endpoint.backlog_ns == 0 and now_ns < endpoint.full_until_ns:
            return now_ns >= endpoint.next_trial_ns
        if not endpoint.ejected or self._all_ejected():
            return True
        return (
            now_ns >= endpoint.next_trial_ns
            and request.spec.effect is Effect.IDEMPOTENT
            and not self.pool.ejects_by_health_check
            and not any(attempt.is_trial for attempt in endpoint.in_flight.values())
        )

    def record(self, endpoint: TrackedEndpoint, failed: bool) -> None:
        """Record an outcome in the failure fractions of an endpoint, its zone and its kind."""
        endpoint.failure_rate += FAILURE_LEARNING_RATE * (failed - endpoint.failure_rate)
        groups = self.group_failures
        for group in (endpoint.entry.zone, endpoint.entry.kind):
            failures = groups.get(group, 0.0)
            groups[group] = failures + FAILURE_LEARNING_RATE * (failed - failures)

    def failure_rate(self, endpoint: TrackedEndpoint) -> float:
        """Return the highest of the failure and error fractions of an endpoint, for the draw.

        In a large fleet each endpoint has too few outcomes, so its zone and kind count as well.
        """
        endpoint_rate = max(endpoint.failure_rate, endpoint.error_rate)
        if not self.pool.large_fleet:
            return endpoint_rate
        groups = self.group_failures
        entry = endpoint.entry
        return max(endpoint_rate, groups.get(entry.zone, 0.0), groups.get(entry.kind, 0.0))

    def set_ejected(self, now_ns: int, endpoint: TrackedEndpoint, ejected: bool) -> None:
        """Eject an endpoint, prolong its ejection, or return it to use."""
        if ejected or endpoint.ejected:
            endpoint.ejected = ejected
            jitter_ns = int(TRIAL_JITTER_NS * endpoint.failure_rate * self.random.random())
            endpoint.next_trial_ns = now_ns + TRIAL_INTERVAL_NS + jitter_ns
            self.pool.refresh(now_ns)

    def request_health_check(self, now_ns: int, endpoint: TrackedEndpoint) -> None:
        """Order a health check."""
        endpoint.next_trial_ns = now_ns + TRIAL_INTERVAL_NS
        endpoint.health_check_requested_ns = now_ns
        self.orders.add(HealthCheck(endpoint.entry.endpoint))

    def take_health_check(self, now_ns: int, event: HealthCheckResult) -> None:
        """Judge an endpoint by the result of a health check.

        An endpoint that answers but has more requests in flight than it can run is overloaded, and
        stays ejected.
        """
        endpoint = self.pool.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        reported_inflight = 0.0
        if event.load_report is not None:
            endpoint.take_report(event.load_report)
            reported_inflight = event.load_report.inflight or 0.0
        if self.pool.ejects_by_health_check:
            is_overloaded = reported_inflight > THREADS_PER_CORE * endpoint.cores
            failed = event.result is not AttemptResult.SERVED or is_overloaded
            self.record(endpoint, failed)
            self.set_ejected(now_ns, endpoint, failed)

    def take_progress(self, now_ns: int, event: AttemptProgress) -> None:
        """Record that the endpoint is alive; the reported progress is not used."""
        endpoint = self.pool.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.last_activity_ns = now_ns

    def take_outcome(
        self, now_ns: int, endpoint: TrackedEndpoint, request: Request, event: AttemptEnded
    ) -> None:
        """Judge an endpoint by the outcome of an attempt.

        An endpoint that fails fast looks idle, and would get most of the requests if it were not
        judged by its outcomes.
        """
        result = event.result
        connection_failed = result in CONNECTION_FAILURES
        if connection_failed or result is AttemptResult.SERVED:
            self.record(endpoint, connection_failed)
        if result is AttemptResult.ERROR or result is AttemptResult.SERVED:
            is_error = result is AttemptResult.ERROR
            endpoint.error_rate += FAILURE_LEARNING_RATE * (is_error - endpoint.error_rate)
        if result is AttemptResult.ERROR:
            request.error_endpoints.append(endpoint)
        elif result is AttemptResult.FULL:
            self._take_rejection(now_ns, endpoint)
        elif connection_failed:
            self._take_connection_failure(now_ns, endpoint, result)
        elif result is AttemptResult.SERVED:
            self._take_answer(now_ns, endpoint, request, event.latency_ns)

    def end_period(self, now_ns: int) -> None:
        """Check ejected endpoints that are in use, and end the ejection of the others.

        An endpoint that is not in use would get no check and stay ejected.
        """
        used = {endpoint.entry.endpoint for endpoint in self.pool.subset}
        if not self.pool.ejects_by_health_check:
            return
        for endpoint in self.pool.endpoints.values():
            # No answer renews the report, and the dispatches since it would add up without end.
            endpoint.load_report = None
            if not endpoint.ejected or now_ns < endpoint.next_trial_ns:
                continue
            if endpoint.entry.endpoint in used:
                self.request_health_check(now_ns, endpoint)
            else:
                self.set_ejected(now_ns, endpoint, False)

    def _take_rejection(self, now_ns: int, endpoint: TrackedEndpoint) -> None:
        full_until_ns = now_ns + TRIAL_INTERVAL_NS
        endpoint.full_until_ns = full_until_ns
        self.pool.limit.full_until_ns = full_until_ns
        ejected = endpoint.ejected or self.pool.ejects_by_health_check
        self.set_ejected(now_ns, endpoint, ejected)

    def _take_connection_failure(
        self, now_ns: int, endpoint: TrackedEndpoint, result: AttemptResult
    ) -> None:
        if result is AttemptResult.CONNECT_FAILED or endpoint.failure_rate > SINGLE_RESET:
            self.set_ejected(now_ns, endpoint, True)

    def _take_answer(
        self, now_ns: int, endpoint: TrackedEndpoint, request: Request, latency_ns: int
    ) -> None:
        if self.pool.ejects_by_health_check:
            # Another endpoint has served the request, so the error was the endpoint's fault. In a
            # large fleet the capacity of an endpoint that fails a part of its requests isn't
            # needed.
            for other in request.error_endpoints:
                self.record(other, True)
                ejected = other.ejected or other.failure_rate > SINGLE_RESET
                self.set_ejected(now_ns, other, ejected)
        endpoint.last_activity_ns = now_ns
        expected_ns = request.statistics.expected_latency(request.work_ns)
        is_late = latency_ns > LATE_MULTIPLE * expected_ns
        ejected = endpoint.ejected and self.pool.ejects_by_health_check and is_late
        self.set_ejected(now_ns, endpoint, ejected)

    def _check_silence(self, now_ns: int, endpoint: TrackedEndpoint) -> None:
        """Eject an endpoint that takes work and sends no answers, before the list marks it."""
        limit_ns = SILENCE_MULTIPLE * self.active.shortest_objective_ns
        last_activity_ns = max(endpoint.last_activity_ns, self.clock.stalled_at_ns)
        if endpoint.ejected or now_ns - last_activity_ns <= limit_ns:
            return
        if any(
            _is_unanswered(now_ns, attempt, limit_ns, endpoint.process_started_ns)
            for attempt in endpoint.in_flight.values()
        ):
            self.record(endpoint, True)
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
