"""Encodes, decodes and counts messages between the transports and the failure detector."""

from __future__ import annotations

from dataclasses import dataclass

from .codec import MAX_DATAGRAM_BYTES, PROTOCOL_VERSION, Codec
from .failure_detector import FailureDetector
from .messages import Envelope, Identity, Message
from .service_host import ServiceHost
from .traffic import TrafficCounters


@dataclass(frozen=True, slots=True)
class MessageExchange:
    """The codec and the failure detector as the transports share them; performs no I/O.

    Attributes:
        detector: The failure detector, which receives and sends the messages.
        codec: Codec of all messages.
        traffic: Counters of bytes and datagrams.
        host: The service that owns the transports.
    """

    detector: FailureDetector
    codec: Codec
    traffic: TrafficCounters
    host: ServiceHost

    def encode(
        self, recipient: Identity, message: Message, recipient_protocol: int = PROTOCOL_VERSION
    ) -> bytes:
        """Encode and sign a message with this member's own claim, and count its bytes as sent."""
        own_claim = self.detector.own.claim()
        data = self.codec.write(recipient, own_claim, message, recipient_protocol)
        self.traffic.sent_bytes += len(data)
        return data

    def decode(self, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> Envelope:
        """Count received bytes, and verify and decode the message.

        Raises:
            MessageRejectedError: The data is not a new message of a member of this installation.
        """
        self.traffic.received_bytes += len(data)
        return self.codec.read(data, max_bytes)
