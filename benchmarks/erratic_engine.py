"""A data engine that answers late, not at all, with errors, or stops reading for a while."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from typing import Any, NamedTuple

from query_broker.overriding import override
from query_broker.protocols import resp

#: Small, so that the rest of a large statement waits in the broker.
RECEIVE_BUFFER_BYTES = 4_096
ANSWERS_PER_S = 50.0
LINE_END = b"\r\n"

# Thresholds of a random number from 0 to 1 that selects the outcome of a query.
SERVED_BELOW = 0.8
OVERLOADED_BELOW = 0.85
CRASHED_BELOW = 0.9
RESET_BELOW = 0.92  # above it, the query is never answered


class StartedQuery(NamedTuple):
    """A query that began to run."""

    started_ns: int
    query_id: bytes


class ErraticConnection(asyncio.Protocol):
    """A connection to an erratic engine.

    Attributes:
        engine: The engine.
        transport: The transport, once the connection is made.
    """

    def __init__(self, engine: ErraticEngine) -> None:
        """Create the protocol before its connection is made."""
        self.engine = engine
        self.transport: Any = None
        self._buffer = bytearray()

    @override
    def connection_made(self, transport: Any) -> None:
        """Add this connection to those of the engine."""
        self.transport = transport
        if self.engine.is_paused:
            transport.pause_reading()
        self.engine.connections.add(self)

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        """Remove this connection from those of the engine."""
        self.engine.connections.discard(self)

    @override
    def data_received(self, data: bytes) -> None:
        """Handle the complete commands."""
        self._buffer += data
        while (parts := take_command(self._buffer)) is not None:
            self.engine.handle_command(self, parts)

    def write(self, *parts: bytes) -> None:
        """Send an answer, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(resp.encode(*parts))


def take_command(buffer: bytearray) -> list[bytes] | None:
    """Remove and return the first command of a buffer; None if it is incomplete.

    The broker's parser is made for answers, and statements are longer than answers.
    """
    end = buffer.find(LINE_END)
    if end < 0:
        return None
    position = end + len(LINE_END)
    parts = []
    for _ in range(int(buffer[1:end])):
        end = buffer.find(LINE_END, position)
        if end < 0:
            return None
        size = int(buffer[position + 1 : end])
        part_start = end + len(LINE_END)
        position = part_start + size + len(LINE_END)
        if len(buffer) < position:
            return None
        parts.append(bytes(buffer[part_start : part_start + size]))
    del buffer[:position]
    return parts


class ErraticEngine:
    """An engine whose faults are drawn from a seeded random generator.

    Attributes:
        connections: Its open connections.
        is_paused: Whether it has stopped reading.
        started_queries: Every query that began to run.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create an engine that does not listen yet."""
        self.connections: set[ErraticConnection] = set()
        self.is_paused = False
        self.started_queries: list[StartedQuery] = []
        self._random = rng

    async def start(self) -> int:
        """Listen, and return the port."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ErraticConnection(self), sock=listener
        )
        return int(listener.getsockname()[1])

    def handle_command(self, connection: ErraticConnection, parts: list[bytes]) -> None:
        """Answer a health check, or draw the outcome of a query."""
        if parts[0] in (b"top", b"ping"):
            connection.write(parts[1], b"green", b"-", b"")
        elif parts[0] == b"do":
            self._handle_query(connection, parts[1])

    def _handle_query(self, connection: ErraticConnection, query_id: bytes) -> None:
        chance = self._random.random()
        if not SERVED_BELOW <= chance < OVERLOADED_BELOW:
            self.started_queries.append(StartedQuery(time.time_ns(), query_id))
        if chance < SERVED_BELOW:
            delay_s = self._random.expovariate(ANSWERS_PER_S)
            answer = (query_id, b"served", b"chunks=1", b"a\tb\tc\n")
            asyncio.get_running_loop().call_later(delay_s, connection.write, *answer)
        elif chance < OVERLOADED_BELOW:
            connection.write(query_id, b"overload", b"-", b"")
        elif chance < CRASHED_BELOW:
            connection.write(query_id, b"crashed", b"-", b"")
        elif chance < RESET_BELOW:
            connection.transport.abort()

    def pause(self) -> None:
        """Stop reading."""
        self.is_paused = True
        for connection in self._open_connections():
            connection.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        self.is_paused = False
        for connection in self._open_connections():
            connection.transport.resume_reading()

    def _open_connections(self) -> list[ErraticConnection]:
        return [
            connection for connection in self.connections if not connection.transport.is_closing()
        ]
