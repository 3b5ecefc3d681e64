"""Writing to a data engine: small attempts are written at once, the rest waits in a write queue."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from typing import Protocol

from ..deadlines.write_queue import CONTROL, Frame, WriteQueue
from ..dispatch.requests import Attempt
from . import resp
from .engine_messages import CANCEL, encode_attempt
from .socket_state import NO_DESCRIPTOR, has_ended, has_input

# The socket option's number on Linux, for a Python whose `socket` module lacks it.
NOTSENT_LOWAT = getattr(socket, "TCP_NOTSENT_LOWAT", 25)
# What may lie unsent in the system's buffer: it cannot be withdrawn from there.
MAX_UNSENT_BYTES = 16_384
# Priority, within 0 to 3, of requests to which the decisions give none.
DEFAULT_PRIORITY = 1


class WriteObserver(Protocol):
    """Is notified of what leaves."""

    def now(self) -> int:
        """Return the time in ns."""

    def attempt_written(self, attempt: Attempt) -> None:
        """Called when the last byte of a queued attempt has left."""

    def attempt_written_at_once(self) -> None:
        """Called when an attempt has left completely without being queued."""

    def may_proceed(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still begin; called before its first byte leaves.

        False: it is withdrawn, and never ran.
        """


class BlockedListener(Protocol):
    """Is notified that the socket takes no more for now."""

    def __call__(self) -> None:
        """Have `EngineWriter.flush` called at the next tick."""


class WriteFailureListener(Protocol):
    """Is notified that the socket cannot be written to any more."""

    def __call__(self, reason: str, /) -> None:
        """End the connection; the reason is the system's text."""


