"""Events that the admission controller takes. Times and durations are integer nanoseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from .settings import Settings


class EndpointState(Enum):
    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListUpdateKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptResult(Enum):
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
NEVER_EXECUTED = frozenset(
    {AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT}
)


class ProgressKind(Enum):
    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of the engine list. ``started`` is 0 when that is long ago."""

    endpoint: int
    state: EndpointState
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine tells of its load; None where it does not tell."""

    utilisation: float | None = None
    queue: float | None = None
    memory: float | None = None
    disk: float | None = None
    inflight: float | None = None  # queries in hand


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    kind: ListUpdateKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    request_id: str
    class_name: str
    timeout_ns: int
    tenant: str | None = None
    key: str | None = None
    estimate_ns: int | None = None
    memory_mb: float | None = None
    data_set: int | None = None
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request_id: str
    attempt: int
    endpoint: int
    result: AttemptResult
    latency_ns: int
    finished: bool
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    request_id: str
    attempt: int
    endpoint: int
    kind: ProgressKind
    value: float


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    request_id: str


@dataclass(frozen=True, slots=True)
class AdministrativeChange:
    """Operators take an engine out, whatever the list says, or back: it has restarted and is
    cold.
    """

    endpoint: int
    disabled: bool
    at_ns: int


class OutstandingWork(NamedTuple):
    """What one process of a gateway has out on an engine, and has sent it lately while it was
    cold.
    """

    threads: int
    backlog_ns: int  # thread-nanoseconds, as is ``cold``
    warmup_ns: int


@dataclass(frozen=True, slots=True)
class CoProcessLoad:
    """Other processes of this gateway: theirs and ours go by one share. ``taking`` of them, with
    us, take requests.
    """

    outstanding: Mapping[int, OutstandingWork]
    accepting_processes: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings, for all requests that come from now on."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class CloseRequests:
    """What is open gets its final answer now: all of it, or the requests that are named."""

    request_ids: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    endpoint: int
    result: AttemptResult
    latency_ns: int
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes


Event = (
    EndpointListUpdate
    | RequestArrived
    | AttemptEnded
    | AttemptProgress
    | RequestAbandoned
    | AdministrativeChange
    | CoProcessLoad
    | SettingsChanged
    | CloseRequests
    | TimerFired
    | HealthCheckResult
    | PeerMessage
)
