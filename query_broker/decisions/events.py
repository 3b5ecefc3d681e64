"""Events that the admission controller takes.

Times and durations are integer nanoseconds, works thread-nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from .settings import Settings


class EndpointState(Enum):
    """State of an endpoint in the endpoint list.

    Attributes:
        READY: Takes requests.
        DRAINING: Finishes what it has; nothing new may be sent (rule 3).
        REMOVED: No longer exists.
    """

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListUpdateKind(Enum):
    """What an update of the endpoint list holds.

    Attributes:
        CHANGES: The entries that changed.
        FULL: Every entry.
        CACHED: Every entry of the stored list of an earlier run, at the start.
        FAILED: Nothing: the list could not be read.
    """

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptResult(Enum):
    """How an attempt, or a health check, ended.

    Attributes:
        SERVED: The endpoint answered.
        ERROR: The endpoint answered with an error.
        FULL: The endpoint rejected it for lack of capacity.
        TIMEOUT: No answer came in time; it may have run, or still run.
        CONNECT_FAILED: No connection came about.
        RESET: The connection ended before the answer; it may have run.
        CANCELLED: It was cancelled; it may have run.
        NOT_SENT: It never left this broker.
    """

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
    """What an endpoint reports of an attempt that runs.

    Attributes:
        PROGRESS: How much of it is done.
        SPILLING: It spills to disk for lack of memory.
        WAITING: It is queued behind others.
    """

    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list.

    Attributes:
        endpoint: Number of the endpoint.
        state: Its state.
        zone: Its zone.
        kind: Its kind of machine.
        cell: Its cell, within which idempotency keys may be shared.
        weight: Its relative capacity, where its kind has no cores in the settings.
        started_ns: When its process started, 0 when that is long ago.
    """

    endpoint: int
    state: EndpointState
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint reports of its load; None where it does not report.

    Attributes:
        utilisation: Fraction of its cores that is busy.
        queue: Requests that wait for memory.
        memory: Fraction of its memory that is granted.
        disk: Fraction of its disks that is busy.
        inflight: Requests that it has accepted and not answered.
    """

    utilisation: float | None = None
    queue: float | None = None
    memory: float | None = None
    disk: float | None = None
    inflight: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list has changed, was read in full, or could not be read.

    Attributes:
        kind: What the entries are.
        entries: The entries.
    """

    kind: ListUpdateKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request has arrived.

    Attributes:
        request_id: Its id, unique among the open requests.
        class_name: Its class in the settings.
        timeout_ns: How long its client waits, from now.
        tenant: Its tenant, if any.
        key: Its key, which counts in classes that keep the order by key (rule 5).
        estimate_ns: The client's estimate of its work, in thread-nanoseconds.
        memory_mb: The client's estimate of its memory, in megabytes.
        data_set: Number of the data set that it reads or loads.
        is_retry: Whether the client marks it as the retry of a rejected request.
    """

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
    """An attempt has ended.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt.
        endpoint: Its endpoint.
        result: How it ended.
        latency_ns: From its dispatch to its end.
        finished: The request has its final answer by this.
        load_report: What the endpoint reported with it, if anything.
    """

    request_id: str
    attempt: int
    endpoint: int
    result: AttemptResult
    latency_ns: int
    finished: bool
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """An endpoint has reported on an attempt that runs.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt.
        endpoint: Its endpoint.
        kind: What is reported.
        value: The reported amount, whose meaning depends on the kind.
    """

    request_id: str
    attempt: int
    endpoint: int
    kind: ProgressKind
    value: float


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """A client has cancelled its request or disconnected; it needs no answer any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AdministrativeChange:
    """Operators have disabled an endpoint, whatever the list says, or enabled it again.

    An endpoint that is enabled counts as restarted, and is in warm-up.

    Attributes:
        endpoint: Number of the endpoint.
        disabled: Whether it is disabled, or else enabled.
        at_ns: When that was decided.
    """

    endpoint: int
    disabled: bool
    at_ns: int


class OutstandingWork(NamedTuple):
    """What one process of a broker has outstanding on an endpoint.

    Attributes:
        threads: Threads of the outstanding requests.
        backlog_ns: Their expected work, in thread-nanoseconds.
        warmup_ns: Work dispatched within the window of rule 4 while the endpoint was warming up, in
            thread-nanoseconds.
    """

    threads: int
    backlog_ns: int
    warmup_ns: int


@dataclass(frozen=True, slots=True)
class CoProcessLoad:
    """Load of the other processes of this broker, which share one quota with this one.

    Attributes:
        outstanding: What they have outstanding, by endpoint.
        accepting_processes: How many processes, with this one, accept requests.
    """

    outstanding: Mapping[int, OutstandingWork]
    accepting_processes: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings have changed, for all requests that come from now on."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class CloseRequests:
    """Open requests are to get their final answers now.

    Attributes:
        request_ids: The requests, or None for all.
    """

    request_ids: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer is due; ``token`` is that of its order."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """A health check has ended.

    Attributes:
        endpoint: Number of the endpoint.
        result: How it ended.
        latency_ns: From its start to its end.
        load_report: What the endpoint reported, if anything.
    """

    endpoint: int
    result: AttemptResult
    latency_ns: int
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another broker has sent a message; the decisions ignore it."""

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
