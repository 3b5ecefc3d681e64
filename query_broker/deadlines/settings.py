"""What operators may set about deadlines, with today's behaviour as defaults. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Literal

from .retry_budget import RetryBudgetSettings as FurtherTerms

S = 1_000_000_000


class Stage(Enum):
    """In the order in which a request goes through them."""

    READ = "read"  # from its first byte to its last
    DECIDE = "decide"
    CONNECT = "connect"  # waiting for a connection
    WRITE = "write"  # waiting in the outbox and going out
    ENGINE = "engine"  # from its last byte out to its answer in
    ANSWER = "answer"  # from the answer to its last byte out


@dataclass(frozen=True, slots=True)
class MarginTerms:
    """What is kept of a request's time for its answer's way back, and how it is learned."""

    start: int = 10_000_000
    least: int = 2_000_000
    most: int = 100_000_000
    share: float = 0.99


@dataclass(frozen=True, slots=True)
class DeadlineSettings:
    """``count_from``: whether a request's time counts from its first or its last byte.
    ``half_close``: a client that ends its side has left, or still gets its answers.
    ``slow_reader``: ns that answers may lie unread.
    """

    learn: bool = False
    margin: MarginTerms = MarginTerms()
    count_from: Literal["first", "last"] = "last"
    half_close: Literal["left", "answer"] = "left"
    slow_reader: int = 30 * S
    further: FurtherTerms | None = None


@dataclass(frozen=True, slots=True)
class Logs:
    """``stories``: the share of requests that get a line of their own; those that ended past their
    time always do.
    """

    format: Literal["plain", "text", "json"] = "plain"
    stories: float = 0.0
