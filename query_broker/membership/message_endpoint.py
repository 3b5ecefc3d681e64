"""What the endpoints of UDP and TCP share: they encode and decode messages, and count the bytes."""

from __future__ import annotations

from .codec import MAX_DATAGRAM_BYTES, PROTOCOL_VERSION, Codec
from .failure_detector import FailureDetector
from .messages import Envelope, Identity, Message
from .service_host import ServiceHost
from .traffic import TrafficCounters


class MessageEndpoint:
    """One transport of the membership's messages. It performs no I/O; a subclass does."""

    def __init__(
        self,
        detector: FailureDetector,
        codec: Codec,
        traffic: TrafficCounters,
        host: ServiceHost,
    ) -> None:
        """Take the failure detector, which the messages are for, and the service around it."""
        self._detector = detector
        self._codec = codec
        self._traffic = traffic
        self._host = host

    def _encode(
        self, recipient: Identity, message: Message, recipient_protocol: int = PROTOCOL_VERSION
    ) -> bytes:
        """Encode and sign a message with this member's own claim, and count its bytes as sent."""
        own_claim = self._detector.own.claim()
        data = self._codec.write(recipient, own_claim, message, recipient_protocol)
        self._traffic.sent_bytes += len(data)
        return data

    def _decode(self, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> Envelope:
        """Count received bytes, and verify and decode the message.

        Raises:
            MessageRejectedError: It is no new message of a member of this installation.
        """
        self._traffic.received_bytes += len(data)
        return self._codec.read(data, max_bytes)
