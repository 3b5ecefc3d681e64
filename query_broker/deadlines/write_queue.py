"""The priority queue of the frames to write on one connection.

Performs no I/O. A frame can be withdrawn from the queue until its first byte has been written.
After that, it is written completely before any other, or nothing more is written on the connection:
an endpoint could not tell where the next frame begins. Frames are stored as the pieces that they
consist of, which are neither joined nor copied.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

#: Priority of control commands, above the priorities 0 to 3 of queries.
CONTROL_PRIORITY = 4
#: Maximum number of pieces in one vectored write; the limit of the system is 1,024.
MAX_PIECES_PER_WRITE = 64
#: The value of `Frame.written_bytes` after the frame has been withdrawn.
WITHDRAWN = -1


@dataclass(slots=True)
class Frame:
    """One frame, as the pieces for a vectored write.

    Attributes:
        pieces: The bytes of the frame, in order.
        key: The key for withdrawing the frame; None if it is never withdrawn.
        priority: Frames with the highest priority are written first.
        size_bytes: The total length of the pieces.
        subject: The object that the frame belongs to, passed to the queue's observer.
        written_bytes: The number of bytes written, or `WITHDRAWN`.
        continues_frame: Whether bytes that precede these pieces have already been written.
    """

    pieces: tuple[bytes, ...]
    key: bytes | None
    priority: int
    size_bytes: int
    subject: object = None
    written_bytes: int = 0
    continues_frame: bool = False


class FrameObserver(Protocol):
    """Releases the frames of a queue for writing, and is notified of their progress."""

    def release_frame(self, frame: Frame, /) -> tuple[bytes, ...] | None:
        """Return the pieces to write for a frame that has waited; None to drop the frame.

        Called before the first byte is written, since the remaining time encoded in the pieces is
        out of date after the wait.
        """

    def frame_started(self, subject: object, /) -> None:
        """Called when the first byte of a frame has been written."""

    def frame_written(self, subject: object, /) -> None:
        """Called when the last byte of a frame has been written."""


@dataclass(slots=True)
class WriteQueue:
    """A priority queue of frames, of which at most one is partly written.

    Attributes:
        observer: Releases frames and is notified of their progress.
        max_frames: Number of waiting frames at which the queue is full.
        max_bytes: Number of waiting bytes at which the queue is full.
        heap: The waiting frames, by priority and sequence number, and the withdrawn frames that
            have not been removed yet.
        by_key: The waiting frames that can be withdrawn, by key.
        current: The frame that is partly written, or that the caller has been given to write; None
            if there is none.
        waiting_bytes: Total size of the waiting frames.
        last_sequence: Sequence number of the frame that was queued last.
        first_sequence: Sequence number of the frame that was put back last, below all others; 0 if
            none was.
    """

    observer: FrameObserver
    max_frames: int = 64
    max_bytes: int = 1 << 20
    heap: list[tuple[int, int, Frame]] = field(default_factory=list)
    by_key: dict[bytes, Frame] = field(default_factory=dict)
    current: Frame | None = None
    waiting_bytes: int = 0
    last_sequence: int = 0
    first_sequence: int = 0

    def empty(self) -> bool:
        """Return whether no frame waits or is partly written."""
        return self.current is None and not self.heap

    def full(self) -> bool:
        """Return whether no more frames should be queued."""
        return len(self.heap) >= self.max_frames or self.waiting_bytes >= self.max_bytes

    def enqueue(self, frame: Frame) -> bool:
        """Queue a frame; return True if no other frame comes first and the caller writes it now.

        In that case the observer is not asked to release the frame: the decision to send it has
        just been made.
        """
        if self.current is None and not self.heap:
            self.current = frame
            return True
        self.last_sequence += 1
        self._push(frame, self.last_sequence)
        return False

    def _push(self, frame: Frame, sequence: int) -> None:
        if frame.key is not None:
            # Only one of two frames with the same key could be withdrawn.
            assert frame.key not in self.by_key, "a frame with this key is already waiting"
            self.by_key[frame.key] = frame
        heapq.heappush(self.heap, (-frame.priority, sequence, frame))
        self.waiting_bytes += frame.size_bytes

    def withdraw(self, key: bytes) -> bool:
        """Withdraw a waiting frame; return False if no frame with this key waits.

        A withdrawn frame is never written.
        """
        frame = self.by_key.pop(key, None)
        if frame is None:
            return False
        self._drop(frame)
        return True

    def _drop(self, frame: Frame) -> None:
        frame.written_bytes = WITHDRAWN  # the frame stays in the heap until it reaches the top
        self.waiting_bytes -= frame.size_bytes
        while self.heap and self.heap[0][2].written_bytes < 0:
            heapq.heappop(self.heap)

    def raise_priority(self, key: bytes, priority: int) -> bool:
        """Give a waiting frame another priority; return False if no frame with this key waits.

        If the priority differs, the frame goes behind the waiting frames of its new priority.
        """
        frame = self.by_key.get(key)
        if frame is None:
            return False
        if frame.priority != priority:
            self.withdraw(key)
            self.last_sequence += 1
            self._push(
                Frame(frame.pieces, key, priority, frame.size_bytes, frame.subject),
                self.last_sequence,
            )
        return True

    def next(self) -> Sequence[bytes]:
        """Return the pieces to write now; empty if there is no frame to write.

        Returns the rest of the partly written frame, else the first frame that the observer
        releases. Frames that the observer does not release are dropped, before any byte of them is
        written.
        """
        while self.current is None:
            if not self.heap:
                return ()
            frame = heapq.heappop(self.heap)[2]
            if frame.written_bytes < 0:
                continue
            self.waiting_bytes -= frame.size_bytes
            if frame.key is not None:
                del self.by_key[frame.key]
            if (pieces := self.observer.release_frame(frame)) is not None:
                frame.pieces = pieces
                frame.size_bytes = sum(map(len, pieces))
                self.current = frame
        return remaining_pieces(self.current.pieces, self.current.written_bytes)

    def record_written(self, size_bytes: int) -> bool:
        """Record that this many bytes of the pieces returned by `next` have been written.

        Returns True if the frame is complete; False if bytes of it remain. A frame of which no byte
        has been written waits again, before all other frames of its priority, and may still be
        withdrawn.
        """
        frame = self.current
        assert frame is not None, "no frame is being written"
        if frame.written_bytes == 0 and not frame.continues_frame:
            if size_bytes == 0:
                self.current = None
                self.first_sequence -= 1
                self._push(frame, self.first_sequence)
                return False
            self.observer.frame_started(frame.subject)
        frame.written_bytes += size_bytes
        if frame.written_bytes < frame.size_bytes:
            return False
        self.current = None
        self.observer.frame_written(frame.subject)
        return True

    def waiting_frames(self) -> list[Frame]:
        """Return the frames of which no byte has been written, in the order of writing."""
        return [frame for _, _, frame in sorted(self.heap) if frame.written_bytes >= 0]

    def abandon(self) -> None:
        """Drop all frames, since nothing more is written on the connection."""
        self.heap.clear()
        self.by_key.clear()
        self.current = None
        self.waiting_bytes = 0


def remaining_pieces(pieces: Sequence[bytes], bytes_to_skip: int) -> Sequence[bytes]:
    """Return the pieces without their first bytes, as views instead of copies."""
    if not bytes_to_skip:
        return pieces[:MAX_PIECES_PER_WRITE]
    remaining: list[bytes] = []
    for piece in pieces:
        if bytes_to_skip >= len(piece):
            bytes_to_skip -= len(piece)
        elif bytes_to_skip:
            remaining.append(memoryview(piece)[bytes_to_skip:])
            bytes_to_skip = 0
        else:
            remaining.append(piece)
    return remaining[:MAX_PIECES_PER_WRITE]
