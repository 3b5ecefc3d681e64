"""What operators may set about deadlines; the defaults are the behaviour without any setting."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Literal

from .retry_budget import RetryBudgetSettings

S = 1_000_000_000


class LatencyStage(Enum):
    """The stages of a request, in the order in which it goes through them."""

    READ = "read"  # from its first byte to its last
    DECIDE = "decide"
    CONNECT = "connect"  # waiting for a connection
    WRITE = "write"  # waiting in the outbox and going out
    ENGINE = "engine"  # from its last byte out to its answer in
    ANSWER = "answer"  # from the answer to its last byte out


@dataclass(frozen=True, slots=True)
class MarginTerms:
    """The margin kept of a request's time for its answer's way back, and how it is learned.

    Durations in nanoseconds; ``quantile`` is that of the measured stages which must fit.
    """

    start: int = 10_000_000
    least: int = 2_000_000
    most: int = 100_000_000
    quantile: float = 0.99


@dataclass(frozen=True, slots=True)
class DeadlineSettings:
    """The operators' settings of deadlines.

    ``count_from``: whether a request's time counts from its first or its last byte.
    ``half_close``: a client that ends its side has left, or still gets its answers.
    ``slow_reader``: nanoseconds that answers may lie unread.
    """

    learn: bool = False
    margin: MarginTerms = field(default_factory=MarginTerms)
    count_from: Literal["first", "last"] = "last"
    half_close: Literal["left", "answer"] = "left"
    slow_reader: int = 30 * S
    further: RetryBudgetSettings | None = None


@dataclass(frozen=True, slots=True)
class Logs:
    """The format of the log, and which requests get a line of their own.

    ``traced_fraction``: the part of the requests that are traced; those that ended past their
    deadline always are.
    """

    format: Literal["plain", "text", "json"] = "plain"
    traced_fraction: float = 0.0
