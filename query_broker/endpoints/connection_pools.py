"""The connection pools of all endpoints, and the budget of descriptors that they share."""

from __future__ import annotations

from ..decisions.facade import EndpointState
from ..discovery.event_codec import ListedEndpoint
from ..log import LogWriter
from ..protocols.engine_connection import EngineConnection, EngineConnectionOwner
from .connection_pool import ConnectionPool
from .pool_interfaces import ConnectPacing, HandOverPolicy, UnsentObserver

#: The fraction of the budget that dedicated connections may use. The rest is reserved for endpoints
#: that need a new connection: those without any, and those that have been silent.
DEDICATED_FRACTION = 3 / 4


class ConnectionPools:
    """All pools, and the number of connections that they may have together.

    Attributes:
        by_number: The pool of each endpoint, by the endpoint's number in the table.
        max_connections: The budget: how many connections all pools together may have.
        dedicated_connections: Whether each attempt gets a dedicated connection while the budget
            allows.
        connect_pacing: Delays connects to endpoints, or None if they need no delay.
    """

    def __init__(
        self,
        owner: EngineConnectionOwner,
        log: LogWriter,
        *,
        max_streams: int,
        connect_timeout_ns: int,
        endpoint_idle_timeout_ns: int,
        report_unsent: UnsentObserver,
        may_hand_over: HandOverPolicy,
    ) -> None:
        """Start without pools, and without a budget until `set_max_connections` gives one.

        Args:
            owner: The owner of the connections, which is notified of their events.
            log: Writes a line to the log.
            max_streams: See `apply_settings`.
            connect_timeout_ns: See `apply_settings`.
            endpoint_idle_timeout_ns: See `apply_settings`.
            report_unsent: Notified of attempts that end before any byte of them has been sent.
            may_hand_over: Called before an attempt that waited is given to a connection.
        """
        self.owner = owner
        self.log = log
        self.report_unsent = report_unsent
        self.may_hand_over = may_hand_over
        self.max_connections = 0
        self.dedicated_connections = True
        self.connect_pacing: ConnectPacing | None = None
        self.by_number: dict[int, ConnectionPool] = {}
        self.apply_settings(max_streams, connect_timeout_ns, endpoint_idle_timeout_ns)

    def apply_settings(
        self, max_streams: int, connect_timeout_ns: int, endpoint_idle_timeout_ns: int
    ) -> None:
        """Apply settings to all connections, existing ones included.

        Args:
            max_streams: Attempts that one connection may carry at a time.
            connect_timeout_ns: How long a connect may take.
            endpoint_idle_timeout_ns: After how long endpoints close a connection without work.
        """
        self.max_streams = max_streams
        self.connect_timeout_ns = connect_timeout_ns
        # An attempt that is sent while the endpoint closes an idle connection is lost, so the
        # broker closes idle connections well before the endpoint does.
        self.idle_timeout_ns = endpoint_idle_timeout_ns // 2

    def set_connect_pacing(self, pacing: ConnectPacing | None) -> None:
        """Register the pacing that delays connects to endpoints; None removes it."""
        self.connect_pacing = pacing

    def set_max_connections(self, max_connections: int) -> None:
        """Set the budget, and close idle connections that exceed it."""
        self.max_connections = max_connections
        # The excess is computed once: a closed connection leaves its pool only later.
        excess = max(0, self._count_connections() - max_connections)
        for connection in self._idle_connections()[:excess]:
            connection.close()

    def get(self, number: int) -> ConnectionPool | None:
        """Return the pool of an endpoint, if it has one."""
        return self.by_number.get(number)

    def update_target(self, number: int, target: ListedEndpoint) -> None:
        """Apply the latest entry of an endpoint in the list; a new endpoint gets its pool."""
        pool = self.by_number.get(number)
        if pool is not None:
            pool.update_target(target)
        else:
            self.by_number[number] = ConnectionPool(self, number, target)

    def dedicated_limit(self, pool: ConnectionPool) -> int:
        """Return how many dedicated connections ``pool`` may open."""
        listed_count = sum(
            other.target.state is not EndpointState.REMOVED for other in self.by_number.values()
        )
        return max(1, int(self.max_connections * DEDICATED_FRACTION) // max(1, listed_count))

    def has_dedicated_capacity(self, pool: ConnectionPool) -> bool:
        """Return whether the budget has a descriptor for one more dedicated connection."""
        return self._count_connections() < self.max_connections * DEDICATED_FRACTION

    def reserve_descriptor(self, pool: ConnectionPool) -> bool:
        """Return whether there is a descriptor for the connection that ``pool`` is opening.

        If the budget is used up, an idle connection is closed to free one. Connections beyond the
        budget would use the descriptors that are reserved for clients.
        """
        # The count includes the connection that is being opened.
        if self._count_connections() <= self.max_connections:
            return True
        idle = self._idle_connections()
        if not idle:
            return False
        idle[0].close()
        return True

    def connection_lost(self, connection: EngineConnection) -> None:
        """Drop a connection that has ended."""
        pool = self.by_number.get(connection.endpoint)
        if pool is not None and connection in pool.connections:
            pool.connections.remove(connection)

    def sweep(self, now_ns: int) -> None:
        """Sweep each pool, and drop the pools of removed endpoints once they are empty."""
        for number, pool in list(self.by_number.items()):
            pool.sweep(now_ns)
            is_empty = not pool.connections and pool.opening is None
            if is_empty and pool.target.state is EndpointState.REMOVED:
                del self.by_number[number]

    def close(self) -> None:
        """Close every connection, and cancel those that are being opened."""
        for pool in self.by_number.values():
            if pool.opening is not None:
                pool.opening.cancel()
            for connection in list(pool.connections):
                connection.close()

    def _count_connections(self) -> int:
        """Count the connections that are open or being opened, except those that are ending."""
        count = 0
        for pool in self.by_number.values():
            count += sum(not connection.ending for connection in pool.connections)
            count += pool.opening is not None
        return count

    def _idle_connections(self) -> list[EngineConnection]:
        return [
            connection
            for pool in self.by_number.values()
            for connection in pool.connections
            if connection.is_idle() and not connection.ending
        ]
