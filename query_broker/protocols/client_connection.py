"""One client connection in the binary protocol.

Its parts: `ClientReader` handles frames in turns and applies backpressure, `OpenRequests` submits
and cancels requests, `ClientTimeouts` ends idle connections, `ClientSocket` writes.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from ..deadlines.settings import HalfClosePolicy
from ..overriding import override
from . import client_frames as frames
from .client_reader import ClientReader, ReadingHost, ReadingLimits
from .client_requests import OpenRequests
from .client_socket import ClientSocket
from .client_timeouts import ClientTimeouts

# The stream of frames that belong to no request.
NO_STREAM = 0


class ClientHost(ReadingHost, Protocol):
    """The side of the broker that admits clients."""

    def admit(self, connection: ClientConnection) -> bool:
        """Admit a new connection, or return False if there is no capacity for it."""

    def release(self, connection: ClientConnection) -> None:
        """Record that a connection is lost."""


class LostConnection:
    """Null object that replaces the connection in the parts of a lost connection.

    The parts and the connection refer to each other. Without the replacement, only the cyclic
    garbage collector would free them, and thousands of lost connections would stay in memory until
    it runs.
    """

    broken = True
    has_sent_frame = True
    last_used_ns = 0
    paused_since_ns = 0

    def end_with_error(self, reason: str) -> None:
        """Do nothing: the connection has ended."""

    def close(self) -> None:
        """Do nothing: the connection has ended."""

    def drop(self) -> None:
        """Do nothing: the connection has ended."""

    def served(self, stream: int, body: bytes) -> None:
        """Drop the answer: its client has disconnected."""

    def rejected(self, stream: int, retry_after_ms: int) -> None:
        """Drop the answer: its client has disconnected."""

    def failed(self, stream: int, reason: str) -> None:
        """Drop the answer: its client has disconnected."""

    def unread_bytes(self) -> int:
        """Return 0: no answer waits to be read."""
        return 0


LOST_CONNECTION = LostConnection()


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection.

    No callback raises an exception.

    Attributes:
        transport: None before the connection is established and after it is lost.
        broken: Whether no further request is read, since the connection is about to end.
        half_closed: Whether the client has ended its side and waits for its answers.
        has_sent_frame: Whether the client has sent a complete frame.
        last_used_ns: When something was last received or answered.
        paused_since_ns: When writing was paused because the client reads its answers too slowly; 0
            while writing is not paused.
        open_requests: The unanswered requests, by stream.
    """

    def __init__(self, host: ClientHost, limits: ReadingLimits | None = None) -> None:
        """Create the protocol object of a connection that is being accepted.

        Args:
            host: Admits clients.
            limits: Limits in addition to the connection's own, such as those of a cell, if any.
        """
        self.host = host
        self.transport: asyncio.Transport | None = None
        self.broken = False
        self.half_closed = False
        self.has_sent_frame = False
        self.last_used_ns = host.dispatcher.now()
        self.paused_since_ns = 0
        self.socket = ClientSocket()
        self.requests = OpenRequests(host, self)
        self.open_requests = self.requests.by_stream
        self.reader = ClientReader(host, self, self.requests, self.socket, limits)
        self.timeouts = ClientTimeouts(host, self, self.reader, self.socket)

    # Called by the transport.

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the client, or end the connection if it is not admitted."""
        self.transport = cast(asyncio.Transport, transport)
        self.socket.attach(self.transport)
        if self.host.admit(self):
            self.timeouts.start()
        else:
            self.broken = True
            self.transport.abort()

    @override
    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read: the smaller it is, the less must be kept."""
        return self.host.partial_frames.read_buffer(self.reader)

    @override
    def buffer_updated(self, nbytes: int) -> None:
        """Read the bytes that have been received into the buffer."""
        self.data_received(self.host.partial_frames.received_bytes(nbytes))

    def data_received(self, data: bytes | memoryview) -> None:
        """Read the bytes, or discard them if the connection is broken."""
        if self.broken:
            self.socket.discard(len(data))
            return
        self.last_used_ns = self.host.dispatcher.now()
        self.reader.receive(data)

    @override
    def eof_received(self) -> bool:
        """Handle the client's half-close: cancel its requests, or wait for their answers.

        If the half-close policy lets the client wait for its answers, the connection stays open
        until the last answer, unless an incomplete frame is left, which can no longer become
        complete.
        """
        frames_wait = self.reader.waiting or self.paused_since_ns
        has_partial_frame = self.reader.parser.buffered_bytes() and not frames_wait
        policy = self.host.dispatcher.deadline_controls.settings.half_close
        if policy is HalfClosePolicy.CLIENT_LEFT or self.broken or has_partial_frame:
            # While answers are unread, the transport reports the loss only after they are read.
            self.broken = True
            self.requests.cancel_all()
            return False
        self.half_closed = True
        if not self.reader.has_work():
            self.close()
        return True

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        """Release the resources of the connection, and cancel its requests."""
        self.broken = True
        self.transport = None
        self.socket.detach()
        self.reader.clear()
        self.timeouts.stop()
        self.host.release(self)
        self.requests.cancel_all()
        self.reader.connection = LOST_CONNECTION
        self.reader.limits = None  # a cell's limits refer to the connection too
        self.timeouts.connection = LOST_CONNECTION
        self.requests.client = LOST_CONNECTION

    @override
    def pause_writing(self) -> None:
        """Stop taking requests; the client's frames are read only to find cancellations.

        The answers to a client that sends requests and does not read would fill the memory.
        """
        self.paused_since_ns = self.host.dispatcher.now()
        self.reader.pause_or_resume_reading()

    @override
    def resume_writing(self) -> None:
        """Take requests again."""
        self.paused_since_ns = 0
        self.reader.resume_writing()

    # Called by the dispatcher.

    def served(self, stream: int, body: bytes) -> None:
        """Answer a request with its result."""
        self._answer(stream, frames.answer(stream, frames.SERVED, {}, body))

    def rejected(self, stream: int, retry_after_ms: int) -> None:
        """Reject a request; the client may retry it after ``retry_after_ms``."""
        self._answer(stream, frames.rejection(stream, retry_after_ms))

    def failed(self, stream: int, reason: str) -> None:
        """Answer a request that has failed."""
        self._answer(stream, frames.answer(stream, frames.FAILED, {}, reason.encode()))

    def _answer(self, stream: int, data: bytes) -> None:
        """Write an answer: one write of one complete frame.

        The idle timeout counts from the answer: if it counted from the request, the connection
        could end right after a late answer.
        """
        self.open_requests.pop(stream, None)
        self.last_used_ns = self.host.dispatcher.now()
        self.socket.write(data)
        if self.half_closed and not self.reader.has_work():
            self.close()

    # Called by the host.

    def announce_shutdown(self) -> None:
        """Tell the client to send no new requests on this connection."""
        self.socket.write(frames.frame(frames.NO_MORE, NO_STREAM))

    def defer_reading(self) -> None:
        """Handle no frames until `resume_reading` is called."""
        self.reader.waiting = True

    def resume_reading(self) -> None:
        """Handle the frames that wait."""
        if not self.broken:
            self.reader.resume()

    def idle(self) -> bool:
        """Return whether no request is open and no answer waits to be read."""
        return not self.open_requests and self.unread_bytes() == 0

    def unread_bytes(self) -> int:
        """Return how many bytes of answers wait for the client to read."""
        return self.socket.unread_bytes()

    def has_unread_input(self) -> bool:
        """Return whether the client has sent bytes that this process has not read yet.

        False if the connection is broken, since further input is discarded, and if it is
        half-closed: its end of stream stays readable, but is no input.
        """
        return not (self.broken or self.half_closed) and self.socket.has_input()

    def close(self) -> None:
        """End an idle connection after its written data has been sent."""
        self.broken = True
        self.socket.close()

    def drop(self) -> None:
        """End the connection at once."""
        self.socket.abort()

    def end_with_error(self, reason: str) -> None:
        """End the connection with an error that belongs to no request.

        No further frames are read. The open requests are answered first.
        """
        dispatcher = self.host.dispatcher
        dispatcher.log("client", f"ending the connection: {reason}")
        self.broken = True
        for stream in self.requests.being_submitted():  # the error occurred while submitting them
            self.failed(stream, reason)
        dispatcher.cancellations.close_out(self.requests.submitted())
        self.socket.write(frames.answer(NO_STREAM, frames.FAILED, {}, reason.encode()))
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Half-close the connection, and discard further input until a timeout.

        Closing a socket with unread bytes resets the connection, and the client could lose the last
        bytes written to it.
        """
        self.broken = True
        self.reader.clear()
        self.requests.cancel_all()
        self.timeouts.stop()
        if self.socket.end_output():
            self.timeouts.drop_after_linger()
