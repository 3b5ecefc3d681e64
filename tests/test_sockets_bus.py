"""The event bus on real sockets: one test for each rule."""

from __future__ import annotations

import asyncio
import json

from .sockets import Engine, event, make_config, on_uvloop, running, target, until


class Bus:
    def __init__(self) -> None:
        self.asked: list[bytes] = []
        self.writer: asyncio.StreamWriter | None = None

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.asked.append(await reader.readline())

    def tell(self, line: object) -> None:
        assert self.writer is not None
        self.writer.write((line if isinstance(line, str) else json.dumps(line)).encode() + b"\n")


@on_uvloop
async def test_asks_for_what_it_lacks_learns_it_and_resumes_after_a_cut() -> None:
    bus, engine = Bus(), Engine()
    port = await engine.start()
    async with running(make_config(bus=await bus.start())) as rig:
        await until(lambda: bus.asked)
        assert bus.asked == [b"from 1\n"]
        bus.tell(event(2, target("s-1", port)))
        await until(lambda: "s-1" in rig.node.broker.engines.by_uid)
        client = await rig.client()
        client.ask()
        assert (await client.answer())[1] == 0
        assert bus.writer is not None
        bus.writer.close()
        await until(lambda: len(bus.asked) == 2)
        assert bus.asked[1] == b"from 2\n"


@on_uvloop
async def test_a_beat_beyond_what_came_and_a_bad_line_make_it_connect_anew() -> None:
    bus = Bus()
    async with running(make_config(bus=await bus.start())) as rig:
        await until(lambda: bus.asked)
        bus.tell(5)
        await until(lambda: len(bus.asked) == 2)
        assert bus.asked[1] == b"from 1\n"
        bus.tell('{"offset":2,')
        await until(lambda: len(bus.asked) == 3)
        bus.tell('{"offset":2,')  # again: read past, the connection goes on
        bus.tell(event(3, target("s-3", 9)))
        await until(lambda: "s-3" in rig.node.broker.engines.by_uid)
        assert len(bus.asked) == 3
        assert rig.node.feed is not None and rig.node.feed.last == 3
