"""What the clients of a soak record, and the connection that records it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from query_broker.emulator.clients import LENGTH_BYTES, MEMORY_MB, NS_PER_MS
from query_broker.protocols import client_frames as frames

#: A request that crosses the end of a connection without open requests within this time is sent
#: once more by its client.
CROSSING_NS = 50_000_000
#: The stream of errors that belong to no request.
NO_STREAM = 0


@dataclass(slots=True)
class SentRequest:
    """One request; all times are Unix nanoseconds, 0 while they are not known.

    Attributes:
        request_id: The id that the client gave it.
        broker: Number of the broker that it was sent to.
        request_class: Its class.
        effect: Effect of the class, in the word of the platform's settings.
        timeout_ns: How long the client waits.
        sent_ns: When its last byte was written.
        idempotency_key: Its key; empty without one.
        codes: The codes of its answers, in the order in which they came.
        answered_ns: When the first answer came.
        body: The body of the first answer.
        abandoned_ns: When the client cancelled it.
        connection_ended_ns: When its connection ended before an answer.
        was_reset: Whether that end was a reset.
        crossed_end: Whether every request that was open on the connection at its end had been sent
            just before: it was idle for the broker, and the client sends them once more.
    """

    request_id: str
    broker: int
    request_class: str
    effect: str
    timeout_ns: int
    sent_ns: int = 0
    idempotency_key: str = ""
    codes: list[int] = field(default_factory=list)
    answered_ns: int = 0
    body: bytes = b""
    abandoned_ns: int = 0
    connection_ended_ns: int = 0
    was_reset: bool = False
    crossed_end: bool = False


class RecordingConnection(asyncio.Protocol):
    """One connection of a client, which is used for as long as it is open."""

    def __init__(self) -> None:
        """Create the protocol of a connection that is not made yet."""
        self.transport: asyncio.Transport | None = None
        self.open_requests: dict[int, SentRequest] = {}
        self.all_requests: dict[int, SentRequest] = {}
        self.last_stream = 0
        self.unmatched_answers = 0
        self._buffer = bytearray()

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end for what is open."""
        self._end(was_reset=isinstance(exc, ConnectionResetError))
        self.transport = None

    def eof_received(self) -> bool:
        """Record the end: nothing more can be answered."""
        self._end(was_reset=False)
        return False

    def _end(self, was_reset: bool) -> None:
        now_ns = time.time_ns()
        crossed = all(
            now_ns - request.sent_ns <= CROSSING_NS for request in self.open_requests.values()
        )
        for request in self.open_requests.values():
            request.crossed_end = crossed
            request.connection_ended_ns = now_ns
            request.was_reset = was_reset
        self.open_requests.clear()

    def is_usable(self) -> bool:
        """Return whether a request may be sent here."""
        if self.transport is None or self.transport.is_closing():
            return False
        return len(self.open_requests) < MAX_OPEN_PER_CONNECTION

    def send(self, request: SentRequest, tenant: str, statement: bytes, work_ms: float) -> None:
        """Send a request and record when."""
        assert self.transport is not None
        self.last_stream += 1
        self.open_requests[self.last_stream] = request
        self.all_requests[self.last_stream] = request
        fields = {
            "route": request.request_class,
            "trace": request.request_id,
            "patience": str(request.timeout_ns // NS_PER_MS),
            "weight": f"{work_ms:.1f}",
            "ram": str(MEMORY_MB),
        }
        if tenant:
            fields["customer"] = tenant
        if request.idempotency_key:
            fields["nonce"] = request.idempotency_key
        payload = frames.write_fields(fields) + statement
        self.transport.write(frames.frame(frames.REQUEST, self.last_stream, payload))
        request.sent_ns = time.time_ns()

    def abandon(self, request: SentRequest) -> None:
        """Cancel a request that is still open."""
        for stream, other in self.open_requests.items():
            if other is request and self.transport is not None:
                self.transport.write(frames.frame(frames.ABANDON, stream))
                request.abandoned_ns = time.time_ns()
                del self.open_requests[stream]
                return

    def data_received(self, data: bytes) -> None:
        """Record the answers that are complete."""
        self._buffer += data
        while len(self._buffer) >= frames.HEAD.size:
            end = LENGTH_BYTES + int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if len(self._buffer) < end:
                return
            _, kind, stream = frames.HEAD.unpack_from(self._buffer)
            payload = bytes(self._buffer[frames.HEAD.size : end])
            del self._buffer[:end]
            if kind == frames.ANSWER:
                self._record_answer(stream, payload)

    def _record_answer(self, stream: int, payload: bytes) -> None:
        if stream == NO_STREAM:
            return  # such as "no whole frame in time" on a connection that is not used
        self.open_requests.pop(stream, None)
        request = self.all_requests.get(stream)
        if request is None:
            self.unmatched_answers += 1
            return
        request.codes.append(payload[0])
        if not request.answered_ns:
            request.answered_ns = time.time_ns()
            request.body = frames.read_fields(payload[1:]).body


#: Requests in flight on one connection; the protocol allows 32.
MAX_OPEN_PER_CONNECTION = 16
