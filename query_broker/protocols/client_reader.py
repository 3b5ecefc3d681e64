"""Reading from one client connection: turns, backpressure, and limits on incomplete frames."""

from __future__ import annotations

from typing import Protocol

from ..deadlines.settings import HalfClosePolicy
from ..dispatch.requests import ReceiveTimes
from . import client_frames as frames
from .client_lookahead import CancellationLookahead
from .client_requests import DispatcherHost, OpenRequests
from .client_socket import ClientSocket
from .partial_frames import FRAME_MEMORY_EXHAUSTED, MIN_PROGRESS_BYTES, PartialFrameMemory
from .read_queue import ReadQueue

# Frames of one connection that are handled in one turn, before the turns of other connections.
FRAMES_PER_TURN = 32
# Event-loop time after which a turn ends.
MAX_TURN_NS = 3_000_000
# A frame from this size on always waits for its turn, since handling it takes long.
LARGE_FRAME_BYTES = 4_096
# Limit of the bytes that are read ahead, to find cancellations, while earlier frames wait; a single
# frame may be larger.
MAX_READ_AHEAD_BYTES = 64 * 1024
# No connection reads ahead while incomplete frames use more than this share of their memory, which
# is given as a divisor.
READ_AHEAD_DIVISOR = 2


class ReadingHost(DispatcherHost, Protocol):
    """The part of the host that a reader uses."""

    @property
    def partial_frames(self) -> PartialFrameMemory:
        """The memory of the incomplete frames on all connections."""

    @property
    def read_queue(self) -> ReadQueue:
        """The connections that wait for their turn."""

    def ready(self) -> bool:
        """Return whether requests are served; clients' health checks report it."""


class ReadingConnection(Protocol):
    """The part of the connection that a reader uses."""

    broken: bool
    has_sent_frame: bool
    last_used_ns: int
    paused_since_ns: int

    def end_with_error(self, reason: str) -> None:
        """End the connection with an error that belongs to no request."""

    def drop(self) -> None:
        """End the connection at once."""


class ReadingLimits(Protocol):
    """Limits in addition to those of the connection itself, such as those of a cell."""

    def begin_turn(self) -> bool:
        """Return whether a turn may begin now; if not, the connection is resumed later."""

    def end_turn(self) -> None:
        """End the turn that `begin_turn` allowed."""

    def may_buffer(self, size_bytes: int) -> bool:
        """Return whether the connection may hold this number of bytes of incomplete frames."""


