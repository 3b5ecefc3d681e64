"""The memory that the incomplete frames of all clients share, and who gives way when it is full.

A client that has written a frame completely is still read in several chunks, so its frame is
incomplete for a moment, and its request counts as taken. Therefore the connection that happens to
receive bytes when the memory is full is not the one that ends. Connections that have stopped in the
middle of a frame end first. Until they do, a connection in the middle of a frame waits: it is not
read, and the rest of its frame stays in the system's buffer. What a connection has sent before it
waits is kept small by reading it in small chunks. Performs no I/O.
"""

from __future__ import annotations

from functools import partial
from typing import NamedTuple, Protocol

from ..timer_wheel import Timer, TimerWheel

NS_PER_MS = 1_000_000
# A client makes progress if this much of a frame arrives within `STALL_TIMEOUT_NS`. The largest
# frame needs three times this rate to be complete within the frame timeout.
MIN_PROGRESS_BYTES = 4_096
STALL_TIMEOUT_NS = 100 * NS_PER_MS
# After this wait, a frame takes the place of one that has stalled for `SHORT_STALL_TIMEOUT_NS`.
MAX_WAIT_NS = 100 * NS_PER_MS
SHORT_STALL_TIMEOUT_NS = 25 * NS_PER_MS
# Time between two attempts to find memory for the frames that wait.
RETRY_INTERVAL_NS = 5 * NS_PER_MS
# The part of the memory that is used before frames wait, as a fraction: the rest is for chunks that
# arrive before their connection waits, and for frames that have waited for too long.
WAIT_NUMERATOR = 3
WAIT_DENOMINATOR = 4
# What one read takes in; less while frames wait, but still a small request.
MAX_CHUNK_BYTES = 65_536
MAX_CROWDED_CHUNK_BYTES = 2_048
FRAME_MEMORY_EXHAUSTED = "no memory left for incomplete frames"


class FrameMemoryLimit(Protocol):
    """Knows the limit of the memory, and the timers."""

    timer_wheel: TimerWheel
    statement_capacity_bytes: int  # incomplete frames may use as much memory as statements

    def now(self) -> int:
        """Return the time in ns."""


class FrameHolder(Protocol):
    """A connection, as far as it holds bytes of an incomplete frame.

    Attributes:
        partial_frame_bytes: The bytes that it holds.
        last_progress_ns: When it last received `MIN_PROGRESS_BYTES` of its current frame.
        has_frame_memory: Whether memory is reserved for the rest of its current frame.
    """

    has_frame_memory: bool
    partial_frame_bytes: int
    last_progress_ns: int

    def is_inside_frame(self) -> bool:
        """Return whether all that it holds is the beginning of one incomplete frame."""

    def missing_bytes(self) -> int:
        """Return how many bytes its frame still needs; 0 until that is known."""

    def has_unread_input(self) -> bool:
        """Return whether more bytes of it lie in the system's buffer."""

    def has_open_requests(self) -> bool:
        """Return whether requests of the same connection have no answer yet."""

    def end_if_peer_closed(self) -> bool:
        """End the connection if its client has closed it; return whether it has."""

    def wait_for_memory(self, waits: bool) -> None:
        """Stop reading, or go on."""

    def end_for_memory(self) -> None:
        """End the connection, so that its memory is free."""


class ReclaimOrder(NamedTuple):
    """Sorts the connections that give way; the smallest ends first.

    ``negative_cost`` is the negative size of the frame, times the time without progress if there is
    no unread input.
    """

    has_unread_input: bool
    has_open_requests: bool
    negative_cost: int


