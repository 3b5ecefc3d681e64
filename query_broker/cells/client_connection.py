"""A client connection in a broker with cells: whose descriptor it is, and when it is its turn."""

from __future__ import annotations

from typing import Protocol

from ..protocols.client_connection import ClientConnection, ClientHost
from .dispatcher import ANTEROOM


class CelledFront(ClientHost, Protocol):
    def settle(self, connection: CelledConnection, cell: str) -> bool: ...

    def may_go_on(self, connection: CelledConnection) -> bool: ...

    def spent(self, cell: str, time: float) -> None: ...

    def held_of_frames(self, connection: CelledConnection, change: int) -> bool: ...


class CellLimits:
    """The limits of the cell on whose part a connection is, for its reading.

    A tenant that sends a hundred times its share would have the loop to itself.
    """

    def __init__(self, host: CelledFront, connection: CelledConnection) -> None:
        """Take who knows the cells, and whose reading is limited."""
        self.host = host
        self.connection = connection
        self.cell = connection.cell
        self.turn_began_ns = 0

    def begin_turn(self) -> bool:
        """Return whether the cell has processor time left; if not, the connection is queued."""
        if not self.host.may_go_on(self.connection):
            return False
        self.cell = self.connection.cell  # the turn may take it to another cell
        self.turn_began_ns = self.host.dispatcher.now()
        return True

    def end_turn(self) -> None:
        """Account the turn's processor time to the cell in which it began."""
        self.host.spent(self.cell, self.host.dispatcher.now() - self.turn_began_ns)

    def may_buffer(self, size: int) -> bool:
        """Account bytes of incomplete frames to the cell; return whether it has them left."""
        change = size - self.connection.booked
        self.connection.booked = size
        return self.host.held_of_frames(self.connection, change)


class CelledConnection(ClientConnection):
    """It sits in the anteroom until its first request, then in the cell of the last one."""

    def __init__(self, front: CelledFront) -> None:
        self.house = front
        self.cell = ANTEROOM
        self.booked = 0  # bytes of frames that are not whole, on its cell's part
        super().__init__(front, CellLimits(front, self))

    def settle(self, cell: str) -> bool:
        """Take a place on this cell's part; False if it has none."""
        return cell == self.cell or self.house.settle(self, cell)
