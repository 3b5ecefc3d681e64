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

CONTROL = 4  # above the queries' own priorities, 0 to 3: undo, bump, page, forget, probes
MOST_PIECES = 64  # given to one call; the system's own limit lies at 1,024
WITHDRAWN = -1  # in place of the count of bytes that have left


@dataclass(slots=True)
class Frame:
    """One frame, as the pieces that a vectored write takes.

    ``key``: what it is known by for being withdrawn; None where it never is. ``left``: bytes that
    have left, or `WITHDRAWN`. ``about`` is handed to the queue's observer.
    """

    pieces: tuple[bytes, ...]
    key: bytes | None
    level: int
    size: int
    about: object = None
    left: int = 0
    begun: bool = False  # bytes before these pieces have left already


class FrameObserver(Protocol):
    """Releases the frames of a queue, and is notified of what of them has left."""

    def release_frame(self, frame: Frame, /) -> tuple[bytes, ...] | None:
        """Return what to write of a frame that has waited; None if it may not go any more.

        Called before its first byte leaves: the time that its pieces tell has run on meanwhile.
        """

    def frame_started(self, about: object, /) -> None:
        """Take note that the first byte of a frame has left."""

    def frame_written(self, about: object, /) -> None:
        """Take note that the last byte of a frame has left."""


@dataclass(slots=True)
class WriteQueue:
    """A priority queue of frames, of which at most one is half written.

    ``most`` frames, and ``most_bytes`` of them, may wait before the queue is full.
    """

    observer: FrameObserver
    most: int = 64
    most_bytes: int = 1 << 20
    heap: list[tuple[int, int, Frame]] = field(default_factory=list)
    keyed: dict[bytes, Frame] = field(default_factory=dict)
    current: Frame | None = None  # given out by `next`, or half gone
    waiting_bytes: int = 0
    count: int = 0
    before: int = 0

    def empty(self) -> bool:
        """Return whether nothing waits and nothing is half written."""
        return self.current is None and not self.heap

    def full(self) -> bool:
        """Return whether no further frame should be queued."""
        return len(self.heap) >= self.most or self.waiting_bytes >= self.most_bytes

    def enqueue(self, frame: Frame) -> bool:
        """Queue a frame; return True if nothing waits before it and the caller writes now.

        The observer is not asked to release it in that case: it has just been decided to send the
        frame.
        """
        if self.current is None and not self.heap:
            self.current = frame
            return True
        self.count += 1
        self._wait(frame, self.count)
        return False

    def _wait(self, frame: Frame, order: int) -> None:
        if frame.key is not None:
            # Two frames under one key could not both be withdrawn.
            assert frame.key not in self.keyed, "a frame under this key waits already"
            self.keyed[frame.key] = frame
        heapq.heappush(self.heap, (-frame.level, order, frame))
        self.waiting_bytes += frame.size

    def withdraw(self, key: bytes) -> bool:
        """Withdraw a frame; return whether none of its bytes has left, so that none will."""
        frame = self.keyed.pop(key, None)
        if frame is None:
            return False
        self._drop(frame)
        return True

    def _drop(self, frame: Frame) -> None:
        frame.left = WITHDRAWN  # it stays in the heap until it comes up
        self.waiting_bytes -= frame.size
        while self.heap and self.heap[0][2].left < 0:
            heapq.heappop(self.heap)

    def raise_priority(self, key: bytes, level: int) -> bool:
        """Give a waiting frame another priority; return False if it does not wait."""
        frame = self.keyed.get(key)
        if frame is None:
            return False
        if frame.level != level:
            self.withdraw(key)
            self.count += 1
            self._wait(Frame(frame.pieces, key, level, frame.size, frame.about), self.count)
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
            if frame.left < 0:
                continue
            self.waiting_bytes -= frame.size
            if frame.key is not None:
                del self.keyed[frame.key]
            if (pieces := self.observer.release_frame(frame)) is not None:
                frame.pieces = pieces
                frame.size = sum(map(len, pieces))
                self.current = frame
        return rest(self.current.pieces, self.current.left)

    def wrote(self, size: int) -> bool:
        """Take note that so many bytes of what `next` returned have left.

        Returns False where the socket takes no more for now. Where no byte has left, the frame goes
        back to its place and may still be withdrawn.
        """
        frame = self.current
        assert frame is not None, "nothing was given out"
        if frame.left == 0 and not frame.begun:
            if size == 0:
                self.current = None
                self.before -= 1
                self._wait(frame, self.before)
                return False
            self.observer.frame_started(frame.about)
        frame.left += size
        if frame.left < frame.size:
            return False
        self.current = None
        self.observer.frame_written(frame.about)
        return True

    def abandon(self) -> None:
        """Drop everything, as the connection has ended."""
        self.heap.clear()
        self.keyed.clear()
        self.current = None
        self.waiting_bytes = 0


def rest(pieces: Sequence[bytes], left: int) -> Sequence[bytes]:
    """Return the pieces without their first ``left`` bytes, as views and not as copies."""
    if not left:
        return pieces[:MOST_PIECES]
    remaining: list[bytes] = []
    for piece in pieces:
        if left >= len(piece):
            left -= len(piece)
        elif left:
            remaining.append(memoryview(piece)[left:])
            left = 0
        else:
            remaining.append(piece)
    return remaining[:MOST_PIECES]
