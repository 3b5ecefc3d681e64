"""UDP transport of the membership messages."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from typing import Protocol

from ..overriding import override
from .addresses import MAX_LOGGED_ADDRESS_CHARACTERS, split_address
from .codec import PROTOCOL_VERSION
from .errors import MessageRejectedError
from .message_exchange import MessageExchange
from .messages import Envelope, TopicMessage, process_name
from .messenger import OutgoingMessage
from .rate_limit import DatagramRateLimiter


class TopicHandler(Protocol):
    """Receives the messages of a topic; may raise an exception on a malformed message."""

    def __call__(self, now_ns: int, sender: str, payload: bytes, /) -> None:
        """Process a message of the member with the given process name."""


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Receives datagrams for the failure detector and sends its messages.

    Attributes:
        rate_limiter: Limits the datagrams that are processed.
    """

    def __init__(self, messages: MessageExchange) -> None:
        """Start without a socket; messages are dropped until `open`."""
        self._messages = messages
        self._detector = messages.detector
        self._host = messages.host
        self._topics: dict[str, TopicHandler] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.rate_limiter = DatagramRateLimiter(messages.host.now_ns())

    async def open(self, udp: socket.socket) -> None:
        """Receive and send on a bound socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=udp)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def subscribe(self, topic: str, handler: TopicHandler) -> None:
        """Register the handler of a topic's messages."""
        self._topics[topic] = handler

    @override
    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram unless the rate limit is exceeded."""
        now_ns = self._host.now_ns()
        try:
            if not self.rate_limiter.admit(now_ns, f"{addr[0]}:{addr[1]}"):
                self._messages.traffic.rate_limited_datagrams += 1
                return
            self._deliver(now_ns, self._messages.decode(data))
        except MessageRejectedError:
            return
        except Exception as error:  # A datagram must not raise out of the callback.
            self._host.log(f"processing a datagram failed: {type(error).__name__}: {error}")
        self._host.carry_out(now_ns)

    @override
    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error; the datagram counts as lost."""

    def send_all(self, messages: Iterable[OutgoingMessage]) -> None:
        """Send messages; a failure to send one is logged and the others are still sent."""
        for recipient, message in messages:
            record = self._detector.table.get(recipient)
            protocol = PROTOCOL_VERSION if record is None else record.max_protocol
            self._send(recipient.address, self._messages.encode(recipient, message, protocol))

    def _send(self, address: str, data: bytes) -> None:
        if self._transport is None:
            return
        try:
            self._transport.sendto(data, split_address(address))
        except (OSError, ValueError, RuntimeError) as error:
            self._host.log(f"sending to {address[:MAX_LOGGED_ADDRESS_CHARACTERS]} failed: {error}")

    def _deliver(self, now_ns: int, envelope: Envelope) -> None:
        sender = envelope.sender
        message = envelope.message
        self._detector.receive(now_ns, envelope.recipient_boot, envelope.sequence, sender, message)
        is_for_this_process = envelope.recipient_boot == self._detector.me.boot
        if not isinstance(message, TopicMessage) or not is_for_this_process:
            return
        handler = self._topics.get(message.topic)
        if handler is not None and self._detector.table.get(sender.member) is not None:
            handler(now_ns, process_name(sender.member), message.payload)
