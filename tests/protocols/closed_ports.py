"""Ports at which connects are refused."""

from __future__ import annotations

import socket


class ClosedPorts:
    """Binds ports and never listens on them, so that they are refused and not given out again."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that refuses connects until `release`."""
        holder = socket.socket()
        holder.bind(("127.0.0.1", 0))
        self._sockets.append(holder)
        return int(holder.getsockname()[1])

    def release(self) -> None:
        """Give the ports back to the system."""
        for holder in self._sockets:
            holder.close()
