"""Events that the admission controller takes. Times and durations are integer nanoseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from .settings import Settings


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
