"""A discovery service behind a slow path: every line reaches its client late, in order."""

from __future__ import annotations

import asyncio

from query_broker.emulator.discovery_service import HOST


class LateDiscoveryService:
    """Sends the events after the requested offset, and heartbeats, each line late.

    Attributes:
        lines: All events so far, encoded, in the order of their offsets.
        delay_s: How late each line is.
        subscriptions: The first line received on each connection.
        subscribers: The connections that are open.
    """

    def __init__(self, heartbeat_interval_s: float) -> None:
        """Create a service that is not late yet and does not listen yet."""
        self.heartbeat_interval_s = heartbeat_interval_s
        self.lines: list[bytes] = []
        self.delay_s = 0.0
        self.subscriptions: list[bytes] = []
        self.subscribers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Start listening and sending heartbeats; return the port."""
        self.server = await asyncio.start_server(self._serve_client, HOST, 0)
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())
        return int(self.server.sockets[0].getsockname()[1])

    def publish(self, line: bytes) -> None:
        """Send an event to all clients."""
        self.lines.append(line)
        self._broadcast(line)

    async def _serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first_line = await reader.readline()
        self.subscriptions.append(first_line)
        for line in self.lines[int(first_line.split()[1]) :]:
            self._send(writer, line)
        self.subscribers.add(writer)
        await reader.read()
        self.subscribers.discard(writer)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat_interval_s)
            self._broadcast(b"%d\n" % len(self.lines))

    def _broadcast(self, line: bytes) -> None:
        for writer in self.subscribers:
            self._send(writer, line)

    def _send(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        asyncio.get_running_loop().call_later(self.delay_s, self._write, writer, line)

    def _write(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if not writer.is_closing():
            writer.write(line)

    def stop(self) -> None:
        """Stop listening and sending heartbeats."""
        self.heartbeat_task.cancel()
        self.server.close()
