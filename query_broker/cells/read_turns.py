"""The turns of client connections: whose requests are read and decided on in the present round.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from .fair_turns import DeficitRoundRobin


class WaitingConnection(Protocol):
    """A connection that waits for its turn."""

    cell: str

    def resume_reading(self) -> None:
        """Read on: the turn has come."""


class ReadTurns:
    """Lets connections read by the turns of their cells, round by round.

    Attributes:
        turns: The balances of the cells, in nanoseconds of the loop's time.
        queue: The connections whose turn has not come, in their order.
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
        """Charge a cell for the loop's time that it has taken."""
        self.turns.charge(cell, elapsed_ns)

    def discard(self, connection: WaitingConnection) -> None:
        """Forget a connection that ends."""
        self.queue.pop(connection, None)

    def next_round(self) -> None:
        """Begin a round: the waiting connections go on as far as their cells' balances reach.

        One that is not allowed again is queued anew, behind the others.
        """
        self.turns.begin_round()
        if self.queue:
            waiting = list(self.queue)
            self.queue = {}
            for connection in waiting:
                connection.resume_reading()
