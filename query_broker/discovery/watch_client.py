"""The client that watches the endpoint list of the discovery service.

It keeps one connection, resumes after the latest event when that is cut, notices that the service
has fallen silent, and moves to another address.
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

#: Nanoseconds without a byte after which a connection is dropped. A heartbeat comes every second,
#: and after an interruption events must have been applied 4 s later: that leaves time for a late
#: heartbeat and for the next connection to come up.
SILENCE_LIMIT_NS = 1_700_000_000
#: Seconds before the first attempt to reconnect, and the upper bound of the doubled backoff. After
#: a disconnection events must have been applied 2 s later: that leaves time for several attempts.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
#: The fraction of the backoff without jitter: the wait is drawn between it and the full backoff.
FIXED_BACKOFF_FRACTION = 0.5
#: Seconds in which a connection has to come up.
CONNECT_TIMEOUT_S = 0.5
#: Successive heartbeats with a lower offset than the latest known after which the service counts as
#: having restarted its numbering. A single one may come from a lagging replica.
HEARTBEATS_OF_NEW_NUMBERING = 2

#: In place of an offset: none.
NO_OFFSET = -1


class EventHandler(Protocol):
    """Handles the events of the endpoint list."""

    def __call__(self, event: EndpointListEvent, /) -> None:
        """Apply one event; each comes once, in the order of the offsets."""


class ReconnectPacing(Protocol):
    """When to connect, and which timeouts hold, where a large fleet watches one service.

    Attributes:
        first_wait_s: Seconds to the first attempt to connect.
    """

    first_wait_s: float

    def next_wait_s(self) -> float:
        """Return the seconds to the next attempt, after one that failed."""

    def connect_timeout_s(self) -> float:
        """Return the seconds in which a connection has to come up."""

    def silence_limit_ns(self) -> int:
        """Return the nanoseconds without a byte after which a connection is given up."""

    def list_confirmed(self) -> None:
        """Record that the service has sent, or confirmed, the latest event that it has."""


class WatchClient:
    """Keeps one connection to the service and hands its events on in order, each once.

    Attributes:
        address: Where the service listens.
        last_offset: The offset of the latest event that is known.
        on_event: Called with each event, in the order of the offsets.
        pacing: Paces the connects of a fleet; None where the service takes any number of clients.
        connection: The connection in use, None while there is none.
        backoff_s: The present backoff in seconds.
        last_received_ns: When the latest bytes came, in Unix nanoseconds.
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
        """Make a client; `start` connects it.

        Args:
            address: Host and port of the service.
            last_offset: The offset of the latest event that is known.
            on_event: Called with each event.
            clock: Gives the time in Unix nanoseconds.
            log: Writes a line to the log.
            generator: Draws the jitter of the backoff.
            pacing: See the attribute; it may be set until `start` is called.
        """
        self.address = address
        self.last_offset = last_offset
        self.on_event = on_event
        self.clock = clock
        self.log = log
        self.generator = generator
        self.pacing = pacing
        self.connection: WatchConnection | None = None
        self.backoff_s = FIRST_BACKOFF_S
        self.last_received_ns = clock.now()
        self._connecting: asyncio.Task[None] | None = None
        self._lower_heartbeats = 0  # how many in succession
        self._unreadable_after = NO_OFFSET  # the last offset before a line that could not be read

    def start(self) -> None:
        """Connect, after the wait of the pacing."""
        self._connect_after(0.0 if self.pacing is None else self.pacing.first_wait_s)

    def stop(self) -> None:
        """End the connection, and the attempt to open one."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self.connection is not None:
            self.connection.drop()

    def change_address(self, address: tuple[str, int]) -> None:
        """Connect to another address at once.

        The old connection stays until the new one has come up, since it may still receive events.
        Events are identified by their offset, so that none is applied twice.
        """
        if address != self.address:
            self.address = address
            self.backoff_s = FIRST_BACKOFF_S
            self._connect_after(0.0)

    def drop_if_silent(self, now_ns: int) -> None:
        """Drop the connection if the service has been silent; called every tick.

        A service that is cut off by a network partition sends nothing, and its events still have to
        be applied in time.
        """
        if self.connection is None:
            return
        limit_ns = SILENCE_LIMIT_NS if self.pacing is None else self.pacing.silence_limit_ns()
        if now_ns - self.last_received_ns > limit_ns:
            self.log("bus", "no heartbeat: reconnecting")
            self.last_received_ns = now_ns
            self.connection.drop()

    # --- reports of the connection ---

    def connection_up(self, connection: WatchConnection) -> None:
        """Use a connection that has come up in place of the old one."""
        if connection.address != self.address:  # the address changed again while it came up
            connection.drop()
            return
        self._connecting = None
        self.last_received_ns = self.clock.now()
        previous = self.connection
        self.connection = connection
        if previous is not None:
            previous.drop()

    def connection_lost(self, connection: WatchConnection) -> None:
        """Reconnect, unless another connection is in use or is being opened."""
        if connection is not self.connection:
            return
        self.connection = None
        self.log("bus", f"connection lost after event {self.last_offset}")
        if self._connecting is None:
            self._reconnect()

    def bytes_received(self) -> None:
        """Record that the service has sent something."""
        self.last_received_ns = self.clock.now()

    def line_rejected(self, reason: str) -> None:
        """Log why a connection is dropped."""
        self.log("bus", reason)

    def line_received(self, line: bytes) -> None:
        """Handle one line.

        A line that can't be read may have been damaged in transit: it is requested again on a new
        connection. If it can't be read then either, it is skipped.

        Raises:
            InvalidEventError: Events are missing before the line, or it can't be read for the
                first time.
        """
        try:
            event = parse_line(line)
        except InvalidEventError as error:
            if self._unreadable_after != self.last_offset:
                self._unreadable_after = self.last_offset
                raise
            self.log("bus", f"skipped a line after event {self.last_offset}: {error}")
            return
        if isinstance(event, EndpointListEvent):
            self._event_received(event)
        else:
            self._heartbeat_received(event)

    # --- lines ---

    def _event_received(self, event: EndpointListEvent) -> None:
        self._require_no_gap(event.offset, self.last_offset + 1)
        self.backoff_s = FIRST_BACKOFF_S
        if event.offset > self.last_offset:
            self.last_offset = event.offset
            self.on_event(event)
        self._list_confirmed()

    def _heartbeat_received(self, offset: Heartbeat) -> None:
        self._require_no_gap(offset, self.last_offset)
        self.backoff_s = FIRST_BACKOFF_S
        if self.pacing is not None and offset < self.last_offset:
            self._lower_offset_received(offset)
        else:
            self._list_confirmed()

    def _require_no_gap(self, offset: int, highest: int) -> None:
        """Raise `InvalidEventError` if events are missing, but not past an unreadable line."""
        if offset > highest and self._unreadable_after != self.last_offset:
            raise InvalidEventError(
                problem=f"events after {self.last_offset} are missing before {offset}"
            )

    def _list_confirmed(self) -> None:
        if self.pacing is not None:
            self._lower_heartbeats = 0
            self.pacing.list_confirmed()

    def _lower_offset_received(self, offset: int) -> None:
        """Request the complete list once the service has restarted its numbering.

        Brokers that know larger offsets would apply no event of it again. One lower heartbeat isn't
        enough, since the complete list costs the service more than an event.
        """
        self._lower_heartbeats += 1
        if self._lower_heartbeats < HEARTBEATS_OF_NEW_NUMBERING or self.connection is None:
            return
        self.log(
            "bus",
            f"event numbers restarted: {offset} after {self.last_offset}, polling the full list",
        )
        self.last_offset = 0
        self._lower_heartbeats = 0
        self.connection.drop()

    # --- connects ---

    def _connect_after(self, wait_s: float) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        self._connecting = asyncio.get_running_loop().create_task(self._connect(wait_s))

    async def _connect(self, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        address = self.address
        make_connection = partial(WatchConnection, self, address)
        timeout_s = CONNECT_TIMEOUT_S if self.pacing is None else self.pacing.connect_timeout_s()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().create_connection(make_connection, *address)
        except (OSError, TimeoutError) as error:
            if self._connecting is asyncio.current_task():
                self.log("bus", f"no connection: {error or 'no answer in time'}")
                self._connecting = None
                self._reconnect()

    def _reconnect(self) -> None:
        """Reconnect after the backoff.

        All brokers lose the service at the same time: without jitter they would reconnect together.
        """
        if self.pacing is None:
            jitter = FIXED_BACKOFF_FRACTION + self.generator.random() / 2
            self._connect_after(self.backoff_s * jitter)
        else:
            self._connect_after(self.pacing.next_wait_s())
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
