"""Orders that the admission controller returns; the caller carries them out in sequence.

Times and durations are integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt among those of the request, from 0.
        endpoint: Number of the endpoint.
        timeout_ns: How long to wait for the answer.
        latest_start_ns: When it must have arrived completely. An attempt that has not been sent
            completely by then is withdrawn, and reported as not sent.
    """

    request_id: str
    attempt: int
    endpoint: int
    timeout_ns: int
    latest_start_ns: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a request; its client may send it again.

    Attributes:
        request_id: The request.
        retry_after_ns: How long its client should wait before the retry; 0 for no wait.
    """

    request_id: str
    retry_after_ns: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that a request has failed; it may have run, so its client must not send it again."""

    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; its outcome is still reported."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report `TimerFired` with this token at or soon after ``due_ns``."""

    due_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Send an endpoint a health check and report its result."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Set the options of all dispatches of a request; precedes the first dispatch.

    Attributes:
        request_id: The request.
        priority: From 0 to 3; a higher priority gets a larger share of a scarce resource.
        memory_mb: Memory to grant, in megabytes; 0 lets the endpoint choose.
    """

    request_id: str
    priority: int
    memory_mb: float


Order = Dispatch | Reject | Fail | CancelAttempt | SetTimer | HealthCheck | DispatchOptions
