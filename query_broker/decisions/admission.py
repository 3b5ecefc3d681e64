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

# Ticks that a client's timeout must exceed: one to dispatch the request, one to answer it.
MIN_TIMEOUT_TICKS = 2
# Weight of one request in the fading fraction of a class's admitted requests.
ADMISSION_LEARNING_RATE = 0.2


class UnknownRequestClassError(QueryBrokerError, ValueError):
    """A request names a class that the settings do not have."""

    def __init__(self, class_name: str) -> None:
        """Name the class."""
        super().__init__(f"class_name: {class_name!r} is not in the settings")


class Admission:
    """Admits requests, serves them in the order of their keys, and gives their final answers.

    Attributes:
        requests: Requests that are open, by id. One stays until its last outcome.
        keys_in_service: Keys that `_serve_key` is serving, so that it is not entered again.
    """

    __slots__ = (
        "active",
        "classes",
        "key_queues",
        "keys_in_service",
        "orders",
        "quotas",
        "rejections",
        "requests",
        "retries",
        "retry_budget",
    )

    def __init__(
        self,
        active: ActiveSettings,
        classes: RequestClasses,
        quotas: TenantQuotas,
        key_queues: KeyQueues,
        retry_budget: RetryBudget,
        retries: RetryPolicy,
        rejections: RejectionRate,
        orders: OrderBuffer,
    ) -> None:
        """Take the collaborators; no request is open."""
        self.active = active
        self.classes = classes
        self.quotas = quotas
        self.key_queues = key_queues
        self.retry_budget = retry_budget
        self.retries = retries
        self.rejections = rejections
        self.orders = orders
        self.requests: dict[str, Request] = {}
        self.keys_in_service: set[str] = set()

    def apply_settings(self, now_ns: int) -> None:
        """Apply the classes, the tenants and the retry budget of the settings in force."""
        settings = self.active.settings
        self.classes.apply(settings.classes)
        self.quotas.apply(now_ns, settings)
        self.retry_budget.apply_settings()

    def set_accepting_processes(self, accepting_processes: int) -> None:
        """Divide the tenants' quotas among the processes of this broker that accept requests."""
        self.quotas.accepting_processes = accepting_processes

    def end_period(self) -> None:
        """Begin the next period of the rejection rate."""
        self.rejections.end_period()

    def arrive(self, now_ns: int, event: RequestArrived) -> None:
        """Decide on a request that has arrived: dispatch, queue behind its key, or reject.

        Raises:
            UnknownRequestClassError: The settings have no class of that name.
        """
        statistics = self.classes.by_name.get(event.class_name)
        if statistics is None:
            raise UnknownRequestClassError(event.class_name)
        self.rejections.arrivals += 1
        self.retry_budget.arrivals.add(now_ns)
        request = self._open(now_ns, statistics, event)
        self.requests[request.id] = request
        key = request.key
        if key is not None:
            self.key_queues.append(key, request)
        tick_ns = self.active.settings.tick_ns
        if event.timeout_ns <= MIN_TIMEOUT_TICKS * tick_ns:
            self.finish(now_ns, request)
        elif key is None:
            self._admit(now_ns, request)
        elif self.key_queues.waits_too_long(now_ns, key, request):
            self.finish(now_ns, request)
        else:
            self._serve_key(now_ns, key)
        if not request.finished:  # rule 1: a final answer a tick before the client gives up
            self.orders.set_timer(request.deadline_ns - tick_ns, self.finish, request)

    def finish(self, now_ns: int, request: Request) -> None:
        """Give a request its final answer, unless it has one (rule 1).

        It is rejected where a client's retry is harmless, else it has failed (the end of rule 2).
        Attempts in flight are cancelled.
        """
        if request.finished:
            return
        if _is_harmless_to_repeat(request):
            self.orders.add(Reject(request.id, self.rejections.reject()))
        else:
            self.orders.add(Fail(request.id))
        self.end(now_ns, request)

    def end(self, now_ns: int, request: Request) -> None:
        """End a request that has been answered or abandoned, without ordering an answer."""
        if request.finished:
            return
        request.finished = True
        if self.active.limits.cancellation:
            for number in request.in_flight:
                self.orders.add(CancelAttempt(request.id, number))
        self.settle(now_ns, request)

    def settle(self, now_ns: int, request: Request) -> None:
        """Forget a request that has ended and has nothing in flight, and serve its key."""
        if not request.finished or request.in_flight:
            return
        if self.requests.pop(request.id, None) is None:
            return
        if request.key is not None:
            self.key_queues.remove(request.key, request)
            self._serve_key(now_ns, request.key)

    def abandon(self, now_ns: int, event: RequestAbandoned) -> None:
        """End a request that its client has abandoned; an unknown one is ignored."""
        request = self.requests.get(event.request_id)
        if request is not None:
            self.end(now_ns, request)

    def close(self, now_ns: int, event: CloseRequests) -> None:
        """Give open requests their final answers now: the named ones, or all."""
        request_ids = event.request_ids
        for request in list(self.requests.values()):
            if request_ids is None or request.id in request_ids:
                self.finish(now_ns, request)

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
        admitted = self.retries.first_attempt(now_ns, request)
        if not request.over_quota:
            statistics = request.statistics
            statistics.admitted += ADMISSION_LEARNING_RATE * (admitted - statistics.admitted)
        if not admitted:
            self.finish(now_ns, request)

    def _serve_key(self, now_ns: int, key: str) -> None:
        """Dispatch the oldest request of a key, if the key is free (rule 5).

        A rejection frees the key for the next request and calls this again: that call returns at
        once and the loop here continues, so that a long queue needs no deep recursion.
        """
        if key in self.keys_in_service:
            return
        self.keys_in_service.add(key)
        rest_until_ns = self.key_queues.rests_until(key)
        while (request := self.key_queues.next_waiting(key)) is not None:
            if now_ns < rest_until_ns:
                self.orders.set_timer(rest_until_ns, self._serve_key, key)
                break
            self._admit(now_ns, request)
        self.keys_in_service.discard(key)
        self.key_queues.discard_if_idle(now_ns, key)


def _is_harmless_to_repeat(request: Request) -> bool:
    """Whether a client may send a request again, whatever the outcomes of its attempts."""
    spec = request.spec
    if not request.maybe_executed or spec.effect is Effect.IDEMPOTENT:
        return True
    is_known_everywhere = spec.idempotency_scope is IdempotencyScope.ALL
    return spec.effect is Effect.IDEMPOTENCY_KEY and is_known_everywhere
