"""The client that watches the endpoint list of the discovery service.

The client uses one connection, resumes after the latest event when the connection is lost, detects
that the service has fallen silent, and can move to another address. A silent connection may be dead
or only slow: it stays open beside its successors until one of them all has sent a line.
"""

from __future__ import annotations

import asyncio
import random
from functools import partial
from typing import Protocol

from ..log import LogWriter
from ..timer_wheel import Clock
from .event_codec import EndpointListEvent, Heartbeat, InvalidEventError, parse_line
from .watch_connection import WatchConnection

#: Another connection is opened after this time without a received byte. Heartbeats come every
#: second, and events must be applied within 4 s after an interruption: this leaves time for a late
#: heartbeat and for the next connect.
SERVICE_SILENCE_LIMIT_NS = 1_700_000_000
#: The limit once this many connections are silent: the path is slow or cut, rather than one
#: connection dead, and further connections add load without news.
SLOW_PATH_CONNECTION_COUNT = 2
SLOW_PATH_SILENCE_LIMIT_NS = 2 * SERVICE_SILENCE_LIMIT_NS
#: Silent connections that stay open; beyond that, the one that was opened first is dropped. It has
#: then been silent for longer than an endpoint list is ever late.
MAX_SILENT_CONNECTIONS = 4
#: Initial reconnect backoff, and the limit up to which it doubles. Events must be applied within
#: 2 s after a disconnection: this leaves time for several connects.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
#: Lower end of the jitter: the wait is drawn between this fraction of the backoff and all of it.
MIN_BACKOFF_FRACTION = 0.5
CONNECT_TIMEOUT_S = 0.5
#: After this many successive heartbeats with an offset below the latest known one, the service is
#: considered to have restarted its numbering. A single one may come from a lagging replica.
RENUMBERING_HEARTBEAT_COUNT = 2

#: Stands for the absence of an offset.
NO_OFFSET = -1


class EventHandler(Protocol):
    """Handles the events of the endpoint list."""

    def __call__(self, event: EndpointListEvent, /) -> None:
        """Apply one event; each event is passed once, in the order of the offsets."""


class ReconnectPacing(Protocol):
    """Paces connects and sets timeouts for a large fleet that watches one service.

    Attributes:
        first_wait_s: Seconds before the first connect.
    """

    first_wait_s: float

    def next_wait_s(self) -> float:
        """Return the seconds to wait before the next connect after a failed one."""

    def connect_timeout_s(self) -> float:
        """Return the connect timeout in seconds."""

    def silence_limit_ns(self) -> int:
        """Return the nanoseconds without a received byte after which another one is opened."""

    def list_confirmed(self) -> None:
        """Record that the list is up to date: the service has sent or confirmed its last event."""