class PartialFrameMemory:
    """Accounts for incomplete frames, and frees memory for those that go on.

    A frame is read on only if all of it fits into the memory, so that it can become complete.

    Attributes:
        total_bytes: The bytes of incomplete frames on all connections.
        outstanding_bytes: The bytes that the frames which are read on still need.
    """

    def __init__(self, limit: FrameMemoryLimit) -> None:
        """Start without frames."""
        self.total_bytes = 0
        self._limit = limit
        self._holders: dict[FrameHolder, None] = {}
        self._missing_bytes: dict[FrameHolder, int] = {}  # of the frames that are read on
        self.outstanding_bytes = 0
        self._waiting_since_ns: dict[FrameHolder, int] = {}
        self._buffer = memoryview(bytearray(MAX_CHUNK_BYTES))
        self._timer: Timer | None = None
        self._last_reclaim_ns = 0

    def read_buffer(self, holder: FrameHolder) -> memoryview:
        """Return the buffer of the next read of a connection; all connections share it."""
        if not self.total_bytes or self._committed_bytes() <= self._wait_bytes():
            return self._buffer
        missing_bytes = self._missing_bytes.get(holder, 0)
        return self._buffer[: max(missing_bytes, MAX_CROWDED_CHUNK_BYTES)]

    def received_bytes(self, size_bytes: int) -> memoryview:
        """Return what has been received into the buffer, which the next read overwrites."""
        return self._buffer[:size_bytes]

    def account(self, holder: FrameHolder, size_bytes: int) -> None:
        """Record how many bytes a connection holds now."""
        growth_bytes = size_bytes - holder.partial_frame_bytes
        self.total_bytes += growth_bytes
        holder.partial_frame_bytes = size_bytes
        if size_bytes:
            self._holders[holder] = None
        else:
            self._holders.pop(holder, None)
            self._waiting_since_ns.pop(holder, None)
            self.end_frame(holder)
        if holder in self._missing_bytes:
            self._commit(holder, holder.missing_bytes())
        if growth_bytes < 0 and self._waiting_since_ns:
            self._admit_waiting(self._limit.now())

    def end_frame(self, holder: FrameHolder) -> None:
        """Release what is reserved for the current frame: it is complete, or its connection ends.

        The next frame of the connection has no memory yet.
        """
        self.outstanding_bytes -= self._missing_bytes.pop(holder, 0)
        holder.has_frame_memory = False

    def restrict(self, holder: FrameHolder) -> None:
        """Keep the memory within its limit after a connection has received a part of a frame.

        If the frame does not fit, connections that have stalled end. If that is not enough, this
        connection waits.
        """
        missing_bytes = holder.missing_bytes()
        is_new = missing_bytes and holder not in self._missing_bytes
        if is_new and holder.is_inside_frame():
            now_ns = self._limit.now()
            if not self._fits(missing_bytes):
                self._end_stalled(missing_bytes, now_ns)
            if self._fits(missing_bytes):
                self._commit(holder, missing_bytes)
            else:
                self._wait(holder, now_ns)
        if self.total_bytes > self._limit.statement_capacity_bytes:
            self._end_over_limit()

    def reclaim_from(self, holders: list[FrameHolder]) -> FrameHolder | None:
        """End the first of these connections that has to give way; return it, if there is one."""
        candidates = [holder for holder in holders if holder.is_inside_frame()]
        first = min(candidates, key=partial(_reclaim_order, self._limit.now()), default=None)
        if first is not None:
            first.end_for_memory()
        return first

    def _wait_bytes(self) -> int:
        return self._limit.statement_capacity_bytes * WAIT_NUMERATOR // WAIT_DENOMINATOR

    def _committed_bytes(self) -> int:
        return self.total_bytes + self.outstanding_bytes

    def _fits(self, missing_bytes: int) -> bool:
        return self._committed_bytes() + missing_bytes <= self._wait_bytes()

    def _commit(self, holder: FrameHolder, missing_bytes: int) -> None:
        """Reserve memory for the rest of a frame that is read on."""
        self.outstanding_bytes += missing_bytes - self._missing_bytes.get(holder, 0)
        self._missing_bytes[holder] = missing_bytes
        holder.has_frame_memory = True

    def _wait(self, holder: FrameHolder, now_ns: int) -> None:
        self._waiting_since_ns.setdefault(holder, now_ns)
        holder.wait_for_memory(True)
        self._check_later(now_ns)

    def _check_later(self, now_ns: int) -> None:
        if self._timer is None:
            due_ns = now_ns + RETRY_INTERVAL_NS
            self._timer = self._limit.timer_wheel.set_timer(due_ns, self._check)

    def _check(self) -> None:
        """Make room for the frames that wait, and go on with them."""
        self._timer = None
        now_ns = self._limit.now()
        for holder in list(self._waiting_since_ns):
            holder.end_if_peer_closed()  # a connection that is not read does not notice its end
        self._reclaim_for_waiting(now_ns)
        self._admit_waiting(now_ns)
        if self._waiting_since_ns:
            self._check_later(now_ns)

    def _reclaim_for_waiting(self, now_ns: int) -> None:
        """End connections that have stalled, as far as the frames that wait need their memory.

        For frames that have waited for too long, a shorter stall is enough.
        """
        needed_bytes = 0
        overdue_bytes = 0
        for holder, since_ns in self._waiting_since_ns.items():
            needed_bytes += holder.missing_bytes()
            if now_ns - since_ns >= MAX_WAIT_NS:
                overdue_bytes += holder.missing_bytes()
        self._end_until_fits(needed_bytes, self._idle_holders(now_ns, STALL_TIMEOUT_NS))
        if overdue_bytes:
            self._end_until_fits(overdue_bytes, self._idle_holders(now_ns, SHORT_STALL_TIMEOUT_NS))

    def _admit_waiting(self, now_ns: int) -> None:
        """Go on with the frames that wait, in their order, as far as there is memory.

        Frames that have waited for too long may use all of it.
        """
        limit_bytes = self._limit.statement_capacity_bytes
        for holder, since_ns in list(self._waiting_since_ns.items()):
            missing_bytes = holder.missing_bytes()
            is_overdue = now_ns - since_ns >= MAX_WAIT_NS
            allowed_bytes = limit_bytes if is_overdue else self._wait_bytes()
            if self._committed_bytes() + missing_bytes > allowed_bytes:
                break
            del self._waiting_since_ns[holder]
            self._commit(holder, missing_bytes)
            holder.wait_for_memory(False)

    def _end_stalled(self, needed_bytes: int, now_ns: int) -> None:
        """End connections that have stalled; not for each chunk of many connections that wait."""
        if now_ns - self._last_reclaim_ns >= RETRY_INTERVAL_NS:
            self._last_reclaim_ns = now_ns
            self._end_until_fits(needed_bytes, self._idle_holders(now_ns, STALL_TIMEOUT_NS))

    def _end_over_limit(self) -> None:
        """End connections that have not stalled, since the limit has become lower."""
        holders = [holder for holder in self._holders if holder.is_inside_frame()]
        holders.sort(key=partial(_reclaim_order, self._limit.now()))
        for holder in holders:
            if self.total_bytes <= self._limit.statement_capacity_bytes:
                break
            holder.end_for_memory()

    def _idle_holders(self, now_ns: int, min_idle_ns: int) -> list[FrameHolder]:
        """Return the connections whose clients have sent nothing of a frame for this long."""
        return [
            holder
            for holder in self._missing_bytes
            if now_ns - holder.last_progress_ns >= min_idle_ns
            and holder.is_inside_frame()
            and not holder.has_unread_input()
        ]

    def _end_until_fits(self, needed_bytes: int, holders: list[FrameHolder]) -> None:
        """End connections, those that keep the most memory unused first, until enough is free."""
        holders.sort(key=partial(_reclaim_order, self._limit.now()))
        for holder in holders:
            if self._fits(needed_bytes):
                break
            holder.end_for_memory()


def _reclaim_order(now_ns: int, holder: FrameHolder) -> ReclaimOrder:
    has_unread_input = holder.has_unread_input()
    cost = holder.partial_frame_bytes + holder.missing_bytes()
    if not has_unread_input:  # else it may be this process that has not read on
        cost *= now_ns - holder.last_progress_ns
    return ReclaimOrder(has_unread_input, holder.has_open_requests(), -cost)
