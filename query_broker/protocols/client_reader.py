"""Reading one client connection: turns, backpressure, and the bound of incomplete frames."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..deadlines.settings import HalfClosePolicy
from . import client_frames as frames
from .client_lookahead import CancellationLookahead
from .client_requests import DispatcherHost, OpenRequests
from .client_socket import ClientSocket

# Frames that one connection may take in a turn, before the other connections have theirs.
FRAMES_PER_TURN = 32
# What may be read ahead, in search of cancellations, while earlier frames wait.
MAX_READ_AHEAD_BYTES = 64 * 1024
# Divides the memory for incomplete frames: past this part of it no connection reads ahead.
READ_AHEAD_DIVISOR = 2
NO_CAPACITY = "no memory left for incomplete frames"


class ReadingHost(DispatcherHost, Protocol):
    """What a reader needs of the side that admits clients.

    ``partial_frame_bytes``: bytes of incomplete frames on all connections.
    """

    partial_frame_bytes: int

    def ready(self) -> bool:
        """Return whether requests are served: the answer to a client's health check."""


class ReadingConnection(Protocol):
    """The state of the connection that a reader reads and sets."""

    broken: bool
    has_sent_frame: bool
    last_used_ns: int
    paused_since_ns: int

    def break_off(self, reason: str) -> None:
        """End the connection with an error that belongs to no request."""

    def drop(self) -> None:
        """End the connection at once."""


class ReadingLimits(Protocol):
    """Limits beyond those of the connection itself, such as a cell's."""

    def begin_turn(self) -> bool:
        """Return whether a turn may begin now; if not, the connection is resumed later."""

    def end_turn(self) -> None:
        """End the turn that `begin_turn` allowed."""

    def may_buffer(self, size_bytes: int) -> bool:
        """Return whether the connection may hold so many bytes of incomplete frames."""


