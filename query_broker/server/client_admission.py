"""Admission of client connections: how many there may be, and which one makes room for another."""

from __future__ import annotations

from collections.abc import Iterable

from ..protocols.client_connection import ClientConnection
from .host import NodeContext


class ClientAdmission:
    """Owns the set of client connections of a node.

    A node with cells derives its own class, which accounts each connection to a cell.

    Attributes:
        connections: The connections that have a place.
        max_connections: How many places there are. The rest of the descriptors is reserved: a flood
            of clients must leave enough to reach the endpoints.
    """

    def __init__(self, node: NodeContext) -> None:
        """Take the number of places from the node's dispatcher."""
        self.node = node
        self.connections: set[ClientConnection] = set()
        self.max_connections = node.dispatcher.max_clients

    def admit(self, connection: ClientConnection) -> bool:
        """Give a new connection a place; False where all are taken by clients that are served."""
        if not self.has_place():
            reason = f"more than {self.max_connections} connections: one is rejected"
            self.node.log("client", reason)
            return False
        self.connections.add(connection)
        if self.node.closing_announced:
            connection.announce_shutdown()
        return True

    def has_place(self) -> bool:
        """Extension point: whether one more connection has a place, after an eviction if needed."""
        if len(self.connections) < self.max_connections:
            return True
        return self.evict(client for client in self.connections if client.idle())

    def evict(self, candidates: Iterable[ClientConnection]) -> bool:
        """End one of the candidates; False where there is none.

        Connections that never send a request, or stay after one, would keep other clients out.
        Evicted are first those that are ending, then the silent ones, then the longest idle one.
        """
        victim = min(
            candidates,
            key=lambda client: (not client.broken, client.has_sent_frame, client.last_used_ns),
            default=None,
        )
        if victim is None:
            return False
        self.discard(victim)
        if victim.broken:
            victim.drop()
        else:
            victim.close()
        return True

    def discard(self, connection: ClientConnection) -> None:
        """Extension point: release the place of a connection that ends, if it still has one."""
        self.connections.discard(connection)

    def close_slow_readers(self, now_ns: int) -> None:
        """Extension point: close the connections whose unread answers take too much.

        One goes if it has read nothing for the configured time; past the limit of memory for unread
        answers, those with the most of them go.
        """
        dispatcher = self.node.dispatcher
        timeout_ns = dispatcher.deadline_controls.settings.slow_reader
        unread = 0  # bytes
        for client in sorted(self.connections, key=ClientConnection.unread_bytes):
            unread += client.unread_bytes()
            is_stuck = client.paused_since_ns and now_ns - client.paused_since_ns > timeout_ns
            if unread > dispatcher.statement_capacity_bytes or is_stuck:
                self.drop_slow_reader(client)

    def drop_slow_reader(self, client: ClientConnection) -> None:
        """Give up the unread answers of a client and reset its connection."""
        self.node.log("client", "unread answers are given up, their connection closed")
        client.drop()
