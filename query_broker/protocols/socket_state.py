"""What the system already knows of a connection's other end, before what it sent has been read."""

from __future__ import annotations

import select

GONE = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_ended(fd: int) -> bool:
    """The other end has closed, or reset, the connection. Danger: its end stands behind all that it
    sent, so that whoever reads in order, and in turns, hears of it late.
    """
    return _told(fd, GONE)


def has_input(fd: int) -> bool:
    """Bytes, or at a listening socket connections, wait to be taken."""
    return _told(fd, select.POLLIN)


def _told(fd: int, of: int) -> bool:
    poll = select.poll()
    try:
        poll.register(fd, of)
        return any(told & of for _, told in poll.poll(0))
    except (OSError, ValueError):
        return False
