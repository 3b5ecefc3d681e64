"""The watch of the endpoint list on real sockets: events, silence, drains and new addresses."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from query_broker.discovery.event_codec import EndpointListEvent
from query_broker.discovery.watch_client import SILENCE_LIMIT_NS, WatchClient
from query_broker.emulator.discovery_service import ScriptedDiscoveryService

from ..support.sockets import (
    MS,
    Client,
    Engine,
    Rig,
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

pytestmark = pytest.mark.real_time

#: The constant of the client that the tests replace, and a limit that is never reached.
SILENCE_LIMIT = "query_broker.discovery.watch_client.SILENCE_LIMIT_NS"
NEVER_NS = 1 << 62


@pytest.fixture(autouse=True)
def _never_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep a slow machine from passing for a silent service."""
    monkeypatch.setattr(SILENCE_LIMIT, NEVER_NS)


def config_text(address: str) -> str:
    """Return the text of a configuration file that names this address of the service."""
    return json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "seed": "8c1f",
            "limits": {"sockets": 256},
            "settings": platform_settings(),
            "known": {"offset": 1},
            "bus": address,
        }
    )


class LeavingAndOther(NamedTuple):
    """Two engines, of which the first one is going to drain.

    Attributes:
        leaving: The engine that drains.
        other: The engine that stays.
        targets: How the service describes them, in this order.
    """

    leaving: Engine
    other: Engine
    targets: list[dict[str, Any]]

    def drain(self, offset: int) -> dict[str, Any]:
        """Return the event that the first engine drains."""
        return topology_event(offset, {**self.targets[0], "state": "terminating"})


async def start_leaving_and_other() -> LeavingAndOther:
    """Start both engines, and describe them as s-1 and s-2."""
    leaving = Engine()
    other = Engine()
    targets = [target_entry("s-1", await leaving.start()), target_entry("s-2", await other.start())]
    return LeavingAndOther(leaving, other, targets)


