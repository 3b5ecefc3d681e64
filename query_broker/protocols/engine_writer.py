"""Writing to a data engine: small attempts are written at once, other frames use a write queue."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from typing import Protocol

from ..deadlines.write_queue import CONTROL_PRIORITY, Frame, WriteQueue
from ..decisions.facade import AttemptResult
from ..dispatch.requests import Attempt
from . import resp
from .engine_messages import CANCEL, encode_attempt
from .socket_state import (
    NO_DESCRIPTOR,
    discard_unsent,
    has_ended,
    has_input,
    unacknowledged_bytes,
)

# The socket option's number on Linux, for a Python whose `socket` module lacks it.
NOTSENT_LOWAT = getattr(socket, "TCP_NOTSENT_LOWAT", 25)
# Limit of the unsent bytes in the system's buffer, from which nothing can be withdrawn.
MAX_UNSENT_BYTES = 16_384
# Priority, from 0 to 3, of requests to which the decisions assign none.
DEFAULT_PRIORITY = 1


class WriteObserver(Protocol):
    """Is notified of attempts that leave."""

    def now(self) -> int:
        """Return the time in ns."""

    def attempt_written(self, attempt: Attempt) -> None:
        """Called when the last byte of a queued attempt has left."""

    def attempt_written_immediately(self) -> None:
        """Called when an attempt has left completely without being queued."""

    def may_proceed(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent; called before its first byte leaves.

        If not, the attempt is withdrawn, and has never run.
        """

    def attempt_stopped(self, attempt: Attempt, result: AttemptResult) -> None:
        """Report at the next tick the end of an attempt that its connection can't carry on."""


class BlockedListener(Protocol):
    """Is notified that the socket currently accepts no more bytes."""

    def __call__(self) -> None:
        """Schedule `EngineWriter.flush` for the next tick."""


class WriteFailureListener(Protocol):
    """Is notified that a write has failed."""

    def __call__(self, reason: str, /) -> None:
        """End the connection; ``reason`` is the system's error text."""


