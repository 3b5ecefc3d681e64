"""The one helper of the socket tests: a broker with real sockets on a loop of its own, and its peers.

Nothing here measures time: tests wait for what must come, up to a limit that only a hang meets.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import wraps
from typing import Any, TypeVar

import uvloop

from larchhall.config import Config, parse
from larchhall.lifecycle.boot import Node
from larchhall.wire import frames, resp

MS = 1_000_000
HANG = 20.0
T = TypeVar("T")
TRACE = "9b1f03aa5c7e2d41"
STATEMENT = b"SELECT 1 FROM sales_17.orders"


def settings(**changes: Any) -> dict[str, Any]:
    classes = [dict(name="lookup", aim=1_000 * MS, deadline=5_000 * MS, worth=1.0, effect="read_like"),
               dict(name="till-load", aim=3_000 * MS, deadline=25_000 * MS, worth=7.5,
                    effect="non_idempotent")]
    base: dict[str, Any] = dict(
        classes=classes, fleet_size=1, tick=5 * MS, zone="east", kinds=["std"], tenants=[{"name": "acme"}],
        contract=dict(drain_grace=1_000 * MS, start_capacity=0.36, cold=12_000 * MS, fall=1_500 * MS,
                      fall_multiple=2.0),
        policy_limits=dict(cancel=False, probing=True, second_copies=False, send_cap=5, retry_after=True,
                           max_retry_after=2_000 * MS, connect_timeout=250 * MS, conn_idle=30_000 * MS,
                           streams_per_conn=32),
        report=dict(fields=["q", "rif", "x1", "x0"], via="pull"),
        specifics=dict(size_cores=[8], parallelism=[1, 2], memory_heeded=True, lanes_count=True))
    return {**base, **changes}


def target(uid: str, port: int, state: str = "in_service", **more: Any) -> dict[str, Any]:
    return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "east", "model": "std", "pod_group": 2,
            "state": state, "capacity_hint": 8, "boot_ms": 0, **more}


def event(offset: int, *targets: dict[str, Any], full: bool = False) -> dict[str, Any]:
    return {"offset": offset, "topology": {"rev": offset, "all": full, "targets": list(targets)}}


def make_config(*targets: dict[str, Any], bus: int = 0, operator: bool = False, listed: bool = True,
                **changes: Any) -> Config:
    raw: dict[str, Any] = {
        "name": "n0", "listen": "127.0.0.1:1", "seed": "8c1f30d27a5be964", "limits": {"sockets": 256},
        "known": {"offset": 1, "batch": [event(1, *targets, full=True)]}, "settings": settings(**changes)}
    if not listed:
        del raw["known"]
    if bus:
        raw["bus"] = f"127.0.0.1:{bus}"
    if operator:
        raw["operator"] = "127.0.0.1:1"
    return parse(json.loads(json.dumps(raw)), {})


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


Script = Callable[["Engine", list[bytes], asyncio.StreamWriter], Any]


class Engine:
    """A data engine whose every answer a test writes: `script` is called with each command's parts."""

    def __init__(self, script: Script | None = None) -> None:
        self.script = script or (lambda engine, parts, writer: engine.serve(parts, writer))
        self.seen: list[list[bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []  # of all connections
        self.carried: list[asyncio.StreamWriter] = []  # of the connection of each command seen

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = resp.RespParser()
        self.writers.append(writer)
        try:
            while data := await reader.read(65_536):
                for parts in parser.feed(data):
                    self.seen.append(parts)
                    self.carried.append(writer)
                    self.script(self, parts, writer)
        except ConnectionError:
            pass

    def serve(self, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], b"served", b"chunks=1,spent=5,wanted=3", b"a\tb\tc\n"))

    def writer_of(self, parts: list[bytes]) -> asyncio.StreamWriter:
        return next(w for seen, w in zip(self.seen, self.carried, strict=True) if seen is parts)

    def words(self, word: bytes) -> list[list[bytes]]:
        return [parts for parts in self.seen if parts[0] == word]


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def ask(self, stream: int = 1, body: bytes = STATEMENT, **fields: str | None) -> None:
        given = {"route": "lookup", "trace": TRACE, "patience": "4000", "customer": "acme", "weight": "10.0",
                 "ram": "16", **fields}
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


async def within(what: Awaitable[T]) -> T:
    return await asyncio.wait_for(what, HANG)


async def until(true: Callable[[], Any]) -> None:
    async with asyncio.timeout(HANG):
        while not true():
            await asyncio.sleep(0.005)


class Rig:
    """A node under test, and clients to it."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.logged: list[str] = []
        node.log = node.broker.log = node.broker.pools.log = (  # type: ignore[assignment]
            lambda kind, text: self.logged.append(f"{kind}: {text}"))

    @property
    def port(self) -> int:
        assert self.node.server is not None
        if self.node.server.sockets:  # none once it is closed
            self.last_port = int(self.node.server.sockets[0].getsockname()[1])
        return self.last_port

    @property
    def operator_port(self) -> int:
        server = self.node.operations.server
        assert server is not None
        return int(server.sockets[0].getsockname()[1])

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


@asynccontextmanager
async def running(config: Config, environ: Mapping[str, str] = os.environ) -> AsyncIterator[Rig]:
    """A node on a free port, as `serve` runs it."""
    operator = config.operator and (config.operator[0], 0)
    rig = Rig(Node(replace(config, port=0, operator=operator), environ))
    task = asyncio.create_task(rig.node.run())
    await until(lambda: rig.node.server is not None or task.done())
    try:
        yield rig
    finally:
        rig.node.stop()
        await within(task)


def on_uvloop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    @wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        uvloop.run(test(*args, **kwargs))
    return run
