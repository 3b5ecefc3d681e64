"""Ports that refuse connects."""

from __future__ import annotations

import socket


class ClosedPorts:
    """Binds ports without listening: they refuse connects, and the system does not reuse them."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that refuses connects until `release` is called."""
        bound_socket = socket.socket()
        bound_socket.bind(("127.0.0.1", 0))
        self._sockets.append(bound_socket)
        return int(bound_socket.getsockname()[1])

    def release(self) -> None:
        """Release the ports."""
        for bound_socket in self._sockets:
            bound_socket.close()
