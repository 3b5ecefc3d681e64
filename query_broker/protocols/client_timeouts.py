"""Timeouts of a client connection: first frame, incomplete frame, idle time and linger."""

from __future__ import annotations

from typing import Protocol

from ..timer_wheel import Timer
from .client_reader import ClientReader
from .client_requests import DispatcherHost
from .client_socket import ClientSocket

NS_PER_S = 1_000_000_000
# From the start of the connection to its first complete frame.
FIRST_FRAME_TIMEOUT_NS = 2 * NS_PER_S
# From a frame's first byte to its last, while no request is open.
FRAME_TIMEOUT_NS = 2 * NS_PER_S
# Time without an open request; common clients close idle connections after 4 s.
IDLE_TIMEOUT_NS = 5 * NS_PER_S
# How long input of a broken connection is still read: a reset could destroy the error frame.
LINGER_NS = 1 * NS_PER_S


class WatchedConnection(Protocol):
    """The part of the connection that its timeouts use."""

    has_sent_frame: bool
    last_used_ns: int

    def end_with_error(self, reason: str) -> None:
        """End the connection with an error that belongs to no request."""

    def close(self) -> None:
        """End the connection after what has been written."""

    def drop(self) -> None:
        """End the connection at once."""


class ClientTimeouts:
    """Applies the timeouts of a connection with a single timer.

    A client that sends nothing, stops in the middle of a frame or stays connected after its last
    request holds a descriptor that other clients need. The timer fires when the next timeout may
    expire.
    """

    def __init__(
        self,
        host: DispatcherHost,
        connection: WatchedConnection,
        reader: ClientReader,
        client_socket: ClientSocket,
    ) -> None:
        """Connect the timeouts to the other parts of the connection; `start` sets the timer."""
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
        """End the connection if a timeout has expired, otherwise set the timer again."""
        now_ns = self.host.dispatcher.now()
        has_partial_frame = self.reader.parser.buffered_bytes() > 0
        expiry_ns = self._expiry_ns(now_ns, has_partial_frame)
        if expiry_ns > now_ns:
            self._check_at(expiry_ns)
        elif self.connection.has_sent_frame and not has_partial_frame:
            self.connection.close()
        else:
            self.connection.end_with_error("no whole frame in time")

    def _expiry_ns(self, now_ns: int, has_partial_frame: bool) -> int:
        """Return when the next timeout expires."""
        if self._is_in_use():
            return now_ns + FRAME_TIMEOUT_NS
        if has_partial_frame:
            return self.reader.frame_started_ns + FRAME_TIMEOUT_NS
        if self.connection.has_sent_frame:
            return self.connection.last_used_ns + IDLE_TIMEOUT_NS
        return self.reader.frame_started_ns + FIRST_FRAME_TIMEOUT_NS

    def _is_in_use(self) -> bool:
        """Return whether the connection is in use.

        After a stall of this process, requests may lie unread in the system's buffer. Closing the
        connection would reset it and lose these requests.
        """
        if self.reader.requests.by_stream or self.reader.waiting:
            return True
        return self.socket.unread_bytes() > 0 or self.socket.has_input()

    def _check_at(self, due_ns: int) -> None:
        self.timer = self.host.dispatcher.timer_wheel.set_timer(due_ns, self.check)
