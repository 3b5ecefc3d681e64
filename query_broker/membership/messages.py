"""Messages that members exchange, and their form on the wire.

Every message is a MessagePack array: field names are not on the wire and may change, the order of
the fields must not. An earlier version skips fields that a later version appends, and drops and
counts messages of an unknown kind.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

CLAIM_FIXED_BYTES = 70  # upper bound of a claim's encoded size without its strings
MAX_UTF8_BYTES = 4


class Status(IntEnum):
    """Status of a member; the number is sent on the wire."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
    EVIDENCE = 4  # not a member's status: evidence that a suspect has sent a message


class Identity(NamedTuple):
    """Identity of one process; successive processes at one address have different identities.

    Attributes:
        address: `host:port` that the process advertises.
        boot: Identifier derived from secrets that the process draws at its start
            (`incarnations.py`).
    """

    address: str
    boot: bytes


class Claim(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A statement about one member, sent in gossip and in tables.

    Attributes:
        member: The member that the claim is about.
        incarnation: Its incarnation number (SWIM, section 4.2).
        status: The claimed status.
        incarnation_proof: Hash that proves the incarnation.
        leave_proof: Commitment to the leave secret; with status LEFT, the secret itself.
        reporter: Address of the member that reported a suspicion or removal; else empty.
        ordinal: The member's configured index among the brokers.
        zone: The member's zone.
        max_protocol: Newest protocol version that the member supports.
        sequence: With status EVIDENCE, the sequence number of the member's newest known message.
    """

    member: Identity
    incarnation: int
    status: Status
    incarnation_proof: bytes
    leave_proof: bytes
    reporter: str = ""
    ordinal: int = 0
    zone: str = ""
    max_protocol: int = 1
    sequence: int = 0

    def max_encoded_bytes(self) -> int:
        """Return an upper bound of the claim's size on the wire."""
        texts_bytes = len(self.member.address) + len(self.reporter)
        return CLAIM_FIXED_BYTES + texts_bytes + MAX_UTF8_BYTES * len(self.zone)


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A request for an `Ack`.

    Attributes:
        ping_id: Random number that the ack repeats.
        on_behalf_of: Address of the member that requested an indirect ping; else empty.
        claims: Piggybacked gossip.
    """

    ping_id: int
    on_behalf_of: str = ""
    claims: tuple[Claim, ...] = ()


class IndirectPing(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A request to ping the target for the sender (SWIM's ping-req)."""

    ping_id: int
    target: Identity
    claims: tuple[Claim, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The answer to a `Ping`.

    Attributes:
        ping_id: The id of the ping.
        responder: The process that was pinged.
        last_message_age_ms: Time since the responder last received a message of the member on
            whose behalf it was pinged; -1 if it has received none.
        digest: Digest of the view of the ack's sender.
        claims: Piggybacked gossip.
    """

    ping_id: int
    responder: Identity
    last_message_age_ms: int = -1
    digest: bytes = b""
    claims: tuple[Claim, ...] = ()


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A helper's report that the target of an indirect ping has not answered (Lifeguard, IV.A)."""

    ping_id: int


class Sync(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """One message of the table exchange over TCP.

    Attributes:
        digest: Digest of the sender's view.
        is_request: Whether the receiver answers with its table if its digest differs.
        claims: The sender's complete table, or empty.
    """

    digest: bytes
    is_request: bool
    claims: tuple[Claim, ...] = ()


class TopicMessage(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """A message of a subsystem that uses the membership for transport, such as quotas."""

    topic: str
    payload: bytes


Message = Ping | IndirectPing | Ack | Nack | Sync | TopicMessage


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What the codec signs and sends.

    Attributes:
        installation: Name of the sender's installation.
        recipient_boot: Boot identifier of the process that is addressed, so that a later process
            at the same address does not take the message for its own; empty for any process at
            the address.
        sequence: Number that increases with each message of the sender.
        sender: The sender's claim about itself: alive, or left.
        message: The message itself.
    """

    installation: str
    recipient_boot: bytes
    sequence: int
    sender: Claim
    message: Message


def process_name(identity: Identity) -> str:
    """Return the name `address/boot` by which other subsystems refer to a process."""
    return f"{identity.address}/{identity.boot.hex()}"
