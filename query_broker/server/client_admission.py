"""Admission of client connections: how many there may be, and which one is evicted."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from ..protocols.client_connection import ClientConnection
from .host import NodeContext

# Connections that are looked at for one that can be evicted. In a crowd each new connection looks:
# to look at all of them would take the time that their requests need.
MAX_EVICTION_TRIES = 8


class ClientAdmission:
    """Owns the set of client connections of a node.

    A node with cells derives its own class, which accounts each connection to a cell.

    Attributes:
        connections: The admitted connections.
        max_connections: How many connections are admitted. The other descriptors are reserved for
            connections to endpoints, so that a flood of clients cannot use them up.
    """

    def __init__(self, node: NodeContext) -> None:
        """Take the maximum from the node's dispatcher."""
        self.node = node
        self.connections: set[ClientConnection] = set()
        self.max_connections = node.dispatcher.max_clients

    def admit(self, connection: ClientConnection) -> bool:
        """Admit a new connection; False if none can be evicted for it."""
        if not self.has_place():
            reason = f"more than {self.max_connections} connections: one is rejected"
            self.node.log("client", reason)
            return False
        self.connections.add(connection)
        if self.node.closing_announced:
            connection.announce_shutdown()
        return True

    def has_place(self) -> bool:
        """Extension point: whether one more connection is admitted, after an eviction if needed."""
        if len(self.connections) < self.max_connections:
            return True
        return self.evict(client for client in self.connections if client.idle())

    def evict(self, candidates: Iterable[ClientConnection]) -> bool:
        """End one of the candidates; False if there is none.

        Otherwise connections that never send a request, or stay open after one, would keep other
        clients out. Broken connections are evicted first, then those without any request, then the
        one that has been idle longest. One that seems idle may have sent a request that is still
        unread, after a stall of this process or in a crowd: to close it would lose that request.
        """
        first = heapq.nsmallest(
            MAX_EVICTION_TRIES,
            candidates,
            key=lambda client: (not client.broken, client.has_sent_frame, client.last_used_ns),
        )
        evicted = next((client for client in first if not client.has_unread_input()), None)
        if evicted is None:
            return False
        self.discard(evicted)
        if evicted.broken:
            evicted.drop()
        else:
            evicted.close()
        return True

    def discard(self, connection: ClientConnection) -> None:
        """Extension point: remove a connection that ends, if it is still admitted."""
        self.connections.discard(connection)

    def close_slow_readers(self, now_ns: int) -> None:
        """Extension point: close the connections whose unread answers use too much memory.

        A connection is closed if its client has read nothing for the configured time. Beyond the
        memory limit for unread answers, those with the most unread bytes are closed.
        """
        dispatcher = self.node.dispatcher
        timeout_ns = dispatcher.deadline_controls.settings.slow_reader_timeout_ns
        unread_bytes = 0
        for client in sorted(self.connections, key=ClientConnection.unread_bytes):
            unread_bytes += client.unread_bytes()
            is_stuck = client.paused_since_ns and now_ns - client.paused_since_ns > timeout_ns
            if unread_bytes > dispatcher.statement_capacity_bytes or is_stuck:
                self.drop_slow_reader(client)

    def drop_slow_reader(self, client: ClientConnection) -> None:
        """Drop the unread answers of a client and reset its connection."""
        self.node.log("client", "unread answers are given up, their connection closed")
        client.drop()
