"""Gossip: claims that are queued to be piggybacked on pings and acks (SWIM, section 4.1).

Performs no I/O.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from .messages import Claim, Identity, Status
from .timing import retransmit_limit

#: Maximum encoded size of the claims in one datagram.
MAX_PIGGYBACK_BYTES = 900
#: Queued claims that are considered for one datagram.
MAX_CANDIDATE_CLAIMS = 16


class ClaimKey(NamedTuple):
    """Key of a queued claim: at most one claim of a status and one of evidence per member."""

    member: Identity
    is_evidence: bool


class QueuedClaim(NamedTuple):
    """A queued claim and how often it has been sent."""

    claim: Claim
    send_count: int


class GossipQueue:
    """Claims to gossip, each a bounded number of times and the least often sent first.

    Attributes:
        queued_claims: The claims that remain to be sent.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.queued_claims: dict[ClaimKey, QueuedClaim] = {}

    def add(self, claim: Claim) -> None:
        """Queue a claim; it replaces a queued claim with the same key."""
        key = ClaimKey(claim.member, claim.status is Status.EVIDENCE)
        self.queued_claims[key] = QueuedClaim(claim, 0)

    def take(
        self, group_size: int, urgent: list[Claim], max_bytes: int = MAX_PIGGYBACK_BYTES
    ) -> tuple[Claim, ...]:
        """Select claims for one datagram and count them as sent.

        Args:
            group_size: Number of members of the group, which bounds how often a claim is sent.
            urgent: Claims that are sent first and not counted.
            max_bytes: Maximum encoded size of the selected claims.
        """
        remaining_bytes = max_bytes
        selected: list[Claim] = []
        for claim in urgent:
            remaining_bytes -= claim.max_encoded_bytes()
            if remaining_bytes >= 0:
                selected.append(claim)
        if self.queued_claims:
            self._select_queued(selected, retransmit_limit(group_size), remaining_bytes)
        return tuple(selected)

    def _select_queued(self, selected: list[Claim], limit: int, remaining_bytes: int) -> None:
        selected_keys = {(claim.member, claim.status) for claim in selected}
        candidates = heapq.nsmallest(
            MAX_CANDIDATE_CLAIMS, self.queued_claims.items(), key=lambda item: item[1].send_count
        )
        for key, (claim, send_count) in candidates:
            if (claim.member, claim.status) in selected_keys:
                continue
            if claim.max_encoded_bytes() > remaining_bytes:
                break
            remaining_bytes -= claim.max_encoded_bytes()
            selected.append(claim)
            if send_count + 1 >= limit:
                del self.queued_claims[key]
            else:
                self.queued_claims[key] = QueuedClaim(claim, send_count + 1)
