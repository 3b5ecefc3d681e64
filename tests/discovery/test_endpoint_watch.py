"""The watch of the endpoint list over real sockets: events, silence, drains and new addresses."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from query_broker.discovery.event_codec import EndpointListEvent
from query_broker.discovery.watch_client import SERVICE_SILENCE_LIMIT_NS, WatchClient
from query_broker.emulator.discovery_service import ScriptedDiscoveryService

from ..support.sockets import (
    MS,
    Client,
    Engine,
    RunningBroker,
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

#: Path of the constant of the watch client that the tests patch, and a limit that is never reached.
SILENCE_LIMIT_PATH = "query_broker.discovery.watch_client.SERVICE_SILENCE_LIMIT_NS"
NEVER_NS = 1 << 62


@pytest.fixture(autouse=True)
def _disable_silence_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the silence limit, which a slow machine could reach."""
    monkeypatch.setattr(SILENCE_LIMIT_PATH, NEVER_NS)


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


class DrainingAndReadyEngines(NamedTuple):
    """Two engines, the first of which is going to drain.

    Attributes:
        draining: The engine that drains.
        ready: The engine that stays ready.
        targets: The entries of both engines in the endpoint list, in this order.
    """

    draining: Engine
    ready: Engine
    targets: list[dict[str, Any]]

    def drain_event(self, offset: int) -> dict[str, Any]:
        """Return the event that the first engine drains."""
        return topology_event(offset, {**self.targets[0], "state": "terminating"})


async def start_draining_and_ready() -> DrainingAndReadyEngines:
    """Start both engines, with the uids s-1 and s-2."""
    draining = Engine()
    ready = Engine()
    targets = [
        target_entry("s-1", await draining.start()),
        target_entry("s-2", await ready.start()),
    ]
    return DrainingAndReadyEngines(draining, ready, targets)


