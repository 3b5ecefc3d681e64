"""Schedules which client connections read requests in the current round.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from .fair_turns import DeficitRoundRobin


class WaitingConnection(Protocol):
    """A connection that waits for its turn to read."""

    cell: str

    def resume_reading(self) -> None:
        """Continue to read."""


class ReadTurns:
    """Lets connections read, within the balances of their cells in each round.

    Attributes:
        turns: The balances of the cells, in nanoseconds of event-loop time.
        queue: The waiting connections, in the order in which they are resumed.
    """

    def __init__(self, weights: Mapping[str, float], round_ns: float) -> None:
        """Start a round of this length, with these cells and their weights."""
        self.turns = DeficitRoundRobin(weights, round_ns)
        self.queue: dict[WaitingConnection, None] = {}

    def may_read(self, connection: WaitingConnection) -> bool:
        """Return whether the connection may read now; if not, it is queued for the next round."""
        if self.turns.may_proceed(connection.cell):
            return True
        self.queue[connection] = None
        return False

    def charge(self, cell: str, elapsed_ns: int) -> None:
        """Charge a cell for the event-loop time that it has used."""
        self.turns.charge(cell, elapsed_ns)

    def discard(self, connection: WaitingConnection) -> None:
        """Remove a closing connection from the queue."""
        self.queue.pop(connection, None)

    def next_round(self) -> None:
        """Begin a round and resume the waiting connections in order.

        A connection whose cell has no balance left is queued again, behind the others.
        """
        self.turns.begin_round()
        if self.queue:
            waiting = list(self.queue)
            self.queue = {}
            for connection in waiting:
                connection.resume_reading()
