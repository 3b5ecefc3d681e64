"""Timeouts of a client connection: first frame, incomplete frame, idle time and linger."""

from __future__ import annotations

from typing import Protocol

from ..timer_wheel import Timer
from .client_reader import ClientReader
from .client_requests import DispatcherHost
from .client_socket import ClientSocket

NS_PER_S = 1_000_000_000
# From the connection's start to its first complete frame.
FIRST_FRAME_TIMEOUT_NS = 2 * NS_PER_S
# From a frame's first byte to its last, where nothing else is open.
FRAME_TIMEOUT_NS = 2 * NS_PER_S
# Without an open request; common clients close after 4 s.
IDLE_TIMEOUT_NS = 5 * NS_PER_S
# How long a broken connection is still read, so that a reset does not destroy the error.
LINGER_NS = 1 * NS_PER_S


class WatchedConnection(Protocol):
    """The state of the connection that its timeouts depend on."""

    has_sent_frame: bool
    last_used_ns: int

    def break_off(self, reason: str) -> None:
        """End the connection with an error that belongs to no request."""

    def close(self) -> None:
        """End the connection after what has been written."""

    def drop(self) -> None:
        """End the connection at once."""


class ClientTimeouts:
    """The one timer of a connection.

    A client that sends nothing, stops in the middle of a frame or stays after its last request
    holds a descriptor that other clients need. The timer fires when the next timeout may expire.
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
        """Start the timer of a new connection."""
        self._check_at(self.connection.last_used_ns + FIRST_FRAME_TIMEOUT_NS)

    def stop(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def drop_after_linger(self) -> None:
        """End the connection once the client has had time to read the last bytes."""
        due_ns = self.host.dispatcher.now() + LINGER_NS
        self.timer = self.host.dispatcher.timer_wheel.set_timer(due_ns, self.connection.drop)

    def check(self) -> None:
        """End the connection if a timeout has expired, else set the timer anew."""
        now_ns = self.host.dispatcher.now()
        incomplete = self.reader.parser.buffered_bytes() > 0
        expiry_ns = self._expiry_ns(now_ns, incomplete)
        if expiry_ns > now_ns:
            self._check_at(expiry_ns)
        elif self.connection.has_sent_frame and not incomplete:
            self.connection.close()
        else:
            self.connection.break_off("no whole frame in time")

    def _expiry_ns(self, now_ns: int, incomplete: bool) -> int:
        """Return when the next timeout expires; ``incomplete``: a part of a frame has come."""
        if self._has_work():
            return now_ns + FRAME_TIMEOUT_NS
        if incomplete:
            return self.reader.frame_begun_ns + FRAME_TIMEOUT_NS
        if self.connection.has_sent_frame:
            return self.connection.last_used_ns + IDLE_TIMEOUT_NS
        return self.reader.frame_begun_ns + FIRST_FRAME_TIMEOUT_NS

    def _has_work(self) -> bool:
        """Return whether the connection is in use.

        After a stall of this process requests may lie unread in the system's buffer: to close the
        connection then would reset it and lose them.
        """
        if self.reader.requests.by_stream or self.reader.waiting:
            return True
        return self.socket.unread_bytes() > 0 or self.socket.has_input()

    def _check_at(self, due_ns: int) -> None:
        self.timer = self.host.dispatcher.timer_wheel.set_timer(due_ns, self.check)
