"""Settings of the admission controller. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
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
    aim: int
    deadline: int
    worth: float
    effect: Effect = Effect.SAFE
    late_worth: float = 0.0
    aim_stretch: float = 0.0
    scope: Scope = Scope.ALL
    window: int = 0
    in_order: bool = False
    only_zones: tuple[str, ...] = ()
    only_kinds: tuple[str, ...] = ()
    threads: int = 1
    is_load: bool = False
    waits_for_loads: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "is empty")
        _require(self.aim > 0, "classes.aim", "must be above 0")
        _require(self.deadline > 0, "classes.deadline", "must be above 0")
        _require(self.worth >= 0, "classes.worth", "must not be negative")
        _require(self.threads > 0, "classes.threads", "must be above 0")
        _require(self.window >= 0, "classes.window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Contract:
    """The figures of the rules."""

    answer_slack: int = 0
    drain_grace: int = 0
    cold_from: float = 1.0
    cold: int = 0
    fall: int = 0
    fall_multiple: float = 1.0
    order_settle: int = 0
    budget_window: int = 0
    budget_free: float = 0.0
    budget_share: float = 0.0

    def __post_init__(self) -> None:
        _require(0 < self.cold_from <= 1, "contract.cold_from", "must lie in (0, 1]")
        _require(self.fall_multiple > 0, "contract.fall_multiple", "must be above 0")
        for key in ("answer_slack", "drain_grace", "cold", "fall", "order_settle", "budget_window"):
            _require(getattr(self, key) >= 0, f"contract.{key}", "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    second_copies: bool = False
    retry_after: bool = True
    max_attempts: int = 1
    max_retry_after: int = 0

    def __post_init__(self) -> None:
        _require(self.max_attempts > 0, "limits.max_attempts", "must be above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    fleet_size: int
    tick: int
    me: int = 0  # our place among them, from 0
    zone: str = ""
    contract: Contract = Contract()
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()
    kind_cores: tuple[tuple[str, int], ...] = ()
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0  # of a request's worth, for a new connection to an engine
    over_share_worth: float = 1.0
    grants_heeded: bool = False
    priorities_heeded: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "at least one class is needed")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes.name", "is used twice")
        _require(self.fleet_size > 0, "fleet_size", "must be above 0")
        _require(self.tick > 0, "tick", "must be above 0")
        _require(all(cores > 0 for _, cores in self.kind_cores), "kind_cores", "must be above 0")
