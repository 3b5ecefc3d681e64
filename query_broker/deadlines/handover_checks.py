"""Checks at each hand-over: whether a request may still go on. Performs no I/O.

A check stands wherever a request changes hands before a byte of it has left for an endpoint: on
its way into a connection pool, from the pool to a connection, from the write queue to the socket.
What is stopped there never ran.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class StopReason(Enum):
    """Why a request does not go on."""

    LEFT = "left"  # its client has gone, or it has its answer
    PAST = "past"  # its time is up
    TOO_LATE = "too late"  # it can no longer end in time
    OUT = "out"  # the engine has been taken out by hand
    DRAINED = "drained"  # the engine drains, or has gone
    BUDGET = "budget"  # no further attempt is left in the budget


class HandOver(Enum):
    """The hand-overs, in the order in which a request passes them."""

    POOL = "pool"
    CONNECTION = "connection"
    SOCKET = "socket"


@dataclass(frozen=True, slots=True)
class HandOverCheck:
    """What a check looks at, in nanoseconds of the caller's clock.

    Attributes:
        wanted: Somebody still waits for the answer.
        deadline_ns: When the answer must be here.
        fastest_ns: What the endpoint takes at the least, 0 where that is not known.
        disabled: The endpoint is administratively disabled.
        drained_at_ns: When the endpoint was notified to drain, 0 where it was not.
    """

    wanted: bool
    deadline_ns: int
    fastest_ns: int = 0
    disabled: bool = False
    drained_at_ns: int = 0


def reason_to_stop(now: int, passing: HandOverCheck) -> StopReason | None:
    """Return the first reason against going on, or None.

    The order of the reasons counts: a request whose client has gone says nothing of its endpoint
    and must not be reported as if it did.
    """
    if not passing.wanted:
        return StopReason.LEFT
    if now >= passing.deadline_ns:
        return StopReason.PAST
    if passing.disabled:
        return StopReason.OUT
    if passing.drained_at_ns and now >= passing.drained_at_ns:
        return StopReason.DRAINED
    if passing.fastest_ns and passing.deadline_ns - now < passing.fastest_ns:
        return StopReason.TOO_LATE
    return None


@dataclass(slots=True)
class HandOverStatistics:
    """Counts of what the checks have stopped, and of what went on all the same."""

    stopped: Counter[tuple[HandOver, StopReason]] = field(default_factory=Counter)
    begun_after: Counter[StopReason] = field(default_factory=Counter)  # a byte had left, then this
    stopped_after_cancel: int = 0  # undone, and silent since
    answered_after_cancel: int = 0  # undone, and answered all the same
    cancels_sent: int = 0
    resent: int = 0
    late_answers: int = 0  # answers that came when nobody waited

    def taken_back(self) -> int:
        """Return the number of attempts that were stopped before a byte of them left."""
        return sum(self.stopped.values())
