"""The record of one other member.

Performs no I/O. Times are in nanoseconds; 0 stands for never.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from .messages import Claim, Identity, Status
from .round_trip import RoundTripEstimator

MAX_HELPER_RESULTS = 4


class HelperResult(NamedTuple):
    """Whether a helper reached a member with an indirect ping, and when it reported that."""

    has_reached: bool
    reported_at_ns: int


@dataclass(slots=True)
class MemberRecord:
    """What is known of one member.

    Attributes:
        identity: The member.
        incarnation: Its newest proven incarnation.
        incarnation_proof: The proof of that incarnation.
        leave_proof: Commitment to its leave secret; once it has left, the secret.
        status: Its status, never EVIDENCE.
        status_since_ns: When it took that status.
        ordinal: Its configured index among the brokers.
        zone: Its zone.
        max_protocol: Newest protocol version that it speaks.
        reporter: Address of the member that reported its suspicion or removal; else empty.
        sequence: Sequence number of its newest known message.
        received_ns: When this process last received a message of the member.
        evidence_ns: When a message of the member was last received by this process or reported as
            received by another member.
        acked_ns: When the member last acked a direct ping of this process.
        acked_indirectly_ns: When the member last acked a ping through a helper.
        hears_us_ns: When the member last reported, through a helper, that it receives messages of
            this process.
        round_trip: Estimate of its round-trip time.
        helper_results: Latest results of indirect pings, by the helper's address.
        false_suspicions: Decaying count of false suspicions of the member, as of
            `false_suspicion_at_ns`.
        false_suspicion_at_ns: When the last false suspicion was counted.
    """

    identity: Identity
    incarnation: int
    incarnation_proof: bytes
    leave_proof: bytes
    status: Status
    status_since_ns: int
    ordinal: int = 0
    zone: str = ""
    max_protocol: int = 1
    reporter: str = ""
    sequence: int = 0
    received_ns: int = 0
    evidence_ns: int = 0
    acked_ns: int = 0
    acked_indirectly_ns: int = 0
    hears_us_ns: int = 0
    round_trip: RoundTripEstimator = field(default_factory=RoundTripEstimator)
    helper_results: dict[str, HelperResult] = field(default_factory=dict)
    false_suspicions: float = 0.0
    false_suspicion_at_ns: int = 0

    @classmethod
    def from_claim(cls, claim: Claim, now_ns: int) -> MemberRecord:
        """Return the record of a new member that is described by a claim."""
        return cls(
            claim.member,
            claim.incarnation,
            claim.incarnation_proof,
            claim.leave_proof,
            claim.status,
            now_ns,
            claim.ordinal,
            claim.zone,
            claim.max_protocol,
            claim.reporter,
        )

    def is_present(self) -> bool:
        """Return whether the member counts as part of the group."""
        return self.status in (Status.ALIVE, Status.SUSPECT)

    def claim(self, status: Status | None = None, reporter: str = "") -> Claim:
        """Return a claim about the member, with its recorded status unless one is given."""
        return Claim(
            self.identity,
            self.incarnation,
            self.status if status is None else status,
            self.incarnation_proof,
            self.leave_proof,
            reporter or self.reporter,
            self.ordinal,
            self.zone,
            self.max_protocol,
            self.sequence,
        )

    def recent_false_suspicions(self, now_ns: int, decay_ns: int) -> float:
        """Return `false_suspicions`, decayed by a factor of 1/e per `decay_ns`."""
        age_ns = max(0, now_ns - self.false_suspicion_at_ns)
        return self.false_suspicions * math.exp(-age_ns / decay_ns)

    def record_helper_result(self, helper: str, result: HelperResult) -> None:
        """Record a helper's result, and evict the oldest one if there are too many."""
        self.helper_results.pop(helper, None)
        self.helper_results[helper] = result
        if len(self.helper_results) > MAX_HELPER_RESULTS:
            oldest = next(iter(self.helper_results))
            del self.helper_results[oldest]
