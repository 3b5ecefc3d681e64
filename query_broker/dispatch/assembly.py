"""Construction of the parts of one dispatcher."""

from __future__ import annotations

from collections.abc import Iterator

from ..endpoints.administrative_state import AdministrativeStates
from ..endpoints.endpoint_table import EndpointTable
from ..metrics import Metrics
from ..timer_wheel import Clock, TimerWheel
from .attempt_dispatch import AttemptDispatcher
from .attempt_outcomes import AttemptOutcomes
from .cancellation import HandOverGate, RequestCancellation
from .client_answers import ClientAnswers
from .connection_events import ConnectionEvents
from .context import DispatchContext
from .deadline_controls import DeadlineControls
from .health_checks import HealthChecks
from .observers import DispatchExtensions
from .request_table import RequestTable
from .stage_timing import StageTimer
from .undelivered_attempts import UndeliveredAttempts


class DispatchParts:
    """Creates the parts of a dispatcher and passes to each the other parts that it uses."""

    def __init__(
        self,
        context: DispatchContext,
        clock: Clock,
        timer_wheel: TimerWheel,
        table: RequestTable,
        endpoints: EndpointTable,
        administrative_states: AdministrativeStates,
        extensions: DispatchExtensions,
        controls: DeadlineControls,
        metrics: Metrics,
        id_sequence: Iterator[int],
    ) -> None:
        """Create the parts; ``id_sequence`` also numbers the requests."""
        self.stage_timer = StageTimer(clock, timer_wheel, controls)
        self.outcomes = AttemptOutcomes(context, clock, timer_wheel, extensions, controls)
        undelivered = UndeliveredAttempts(clock, timer_wheel)
        self.attempts = AttemptDispatcher(
            context, timer_wheel, table, controls, self.outcomes, undelivered
        )
        self.gate = HandOverGate(clock, endpoints, administrative_states, controls, self.outcomes)
        self.cancellations = RequestCancellation(
            context, table, extensions, controls, self.outcomes, undelivered
        )
        self.client_answers = ClientAnswers(context, table, extensions, self.cancellations)
        self.health_checks = HealthChecks(context, clock, timer_wheel, extensions, id_sequence)
        self.connection_events = ConnectionEvents(
            context=context,
            clock=clock,
            timer_wheel=timer_wheel,
            metrics=metrics,
            controls=controls,
            outcomes=self.outcomes,
            gate=self.gate,
            cancellations=self.cancellations,
            health_checks=self.health_checks,
            stage_timer=self.stage_timer,
        )
