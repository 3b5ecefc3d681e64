"""What connections to endpoints report, handed to the part that it concerns."""

from __future__ import annotations

from ..deadlines.cancel_scopes import CancelOutcome
from ..deadlines.handover_checks import HandOver, StopReason
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

# Between two progress notes of one kind that are taken of an attempt. Engines send one a second; a
# flood of them would be a flood of events.
PROGRESS_GAP_NS = 100 * NS_PER_MS


class ConnectionEvents:
    """The owner of all connections to endpoints: implements `engine_connection.Owner`.

    Attributes:
        blocked: Connections whose sockets took no more, to be flushed with the next tick.
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
        """Take the parts that the events are for."""
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
        self.blocked: dict[EngineConnection, None] = {}

    def now(self) -> int:
        """The time, in Unix nanoseconds."""
        return self._clock.now()

    # --- writing ---

    def may_go(self, attempt: Attempt) -> bool:
        """Whether the first byte of the attempt may leave."""
        return self._gate.may_go(attempt, HandOver.SOCKET)

    def attempt_written_at_once(self) -> None:
        """An attempt has left completely as it was handed to its connection."""
        self._metrics.dispatches += 1

    def attempt_written(self, attempt: Attempt) -> None:
        """The last byte of an attempt has left."""
        self._metrics.dispatches += 1
        attempt.written_ns = self._clock.now()
        if not attempt.wanted():  # it was half written when its request ended: the rest followed
            reason = StopReason.DEADLINE_PASSED
            if attempt.request.abandoned:
                reason = StopReason.CLIENT_LEFT
            self._controls.statistics.partial_write_counts[reason] += 1

    def socket_blocked(self, connection: EngineConnection) -> None:
        """The socket takes no more: it is flushed with the next tick."""
        self.blocked[connection] = None
        self._timer_wheel.wake_next_tick()

    def flush_blocked(self) -> None:
        """Write on where sockets took no more."""
        blocked = self.blocked
        self.blocked = {}
        for connection in blocked:
            connection.flush()

    # --- answers ---

    def answer_completed(self, attempt: Attempt, load_text: str) -> None:
        """Every page is here: the answer leaves as one frame, if somebody still waits for it."""
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
        """The endpoint has ended the attempt otherwise."""
        self._outcomes.end(attempt, result, parse_load_report(load_text, self._context.log))

    def late_answer_received(self, attempt: Attempt, load_text: str) -> None:
        """An answer that nobody waits for is dropped; its load report is as good as any."""
        self._controls.statistics.late_answers += 1
        load = parse_load_report(load_text, self._context.log)
        if load is not None:
            self._context.report_event(
                HealthCheckResult(attempt.endpoint, AttemptResult.SERVED, 0, load)
            )

    def progress_noted(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """The attempt is still running; of each kind, one note is taken at a time."""
        now_ns = self._clock.now()
        if now_ns - attempt.progress_ns.get(kind, -PROGRESS_GAP_NS) >= PROGRESS_GAP_NS:
            attempt.progress_ns[kind] = now_ns
            self._context.report_event(
                AttemptProgress(attempt.request.id, attempt.number, attempt.endpoint, kind, amount)
            )

    def health_check_ended(self, tag: bytes, result: AttemptResult, load_text: str) -> None:
        """A health check has its outcome."""
        self._health_checks.end(tag, result, load_text)

    def cancellations_ended(self, outcome: CancelOutcome, count: int) -> None:
        """So many cancelled attempts have come to this outcome."""
        if outcome is CancelOutcome.ANSWERED:
            self._controls.statistics.cancels_answered += count
        else:
            self._controls.statistics.cancels_confirmed += count

    def carried_elsewhere(self, connection: EngineConnection, request_id: bytes) -> bool:
        """Whether another connection to the endpoint has carried this client's id of late."""
        pool = self._context.pools.get(connection.endpoint)
        if pool is None:
            return False
        return any(
            request_id in other.carried for other in pool.connections if other is not connection
        )

    # --- the end of a connection ---

    def connection_lost(self, connection: EngineConnection, why: str, spoilt: bool) -> None:
        """The connection has ended; what was in flight on it may have run.

        Args:
            connection: The connection.
            why: The reason, for the log.
            spoilt: A malformed answer made us end it. That says nothing of the endpoint's health:
                what was in flight is reported as cancelled, not as reset.
        """
        self._context.pools.connection_lost(connection)
        attempts = list(connection.in_flight.values())
        connection.in_flight = {}
        if attempts:
            self._context.log(
                "engine", f"connection with {len(attempts)} open attempts ended: {why}"
            )
        for attempt in attempts:
            self._end_lost(attempt, spoilt)
        for tag in connection.health_checks:
            self._health_checks.end(tag, AttemptResult.RESET, "")

    def _end_lost(self, attempt: Attempt, spoilt: bool) -> None:
        """End an attempt whose connection has ended; what had not left never ran."""
        if not attempt.write_started:
            self._outcomes.end(attempt, AttemptResult.NOT_SENT)
        elif spoilt and not attempt.reported:
            # The end is ours and has not reached the endpoint yet: what follows may not be there
            # first.
            attempt.concluded = True
            self._outcomes.delay_report(attempt)
            self._outcomes.end_next_tick(attempt, AttemptResult.CANCELLED)
        else:
            self._outcomes.end(attempt, AttemptResult.RESET)
