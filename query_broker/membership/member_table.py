"""The table of all known members, the order in which they are pinged, and their changes.

Performs no I/O.
"""

from __future__ import annotations

import hashlib
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .member_record import MemberRecord
from .messages import Claim, Identity, Status
from .own_member import OwnMember

MAX_MEMBERS = 4_096
DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member's new status, with a reason for the log."""

    member: Identity
    status: Status
    reason: str


class MemberTable:
    """All other known members, present or not.

    Attributes:
        records: The members by identity.
        ping_order: Present members in the shuffled order in which they are pinged (SWIM, section
            4.3).
        size: Number of present members, including this process.
        changes: Status changes that the caller has not fetched yet.
    """

    def __init__(self, own: OwnMember, draw: random.Random) -> None:
        """Start with no other member."""
        self._own = own
        self._draw = draw
        self._digest: bytes | None = None
        self.records: dict[Identity, MemberRecord] = {}
        self.ping_order: deque[Identity] = deque()
        self.size = 1
        self.changes: list[MemberChange] = []

    def get(self, identity: Identity) -> MemberRecord | None:
        """Return a member's record, or None if it is unknown."""
        return self.records.get(identity)

    def is_full(self) -> bool:
        """Return whether no further member is accepted."""
        return len(self.records) >= MAX_MEMBERS

    def present(self) -> list[Identity]:
        """Return the other members that are alive or suspected."""
        return [record.identity for record in self.records.values() if record.is_present()]

    def alive_records(self) -> list[MemberRecord]:
        """Return the records of members that are not suspected."""
        return [record for record in self.records.values() if record.status is Status.ALIVE]

    def digest(self) -> bytes:
        """Return the digest of the present members, including this process unless it has left."""
        if self._digest is None:
            own = [] if self._own.has_left else [self._own.identity]
            self._digest = view_digest([*self.present(), *own])
        return self._digest

    def invalidate_digest(self) -> None:
        """Discard the cached digest after a change of this process's identity or status."""
        self._digest = None

    def insert(self, record: MemberRecord) -> None:
        """Add a member without recording a change."""
        self.records[record.identity] = record

    def enter_ping_order(self, identity: Identity) -> None:
        """Insert a member at a random position in the ping order."""
        position = self._draw.randrange(len(self.ping_order) + 1)
        self.ping_order.insert(position, identity)

    def next_to_ping(self) -> Identity | None:
        """Return the next present member in ping order, or None if there is none."""
        for _ in range(len(self.ping_order)):
            identity = self.ping_order.popleft()
            record = self.records.get(identity)
            if record is None or not record.is_present():
                continue
            self.ping_order.append(identity)
            return identity
        return None

    def set_status(self, now_ns: int, record: MemberRecord, status: Status, reason: str) -> None:
        """Change a member's status and record the change."""
        was_present = record.is_present()
        record.status = status
        record.status_since_ns = now_ns
        if record.is_present() and not was_present:
            self.enter_ping_order(record.identity)
        self.record_change(record, reason)

    def record_change(self, record: MemberRecord, reason: str) -> None:
        """Queue a change for the caller and update the number of present members."""
        self._digest = None
        self.size = 1 + sum(other.is_present() for other in self.records.values())
        self.changes.append(MemberChange(record.identity, record.status, reason))

    def take_changes(self) -> list[MemberChange]:
        """Return the changes since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def forget_older_than(self, now_ns: int, age_ns: int) -> None:
        """Delete the records of members that have been dead or left for longer than the age."""
        absent = [record for record in self.records.values() if not record.is_present()]
        for record in absent:
            if now_ns - record.status_since_ns > age_ns:
                del self.records[record.identity]

    def preload(self, claims: Iterable[Claim]) -> None:
        """Fill the table with members that count as known since time 0; for simulations."""
        for claim in claims:
            self.insert(MemberRecord.from_claim(claim, 0))
            self.ping_order.append(claim.member)
        self._draw.shuffle(self.ping_order)
        self.size = 1 + len(self.records)


def view_digest(members: list[Identity]) -> bytes:
    """Return a digest of a set of members; equal digests mean equal sets."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for address, boot in sorted(members):
        hasher.update(address.encode() + b"/" + boot)
    return hasher.digest()
