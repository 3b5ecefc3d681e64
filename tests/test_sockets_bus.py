"""The event bus on real sockets: one test for each rule."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

from query_broker.discovery.event_codec import EndpointListEvent
from query_broker.discovery.watch_client import SILENT

from .sockets import (
    MS,
    Client,
    Engine,
    Rig,
    ScriptedDiscoveryService,
    free_port,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    target_entry,
    topology_event,
    until,
    write_config,
)


@pytest.fixture(autouse=True)
def never_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "query_broker.discovery.watch_client.SILENT", 1 << 62
    )  # a slow machine is no silent bus


@on_uvloop
async def test_asks_for_what_it_lacks_learns_it_and_resumes_after_a_cut() -> None:
    bus, engine = ScriptedDiscoveryService(), Engine()
    port = await engine.start()
    async with running(make_config(bus=await bus.start())) as rig:
        await until(lambda: bus.subscriptions)
        assert bus.subscriptions == [b"from 1\n"]
        bus.publish(topology_event(2, target_entry("s-1", port)))
        await until(lambda: "s-1" in rig.node.dispatcher.endpoint_table.by_uid)
        client = await rig.client()
        client.ask()
        assert (await client.answer())[1] == 0
        assert bus.writer is not None
        bus.writer.close()
        await until(lambda: len(bus.subscriptions) == 2)
        assert bus.subscriptions[1] == b"from 2\n"


@on_uvloop
async def test_a_beat_beyond_what_came_and_a_bad_line_make_it_connect_anew() -> None:
    bus = ScriptedDiscoveryService()
    async with running(make_config(bus=await bus.start())) as rig:
        await until(lambda: bus.subscriptions)
        bus.publish(5)
        await until(lambda: len(bus.subscriptions) == 2)
        assert bus.subscriptions[1] == b"from 1\n"
        bus.publish('{"offset":2,')
        await until(lambda: len(bus.subscriptions) == 3)
        bus.publish('{"offset":2,')  # again: read past, the connection goes on
        bus.publish(topology_event(3, target_entry("s-3", 9)))
        await until(lambda: "s-3" in rig.node.dispatcher.endpoint_table.by_uid)
        assert len(bus.subscriptions) == 3
        assert rig.node.watch_client is not None and rig.node.watch_client.last == 3


@on_uvloop
async def test_sighup_moves_to_another_bus_and_keeps_the_old_one_until_it_is_up(
    tmp_path: Path,
) -> None:
    old, new, late = (
        ScriptedDiscoveryService(),
        ScriptedDiscoveryService(),
        ScriptedDiscoveryService(),
    )
    path = tmp_path / "config.json"
    first = await old.start()
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "settings": platform_settings(),
        "known": {"offset": 1},
    }

    def ask(rig: Rig, text: str) -> None:
        path.write_text(text)
        os.kill(os.getpid(), signal.SIGHUP)

    config = make_config(bus=first)
    async with running(config, {"PROXY_CONFIG": str(path)}) as rig:
        await until(lambda: old.subscriptions)
        # wholly or not at all, and the key is named
        ask(rig, json.dumps({**raw, "bus": "127.0.0.1:x"}))
        await until(lambda: any("bus: '127.0.0.1:x'" in line for line in rig.logged))
        ask(rig, "{")
        await until(lambda: sum("stays as it was" in line for line in rig.logged) == 2)
        empty = free_port()
        ask(rig, json.dumps({**raw, "bus": f"127.0.0.1:{empty}"}))
        await until(lambda: any("no connection" in line for line in rig.logged))
        old.publish(
            topology_event(2, target_entry("s-2", 9))
        )  # nobody listens at the new address yet
        await until(lambda: "s-2" in rig.node.dispatcher.endpoint_table.by_uid)
        ask(rig, json.dumps({**raw, "bus": f"127.0.0.1:{await new.start()}"}))
        await until(lambda: new.subscriptions)
        assert new.subscriptions == [b"from 2\n"] and len(old.subscriptions) == 1
        new.publish(topology_event(2, target_entry("s-9", 9)))  # told already
        new.publish(topology_event(3, target_entry("s-3", 9)))
        await until(lambda: "s-3" in rig.node.dispatcher.endpoint_table.by_uid)
        assert "s-9" not in rig.node.dispatcher.endpoint_table.by_uid
        rig.node.shutdown.begun_at_ns = 1
        ask(rig, json.dumps({**raw, "bus": f"127.0.0.1:{await late.start()}"}))
        await until(lambda: any("not during the drain" in line for line in rig.logged))
        assert not late.subscriptions


@on_uvloop
async def test_a_bus_that_stops_in_the_middle_of_an_event_is_asked_again_within_2_s(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bus = ScriptedDiscoveryService()
    async with running(make_config(bus=await bus.start())) as rig:
        await until(lambda: bus.subscriptions)
        bus.publish(1)
        assert bus.writer is not None and rig.node.watch_client is not None
        bus.writer.write(b'{"offset":2,"topo')
        feed = rig.node.watch_client
        await until(lambda: feed.connection is not None and feed.connection.parser.buffer)
        monkeypatch.setattr("query_broker.discovery.watch_client.SILENT", SILENT)
        feed.check(feed.heard + 1_500 * MS)  # a beat may be late
        assert not feed.connection.transport.is_closing()  # type: ignore[union-attr]
        feed.check(feed.heard + 2_000 * MS)
        monkeypatch.setattr("query_broker.discovery.watch_client.SILENT", 1 << 62)
        await until(lambda: len(bus.subscriptions) == 2)
        assert bus.subscriptions[1] == b"from 1\n"
        bus.publish(topology_event(2, target_entry("s-2", 9)))
        await until(lambda: "s-2" in rig.node.dispatcher.endpoint_table.by_uid)


async def drained_is_left_out(
    rig: Rig, client: Client, drained: Engine, other: Engine, first: int
) -> None:
    """Requests from now on go to the other engine alone."""
    before = len(drained.commands_named(b"do"))
    for stream in range(first, first + 8):
        client.ask(stream, trace=f"{stream:016x}")
        assert (await client.answer())[:2] == (stream, 0)
    assert len(drained.commands_named(b"do")) == before and other.commands_named(b"do")


@on_uvloop
async def test_watches_that_fall_silent_and_drains_told_just_after(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The old connection stays open and says nothing, in the middle of a line; what it still says
    once the next one is up counts for nothing, and what is told twice counts once.
    """
    bus, leaving, other = ScriptedDiscoveryService(), Engine(), Engine()
    targets = [target_entry("s-1", await leaving.start()), target_entry("s-2", await other.start())]
    async with running(make_config(*targets, bus=await bus.start())) as rig:
        await until(lambda: bus.writer)
        old, feed, taken = bus.writer, rig.node.watch_client, list[int]()
        assert old is not None and feed is not None
        take = feed.take

        def count(event: EndpointListEvent) -> None:
            taken.append(event.offset)
            take(event)

        feed.take = count
        drain = topology_event(2, {**targets[0], "state": "terminating"})
        line = json.dumps(drain).encode() + b"\n"
        old.write(line[:40])
        await until(lambda: feed.connection is not None and feed.connection.parser.buffer)
        monkeypatch.setattr("query_broker.discovery.watch_client.SILENT", SILENT)
        feed.check(feed.heard + 2_000 * MS)
        monkeypatch.setattr("query_broker.discovery.watch_client.SILENT", 1 << 62)
        await until(lambda: len(bus.subscriptions) == 2 and bus.writer is not old)
        assert bus.subscriptions[1] == b"from 1\n"
        old.write(line[40:] + b'{"offset":3,"topology":{"rev":3,"all":true,"targets":[]}}\n')
        bus.publish(drain)
        await until(lambda: feed.last == 2)
        bus.publish(drain)
        client = await rig.client()
        await drained_is_left_out(rig, client, leaving, other, 1)
        bus.publish(topology_event(3))
        await until(lambda: feed.last == 3)
        assert taken == [2, 3] and set(rig.node.dispatcher.endpoint_table.by_uid) == {"s-1", "s-2"}


