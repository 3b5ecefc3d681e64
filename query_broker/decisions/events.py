"""Events that the admission controller handles.

Times and durations are integer nanoseconds; work is in thread-nanoseconds. Performs no I/O.
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
        READY: Accepts requests.
        DRAINING: Finishes its attempts; no new attempt may be dispatched to it.
        REMOVED: No longer exists.
    """

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListUpdateKind(Enum):
    """What an update of the endpoint list contains.

    Attributes:
        CHANGES: The entries that have changed.
        FULL: Every entry.
        CACHED: Every entry of the list that an earlier run stored; used at startup.
        FAILED: No entries: the list could not be read.
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
        FULL: The endpoint rejected the attempt for lack of capacity.
        TIMEOUT: No answer came in time; the attempt may have run or may still run.
        CONNECT_FAILED: The connection could not be opened.
        RESET: The connection ended before the answer; the attempt may have run.
        CANCELLED: The broker cancelled the attempt; it may have run.
        NOT_SENT: The attempt never left this broker.
    """

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


#: Results which prove that the attempt did not run.
NEVER_EXECUTED = frozenset(
    {AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT}
)


class ProgressKind(Enum):
    """What an endpoint reports about a running attempt.

    Attributes:
        PROGRESS: The completed part of the attempt.
        SPILLING: The attempt spills to disk for lack of memory.
        WAITING: The attempt is queued behind others.
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
        kind: Its kind of engine.
        cell: Its cell; the endpoints of a cell may share their memory of idempotency keys.
        weight: Its relative capacity, used if the settings give no cores for its kind.
        started_ns: When its process started; 0 if the start was long ago.
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
    """The load that an endpoint reports; a value that it does not report is None.

    Attributes:
        utilisation: Busy fraction of its cores.
        queue: Number of requests that wait for memory.
        memory: Granted fraction of its memory.
        disk: Busy fraction of its disks.
        inflight: Number of requests that it has accepted and not answered.
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
        kind: What the update contains.
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
        timeout_ns: How long its client waits, from the time of this event.
        tenant: Its tenant, if any.
        key: Its ordering key; used only in classes whose requests are ordered by key.
        estimate_ns: The client's estimate of its work, in thread-nanoseconds.
        memory_mb: The client's estimate of its memory, in megabytes.
        data_set: Number of the data set that it reads or loads.
        is_retry: Whether the client marks it as a retry of a rejected request.
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
        latency_ns: Time from its dispatch to its end.
        finished: Whether the request now has its final answer.
        load_report: The load report that came with its answer, if any.
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
    """An endpoint has reported the progress of a running attempt.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt.
        endpoint: Its endpoint.
        kind: What the endpoint reports.
        value: The reported amount; its meaning depends on the kind.
    """

    request_id: str
    attempt: int
    endpoint: int
    kind: ProgressKind
    value: float


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """A client has cancelled its request or disconnected; the request needs no answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AdministrativeChange:
    """Operators have disabled an endpoint or enabled it again, independently of the endpoint list.

    An endpoint that is enabled again is treated as restarted: its warm-up begins.

    Attributes:
        endpoint: Number of the endpoint.
        disabled: True if the endpoint is disabled, False if it is enabled.
        at_ns: When the operators made the change.
    """

    endpoint: int
    disabled: bool
    at_ns: int


class OutstandingWork(NamedTuple):
    """The outstanding work of one process of a broker at an endpoint.

    Attributes:
        threads: Threads of the outstanding requests.
        backlog_ns: Expected work of the outstanding requests, in thread-nanoseconds.
        warmup_ns: Work dispatched within the contract's overload window while the endpoint was
            warming up, in thread-nanoseconds.
    """

    threads: int
    backlog_ns: int
    warmup_ns: int


@dataclass(frozen=True, slots=True)
class PeerProcessLoad:
    """Load of the broker's other processes; all processes of a broker share one quota.

    Attributes:
        outstanding: Outstanding work of the other processes, by endpoint.
        accepting_processes: Number of processes that accept requests, including this one.
    """

    outstanding: Mapping[int, OutstandingWork]
    accepting_processes: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings have changed; the new ones apply to all requests that arrive later."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class CloseRequests:
    """Open requests must get their final answers now.

    Attributes:
        request_ids: The requests, or None for all.
    """

    request_ids: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer is due; ``token`` is the one in its `SetTimer` order."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """A health check has ended.

    Attributes:
        endpoint: Number of the endpoint.
        result: How it ended.
        latency_ns: Time from its start to its end.
        load_report: The load report that came with the answer, if any.
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
    | PeerProcessLoad
    | SettingsChanged
    | CloseRequests
    | TimerFired
    | HealthCheckResult
    | PeerMessage
)
