"""Accounts client connections, incomplete frames and unread answers to cells."""

from __future__ import annotations

from ..overriding import override
from ..protocols.client_connection import ClientConnection
from ..protocols.partial_frames import FrameHolder
from ..server.client_admission import ClientAdmission, backlog_periods
from ..server.host import NodeContext
from .client_connection import CellClientConnection
from .client_seat import UNASSIGNED
from .dispatcher import CellDispatcher
from .model import CellMap
from .read_turns import ReadTurns


class CellAdmission(ClientAdmission):
    """Admits client connections and accounts each of them to a cell."""

    def __init__(
        self, node: NodeContext, dispatcher: CellDispatcher, read_turns: ReadTurns
    ) -> None:
        """Start without connections; closing connections are removed from ``read_turns``."""
        super().__init__(node)
        self._dispatcher = dispatcher
        self._read_turns = read_turns

    @override
    def make_room(self) -> bool:
        """Account a new connection as unassigned; its first request assigns it to a cell."""
        return self._acquire_connection(UNASSIGNED)

    @override
    def discard(self, connection: ClientConnection) -> None:
        """Release a connection's charge to its cell, and remove it from the read queue."""
        assert isinstance(connection, CellClientConnection)
        self._read_turns.discard(connection)
        if connection in self.connections:
            self.connections.discard(connection)
            self._dispatcher.connections.release(connection.cell, 1)

    @override
    def close_slow_readers(self, now_ns: int) -> None:
        """Close overdue and slow readers, and call in borrowed connections."""
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
            # Called for its side effect: a cell that uses its unreserved quota reclaims it.
            ledger.allows(cell, 0, now_ns)

    def _acquire_connection(self, cell: str) -> bool:
        """Account a connection to the cell, with an eviction if needed; return whether it was."""
        ledger = self._dispatcher.connections
        now_ns = self.node.clock.now()
        if ledger.acquire(cell, 1, now_ns):
            return True
        return self._evict_for(cell) and ledger.acquire(cell, 1, now_ns)

    def _evict_for(self, cell: str) -> bool:
        """Close an idle connection of the cell or, if the cell is within quota, of a borrower."""
        ledger = self._dispatcher.connections
        owner = ledger.accounts.get(cell)
        within_quota = owner is not None and owner.in_use < owner.quota
        return self.evict(
            client
            for client in self.connections
            if isinstance(client, CellClientConnection)
            and client.idle()
            and (client.cell == cell or (within_quota and ledger.borrows(client.cell)))
        )

    def assign_to_cell(self, connection: CellClientConnection, cell: str) -> bool:
        """Account a connection to the cell of its request; return False if the cell is full.

        A connection that is no longer admitted was evicted and will close soon, so it is ignored.
        """
        if connection not in self.connections:
            return True
        ledger = self._dispatcher.connections
        ledger.release(connection.cell, 1)
        if not self._acquire_connection(cell):
            ledger.force_acquire(connection.cell, 1)  # it stays accounted to its previous cell
            return False
        self._assign(connection, cell)
        return True

    def _assign(self, connection: CellClientConnection, cell: str) -> None:
        """Set the cell of a connection and move its incomplete frames to that cell."""
        self._dispatcher.frames.release(connection.cell, connection.accounted_bytes)
        self._dispatcher.frames.force_acquire(cell, connection.accounted_bytes)
        connection.cell = cell

    def leave_dropped_cells(self, map: CellMap) -> None:
        """Make connections of cells that are no longer in the map unassigned."""
        for connection in self.connections:
            if not isinstance(connection, CellClientConnection) or connection.cell == UNASSIGNED:
                continue
            if map.cell(connection.cell) is not None:
                continue
            self._dispatcher.connections.release(connection.cell, 1)
            self._dispatcher.connections.force_acquire(UNASSIGNED, 1)
            self._assign(connection, UNASSIGNED)

    def _call_in_connections(self, now_ns: int) -> None:
        """Call in borrowed connections: close idle ones, and announce a shutdown to the others."""
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

    def account_partial_frames(self, connection: CellClientConnection, change_bytes: int) -> bool:
        """Account a change of incomplete frames; return False if the cell has no capacity.

        If it has none, connections of the cell give way to those whose clients go on.
        """
        ledger = self._dispatcher.frames
        if not change_bytes:
            return True
        if change_bytes < 0:
            ledger.release(connection.cell, -change_bytes)
            return True
        now_ns = self.node.clock.now()
        has_capacity = ledger.allows(connection.cell, change_bytes, now_ns)
        ledger.force_acquire(connection.cell, change_bytes)
        while not has_capacity:
            ended = self._end_one_partial_frame(connection)
            if ended is None or connection.broken:
                return False
            has_capacity = ledger.allows(connection.cell, 0, now_ns)
        return True

    def _end_one_partial_frame(self, connection: CellClientConnection) -> FrameHolder | None:
        """End a connection in the middle of a frame: of the same cell, or of one that borrows."""
        ledger = self._dispatcher.frames
        within_quota = not ledger.borrows(connection.cell)
        readers: list[FrameHolder] = [
            client.reader
            for client in self.connections
            if isinstance(client, CellClientConnection)
            and (client.cell == connection.cell or (within_quota and ledger.borrows(client.cell)))
        ]
        return self.node.partial_frames.reclaim_from(readers)

    def _readers(self, now_ns: int) -> dict[str, list[CellClientConnection]]:
        """Return the clients with unread answers by cell, and drop those past the timeout."""
        timeout_ns = self.node.dispatcher.deadline_controls.settings.slow_reader_timeout_ns
        readers: dict[str, list[CellClientConnection]] = {}
        for client in self.connections:
            assert isinstance(client, CellClientConnection)
            client.socket.measure_backlog()
            if client.paused_since_ns and now_ns - client.paused_since_ns > timeout_ns:
                self.drop_slow_reader(client)
            elif client.unread_bytes():
                readers.setdefault(client.cell, []).append(client)
        return readers

    def _drop_slowest(self, clients: list[CellClientConnection], amount_bytes: int) -> None:
        """Drop those that take the longest to read their answers until this amount is freed."""
        for client in sorted(clients, key=backlog_periods, reverse=True):
            if amount_bytes <= 0:
                break
            amount_bytes -= client.unread_bytes()
            self.drop_slow_reader(client)
