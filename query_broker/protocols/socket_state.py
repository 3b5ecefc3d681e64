"""The state of a connection as the system reports it, without reading or writing.

Each function makes one system call that does not block.
"""

from __future__ import annotations

import array
import fcntl
import select
import socket
import struct
import termios

# Used instead of a descriptor that does not exist or must no longer be used.
NO_DESCRIPTOR = -1
# The peer has closed or reset the connection. Not every system has POLLRDHUP.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_ended(fd: int) -> bool:
    """Return whether the peer has closed or reset the connection.

    The end of the stream is read only after all data before it, so a reader that takes turns would
    notice it late.
    """
    return _is_signalled(fd, PEER_CLOSED)


def has_input(fd: int) -> bool:
    """Return whether bytes wait to be read, or connections to be accepted on a listening socket."""
    return _is_signalled(fd, select.POLLIN)


def unacknowledged_bytes(fd: int) -> int:
    """Return how many written bytes the peer's system has not acknowledged; 0 if it is unknown."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(fd, termios.TIOCOUTQ, count)
    except (OSError, ValueError):
        return 0
    return count[0]


def discard_unsent(connection: socket.socket) -> None:
    """Make the close of a connection reset it, and discard the bytes that have not been sent.

    Otherwise the system goes on sending them after the close.

    Raises:
        OSError: The socket is closed.
    """
    linger = struct.pack("ii", 1, 0)  # on, for zero seconds
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _is_signalled(fd: int, events: int) -> bool:
    poll = select.poll()
    try:
        poll.register(fd, events)
        return any(event & events for _, event in poll.poll(0))
    except (OSError, ValueError):
        return False
