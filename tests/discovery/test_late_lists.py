"""A discovery service, or the path to it, that is slower than the silence limit."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from query_broker.discovery import watch_client as watch_client_module
from query_broker.discovery.watch_client import MAX_SILENT_CONNECTIONS, WatchClient
from query_broker.emulator.discovery_service import ScriptedDiscoveryService

from ..support.sockets import (
    MS,
    RunningBroker,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
)
from .late_service import LateDiscoveryService

pytestmark = pytest.mark.real_time

#: The times of these tests are a tenth of the real ones.
SCALE = 10
HEARTBEAT_INTERVAL_S = 1.0 / SCALE
#: An event counts as told this long after the service has it, whether it has arrived or not.
TOLD_AFTER_S = 7.0 / SCALE


@pytest.fixture(autouse=True)
def _scale_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("SERVICE_SILENCE_LIMIT_NS", "SLOW_PATH_SILENCE_LIMIT_NS"):
        limit_ns = getattr(watch_client_module, name)
        monkeypatch.setattr(watch_client_module, name, limit_ns // SCALE)


@asynccontextmanager
async def late_service() -> AsyncIterator[LateDiscoveryService]:
    """Run a service with one event, which names the endpoint s-1."""
    service = LateDiscoveryService(HEARTBEAT_INTERVAL_S)
    service.lines.append(encode_event(1, "in_service"))
    try:
        yield service
    finally:
        service.stop()


def encode_event(offset: int, state: str) -> bytes:
    """Return the line of an event that changes the state of the endpoint s-1."""
    return json.dumps(topology_event(offset, target_entry("s-1", 9, state))).encode() + b"\n"


def watch_client_of(broker: RunningBroker) -> WatchClient:
    """Return the broker's client of the discovery service."""
    assert broker.node.watch_client is not None
    return broker.node.watch_client


@pytest.mark.parametrize("late_s", [2.5 / SCALE, 9.9 / SCALE])
@on_uvloop
async def test_a_drain_is_applied_while_the_list_is_later_than_the_silence_limit(
    late_s: float,
) -> None:
    # Guards against a list that is never heard of: each connection ended before its first line.
    async with late_service() as service:
        config = make_config(target_entry("s-1", 9), bus=await service.start())
        async with running(config) as broker:
            client = watch_client_of(broker)
            await until(lambda: service.subscribers)
            service.delay_s = late_s
            await asyncio.sleep(1.5 / SCALE)
            published_s = time.monotonic()
            service.publish(encode_event(2, "terminating"))
            await until(lambda: client.last_offset == 2)
            assert time.monotonic() - published_s < late_s + TOLD_AFTER_S
            await until(lambda: not client.silent_connections)
            await until(lambda: len(service.subscribers) == 1)


@on_uvloop
async def test_a_late_list_is_followed_by_a_later_connection_if_the_first_is_dead() -> None:
    # Guards against the same fault where a partition has left the first connection dead.
    async with late_service() as service:
        config = make_config(target_entry("s-1", 9), bus=await service.start())
        async with running(config) as broker:
            client = watch_client_of(broker)
            await until(lambda: service.subscribers)
            dead_connection = client.connection
            assert dead_connection is not None
            service.subscribers.clear()  # it stays open and gets nothing more
            service.delay_s = 9.9 / SCALE
            service.publish(encode_event(2, "terminating"))
            await until(lambda: client.last_offset == 2)
            await until(lambda: dead_connection.transport is None)
            assert client.connection is not None


@on_uvloop
async def test_the_number_of_silent_connections_is_bounded() -> None:
    service = ScriptedDiscoveryService()
    async with running(make_config(bus=await service.start())) as broker:
        client = watch_client_of(broker)
        await until(lambda: client.connection is not None)
        connections = []
        for count in range(1, MAX_SILENT_CONNECTIONS + 3):
            assert client.connection is not None
            connections.append(client.connection)
            client.reconnect_if_silent(client.last_received_ns + 10_000 * MS)
            await until(lambda: client.connection is not None)
            assert len(client.silent_connections) == min(count, MAX_SILENT_CONNECTIONS)
        await until(lambda: connections[1].transport is None)
        assert connections[0].transport is None
        assert all(connection.transport is not None for connection in connections[2:])
        client.stop()
        await until(lambda: all(connection.transport is None for connection in connections))


@on_uvloop
async def test_the_connection_that_tells_first_is_used_and_the_others_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_client_module, "SERVICE_SILENCE_LIMIT_NS", 1 << 62)
    service = ScriptedDiscoveryService()
    async with running(make_config(bus=await service.start())) as broker:
        client = watch_client_of(broker)
        await until(lambda: service.writer)
        first_writer = service.writer
        assert first_writer is not None
        first_connection = client.connection
        with monkeypatch.context() as limits:
            limits.setattr(watch_client_module, "SERVICE_SILENCE_LIMIT_NS", 0)
            client.reconnect_if_silent(client.last_received_ns + 1)
        await until(lambda: len(service.subscriptions) == 2 and client.connection is not None)
        second_connection = client.connection
        assert second_connection is not None
        first_writer.write(encode_event(2, "in_service"))
        await until(lambda: client.last_offset == 2)
        assert client.connection is first_connection
        await until(lambda: second_connection.transport is None)
        first_writer.write(encode_event(2, "in_service") + encode_event(3, "terminating"))
        await until(lambda: client.last_offset == 3)
        assert len(service.subscriptions) == 2
