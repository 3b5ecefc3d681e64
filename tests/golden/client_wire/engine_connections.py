"""A connection to a data engine without an event loop, and the attempts that it sends."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Any, cast

from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.overriding import override
from query_broker.protocols.engine_connection import EngineConnection

NANOSECONDS_PER_MS = 1_000_000
NOW = 1_700_000_000_000 * NANOSECONDS_PER_MS
REQUEST_ID = b"9b1f03aa5c7e2d41"
ENDPOINT = 51


class SocketTransport(asyncio.Transport):
    """Gives a connection the socket that it writes to; nothing goes through a loop."""

    def __init__(self, near_socket: socket.socket) -> None:
        super().__init__()
        self.near_socket = near_socket

    @override
    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket, the only thing that a connection asks for."""
        return self.near_socket if name == "socket" else default

    @override
    def is_closing(self) -> bool:
        """Return False: the fixture closes the socket."""
        return False

    @override
    def abort(self) -> None:
        """Do nothing: the fixture closes the socket."""


@dataclass
class ConnectedEngine:
    """A connection to an engine, and the engine's end of its socket."""

    connection: EngineConnection
    far_socket: socket.socket

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on the connection."""
        self.connection.register(attempt)
        self.connection.send(attempt, NOW)

    def read(self) -> bytes:
        """Return what the connection has written since the last call."""
        try:
            return self.far_socket.recv(65_536)
        except BlockingIOError:
            return b""


def make_attempt(statement: bytes = b"SELECT 1", **fields: Any) -> Attempt:
    """An attempt of a request with these fields."""
    request = ActiveRequest(
        id="1",
        client_request_id=REQUEST_ID,
        class_name=b"glance",
        statement=statement,
        client=cast(Any, object()),
        stream=1,
        deadline_ns=NOW + 5_000 * NANOSECONDS_PER_MS,
        **fields,
    )
    return Attempt(
        request=request,
        number=0,
        endpoint=ENDPOINT,
        dispatched_ns=NOW,
        deadline_ns=NOW + 4_000 * NANOSECONDS_PER_MS,
        latest_start_ns=NOW + 3_000 * NANOSECONDS_PER_MS,
    )
