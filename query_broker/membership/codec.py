"""Codec of datagrams and frames: signed by a keyed hash, bounded in size, accepted once.

Rejecting a foreign, truncated, altered or replayed message costs at most one hash, and the message
has no effect. Performs no I/O. The layout is:

    "lm" | protocol | key id | keyed BLAKE2b of all other bytes, 16 bytes | envelope, MessagePack
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field

import msgspec

from .errors import MessageRejectedError, RejectReason
from .keys import KeyRing
from .messages import Claim, Envelope, Identity, Message
from .replay_window import ReplayWindows

MAGIC = b"lm"
PROTOCOL_VERSION = 1
PROTOCOL_OFFSET = 2
KEY_ID_OFFSET = 3
HEADER_BYTES = 4
MAC_BYTES = 16
BODY_OFFSET = HEADER_BYTES + MAC_BYTES
MAX_DATAGRAM_BYTES = 1_400
MAX_FRAME_BYTES = 1 << 20  # over TCP
MAC_PERSON = b"larchhall-peers"


def message_mac(secret: bytes, header: bytes, body: bytes) -> bytes:
    """Return the keyed hash of a message."""
    return hashlib.blake2b(
        header + body, key=secret, digest_size=MAC_BYTES, person=MAC_PERSON
    ).digest()


@dataclass(slots=True)
class Codec:
    """Writes and reads the messages of one member.

    Attributes:
        installation: Name of the installation; messages of other installations are rejected.
        key_ring: Keys in force; replaced when the key file is read again.
        protocol: Newest protocol version that this process supports.
        sequence: Sequence number of the last message written.
        replay_windows: Received sequence numbers of each sender.
        dropped: Rejected messages by reason.
        accepted_by_key: Accepted messages by key id.
    """

    installation: str
    key_ring: KeyRing
    protocol: int = PROTOCOL_VERSION
    sequence: int = 0
    replay_windows: ReplayWindows = field(default_factory=ReplayWindows)
    dropped: dict[str, int] = field(default_factory=dict)
    accepted_by_key: dict[int, int] = field(default_factory=dict)
    encoder: msgspec.msgpack.Encoder = field(default_factory=msgspec.msgpack.Encoder)
    decoder: msgspec.msgpack.Decoder[Envelope] = field(
        default_factory=lambda: msgspec.msgpack.Decoder(Envelope)
    )

    def write(
        self,
        recipient: Identity,
        sender: Claim,
        message: Message,
        recipient_protocol: int = PROTOCOL_VERSION,
    ) -> bytes:
        """Encode and sign a message.

        Args:
            recipient: The process that the message is addressed to.
            sender: The sender's own claim.
            message: The message.
            recipient_protocol: Newest protocol version that the recipient supports; the message is
                written in the older of both sides' versions.
        """
        self.sequence += 1
        envelope = Envelope(self.installation, recipient.boot, self.sequence, sender, message)
        body = self.encoder.encode(envelope)
        key = self.key_ring.signing_key
        protocol = min(self.protocol, max(1, recipient_protocol))
        header = MAGIC + bytes((protocol, key.key_id))
        return header + message_mac(key.secret, header, body) + body

    def read(self, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> Envelope:
        """Verify and decode a message, and count it.

        Raises:
            MessageRejectedError: The data is not a new message of a member of this installation.
        """
        try:
            return self._read(data, max_bytes)
        except MessageRejectedError as error:
            self.dropped[error.reason.value] = self.dropped.get(error.reason.value, 0) + 1
            raise

    def _read(self, data: bytes, max_bytes: int) -> Envelope:
        self._check_header(data, max_bytes)
        key_id = data[KEY_ID_OFFSET]
        envelope = self._decode(self._verified_body(data))
        if envelope.installation != self.installation:
            raise MessageRejectedError(RejectReason.INSTALLATION)
        if not self.replay_windows.accept(envelope.sender.member, envelope.sequence):
            raise MessageRejectedError(RejectReason.REPLAYED)
        self.accepted_by_key[key_id] = self.accepted_by_key.get(key_id, 0) + 1
        return envelope

    def _check_header(self, data: bytes, max_bytes: int) -> None:
        if len(data) > max_bytes:
            raise MessageRejectedError(RejectReason.OVERSIZED)
        if len(data) < BODY_OFFSET or data[: len(MAGIC)] != MAGIC:
            raise MessageRejectedError(RejectReason.FOREIGN)
        if not 1 <= data[PROTOCOL_OFFSET] <= self.protocol:
            raise MessageRejectedError(RejectReason.PROTOCOL)

    def _verified_body(self, data: bytes) -> bytes:
        header = data[:HEADER_BYTES]
        mac = data[HEADER_BYTES:BODY_OFFSET]
        body = data[BODY_OFFSET:]
        secret = self.key_ring.find(data[KEY_ID_OFFSET])
        if secret is None:
            raise MessageRejectedError(RejectReason.KEY)
        if not hmac.compare_digest(message_mac(secret, header, body), mac):
            raise MessageRejectedError(RejectReason.FORGED)
        return body

    def _decode(self, body: bytes) -> Envelope:
        try:
            return self.decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            # A message kind of a later version, or malformed data signed with a valid key.
            raise MessageRejectedError(RejectReason.UNKNOWN) from None


def peek_sender(data: bytes) -> str:
    """Return the sender's address in a message without verifying it; empty if there is none.

    Emulated links use it to identify the sender of a datagram.
    """
    try:
        envelope: Envelope = msgspec.msgpack.Decoder(Envelope).decode(data[BODY_OFFSET:])
    except msgspec.MsgspecError:
        return ""
    return envelope.sender.member.address
