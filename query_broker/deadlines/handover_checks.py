"""Checks at each hand-over: whether an attempt still goes on to its endpoint. Performs no I/O.

An attempt is checked wherever it changes hands before a byte of it is written to an endpoint: on
its way into a connection pool, from the pool to a connection, from the write queue to the socket.
An attempt that is stopped there was never executed.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class StopReason(Enum):
    """Why an attempt does not go on; the values are labels of metrics."""

    CLIENT_LEFT = "left"  # or it has its answer already
    DEADLINE_PASSED = "past"
    INSUFFICIENT_TIME = "too late"  # the attempt cannot complete before the deadline any more
    ENDPOINT_DISABLED = "out"  # administratively
    ENDPOINT_DRAINING = "drained"  # or the endpoint list does not name it any more
    RETRY_BUDGET_EXHAUSTED = "budget"


class HandOver(Enum):
    """The hand-overs, in the order in which an attempt passes them; values are metric labels."""

    POOL = "pool"
    CONNECTION = "connection"
    SOCKET = "socket"


@dataclass(frozen=True, slots=True)
class HandOverState:
    """What a check looks at; times are on the caller's clock.

    Attributes:
        answer_wanted: Whether a client still waits for the answer.
        deadline_ns: By when the answer must be here.
        min_latency_ns: The shortest time that the endpoint takes; 0 if that is not known.
        disabled: Whether the endpoint is administratively disabled.
        draining_since_ns: Since when the endpoint is draining; 0 if it is not.
    """

    answer_wanted: bool
    deadline_ns: int
    min_latency_ns: int = 0
    disabled: bool = False
    draining_since_ns: int = 0


def reason_to_stop(now_ns: int, state: HandOverState) -> StopReason | None:
    """Return the first reason against going on; None if there is none.

    The order of the reasons matters: a request whose client has left says nothing about its
    endpoint and must not be counted as if it did.
    """
    if not state.answer_wanted:
        return StopReason.CLIENT_LEFT
    if now_ns >= state.deadline_ns:
        return StopReason.DEADLINE_PASSED
    if state.disabled:
        return StopReason.ENDPOINT_DISABLED
    if state.draining_since_ns and now_ns >= state.draining_since_ns:
        return StopReason.ENDPOINT_DRAINING
    if state.min_latency_ns and state.deadline_ns - now_ns < state.min_latency_ns:
        return StopReason.INSUFFICIENT_TIME
    return None


@dataclass(slots=True)
class HandOverStatistics:
    """Counts of attempts that were stopped or cancelled.

    Attributes:
        stop_counts: Attempts that were stopped at a hand-over, so that no byte was written.
        partial_write_counts: Attempts that were partly written when their request ended, and were
            written to their end.
        cancels_sent: Attempts in flight that were cancelled.
        cancels_confirmed: Cancelled attempts that have been silent since.
        cancels_answered: Cancelled attempts that were answered nevertheless.
        late_answers: Answers that came when no client waited for them.
    """

    stop_counts: Counter[tuple[HandOver, StopReason]] = field(default_factory=Counter)
    partial_write_counts: Counter[StopReason] = field(default_factory=Counter)
    cancels_sent: int = 0
    cancels_confirmed: int = 0
    cancels_answered: int = 0
    late_answers: int = 0