class EngineWriter:
    """The sending side of one connection.

    It writes to the descriptor itself and nothing to the transport, since what the transport's own
    buffer holds cannot be withdrawn. So it is known exactly which bytes have left.

    Attributes:
        transport: None until the connection is up.
        fd: Descriptor of the socket, or `NO_DESCRIPTOR`.
        write_queue: Frames that have not left completely.
        is_blocked: Frames wait because the socket accepted no more bytes.
        last_used_ns: When something was last sent or queued.
        cancels_in_transit: Request ids of cancelled attempts whose cancellation has not left yet,
            so that the engine cannot have read it.
    """

    def __init__(
        self,
        observer: WriteObserver,
        blocked: BlockedListener,
        failed: WriteFailureListener,
    ) -> None:
        """Begin without a socket; `attach` gives it one.

        Args:
            observer: Notified of what leaves.
            blocked: Called when the socket accepts no more bytes, so that `flush` is called again
                at the next tick.
            failed: Called with the system's error text when a write fails.
        """
        self.observer = observer
        self.report_blocked = blocked
        self.report_failure = failed
        self.transport: asyncio.Transport | None = None
        self.fd = NO_DESCRIPTOR
        self.write_queue = WriteQueue(self)
        self.is_blocked = False
        self.last_used_ns = observer.now()
        self.cancels_in_transit: set[bytes] = set()

    def attach(self, transport: asyncio.Transport, now_ns: int) -> None:
        """Begin to write to the socket of this transport."""
        self.transport = transport
        self.last_used_ns = now_ns
        engine_socket = transport.get_extra_info("socket")
        self.fd = engine_socket.fileno()
        # Where the system has no such option, only more bytes may lie unsent in its buffer.
        with contextlib.suppress(OSError):
            engine_socket.setsockopt(socket.IPPROTO_TCP, NOTSENT_LOWAT, MAX_UNSENT_BYTES)

    def has_ended(self) -> bool:
        """Return whether the engine has ended the connection, perhaps unread as yet."""
        return self.fd >= 0 and has_ended(self.fd)

    def has_input(self) -> bool:
        """Return whether bytes of the engine lie unread in the system's buffer."""
        return self.fd >= 0 and has_input(self.fd)

    def close(self) -> None:
        """End the connection at once.

        The number of a descriptor that has been closed is soon another connection's: it is given up
        first.
        """
        self.fd = NO_DESCRIPTOR
        if self.transport is not None:
            self.transport.abort()

    def abandon(self) -> None:
        """Drop all that waits: the connection has ended, and with it all that was open there."""
        self.fd = NO_DESCRIPTOR
        self.write_queue.abandon()
        self.cancels_in_transit.clear()

    # --- sending ---

    def send(self, attempt: Attempt, now_ns: int) -> None:
        """Send an attempt that has just been decided on: at once if the socket takes it."""
        pieces = encode_attempt(attempt, now_ns)
        if (
            len(pieces) == 1
            and self.fd >= 0
            and not self.is_blocked
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            try:
                written = os.write(self.fd, pieces[0])
            except OSError:
                written = 0  # reported, or attempted again, by the flush below
            if written:
                self.frame_started(attempt)
            if written == len(pieces[0]):
                self.last_used_ns = now_ns
                attempt.written_ns = now_ns
                self.observer.attempt_written_at_once()
                return
            pieces = (pieces[0][written:],)
        request = attempt.request
        priority = DEFAULT_PRIORITY if request.priority is None else request.priority
        size_bytes = sum(map(len, pieces))
        frame = Frame(pieces, request.client_request_id, priority, size_bytes, attempt)
        frame.has_begun = attempt.write_started
        self._enqueue(now_ns, frame)

    def send_command(self, now_ns: int, *parts: bytes) -> None:
        """Send a command; it goes before attempts that wait."""
        self._enqueue(now_ns, _control_frame(parts))

    def send_cancel(self, now_ns: int, request_id: bytes) -> None:
        """Send a cancellation, and remember its id until its last byte has left."""
        if self._is_open():
            self.cancels_in_transit.add(request_id)
            self._enqueue(now_ns, _control_frame((CANCEL, request_id), request_id))

    def withdraw(self, request_id: bytes) -> bool:
        """Return whether a queued attempt was withdrawn: no byte of it has left, and none will."""
        return self.write_queue.withdraw(request_id)

    def raise_priority(self, request_id: bytes, priority: int) -> bool:
        """Give an attempt that is still queued a priority; return False if it is not."""
        return self.write_queue.raise_priority(request_id, priority)

    def flush(self) -> None:
        """Write the frames that wait, until the socket accepts no more bytes."""
        while self.fd >= 0 and self._is_open():
            pieces = self.write_queue.next()
            if not pieces:
                break
            try:
                written = os.writev(self.fd, pieces)
            except BlockingIOError:
                written = 0
            except OSError as error:
                self.report_failure(str(error))
                return
            if not self.write_queue.wrote(written):
                self.is_blocked = True
                self.report_blocked()
                return
        self.is_blocked = False

    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _enqueue(self, now_ns: int, frame: Frame) -> None:
        self.last_used_ns = now_ns
        if self._is_open() and self.write_queue.enqueue(frame):
            self.flush()

    # --- from the write queue ---

    def release_frame(self, frame: Frame) -> tuple[bytes, ...] | None:
        """Return what to write of a frame that has waited; None if it may not go any more."""
        attempt = frame.subject
        if not isinstance(attempt, Attempt):
            return frame.pieces
        if not self.observer.may_proceed(attempt):
            return None
        return encode_attempt(attempt, self.observer.now())

    def frame_started(self, about: object) -> None:
        """Mark an attempt of which a byte has left: it may run."""
        if isinstance(about, Attempt):
            about.write_started = True

    def frame_written(self, about: object) -> None:
        """Report an attempt that has left, or forget a cancellation that waited to leave."""
        if isinstance(about, Attempt):
            self.observer.attempt_written(about)
        elif isinstance(about, bytes):
            self.cancels_in_transit.discard(about)


def _control_frame(parts: tuple[bytes, ...], about: object = None) -> Frame:
    pieces = resp.pieces(*parts)
    return Frame(pieces, None, CONTROL, sum(map(len, pieces)), about)
