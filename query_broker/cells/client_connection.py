"""A client connection in a broker with cells: whose descriptor it is, and when it is its turn."""

from __future__ import annotations

from typing import Protocol

from ..protocols.client_connection import ClientConnection, Front
from .client_seat import ANTEROOM, SeatedClient


class CelledFront(Front, Protocol):
    def settle(self, connection: CelledConnection, cell: str) -> bool: ...

    def may_go_on(self, connection: CelledConnection) -> bool: ...

    def spent(self, cell: str, time: float) -> None: ...

    def held_of_frames(self, connection: CelledConnection, change: int) -> bool: ...


class CelledConnection(ClientConnection, SeatedClient):
    """It sits in the anteroom until its first request, then in the cell of the last one."""

    def __init__(self, front: CelledFront) -> None:
        super().__init__(front)
        self.house = front
        self.cell = ANTEROOM
        self.booked = 0  # bytes of frames that are not whole, on its cell's part

    def _read_on(self) -> None:
        """Danger: a tenant that sends a hundred times its share would have the loop to itself."""
        if not self.house.may_go_on(self):
            self.reading_on = True
            self._read_if_wanted()
            return
        cell, began = self.cell, self.front.dispatcher.now()
        super()._read_on()
        self.house.spent(cell, self.front.dispatcher.now() - began)

    def _count_partial(self) -> None:
        super()._count_partial()
        change, self.booked = self.partial - self.booked, self.partial
        if not self.house.held_of_frames(self, change) and not self.broken:
            self._break("no room for more frames that are not whole")

    def settle(self, cell: str) -> bool:
        """Take a place on this cell's part; False if it has none."""
        return cell == self.cell or self.house.settle(self, cell)
