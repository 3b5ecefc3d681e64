"""A queue of the calls that a simulation has scheduled. Performs no I/O."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple


class ScheduledCall(NamedTuple):
    """A call at a simulated time; calls are sorted by their fields in this order.

    Attributes:
        due_ns: When the call is made.
        sequence: Number in the order of scheduling, which orders calls due at the same time.
        callback: The function to call.
    """

    due_ns: int
    sequence: int
    callback: Callable[[], None]


class EventQueue:
    """Scheduled calls, ordered by time and, at equal times, by the order of scheduling."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[ScheduledCall] = []
        self._sequence = itertools.count()

    def schedule(self, due_ns: int, callback: Callable[[], None]) -> None:
        """Add a call."""
        heapq.heappush(self._heap, ScheduledCall(due_ns, next(self._sequence), callback))

    def has_due(self, end_ns: int) -> bool:
        """Return whether a call is due at or before this time."""
        return bool(self._heap) and self._heap[0].due_ns <= end_ns

    def next_due_ns(self) -> int:
        """Return when the earliest call is due.

        Raises:
            IndexError: The queue is empty.
        """
        return self._heap[0].due_ns

    def pop(self) -> ScheduledCall:
        """Remove and return the earliest call.

        Raises:
            IndexError: The queue is empty.
        """
        return heapq.heappop(self._heap)