class EngineWriter:
    """The sending side of one connection.

    It writes directly to the descriptor instead of the transport, whose buffer does not allow
    withdrawal. So it is known exactly which bytes have left.

    Attributes:
        transport: None until the connection is established.
        fd: Descriptor of the socket, or `NO_DESCRIPTOR`.
        write_queue: Frames that have not left completely.
        is_blocked: Whether frames wait because the socket accepted no more bytes.
        is_stopped: Whether nothing more is written, since the rest of a frame was withdrawn.
        last_used_ns: When something was last sent or queued.
        sent_bytes: Number of bytes that the system has taken since the connection was established.
        cancels_in_transit: Request ids of cancelled attempts whose cancellation has not left yet,
            so that the engine cannot have read it.
    """

    def __init__(
        self,
        observer: WriteObserver,
        on_blocked: BlockedListener,
        on_write_failure: WriteFailureListener,
    ) -> None:
        """Start without a socket; `attach` provides it.

        Args:
            observer: Notified of attempts that leave.
            on_blocked: Called when the socket accepts no more bytes, so that `flush` is called
                again at the next tick.
            on_write_failure: Called with the system's error text when a write fails.
        """
        self.observer = observer
        self.on_blocked = on_blocked
        self.on_write_failure = on_write_failure
        self.transport: asyncio.Transport | None = None
        self.fd = NO_DESCRIPTOR
        self.write_queue = WriteQueue(self)
        self.is_blocked = False
        self.is_stopped = False
        self.last_used_ns = observer.now()
        self.sent_bytes = 0
        self.cancels_in_transit: set[bytes] = set()

    def attach(self, transport: asyncio.Transport, now_ns: int) -> None:
        """Start to write to the socket of this transport."""
        self.transport = transport
        self.last_used_ns = now_ns
        engine_socket = transport.get_extra_info("socket")
        self.fd = engine_socket.fileno()
        # Without this option, more unsent bytes may accumulate in the system's buffer.
        with contextlib.suppress(OSError):
            engine_socket.setsockopt(socket.IPPROTO_TCP, NOTSENT_LOWAT, MAX_UNSENT_BYTES)

    def has_ended(self) -> bool:
        """Return whether the engine has ended the connection, even if that is not read yet."""
        return self.fd >= 0 and has_ended(self.fd)

    def has_input(self) -> bool:
        """Return whether bytes from the engine lie unread in the system's buffer."""
        return self.fd >= 0 and has_input(self.fd)

    def is_undelivered(self, attempt: Attempt) -> bool:
        """Return whether the engine's system has not acknowledged an attempt that was sent.

        Later bytes of other attempts do not count: some are on their way at any time.
        """
        if self.fd < 0 or not attempt.written_ns:
            return False
        return self.sent_bytes - unacknowledged_bytes(self.fd) < attempt.sent_bytes

    def discard_unsent(self) -> None:
        """Let `close` discard what lies in the system's buffer, instead of sending it first."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                discard_unsent(self.transport.get_extra_info("socket"))

    def close(self) -> None:
        """End the connection at once.

        The descriptor is reset first, since the system soon reuses the number of a closed one for
        another connection.
        """
        self.fd = NO_DESCRIPTOR
        if self.transport is not None:
            self.transport.abort()

    def abandon(self) -> None:
        """Drop all queued frames, since the connection has ended."""
        self.fd = NO_DESCRIPTOR
        self.write_queue.abandon()
        self.cancels_in_transit.clear()

    def send(self, attempt: Attempt, now_ns: int) -> None:
        """Send an attempt that has just been dispatched: at once if the socket accepts it."""
        pieces = encode_attempt(attempt, now_ns)
        if (
            len(pieces) == 1
            and self.fd >= 0
            and not self.is_blocked
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            try:
                written_bytes = os.write(self.fd, pieces[0])
            except OSError:
                written_bytes = 0  # the flush below retries the write, or reports the error
            if written_bytes:
                self.sent_bytes += written_bytes
                self.frame_started(attempt)
            if written_bytes == len(pieces[0]):
                self.last_used_ns = now_ns
                attempt.written_ns = now_ns
                attempt.sent_bytes = self.sent_bytes
                self.observer.attempt_written_immediately()
                return
            pieces = (pieces[0][written_bytes:],)
        request = attempt.request
        priority = DEFAULT_PRIORITY if request.priority is None else request.priority
        size_bytes = sum(map(len, pieces))
        frame = Frame(pieces, request.client_request_id, priority, size_bytes, attempt)
        frame.continues_frame = attempt.write_started
        self._enqueue(now_ns, frame)

    def send_command(self, now_ns: int, *parts: bytes) -> None:
        """Send a command, ahead of queued attempts."""
        self._enqueue(now_ns, _control_frame(parts))

    def send_cancel(self, now_ns: int, request_id: bytes) -> None:
        """Send a cancellation, and remember its id until its last byte has left.

        After `stop` it never leaves: the id is remembered until the connection ends.
        """
        if self._is_open():
            self.cancels_in_transit.add(request_id)
            self._enqueue(now_ns, _control_frame((CANCEL, request_id), request_id))

    def withdraw(self, request_id: bytes) -> bool:
        """Withdraw a queued attempt if none of its bytes has left; return whether it was."""
        return self.write_queue.withdraw(request_id)

    def is_partly_written(self, attempt: Attempt) -> bool:
        """Return whether bytes of the attempt have left, but not its last one."""
        frame = self.write_queue.current
        return frame is not None and frame.subject is attempt and attempt.write_started

    def stop(self) -> list[Attempt]:
        """Write nothing more, so that the partly written frame never becomes complete.

        Returns the attempts of which no byte has left.
        """
        self.is_stopped = True
        subjects = [frame.subject for frame in self.write_queue.waiting_frames()]
        self.write_queue.abandon()
        return [subject for subject in subjects if isinstance(subject, Attempt)]

    def set_priority(self, request_id: bytes, priority: int) -> bool:
        """Change the priority of a queued attempt; return False if it is not queued."""
        return self.write_queue.raise_priority(request_id, priority)

    def flush(self) -> None:
        """Write the frames that wait, until the socket accepts no more bytes."""
        while self.fd >= 0 and self._is_open() and not self.is_stopped:
            pieces = self.write_queue.next()
            if not pieces:
                break
            try:
                written_bytes = os.writev(self.fd, pieces)
            except BlockingIOError:
                written_bytes = 0
            except OSError as error:
                self.on_write_failure(str(error))
                return
            self.sent_bytes += written_bytes
            if not self.write_queue.record_written(written_bytes):
                self.is_blocked = True
                self.on_blocked()
                return
        self.is_blocked = False

    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _enqueue(self, now_ns: int, frame: Frame) -> None:
        self.last_used_ns = now_ns
        if self._is_open() and not self.is_stopped and self.write_queue.enqueue(frame):
            self.flush()

    # Called by the write queue.

    def release_frame(self, frame: Frame) -> tuple[bytes, ...] | None:
        """Return the current pieces of a frame that was queued; None if it may not be sent."""
        attempt = frame.subject
        if not isinstance(attempt, Attempt):
            return frame.pieces
        if not self.observer.may_proceed(attempt):
            return None
        return encode_attempt(attempt, self.observer.now())

    def frame_started(self, subject: object) -> None:
        """Mark an attempt whose first byte has left, so that it may run."""
        if isinstance(subject, Attempt):
            subject.write_started = True

    def frame_written(self, subject: object) -> None:
        """Report an attempt that has left completely, or forget a cancellation that has."""
        if isinstance(subject, Attempt):
            subject.sent_bytes = self.sent_bytes
            self.observer.attempt_written(subject)
        elif isinstance(subject, bytes):
            self.cancels_in_transit.discard(subject)


def _control_frame(parts: tuple[bytes, ...], subject: object = None) -> Frame:
    pieces = resp.pieces(*parts)
    return Frame(pieces, None, CONTROL_PRIORITY, sum(map(len, pieces)), subject)
