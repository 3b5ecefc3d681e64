"""The decisions in blocking style: `pick`, `report` and `tick` take an event and return orders.

The network code sees the decisions through this module alone; it takes the types of events, orders
and settings from here too. Performs no I/O and decides nothing: it groups the controller's orders
and keeps its timers on the wheel.
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
    """What the network is to do, each list in its order.

    Options come before the dispatches that they are for.
    """

    options: list[DispatchOptions] = field(default_factory=list)
    dispatches: list[Dispatch] = field(default_factory=list)
    answers: list[Reject | Fail] = field(default_factory=list)
    cancellations: list[CancelAttempt] = field(default_factory=list)
    health_checks: list[HealthCheck] = field(default_factory=list)


class Facade:
    """One controller, with its timers on the wheel of the caller."""

    def __init__(self, settings: Settings, seed: int, now: int, wheel: TimerWheel) -> None:
        self.controller = AdmissionController(settings, seed, now)
        self.wheel = wheel
        self.due: deque[int] = deque()  # timers of the controller that the wheel has found due

    def pick(self, now: int, arrival: RequestArrived) -> OrderBatch:
        """Decide on a request that has arrived: where it goes, or that it does not."""
        return self._handle(now, arrival)

    def report(self, now: int, event: Event) -> OrderBatch:
        """Report any other event."""
        return self._handle(now, event)

    def tick(self, now: int) -> OrderBatch:
        """Handle the first of the timers that are due.

        Each is taken out first and handled alone: a fault in one must not cost the others, among
        them those that guarantee a final answer.
        """
        return self._handle(now, TimerFired(self.due.popleft()))

    def forget(self, request: str) -> None:
        """Take note that the network holds nothing of this request any more."""

    def avoided(self) -> int:
        """How many listed engines the decisions leave out, by hand or by choice."""
        return self.controller.avoided()

    def outstanding(self, now: int) -> dict[int, OutstandingWork]:
        """What this process has out, for others of this broker."""
        return self.controller.outstanding(now)

    def shares(self) -> dict[int, tuple[float, float]]:
        """Of each engine: the threads, and the bound on work outstanding, that this process goes
        by.
        """
        endpoints = self.controller.engines
        return {number: (known.thread_quota, known.bound) for number, known in endpoints.items()}

    def widest(self) -> int:
        """Threads of the widest query."""
        return self.controller.active.widest_threads

    def _fired(self, token: int) -> Callable[[], None]:
        return lambda: self.due.append(token)

    def _handle(self, now: int, event: Event) -> OrderBatch:
        orders = OrderBatch()
        for action in self.controller.handle(now, event):
            match action:
                case SetTimer(at, token):
                    self.wheel.at(at, self._fired(token))
                case Dispatch():
                    orders.dispatches.append(action)
                case DispatchOptions():
                    orders.options.append(action)
                case Reject() | Fail():
                    orders.answers.append(action)
                case CancelAttempt():
                    orders.cancellations.append(action)
                case HealthCheck():
                    orders.health_checks.append(action)
        return orders
