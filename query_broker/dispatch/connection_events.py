"""Handling of the events on connections to endpoints."""

from __future__ import annotations

from ..deadlines.cancel_scopes import CancelOutcome
from ..deadlines.handover_checks import HandOver
from ..decisions.facade import AttemptProgress, AttemptResult, HealthCheckResult, ProgressKind
from ..metrics import SUCCESS, Metrics
from ..protocols.engine_connection import EngineConnection
from ..timer_wheel import Clock, TimerWheel
from .attempt_outcomes import AttemptOutcomes
from .cancellation import HandOverGate, RequestCancellation
from .context import DispatchContext
from .deadline_controls import NS_PER_MS, DeadlineControls
from .health_checks import HealthChecks
from .load_reports import parse_load_report
from .requests import Attempt
from .stage_timing import StageTimer

# Minimum time between two reported progress notes of the same kind for one attempt. Endpoints send
# one per second, and each reported note is an event that the decisions must handle.
MIN_PROGRESS_INTERVAL_NS = 100 * NS_PER_MS


class ConnectionEvents:
    """The owner of all connections to endpoints: implements `EngineConnectionOwner`.

    Attributes:
        blocked_connections: Connections to flush at the next tick, in the order in which their
            sockets blocked.
    """

    def __init__(
        self,
        context: DispatchContext,
        clock: Clock,
        timer_wheel: TimerWheel,
        metrics: Metrics,
        controls: DeadlineControls,
        outcomes: AttemptOutcomes,
        gate: HandOverGate,
        cancellations: RequestCancellation,
        health_checks: HealthChecks,
        stage_timer: StageTimer,
    ) -> None:
        """Store the parts that handle the events."""
        self._context = context
        self._clock = clock
        self._timer_wheel = timer_wheel
        self._metrics = metrics
        self._controls = controls
        self._outcomes = outcomes
        self._gate = gate
        self._cancellations = cancellations
        self._health_checks = health_checks
        self._stage_timer = stage_timer
        self.blocked_connections: dict[EngineConnection, None] = {}

    def now(self) -> int:
        """Return the time in Unix nanoseconds."""
        return self._clock.now()

    def may_proceed(self, attempt: Attempt) -> bool:
        """Return whether the first byte of the attempt may be sent."""
        return self._gate.may_proceed(attempt, HandOver.SOCKET)

    def attempt_written_immediately(self) -> None:
        """Count an attempt that was sent completely by the call that handed it to a connection."""
        self._metrics.dispatches += 1

    def attempt_written(self, attempt: Attempt) -> None:
        """Record that the last byte of a queued attempt has been sent."""
        self._metrics.dispatches += 1
        attempt.written_ns = self._clock.now()

    def attempt_stopped(self, attempt: Attempt, result: AttemptResult) -> None:
        """Report an attempt that its connection can't carry on, at the next tick."""
        attempt.stopped_by_broker = True
        self._outcomes.end_next_tick(attempt, result)

    def socket_blocked(self, connection: EngineConnection) -> None:
        """Flush a connection at the next tick: its socket accepts no more bytes for now."""
        self.blocked_connections[connection] = None
        self._timer_wheel.wake_next_tick()

    def flush_blocked(self) -> None:
        """Flush the connections whose sockets had accepted no more bytes."""
        blocked = self.blocked_connections
        self.blocked_connections = {}
        for connection in blocked:
            connection.flush()

    def answer_completed(self, attempt: Attempt, load_text: str) -> None:
        """Send the client, if it still waits, all pages of the result in one frame."""
        request = attempt.request
        if request.client is not None:
            body = b"".join(page for page in attempt.pages if page is not None)
            client = self._context.begin_answer(request, SUCCESS)
            client.served(request.stream, body)
            if self._controls.stages is not None:
                self._stage_timer.record(attempt, client)
        attempt.pages = []
        load = parse_load_report(load_text, self._context.log)
        self._outcomes.end(attempt, AttemptResult.SERVED, load)
        self._cancellations.end_scope(request)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, load_text: str) -> None:
        """End an attempt that the endpoint has ended without a result."""
        self._outcomes.end(attempt, result, parse_load_report(load_text, self._context.log))

    def late_answer_received(self, attempt: Attempt, load_text: str) -> None:
        """Drop an answer that arrived too late, but pass its load report to the decisions."""
        self._controls.statistics.late_answers += 1
        load = parse_load_report(load_text, self._context.log)
        if load is not None:
            self._context.report_event(
                HealthCheckResult(attempt.endpoint, AttemptResult.SERVED, 0, load)
            )

    def progress_reported(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """Report the progress of an attempt, at most one note of each kind per interval."""
        now_ns = self._clock.now()
        if (
            now_ns - attempt.progress_ns.get(kind, -MIN_PROGRESS_INTERVAL_NS)
            >= MIN_PROGRESS_INTERVAL_NS
        ):
            attempt.progress_ns[kind] = now_ns
            self._context.report_event(
                AttemptProgress(attempt.request.id, attempt.number, attempt.endpoint, kind, amount)
            )

    def health_check_ended(self, tag: bytes, result: AttemptResult, load_text: str) -> None:
        """Report the outcome of a health check."""
        self._health_checks.end(tag, result, load_text)

    def cancellations_ended(self, outcome: CancelOutcome, count: int) -> None:
        """Count the outcomes of cancelled attempts."""
        if outcome is CancelOutcome.ANSWERED:
            self._controls.statistics.cancels_answered += count
        else:
            self._controls.statistics.cancels_confirmed += count

    def carried_by_other_connection(self, connection: EngineConnection, request_id: bytes) -> bool:
        """Return whether another connection to the endpoint has recently carried this request."""
        pool = self._context.pools.get(connection.endpoint)
        if pool is None:
            return False
        return any(
            request_id in other.remembered_request_ids
            for other in pool.connections
            if other is not connection
        )

    def connection_lost(
        self, connection: EngineConnection, reason: str, ended_by_broker: bool
    ) -> None:
        """End the attempts in flight on a lost connection; they may have run.

        Args:
            connection: The connection.
            reason: Why the connection ended, for the log.
            ended_by_broker: Whether this broker ended the connection. That says nothing about the
                endpoint's health, so attempts in flight are reported as cancelled, not as reset.
        """
        self._context.pools.connection_lost(connection)
        attempts = list(connection.in_flight.values())
        connection.in_flight = {}
        if attempts:
            self._context.log(
                "engine", f"connection with {len(attempts)} open attempts ended: {reason}"
            )
        for attempt in attempts:
            self._end_lost_attempt(attempt, ended_by_broker)
        for tag in connection.health_checks:
            self._health_checks.end(tag, AttemptResult.RESET, "")

    def _end_lost_attempt(self, attempt: Attempt, ended_by_broker: bool) -> None:
        """End an attempt whose connection has ended; it never ran if no byte was sent."""
        if not attempt.write_started:
            self._outcomes.end(attempt, AttemptResult.NOT_SENT)
        elif ended_by_broker and not attempt.reported:
            # The next attempt must not reach the endpoint before the end of this connection does.
            attempt.stopped_by_broker = True
            self._outcomes.delay_report(attempt)
            self._outcomes.end_next_tick(attempt, AttemptResult.CANCELLED)
        else:
            self._outcomes.end(attempt, AttemptResult.RESET)
