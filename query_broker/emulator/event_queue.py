"""The calls that a simulation has scheduled on its clock. Performs no I/O."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple


class ScheduledCall(NamedTuple):
    """A call at a simulated time; the fields are in the order by which calls are sorted.

    Attributes:
        due_ns: When it is made.
        sequence: Its number in the order of scheduling, which decides between equal times.
        callback: What is called.
    """

    due_ns: int
    sequence: int
    callback: Callable[[], None]


class EventQueue:
    """Scheduled calls by time; those of one time in the order in which they were scheduled."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[ScheduledCall] = []
        self._sequence = itertools.count()

    def schedule(self, due_ns: int, callback: Callable[[], None]) -> None:
        """Add a call."""
        heapq.heappush(self._heap, ScheduledCall(due_ns, next(self._sequence), callback))

    def has_due(self, end_ns: int) -> bool:
        """Return whether a call is due at this time or before it."""
        return bool(self._heap) and self._heap[0].due_ns <= end_ns

    def next_due_ns(self) -> int:
        """Return when the first call is due.

        Raises:
            IndexError: The queue is empty.
        """
        return self._heap[0].due_ns

    def pop(self) -> ScheduledCall:
        """Remove and return the first call.

        Raises:
            IndexError: The queue is empty.
        """
        return heapq.heappop(self._heap)
