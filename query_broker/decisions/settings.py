"""Settings of the admission controller, validated on construction.

Times and durations are integer nanoseconds. An invalid value raises a ValueError with the key that
operators use and the problem. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..errors import QueryBrokerError


class Effect(Enum):
    """The effect of running a request more than once.

    Attributes:
        IDEMPOTENT: The same as running it once.
        IDEMPOTENCY_KEY: The same as running it once, as long as the endpoint remembers its
            idempotency key.
        NON_IDEMPOTENT: The effect happens again; a request that may have run must not be retried.
    """

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """The endpoints that share their memory of idempotency keys.

    Attributes:
        ALL: All endpoints.
        ZONE: The endpoints of one zone.
        CELL: The endpoints of one cell.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class InvalidSettingsError(QueryBrokerError, ValueError):
    """A setting has an invalid value."""

    def __init__(self, key: str, problem: str) -> None:
        """Build a message with the key, as operators write it, and the problem."""
        super().__init__(f"{key}: {problem}")


def _require(ok: bool, key: str, problem: str) -> None:
    """Raise InvalidSettingsError with the key unless the value is valid."""
    if not ok:
        raise InvalidSettingsError(key, problem)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class: its objectives, and what the contract lets a broker do with its requests.

    Attributes:
        name: Its name, unique among the classes.
        latency_objective_ns: Latency within which an answer has its full priority weight.
        deadline_ns: Longest time that its clients wait, from the arrival.
        priority_weight: Value of an answer within the objective.
        effect: The effect of running a request more than once.
        late_priority_weight: Value of an answer after the objective.
        objective_stretch: Multiple of the request's run time that is added to the objective.
        idempotency_scope: Endpoints that share their memory of its idempotency keys.
        idempotency_window_ns: How long an endpoint remembers an idempotency key.
        ordered_by_key: Requests with the same ordering key run one at a time, in the order of
            their arrival.
        allowed_zones: Zones where it may run; all if empty.
        allowed_kinds: Kinds of endpoints where it may run; all if empty.
        threads: Threads of a request.
        is_load: It loads a data set, and meanwhile blocks the readers of the data set on its
            endpoint.
        blocked_by_loads: It reads a data set, and is blocked while the data set is being loaded.
    """

    name: str
    latency_objective_ns: int
    deadline_ns: int
    priority_weight: float
    effect: Effect = Effect.IDEMPOTENT
    late_priority_weight: float = 0.0
    objective_stretch: float = 0.0
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_ns: int = 0
    ordered_by_key: bool = False
    allowed_zones: tuple[str, ...] = ()
    allowed_kinds: tuple[str, ...] = ()
    threads: int = 1
    is_load: bool = False
    blocked_by_loads: bool = False

    def __post_init__(self) -> None:
        """Check the values."""
        _require(bool(self.name), "classes.name", "is empty")
        _require(self.latency_objective_ns > 0, "classes.aim", "must be above 0")
        _require(self.deadline_ns > 0, "classes.deadline", "must be above 0")
        _require(self.priority_weight >= 0, "classes.worth", "must not be negative")
        _require(self.threads > 0, "classes.threads", "must be above 0")
        _require(self.idempotency_window_ns >= 0, "classes.window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota.

    Attributes:
        name: Its name.
        quota_per_s: Requests a second, over all brokers together.
    """

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        """Check the values."""
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Contract:
    """The parameters of the contract between broker, clients and endpoints.

    Attributes:
        answer_slack_ns: How long after the deadline a final answer is still in time.
        drain_grace_ns: How long after the announcement of a drain attempts may still be sent.
        warmup_initial_capacity: Fraction of its capacity that an endpoint starts with.
        warmup_ns: Duration of the warm-up.
        overload_window_ns: Window over which the work at an endpoint in warm-up is limited; 0 for
            no limit.
        overload_multiple: An endpoint in warm-up fails if the work of a window exceeds its capacity
            by this factor.
        key_cooldown_ns: Cool-down of an ordering key after an attempt that may still run.
        retry_budget_window_ns: Window of the retry budget; 0 for no limit.
        retry_budget_free: Retries that are allowed in any window.
        retry_budget_ratio: Further retries that are allowed for each arrival in the window.
    """

    answer_slack_ns: int = 0
    drain_grace_ns: int = 0
    warmup_initial_capacity: float = 1.0
    warmup_ns: int = 0
    overload_window_ns: int = 0
    overload_multiple: float = 1.0
    key_cooldown_ns: int = 0
    retry_budget_window_ns: int = 0
    retry_budget_free: float = 0.0
    retry_budget_ratio: float = 0.0

    def __post_init__(self) -> None:
        """Check the values."""
        _require(0 < self.warmup_initial_capacity <= 1, "contract.cold_from", "must lie in (0, 1]")
        _require(self.overload_multiple > 0, "contract.fall_multiple", "must be above 0")
        durations = {
            "answer_slack": self.answer_slack_ns,
            "drain_grace": self.drain_grace_ns,
            "cold": self.warmup_ns,
            "fall": self.overload_window_ns,
            "order_settle": self.key_cooldown_ns,
            "budget_window": self.retry_budget_window_ns,
        }
        for key, duration_ns in durations.items():
            _require(duration_ns >= 0, f"contract.{key}", "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the endpoints' protocol and the contract allow a broker to do.

    Attributes:
        cancellation: Attempts may be cancelled.
        health_checks: Endpoints may be sent health checks.
        peer_messages: Brokers may send each other messages; the decisions ignore them.
        hedging: In an idempotent class, a second attempt may run at the same time as the first.
        retry_after: A rejection may tell the client how long to wait before a retry.
        max_attempts: Upper bound of the attempts of a request.
        max_retry_after_ns: Upper bound of that wait.
    """

    cancellation: bool = False
    health_checks: bool = False
    peer_messages: bool = False
    hedging: bool = False
    retry_after: bool = True
    max_attempts: int = 1
    max_retry_after_ns: int = 0

    def __post_init__(self) -> None:
        """Check the values."""
        _require(self.max_attempts > 0, "limits.max_attempts", "must be above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of the admission controller.

    Attributes:
        classes: The request classes; at least one, each with a unique name.
        fleet_size: Number of brokers; the quotas of endpoints and tenants are divided by it.
        tick_ns: Resolution of timers.
        broker_index: Index of this broker in the fleet, from 0.
        zone: Zone of this broker.
        contract: The parameters of the contract.
        limits: What a broker may do.
        tenants: Tenants with a quota; other tenants have no limit.
        kind_cores: Cores of an endpoint by kind; for other kinds its weight in the list counts.
        cross_zone_price: Fraction of a request's priority weight that crossing zones costs.
        handshake_price: Fraction of a request's priority weight that a new connection costs.
        over_quota_weight: Factor of the priority weight of requests that exceed their tenant's
            quota.
        memory_grants: Dispatches may grant memory.
        priorities: Dispatches may set a priority.
    """

    classes: tuple[RequestClass, ...]
    fleet_size: int
    tick_ns: int
    broker_index: int = 0
    zone: str = ""
    contract: Contract = field(default_factory=Contract)
    limits: Limits = field(default_factory=Limits)
    tenants: tuple[Tenant, ...] = ()
    kind_cores: tuple[tuple[str, int], ...] = ()
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0
    over_quota_weight: float = 1.0
    memory_grants: bool = False
    priorities: bool = False

    def __post_init__(self) -> None:
        """Check the values."""
        _require(bool(self.classes), "classes", "at least one class is needed")
        names = [spec.name for spec in self.classes]
        _require(len(set(names)) == len(names), "classes.name", "is used twice")
        _require(self.fleet_size > 0, "fleet_size", "must be above 0")
        _require(self.tick_ns > 0, "tick", "must be above 0")
        _require(all(cores > 0 for _, cores in self.kind_cores), "kind_cores", "must be above 0")
