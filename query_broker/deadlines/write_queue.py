"""What waits to be written on one connection, in priority order, and what of it has left. Pure.

A frame of which no byte has left can be taken back whole; one of which a byte has left may have
run, and is written to its end before anything else. Frames are held as the pieces that they are
made of: nothing is joined or copied here.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

CONTROL = 4  # above the queries' own priorities, 0 to 3: undo, bump, page, forget, probes
MOST_PIECES = 64  # given to one call; the system's own limit lies at 1,024


@dataclass(slots=True)
class Frame:
    """``key``: what it is known by, for being taken back; None: never. ``left``: bytes that are
    gone; -1: it has been taken back. ``about`` is handed to the outbox's calls.
    """

    pieces: tuple[bytes, ...]
    key: bytes | None
    level: int
    size: int
    about: object = None
    left: int = 0
    begun: bool = False  # bytes before these pieces have left already


@dataclass(slots=True)
class WriteQueue:
    """``leave`` is asked before the first byte of a frame that has waited: for its pieces as they
    must be now, since what it tells of its time is older by as long as it waited, or None if it may
    not go. ``begun`` is told right after the first byte, ``gone`` after the last. ``most`` frames,
    and ``most_bytes`` of them, may wait before it is full.
    """

    leave: Callable[[Frame], tuple[bytes, ...] | None]
    begun: Callable[[object], None]
    gone: Callable[[object], None]
    most: int = 64
    most_bytes: int = 1 << 20
    heap: list[tuple[int, int, Frame]] = field(default_factory=list)
    keyed: dict[bytes, Frame] = field(default_factory=dict)
    current: Frame | None = None  # given out by `next`, or half gone
    waiting_bytes: int = 0
    count: int = 0
    before: int = 0

    def empty(self) -> bool:
        return self.current is None and not self.heap

    def full(self) -> bool:
        return len(self.heap) >= self.most or self.waiting_bytes >= self.most_bytes

    def put(self, frame: Frame) -> bool:
        """True: nothing waits before it, and the caller writes now. Its gate is not asked then: it
        has just been decided to send it.
        """
        if self.current is None and not self.heap:
            self.current = frame
            return True
        self.count += 1
        self._wait(frame, self.count)
        return False

    def _wait(self, frame: Frame, order: int) -> None:
        if frame.key is not None:
            # Danger: two frames under one key could not both be taken back.
            assert frame.key not in self.keyed, "a frame under this key waits already"
            self.keyed[frame.key] = frame
        heapq.heappush(self.heap, (-frame.level, order, frame))
        self.waiting_bytes += frame.size

    def take_back(self, key: bytes) -> bool:
        """True: no byte of it has left, and none will. False: it has, or it is not here."""
        frame = self.keyed.pop(key, None)
        if frame is None:
            return False
        self._drop(frame)
        return True

    def _drop(self, frame: Frame) -> None:
        frame.left = -1  # it stays in the heap until it comes up
        self.waiting_bytes -= frame.size
        while self.heap and self.heap[0][2].left < 0:
            heapq.heappop(self.heap)

    def raise_level(self, key: bytes, level: int) -> bool:
        """A frame that still waits gets another priority; False if it is not waiting."""
        frame = self.keyed.get(key)
        if frame is None:
            return False
        if frame.level != level:
            self.take_back(key)
            self.count += 1
            self._wait(Frame(frame.pieces, key, level, frame.size, frame.about), self.count)
        return True

    def next(self) -> Sequence[bytes]:
        """The pieces to write now: the rest of what is half gone, else the first frame that may go.
        What its gate stops is dropped here, before a byte of it leaves.
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
            if (pieces := self.leave(frame)) is not None:
                frame.pieces, frame.size = pieces, sum(map(len, pieces))
                self.current = frame
        return rest(self.current.pieces, self.current.left)

    def wrote(self, size: int) -> bool:
        """So many bytes of what `next` gave have left. False: the socket takes no more for now.
        Where none has, the frame goes back to its place, and may still be taken back.
        """
        frame = self.current
        assert frame is not None, "nothing was given out"
        if frame.left == 0 and not frame.begun:
            if size == 0:
                self.current = None
                self.before -= 1
                self._wait(frame, self.before)
                return False
            self.begun(frame.about)
        frame.left += size
        if frame.left < frame.size:
            return False
        self.current = None
        self.gone(frame.about)
        return True

    def abandon(self) -> None:
        """The connection has ended: nothing more leaves."""
        self.heap.clear()
        self.keyed.clear()
        self.current, self.waiting_bytes = None, 0


def rest(pieces: Sequence[bytes], left: int) -> Sequence[bytes]:
    """The pieces without their first bytes; views, not copies."""
    if not left:
        return pieces[:MOST_PIECES]
    kept: list[bytes] = []
    for piece in pieces:
        if left >= len(piece):
            left -= len(piece)
        elif left:
            kept.append(memoryview(piece)[left:])
            left = 0
        else:
            kept.append(piece)
    return kept[:MOST_PIECES]
