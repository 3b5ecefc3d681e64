"""Merging of claims about members, from gossip and from complete tables.

The precedence rules are those of SWIM (section 4.2), except that an incarnation or a leave is
accepted only with the proof of the member it belongs to. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from .detector_statistics import DetectorStatistics, Statistic
from .gossip import GossipQueue
from .incarnations import HASH_BYTES, MAX_AHEAD, ProvenIncarnation, is_proven, next_hash
from .local_health import LocalHealth
from .member_record import MemberRecord
from .member_table import MemberTable
from .messages import Claim, Status
from .own_member import OwnMember
from .settings import MembershipSettings
from .suspicion import SuspicionTracker

#: Longer leave secrets are rejected without hashing them.
MAX_LEAVE_SECRET_BYTES = HASH_BYTES + 4


class ClaimMerger:
    """Applies claims to the member table."""

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        table: MemberTable,
        suspicions: SuspicionTracker,
        gossip: GossipQueue,
        health: LocalHealth,
        statistics: DetectorStatistics,
    ) -> None:
        """Keep the collaborators."""
        self._settings = settings
        self._own = own
        self._table = table
        self._suspicions = suspicions
        self._gossip = gossip
        self._health = health
        self._statistics = statistics

    def merge_all(self, now_ns: int, claims: Iterable[Claim], max_ahead: int = MAX_AHEAD) -> None:
        """Merge claims in the given order."""
        for claim in claims:
            self.merge(now_ns, claim, max_ahead)

    def merge(self, now_ns: int, claim: Claim, max_ahead: int = MAX_AHEAD) -> None:
        """Merge a claim; one whose incarnation or leave is not proven changes nothing.

        Args:
            now_ns: The present time.
            claim: The claim, from gossip, a table or its subject.
            max_ahead: How far the claimed incarnation may be ahead of the known one.
        """
        if claim.member == self._own.identity:
            self._refute_claim_about_self(claim)
            return
        record = self._table.get(claim.member)
        if record is None:
            self._add_member(now_ns, claim, max_ahead)
            return
        if claim.incarnation < record.incarnation or record.status is Status.LEFT:
            return
        is_newer = claim.incarnation > record.incarnation
        if not self._is_authentic(record, claim, max_ahead):
            self._statistics[Statistic.UNPROVEN] += 1
            return
        if is_newer:
            record.incarnation = claim.incarnation
            record.incarnation_proof = claim.incarnation_proof
        self._apply(now_ns, record, claim, is_newer)

    def _is_authentic(self, record: MemberRecord, claim: Claim, max_ahead: int) -> bool:
        """Return whether the member itself has proven the claimed leave and newer incarnation."""
        if claim.status is Status.LEFT and _leave_commitment(claim) != record.leave_proof:
            return False
        if claim.incarnation == record.incarnation:
            return True
        return is_proven(
            claim.member.boot,
            claim.incarnation,
            claim.incarnation_proof,
            record.leave_proof,
            ProvenIncarnation(record.incarnation, record.incarnation_proof),
            max_ahead,
        )

    def _apply(self, now_ns: int, record: MemberRecord, claim: Claim, is_newer: bool) -> None:
        match claim.status:
            case Status.ALIVE:
                if is_newer:
                    record.ordinal = claim.ordinal
                    record.zone = claim.zone
                    record.max_protocol = claim.max_protocol
                    self._suspicions.refute(now_ns, record)
            case Status.LEFT:
                self._suspicions.accept_leave(now_ns, record, claim)
            case Status.EVIDENCE:
                self._accept_evidence(now_ns, record, claim)
            case Status.SUSPECT | Status.DEAD:
                self._apply_accusation(now_ns, record, claim, is_newer)

    def _accept_evidence(self, now_ns: int, record: MemberRecord, claim: Claim) -> None:
        if record.status is Status.SUSPECT and claim.sequence > record.sequence:
            record.sequence = claim.sequence
            record.evidence_ns = now_ns
            self._gossip.add(claim)

    def _apply_accusation(
        self, now_ns: int, record: MemberRecord, claim: Claim, is_newer: bool
    ) -> None:
        """Apply a claim that a member is suspected or dead.

        A claim that a member is dead is treated as a suspicion, which the accused member can still
        refute. Otherwise a single member that is faulty, or was paused, could remove any other.
        """
        is_dead = record.status is Status.DEAD
        if self._settings.plain_swim and claim.status is Status.DEAD and not is_dead:
            self._suspicions.remove(now_ns, record, claim.reporter)
        elif record.status is Status.ALIVE:
            self._suspicions.suspect(now_ns, record, claim.reporter)
        elif is_dead and is_newer:
            # The newer incarnation proves that the member came back; it is now suspected again.
            self._suspicions.refute(now_ns, record)
            self._suspicions.suspect(now_ns, record, claim.reporter)
        elif record.status is Status.SUSPECT:
            self._suspicions.confirm(record, claim.reporter)

    def _refute_claim_about_self(self, claim: Claim) -> None:
        """Refute an accusation of this process by raising its incarnation.

        Only claims about the current incarnation are refuted; otherwise old gossip would raise the
        incarnation indefinitely.
        """
        is_accusation = claim.status in (Status.SUSPECT, Status.DEAD)
        if not is_accusation or claim.incarnation < self._own.incarnation or self._own.has_left:
            return
        self._own.raise_incarnation()
        self._table.invalidate_digest()
        self._statistics[Statistic.REFUTED] += 1
        self._health.penalize()
        self._gossip.add(self._own.claim())

    def _add_member(self, now_ns: int, claim: Claim, max_ahead: int) -> None:
        if claim.status is Status.EVIDENCE or claim.member.address == self._own.identity.address:
            return
        if self._table.is_full() or not self._is_new_member_proven(claim, max_ahead):
            self._statistics[Statistic.UNPROVEN] += 1
            return
        record = MemberRecord.from_claim(claim, now_ns)
        self._table.insert(record)
        if not record.is_present():
            return  # The record prevents old gossip from adding the member as alive.
        if claim.status is Status.SUSPECT:
            record.status = Status.ALIVE
        self._table.enter_ping_order(claim.member)
        self._gossip.add(record.claim(Status.ALIVE))
        self._table.record_change(record, "joined")
        if claim.status is Status.SUSPECT:
            self._suspicions.suspect(now_ns, record, claim.reporter)

    def _is_new_member_proven(self, claim: Claim, max_ahead: int) -> bool:
        leave_commitment = _leave_commitment(claim)
        if leave_commitment is None:
            return False
        return is_proven(
            claim.member.boot,
            claim.incarnation,
            claim.incarnation_proof,
            leave_commitment,
            None,
            max_ahead,
        )


def _leave_commitment(claim: Claim) -> bytes | None:
    """Return the leave commitment of a claim; None if its leave secret is too long to hash."""
    if claim.status is not Status.LEFT:
        return claim.leave_proof
    if len(claim.leave_proof) > MAX_LEAVE_SECRET_BYTES:
        return None
    return next_hash(claim.leave_proof)
