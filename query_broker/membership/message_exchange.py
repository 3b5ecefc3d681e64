"""Between a transport and the failure detector: messages are encoded, decoded and counted here."""

from __future__ import annotations

from dataclasses import dataclass

from .codec import MAX_DATAGRAM_BYTES, PROTOCOL_VERSION, Codec
from .failure_detector import FailureDetector
from .messages import Envelope, Identity, Message
from .service_host import ServiceHost
from .traffic import TrafficCounters


@dataclass(frozen=True, slots=True)
class MessageExchange:
    """What every transport of the membership's messages needs; it performs no I/O.

    Attributes:
        detector: Whom the messages are for, and who writes them.
        codec: Codec of all messages.
        traffic: Counts bytes and datagrams.
        host: The service around it.
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
            MessageRejectedError: It is no new message of a member of this installation.
        """
        self.traffic.received_bytes += len(data)
        return self.codec.read(data, max_bytes)
