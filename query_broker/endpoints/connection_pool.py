"""The connections to one endpoint: opened as needed, bounded, closed when idle."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import NamedTuple, Protocol

from ..deadlines.handover_checks import HandOver
from ..decisions.facade import AttemptResult, EndpointState
from ..discovery.event_codec import Address, ListedEndpoint
from ..dispatch.requests import Attempt
from ..log import LogWriter
from ..protocols.engine_connection import EngineConnection, EngineConnectionOwner
from .connect import NS_PER_S, ConnectError, NoDescriptorError, connect
from .connection_choice import (
    choose_connection,
    has_full_queue,
    retire_silent,
    usable_connections,
)
from .pool_interfaces import ConnectPacing, HandOverPolicy, UnsentObserver

#: The connections of an endpoint that the list marks as removed are closed after this time without
#: a received byte. Longer than the limit for other endpoints, since closing a connection loses the
#: attempts that are still in flight on it.
REMOVED_SILENCE_LIMIT_NS = 3_000_000_000
#: Time after an attempt's deadline in which its answer may still arrive. Half a minute is long,
#: since the connection is retired afterwards.
LATE_ANSWER_TIMEOUT_NS = 30_000_000_000


class PoolContext(Protocol):
    """What one pool needs from the set of pools that it belongs to.

    Attributes:
        owner: The owner of the connections, which is notified of their events.
        log: Writes a line to the log.
        report_unsent: Notified of attempts that end before any byte of them has been sent.
        may_hand_over: Called before an attempt that waited is given to a connection.
        max_streams: Attempts that one connection may carry at a time.
        connect_timeout_ns: How long a connect may take.
        idle_timeout_ns: How long a connection without work is kept.
        dedicated_connections: Whether each attempt gets a dedicated connection while descriptors
            are available.
        connect_pacing: Delays connects, or None if they need no delay.
    """

    owner: EngineConnectionOwner
    log: LogWriter
    report_unsent: UnsentObserver
    may_hand_over: HandOverPolicy
    max_streams: int
    connect_timeout_ns: int
    idle_timeout_ns: int
    dedicated_connections: bool
    connect_pacing: ConnectPacing | None

    def dedicated_limit(self, pool: ConnectionPool) -> int:
        """Return how many dedicated connections this pool may open."""

    def has_dedicated_capacity(self, pool: ConnectionPool) -> bool:
        """Return whether the budget has a descriptor for one more dedicated connection."""

    def reserve_descriptor(self, pool: ConnectionPool) -> bool:
        """Return whether there is a descriptor for the connection that is being opened."""


class WaitingWork(NamedTuple):
    """Work that waited for a new connection; nothing of it has been sent.

    Attributes:
        attempts: The attempts, in the order of their arrival.
        health_checks: The tags of the health checks.
    """

    attempts: list[Attempt]
    health_checks: list[bytes]


class ConnectionPool:
    """The connections to one endpoint.

    At most one connection is being opened at a time. A retired connection takes no new work and is
    closed once nothing is in flight on it.

    Attributes:
        number: The endpoint's number in the table.
        target: The endpoint's latest entry in the list.
        connections: All open connections, including retired ones.
        waiting_attempts: Attempts that wait for a new connection; no byte of them has been sent.
        waiting_health_checks: Tags of the health checks that wait for a new connection.
        opening: The task that opens a connection, or None.
    """

    def __init__(self, pools: PoolContext, number: int, target: ListedEndpoint) -> None:
        """Start without a connection."""
        self.pools = pools
        self.number = number
        self.target = target
        self.connections: list[EngineConnection] = []
        self.waiting_attempts: list[Attempt] = []
        self.waiting_health_checks: list[bytes] = []
        self.opening: asyncio.Task[None] | None = None

    def send(self, attempt: Attempt, now_ns: int, may_connect: bool = True) -> None:
        """Give an attempt to a connection, or let it wait for a new one.

        A malformed answer or a reset ends the connection and fails all attempts in flight on it. If
        handshakes are cheap, each attempt therefore gets a dedicated connection, up to this
        endpoint's share of the descriptors; beyond that, attempts share connections.

        Args:
            attempt: An attempt of which no byte has been sent.
            now_ns: Unix nanoseconds.
            may_connect: Whether a new connection may be opened for the attempt. If not, an attempt
                that no connection can take is reported as not sent.
        """
        request_id = attempt.request.client_request_id
        max_streams = self.pools.max_streams
        connection = choose_connection(self.connections, request_id, max_streams, now_ns)
        if connection is None:
            # If the write queues to this endpoint are full, only one more connection would help.
            is_full = has_full_queue(self._usable_connections(now_ns), request_id, max_streams)
            if (is_full and not self._may_open_dedicated()) or not may_connect:
                self.pools.report_unsent(attempt, AttemptResult.NOT_SENT)
            else:
                self._wait_for_connection(attempt)
        elif (
            may_connect
            and connection.in_flight
            and self.pools.dedicated_connections
            and self._may_open_dedicated()
        ):
            self._wait_for_connection(attempt)
        else:
            attempt.connection = connection
            attempt.assigned_ns = now_ns
            connection.register(attempt)
            connection.send(attempt, now_ns)

    def send_health_check(self, tag: bytes, now_ns: int) -> None:
        """Send a health check on the least loaded connection, or on a new one if none is usable."""
        usable = self._usable_connections(now_ns)
        if usable:
            min(usable, key=_attempts_in_flight).send_health_check(tag)
        else:
            self.waiting_health_checks.append(tag)
            self._open()

    def forget_health_check(self, tag: bytes) -> None:
        """Stop waiting for the answer to a health check.

        Otherwise a health check that is never answered would keep its connection from counting as
        idle.
        """
        for connection in self.connections:
            connection.health_checks.discard(tag)
        if tag in self.waiting_health_checks:
            self.waiting_health_checks.remove(tag)

    def withdraw_waiting(self) -> None:
        """Report the attempts that wait for a connection as not sent; none of them has run."""
        attempts = self.waiting_attempts
        self.waiting_attempts = []
        for attempt in attempts:
            self.pools.report_unsent(attempt, AttemptResult.NOT_SENT)

    def retire_connections(self) -> None:
        """Retire all connections.

        Called when the endpoint may have restarted, perhaps without closing its old connections.
        """
        for connection in self.connections:
            connection.retired = True

    def update_target(self, target: ListedEndpoint) -> None:
        """Replace the endpoint's entry from the list.

        If the endpoint has a new address or has restarted, its old connections are retired.
        """
        previous = self.target
        self.target = target
        has_moved = not _listens_at(target, Address(previous.host, previous.port))
        if has_moved or target.started_ns > previous.started_ns:
            self.retire_connections()

    def sweep(self, now_ns: int) -> None:
        """Close the connections that are idle or on which no more answers are expected."""
        for connection in list(self.connections):
            connection.check(now_ns)
            idle_ns = now_ns - max(connection.last_sent_ns, connection.last_received_ns)
            is_stale = connection.retired or idle_ns > self.pools.idle_timeout_ns
            if connection.is_idle() and is_stale:
                connection.close()
            else:
                _close_if_unanswered(connection, self.target, now_ns)

    def _usable_connections(self, now_ns: int) -> list[EngineConnection]:
        return usable_connections(self.connections, now_ns)

    def _may_open_dedicated(self) -> bool:
        if len(self.connections) >= self.pools.dedicated_limit(self):
            return False
        return self.pools.has_dedicated_capacity(self)

    def _wait_for_connection(self, attempt: Attempt) -> None:
        self.waiting_attempts.append(attempt)
        self._open()

    def _open(self) -> None:
        if self.opening is None:
            self.opening = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        """Open a connection, then send the waiting work or report why it can't be sent."""
        pacing = self.pools.connect_pacing
        if pacing is not None:
            await asyncio.sleep(pacing.connect_delay_ns(self.number) / NS_PER_S)
        started_ns = self.pools.owner.now()
        try:
            connection = await self._open_connection(Address(self.target.host, self.target.port))
        except ConnectError as error:
            self._connect_failed(error, started_ns)
        else:
            self._connected(connection)

    async def _open_connection(self, address: Address) -> EngineConnection:
        if not self.pools.reserve_descriptor(self):
            raise NoDescriptorError(address)
        make_connection = partial(EngineConnection, self.pools.owner, self.number)
        connection = await connect(make_connection, address, self.pools.connect_timeout_ns)
        if connection.closed:
            raise ConnectError(address, "connection lost right after the connect")
        if not _listens_at(self.target, address):
            # Another endpoint may listen there by now, and must not get this endpoint's attempts.
            connection.close()
            raise ConnectError(address, "endpoint moved or was removed during the connect")
        return connection

    def _connected(self, connection: EngineConnection) -> None:
        waiting = self._end_opening()
        now_ns = self.pools.owner.now()
        self.connections.append(connection)
        for tag in waiting.health_checks:
            connection.send_health_check(tag)
        self._send_all(waiting.attempts, now_ns, may_connect=True)

    def _connect_failed(self, error: ConnectError, started_ns: int) -> None:
        waiting = self._end_opening()
        now_ns = self.pools.owner.now()
        address = f"{self.target.host}:{self.target.port}"
        self.pools.log("engine", f"{self.target.uid} at {address}: {error.reason}")
        if any(
            connection.last_received_ns >= started_ns
            for connection in self._usable_connections(now_ns)
        ):
            # The endpoint has sent something since the connect began, so it isn't down.
            for tag in waiting.health_checks:
                self.send_health_check(tag, now_ns)
            self._send_all(waiting.attempts, now_ns, may_connect=False)
            return
        if error.result is AttemptResult.CONNECT_FAILED:
            retire_silent(self.connections, now_ns)
        for tag in waiting.health_checks:
            self.pools.owner.health_check_ended(tag, error.result, "")
        for attempt in waiting.attempts:
            self.pools.report_unsent(attempt, error.result)

    def _end_opening(self) -> WaitingWork:
        waiting = WaitingWork(self.waiting_attempts, self.waiting_health_checks)
        self.opening = None
        self.waiting_attempts = []
        self.waiting_health_checks = []
        return waiting

    def _send_all(self, attempts: list[Attempt], now_ns: int, may_connect: bool) -> None:
        for attempt in attempts:
            if self.pools.may_hand_over(attempt, HandOver.CONNECTION):
                self.send(attempt, now_ns, may_connect)


def _listens_at(target: ListedEndpoint, address: Address) -> bool:
    if target.state is EndpointState.REMOVED:
        return False
    return address == (target.host, target.port)


def _close_if_unanswered(connection: EngineConnection, target: ListedEndpoint, now_ns: int) -> None:
    """Close a connection on which no more answers are expected."""
    overdue = [
        now_ns > attempt.deadline_ns + LATE_ANSWER_TIMEOUT_NS
        for attempt in connection.in_flight.values()
    ]
    if any(overdue):
        # A stream whose answer never comes would stay in use forever. The connection is closed once
        # all its attempts are overdue.
        connection.retired = True
        if all(overdue):
            connection.close()
    elif (
        target.state is EndpointState.REMOVED
        and now_ns - connection.last_received_ns > REMOVED_SILENCE_LIMIT_NS
    ):
        # A failed machine does not reset its connections: the attempts in flight, which may have
        # run, would stay open until their deadlines although no answer can come.
        connection.close()


def _attempts_in_flight(connection: EngineConnection) -> int:
    return len(connection.in_flight)
