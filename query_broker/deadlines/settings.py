"""What operators may set about deadlines; the defaults are the behaviour without any setting.

The names that these settings have in the operators' file stand in `operator_config.directives`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Literal

from .retry_budget import RetryBudgetSettings

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS


class LatencyStage(Enum):
    """The stages of a request, in the order in which it goes through them."""

    READ = "read"  # from its first byte to its last
    DECIDE = "decide"
    CONNECT = "connect"  # waiting for a connection
    WRITE = "write"  # waiting in the outbox and going out
    ENGINE = "engine"  # from its last byte out to its answer in
    ANSWER = "answer"  # from the answer to its last byte out


class TimeoutStart(StrEnum):
    """From when the timeout of a request counts; the values are those of the operators' file."""

    FIRST_BYTE = "first"
    LAST_BYTE = "last"


class HalfClosePolicy(StrEnum):
    """What it means that a client ends its side; the values are those of the operators' file."""

    CLIENT_LEFT = "left"
    AWAIT_ANSWERS = "answer"  # it still gets the answers to its open requests


@dataclass(frozen=True, slots=True)
class MarginSettings:
    """The margin that is deducted from each timeout, and how it is learned.

    The margin is for the way back of the answer, so that it reaches the client in time.

    Attributes:
        initial_ns: The margin before anything is learned.
        min_ns: The lower bound of a learned margin.
        max_ns: The upper bound of a learned margin.
        quantile: The quantile of the measured latencies that a learned margin covers.
    """

    initial_ns: int = 10 * NS_PER_MS
    min_ns: int = 2 * NS_PER_MS
    max_ns: int = 100 * NS_PER_MS
    quantile: float = 0.99


@dataclass(frozen=True, slots=True)
class DeadlineSettings:
    """The operators' settings of deadlines.

    Attributes:
        learn_margin: Whether stages are measured and the margin is learned from them.
        margin: The bounds of the learned margin.
        timeout_start: From when a request's timeout counts.
        half_close: What it means that a client ends its side.
        slow_reader_timeout_ns: How long answers may lie unread.
        retry_budget: The bound on retries; None sets none.
    """

    learn_margin: bool = False
    margin: MarginSettings = field(default_factory=MarginSettings)
    timeout_start: TimeoutStart = TimeoutStart.LAST_BYTE
    half_close: HalfClosePolicy = HalfClosePolicy.CLIENT_LEFT
    slow_reader_timeout_ns: int = 30 * NS_PER_S
    retry_budget: RetryBudgetSettings | None = None


@dataclass(frozen=True, slots=True)
class Logs:
    """The format of the log, and which requests get a line of their own.

    ``traced_fraction``: the part of the requests that are traced; those that ended past their
    deadline always are.
    """

    format: Literal["plain", "text", "json"] = "plain"
    traced_fraction: float = 0.0
