"""Reports of ended attempts to the decisions: one per attempt, immediate or at a later tick."""

from __future__ import annotations

from typing import NamedTuple

from ..deadlines.handover_checks import HandOver, StopReason
from ..decisions.facade import AttemptEnded, AttemptResult, LoadReport
from ..timer_wheel import Clock, TimerWheel
from .context import DispatchContext
from .deadline_controls import NS_PER_MS, DeadlineControls
from .observers import DispatchExtensions
from .requests import Attempt, AttemptConnection

# How long a cancellation may take to reach an endpoint. The next attempt may use another connection
# and overtake the cancellation, so the cancelled attempt is reported only after this time.
CANCEL_TRANSIT_NS = 10 * NS_PER_MS


class DeferredOutcome(NamedTuple):
    """The result of an ended attempt that has not been reported yet."""

    attempt: Attempt
    result: AttemptResult


class AttemptOutcomes:
    """Reports the end of attempts.

    An outcome that an order causes directly is deferred to the next tick: it must not be reported
    before the order has been carried out.

    Attributes:
        deferred: Outcomes to report at a later tick, in the order in which the attempts ended.
    """

    def __init__(
        self,
        context: DispatchContext,
        clock: Clock,
        timer_wheel: TimerWheel,
        extensions: DispatchExtensions,
        controls: DeadlineControls,
    ) -> None:
        """Start without deferred outcomes."""
        self._context = context
        self._clock = clock
        self._timer_wheel = timer_wheel
        self._extensions = extensions
        self._controls = controls
        self.deferred: list[DeferredOutcome] = []

    def end(self, attempt: Attempt, result: AttemptResult, load: LoadReport | None = None) -> None:
        """Report the end of an attempt now, unless it has already been reported."""
        if attempt.reported:
            return
        attempt.reported = True
        for timer in (attempt.timer, attempt.start_timer):
            if timer is not None:
                timer.cancel()
        request = attempt.request
        request.attempts.pop(attempt.number, None)
        if attempt.holds_retry_token and not attempt.write_started:
            self._refund_retry_token(attempt)
        for observer in self._extensions.observers:
            observer.attempt_ended(attempt.endpoint, result)
        latency_ns = (attempt.answered_ns or self._clock.now()) - attempt.dispatched_ns
        self._context.report_event(
            AttemptEnded(
                request.id,
                attempt.number,
                attempt.endpoint,
                result,
                latency_ns,
                request.client is None,
                load,
            )
        )
        self._context.release(request)

    def _refund_retry_token(self, attempt: Attempt) -> None:
        """Return the retry budget's token of a retry that was never sent."""
        budget = self._controls.retry_budget
        if budget is not None:
            budget.refund(attempt.request.class_name.decode(), attempt.request.tenant)

    def end_next_tick(self, attempt: Attempt, result: AttemptResult) -> None:
        """Report the end of an attempt at the next tick."""
        self.deferred.append(DeferredOutcome(attempt, result))
        self._timer_wheel.wake_next_tick()

    def withdraw(self, attempt: Attempt, connection: AttemptConnection) -> bool:
        """Withdraw an attempt that must not begin; return False if it may run already."""
        was_partly_written = attempt.write_started
        if not connection.withdraw(attempt):
            return False
        statistics = self._controls.statistics
        if not was_partly_written:
            is_wanted = attempt.request.client is not None
            reason = StopReason.DEADLINE_PASSED if is_wanted else StopReason.CLIENT_LEFT
            statistics.stop_counts[HandOver.SOCKET, reason] += 1
            return True
        reason = StopReason.DEADLINE_PASSED
        if attempt.request.abandoned:
            reason = StopReason.CLIENT_LEFT
        statistics.partial_write_counts[reason] += 1
        return True

    def cancel_in_flight(self, attempt: Attempt, connection: AttemptConnection) -> None:
        """Cancel an attempt at its endpoint; the settings must allow cancellation."""
        connection.cancel(attempt)
        self.delay_report(attempt)
        self._controls.statistics.cancels_sent += 1

    def delay_report(self, attempt: Attempt) -> None:
        """Delay the report until the endpoint has the cancellation or the connection's end.

        Otherwise the next attempt could reach the endpoint first, on another connection. Where
        hedging is allowed, two attempts may be in flight anyway, and nothing is delayed.
        """
        if not self._context.config.settings.limits.hedging:
            attempt.report_after_ns = self._clock.now() + CANCEL_TRANSIT_NS

    def report_deferred(self) -> None:
        """Report the deferred outcomes, except those whose delay has not passed."""
        now_ns = self._clock.now()
        delayed: list[DeferredOutcome] = []
        while self.deferred:  # a report may lead to an order that defers another outcome
            outcomes = self.deferred
            self.deferred = []
            for outcome in outcomes:
                if self._may_be_reported(outcome.attempt, now_ns):
                    self.end(outcome.attempt, outcome.result)
                else:
                    delayed.append(outcome)
        self.deferred = delayed
        if delayed:
            self._timer_wheel.wake_next_tick()

    def _may_be_reported(self, attempt: Attempt, now_ns: int) -> bool:
        """Return False while the cancellation is in transit: the report may start a new attempt."""
        connection = attempt.connection
        request_id = attempt.request.client_request_id
        if connection is not None and request_id in connection.cancels_in_transit:
            self.delay_report(attempt)
        return attempt.report_after_ns <= now_ns