class ClientReader:
    """Handles frames in turns, and pauses reading while too many frames wait.

    Attributes:
        waiting: Whether complete frames wait for this connection's next turn.
        is_reading_paused: Whether reading is paused because too much input waits, so that no
            cancellation is seen.
        frame_started_ns: When the first byte of the currently incomplete frame was received.
        received_ns: When the first byte of the frame that was handled last was received.
        last_received_ns: When bytes were last received.
        partial_frame_bytes: Received bytes of frames that have not been handled yet; part of the
            host's sum.
        last_progress_ns: When the current frame last grew by `MIN_PROGRESS_BYTES`.
        has_frame_memory: Whether memory is reserved for the rest of the current frame.
        waits_for_memory: Whether reading is paused until there is memory for the current frame.
    """

    def __init__(
        self,
        host: ReadingHost,
        connection: ReadingConnection,
        requests: OpenRequests,
        client_socket: ClientSocket,
        limits: ReadingLimits | None,
    ) -> None:
        """Connect the reader to the other parts of the connection.

        Args:
            host: The broker, as far as a reader needs it.
            connection: The connection whose frames are read.
            requests: The connection's open requests.
            client_socket: The connection's socket.
            limits: Limits in addition to the connection's own, if any.
        """
        self.host = host
        self.connection = connection
        self.requests = requests
        self.socket = client_socket
        self.limits = limits
        self.parser = frames.FrameParser()
        self.lookahead = CancellationLookahead(self.parser, requests)
        self.frame_started_ns = connection.last_used_ns
        self.received_ns = connection.last_used_ns
        self.last_received_ns = connection.last_used_ns
        self.partial_frame_bytes = 0
        self.last_progress_ns = connection.last_used_ns
        self.has_frame_memory = False
        self.waits_for_memory = False
        self._progress_mark_bytes = 0  # size of the frame at `last_progress_ns`
        self.waiting = False
        self.is_reading_paused = False

    def receive(self, data: bytes | memoryview) -> None:
        """Parse bytes that have just been received, and handle the frames."""
        self.last_received_ns = self.connection.last_used_ns
        if not self.parser.buffered_bytes():
            self.frame_started_ns = self.last_received_ns
        self.parser.feed(data)
        if self.waiting:
            self.look_ahead()
        else:
            self.read_turn()
        self._restrict_partial_frame()

    def _restrict_partial_frame(self) -> None:
        """Account for the bytes in the parser, and wait if there is no memory for the frame."""
        self.account_partial_frames()
        if self.partial_frame_bytes:
            self.host.partial_frames.restrict(self)

    def account_partial_frames(self) -> None:
        """Account for the bytes in the parser; end the connection if its limits are exceeded.

        Those of handled frames are not accounted for, so they are freed: a connection may rest for
        a long time.
        """
        self.parser.release_returned()
        buffered_bytes = self.parser.buffered_bytes()
        if buffered_bytes != self.partial_frame_bytes:
            self._note_progress(buffered_bytes)
            self.host.partial_frames.account(self, buffered_bytes)
        if self.limits is None:
            return
        if not self.limits.may_buffer(buffered_bytes) and not self.connection.broken:
            self.connection.end_with_error(FRAME_MEMORY_EXHAUSTED)

    def _note_progress(self, buffered_bytes: int) -> None:
        growth_bytes = buffered_bytes - self._progress_mark_bytes
        if growth_bytes < 0 or growth_bytes >= MIN_PROGRESS_BYTES:
            self._progress_mark_bytes = buffered_bytes
            self.last_progress_ns = self.connection.last_used_ns

    def clear(self) -> None:
        """Drop the bytes in the parser."""
        self.parser.clear()
        self.account_partial_frames()
        if self.waits_for_memory:  # further input is discarded
            self.wait_for_memory(False)

    # Called by the memory of incomplete frames.

    def is_inside_frame(self) -> bool:
        """Return whether all that is buffered is the beginning of one incomplete frame.

        Complete frames that wait for their turn, or for the client to read answers, are requests
        that this broker has taken.
        """
        if self.waiting or self.connection.paused_since_ns or self.connection.broken:
            return False
        return self.partial_frame_bytes > 0

    def missing_bytes(self) -> int:
        """Return how many bytes the incomplete frame still needs; 0 until that is known."""
        return self.parser.missing_bytes()

    def has_unread_input(self) -> bool:
        """Return whether more bytes of the client lie in the system's buffer."""
        return self.socket.has_input()

    def has_open_requests(self) -> bool:
        """Return whether a request of the connection has no answer yet."""
        return bool(self.requests.by_stream)

    def end_if_peer_closed(self) -> bool:
        """End the connection if the client has closed it; return whether it has.

        A client may close the connection long before all its frames have been read. None of its
        requests may be submitted after that.
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

    def wait_for_memory(self, waits: bool) -> None:
        """Pause reading until there is memory for the current frame, or go on."""
        self.waits_for_memory = waits
        self.last_progress_ns = self.host.dispatcher.now()
        self.pause_or_resume_reading()

    def end_for_memory(self) -> None:
        """End the connection, so that the memory of its incomplete frame is free."""
        self.connection.end_with_error(FRAME_MEMORY_EXHAUSTED)

    def has_work(self) -> bool:
        """Return whether a request is unanswered, or bytes wait in the parser."""
        return bool(self.requests.by_stream) or self.parser.buffered_bytes() > 0

    def read_turn(self, may_handle_large: bool = False) -> None:
        """Handle the frames of one turn.

        One chunk of bytes can hold 25,000 frames; without turns, all other connections would wait
        until the last of these frames is answered.

        Args:
            may_handle_large: Whether this is a turn that the connection has waited for.
        """
        if self.limits is None:
            self._run_turn(may_handle_large)
        elif self.limits.begin_turn():
            self._run_turn(may_handle_large)
            self.limits.end_turn()
        else:
            self.waiting = True
            self.pause_or_resume_reading()

    def resume(self) -> None:
        """Run the next turn."""
        self.read_turn(may_handle_large=True)
        self.pause_or_resume_reading()
        self._restrict_partial_frame()

    def resume_writing(self) -> None:
        """Handle frames again, after the client has read its answers."""
        if not self.waiting:
            self.read_turn()
        self.pause_or_resume_reading()
        self._restrict_partial_frame()

    def _run_turn(self, may_handle_large: bool) -> None:
        self.waiting = False
        try:
            has_more_frames = self._handle_frames(may_handle_large)
        except frames.MalformedFrameError as error:
            self.connection.end_with_error(str(error))
        except Exception as error:  # no input may raise out of a callback
            self._end_after_fault(error)
        else:
            if has_more_frames:
                self.waiting = True
                self.look_ahead()
                self.host.read_queue.add(self)

    def _handle_frames(self, may_handle_large: bool) -> bool:
        """Handle the frames of one turn; return whether more may wait after it."""
        # After a stall of this process, a request and its cancellation can arrive in one chunk.
        if self.parser.holds_more_than_one_frame():
            self.lookahead.scan()
        has_checked_peer = False
        end_ns = self.last_received_ns + MAX_TURN_NS
        if may_handle_large:
            end_ns = self.host.dispatcher.now() + MAX_TURN_NS
        for handled_count in range(FRAMES_PER_TURN):
            if self.connection.paused_since_ns:
                self.look_ahead()
                return False
            if self._must_wait(may_handle_large, handled_count, end_ns):
                return True
            frame = None if self.connection.broken else self.parser.next()
            if frame is None:
                self.lookahead.clear()
                return False
            if frame.type == frames.REQUEST and not has_checked_peer:
                has_checked_peer = True
                if self.end_if_peer_closed():
                    return False
            self._handle_frame(frame)
        return True

    def _must_wait(self, may_handle_large: bool, handled_count: int, end_ns: int) -> bool:
        """Return whether the next frame has to wait for another turn."""
        if not may_handle_large and self._has_large_frame():
            return True
        return handled_count > 0 and self._is_turn_over(end_ns)

    def _is_turn_over(self, end_ns: int) -> bool:
        """Return whether the time of the turn is up while more frames are complete."""
        return self.host.dispatcher.now() >= end_ns and self.parser.next_frame_bytes() > 0

    def _has_large_frame(self) -> bool:
        """Return whether the next frame is complete and large."""
        if self.connection.broken or self.parser.buffered_bytes() < LARGE_FRAME_BYTES:
            return False
        return self.parser.next_frame_bytes() >= LARGE_FRAME_BYTES

    def _handle_frame(self, frame: frames.Frame) -> None:
        if self.has_frame_memory:
            self.host.partial_frames.end_frame(self)
        self.received_ns = self.frame_started_ns
        self.connection.has_sent_frame = True
        self.frame_started_ns = self.connection.last_used_ns
        if frame.type == frames.REQUEST:
            self.requests.check_stream(frame.stream)
            if frame.stream not in self.lookahead.cancelled_streams:
                times = ReceiveTimes(self.received_ns, self.last_received_ns)
                self.requests.submit(frame.stream, frame.payload, times)
        elif frame.type == frames.ABANDON:
            self.requests.cancel(frame.stream)
        else:
            frames.read_fields(frame.payload)
            self.socket.write(frames.ready(frame.stream, self.host.ready()))

    def _end_after_fault(self, error: Exception) -> None:
        self.host.dispatcher.log("client", f"{type(error).__name__}: {error}")
        self.connection.end_with_error("internal error")

    def look_ahead(self) -> None:
        """Search the waiting frames for cancellations."""
        try:
            self.lookahead.scan()
        except Exception as error:  # no input may raise out of a callback
            self._end_after_fault(error)
        self.pause_or_resume_reading()

    def pause_or_resume_reading(self) -> None:
        """Pause reading if the read-ahead limit or the memory is exceeded, else resume it.

        While reading is paused, cancellations are not seen, so no further attempt begins for the
        open requests.
        """
        if not self.socket.is_open():
            return
        must_pause = self.waits_for_memory or self._exceeds_read_ahead()
        unreadable = must_pause and not self.connection.broken
        self.socket.set_reading(not unreadable)
        if self.is_reading_paused != unreadable:
            self.is_reading_paused = unreadable
            self.requests.set_unreadable(unreadable)

    def _exceeds_read_ahead(self) -> bool:
        if not self.waiting and not self.connection.paused_since_ns:
            return False
        limit_bytes = max(MAX_READ_AHEAD_BYTES, self.parser.next_frame_bytes())
        if self.parser.buffered_bytes() > limit_bytes:
            return True
        return (
            self.host.partial_frames.total_bytes
            > self.host.dispatcher.statement_capacity_bytes // READ_AHEAD_DIVISOR
        )
