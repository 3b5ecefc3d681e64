"""The interface of the decisions for the network code.

`Facade.pick`, `Facade.report` and `Facade.tick` take an event and return orders. The network code
imports the types of events, orders and settings from here too, and uses no other module of this
package.
Performs no I/O and decides nothing: it groups the controller's orders by type and sets its timers
on the caller's timer wheel.
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
    CoProcessLoad,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    Event,
    HealthCheckResult,
    ListUpdateKind,
    LoadReport,
    OutstandingWork,
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
    "CoProcessLoad",
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
    """The orders that follow from one event, by type; each list is in the order of the decisions.

    Attributes:
        options: Options of dispatches; to be carried out before the dispatches.
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
    """A controller whose timers are on the timer wheel of the caller.

    Attributes:
        controller: The controller.
        timer_wheel: The caller's timer wheel.
        due: Tokens of the controller's timers that have fired, to be handled by `tick`.
    """

    def __init__(self, settings: Settings, seed: int, now_ns: int, timer_wheel: TimerWheel) -> None:
        """Make the controller.

        Args:
            settings: The settings to begin with.
            seed: Seed of the controller's draws.
            now_ns: The time in nanoseconds.
            timer_wheel: The timer wheel that the controller's timers are set on.
        """
        self.controller = AdmissionController(settings, seed, now_ns)
        self.timer_wheel = timer_wheel
        self.due: deque[int] = deque()

    def pick(self, now_ns: int, arrival: RequestArrived) -> OrderBatch:
        """Decide on a request that has arrived: where it is dispatched, or that it is rejected."""
        return self._handle(now_ns, arrival)

    def report(self, now_ns: int, event: Event) -> OrderBatch:
        """Report any other event."""
        return self._handle(now_ns, event)

    def tick(self, now_ns: int) -> OrderBatch:
        """Handle the first of the timers that have fired.

        Each is removed first and handled alone: a fault in one must not affect the others, among
        them those that guarantee a final answer (rule 1).
        """
        return self._handle(now_ns, TimerFired(self.due.popleft()))

    def forget(self, request: str) -> None:
        """Called when the network has nothing open of a request any more; does nothing here."""

    def avoided_endpoints(self) -> int:
        """Count the listed endpoints that are administratively disabled or ejected."""
        return self.controller.avoided()

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

    def widest_request_threads(self) -> int:
        """Return the most threads that a request of any class takes."""
        return self.controller.active.widest_threads

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
