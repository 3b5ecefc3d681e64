"""Frames of requests as bytes, and what comes back on a raw socket."""

from __future__ import annotations

import asyncio
import socket

from query_broker.protocols import client_frames as frames

from ..support.sockets import STATEMENT, within

READ_SIZE_BYTES = 65_536


def request_frame(stream: int = 1, **fields: str) -> bytes:
    """Return the frame of a request; its id is made from the stream."""
    default_fields = {
        "route": "glance",
        "trace": f"{stream:016x}",
        "patience": "4000",
        "customer": "acme",
        "weight": "10.0",
    }
    payload = frames.write_fields({**default_fields, **fields}) + STATEMENT
    return frames.frame(frames.REQUEST, stream, payload)


HALF_A_REQUEST = request_frame(3)[:20]


async def receive(connection: socket.socket) -> bytes:
    """Return what the peer sends next, nothing once it has ended its side."""
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    return await within(loop.sock_recv(connection, READ_SIZE_BYTES))


async def read_to_end(connection: socket.socket) -> bytes:
    """Return all that the peer sends until it ends its side."""
    received = b""
    while part := await receive(connection):
        received += part
    return received


async def read_to_the_end_of(connection: socket.socket, last: bytes) -> None:
    """Read until these bytes have come; the peer must not end its side before."""
    received = b""
    while not received.endswith(last):
        part = await receive(connection)
        assert part, "closed over the request"
        received += part
