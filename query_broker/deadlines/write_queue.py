"""The frames that wait to be written on one connection, by priority, and what of them has left.

Performs no I/O. A frame of which no byte has left can be withdrawn; one of which a byte has left
may have run, and is written to its end before anything else. Frames are kept as the pieces that
they are made of: nothing is joined or copied here.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

#: Priority of commands, above those of queries, 0 to 3.
CONTROL = 4
#: Pieces that one vectored write is given; the system's own limit lies at 1,024.
MAX_PIECES = 64
#: In place of the number of bytes that have left: the frame has been withdrawn.
WITHDRAWN = -1


@dataclass(slots=True)
class Frame:
    """One frame, as the pieces that a vectored write takes.

    Attributes:
        pieces: The bytes, in their order.
        key: By which the frame can be withdrawn; None where it never is.
        priority: The frames of the highest priority leave first.
        size_bytes: The length of all pieces.
        subject: Passed to the queue's observer.
        written_bytes: Bytes that have left, or `WITHDRAWN`.
        has_begun: Bytes before these pieces have left already.
    """

    pieces: tuple[bytes, ...]
    key: bytes | None
    priority: int
    size_bytes: int
    subject: object = None
    written_bytes: int = 0
    has_begun: bool = False


class FrameObserver(Protocol):
    """Releases the frames of a queue, and is notified of what of them has left."""

    def release_frame(self, frame: Frame, /) -> tuple[bytes, ...] | None:
        """Return what to write of a frame that has waited; None if it may not go any more.

        Called before its first byte leaves: the time that its pieces tell has run on meanwhile.
        """

    def frame_started(self, subject: object, /) -> None:
        """Take note that the first byte of a frame has left."""

    def frame_written(self, subject: object, /) -> None:
        """Take note that the last byte of a frame has left."""


@dataclass(slots=True)
class WriteQueue:
    """A priority queue of frames, of which at most one is half written.

    Attributes:
        observer: Releases frames and is notified of what has left.
        max_frames: Frames that may wait before the queue is full.
        max_bytes: Bytes of frames that may wait before the queue is full.
        heap: The frames that wait, by priority and order.
        by_key: Those of them that can be withdrawn.
        current: The frame that `next` has given out, or that is half written.
        waiting_bytes: Bytes of the frames that wait.
        last_order: Order of the frame that was queued last.
        first_order: Order of the frame that was put back last, in front of all others.
    """

    observer: FrameObserver
    max_frames: int = 64
    max_bytes: int = 1 << 20
    heap: list[tuple[int, int, Frame]] = field(default_factory=list)
    by_key: dict[bytes, Frame] = field(default_factory=dict)
    current: Frame | None = None
    waiting_bytes: int = 0
    last_order: int = 0
    first_order: int = 0

    def empty(self) -> bool:
        """Return whether nothing waits and nothing is half written."""
        return self.current is None and not self.heap

    def full(self) -> bool:
        """Return whether no further frame should be queued."""
        return len(self.heap) >= self.max_frames or self.waiting_bytes >= self.max_bytes

    def enqueue(self, frame: Frame) -> bool:
        """Queue a frame; return True if nothing waits before it and the caller writes now.

        The observer is not asked to release it in that case: it has just been decided to send the
        frame.
        """
        if self.current is None and not self.heap:
            self.current = frame
            return True
        self.last_order += 1
        self._wait(frame, self.last_order)
        return False

    def _wait(self, frame: Frame, order: int) -> None:
        if frame.key is not None:
            # Two frames under one key could not both be withdrawn.
            assert frame.key not in self.by_key, "a frame under this key waits already"
            self.by_key[frame.key] = frame
        heapq.heappush(self.heap, (-frame.priority, order, frame))
        self.waiting_bytes += frame.size_bytes

    def withdraw(self, key: bytes) -> bool:
        """Withdraw a frame; return whether none of its bytes has left, so that none will."""
        frame = self.by_key.pop(key, None)
        if frame is None:
            return False
        self._drop(frame)
        return True

    def _drop(self, frame: Frame) -> None:
        frame.written_bytes = WITHDRAWN  # it stays in the heap until it comes up
        self.waiting_bytes -= frame.size_bytes
        while self.heap and self.heap[0][2].written_bytes < 0:
            heapq.heappop(self.heap)

    def raise_priority(self, key: bytes, priority: int) -> bool:
        """Give a waiting frame another priority; return False if it does not wait."""
        frame = self.by_key.get(key)
        if frame is None:
            return False
        if frame.priority != priority:
            self.withdraw(key)
            self.last_order += 1
            self._wait(
                Frame(frame.pieces, key, priority, frame.size_bytes, frame.subject), self.last_order
            )
        return True

    def next(self) -> Sequence[bytes]:
        """Return the pieces to write now; none if nothing may go.

        They are the rest of the frame that is half written, else the first frame that may go. What
        the observer does not release is dropped here, before a byte of it leaves.
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
        return rest(self.current.pieces, self.current.written_bytes)

    def wrote(self, size_bytes: int) -> bool:
        """Take note that so many bytes of what `next` returned have left.

        Returns False where the socket takes no more for now. Where no byte has left, the frame goes
        back to its place and may still be withdrawn.
        """
        frame = self.current
        assert frame is not None, "nothing was given out"
        if frame.written_bytes == 0 and not frame.has_begun:
            if size_bytes == 0:
                self.current = None
                self.first_order -= 1
                self._wait(frame, self.first_order)
                return False
            self.observer.frame_started(frame.subject)
        frame.written_bytes += size_bytes
        if frame.written_bytes < frame.size_bytes:
            return False
        self.current = None
        self.observer.frame_written(frame.subject)
        return True

    def abandon(self) -> None:
        """Drop everything, as the connection has ended."""
        self.heap.clear()
        self.by_key.clear()
        self.current = None
        self.waiting_bytes = 0


def rest(pieces: Sequence[bytes], left: int) -> Sequence[bytes]:
    """Return the pieces without their first ``left`` bytes, as views and not as copies."""
    if not left:
        return pieces[:MAX_PIECES]
    remaining: list[bytes] = []
    for piece in pieces:
        if left >= len(piece):
            left -= len(piece)
        elif left:
            remaining.append(memoryview(piece)[left:])
            left = 0
        else:
            remaining.append(piece)
    return remaining[:MAX_PIECES]
