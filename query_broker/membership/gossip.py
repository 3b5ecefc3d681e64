"""Gossip: claims that wait to be piggybacked on pings and acks (SWIM, section 4.1).

Performs no I/O.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from .messages import Claim, Identity, Status
from .timing import retransmit_limit

MAX_PIGGYBACK_BYTES = 900  # of claims in one datagram
MAX_CANDIDATES = 16  # claims that are considered for one datagram


class ClaimKey(NamedTuple):
    """Identifies a waiting claim: one state and one piece of evidence wait for each member."""

    member: Identity
    is_evidence: bool


class QueuedClaim(NamedTuple):
    """A waiting claim and how often it has been sent."""

    claim: Claim
    sent: int


class GossipQueue:
    """Claims to pass on, each a bounded number of times, those sent least often first.

    Attributes:
        waiting: The claims that are still to be sent.
    """

    def __init__(self) -> None:
        """Start with nothing to pass on."""
        self.waiting: dict[ClaimKey, QueuedClaim] = {}

    def add(self, claim: Claim) -> None:
        """Queue a claim in place of an earlier one about the same member."""
        key = ClaimKey(claim.member, claim.status is Status.EVIDENCE)
        self.waiting[key] = QueuedClaim(claim, 0)

    def take(
        self, size: int, urgent: list[Claim], max_bytes: int = MAX_PIGGYBACK_BYTES
    ) -> tuple[Claim, ...]:
        """Select claims for one datagram and count them as sent.

        Args:
            size: Number of members of the group, which bounds how often a claim is sent.
            urgent: Claims that the receiver must learn first; they are not counted.
            max_bytes: Bound of the claims' encoded size.
        """
        remaining_bytes = max_bytes
        taken: list[Claim] = []
        for claim in urgent:
            remaining_bytes -= claim.max_encoded_bytes()
            if remaining_bytes >= 0:
                taken.append(claim)
        if self.waiting:
            self._take_waiting(taken, retransmit_limit(size), remaining_bytes)
        return tuple(taken)

    def _take_waiting(self, taken: list[Claim], limit: int, remaining_bytes: int) -> None:
        known = {(claim.member, claim.status) for claim in taken}
        candidates = heapq.nsmallest(
            MAX_CANDIDATES, self.waiting.items(), key=lambda item: item[1].sent
        )
        for key, (claim, sent) in candidates:
            if (claim.member, claim.status) in known:
                continue
            if claim.max_encoded_bytes() > remaining_bytes:
                break
            remaining_bytes -= claim.max_encoded_bytes()
            taken.append(claim)
            if sent + 1 >= limit:
                del self.waiting[key]
            else:
                self.waiting[key] = QueuedClaim(claim, sent + 1)
