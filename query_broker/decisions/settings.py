"""Settings of the admission controller. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a request may do."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """The engines that share the memory of a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(ok: bool, key: str, problem: str) -> None:
    if not ok:
        raise ValueError(f"{key}: {problem}")


@dataclass(frozen=True, slots=True)
class RequestClass:
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
        _require(bool(self.name), "classes.name", "is empty")
        _require(self.latency_objective_ns > 0, "classes.aim", "must be above 0")
        _require(self.deadline_ns > 0, "classes.deadline", "must be above 0")
        _require(self.priority_weight >= 0, "classes.worth", "must not be negative")
        _require(self.threads > 0, "classes.threads", "must be above 0")
        _require(self.idempotency_window_ns >= 0, "classes.window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Contract:
    """The figures of the rules."""

    answer_slack_ns: int = 0
    drain_grace_ns: int = 0
    warmup_initial_capacity: float = 1.0
    warmup_ns: int = 0
    overload_window_ns: int = 0
    overload_multiple: float = 1.0
    key_rest_ns: int = 0
    retry_budget_window_ns: int = 0
    retry_budget_free: float = 0.0
    retry_budget_ratio: float = 0.0

    def __post_init__(self) -> None:
        _require(0 < self.warmup_initial_capacity <= 1, "contract.cold_from", "must lie in (0, 1]")
        _require(self.overload_multiple > 0, "contract.fall_multiple", "must be above 0")
        durations = {
            "answer_slack": self.answer_slack_ns,
            "drain_grace": self.drain_grace_ns,
            "cold": self.warmup_ns,
            "fall": self.overload_window_ns,
            "order_settle": self.key_rest_ns,
            "budget_window": self.retry_budget_window_ns,
        }
        for key, duration_ns in durations.items():
            _require(duration_ns >= 0, f"contract.{key}", "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    cancellation: bool = False
    health_checks: bool = False
    peer_messages: bool = False
    hedging: bool = False
    retry_after: bool = True
    max_attempts: int = 1
    max_retry_after_ns: int = 0

    def __post_init__(self) -> None:
        _require(self.max_attempts > 0, "limits.max_attempts", "must be above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    fleet_size: int
    tick_ns: int
    broker_index: int = 0  # our place among them, from 0
    zone: str = ""
    contract: Contract = Contract()
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()
    kind_cores: tuple[tuple[str, int], ...] = ()
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0  # of a request's worth, for a new connection to an engine
    over_quota_weight: float = 1.0
    memory_grants: bool = False
    priorities: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "at least one class is needed")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes.name", "is used twice")
        _require(self.fleet_size > 0, "fleet_size", "must be above 0")
        _require(self.tick_ns > 0, "tick", "must be above 0")
        _require(all(cores > 0 for _, cores in self.kind_cores), "kind_cores", "must be above 0")