@on_uvloop
async def test_discovery_is_back_with_drains_in_its_first_moments() -> None:
    """It refused; its first lines are the drains that were told meanwhile, and requests are under
    way.
    """
    bus, leaving, other, port = ScriptedDiscoveryService(), Engine(), Engine(), free_port()
    targets = [target_entry("s-1", await leaving.start()), target_entry("s-2", await other.start())]
    async with running(make_config(*targets, bus=port)) as rig:
        await until(lambda: any("no connection" in line for line in rig.logged))
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        assert (await client.answer())[:2] == (1, 0)  # what is known serves
        bus.server = await asyncio.start_server(bus._serve_client, "127.0.0.1", port)
        await until(lambda: bus.subscriptions)
        # out of turn: asked for again, not taken
        bus.publish(topology_event(3, {**targets[1], "capacity_hint": 9}))
        await until(lambda: len(bus.subscriptions) == 2)
        assert bus.subscriptions == [b"from 1\n", b"from 1\n"]
        bus.publish(topology_event(2, {**targets[0], "state": "terminating"}))
        await until(lambda: rig.node.watch_client is not None and rig.node.watch_client.last == 2)
        await drained_is_left_out(rig, client, leaving, other, 2)


@on_uvloop
async def test_a_new_address_while_the_old_connection_stands_in_the_middle_of_a_line(
    tmp_path: Path,
) -> None:
    old, new, leaving, other = (
        ScriptedDiscoveryService(),
        ScriptedDiscoveryService(),
        Engine(),
        Engine(),
    )
    targets = [target_entry("s-1", await leaving.start()), target_entry("s-2", await other.start())]
    config = make_config(*targets, bus=await old.start())
    moved = write_config(tmp_path, bus=f"127.0.0.1:{await new.start()}", limits={"sockets": 256})
    async with running(config, moved) as rig:
        await until(lambda: old.writer)
        feed = rig.node.watch_client
        assert feed is not None and old.writer is not None
        line = (
            json.dumps(topology_event(2, {**targets[1], "state": "terminating"})).encode() + b"\n"
        )
        old.writer.write(line[:50])
        await until(lambda: feed.connection is not None and feed.connection.parser.buffer)
        before = feed.connection
        assert before is not None
        rig.node.reload()
        await until(lambda: new.subscriptions and before.transport is None)
        assert new.subscriptions == [b"from 1\n"]
        old.writer.write(line[50:])  # late, from an address that is not in force any more
        new.publish(topology_event(2, {**targets[0], "state": "terminating"}))
        await until(lambda: feed.last == 2)
        await drained_is_left_out(rig, await rig.client(), leaving, other, 1)
        assert len(old.subscriptions) == 1
