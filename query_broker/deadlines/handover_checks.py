"""Checks at each hand-over whether an attempt may proceed to its endpoint. Performs no I/O.

An attempt is checked at each hand-over before any byte of it is written to an endpoint: to a
connection pool, from the pool to a connection, and from the write queue to the socket. An attempt
that is stopped at a hand-over has never run.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class StopReason(Enum):
    """Why an attempt is stopped; the values are metric labels."""

    CLIENT_LEFT = "left"  # or the client already has its answer
    DEADLINE_PASSED = "past"
    INSUFFICIENT_TIME = "too late"  # the attempt can no longer complete before the deadline
    ENDPOINT_DISABLED = "out"  # by an operator
    ENDPOINT_DRAINING = "drained"  # or no longer in the endpoint list
    RETRY_BUDGET_EXHAUSTED = "budget"


class HandOver(Enum):
    """The hand-overs, in the order in which an attempt passes them; values are metric labels."""

    POOL = "pool"
    CONNECTION = "connection"
    SOCKET = "socket"


@dataclass(frozen=True, slots=True)
class HandOverState:
    """The state of an attempt at a hand-over; times are on the caller's clock.

    Attributes:
        answer_wanted: Whether a client still waits for the answer.
        deadline_ns: When the answer must have arrived.
        min_latency_ns: The shortest time until the answer arrives; 0 if that is not known.
        endpoint_disabled: Whether an operator has disabled the endpoint.
        draining_since_ns: When the endpoint started to drain; 0 if it is not draining.
    """

    answer_wanted: bool
    deadline_ns: int
    min_latency_ns: int = 0
    endpoint_disabled: bool = False
    draining_since_ns: int = 0


def reason_to_stop(now_ns: int, state: HandOverState) -> StopReason | None:
    """Return the first reason to stop the attempt; None if it may proceed.

    The order of the reasons matters: an attempt whose client has left says nothing about the
    endpoint and must not be counted against it.
    """
    if not state.answer_wanted:
        return StopReason.CLIENT_LEFT
    if now_ns >= state.deadline_ns:
        return StopReason.DEADLINE_PASSED
    if state.endpoint_disabled:
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
        stop_counts: Attempts that were stopped at a hand-over, before any byte was written.
        partial_write_counts: Attempts that were partly written when nobody waited for them any
            more. Their rest is not written.
        cancels_sent: Attempts in flight that were cancelled.
        cancels_confirmed: Cancelled attempts that have been silent since.
        cancels_answered: Cancelled attempts that were answered nevertheless.
        late_answers: Answers that arrived when no client waited for them any more.
    """

    stop_counts: Counter[tuple[HandOver, StopReason]] = field(default_factory=Counter)
    partial_write_counts: Counter[StopReason] = field(default_factory=Counter)
    cancels_sent: int = 0
    cancels_confirmed: int = 0
    cancels_answered: int = 0
    late_answers: int = 0
