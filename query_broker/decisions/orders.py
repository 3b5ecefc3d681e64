"""Actions that the admission controller returns. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt; attempts of a request are numbered from 0 in the order of their sends.
    ``latest``: when its first byte must have left; past that it may not run any more, and is
    reported as not sent.
    """

    request_id: str
    attempt: int
    endpoint: int
    timeout_ns: int
    latest_start_ns: int


@dataclass(frozen=True, slots=True)
class Reject:
    request_id: str
    retry_after_ns: int


@dataclass(frozen=True, slots=True)
class Fail:
    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    due_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    endpoint: int


@dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Priority (0 to 3) and memory grant (0 leaves it to the engine) of a request's sends."""

    request_id: str
    priority: int
    memory_mb: float


Order = Dispatch | Reject | Fail | CancelAttempt | SetTimer | HealthCheck | DispatchOptions
