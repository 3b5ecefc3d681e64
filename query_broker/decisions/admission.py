"""Requests from their arrival to their final answer. Performs no I/O."""

from __future__ import annotations

from ..errors import QueryBrokerError
from .active_settings import ActiveSettings
from .eligibility import RetryBudget
from .events import CloseRequests, RequestAbandoned, RequestArrived
from .key_ordering import KeyQueues
from .load_shedding import RejectionRate
from .open_requests import NO_DATA_SET, ClassStatistics, Request, RequestClasses
from .order_buffer import OrderBuffer
from .orders import CancelAttempt, Fail, Reject
from .retries import RetryPolicy
from .settings import Effect, IdempotencyScope
from .tenants import TenantQuotas

# A client's timeout must exceed this: one tick to dispatch the request, one to answer it.
MIN_TIMEOUT_TICKS = 2
# Weight of one request in the exponentially weighted admission rate of its class.
ADMISSION_LEARNING_RATE = 0.2


class UnknownRequestClassError(QueryBrokerError, ValueError):
    """The settings have no class of the name in a request."""

    def __init__(self, class_name: str) -> None:
        """Build a message with the class name."""
        super().__init__(f"class_name: {class_name!r} is not in the settings")


class Admission:
    """Admits requests, keeps the order of requests with one key, and orders their final answers.

    Attributes:
        requests: Open requests, by id. A request stays until the outcome of its last attempt.
        keys_in_service: Keys that `_serve_key` is serving; a nested call for one returns at once.
    """

    __slots__ = (
        "active_settings",
        "classes",
        "key_queues",
        "keys_in_service",
        "orders",
        "quotas",
        "rejection_rate",
        "requests",
        "retries",
        "retry_budget",
    )

    def __init__(
        self,
        active_settings: ActiveSettings,
        classes: RequestClasses,
        quotas: TenantQuotas,
        key_queues: KeyQueues,
        retry_budget: RetryBudget,
        retries: RetryPolicy,
        rejection_rate: RejectionRate,
        orders: OrderBuffer,
    ) -> None:
        """Store the collaborators; no request is open."""
        self.active_settings = active_settings
        self.classes = classes
        self.quotas = quotas
        self.key_queues = key_queues
        self.retry_budget = retry_budget
        self.retries = retries
        self.rejection_rate = rejection_rate
        self.orders = orders
        self.requests: dict[str, Request] = {}
        self.keys_in_service: set[str] = set()

    def apply_settings(self, now_ns: int) -> None:
        """Apply the classes, the tenants and the retry budget of the current settings."""
        settings = self.active_settings.settings
        self.classes.apply(settings.classes)
        self.quotas.apply(now_ns, settings)
        self.retry_budget.apply_settings()

    def set_accepting_processes(self, accepting_processes: int) -> None:
        """Divide the tenants' quotas among the processes of this broker that accept requests."""
        self.quotas.accepting_processes = accepting_processes

    def end_period(self) -> None:
        """Start the next period of the rejection rate."""
        self.rejection_rate.end_period()

    def handle_arrival(self, now_ns: int, event: RequestArrived) -> None:
        """Dispatch, queue or reject a request that has arrived.

        Raises:
            UnknownRequestClassError: The settings have no class of the name in the request.
        """
        statistics = self.classes.by_name.get(event.class_name)
        if statistics is None:
            raise UnknownRequestClassError(event.class_name)
        self.rejection_rate.arrival_count += 1
        self.retry_budget.arrivals.add(now_ns)
        request = self._open(now_ns, statistics, event)
        self.requests[request.id] = request
        key = request.key
        if key is not None:
            self.key_queues.append(key, request)
        tick_ns = self.active_settings.settings.tick_ns
        if event.timeout_ns <= MIN_TIMEOUT_TICKS * tick_ns:
            self.reject_or_fail(now_ns, request)
        elif key is None:
            self._admit(now_ns, request)
        elif self.key_queues.waits_too_long(now_ns, key, request):
            self.reject_or_fail(now_ns, request)
        else:
            self._serve_key(now_ns, key)
        if not request.finished:  # the final answer must come a tick before the client gives up
            self.orders.set_timer(request.deadline_ns - tick_ns, self.reject_or_fail, request)

    def reject_or_fail(self, now_ns: int, request: Request) -> None:
        """Order the final answer of a request without a served attempt, unless it has an answer.

        The request is rejected if its client may send it again without a double effect; otherwise
        it fails.
        """
        if request.finished:
            return
        if _is_harmless_to_repeat(request):
            self.orders.add(Reject(request.id, self.rejection_rate.count_rejection()))
        else:
            self.orders.add(Fail(request.id))
        self.end_request(now_ns, request)

    def end_request(self, now_ns: int, request: Request) -> None:
        """End a request that has been answered or abandoned.

        Its attempts in flight are cancelled if the limits allow cancellation.
        """
        if request.finished:
            return
        request.finished = True
        if self.active_settings.limits.cancellation:
            for number in request.in_flight:
                self.orders.add(CancelAttempt(request.id, number))
        self.remove_if_settled(now_ns, request)

    def remove_if_settled(self, now_ns: int, request: Request) -> None:
        """Remove a request that has ended and has no attempt in flight, and serve its key."""
        if not request.finished or request.in_flight:
            return
        if self.requests.pop(request.id, None) is None:
            return
        if request.key is not None:
            self.key_queues.remove(request.key, request)
            self._serve_key(now_ns, request.key)

    def handle_abandonment(self, now_ns: int, event: RequestAbandoned) -> None:
        """End a request that its client has abandoned; ignore an unknown request."""
        request = self.requests.get(event.request_id)
        if request is not None:
            self.end_request(now_ns, request)

    def handle_close(self, now_ns: int, event: CloseRequests) -> None:
        """Order the final answers of the given open requests, or of all, now."""
        request_ids = event.request_ids
        for request in list(self.requests.values()):
            if request_ids is None or request.id in request_ids:
                self.reject_or_fail(now_ns, request)

    def _open(self, now_ns: int, statistics: ClassStatistics, event: RequestArrived) -> Request:
        return Request(
            id=event.request_id,
            statistics=statistics,
            deadline_ns=now_ns + event.timeout_ns,
            work_ns=statistics.expected_work(event.estimate_ns),
            estimate_ns=event.estimate_ns,
            data_set=NO_DATA_SET if event.data_set is None else event.data_set,
            key=event.key if statistics.spec.ordered_by_key else None,
            over_quota=self.quotas.is_exceeded(now_ns, event.tenant, event.is_retry),
            memory_mb=max(0.0, event.memory_mb or 0.0),
        )

    def _admit(self, now_ns: int, request: Request) -> None:
        """Dispatch a request, or reject it at once."""
        admitted = self.retries.start_first_attempt(now_ns, request)
        if not request.over_quota:
            statistics = request.statistics
            statistics.admission_rate += ADMISSION_LEARNING_RATE * (
                admitted - statistics.admission_rate
            )
        if not admitted:
            self.reject_or_fail(now_ns, request)

    def _serve_key(self, now_ns: int, key: str) -> None:
        """Dispatch the oldest request of a key if no other request of the key is in flight.

        The rejection of a request calls this method again for the next one of the key. The nested
        call returns at once and the loop here continues: recursion would be as deep as the queue.
        """
        if key in self.keys_in_service:
            return
        self.keys_in_service.add(key)
        cooldown_ends_ns = self.key_queues.cooldown_end(key)
        while (request := self.key_queues.next_waiting(key)) is not None:
            if now_ns < cooldown_ends_ns:
                self.orders.set_timer(cooldown_ends_ns, self._serve_key, key)
                break
            self._admit(now_ns, request)
        self.keys_in_service.discard(key)
        self.key_queues.discard_if_idle(now_ns, key)


def _is_harmless_to_repeat(request: Request) -> bool:
    """Whether a client may send a request again without a double effect."""
    spec = request.spec
    if not request.maybe_executed or spec.effect is Effect.IDEMPOTENT:
        return True
    keys_are_shared_by_all = spec.idempotency_scope is IdempotencyScope.ALL
    return spec.effect is Effect.IDEMPOTENCY_KEY and keys_are_shared_by_all
