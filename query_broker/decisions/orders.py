"""Orders that the admission controller returns, to be carried out in their sequence.

Times and durations are integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0 in the order of the request's dispatches.
        endpoint: Number of the endpoint.
        timeout_ns: How long to wait for the answer.
        latest_start_ns: When its first byte must have left. Past that it must not run any more,
            and is reported as not sent.
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
        retry_after_ns: How long its client should wait before that; 0 for not at all.
    """

    request_id: str
    retry_after_ns: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that a request has failed; it may have run, and must not be sent again."""

    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; its outcome is still reported."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report `TimerFired` with this token at ``due_ns`` or soon after it."""

    due_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Send an endpoint a health check and report its result."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Set the options of all dispatches of a request; comes before the first of them.

    Attributes:
        request_id: The request.
        priority: From 0 to 3; the higher, the larger its part of a scarce resource.
        memory_mb: Memory to grant, in megabytes; 0 leaves it to the endpoint.
    """

    request_id: str
    priority: int
    memory_mb: float


Order = Dispatch | Reject | Fail | CancelAttempt | SetTimer | HealthCheck | DispatchOptions
