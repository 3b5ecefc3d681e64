"""What the system already knows of a connection's other end, before what it sent has been read.

Performs no reads or writes: one call of ``poll`` that does not wait.
"""

from __future__ import annotations

import select

# The other end has closed or reset the connection. Not every system knows POLLRDHUP.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_ended(fd: int) -> bool:
    """Return whether the other end has closed, or reset, the connection.

    Its end stands behind all that it sent, so that whoever reads in order, and in turns, would
    learn of it late.
    """
    return _is_signalled(fd, PEER_CLOSED)


def has_input(fd: int) -> bool:
    """Return whether bytes, or at a listening socket connections, wait to be taken."""
    return _is_signalled(fd, select.POLLIN)


def _is_signalled(fd: int, events: int) -> bool:
    poll = select.poll()
    try:
        poll.register(fd, events)
        return any(event & events for _, event in poll.poll(0))
    except (OSError, ValueError):
        return False