def check_silence_after(
    watch_client: WatchClient, silent_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Run the client's silence check, with its real limit, after this time without a byte."""
    monkeypatch.setattr(SILENCE_LIMIT_PATH, SERVICE_SILENCE_LIMIT_NS)
    watch_client.reconnect_if_silent(watch_client.last_received_ns + silent_ms * MS)
    monkeypatch.setattr(SILENCE_LIMIT_PATH, NEVER_NS)


@on_uvloop
async def test_events_are_requested_from_the_known_offset_and_again_after_a_disconnection() -> None:
    service = ScriptedDiscoveryService()
    engine = Engine()
    port = await engine.start()
    async with running(make_config(bus=await service.start())) as broker:
        await until(lambda: service.subscriptions)
        assert service.subscriptions == [b"from 1\n"]
        service.publish(topology_event(2, target_entry("s-1", port)))
        await until(lambda: "s-1" in broker.node.dispatcher.endpoint_table.by_uid)
        client = await broker.client()
        client.send_request()
        assert (await client.answer())[1] == 0
        assert service.writer is not None
        service.writer.close()
        await until(lambda: len(service.subscriptions) == 2)
        assert service.subscriptions[1] == b"from 2\n"


@on_uvloop
async def test_missing_events_or_an_invalid_line_cause_a_reconnect() -> None:
    service = ScriptedDiscoveryService()
    async with running(make_config(bus=await service.start())) as broker:
        await until(lambda: service.subscriptions)
        service.publish(5)
        await until(lambda: len(service.subscriptions) == 2)
        assert service.subscriptions[1] == b"from 1\n"
        service.publish('{"offset":2,')
        await until(lambda: len(service.subscriptions) == 3)
        service.publish('{"offset":2,')  # skipped the second time, on the same connection
        service.publish(topology_event(3, target_entry("s-3", 9)))
        await until(lambda: "s-3" in broker.node.dispatcher.endpoint_table.by_uid)
        assert len(service.subscriptions) == 3
        assert broker.node.watch_client is not None
        assert broker.node.watch_client.last_offset == 3


@on_uvloop
async def test_sighup_changes_the_service_and_keeps_the_old_connection_until_the_new_one_is_up(
    tmp_path: Path,
) -> None:
    old = ScriptedDiscoveryService()
    new = ScriptedDiscoveryService()
    third = ScriptedDiscoveryService()
    path = tmp_path / "config.json"
    old_port = await old.start()

    def reload(broker: RunningBroker, text: str) -> None:
        path.write_text(text)
        os.kill(os.getpid(), signal.SIGHUP)

    config = make_config(bus=old_port)
    async with running(config, {"PROXY_CONFIG": str(path)}) as broker:
        await until(lambda: old.subscriptions)
        # an invalid file changes nothing, and the log names the key
        reload(broker, config_text("127.0.0.1:x"))
        await until(lambda: any("bus: '127.0.0.1:x'" in line for line in broker.logged))
        reload(broker, "{")
        await until(lambda: sum("stays as it was" in line for line in broker.logged) == 2)
        unused_port = free_port()
        reload(broker, config_text(f"127.0.0.1:{unused_port}"))
        await until(lambda: any("no connection" in line for line in broker.logged))
        # nothing listens at the new address: the old connection still receives events
        old.publish(topology_event(2, target_entry("s-2", 9)))
        await until(lambda: "s-2" in broker.node.dispatcher.endpoint_table.by_uid)
        reload(broker, config_text(f"127.0.0.1:{await new.start()}"))
        await until(lambda: new.subscriptions)
        assert new.subscriptions == [b"from 2\n"]
        assert len(old.subscriptions) == 1
        new.publish(topology_event(2, target_entry("s-9", 9)))  # skipped: its offset is known
        new.publish(topology_event(3, target_entry("s-3", 9)))
        await until(lambda: "s-3" in broker.node.dispatcher.endpoint_table.by_uid)
        assert "s-9" not in broker.node.dispatcher.endpoint_table.by_uid
        broker.node.shutdown.started_at_ns = 1
        reload(broker, config_text(f"127.0.0.1:{await third.start()}"))
        await until(
            lambda: any("SIGHUP ignored during the drain" in line for line in broker.logged)
        )
        assert not third.subscriptions


@on_uvloop
async def test_a_service_that_falls_silent_within_an_event_is_reconnected_within_2_s(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    service = ScriptedDiscoveryService()
    async with running(make_config(bus=await service.start())) as broker:
        await until(lambda: service.subscriptions)
        service.publish(1)
        assert service.writer is not None
        assert broker.node.watch_client is not None
        service.writer.write(b'{"offset":2,"topo')
        watch_client = broker.node.watch_client
        await until_partial_line_received(watch_client)
        check_silence_after(watch_client, 1_500, monkeypatch)  # a heartbeat may be late
        assert not watch_client.connection.transport.is_closing()  # type: ignore[union-attr]
        check_silence_after(watch_client, 2_000, monkeypatch)
        await until(lambda: len(service.subscriptions) == 2)
        assert service.subscriptions[1] == b"from 1\n"
        service.publish(topology_event(2, target_entry("s-2", 9)))
        await until(lambda: "s-2" in broker.node.dispatcher.endpoint_table.by_uid)


def record_offsets(watch_client: WatchClient) -> list[int]:
    """Return a list that collects the offsets of the events that the client passes on."""
    offsets: list[int] = []
    on_event = watch_client.on_event

    def record(event: EndpointListEvent) -> None:
        offsets.append(event.offset)
        on_event(event)

    watch_client.on_event = record
    return offsets


async def until_partial_line_received(watch_client: WatchClient) -> None:
    """Wait until the connection has received a part of a line."""
    await until(
        lambda: watch_client.connection is not None and watch_client.connection.parser.buffer
    )


async def assert_draining_engine_gets_no_requests(
    client: Client, engines: DrainingAndReadyEngines, first_stream: int
) -> None:
    """Send eight requests, and check that all of them go to the ready engine."""
    count_before = len(engines.draining.commands_named(b"do"))
    for stream in range(first_stream, first_stream + 8):
        client.send_request(stream, trace=f"{stream:016x}")
        assert (await client.answer())[:2] == (stream, 0)
    assert len(engines.draining.commands_named(b"do")) == count_before
    assert engines.ready.commands_named(b"do")


@on_uvloop
async def test_a_drain_after_a_silent_connection_is_applied_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A network partition leaves the old connection open and silent in the middle of a line. What
    arrives on it after the new one has sent an event is not read, and a duplicate event is applied
    once.
    """
    service = ScriptedDiscoveryService()
    engines = await start_draining_and_ready()
    async with running(make_config(*engines.targets, bus=await service.start())) as broker:
        await until(lambda: service.writer)
        old_writer = service.writer
        watch_client = broker.node.watch_client
        assert old_writer is not None
        assert watch_client is not None
        offsets = record_offsets(watch_client)
        drain = engines.drain_event(2)
        line = json.dumps(drain).encode() + b"\n"
        old_writer.write(line[:40])
        await until_partial_line_received(watch_client)
        check_silence_after(watch_client, 2_000, monkeypatch)
        await until(lambda: len(service.subscriptions) == 2 and service.writer is not old_writer)
        assert service.subscriptions[1] == b"from 1\n"
        service.publish(drain)
        await until(lambda: watch_client.last_offset == 2)
        old_writer.write(line[40:] + b'{"offset":3,"topology":{"rev":3,"all":true,"targets":[]}}\n')
        service.publish(drain)
        client = await broker.client()
        await assert_draining_engine_gets_no_requests(client, engines, 1)
        service.publish(topology_event(3))
        await until(lambda: watch_client.last_offset == 3)
        assert offsets == [2, 3]
        assert set(broker.node.dispatcher.endpoint_table.by_uid) == {"s-1", "s-2"}


@on_uvloop
async def test_drains_sent_right_after_an_outage_of_the_service_are_applied() -> None:
    """The service refuses connects at first. The first events after its recovery are drains from
    the time of the outage.
    """
    service = ScriptedDiscoveryService()
    engines = await start_draining_and_ready()
    port = free_port()
    async with running(make_config(*engines.targets, bus=port)) as broker:
        await until(lambda: any("no connection" in line for line in broker.logged))
        client = await broker.client()
        client.send_request(1, trace="1" * 16)
        assert (await client.answer())[:2] == (1, 0)  # endpoints from the settings are in use
        service.server = await asyncio.start_server(service._serve_client, "127.0.0.1", port)
        await until(lambda: service.subscriptions)
        # event 2 is missing: event 3 is not applied, and both are requested again
        service.publish(topology_event(3, {**engines.targets[1], "capacity_hint": 9}))
        await until(lambda: len(service.subscriptions) == 2)
        assert service.subscriptions == [b"from 1\n", b"from 1\n"]
        service.publish(engines.drain_event(2))
        await until(
            lambda: broker.node.watch_client is not None
            and broker.node.watch_client.last_offset == 2
        )
        await assert_draining_engine_gets_no_requests(client, engines, 2)


@on_uvloop
async def test_a_partial_line_is_discarded_when_the_address_changes(
    tmp_path: Path,
) -> None:
    old = ScriptedDiscoveryService()
    new = ScriptedDiscoveryService()
    engines = await start_draining_and_ready()
    config = make_config(*engines.targets, bus=await old.start())
    environ = write_config(tmp_path, bus=f"127.0.0.1:{await new.start()}", limits={"sockets": 256})
    async with running(config, environ) as broker:
        await until(lambda: old.writer)
        watch_client = broker.node.watch_client
        assert watch_client is not None
        assert old.writer is not None
        stale_drain = topology_event(2, {**engines.targets[1], "state": "terminating"})
        line = json.dumps(stale_drain).encode() + b"\n"
        old.writer.write(line[:50])
        await until_partial_line_received(watch_client)
        old_connection = watch_client.connection
        assert old_connection is not None
        broker.node.reload()
        await until(lambda: new.subscriptions and old_connection.transport is None)
        assert new.subscriptions == [b"from 1\n"]
        old.writer.write(line[50:])  # sent by the old service after the connection was dropped
        new.publish(engines.drain_event(2))
        await until(lambda: watch_client.last_offset == 2)
        await assert_draining_engine_gets_no_requests(await broker.client(), engines, 1)
        assert len(old.subscriptions) == 1
