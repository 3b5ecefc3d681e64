"""Admission of client connections to cells: their places, their frames and their unread answers."""

from __future__ import annotations

from ..protocols.client_connection import ClientConnection
from ..server.client_admission import ClientAdmission
from ..server.host import NodeContext
from .client_connection import CellClientConnection
from .client_seat import UNASSIGNED
from .dispatcher import CellDispatcher
from .model import CellMap
from .read_turns import ReadTurns


class CellAdmission(ClientAdmission):
    """Accounts each client connection to a cell."""

    def __init__(
        self, node: NodeContext, dispatcher: CellDispatcher, read_turns: ReadTurns
    ) -> None:
        """Admit connections to the dispatcher's cells; ``read_turns`` forgets those that end."""
        super().__init__(node)
        self._dispatcher = dispatcher
        self._read_turns = read_turns

    # --- extension points of the admission ---

    def has_place(self) -> bool:
        """Account a new connection to no cell, until its first request names a tenant."""
        return self._acquire_connection(UNASSIGNED)

    def discard(self, connection: ClientConnection) -> None:
        """Release the place of a connection in its cell, and its turn."""
        assert isinstance(connection, CellClientConnection)
        self._read_turns.discard(connection)
        if connection in self.connections:
            self.connections.discard(connection)
            self._dispatcher.connections.release(connection.cell, 1)

    def close_slow_readers(self, now_ns: int) -> None:
        """Close slow readers by the cells' ledgers, and call in borrowed places."""
        ledger = self._dispatcher.answers
        readers = self._readers(now_ns)
        self._account_unread_bytes(readers, now_ns)
        bytes_to_free = ledger.amounts_over_total()
        for cell, amount_bytes in ledger.amounts_to_call_in(now_ns).items():
            bytes_to_free[cell] = max(bytes_to_free.get(cell, 0), amount_bytes)
        for cell, amount_bytes in bytes_to_free.items():
            self._drop_slowest(readers.get(cell, []), amount_bytes)
        self._call_in_connections(now_ns)

    def _account_unread_bytes(
        self, readers: dict[str, list[CellClientConnection]], now_ns: int
    ) -> None:
        ledger = self._dispatcher.answers
        unread_by_cell = dict.fromkeys(ledger.accounts, 0)
        for cell, clients in readers.items():
            unread_by_cell[cell] = sum(client.unread_bytes() for client in clients)
        for cell, unread_bytes in unread_by_cell.items():
            ledger.set_in_use(cell, unread_bytes)
            # An owner that uses much of its own quota reclaims it by this call.
            ledger.allows(cell, 0, now_ns)

    # --- places ---

    def _acquire_connection(self, cell: str) -> bool:
        """Account one more connection to the cell, after an eviction if needed."""
        ledger = self._dispatcher.connections
        now_ns = self.node.clock.now()
        if ledger.acquire(cell, 1, now_ns):
            return True
        return self._evict_for(cell) and ledger.acquire(cell, 1, now_ns)

    def _evict_for(self, cell: str) -> bool:
        """End an idle connection of the cell, or of a borrower if the cell is within its quota."""
        places = self._dispatcher.connections
        owner = places.accounts.get(cell)
        within_quota = owner is not None and owner.in_use < owner.quota
        return self.evict(
            client
            for client in self.connections
            if isinstance(client, CellClientConnection)
            and client.idle()
            and (client.cell == cell or (within_quota and places.borrows(client.cell)))
        )

    def assign_to_cell(self, connection: CellClientConnection, cell: str) -> bool:
        """Account a connection to the cell of its request; False where it has no capacity.

        A connection that is not admitted any more has lost its place to another; it ends soon.
        """
        if connection not in self.connections:
            return True
        places = self._dispatcher.connections
        places.release(connection.cell, 1)
        if not self._acquire_connection(cell):
            places.force_acquire(connection.cell, 1)  # it keeps the place that it had
            return False
        self._assign(connection, cell)
        return True

    def _assign(self, connection: CellClientConnection, cell: str) -> None:
        """Account the incomplete frames of a connection to the cell that it belongs to now."""
        self._dispatcher.frames.release(connection.cell, connection.accounted_bytes)
        self._dispatcher.frames.force_acquire(cell, connection.accounted_bytes)
        connection.cell = cell

    def leave_dropped_cells(self, map: CellMap) -> None:
        """Take connections out of cells that the map does not have any more."""
        for connection in self.connections:
            if not isinstance(connection, CellClientConnection) or connection.cell == UNASSIGNED:
                continue
            if map.cell(connection.cell) is not None:
                continue
            self._dispatcher.connections.release(connection.cell, 1)
            self._dispatcher.connections.force_acquire(UNASSIGNED, 1)
            self._assign(connection, UNASSIGNED)

    def _call_in_connections(self, now_ns: int) -> None:
        """Call in borrowed places: idle connections end, the others are asked to leave."""
        for cell, amount in self._dispatcher.connections.amounts_to_call_in(now_ns).items():
            clients = [
                client
                for client in self.connections
                if isinstance(client, CellClientConnection) and client.cell == cell
            ]
            clients.sort(key=lambda client: (not client.idle(), client.last_used_ns))
            for client in clients[:amount]:
                if client.idle():
                    self.discard(client)
                    client.close()
                else:
                    client.announce_shutdown()

    # --- frames ---

    def account_partial_frames(self, connection: CellClientConnection, change_bytes: int) -> bool:
        """Account a change of incomplete frames; False where the cell has no capacity for it."""
        ledger = self._dispatcher.frames
        if not change_bytes:
            return True
        if change_bytes < 0:
            ledger.release(connection.cell, -change_bytes)
            return True
        if not ledger.allows(connection.cell, change_bytes, self.node.clock.now()):
            connection.accounted_bytes -= change_bytes
            return False
        ledger.force_acquire(connection.cell, change_bytes)
        return True

    # --- answers ---

    def _readers(self, now_ns: int) -> dict[str, list[CellClientConnection]]:
        """Return the clients with unread answers by cell; those that are overdue are dropped."""
        timeout_ns = self.node.dispatcher.deadline_controls.settings.slow_reader_timeout_ns
        readers: dict[str, list[CellClientConnection]] = {}
        for client in self.connections:
            assert isinstance(client, CellClientConnection)
            if client.paused_since_ns and now_ns - client.paused_since_ns > timeout_ns:
                self.drop_slow_reader(client)
            elif client.unread_bytes():
                readers.setdefault(client.cell, []).append(client)
        return readers

    def _drop_slowest(self, clients: list[CellClientConnection], amount_bytes: int) -> None:
        """Drop the clients with the most unread answers until these bytes are free."""
        for client in sorted(clients, key=ClientConnection.unread_bytes, reverse=True):
            if amount_bytes <= 0:
                break
            amount_bytes -= client.unread_bytes()
            self.drop_slow_reader(client)
