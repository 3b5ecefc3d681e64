"""What the system already knows of a connection's other end, before what it sent has been read.

Performs no reads or writes: one call of ``poll`` that does not wait.
"""

from __future__ import annotations

import select

# In place of a descriptor: none, or one that must not be used any more.
NO_DESCRIPTOR = -1
# The other end has closed or reset the connection. Not every system knows POLLRDHUP.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_ended(fd: int) -> bool:
    """Return whether the other end has closed, or reset, the connection.

    The end of the stream is read only after all that was sent before it, so that a reader that
    takes turns would learn of it late.
    """
    return _is_signalled(fd, PEER_CLOSED)


def has_input(fd: int) -> bool:
    """Return whether bytes wait to be read, or connections at a listening socket."""
    return _is_signalled(fd, select.POLLIN)


def _is_signalled(fd: int, events: int) -> bool:
    poll = select.poll()
    try:
        poll.register(fd, events)
        return any(event & events for _, event in poll.poll(0))
    except (OSError, ValueError):
        return False
