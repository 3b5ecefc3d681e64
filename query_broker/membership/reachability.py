"""Reachability of members, as the admin API reports it.

Performs no I/O.
"""

from __future__ import annotations

from enum import StrEnum

from .member_record import MemberRecord
from .messages import Status

RECENT_INTERVALS = 10  # older observations are ignored


class Reachability(StrEnum):
    """How a member is reached; the admin API returns the value."""

    LEFT = "has left"
    DEAD = "dead: nobody has heard it"
    REACHED = "reached"
    ANSWERS_LOST = "its answers don't reach us"
    PINGS_LOST = "we can't reach it"
    SENDS_WITHOUT_ACKING = "it speaks and doesn't hear us"
    REACHED_BY_OTHERS = "others hear it, we don't"
    SUSPECT = "suspect: nobody reaches it"
    UNKNOWN = "not asked yet"


def assess_reachability(record: MemberRecord, now_ns: int, interval_ns: int) -> Reachability:
    """Return how a member was reached within the last `RECENT_INTERVALS` intervals."""
    match record.status:
        case Status.LEFT:
            return Reachability.LEFT
        case Status.DEAD:
            return Reachability.DEAD
    since_ns = now_ns - RECENT_INTERVALS * interval_ns
    if record.acked_ns > since_ns:
        return Reachability.REACHED
    if record.acked_indirectly_ns > since_ns:
        if record.hears_us_ns > since_ns:
            return Reachability.ANSWERS_LOST
        return Reachability.PINGS_LOST
    if record.received_ns > since_ns:
        return Reachability.SENDS_WITHOUT_ACKING
    if record.status is not Status.SUSPECT:
        return Reachability.UNKNOWN
    if record.evidence_ns > since_ns:
        return Reachability.REACHED_BY_OTHERS
    return Reachability.SUSPECT