def check_after_silence(
    watch_client: WatchClient, silent_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Let the client check for silence, with its own limit, after so long without a byte."""
    monkeypatch.setattr(SILENCE_LIMIT, SILENCE_LIMIT_NS)
    watch_client.drop_if_silent(watch_client.last_received_ns + silent_ms * MS)
    monkeypatch.setattr(SILENCE_LIMIT, NEVER_NS)


@on_uvloop
async def test_requests_the_events_it_lacks_and_resumes_after_a_cut() -> None:
    service = ScriptedDiscoveryService()
    engine = Engine()
    port = await engine.start()
    async with running(make_config(bus=await service.start())) as rig:
        await until(lambda: service.subscriptions)
        assert service.subscriptions == [b"from 1\n"]
        service.publish(topology_event(2, target_entry("s-1", port)))
        await until(lambda: "s-1" in rig.node.dispatcher.endpoint_table.by_uid)
        client = await rig.client()
        client.ask()
        assert (await client.answer())[1] == 0
        assert service.writer is not None
        service.writer.close()
        await until(lambda: len(service.subscriptions) == 2)
        assert service.subscriptions[1] == b"from 2\n"


@on_uvloop
async def test_a_heartbeat_beyond_what_came_and_an_invalid_line_make_it_connect_anew() -> None:
    service = ScriptedDiscoveryService()
    async with running(make_config(bus=await service.start())) as rig:
        await until(lambda: service.subscriptions)
        service.publish(5)
        await until(lambda: len(service.subscriptions) == 2)
        assert service.subscriptions[1] == b"from 1\n"
        service.publish('{"offset":2,')
        await until(lambda: len(service.subscriptions) == 3)
        service.publish('{"offset":2,')  # again: skipped, the connection goes on
        service.publish(topology_event(3, target_entry("s-3", 9)))
        await until(lambda: "s-3" in rig.node.dispatcher.endpoint_table.by_uid)
        assert len(service.subscriptions) == 3
        assert rig.node.watch_client is not None
        assert rig.node.watch_client.last_offset == 3


@on_uvloop
async def test_sighup_moves_to_another_service_and_keeps_the_old_one_until_it_is_up(
    tmp_path: Path,
) -> None:
    old = ScriptedDiscoveryService()
    new = ScriptedDiscoveryService()
    late = ScriptedDiscoveryService()
    path = tmp_path / "config.json"
    first = await old.start()

    def reload(rig: Rig, text: str) -> None:
        path.write_text(text)
        os.kill(os.getpid(), signal.SIGHUP)

    config = make_config(bus=first)
    async with running(config, {"PROXY_CONFIG": str(path)}) as rig:
        await until(lambda: old.subscriptions)
        # a faulty file changes nothing, and the key is named
        reload(rig, config_text("127.0.0.1:x"))
        await until(lambda: any("bus: '127.0.0.1:x'" in line for line in rig.logged))
        reload(rig, "{")
        await until(lambda: sum("stays as it was" in line for line in rig.logged) == 2)
        empty = free_port()
        reload(rig, config_text(f"127.0.0.1:{empty}"))
        await until(lambda: any("no connection" in line for line in rig.logged))
        # nothing listens at the new address yet
        old.publish(topology_event(2, target_entry("s-2", 9)))
        await until(lambda: "s-2" in rig.node.dispatcher.endpoint_table.by_uid)
        reload(rig, config_text(f"127.0.0.1:{await new.start()}"))
        await until(lambda: new.subscriptions)
        assert new.subscriptions == [b"from 2\n"]
        assert len(old.subscriptions) == 1
        new.publish(topology_event(2, target_entry("s-9", 9)))  # known already
        new.publish(topology_event(3, target_entry("s-3", 9)))
        await until(lambda: "s-3" in rig.node.dispatcher.endpoint_table.by_uid)
        assert "s-9" not in rig.node.dispatcher.endpoint_table.by_uid
        rig.node.shutdown.begun_at_ns = 1
        reload(rig, config_text(f"127.0.0.1:{await late.start()}"))
        await until(lambda: any("SIGHUP ignored during the drain" in line for line in rig.logged))
        assert not late.subscriptions


@on_uvloop
async def test_a_service_that_stops_within_an_event_is_connected_to_again_within_2_s(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    service = ScriptedDiscoveryService()
    async with running(make_config(bus=await service.start())) as rig:
        await until(lambda: service.subscriptions)
        service.publish(1)
        assert service.writer is not None
        assert rig.node.watch_client is not None
        service.writer.write(b'{"offset":2,"topo')
        watch_client = rig.node.watch_client
        await until_part_of_a_line_has_come(watch_client)
        check_after_silence(watch_client, 1_500, monkeypatch)  # a heartbeat may be late
        assert not watch_client.connection.transport.is_closing()  # type: ignore[union-attr]
        check_after_silence(watch_client, 2_000, monkeypatch)
        await until(lambda: len(service.subscriptions) == 2)
        assert service.subscriptions[1] == b"from 1\n"
        service.publish(topology_event(2, target_entry("s-2", 9)))
        await until(lambda: "s-2" in rig.node.dispatcher.endpoint_table.by_uid)


def record_offsets(watch_client: WatchClient) -> list[int]:
    """Return the list to which the offset of each event is added that the client passes on."""
    offsets: list[int] = []
    pass_on = watch_client.on_event

    def record(event: EndpointListEvent) -> None:
        offsets.append(event.offset)
        pass_on(event)

    watch_client.on_event = record
    return offsets


async def until_part_of_a_line_has_come(watch_client: WatchClient) -> None:
    """Wait until the connection holds a line whose end has not come."""
    await until(
        lambda: watch_client.connection is not None and watch_client.connection.parser.buffer
    )


async def assert_drained_gets_nothing(
    client: Client, engines: LeavingAndOther, first_stream: int
) -> None:
    """Send eight requests: all of them go to the engine that stays."""
    before = len(engines.leaving.commands_named(b"do"))
    for stream in range(first_stream, first_stream + 8):
        client.ask(stream, trace=f"{stream:016x}")
        assert (await client.answer())[:2] == (stream, 0)
    assert len(engines.leaving.commands_named(b"do")) == before
    assert engines.other.commands_named(b"do")


@on_uvloop
async def test_watches_that_fall_silent_and_drains_notified_just_after(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The old connection stays open and silent, in the middle of a line; what it still sends once
    the next one is up is not read, and an event that comes twice counts once.
    """
    service = ScriptedDiscoveryService()
    engines = await start_leaving_and_other()
    async with running(make_config(*engines.targets, bus=await service.start())) as rig:
        await until(lambda: service.writer)
        old = service.writer
        watch_client = rig.node.watch_client
        assert old is not None
        assert watch_client is not None
        offsets = record_offsets(watch_client)
        drain = engines.drain(2)
        line = json.dumps(drain).encode() + b"\n"
        old.write(line[:40])
        await until_part_of_a_line_has_come(watch_client)
        check_after_silence(watch_client, 2_000, monkeypatch)
        await until(lambda: len(service.subscriptions) == 2 and service.writer is not old)
        assert service.subscriptions[1] == b"from 1\n"
        old.write(line[40:] + b'{"offset":3,"topology":{"rev":3,"all":true,"targets":[]}}\n')
        service.publish(drain)
        await until(lambda: watch_client.last_offset == 2)
        service.publish(drain)
        client = await rig.client()
        await assert_drained_gets_nothing(client, engines, 1)
        service.publish(topology_event(3))
        await until(lambda: watch_client.last_offset == 3)
        assert offsets == [2, 3]
        assert set(rig.node.dispatcher.endpoint_table.by_uid) == {"s-1", "s-2"}


@on_uvloop
async def test_discovery_is_back_with_drains_in_its_first_moments() -> None:
    """It refused connects; its first lines are the drains of the time between, while requests are
    in flight.
    """
    service = ScriptedDiscoveryService()
    engines = await start_leaving_and_other()
    port = free_port()
    async with running(make_config(*engines.targets, bus=port)) as rig:
        await until(lambda: any("no connection" in line for line in rig.logged))
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        assert (await client.answer())[:2] == (1, 0)  # the known endpoints serve
        service.server = await asyncio.start_server(service._serve_client, "127.0.0.1", port)
        await until(lambda: service.subscriptions)
        # out of turn: requested again, not applied
        service.publish(topology_event(3, {**engines.targets[1], "capacity_hint": 9}))
        await until(lambda: len(service.subscriptions) == 2)
        assert service.subscriptions == [b"from 1\n", b"from 1\n"]
        service.publish(engines.drain(2))
        await until(
            lambda: rig.node.watch_client is not None and rig.node.watch_client.last_offset == 2
        )
        await assert_drained_gets_nothing(client, engines, 2)


@on_uvloop
async def test_a_new_address_while_the_old_connection_has_part_of_a_line(
    tmp_path: Path,
) -> None:
    old = ScriptedDiscoveryService()
    new = ScriptedDiscoveryService()
    engines = await start_leaving_and_other()
    config = make_config(*engines.targets, bus=await old.start())
    moved = write_config(tmp_path, bus=f"127.0.0.1:{await new.start()}", limits={"sockets": 256})
    async with running(config, moved) as rig:
        await until(lambda: old.writer)
        watch_client = rig.node.watch_client
        assert watch_client is not None
        assert old.writer is not None
        stale_drain = topology_event(2, {**engines.targets[1], "state": "terminating"})
        line = json.dumps(stale_drain).encode() + b"\n"
        old.writer.write(line[:50])
        await until_part_of_a_line_has_come(watch_client)
        before = watch_client.connection
        assert before is not None
        rig.node.reload()
        await until(lambda: new.subscriptions and before.transport is None)
        assert new.subscriptions == [b"from 1\n"]
        old.writer.write(line[50:])  # late, from an address that is not in force any more
        new.publish(engines.drain(2))
        await until(lambda: watch_client.last_offset == 2)
        await assert_drained_gets_nothing(await rig.client(), engines, 1)
        assert len(old.subscriptions) == 1
