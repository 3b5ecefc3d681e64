"""One broker's decisions: takes events and returns orders. Performs no I/O and reads no clock.

The parts, each in its module, get their collaborators from the constructor here:

- `Admission` (a request from arrival to answer), `AttemptOutcomes` (an attempt's end);
- `RetryPolicy` (first attempts, retries, hedges), `AttemptDispatcher` (orders and accounts);
- `EndpointSelector` (the choice of an endpoint) over `Eligibility` (the rules), `CapacityCheck`
  (the bounds) and `LoadBalancer` (the draw);
- `EndpointPool` (the endpoints), `OutlierDetector` (their health), `SlowStart` (their warm-up).

All of them share one `ActiveSettings`, one `OrderBuffer` and one source of random numbers.
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
    CoProcessLoad,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    OutstandingWork,
    PeerMessage,
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
from .period_clock import PERIOD_NS, PeriodClock
from .retries import RetryPolicy
from .settings import Settings
from .slow_start import SlowStart
from .tenants import TenantQuotas
from .tracked_endpoint import TrackedEndpoint


class UnknownEventError(QueryBrokerError, TypeError):
    """An event of a type that the controller does not take."""

    def __init__(self, event: object) -> None:
        """Name the type of the event."""
        super().__init__(f"event: {type(event).__name__} is none of the interface's events")


class AdmissionController:
    """The decisions of one broker.

    Args:
        settings: The settings to begin with.
        seed: Seed of the draws; the same events then give the same orders.
        now_ns: The time, in nanoseconds of any clock that the caller keeps to.
    """

    def __init__(self, settings: Settings, seed: int, now_ns: int) -> None:
        """Wire the parts, each with what it needs, and put the settings into force."""
        active = ActiveSettings(settings)
        orders = OrderBuffer()
        clock = PeriodClock(now_ns)
        draws = random.Random(seed)
        # The state of the endpoints.
        pool = EndpointPool(active, now_ns)
        slow_start = SlowStart(active, pool)
        outliers = OutlierDetector(active, pool, clock, orders, draws)
        affinity = DataSetAffinity(active, pool.endpoints)
        # The selection of an endpoint.
        queues = KeyQueues(active)
        budget = RetryBudget(active)
        rules = Eligibility(active, pool, slow_start, outliers, queues, budget)
        capacity = CapacityCheck(pool, slow_start)
        balancer = LoadBalancer(active, pool, slow_start, outliers, affinity, draws)
        selector = EndpointSelector(pool, balancer, rules, capacity)
        # The life of a request.
        dispatcher = AttemptDispatcher(active, pool, rules, capacity, affinity, orders)
        retries = RetryPolicy(active, pool, slow_start, outliers, selector, dispatcher, orders)
        classes = RequestClasses()
        quotas = TenantQuotas()
        rejections = RejectionRate(active)
        admission = Admission(active, classes, quotas, queues, budget, retries, rejections, orders)
        feedback = DelayFeedback(pool, slow_start, clock)
        outcomes = AttemptOutcomes(pool, outliers, feedback, dispatcher, queues, retries, admission)
        self.active = active
        self.orders = orders
        self.clock = clock
        self.pool = pool
        self.outliers = outliers
        self.affinity = affinity
        self.selector = selector
        self.admission = admission
        self.outcomes = outcomes
        self._apply_settings(now_ns)
        self._handlers = self._handler_table()

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.active.settings

    @property
    def endpoints(self) -> dict[int, TrackedEndpoint]:
        """The known endpoints, by number."""
        return self.pool.endpoints

    @property
    def requests(self) -> dict[str, Request]:
        """The requests without a final answer, or with an attempt in flight, by id."""
        return self.admission.requests

    def handle(self, now_ns: int, event: Event) -> list[Order]:
        """Take an event and return the orders that follow from it, in their sequence.

        Args:
            now_ns: The time in nanoseconds; not before that of the last event.
            event: What has happened.

        Raises:
            UnknownEventError: The event is of no known type.
            UnknownRequestClassError: A request names a class that the settings don't have.
        """
        handler = self._handlers.get(type(event))
        if handler is None:
            raise UnknownEventError(event)
        orders = self.orders.begin()
        if self.orders.next_token == 0:
            self.orders.set_timer(now_ns + PERIOD_NS, self._end_period)
        self.clock.observe(now_ns)
        handler(now_ns, event)
        return orders

    def outstanding(self, now_ns: int) -> dict[int, OutstandingWork]:
        """Return this process's outstanding work by endpoint, for the broker's other processes."""
        return self.pool.outstanding(now_ns)

    def avoided(self) -> int:
        """Count the listed endpoints that are administratively disabled or ejected."""
        return self.pool.avoided()

    def _handler_table(self) -> dict[type, Callable[[int, Any], None]]:
        return {
            RequestArrived: self.admission.arrive,
            RequestAbandoned: self.admission.abandon,
            CloseRequests: self.admission.close,
            AttemptEnded: self.outcomes.take,
            AttemptProgress: self.outliers.take_progress,
            HealthCheckResult: self.outliers.take_health_check,
            EndpointListUpdate: self._update_endpoints,
            AdministrativeChange: self.pool.set_administrative_state,
            CoProcessLoad: self._take_co_process_load,
            SettingsChanged: self._change_settings,
            TimerFired: self._fire_timer,
            PeerMessage: _ignore,
        }

    def _end_period(self, now_ns: int) -> None:
        """Timer: end a period of the control loops and begin the next."""
        self.orders.set_timer(now_ns + PERIOD_NS, self._end_period)
        self.clock.start_period(now_ns)
        self.admission.end_period()
        self.pool.refresh(now_ns)  # endpoints may have warmed up by now
        self.outliers.end_period(now_ns)
        for endpoint in self.pool.endpoints.values():
            endpoint.end_period()
        self.pool.limit.end_period()

    def _change_settings(self, now_ns: int, event: SettingsChanged) -> None:
        self.active.replace(event.settings)
        self._apply_settings(now_ns)

    def _apply_settings(self, now_ns: int) -> None:
        self.admission.apply_settings(now_ns)
        self.pool.apply_settings(now_ns)

    def _update_endpoints(self, now_ns: int, event: EndpointListUpdate) -> None:
        self.affinity.forget_ranks()
        self.pool.update(now_ns, event)

    def _take_co_process_load(self, now_ns: int, event: CoProcessLoad) -> None:
        self.admission.set_accepting_processes(event.accepting_processes)
        self.pool.set_co_process_load(event)

    def _fire_timer(self, now_ns: int, event: TimerFired) -> None:
        self.orders.fire(now_ns, event.token)


def _ignore(now_ns: int, event: PeerMessage) -> None:
    """Brokers decide without each other; nothing of a peer's message is used."""
