"""Cancellation: stops, withdraws or cancels attempts that are no longer wanted.

`HandOverGate` stops attempts on their way to an endpoint. `RequestCancellation` ends the attempts
of a request that has been answered or abandoned.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..deadlines.cancel_scopes import CancelAction, CancelScope, ScopeKind
from ..deadlines.handover_checks import HandOver, HandOverState, StopReason, reason_to_stop
from ..deadlines.settings import LatencyStage
from ..decisions.facade import (
    AttemptResult,
    CancelAttempt,
    CloseRequests,
    EndpointState,
    RequestAbandoned,
)
from ..endpoints.administrative_state import AdministrativeStates
from ..endpoints.endpoint_table import EndpointTable
from ..timer_wheel import Clock
from .attempt_outcomes import AttemptOutcomes
from .context import DispatchContext
from .deadline_controls import DeadlineControls
from .observers import DispatchExtensions, RequestEnding
from .request_table import RequestTable
from .requests import ActiveRequest, Attempt
from .undelivered_attempts import UndeliveredAttempts

# The stages that a request has not gone through yet at each hand-over.
REMAINING_STAGES = {
    HandOver.POOL: (LatencyStage.CONNECT, LatencyStage.WRITE, LatencyStage.ENGINE),
    HandOver.CONNECTION: (LatencyStage.WRITE, LatencyStage.ENGINE),
    HandOver.SOCKET: (LatencyStage.ENGINE,),
}


class HandOverGate:
    """Checks at each hand-over whether an attempt may proceed to its endpoint."""

    def __init__(
        self,
        clock: Clock,
        endpoints: EndpointTable,
        administrative_states: AdministrativeStates,
        controls: DeadlineControls,
        outcomes: AttemptOutcomes,
    ) -> None:
        """Store the other parts that the checks use."""
        self._clock = clock
        self._endpoints = endpoints
        self._administrative_states = administrative_states
        self._controls = controls
        self._outcomes = outcomes

    def may_proceed(self, attempt: Attempt, hand_over: HandOver) -> bool:
        """Return whether the attempt proceeds; else report it as not sent at the next tick.

        An attempt that was withdrawn while it waited may still have a deferred report. It must not
        proceed, since it would run concurrently with the next attempt.
        """
        if attempt.reported or attempt.stopped_by_broker:
            return False
        now_ns = self._clock.now()
        reason = reason_to_stop(now_ns, self._hand_over_state(attempt, hand_over, now_ns))
        if reason is None:
            return True
        self._controls.statistics.stop_counts[hand_over, reason] += 1
        if attempt.connection is not None:
            attempt.connection.in_flight.pop(attempt.request.client_request_id, None)
        self._outcomes.end_next_tick(attempt, AttemptResult.NOT_SENT)
        return False

    def _hand_over_state(self, attempt: Attempt, hand_over: HandOver, now_ns: int) -> HandOverState:
        """Return the state of the attempt that the check at a hand-over needs."""
        request = attempt.request
        endpoint = self._endpoints.by_number.get(attempt.endpoint)
        stages = self._controls.stages
        min_latency_ns = 0
        if stages is not None:
            remaining = REMAINING_STAGES[hand_over]
            min_latency_ns = stages.min_latency_ns(request.class_name.decode(), now_ns, *remaining)
        is_disabled = False
        if endpoint is not None and self._administrative_states.states:
            is_disabled = self._administrative_states.is_disabled(endpoint.target.uid)
        is_ready = endpoint is not None and endpoint.target.state is EndpointState.READY
        return HandOverState(
            answer_wanted=request.client is not None and not request.cancellations_unread,
            deadline_ns=min(attempt.deadline_ns, request.deadline_ns, attempt.latest_start_ns),
            min_latency_ns=min_latency_ns,
            endpoint_disabled=is_disabled,
            draining_since_ns=0 if is_ready else now_ns,
        )


class RequestCancellation:
    """Ends requests early, and cancels attempts."""

    def __init__(
        self,
        context: DispatchContext,
        table: RequestTable,
        extensions: DispatchExtensions,
        controls: DeadlineControls,
        outcomes: AttemptOutcomes,
        undelivered: UndeliveredAttempts,
    ) -> None:
        """Store the other parts that cancelling uses."""
        self._context = context
        self._table = table
        self._extensions = extensions
        self._controls = controls
        self._outcomes = outcomes
        self._undelivered = undelivered

    def abandon(self, request: ActiveRequest) -> None:
        """End a request without an answer: its client has cancelled it or disconnected."""
        if request.client is None:
            return
        request.client = None
        request.abandoned = True
        self._table.unanswered_count -= 1
        for observer in self._extensions.observers:
            observer.request_ended(request, RequestEnding.ABANDONED)
        self._context.report_event(RequestAbandoned(request.id))
        self.end_scope(request)
        self._context.release(request)

    def close_out_all(self) -> None:
        """Give all requests their final answer, since the process is about to end."""
        self._table.closing = True
        self._withdraw_unsent(self._table.by_id.values())
        self._context.report_event(CloseRequests())

    def close_out(self, requests: Sequence[ActiveRequest]) -> None:
        """Give these requests their final answer: nothing more will be read from their client."""
        if not requests:
            return
        for request in requests:
            request.closing = True
        self._withdraw_unsent(requests)
        self._context.report_event(CloseRequests(frozenset(request.id for request in requests)))

    def _withdraw_unsent(self, requests: Iterable[ActiveRequest]) -> None:
        """Withdraw the attempts that have not been sent, before their requests are answered.

        Otherwise the requests would be answered as if these attempts might have run.
        """
        attempts = [attempt for request in requests for attempt in request.attempts.values()]
        for attempt in attempts:
            if attempt.write_started:
                continue
            connection = attempt.connection
            if connection is None or connection.withdraw(attempt):
                self._outcomes.end(attempt, AttemptResult.NOT_SENT)
        self._outcomes.report_deferred()

    def end_scope(self, request: ActiveRequest) -> None:
        """End the attempts of a request that has been answered or abandoned.

        Attempts that were not sent completely are withdrawn, attempts in flight are cancelled if
        endpoints support cancellation, and no more pages are fetched.
        """
        if not request.attempts:
            return
        may_cancel = self._context.config.settings.limits.cancellation
        for action, scope in request.scope().end(may_cancel):
            if isinstance(scope.work, Attempt):
                self._apply(action, scope.work)

    def cancel_attempt(self, order: CancelAttempt) -> None:
        """Cancel one attempt that the decisions have ordered to cancel.

        Does nothing if the settings say that endpoints don't support cancellation.
        """
        if not self._context.config.settings.limits.cancellation:
            return
        request = self._table.by_id.get(order.request_id)
        if request is None:
            return
        attempt = request.attempts.get(order.attempt)
        if attempt is None:
            return
        scope = attempt.scope(CancelScope(ScopeKind.REQUEST, request))
        for action, _ in scope.end(True):
            self._apply(action, attempt)

    def _apply(self, action: CancelAction, attempt: Attempt) -> None:
        """Carry out one action; if it ends the attempt, the end is reported at the next tick."""
        if attempt.reported or attempt.stopped_by_broker:
            return
        result = self._perform_action(action, attempt)
        if result is None:
            return
        attempt.stopped_by_broker = True
        self._outcomes.end_next_tick(attempt, result)

    def _perform_action(self, action: CancelAction, attempt: Attempt) -> AttemptResult | None:
        """Carry out an action and return how the attempt ended, or None if it goes on."""
        connection = attempt.connection
        match action:
            case CancelAction.WITHDRAW if connection is None:
                self._controls.statistics.stop_counts[HandOver.POOL, StopReason.CLIENT_LEFT] += 1
                return AttemptResult.NOT_SENT
            case CancelAction.WITHDRAW if connection is not None:
                if not self._outcomes.withdraw(attempt, connection):
                    return None
                return AttemptResult.NOT_SENT
            case CancelAction.LET_RUN if connection is not None:
                self._undelivered.check_later(attempt, connection)
            case CancelAction.CANCEL if connection is not None:
                self._undelivered.check_later(attempt, connection)
                self._outcomes.cancel_in_flight(attempt, connection)
                return AttemptResult.CANCELLED
            case CancelAction.DISCARD_PAGES if connection is not None:
                connection.forget(attempt)  # the query has run; its remaining pages are declined
                return AttemptResult.SERVED
        return None
