"""The requests that a soak's clients record, and the connection that records them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from query_broker.emulator.clients import LENGTH_BYTES, MEMORY_MB, NS_PER_MS
from query_broker.overriding import override
from query_broker.protocols import client_frames as frames

#: A request sent at most this long before the broker closed an idle connection crossed the close on
#: the wire; the client sends it again.
MAX_CROSSING_NS = 50_000_000
#: Stream number of errors that belong to no request.
NO_STREAM = 0


@dataclass(slots=True)
class SentRequest:
    """One request; all times are Unix nanoseconds, 0 while unknown.

    Attributes:
        request_id: The id that the client gave it.
        broker: Number of the broker that it was sent to.
        request_class: Its class.
        effect: Effect of the class, as the platform settings name it.
        timeout_ns: Timeout of the client.
        sent_ns: When its last byte was written.
        idempotency_key: Its idempotency key; empty if it has none.
        codes: The codes of its answers, in order of arrival.
        answered_ns: When the first answer arrived.
        body: The body of the first answer.
        cancelled_ns: When the client cancelled it.
        connection_ended_ns: When its connection ended, if that was before an answer.
        was_reset: Whether that connection was reset.
        crossed_connection_end: Whether all requests that were open at the end of the connection had
            just been sent: the broker saw an idle connection, and the client sends them again.
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
    cancelled_ns: int = 0
    connection_ended_ns: int = 0
    was_reset: bool = False
    crossed_connection_end: bool = False


class RecordingConnection(asyncio.Protocol):
    """A persistent connection of a client that records answers and its own end."""

    def __init__(self) -> None:
        """Create the protocol before its connection is made."""
        self.transport: asyncio.Transport | None = None
        self.open_requests: dict[int, SentRequest] = {}
        self.all_requests: dict[int, SentRequest] = {}
        self.last_stream = 0
        self.unmatched_answers = 0
        self._buffer = bytearray()

    @override
    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection for all open requests."""
        self._end(was_reset=isinstance(exc, ConnectionResetError))
        self.transport = None

    @override
    def eof_received(self) -> bool:
        """Record the end: no further answer can arrive."""
        self._end(was_reset=False)
        return False

    def _end(self, was_reset: bool) -> None:
        now_ns = time.time_ns()
        crossed = all(
            now_ns - request.sent_ns <= MAX_CROSSING_NS for request in self.open_requests.values()
        )
        for request in self.open_requests.values():
            request.crossed_connection_end = crossed
            request.connection_ended_ns = now_ns
            request.was_reset = was_reset
        self.open_requests.clear()

    def is_usable(self) -> bool:
        """Return whether a request may be sent on this connection."""
        if self.transport is None or self.transport.is_closing():
            return False
        return len(self.open_requests) < MAX_OPEN_PER_CONNECTION

    def send(self, request: SentRequest, tenant: str, statement: bytes, work_ms: float) -> None:
        """Send a request and record the time."""
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

    def cancel(self, request: SentRequest) -> None:
        """Cancel a request if it is still open."""
        for stream, open_request in self.open_requests.items():
            if open_request is request and self.transport is not None:
                self.transport.write(frames.frame(frames.ABANDON, stream))
                request.cancelled_ns = time.time_ns()
                del self.open_requests[stream]
                return

    @override
    def data_received(self, data: bytes) -> None:
        """Record each answer that has arrived completely."""
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
            return  # such as "no whole frame in time" on an idle connection
        self.open_requests.pop(stream, None)
        request = self.all_requests.get(stream)
        if request is None:
            self.unmatched_answers += 1
            return
        request.codes.append(payload[0])
        if not request.answered_ns:
            request.answered_ns = time.time_ns()
            request.body = frames.read_fields(payload[1:]).body


#: Maximum number of open requests on one connection; the protocol allows 32.
MAX_OPEN_PER_CONNECTION = 16
