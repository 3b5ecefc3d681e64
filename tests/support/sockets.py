"""The one helper of the socket tests: a broker with real sockets on a loop of its own, and its
peers.

Nothing here measures time: tests wait for what must come, up to a limit that only a hang meets.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import wraps
from pathlib import Path
from typing import Any, TypeVar

import uvloop

from query_broker.cells.model import CellMap
from query_broker.cells.node import CellNode
from query_broker.config import Config, parse
from query_broker.emulator.cluster import platform_settings
from query_broker.emulator.data_engine import ScriptedEngine as Engine
from query_broker.emulator.discovery_service import ScriptedDiscoveryService as Bus
from query_broker.emulator.discovery_service import target_entry, topology_event
from query_broker.emulator.processes import free_ports
from query_broker.endpoints.connection_pool import ConnectionPool
from query_broker.operator_config.settings import OperatorConfig
from query_broker.protocols import client_frames as frames
from query_broker.server.node import Node

__all__ = [
    "Bus",
    "MS",
    "ROOT",
    "STATEMENT",
    "TRACE",
    "Client",
    "Engine",
    "RunningBroker",
    "cell_node_factory",
    "connect",
    "topology_event",
    "free_port",
    "connects_held_back",
    "make_config",
    "known_setting",
    "on_uvloop",
    "process",
    "running",
    "platform_settings",
    "target_entry",
    "until",
    "within",
    "write_config",
]

MS = 1_000_000
HANG_TIMEOUT_S = 20.0
T = TypeVar("T")
TRACE = "9b1f03aa5c7e2d41"
STATEMENT = b"SELECT 1 FROM sales_17.orders"
ROOT = Path(__file__).parents[2]


def make_config(
    *targets: dict[str, Any],
    bus: int = 0,
    operator: bool = False,
    listed: bool = True,
    **changes: Any,
) -> Config:
    raw: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 256},
        "known": {"offset": 1, "batch": [topology_event(1, *targets, full=True)]},
        "settings": platform_settings(**changes),
    }
    if not listed:
        del raw["known"]
    if bus:
        raw["bus"] = f"127.0.0.1:{bus}"
    if operator:
        raw["operator"] = "127.0.0.1:1"
    return parse(json.loads(json.dumps(raw)), {})


def free_port() -> int:
    return free_ports(1)[0]


def known_setting(*targets: dict[str, Any]) -> dict[str, Any]:
    return {"offset": 1, "batch": [topology_event(1, *targets, full=True)]}


def write_config(folder: Path, **changes: Any) -> dict[str, str]:
    """The environment of a process that reads it."""
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "seed": "8c1f",
        "known": {"offset": 0, "batch": []},
        "settings": platform_settings(),
        **changes,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return {**os.environ, "PROXY_CONFIG": str(path)}


@asynccontextmanager
async def process(folder: Path, port: int = 0, **changes: Any) -> AsyncIterator[tuple[Any, int]]:
    """The real program, and its port. Whatever becomes of a test, it ends with it."""
    port = port or free_port()
    made = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "query_broker",
        "serve",
        cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
        env=write_config(folder, listen=f"127.0.0.1:{port}", **changes),
    )
    try:
        yield made, port
    finally:
        if made.returncode is None:
            made.kill()
        await made.wait()


def connects_held_back(
    monkeypatch: Any, first: int = 0
) -> tuple[asyncio.Event, list[ConnectionPool]]:
    """Connects to engines wait for the event, but for so many; the pools that dial, as they do."""
    gate, dialled, connect = asyncio.Event(), list[ConnectionPool](), ConnectionPool._connect

    async def late(self: ConnectionPool) -> None:
        dialled.append(self)
        if len(dialled) > first:
            await gate.wait()
        await connect(self)

    monkeypatch.setattr(ConnectionPool, "_connect", late)
    return gate, dialled


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send_request(self, stream: int = 1, body: bytes = STATEMENT, **fields: str | None) -> None:
        given = {
            "route": "glance",
            "trace": TRACE,
            "patience": "4000",
            "customer": "acme",
            "weight": "10.0",
            "ram": "16",
            **fields,
        }
        kept = {name: value for name, value in given.items() if value is not None}
        self.send(frames.REQUEST, stream, frames.write_fields(kept) + body)

    def send(self, kind: int, stream: int, payload: bytes = b"") -> None:
        self.writer.write(frames.frame(kind, stream, payload))

    async def frame(self) -> tuple[int, int, bytes]:
        head = await within(self.reader.readexactly(frames.HEAD.size))
        length, kind, stream = frames.HEAD.unpack(head)
        return kind, stream, await within(self.reader.readexactly(length - 5))

    async def answer(self) -> tuple[int, int, dict[str, str], bytes]:
        """Stream, code, fields and body of the next answer."""
        kind, stream, payload = await self.frame()
        assert kind == frames.ANSWER
        fields, body = frames.read_fields(payload[1:])
        return stream, payload[0], fields, body

    async def ended(self) -> bool:
        try:
            return await within(self.reader.read()) == b""
        except ConnectionError:
            return True


async def connect(port: int) -> Client:
    """Once it listens."""
    while True:
        try:
            return Client(*await asyncio.open_connection("127.0.0.1", port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)


async def within(what: Awaitable[T]) -> T:
    return await asyncio.wait_for(what, HANG_TIMEOUT_S)


async def until(true: Callable[[], Any]) -> None:
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not true():
            await asyncio.sleep(0.005)


class RunningBroker:
    """A node under test, and clients to it."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.logged: list[str] = []
        node.log = node.dispatcher.log = node.dispatcher.pools.log = (  # type: ignore[assignment]
            lambda kind, text: self.logged.append(f"{kind}: {text}")
        )

    @property
    def port(self) -> int:
        assert self.node.server is not None
        if self.node.server.sockets:  # none once it is closed
            self.last_port = int(self.node.server.sockets[0].getsockname()[1])
        return self.last_port

    @property
    def operator_port(self) -> int:
        server = self.node.admin_api.server
        assert server is not None
        return int(server.sockets[0].getsockname()[1])

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


def cell_node_factory(map: CellMap, path: str = "") -> Callable[[Config, Mapping[str, str]], Node]:
    """Makes a node with these cells; ``path`` is where SIGHUP reads them again."""
    return lambda config, environ: CellNode(config, OperatorConfig(map), path, environ)


@asynccontextmanager
async def running(
    config: Config,
    environ: Mapping[str, str] = os.environ,
    make: Callable[[Config, Mapping[str, str]], Node] = Node,
) -> AsyncIterator[RunningBroker]:
    """A node on a free port, as `serve` runs it."""
    operator = config.admin_address and (config.admin_address[0], 0)
    broker = RunningBroker(make(replace(config, port=0, admin_address=operator), environ))
    task = asyncio.create_task(broker.node.run())
    await until(lambda: broker.node.server is not None or task.done())
    try:
        yield broker
    finally:
        broker.node.stop()
        await within(task)


def on_uvloop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    @wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        uvloop.run(test(*args, **kwargs))

    return run