class WatchClient:
    """Watches the service on one connection and passes its events on in order, each once.

    Attributes:
        address: Host and port of the service.
        last_offset: The offset of the latest known event.
        on_event: Called with each event, in the order of the offsets.
        pacing: Paces the connects of a fleet; None if the service needs no pacing.
        connection: The connection in use, or None.
        silent_connections: Earlier connections to the same service that have fallen silent but are
            still open, the oldest first.
        backoff_s: The current backoff in seconds.
        last_received_ns: When bytes were last received, in Unix nanoseconds.
    """

    def __init__(
        self,
        address: tuple[str, int],
        last_offset: int,
        on_event: EventHandler,
        clock: Clock,
        log: LogWriter,
        generator: random.Random,
        pacing: ReconnectPacing | None = None,
    ) -> None:
        """Create a client; `start` connects it.

        Args:
            address: Host and port of the service.
            last_offset: The offset of the latest known event.
            on_event: Called with each event.
            clock: Gives the time in Unix nanoseconds.
            log: Writes a line to the log.
            generator: Draws the jitter of the backoff.
            pacing: See the attribute, which may also be set before `start` is called.
        """
        self.address = address
        self.last_offset = last_offset
        self.on_event = on_event
        self.clock = clock
        self.log = log
        self.generator = generator
        self.pacing = pacing
        self.connection: WatchConnection | None = None
        self.silent_connections: list[WatchConnection] = []
        self.backoff_s = FIRST_BACKOFF_S
        self.last_received_ns = clock.now()
        self._connect_task: asyncio.Task[None] | None = None
        self._lower_heartbeat_count = 0
        # The latest offset when a line could not be parsed.
        self._offset_before_invalid_line = NO_OFFSET

    def start(self) -> None:
        """Connect, after the initial wait if connects are paced."""
        self._connect_after(0.0 if self.pacing is None else self.pacing.first_wait_s)

    def stop(self) -> None:
        """Close all connections, and cancel a pending connect."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        self._drop_silent_connections()
        if self.connection is not None:
            self.connection.drop()

    def change_address(self, address: tuple[str, int]) -> None:
        """Connect to another address at once.

        The old connection is kept until the new one is established, since it may still receive
        events. Events are identified by their offset, so none is applied twice.
        """
        if address != self.address:
            self.address = address
            self.backoff_s = FIRST_BACKOFF_S
            self._connect_after(0.0)

    def reconnect_if_silent(self, now_ns: int) -> None:
        """Open another connection if the service has been silent; called every tick.

        After a network partition the connection stays open without receiving anything, and the
        events have to be received in time on another one. Where the service or the path to it is
        only slow, they arrive on the connection first that was opened first: it stays open.
        """
        if self.connection is None or now_ns - self.last_received_ns <= self._silence_limit_ns():
            return
        self.log("bus", "no heartbeat: reconnecting")
        self.last_received_ns = now_ns
        self.silent_connections.append(self.connection)
        self.connection = None
        if len(self.silent_connections) > MAX_SILENT_CONNECTIONS:
            self.silent_connections.pop(0).drop()
        if self._connect_task is None:
            self._reconnect()

    def _silence_limit_ns(self) -> int:
        if self.pacing is not None:
            return self.pacing.silence_limit_ns()
        if len(self.silent_connections) >= SLOW_PATH_CONNECTION_COUNT:
            return SLOW_PATH_SILENCE_LIMIT_NS
        return SERVICE_SILENCE_LIMIT_NS

    def connection_up(self, connection: WatchConnection) -> None:
        """Use an established connection in place of the previous one."""
        if connection.address != self.address:  # the address changed during the connect
            connection.drop()
            return
        self._connect_task = None
        self.last_received_ns = self.clock.now()
        previous = self.connection
        self.connection = connection
        if previous is not None:
            previous.drop()
        if any(silent.address != self.address for silent in self.silent_connections):
            self._drop_silent_connections()

    def connection_lost(self, connection: WatchConnection) -> None:
        """Reconnect, unless another connection is in use or is being opened."""
        if connection in self.silent_connections:
            self.silent_connections.remove(connection)
        if connection is not self.connection:
            return
        self.connection = None
        self.log("bus", f"connection lost after event {self.last_offset}")
        if self._connect_task is None:
            self._reconnect()

    def bytes_received(self) -> None:
        """Record that the service has sent something."""
        self.last_received_ns = self.clock.now()

    def _use_only(self, connection: WatchConnection) -> None:
        """Use the connection that has sent a line, and drop the others to the same service."""
        if connection in self.silent_connections:
            self.silent_connections.remove(connection)
            if connection.address == self.address and self._connect_task is not None:
                self._connect_task.cancel()
                self._connect_task = None
            successor = self.connection
            self.connection = connection
            if successor is not None:
                successor.drop()
        self._drop_silent_connections()

    def _drop_silent_connections(self) -> None:
        silent_connections = self.silent_connections
        self.silent_connections = []
        for connection in silent_connections:
            connection.drop()

    def line_rejected(self, reason: str) -> None:
        """Log why a line was rejected; its connection is dropped."""
        self.log("bus", reason)

    def line_received(self, connection: WatchConnection, line: bytes) -> None:
        """Handle one line of a connection, which is used from then on.

        A line that can't be parsed may have been corrupted in transit: it is requested again on a
        new connection. If it still can't be parsed, it is skipped.

        Raises:
            InvalidEventError: Events are missing before the line, or it can't be parsed and has
                not been requested again yet.
        """
        try:
            event = parse_line(line)
        except InvalidEventError as error:
            if self._offset_before_invalid_line != self.last_offset:
                self._offset_before_invalid_line = self.last_offset
                raise
            self.log("bus", f"skipped a line after event {self.last_offset}: {error}")
            return
        if isinstance(event, EndpointListEvent):
            self._require_no_gap(event.offset, self.last_offset + 1)
            self._use_only(connection)
            self._event_received(event)
        else:
            self._require_no_gap(event, self.last_offset)
            self._use_only(connection)
            self._heartbeat_received(event)

    def _event_received(self, event: EndpointListEvent) -> None:
        self.backoff_s = FIRST_BACKOFF_S
        if event.offset > self.last_offset:
            self.last_offset = event.offset
            self.on_event(event)
        self._list_confirmed()

    def _heartbeat_received(self, offset: Heartbeat) -> None:
        self.backoff_s = FIRST_BACKOFF_S
        if self.pacing is not None and offset < self.last_offset:
            self._lower_offset_received(offset)
        else:
            self._list_confirmed()

    def _require_no_gap(self, offset: int, highest_expected: int) -> None:
        """Check that no events are missing; a gap is accepted at a line that could not be parsed.

        Raises:
            InvalidEventError: Events are missing before this offset.
        """
        if offset > highest_expected and self._offset_before_invalid_line != self.last_offset:
            raise InvalidEventError(
                problem=f"events after {self.last_offset} are missing before {offset}"
            )

    def _list_confirmed(self) -> None:
        if self.pacing is not None:
            self._lower_heartbeat_count = 0
            self.pacing.list_confirmed()

    def _lower_offset_received(self, offset: int) -> None:
        """Request the complete list once the service has restarted its numbering.

        Otherwise brokers that know larger offsets would ignore all new events. One lower heartbeat
        isn't enough, since the complete list costs the service more than an event.
        """
        self._lower_heartbeat_count += 1
        if self._lower_heartbeat_count < RENUMBERING_HEARTBEAT_COUNT or self.connection is None:
            return
        self.log(
            "bus",
            f"event numbers restarted: {offset} after {self.last_offset}, requesting the full list",
        )
        self.last_offset = 0
        self._lower_heartbeat_count = 0
        self.connection.drop()

    def _connect_after(self, wait_s: float) -> None:
        if self._connect_task is not None:
            self._connect_task.cancel()
        self._connect_task = asyncio.get_running_loop().create_task(self._connect(wait_s))

    async def _connect(self, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        address = self.address
        make_connection = partial(WatchConnection, self, address)
        timeout_s = CONNECT_TIMEOUT_S if self.pacing is None else self.pacing.connect_timeout_s()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().create_connection(make_connection, *address)
        except (OSError, TimeoutError) as error:
            if self._connect_task is asyncio.current_task():
                self.log("bus", f"no connection: {error or 'connect timed out'}")
                self._connect_task = None
                self._reconnect()

    def _reconnect(self) -> None:
        """Reconnect after the backoff.

        When the service fails, all brokers lose it at the same time: without jitter they would
        reconnect at the same time.
        """
        if self.pacing is None:
            jitter = MIN_BACKOFF_FRACTION + self.generator.random() / 2
            self._connect_after(self.backoff_s * jitter)
        else:
            self._connect_after(self.pacing.next_wait_s())
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
