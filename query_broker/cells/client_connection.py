"""A client connection of a broker with cells, which the limits of its cell apply to."""

from __future__ import annotations

from typing import Protocol

from ..overriding import override
from ..protocols.client_connection import ClientConnection, ClientHost
from .client_seat import UNASSIGNED, CellClient
from .read_turns import ReadTurns


class ConnectionAccounting(Protocol):
    """Accounts connections and their incomplete frames to cells."""

    def assign_to_cell(self, connection: CellClientConnection, cell: str) -> bool:
        """Account the connection to this cell; return False if the cell is full."""

    def account_partial_frames(self, connection: CellClientConnection, change_bytes: int) -> bool:
        """Account a change of incomplete frames; return False if the cell has no capacity."""


class CellClientHost(ClientHost, Protocol):
    """The part of the node that its connections use."""

    @property
    def connection_accounting(self) -> ConnectionAccounting:
        """The accounting of connections to cells."""

    @property
    def read_turns(self) -> ReadTurns:
        """Schedules the reads of connections."""


class CellLimits:
    """Limits the reads of a connection by the processor time and memory of its cell.

    Without these limits, a tenant that sends a hundred times its share would starve the others of
    event-loop time.
    """

    def __init__(self, host: CellClientHost, connection: CellClientConnection) -> None:
        """Limit the reads of this connection by the cells of the host."""
        self._host = host
        self._connection = connection
        self._cell = connection.cell
        self._turn_start_ns = 0

    def begin_turn(self) -> bool:
        """Return whether the cell has processor time left; if not, the connection is queued."""
        if not self._host.read_turns.may_read(self._connection):
            return False
        self._cell = self._connection.cell  # the turn may assign the connection to another cell
        self._turn_start_ns = self._host.dispatcher.now()
        return True

    def end_turn(self) -> None:
        """Charge the turn's processor time to the cell in which it began."""
        elapsed_ns = self._host.dispatcher.now() - self._turn_start_ns
        self._host.read_turns.charge(self._cell, elapsed_ns)

    def may_buffer(self, size: int) -> bool:
        """Account the bytes of incomplete frames; return whether the cell has capacity for them."""
        change_bytes = size - self._connection.accounted_bytes
        self._connection.accounted_bytes = size
        return self._host.connection_accounting.account_partial_frames(
            self._connection, change_bytes
        )


class CellClientConnection(ClientConnection, CellClient):
    """A connection that is unassigned until its first request, then in its latest request's cell.

    Attributes:
        cell: The cell that the connection is accounted to.
        accounted_bytes: The bytes of incomplete frames that are accounted to the cell.
    """

    def __init__(self, host: CellClientHost) -> None:
        """Start without a cell."""
        self._accounting = host.connection_accounting
        self.cell = UNASSIGNED
        self.accounted_bytes = 0
        super().__init__(host, CellLimits(host, self))

    @override
    def assign_to_cell(self, cell: str) -> bool:
        """Account the connection to this cell; return False if the cell has no capacity for it."""
        return cell == self.cell or self._accounting.assign_to_cell(self, cell)
