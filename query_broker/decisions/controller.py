"""The controller of one broker: it handles events and returns orders.

It performs no I/O and reads no clock. Its constructor creates the parts and passes each one its
collaborators:

- `Admission`: requests from arrival to final answer; `AttemptOutcomes`: the end of attempts;
- `RetryPolicy`: first attempts, retries and hedges; `AttemptDispatcher`: dispatch orders and the
  accounting of outstanding work;
- `EndpointSelector`: the choice of an endpoint, by `Eligibility` (the rules of the contract),
  `CapacityCheck` (the bounds) and `LoadBalancer` (a weighted random choice);
- `EndpointPool`: the endpoints; `OutlierDetector`: their health; `SlowStart`: their warm-up.

All parts share one `ActiveSettings`, one `OrderBuffer` and one source of random numbers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..errors import QueryBrokerError
from .active_settings import ActiveSettings
from .admission import Admission
from .capacity_check import CapacityCheck
from .data_set_affinity import DataSetAffinity
from .delay_feedback import DelayFeedback
from .dispatching import AttemptDispatcher
from .eligibility import Eligibility, RetryBudget
from .endpoint_pool import EndpointPool
from .endpoint_selection import EndpointSelector
from .events import (
    AdministrativeChange,
    AttemptEnded,
    AttemptProgress,
    CloseRequests,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    OutstandingWork,
    PeerMessage,
    PeerProcessLoad,
    RequestAbandoned,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from .key_ordering import KeyQueues
from .load_balancing import LoadBalancer
from .load_shedding import RejectionRate
from .open_requests import Request, RequestClasses
from .order_buffer import OrderBuffer
from .orders import Order
from .outcomes import AttemptOutcomes
from .outlier_detection import OutlierDetector
from .period_clock import CONTROL_PERIOD_NS, PeriodClock
from .retries import RetryPolicy
from .settings import Settings
from .slow_start import SlowStart
from .tenants import TenantQuotas
from .tracked_endpoint import TrackedEndpoint


class UnknownEventError(QueryBrokerError, TypeError):
    """The controller does not handle events of this type."""

    def __init__(self, event: object) -> None:
        """Build a message with the type of the event."""
        super().__init__(f"event: {type(event).__name__} is not an event type of the controller")


class AdmissionController:
    """The decisions of one broker.

    Args:
        settings: The initial settings.
        seed: Seed of the random numbers; equal seeds and events give equal orders.
        now_ns: The time in nanoseconds, on the clock that the caller uses for all events.
    """

    def __init__(self, settings: Settings, seed: int, now_ns: int) -> None:
        """Create the parts, connect them, and apply the settings."""
        active_settings = ActiveSettings(settings)
        orders = OrderBuffer()
        clock = PeriodClock(now_ns)
        random_source = random.Random(seed)
        # The state of the endpoints.
        pool = EndpointPool(active_settings, now_ns)
        slow_start = SlowStart(active_settings, pool)
        outliers = OutlierDetector(active_settings, pool, clock, orders, random_source)
        affinity = DataSetAffinity(active_settings, pool.endpoints)
        # The selection of an endpoint.
        queues = KeyQueues(active_settings)
        budget = RetryBudget(active_settings)
        rules = Eligibility(active_settings, pool, slow_start, outliers, queues, budget)
        capacity = CapacityCheck(pool, slow_start)
        balancer = LoadBalancer(
            active_settings, pool, slow_start, outliers, affinity, random_source
        )
        selector = EndpointSelector(pool, balancer, rules, capacity)
        # The life of a request.
        dispatcher = AttemptDispatcher(active_settings, pool, rules, capacity, affinity, orders)
        retries = RetryPolicy(
            active_settings, pool, slow_start, outliers, selector, dispatcher, orders
        )
        classes = RequestClasses()
        quotas = TenantQuotas()
        rejection_rate = RejectionRate(active_settings)
        admission = Admission(
            active_settings, classes, quotas, queues, budget, retries, rejection_rate, orders
        )
        feedback = DelayFeedback(pool, slow_start, clock)
        outcomes = AttemptOutcomes(pool, outliers, feedback, dispatcher, queues, retries, admission)
        self.active_settings = active_settings
        self.orders = orders
        self.clock = clock
        self.pool = pool
        self.outlier_detector = outliers
        self.affinity = affinity
        self.selector = selector
        self.admission = admission
        self.outcomes = outcomes
        self._apply_settings(now_ns)
        self._handlers = self._event_handlers()

    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self.active_settings.settings

    @property
    def endpoints(self) -> dict[int, TrackedEndpoint]:
        """The tracked endpoints, by number."""
        return self.pool.endpoints

    @property
    def requests(self) -> dict[str, Request]:
        """The requests without a final answer, or with an attempt in flight, by id."""
        return self.admission.requests

    def handle(self, now_ns: int, event: Event) -> list[Order]:
        """Handle an event and return the resulting orders, in the sequence of their execution.

        Args:
            now_ns: The time in nanoseconds; not earlier than the time of the previous event.
            event: The event.

        Raises:
            UnknownEventError: The type of the event is unknown.
            UnknownRequestClassError: The settings have no class of the name in the request.
        """
        handler = self._handlers.get(type(event))
        if handler is None:
            raise UnknownEventError(event)
        orders = self.orders.begin_event()
        if self.orders.next_token == 0:
            self.orders.set_timer(now_ns + CONTROL_PERIOD_NS, self._end_period)
        self.clock.detect_stall(now_ns)
        handler(now_ns, event)
        return orders

    def outstanding(self, now_ns: int) -> dict[int, OutstandingWork]:
        """Return this process's outstanding work by endpoint, for the broker's other processes."""
        return self.pool.outstanding(now_ns)

    def count_avoided_endpoints(self) -> int:
        """Count the listed endpoints that are administratively disabled or ejected."""
        return self.pool.count_avoided_endpoints()

    def _event_handlers(self) -> dict[type, Callable[[int, Any], None]]:
        return {
            RequestArrived: self.admission.handle_arrival,
            RequestAbandoned: self.admission.handle_abandonment,
            CloseRequests: self.admission.handle_close,
            AttemptEnded: self.outcomes.handle_attempt_ended,
            AttemptProgress: self.outlier_detector.handle_progress,
            HealthCheckResult: self.outlier_detector.handle_health_check,
            EndpointListUpdate: self._update_endpoints,
            AdministrativeChange: self.pool.set_administrative_state,
            PeerProcessLoad: self._handle_peer_process_load,
            SettingsChanged: self._change_settings,
            TimerFired: self._fire_timer,
            PeerMessage: _ignore_peer_message,
        }

    def _end_period(self, now_ns: int) -> None:
        """Timer: end a control period and start the next one."""
        self.orders.set_timer(now_ns + CONTROL_PERIOD_NS, self._end_period)
        self.clock.start_period(now_ns)
        self.admission.end_period()
        self.pool.refresh(now_ns)  # some endpoints may have finished their warm-up
        self.outlier_detector.end_period(now_ns)
        for endpoint in self.pool.endpoints.values():
            endpoint.end_period()
        self.pool.limit.end_period()

    def _change_settings(self, now_ns: int, event: SettingsChanged) -> None:
        self.active_settings.replace(event.settings)
        self._apply_settings(now_ns)

    def _apply_settings(self, now_ns: int) -> None:
        self.admission.apply_settings(now_ns)
        self.pool.apply_settings(now_ns)

    def _update_endpoints(self, now_ns: int, event: EndpointListUpdate) -> None:
        self.affinity.forget_ranks()
        self.pool.update(now_ns, event)

    def _handle_peer_process_load(self, now_ns: int, event: PeerProcessLoad) -> None:
        self.admission.set_accepting_processes(event.accepting_processes)
        self.pool.set_peer_process_load(event)

    def _fire_timer(self, now_ns: int, event: TimerFired) -> None:
        self.orders.fire_timer(now_ns, event.token)


def _ignore_peer_message(now_ns: int, event: PeerMessage) -> None:
    """Ignore a message of a peer: each broker decides on its own state alone."""
