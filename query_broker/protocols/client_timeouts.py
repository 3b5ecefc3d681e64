"""When a client connection that says nothing, or too little, is ended."""

from __future__ import annotations

from typing import Protocol

from ..timer_wheel import Timer
from .client_reader import ClientReader
from .client_requests import DispatcherHost
from .client_socket import ClientSocket

NS_PER_S = 1_000_000_000
# From connecting until a complete frame must be here.
FIRST_FRAME_TIMEOUT_NS = 2 * NS_PER_S
# From a frame's first byte to its last, where nothing else is open.
FRAME_TIMEOUT_NS = 2 * NS_PER_S
# Without a request; usual clients close after 4 s.
IDLE_TIMEOUT_NS = 5 * NS_PER_S
# For which a broken connection is read on, so that the error is not lost with a reset.
LINGER_NS = 1 * NS_PER_S


class WatchedConnection(Protocol):
    """The state of the connection that its timeouts go by."""

    has_sent_frame: bool
    last_used_ns: int

    def break_off(self, why: str) -> None:
        """End the connection with an error that belongs to no request."""

    def close(self) -> None:
        """End the connection after what has been written."""

    def drop(self) -> None:
        """End the connection at once."""


class ClientTimeouts:
    """The one timer of a connection.

    Who says nothing, stops in the middle of a frame or stays for good after one request holds a
    descriptor that usual clients need. It looks again when that may be due.
    """

    def __init__(
        self,
        host: DispatcherHost,
        connection: WatchedConnection,
        reader: ClientReader,
        client_socket: ClientSocket,
    ) -> None:
        """Take the connection's other parts; `start` begins to watch."""
        self.host = host
        self.connection = connection
        self.reader = reader
        self.socket = client_socket
        self.timer: Timer | None = None

    def start(self) -> None:
        """Watch a new connection."""
        self._check_at(self.connection.last_used_ns + FIRST_FRAME_TIMEOUT_NS)

    def stop(self) -> None:
        """Watch it no longer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def drop_after_linger(self) -> None:
        """End the connection once the client has had time to read the last of it."""
        due_ns = self.host.dispatcher.now() + LINGER_NS
        self.timer = self.host.dispatcher.timers.set_timer(due_ns, self.connection.drop)

    def check(self) -> None:
        """End the connection if it is due, else look again when it may be."""
        now = self.host.dispatcher.now()
        incomplete = self.reader.parser.buffered() > 0
        due_ns = self._due(now, incomplete)
        if due_ns > now:
            self._check_at(due_ns)
        elif self.connection.has_sent_frame and not incomplete:
            self.connection.close()
        else:
            self.connection.break_off("no whole frame in time")

    def _due(self, now: int, incomplete: bool) -> int:
        if self._has_work():
            return now + FRAME_TIMEOUT_NS
        if incomplete:
            return self.reader.frame_begun_ns + FRAME_TIMEOUT_NS
        if self.connection.has_sent_frame:
            return self.connection.last_used_ns + IDLE_TIMEOUT_NS
        return self.reader.frame_begun_ns + FIRST_FRAME_TIMEOUT_NS

    def _has_work(self) -> bool:
        """Return whether the connection is in use.

        A process that stood still, or was kept from its core, has not read what came meanwhile: a
        close over it would reset the connection, and lose requests that came long before.
        """
        if self.reader.requests.open or self.reader.waiting:
            return True
        return self.socket.unread() > 0 or self.socket.has_input()

    def _check_at(self, due_ns: int) -> None:
        self.timer = self.host.dispatcher.timers.set_timer(due_ns, self.check)