class ClientReader:
    """Takes frames in turns, and reads no more than it can use.

    Attributes:
        waiting: Complete frames wait for this connection's next turn.
        unreadable: So much waits that nothing more is read, so that no cancellation is seen.
        frame_begun_ns: When the first byte of the frame that is incomplete now came.
        received_ns: When the first byte of the frame that was taken last came.
        partial_frame_bytes: Bytes that have come of frames not taken yet; part of the host's sum.
    """

    def __init__(
        self,
        host: ReadingHost,
        connection: ReadingConnection,
        requests: OpenRequests,
        client_socket: ClientSocket,
        limits: ReadingLimits | None,
    ) -> None:
        """Take the connection's other parts, and the limits beyond its own, if any."""
        self.host = host
        self.connection = connection
        self.requests = requests
        self.socket = client_socket
        self.limits = limits
        self.parser = frames.FrameParser()
        self.lookahead = CancellationLookahead(self.parser, requests)
        self.frame_begun_ns = connection.last_used_ns
        self.received_ns = connection.last_used_ns
        self.partial_frame_bytes = 0
        self.waiting = False
        self.unreadable = False

    def receive(self, data: bytes) -> None:
        """Take bytes, which have come now."""
        if not self.parser.buffered_bytes():
            self.frame_begun_ns = self.connection.last_used_ns
        self.parser.feed(data)
        if self.waiting:
            self.look_ahead()
        else:
            self.read_turn()
        self.account_partial_frames()
        if (
            self.host.partial_frame_bytes > self.host.dispatcher.statement_capacity_bytes
            and not self.connection.broken
        ):
            self.connection.break_off(NO_CAPACITY)

    def account_partial_frames(self) -> None:
        """Account for the bytes in the parser, and end the connection if they are too many."""
        buffered = self.parser.buffered_bytes()
        self.host.partial_frame_bytes += buffered - self.partial_frame_bytes
        self.partial_frame_bytes = buffered
        if self.limits is None:
            return
        if not self.limits.may_buffer(buffered) and not self.connection.broken:
            self.connection.break_off(NO_CAPACITY)

    def clear(self) -> None:
        """Drop what is in the parser."""
        self.parser.clear()
        self.account_partial_frames()

    def has_work(self) -> bool:
        """Return whether an answer is owed, or bytes wait to be taken."""
        return bool(self.requests.by_stream) or self.parser.buffered_bytes() > 0

    # --- turns ---

    def read_turn(self) -> None:
        """Take the frames of one turn.

        One chunk of bytes can hold 25,000 frames; without turns all other connections would wait
        until the last of them is answered.
        """
        if self.limits is None:
            self._take_turn()
        elif self.limits.begin_turn():
            self._take_turn()
            self.limits.end_turn()
        else:
            self.waiting = True
            self.read_if_wanted()

    def resume(self) -> None:
        """Take the next turn."""
        self.read_turn()
        self.read_if_wanted()

    def resume_writing(self) -> None:
        """Resume after the client has read its answers."""
        if not self.waiting:
            self.read_turn()
        self.read_if_wanted()
        self.account_partial_frames()

    def _take_turn(self) -> None:
        self.waiting = False
        try:
            more_may_wait = self._take_frames()
        except frames.MalformedFrameError as error:
            self.connection.break_off(str(error))
        except Exception as error:  # no input may raise out of a callback
            self._break_off_after_fault(error)
        else:
            if more_may_wait:
                self.waiting = True
                self.look_ahead()
                asyncio.get_running_loop().call_soon(self.resume)

    def _take_frames(self) -> bool:
        """Take frames; return whether the turn ended before they did."""
        # After a stall of this process a request and its cancellation come in one chunk.
        if self.parser.holds_more_than_one_frame():
            self.lookahead.scan()
        checked_peer = False
        for _ in range(FRAMES_PER_TURN):
            if self.connection.paused_since_ns:
                self.look_ahead()
                return False
            frame = None if self.connection.broken else self.parser.next()
            if frame is None:
                self.lookahead.clear()
                return False
            if frame.type == frames.REQUEST and not checked_peer:
                checked_peer = True
                if self._end_if_peer_closed():
                    return False
            self.received_ns = self.frame_begun_ns
            self.connection.has_sent_frame = True
            self.frame_begun_ns = self.connection.last_used_ns
            self._take_frame(frame)
        return True

    def _take_frame(self, frame: frames.Frame) -> None:
        if frame.type == frames.REQUEST:
            self.requests.check_stream(frame.stream)
            if frame.stream not in self.lookahead.cancelled_streams:
                self.requests.submit(frame.stream, frame.payload, self.received_ns)
        elif frame.type == frames.ABANDON:
            self.requests.cancel(frame.stream)
        else:
            frames.read_fields(frame.payload)
            self.socket.write(frames.ready(frame.stream, self.host.ready()))

    def _end_if_peer_closed(self) -> bool:
        """End the connection if the client has closed it; return whether that was so.

        A client may close the connection long before all that it sent has been read; no request
        of it may begin after that.
        """
        policy = self.host.dispatcher.deadline_controls.settings.half_close
        if policy is HalfClosePolicy.AWAIT_ANSWERS:
            return False
        if not self.socket.has_ended():
            return False
        self.connection.drop()
        self.requests.cancel_all()
        self.connection.broken = True
        return True

    def _break_off_after_fault(self, error: Exception) -> None:
        self.host.dispatcher.log("client", f"{type(error).__name__}: {error}")
        self.connection.break_off("internal error")

    # --- backpressure ---

    def look_ahead(self) -> None:
        """Search the frames that wait for cancellations."""
        try:
            self.lookahead.scan()
        except Exception as error:  # no input may raise out of a callback
            self._break_off_after_fault(error)
        self.read_if_wanted()

    def read_if_wanted(self) -> None:
        """Resume reading, or pause it where enough waits for a turn or for answers to be read.

        While reading is paused no cancellation is seen, and no further attempt begins for the open
        requests.
        """
        if not self.socket.is_open():
            return
        unreadable = not self.connection.broken and self._holds_enough()
        self.socket.set_reading(not unreadable)
        if self.unreadable != unreadable:
            self.unreadable = unreadable
            self.requests.set_unreadable(unreadable)

    def _holds_enough(self) -> bool:
        if not self.waiting and not self.connection.paused_since_ns:
            return False
        if self.parser.buffered_bytes() > MAX_READ_AHEAD_BYTES:
            return True
        return (
            self.host.partial_frame_bytes
            > self.host.dispatcher.statement_capacity_bytes // READ_AHEAD_DIVISOR
        )
