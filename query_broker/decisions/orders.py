"""Actions that the admission controller returns. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in the order of their sends.
    ``latest``: when its first byte must have left; past that it may not run any more, and is
    reported as not sent.
    """

    request: str
    attempt: int
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
