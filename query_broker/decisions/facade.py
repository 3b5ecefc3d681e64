"""The decisions in blocking style: `pick`, `report` and `tick` take an event and return orders.

The network code sees the decisions through this module alone; it takes the types of events, orders
and settings from here too. Performs no I/O and decides nothing: it groups the controller's orders
and keeps its timers on the caller's timer wheel.
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
    """What the network is to do, each list in its sequence.

    Attributes:
        options: Options of dispatches; carried out before these.
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
    """One controller, with its timers on the timer wheel of the caller.

    Attributes:
        controller: The controller.
        timer_wheel: The caller's timer wheel.
        due: Tokens of the controller's timers that the wheel has found due, to be handled by
            `tick`.
    """

    def __init__(self, settings: Settings, seed: int, now: int, timer_wheel: TimerWheel) -> None:
        """Make the controller; the parameters are its own."""
        self.controller = AdmissionController(settings, seed, now)
        self.timer_wheel = timer_wheel
        self.due: deque[int] = deque()

    def pick(self, now: int, arrival: RequestArrived) -> OrderBatch:
        """Decide on a request that has arrived: where it is dispatched, or that it is rejected."""
        return self._handle(now, arrival)

    def report(self, now: int, event: Event) -> OrderBatch:
        """Report any other event."""
        return self._handle(now, event)

    def tick(self, now: int) -> OrderBatch:
        """Handle the first of the timers that are due.

        Each is taken out first and handled alone: a fault in one must not cost the others, among
        them those that guarantee a final answer (rule 1).
        """
        return self._handle(now, TimerFired(self.due.popleft()))

    def forget(self, request: str) -> None:
        """Note that the network has nothing of this request any more; does nothing."""

    def avoided_endpoints(self) -> int:
        """Count the listed endpoints that get nothing, by hand or by choice."""
        return self.controller.avoided()

    def outstanding(self, now: int) -> dict[int, OutstandingWork]:
        """Return what this process has outstanding, for others of this broker."""
        return self.controller.outstanding(now)

    def quotas_and_bounds(self) -> dict[int, tuple[float, float]]:
        """Return the thread quota of each endpoint and the bound on its outstanding work.

        The bound is in thread-nanoseconds.
        """
        endpoints = self.controller.endpoints
        return {number: (known.thread_quota, known.bound_ns) for number, known in endpoints.items()}

    def widest_request_threads(self) -> int:
        """Return the threads of the widest class."""
        return self.controller.active.widest_threads

    def _timer_callback(self, token: int) -> Callable[[], None]:
        return lambda: self.due.append(token)

    def _handle(self, now: int, event: Event) -> OrderBatch:
        batch = OrderBatch()
        for order in self.controller.handle(now, event):
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
