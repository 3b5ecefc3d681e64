"""The client connections whose frames wait for their turn, and the order of these turns.

Handling the largest requests of all connections in one iteration of the event loop would take so
long that the small requests of others are late. Therefore the connections take turns, for a short
time in each iteration; in between, the loop reads from all sockets.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

# The event-loop time after which the remaining connections wait for the next iteration.
MAX_ROUND_NS = 2_000_000


class WaitingReader(Protocol):
    """A connection with complete frames."""

    def resume(self) -> None:
        """Handle the frames of one turn; wait again if some are left."""


class QueueClock(Protocol):
    """Knows the time."""

    def now(self) -> int:
        """Return the time in ns."""


class ReadQueue:
    """Gives turns to the connections in the order in which they began to wait."""

    def __init__(self, clock: QueueClock) -> None:
        """Start without connections."""
        self._clock = clock
        self._waiting: dict[WaitingReader, None] = {}
        self._is_scheduled = False

    def add(self, reader: WaitingReader) -> None:
        """Let a connection wait for its next turn."""
        self._waiting[reader] = None
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_round)

    def _run_round(self) -> None:
        """Give turns until the time is up; one at least, and at most one to each connection."""
        self._is_scheduled = False
        end_ns = self._clock.now() + MAX_ROUND_NS
        try:
            for reader in list(self._waiting):
                del self._waiting[reader]
                reader.resume()
                if self._clock.now() >= end_ns:
                    break
        finally:
            if self._waiting:
                self._schedule()
