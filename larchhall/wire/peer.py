"""What the system already knows of a connection's other end, before what it sent has been read."""

from __future__ import annotations

import select

GONE = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_ended(fd: int) -> bool:
    """The other end has closed, or reset, the connection. Danger: its end stands behind all that it sent, so
    that whoever reads in order, and in turns, hears of it late."""
    poll = select.poll()
    try:
        poll.register(fd, GONE)
        return any(told & GONE for _, told in poll.poll(0))
    except (OSError, ValueError):
        return False
