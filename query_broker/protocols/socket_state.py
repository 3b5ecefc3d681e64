"""The state of a connection as the system reports it, before its input has been read.

Performs no reads or writes: one call of ``poll`` that does not block.
"""

from __future__ import annotations

import select

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


def _is_signalled(fd: int, events: int) -> bool:
    poll = select.poll()
    try:
        poll.register(fd, events)
        return any(event & events for _, event in poll.poll(0))
    except (OSError, ValueError):
        return False
