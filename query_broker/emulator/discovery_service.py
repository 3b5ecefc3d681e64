"""Discovery services on loopback: one with scripted lines, and one that keeps an endpoint list."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, NamedTuple

HOST = "127.0.0.1"
#: That of the real service; a watch client detects a dead connection by missing heartbeats.
HEARTBEAT_INTERVAL_S = 1.0


def target_entry(uid: str, port: int, state: str = "in_service", **more: Any) -> dict[str, Any]:
    """Return the service's entry of an endpoint; ``more`` replaces or adds keys."""
    return {
        "uid": uid,
        "endpoint": f"{HOST}:{port}",
        "az": "east",
        "model": "std",
        "pod_group": 2,
        "state": state,
        "capacity_hint": 8,
        "boot_ms": 0,
        **more,
    }


def topology_event(offset: int, *targets: dict[str, Any], full: bool = False) -> dict[str, Any]:
    """Return a watch event; a ``full`` one replaces the endpoint list."""
    return {"offset": offset, "topology": {"rev": offset, "all": full, "targets": list(targets)}}


class ScriptedDiscoveryService:
    """A service that sends the lines given by a test to the client that connected last.

    Attributes:
        subscriptions: The first line received on each connection.
        writer: The connection that was opened last.
    """

    def __init__(self) -> None:
        """Create a service that does not listen yet."""
        self.subscriptions: list[bytes] = []
        self.writer: asyncio.StreamWriter | None = None

    async def start(self) -> int:
        """Start listening and return the port."""
        self.server = await asyncio.start_server(self._serve_client, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writer = writer
        self.subscriptions.append(await reader.readline())

    def publish(self, line: object) -> None:
        """Send a line: a string unchanged, any other value as JSON."""
        assert self.writer is not None
        text = line if isinstance(line, str) else json.dumps(line)
        self.writer.write(text.encode() + b"\n")


class Announcement(NamedTuple):
    """An announced state of an endpoint, and when it was announced."""

    announced_ns: int
    uid: str
    state: str


class EmulatedDiscoveryService:
    """Keeps an endpoint list and sends each client the events after the offset that it asks for.

    Attributes:
        events: All watch events, in the order of their offsets.
        targets: The entries of the endpoint list, by uid.
        announcements: All announced states of endpoints, in the order of their time.
        subscribers: The open connections of watch clients.
        heartbeat_task: The task that sends the offset of the last event at regular intervals.
    """

    def __init__(self) -> None:
        """Create a service with an empty endpoint list that does not listen yet."""
        self.events: list[dict[str, Any]] = []
        self.targets: dict[str, dict[str, Any]] = {}
        self.announcements: list[Announcement] = []
        self.subscribers: set[asyncio.StreamWriter] = set()
        self.heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> int:
        """Start listening and return the port."""
        self.server = await asyncio.start_server(self._serve_client, HOST, 0)
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())
        return int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        self.server.close()
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        for writer in self.subscribers:
            writer.close()

    async def _serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            line = await reader.readline()
            last_offset = int(line.split()[1]) if line.startswith(b"from ") else 0
            for event in self.events[last_offset:]:
                writer.write(_encode(event))
            self.subscribers.add(writer)
            await reader.read()
        except (ConnectionError, RuntimeError):
            pass  # uvloop raises RuntimeError on a closed transport
        finally:
            self.subscribers.discard(writer)
            writer.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self._broadcast(b"%d\n" % len(self.events))

    def _broadcast(self, line: bytes) -> None:
        # Writing to a closed connection raises, which would keep this line from the remaining
        # subscribers and could end the heartbeat task.
        for writer in list(self.subscribers):
            if writer.is_closing():
                self.subscribers.discard(writer)
            else:
                writer.write(line)

    def publish(self, *targets: dict[str, Any]) -> None:
        """Announce changed endpoints in one event; terminated ones leave the endpoint list."""
        now_ns = time.time_ns()
        for changed in targets:
            self.announcements.append(Announcement(now_ns, changed["uid"], changed["state"]))
            if changed["state"] == "terminated":
                self.targets.pop(changed["uid"], None)
            else:
                self.targets[changed["uid"]] = changed
        event = topology_event(len(self.events) + 1, *targets, full=not self.events)
        self.events.append(event)
        self._broadcast(_encode(event))

    def snapshot(self) -> dict[str, Any]:
        """Return the endpoint list in the form in which a broker's settings contain it."""
        return {"offset": len(self.events), "batch": list(self.events)}


def _encode(event: dict[str, Any]) -> bytes:
    return json.dumps(event).encode() + b"\n"
