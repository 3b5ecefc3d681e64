"""Admission of client connections: their limit, and which connection is evicted at the limit."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from ..protocols.client_connection import ClientConnection
from .host import NodeContext

# Each new connection beyond the limit looks for one to evict. During a flood of connections,
# checking all of them each time would use the processor time that the requests need.
MAX_EVICTION_CANDIDATES = 8


class ClientAdmission:
    """Owns the set of client connections of a node.

    A node with cells uses a subclass, which assigns each connection to a cell.

    Attributes:
        connections: The admitted connections.
        max_connections: How many connections are admitted. The other descriptors are reserved for
            connections to endpoints, so that a flood of clients cannot use them up.
    """

    def __init__(self, node: NodeContext) -> None:
        """Use the connection limit of the node's dispatcher."""
        self.node = node
        self.connections: set[ClientConnection] = set()
        self.max_connections = node.dispatcher.max_clients

    def admit(self, connection: ClientConnection) -> bool:
        """Admit a new connection; False if the limit is reached and none can be evicted."""
        if not self.make_room():
            reason = f"limit of {self.max_connections} connections reached: rejected a new one"
            self.node.log("client", reason)
            return False
        self.connections.add(connection)
        if self.node.closing_announced:
            connection.announce_shutdown()
        return True

    def make_room(self) -> bool:
        """Extension point: whether there is room for one more connection, after evicting one."""
        if len(self.connections) < self.max_connections:
            return True
        return self.evict(client for client in self.connections if client.idle())

    def evict(self, candidates: Iterable[ClientConnection]) -> bool:
        """Close one of the candidates; False if none can be closed.

        Otherwise idle connections would keep other clients out. Broken connections are evicted
        first, then those without any request, then the one that has been idle longest. After a
        stall of this process, or under load, a connection that appears idle may have unread input:
        it is not evicted, since closing it would lose that request.
        """
        preferred = heapq.nsmallest(
            MAX_EVICTION_CANDIDATES,
            candidates,
            key=lambda client: (not client.broken, client.has_sent_frame, client.last_used_ns),
        )
        evicted = next((client for client in preferred if not client.has_unread_input()), None)
        if evicted is None:
            return False
        self.discard(evicted)
        if evicted.broken:
            evicted.drop()
        else:
            evicted.close()
        return True

    def discard(self, connection: ClientConnection) -> None:
        """Extension point: remove a connection that ends, if it has not been removed yet."""
        self.connections.discard(connection)

    def close_slow_readers(self, now_ns: int) -> None:
        """Extension point: close the connections of clients that do not read their answers.

        A connection is closed if its client has read nothing for the configured time. If all unread
        answers exceed their memory limit, those are closed that would take the longest to read
        theirs. A client that reads is not closed for others that do not, however much it is sent.
        """
        dispatcher = self.node.dispatcher
        timeout_ns = dispatcher.deadline_controls.settings.slow_reader_timeout_ns
        unread_bytes = 0
        for client in self.connections:
            client.socket.measure_backlog()
        for client in sorted(self.connections, key=backlog_periods):
            unread_bytes += client.unread_bytes()
            is_stuck = client.paused_since_ns and now_ns - client.paused_since_ns > timeout_ns
            if unread_bytes > dispatcher.statement_capacity_bytes or is_stuck:
                self.drop_slow_reader(client)

    def drop_slow_reader(self, client: ClientConnection) -> None:
        """Drop the unread answers of a client and reset its connection."""
        self.node.log("client", "slow reader: dropped its unread answers and its connection")
        client.drop()


def backlog_periods(client: ClientConnection) -> float:
    """Return how long a client takes to read its answers; see `ClientSocket`."""
    return client.socket.backlog_periods
