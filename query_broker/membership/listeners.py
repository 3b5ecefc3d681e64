"""Binding of the UDP and TCP sockets of the membership."""

from __future__ import annotations

import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BoundSockets:
    """A UDP and a TCP socket that are bound to the same address and port."""

    udp: socket.socket
    tcp: socket.socket

    @property
    def port(self) -> int:
        """The bound port, also if the operating system chose it."""
        port: int = self.tcp.getsockname()[1]
        return port


def bind_sockets(host: str, port: int) -> BoundSockets:
    """Bind both sockets.

    Raises:
        OSError: The address cannot be bound; no socket is left open.
    """
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        tcp.bind((host, port))
        udp.bind((host, tcp.getsockname()[1]))
    except OSError:
        udp.close()
        tcp.close()
        raise
    return BoundSockets(udp, tcp)
