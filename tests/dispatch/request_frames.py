"""Request frames as bytes, and reading of answers from a raw socket."""

from __future__ import annotations

import asyncio
import socket

from query_broker.protocols import client_frames as frames

from ..support.sockets import STATEMENT, within

READ_SIZE_BYTES = 65_536


def request_frame(stream: int = 1, **fields: str) -> bytes:
    """Return the frame of a request, whose id is derived from the stream number."""
    default_fields = {
        "route": "glance",
        "trace": f"{stream:016x}",
        "patience": "4000",
        "customer": "acme",
        "weight": "10.0",
    }
    payload = frames.write_fields({**default_fields, **fields}) + STATEMENT
    return frames.frame(frames.REQUEST, stream, payload)


PARTIAL_REQUEST = request_frame(3)[:20]


async def receive(connection: socket.socket) -> bytes:
    """Return the next bytes from the peer; empty once the peer has closed its sending side."""
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    return await within(loop.sock_recv(connection, READ_SIZE_BYTES))


async def read_to_end(connection: socket.socket) -> bytes:
    """Return all bytes from the peer until it closes its sending side."""
    received = b""
    while part := await receive(connection):
        received += part
    return received


async def read_until_suffix(connection: socket.socket, suffix: bytes) -> None:
    """Read until the received bytes end with the suffix; the peer must not close before that."""
    received = b""
    while not received.endswith(suffix):
        part = await receive(connection)
        assert part, "the connection was closed before the request was answered"
        received += part
