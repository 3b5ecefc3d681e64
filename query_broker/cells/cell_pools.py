"""The connection pools of endpoints, with a quota of descriptors for each cell."""

from __future__ import annotations

from typing import Protocol

from ..endpoints.connection_pool import ConnectionPool
from ..endpoints.connection_pools import DEDICATED_FRACTION, ConnectionPools
from ..endpoints.pool_interfaces import HandOverPolicy, UnsentObserver
from ..log import LogWriter
from ..overriding import override
from ..protocols.engine_connection import EngineConnection, EngineConnectionOwner
from .borrowing import RESERVED_FRACTION, Account, Ledger
from .request_accounting import RequestAccounting
from .router import CellRouter

#: The connection limit of a cell without a quota, such as a cell that the map has dropped.
CONNECTION_LIMIT_WITHOUT_QUOTA = 1


class PoolHost(Protocol):
    """The part of the dispatcher that the pools use."""

    accounting: RequestAccounting

    @property
    def connection_events(self) -> EngineConnectionOwner:
        """The owner of the connections."""

    @property
    def log(self) -> LogWriter:
        """The function that writes a log line of a kind and a text."""

    @property
    def router(self) -> CellRouter:
        """The decisions of all cells."""

    def now(self) -> int:
        """Return the time in Unix nanoseconds."""


class CellConnectionPools(ConnectionPools):
    """The pools of all endpoints, with the descriptors accounted to cells.

    Attributes:
        ledger: The ledger of descriptors; `count_use` updates the amounts in use.
    """

    def __init__(
        self,
        host: PoolHost,
        *,
        max_streams: int,
        connect_timeout_ns: int,
        endpoint_idle_timeout_ns: int,
        report_unsent: UnsentObserver,
        may_hand_over: HandOverPolicy,
    ) -> None:
        """Start without connections; see `ConnectionPools` for the arguments besides ``host``."""
        super().__init__(
            host.connection_events,
            host.log,
            max_streams=max_streams,
            connect_timeout_ns=connect_timeout_ns,
            endpoint_idle_timeout_ns=endpoint_idle_timeout_ns,
            report_unsent=report_unsent,
            may_hand_over=may_hand_over,
        )
        self._host = host
        self.ledger = Ledger()

    def cell(self, pool: ConnectionPool) -> str:
        """Return the cell of a pool's endpoint; empty if it has none."""
        return self._host.router.seats.cell_of(pool.number) or ""

    def count_use(self) -> None:
        """Account the connections to cells.

        Connections to endpoints without a cell, such as endpoints that are no longer listed, reduce
        the total.
        """
        used = dict.fromkeys(self.ledger.accounts, 0)
        unassigned_count = 0
        for pool in self.by_number.values():
            cell = self.cell(pool)
            count = _connection_count(pool)
            if cell in used:
                used[cell] += count
            else:
                unassigned_count += count
        for cell, count in used.items():
            self.ledger.set_in_use(cell, count)
        self.ledger.total = max(0, self.max_connections - unassigned_count)

    def _allowance(self, cell: str, account: Account) -> int:
        """Return how many connections the cell may have now: its quota and what it may borrow."""
        available = self.ledger.free() - self.ledger.reserved_for_others(cell)
        return max(account.quota, account.in_use + max(0, available))

    @override
    def dedicated_limit(self, pool: ConnectionPool) -> int:
        """Return how many dedicated connections each endpoint of the cell may have."""
        cell = self.cell(pool)
        facade = self._host.router.facades.get(cell)
        endpoints = facade.endpoints if facade is not None else set()
        endpoint_count = sum(number in self.by_number for number in endpoints)
        self.count_use()
        account = self.ledger.accounts.get(cell)
        allowance = (
            CONNECTION_LIMIT_WITHOUT_QUOTA if account is None else self._allowance(cell, account)
        )
        return max(1, int(allowance * DEDICATED_FRACTION) // max(1, endpoint_count))

    @override
    def has_dedicated_capacity(self, pool: ConnectionPool) -> bool:
        """Return whether an attempt may get a dedicated connection.

        While other cells still hold borrowed descriptors, attempts share connections.
        """
        cell = self.cell(pool)
        self.count_use()
        account = self.ledger.accounts.get(cell)
        if account is None:
            return False
        if account.in_use >= self._allowance(cell, account) * DEDICATED_FRACTION:
            return False
        return self.ledger.free() > 0 or bool(self._idle_connections())

    @override
    def reserve_descriptor(self, pool: ConnectionPool) -> bool:
        """Return whether the connection that is opening may stay; close an idle one if needed.

        The opening connection is already counted.
        """
        cell = self.cell(pool)
        now_ns = self._host.now()
        self.count_use()
        account = self.ledger.accounts.get(cell)
        if account is None:
            return super().reserve_descriptor(pool)
        if account.in_use <= self._allowance(cell, account) and self.ledger.free() >= 0:
            if account.in_use > RESERVED_FRACTION * account.quota:
                # The cell uses quota that others may borrow, so it reclaims that quota.
                self.ledger.allows(cell, 0, now_ns)
            return True
        if self._close_idle_connection_for(cell, account):
            return True
        self.ledger.allows(cell, 1, now_ns)
        return False

    def _close_idle_connection_for(self, cell: str, account: Account) -> bool:
        """Close an idle connection of the cell or, if the cell is within quota, of a borrower."""
        within_quota = account.in_use <= account.quota
        for connection in self._idle_connections():
            owner = self._host.router.seats.cell_of(connection.endpoint) or ""
            if owner == cell or (within_quota and self.ledger.borrows(owner)):
                connection.close()
                return True
        return False

    def call_in(self, now_ns: int) -> None:
        """Close connections of borrowers whose descriptors the owners reclaim.

        The connections with the fewest wanted attempts are closed first; connections that carry
        work that must not be cut short stay open.
        """
        if all(account.reclaim_since_ns is None for account in self.ledger.accounts.values()):
            return
        self.count_use()
        for cell, amount in self.ledger.amounts_to_call_in(now_ns).items():
            connections = [
                connection
                for connection in self._connections_of(cell)
                if not self._carries_firm_work(connection)
            ]
            for connection in sorted(connections, key=_call_in_order)[:amount]:
                connection.give_up("called in by the cell that owns the descriptor")

    def _connections_of(self, cell: str) -> list[EngineConnection]:
        connections: list[EngineConnection] = []
        for pool in self.by_number.values():
            if self.cell(pool) == cell:
                connections += [
                    connection for connection in pool.connections if not connection.ending
                ]
        return connections

    def _carries_firm_work(self, connection: EngineConnection) -> bool:
        return any(
            self._host.accounting.is_firm(attempt.request)
            for attempt in connection.in_flight.values()
            if attempt.is_wanted()
        )


def _connection_count(pool: ConnectionPool) -> int:
    open_count = sum(not connection.ending for connection in pool.connections)
    return open_count + (pool.opening is not None)


def _call_in_order(connection: EngineConnection) -> tuple[int, int]:
    """Return the sort key: the number of attempts that are still wanted, then the last use."""
    wanted_count = sum(attempt.is_wanted() for attempt in connection.in_flight.values())
    return wanted_count, connection.last_sent_ns
