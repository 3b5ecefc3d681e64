"""A ledger of the events and orders of a controller, which checks the rules of the contract."""

from __future__ import annotations

from typing import Any

from query_broker import decisions as api

from ..support.helpers import MS, Harness, entry

ENGINES = (1, 2, 3)
KINDS = {1: "big", 2: "box", 3: "box"}
ZONES = {1: "east", 2: "east", 3: "north"}
#: After these the engine may still run the attempt, so its ordering key has a cool-down.
OUTCOME_UNKNOWN = (
    api.AttemptResult.TIMEOUT,
    api.AttemptResult.RESET,
    api.AttemptResult.CANCELLED,
)


class Ledger:
    """Requests, attempts and the endpoint list, as the controller was notified of them.

    Attributes:
        harness: The harness of the controller.
        order: The names of all requests, in the order of arrival.
        over: When each request got its final answer or was abandoned, by name.
        out: When each attempt in flight was dispatched, by request and attempt number.
        listed: The state of each engine in the endpoint list.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.harness = Harness(settings, *(self.entry(engine) for engine in ENGINES))
        self.order: list[str] = []
        self.over: dict[str, int] = {}
        self.out: dict[tuple[str, int], int] = {}
        self.listed = dict.fromkeys(ENGINES, api.EndpointState.READY)
        self._classes: dict[str, api.RequestClass] = {}
        self._keys: dict[str, str] = {}
        self._arrived_ns: dict[str, int] = {}
        self._deadlines_ns: dict[str, int] = {}
        self._attempt_counts: dict[str, int] = {}
        self._may_have_run_since_ns: dict[str, int] = {}
        self._first_endpoints: dict[str, int] = {}
        # Requests with an attempt that has ended and may have run.
        self._maybe_executed_names: set[str] = set()
        self._key_cooldown_ends_ns: dict[str, int] = {}
        self._arrivals_ns: list[int] = []
        self._retries_ns: list[int] = []
        self._checked_orders = 0

    @staticmethod
    def entry(engine: int, **more: Any) -> api.EndpointEntry:
        return entry(engine, kind=KINDS[engine], zone=ZONES[engine], **more)

    def check(self) -> None:
        """Check all orders since the last check."""
        for now_ns, order in self.harness.log[self._checked_orders :]:
            if isinstance(order, api.Dispatch):
                self._check_dispatch(now_ns, order)
                self._record_dispatch(now_ns, order)
            elif isinstance(order, api.Reject | api.Fail):
                self._check_answer(now_ns, order)
                self.over[order.request_id] = now_ns
        self._checked_orders = len(self.harness.log)

    def _check_dispatch(self, now_ns: int, dispatch: api.Dispatch) -> None:
        name = dispatch.request_id
        request_class = self._classes[name]
        attempt_number = self._attempt_counts.get(name, 0)
        assert name not in self.over, "dispatched after its end"
        self._check_endpoint(request_class, dispatch.endpoint)
        hedging = self.settings.limits.hedging and request_class.effect is api.Effect.IDEMPOTENT
        assert self._attempts_in_flight(name) <= hedging, "too many attempts in flight"
        assert attempt_number < self.settings.limits.max_attempts
        self._check_execution(now_ns, dispatch, request_class)
        if request_class.ordered_by_key:
            self._check_key_order(now_ns, name, attempt_number)
        if attempt_number > 0:
            self._check_retry_budget(now_ns)

    def _attempts_in_flight(self, name: str) -> int:
        return sum(request == name for request, _ in self.out)

    def _check_endpoint(self, request_class: api.RequestClass, endpoint: int) -> None:
        assert self.listed[endpoint] is api.EndpointState.READY, "endpoint is not ready"
        assert not request_class.allowed_kinds or KINDS[endpoint] in request_class.allowed_kinds
        assert not request_class.allowed_zones or ZONES[endpoint] in request_class.allowed_zones

    def _check_execution(
        self, now_ns: int, dispatch: api.Dispatch, request_class: api.RequestClass
    ) -> None:
        name = dispatch.request_id
        if request_class.effect is api.Effect.NON_IDEMPOTENT:
            assert name not in self._may_have_run_since_ns, "non-idempotent request repeated"
        if request_class.effect is not api.Effect.IDEMPOTENCY_KEY:
            return
        if name not in self._may_have_run_since_ns:
            return
        assert now_ns - self._may_have_run_since_ns[name] < request_class.idempotency_window_ns
        if request_class.idempotency_scope is api.IdempotencyScope.ZONE:
            assert ZONES[dispatch.endpoint] == ZONES[self._first_endpoints[name]]

    def _check_key_order(self, now_ns: int, name: str, attempt_number: int) -> None:
        key = self._keys[name]
        for other in self.order[: self.order.index(name)]:
            if self._keys.get(other) == key and self._classes[other].ordered_by_key:
                assert other in self.over, "out of key order"
                assert not self._attempts_in_flight(other), "out of key order"
        is_key_cooling_down = now_ns < self._key_cooldown_ends_ns.get(key, 0)
        assert attempt_number > 0 or not is_key_cooling_down, "key is cooling down"

    def _check_retry_budget(self, now_ns: int) -> None:
        contract = self.settings.contract
        window_ns = contract.retry_budget_window_ns
        if not window_ns:
            return
        self._retries_ns.append(now_ns)
        begin_ns = now_ns - window_ns
        recent_arrivals = sum(at_ns > begin_ns for at_ns in self._arrivals_ns)
        recent_retries = sum(at_ns > begin_ns for at_ns in self._retries_ns)
        budget = contract.retry_budget_free + contract.retry_budget_ratio * recent_arrivals
        assert recent_retries <= budget

    def _record_dispatch(self, now_ns: int, dispatch: api.Dispatch) -> None:
        name = dispatch.request_id
        attempt_number = self._attempt_counts.get(name, 0)
        self.out[(name, attempt_number)] = now_ns
        self._attempt_counts[name] = attempt_number + 1
        if name not in self._may_have_run_since_ns:
            self._may_have_run_since_ns[name] = now_ns
            self._first_endpoints[name] = dispatch.endpoint

    def _check_answer(self, now_ns: int, answer: api.Reject | api.Fail) -> None:
        name = answer.request_id
        assert name not in self.over, "answered twice"
        latest_ns = max(self._deadlines_ns[name], self._arrived_ns[name])
        assert now_ns <= latest_ns, "answered too late"
        if isinstance(answer, api.Reject) and self._must_not_be_retried(name):
            assert name not in self._may_have_run_since_ns, "rejected although it may have run"

    def _must_not_be_retried(self, name: str) -> bool:
        """Return whether a client must not retry the request if it may have run."""
        request_class = self._classes[name]
        if request_class.effect is api.Effect.NON_IDEMPOTENT:
            return True
        return (
            request_class.effect is api.Effect.IDEMPOTENCY_KEY
            and request_class.idempotency_scope is not api.IdempotencyScope.ALL
        )

    def arrive(self, request_class: api.RequestClass, key: str, timeout_ms: int) -> None:
        now_ns = self.harness.now
        name = f"r{len(self.order)}"
        self.order.append(name)
        self._classes[name] = request_class
        self._keys[name] = key
        self._arrived_ns[name] = now_ns
        self._deadlines_ns[name] = now_ns + timeout_ms * MS
        self._arrivals_ns.append(now_ns)
        tenant = self.settings.tenants[0].name if self.settings.tenants else None
        self.harness.arrive(
            name,
            request_class.name,
            timeout_ms * MS,
            key=key,
            estimate_ns=50 * MS,
            data_set=1,
            tenant=tenant,
        )

    def end(self, index: int, result: api.AttemptResult, latency_ms: int) -> None:
        """End one of the attempts in flight."""
        if not self.out:
            return
        name, attempt_number = sorted(self.out)[index % len(self.out)]
        del self.out[(name, attempt_number)]
        self._record_execution(name, result)
        if result in OUTCOME_UNKNOWN and self._classes[name].ordered_by_key:
            cooldown_ns = self.settings.contract.key_cooldown_ns
            self._key_cooldown_ends_ns[self._keys[name]] = self.harness.now + cooldown_ns
        if result is api.AttemptResult.SERVED:
            self.over.setdefault(name, self.harness.now)
        self.harness.end(name, result, attempt_number, latency_ms * MS, finished=name in self.over)

    def _record_execution(self, name: str, result: api.AttemptResult) -> None:
        if result not in api.NEVER_EXECUTED or self._attempts_in_flight(name):
            self._maybe_executed_names.add(name)
        elif name not in self._maybe_executed_names:
            self._may_have_run_since_ns.pop(name, None)
