"""The event bus on real sockets: one test for each rule."""

from __future__ import annotations

import json
import os
import signal
from pathlib import Path

import pytest

from larchhall.wire.feed import SILENT

from .sockets import (
    MS,
    Bus,
    Engine,
    Rig,
    event,
    free_port,
    make_config,
    on_uvloop,
    running,
    settings,
    target,
    until,
)


@pytest.fixture(autouse=True)
def never_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("larchhall.wire.feed.SILENT", 1 << 62)  # a slow machine is no silent bus


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


@on_uvloop
async def test_sighup_moves_to_another_bus_and_keeps_the_old_one_until_it_is_up(tmp_path: Path) -> None:
    old, new, late = Bus(), Bus(), Bus()
    path = tmp_path / "config.json"
    first = await old.start()
    raw = {"name": "n0", "listen": "127.0.0.1:1", "seed": "8c1f", "limits": {"sockets": 256},
           "settings": settings(), "known": {"offset": 1}}

    def ask(rig: Rig, text: str) -> None:
        path.write_text(text)
        os.kill(os.getpid(), signal.SIGHUP)

    config = make_config(bus=first)
    async with running(config, {"PROXY_CONFIG": str(path)}) as rig:
        await until(lambda: old.asked)
        ask(rig, json.dumps({**raw, "bus": "127.0.0.1:x"}))  # wholly or not at all, and the key is named
        await until(lambda: any("bus: '127.0.0.1:x'" in line for line in rig.logged))
        ask(rig, "{")
        await until(lambda: sum("stays as it was" in line for line in rig.logged) == 2)
        empty = free_port()
        ask(rig, json.dumps({**raw, "bus": f"127.0.0.1:{empty}"}))
        await until(lambda: any("no connection" in line for line in rig.logged))
        old.tell(event(2, target("s-2", 9)))  # nobody listens at the new address yet
        await until(lambda: "s-2" in rig.node.broker.engines.by_uid)
        ask(rig, json.dumps({**raw, "bus": f"127.0.0.1:{await new.start()}"}))
        await until(lambda: new.asked)
        assert new.asked == [b"from 2\n"] and len(old.asked) == 1
        new.tell(event(2, target("s-9", 9)))  # told already
        new.tell(event(3, target("s-3", 9)))
        await until(lambda: "s-3" in rig.node.broker.engines.by_uid)
        assert "s-9" not in rig.node.broker.engines.by_uid
        rig.node.drain.begun_at = 1
        ask(rig, json.dumps({**raw, "bus": f"127.0.0.1:{await late.start()}"}))
        await until(lambda: any("not during the drain" in line for line in rig.logged))
        assert not late.asked


@on_uvloop
async def test_a_bus_that_stops_in_the_middle_of_an_event_is_asked_again_within_2_s(
        monkeypatch: pytest.MonkeyPatch) -> None:
    bus = Bus()
    async with running(make_config(bus=await bus.start())) as rig:
        await until(lambda: bus.asked)
        bus.tell(1)
        assert bus.writer is not None and rig.node.feed is not None
        bus.writer.write(b'{"offset":2,"topo')
        feed = rig.node.feed
        await until(lambda: feed.connection is not None and feed.connection.parser.buffer)
        monkeypatch.setattr("larchhall.wire.feed.SILENT", SILENT)
        feed.check(feed.heard + 1_500 * MS)  # a beat may be late
        assert not feed.connection.transport.is_closing()  # type: ignore[union-attr]
        feed.check(feed.heard + 2_000 * MS)
        monkeypatch.setattr("larchhall.wire.feed.SILENT", 1 << 62)
        await until(lambda: len(bus.asked) == 2)
        assert bus.asked[1] == b"from 1\n"
        bus.tell(event(2, target("s-2", 9)))
        await until(lambda: "s-2" in rig.node.broker.engines.by_uid)
