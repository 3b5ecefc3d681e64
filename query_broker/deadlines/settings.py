"""The operators' settings of deadlines and logs; the defaults apply without any setting.

`operator_config.directives` defines the names of these settings in the operators' file.
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

    READ = "read"  # from the first byte of the request to the last
    DECIDE = "decide"
    CONNECT = "connect"  # waiting for a connection
    WRITE = "write"  # waiting in the write queue and being written
    ENGINE = "engine"  # from the last byte written to the engine to its answer
    ANSWER = "answer"  # from the engine's answer to the last byte sent to the client


class TimeoutStart(StrEnum):
    """When the timeout of a request starts; the values are those of the operators' file."""

    FIRST_BYTE = "first"
    LAST_BYTE = "last"


class HalfClosePolicy(StrEnum):
    """The effect of a client closing its sending side; values are those of the operators' file."""

    CLIENT_LEFT = "left"
    AWAIT_ANSWERS = "answer"  # the client still gets the answers to its open requests


@dataclass(frozen=True, slots=True)
class MarginSettings:
    """The margin that is deducted from each timeout, and how it is learned.

    The margin leaves time for the answer to reach the client before the client's timeout.

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
        timeout_start: When the timeout of a request starts.
        half_close: The effect of a client closing its sending side.
        slow_reader_timeout_ns: How long answers may remain unread by the client.
        retry_budget: The limit on retries; None for no limit.
    """

    learn_margin: bool = False
    margin: MarginSettings = field(default_factory=MarginSettings)
    timeout_start: TimeoutStart = TimeoutStart.LAST_BYTE
    half_close: HalfClosePolicy = HalfClosePolicy.CLIENT_LEFT
    slow_reader_timeout_ns: int = 30 * NS_PER_S
    retry_budget: RetryBudgetSettings | None = None


@dataclass(frozen=True, slots=True)
class Logs:
    """The format of the log, and which requests are traced in a separate line.

    ``traced_fraction``: the fraction of requests that are traced; requests that ended after their
    deadline are always traced.
    """

    format: Literal["plain", "text", "json"] = "plain"
    traced_fraction: float = 0.0
