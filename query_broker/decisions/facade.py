"""The interface of the decisions for the network code.

`Facade.pick` and `Facade.report` handle an event and `Facade.tick` handles a due timer; each
returns orders. The network code also imports the types of events, orders and settings from here,
and uses no other module of this package.
The facade performs no I/O and makes no decisions: it groups the controller's orders by type and
sets the controller's timers on the caller's timer wheel.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..timer_wheel import TimerWheel
from .controller import AdmissionController
from .events import (
    AdministrativeChange,
    AttemptEnded,
    AttemptProgress,
    AttemptResult,
    CloseRequests,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    Event,
    HealthCheckResult,
    ListUpdateKind,
    LoadReport,
    OutstandingWork,
    PeerProcessLoad,
    ProgressKind,
    RequestAbandoned,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from .orders import CancelAttempt, Dispatch, DispatchOptions, Fail, HealthCheck, Reject, SetTimer
from .settings import Effect, Settings

__all__ = [
    "RequestArrived",
    "AttemptProgress",
    "AttemptEnded",
    "AdministrativeChange",
    "PeerProcessLoad",
    "CancelAttempt",
    "CloseRequests",
    "RequestAbandoned",
    "Effect",
    "EndpointEntry",
    "EndpointState",
    "Event",
    "Facade",
    "Fail",
    "ListUpdateKind",
    "EndpointListUpdate",
    "LoadReport",
    "ProgressKind",
    "OrderBatch",
    "OutstandingWork",
    "HealthCheck",
    "HealthCheckResult",
    "Reject",
    "AttemptResult",
    "SettingsChanged",
    "Dispatch",
    "SetTimer",
    "Settings",
    "DispatchOptions",
    "TimerFired",
]


@dataclass(slots=True)
class OrderBatch:
    """The orders that result from one event, by type; each list is in the sequence of decision.

    Attributes:
        options: Options of dispatches; they must be carried out before the dispatches.
        dispatches: Attempts to start.
        answers: Final answers.
        cancellations: Attempts to cancel.
        health_checks: Endpoints to check.
    """

    options: list[DispatchOptions] = field(default_factory=list)
    dispatches: list[Dispatch] = field(default_factory=list)
    answers: list[Reject | Fail] = field(default_factory=list)
    cancellations: list[CancelAttempt] = field(default_factory=list)
    health_checks: list[HealthCheck] = field(default_factory=list)


class Facade:
    """A controller whose timers run on the timer wheel of the caller.

    Attributes:
        controller: The controller.
        timer_wheel: The caller's timer wheel.
        due: Tokens of the controller's timers that are due; `tick` handles them.
    """

    def __init__(self, settings: Settings, seed: int, now_ns: int, timer_wheel: TimerWheel) -> None:
        """Create the controller.

        Args:
            settings: The initial settings.
            seed: Seed of the controller's random numbers.
            now_ns: The time in nanoseconds.
            timer_wheel: The timer wheel that the controller's timers are set on.
        """
        self.controller = AdmissionController(settings, seed, now_ns)
        self.timer_wheel = timer_wheel
        self.due: deque[int] = deque()

    def pick(self, now_ns: int, arrival: RequestArrived) -> OrderBatch:
        """Dispatch, queue or reject a request that has arrived."""
        return self._handle(now_ns, arrival)

    def report(self, now_ns: int, event: Event) -> OrderBatch:
        """Handle any event other than the arrival of a request or a due timer."""
        return self._handle(now_ns, event)

    def tick(self, now_ns: int) -> OrderBatch:
        """Handle the first due timer.

        Its token is removed first, and each call handles one timer: an error in one timer must not
        affect the others, some of which guarantee a final answer before the deadline.
        """
        return self._handle(now_ns, TimerFired(self.due.popleft()))

    def forget(self, request: str) -> None:
        """Do nothing: the controller itself forgets requests that have ended.

        The network code calls this once it has no state of a request left.
        """

    def avoided_endpoints(self) -> int:
        """Count the listed endpoints that are administratively disabled or ejected."""
        return self.controller.count_avoided_endpoints()

    def outstanding(self, now_ns: int) -> dict[int, OutstandingWork]:
        """Return this process's outstanding work by endpoint, for the broker's other processes."""
        return self.controller.outstanding(now_ns)

    def quotas_and_bounds(self) -> dict[int, tuple[float, float]]:
        """Return the thread quota of each endpoint and the bound on its outstanding work.

        The bound is in thread-nanoseconds.
        """
        endpoints = self.controller.endpoints
        return {
            number: (endpoint.thread_quota, endpoint.bound_ns)
            for number, endpoint in endpoints.items()
        }

    def max_request_threads(self) -> int:
        """Return the thread count of the request class with the most threads."""
        return self.controller.active_settings.max_request_threads

    def _timer_callback(self, token: int) -> Callable[[], None]:
        return lambda: self.due.append(token)

    def _handle(self, now_ns: int, event: Event) -> OrderBatch:
        batch = OrderBatch()
        for order in self.controller.handle(now_ns, event):
            match order:
                case SetTimer(due_ns, token):
                    self.timer_wheel.set_timer(due_ns, self._timer_callback(token))
                case Dispatch():
                    batch.dispatches.append(order)
                case DispatchOptions():
                    batch.options.append(order)
                case Reject() | Fail():
                    batch.answers.append(order)
                case CancelAttempt():
                    batch.cancellations.append(order)
                case HealthCheck():
                    batch.health_checks.append(order)
        return batch
