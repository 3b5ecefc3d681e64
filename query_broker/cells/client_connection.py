"""A client connection of a broker with cells: its seat in a cell, and its turns to read."""

from __future__ import annotations

from typing import Protocol

from ..protocols.client_connection import ClientConnection, Front
from .client_seat import ANTEROOM, SeatedClient
from .read_turns import ReadTurns


class ClientSeats(Protocol):
    """Accounts connections and their incomplete frames to cells."""

    def settle(self, connection: CelledConnection, cell: str) -> bool:
        """Account the connection to this cell; False where the cell has no capacity for it."""

    def account_partial_frames(self, connection: CelledConnection, change_bytes: int) -> bool:
        """Account a change of its incomplete frames; False where the cell has no capacity."""


class CellFront(Front, Protocol):
    """The node, as far as its connections need it."""

    @property
    def client_seats(self) -> ClientSeats:
        """The accounting of connections to cells."""

    @property
    def read_turns(self) -> ReadTurns:
        """The turns to read."""


class CelledConnection(ClientConnection, SeatedClient):
    """A connection that sits in the anteroom until its first request, then in the last one's cell.

    Attributes:
        cell: The cell that it is accounted to.
        accounted_bytes: Its incomplete frames, as they are accounted to the cell.
    """

    def __init__(self, front: CellFront) -> None:
        """Start in the anteroom."""
        super().__init__(front)
        self._seats = front.client_seats
        self._turns = front.read_turns
        self.cell = ANTEROOM
        self.accounted_bytes = 0

    def _read_on(self) -> None:
        """Read in turn: a tenant that sends a hundred times its share would take the loop."""
        if not self._turns.may_read(self):
            self.reading_on = True
            self._read_if_wanted()
            return
        cell = self.cell  # reading may settle the connection elsewhere
        begun_ns = self.front.dispatcher.now()
        super()._read_on()
        self._turns.charge(cell, self.front.dispatcher.now() - begun_ns)

    def _count_partial(self) -> None:
        super()._count_partial()
        change_bytes = self.partial - self.accounted_bytes
        self.accounted_bytes = self.partial
        has_capacity = self._seats.account_partial_frames(self, change_bytes)
        if not has_capacity and not self.broken:
            self._break("no room for more frames that are not whole")

    def settle(self, cell: str) -> bool:
        """Account the connection to this cell; False where the cell has no capacity for it."""
        return cell == self.cell or self._seats.settle(self, cell)
