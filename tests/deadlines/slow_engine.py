"""An engine that only reads when the test tells it to, so that frames wait in the broker."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

READ_SIZE_BYTES = 65_536
UNLIMITED_BYTES = 1 << 30
ROUND_INTERVAL_S = 0.005


class ParsedCommand(NamedTuple):
    """A command, and its size in the buffer."""

    parts: list[bytes]
    size_bytes: int


def parse_command(buffer: bytearray) -> ParsedCommand | None:
    """Return the command at the start of the buffer; None while it is incomplete.

    The broker's own parser can't be used: it is made for answers, and statements may be longer.
    """
    header_end = buffer.find(b"\r\n")
    if not buffer.startswith(b"*") or header_end < 0:
        return None
    count = int(buffer[1:header_end])
    position = header_end + 2
    parts = []
    for _ in range(count):
        header_end = buffer.find(b"\r\n", position)
        if header_end < 0:
            return None
        begin = header_end + 2
        end = begin + int(buffer[position + 1 : header_end])
        if len(buffer) < end + 2:
            return None
        parts.append(bytes(buffer[begin:end]))
        position = end + 2
    return ParsedCommand(parts, position)


class SlowEngine:
    """An engine that only reads when the test tells it to, from a small buffer."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])
        self.buffers: dict[socket.socket, bytearray] = {}
        self.commands: list[list[bytes]] = []

    async def read(self, max_bytes: int = UNLIMITED_BYTES) -> None:
        """Read all bytes that have arrived, or at most this many from each connection."""
        await self._accept()
        for connection in self.buffers:
            self._read_connection(connection, max_bytes)

    async def read_until(self, condition: Callable[[], object], rounds: int = 400) -> None:
        """Read until the condition holds, for at most this many rounds."""
        for _ in range(rounds):
            await self.read()
            if condition():
                break
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def read_rounds(self, rounds: int) -> None:
        """Read for this many rounds."""
        await self.read_until(lambda: False, rounds)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted = await asyncio.wait_for(loop.sock_accept(self.listener), 0.01)
            except TimeoutError:
                break
            connection = accepted[0]
            connection.setblocking(False)
            self.buffers[connection] = bytearray()

    def _read_connection(self, connection: socket.socket, max_bytes: int) -> None:
        buffer = self.buffers[connection]
        bytes_left = max_bytes
        while bytes_left > 0:
            try:
                data = connection.recv(min(bytes_left, READ_SIZE_BYTES))
            except (BlockingIOError, ConnectionError):
                break
            if not data:
                break
            bytes_left -= len(data)
            buffer += data
            while (command := parse_command(buffer)) is not None:
                self.commands.append(command.parts)
                del buffer[: command.size_bytes]

    def requests(self) -> list[list[bytes]]:
        """Return the requests that the engine has read completely."""
        return [parts for parts in self.commands if parts[0] == b"do"]

    def request_ids(self) -> list[bytes]:
        """Return the ids of the requests that the engine has read completely."""
        return [parts[1] for parts in self.requests()]

    def close(self) -> None:
        """Close all sockets."""
        for open_socket in [self.listener, *self.buffers]:
            open_socket.close()


@asynccontextmanager
async def slow_engine() -> AsyncIterator[SlowEngine]:
    """Run an engine that is closed after the test."""
    engine = SlowEngine()
    try:
        yield engine
    finally:
        engine.close()
