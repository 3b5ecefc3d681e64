"""An engine that reads only when it is told to, so that frames wait in the broker."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

READ_BYTES = 65_536
UNLIMITED_BYTES = 1 << 30
ROUND_S = 0.005


class ParsedCommand(NamedTuple):
    """A command, and how many bytes of the buffer it takes."""

    parts: list[bytes]
    length: int


def parse_command(buffer: bytearray) -> ParsedCommand | None:
    """The command at the buffer's start; None while it is incomplete.

    The broker's own parser is made for answers, and statements may be longer than those.
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
    """An engine that reads only when it is told to, from a small buffer."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])
        self.buffers: dict[socket.socket, bytearray] = {}
        self.commands: list[list[bytes]] = []

    async def read(self, most_bytes: int = UNLIMITED_BYTES) -> None:
        """Read all that has come, or so many bytes of each connection."""
        await self._accept()
        for connection in self.buffers:
            self._read_connection(connection, most_bytes)

    async def read_until(self, condition: Callable[[], object], rounds: int = 400) -> None:
        """Read all that comes until the condition holds, for so many rounds at the most."""
        for _ in range(rounds):
            await self.read()
            if condition():
                break
            await asyncio.sleep(ROUND_S)

    async def read_rounds(self, rounds: int) -> None:
        """Read all that comes in so many rounds."""
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

    def _read_connection(self, connection: socket.socket, most_bytes: int) -> None:
        buffer = self.buffers[connection]
        bytes_left = most_bytes
        while bytes_left > 0:
            try:
                data = connection.recv(min(bytes_left, READ_BYTES))
            except (BlockingIOError, ConnectionError):
                break
            if not data:
                break
            bytes_left -= len(data)
            buffer += data
            while (command := parse_command(buffer)) is not None:
                self.commands.append(command.parts)
                del buffer[: command.length]

    def requests(self) -> list[list[bytes]]:
        """The requests that it has read completely."""
        return [parts for parts in self.commands if parts[0] == b"do"]

    def request_ids(self) -> list[bytes]:
        """The ids of these requests."""
        return [parts[1] for parts in self.requests()]

    def close(self) -> None:
        """Close all sockets."""
        for opened in [self.listener, *self.buffers]:
            opened.close()


@asynccontextmanager
async def slow_engine() -> AsyncIterator[SlowEngine]:
    """An engine that listens, and is closed with the test."""
    engine = SlowEngine()
    try:
        yield engine
    finally:
        engine.close()
