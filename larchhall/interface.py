"""Settings, events and actions of the admission controller, in the words of the field.

Every time and duration is in integer nanoseconds, on the caller's clock. Nothing here decides
anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


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


class EngineState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Result(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


#: Results that prove that the attempt never ran.
NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT})


class NoteKind(Enum):
    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


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


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One line of the engine list. ``started`` is 0 when that is long ago."""

    engine: int
    state: EngineState
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine tells of its load; None where it does not tell."""

    utilisation: float | None = None
    queue: float | None = None
    memory: float | None = None
    disk: float | None = None
    inflight: float | None = None  # queries in hand


@dataclass(frozen=True, slots=True)
class ListNews:
    kind: ListKind
    entries: tuple[EngineEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    request: str
    class_name: str
    patience: int
    tenant: str | None = None
    key: str | None = None
    estimate: int | None = None
    memory_mb: float | None = None
    data_set: int | None = None
    retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    request: str
    attempt: int
    engine: int
    result: Result
    latency: int
    finished: bool
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptNote:
    request: str
    attempt: int
    engine: int
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class Departure:
    request: str


@dataclass(frozen=True, slots=True)
class Ban:
    """Operators take an engine out, whatever the list says, or back: it has restarted and is
    cold.
    """

    engine: int
    out: bool
    at: int


class Outstanding(NamedTuple):
    """What one process of a gateway has out on an engine, and has sent it lately while it was
    cold.
    """

    threads: int
    backlog: int  # thread-nanoseconds, as is ``cold``
    cold: int


@dataclass(frozen=True, slots=True)
class Beside:
    """Other processes of this gateway: theirs and ours go by one share. ``taking`` of them, with
    us, take requests.
    """

    out: Mapping[int, Outstanding]
    taking: int


@dataclass(frozen=True, slots=True)
class Retuned:
    """Other settings, for all requests that come from now on."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Closing:
    """What is open gets its final answer now: all of it, or the requests that are named."""

    only: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    engine: int
    result: Result
    latency: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes


Event = (
    ListNews
    | Arrival
    | AttemptOutcome
    | AttemptNote
    | Departure
    | Ban
    | Beside
    | Retuned
    | Closing
    | TimerFired
    | ProbeResult
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in the order of their sends.
    ``latest``: when its first byte must have left; past that it may not run any more, and is
    reported as not sent.
    """

    request: str
    engine: int
    timeout: int
    latest: int


@dataclass(frozen=True, slots=True)
class Refuse:
    request: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    at: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    engine: int


@dataclass(frozen=True, slots=True)
class Terms:
    """Priority (0 to 3) and memory grant (0 leaves it to the engine) of a request's sends."""

    request: str
    priority: int
    memory_mb: float


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Terms
