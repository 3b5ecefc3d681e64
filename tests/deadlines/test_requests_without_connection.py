"""Requests whose client cancels or disconnects before they have a connection."""

from __future__ import annotations

from dataclasses import replace

import pytest

from query_broker.deadlines.handover_checks import HandOver, StopReason
from query_broker.protocols import client_frames as frames

from ..support.sockets import (
    Engine,
    connects_held_back,
    make_config,
    on_uvloop,
    running,
    target_entry,
    until,
)
from .deadline_brokers import broker_with_engine_ports, request_id, stopped_count

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_a_request_cancelled_before_it_has_a_connection_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = Engine()
    gate, _ = connects_held_back(monkeypatch)
    async with broker_with_engine_ports(await engine.start()) as broker:
        dispatcher = broker.node.dispatcher
        client = await broker.client()
        client.send_request(1, trace=request_id(1), weight="1.0")
        client.send_request(2, trace=request_id(2), weight="1.0")
        await until(lambda: len(dispatcher.requests) == 2)
        client.send(frames.ABANDON, 1)
        await until(
            lambda: (
                stopped_count(broker, HandOver.POOL, StopReason.CLIENT_LEFT) == 1
                and len(dispatcher.requests) == 1
            )
        )
        gate.set()
        assert (await client.answer())[:2] == (2, frames.SERVED)
        received = [command[1] for command in engine.commands_named(b"do")]
        assert received == [request_id(2).encode()]


@on_uvloop
async def test_requests_of_500_clients_that_disconnect_at_once_are_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = Engine()
    gate, _ = connects_held_back(monkeypatch)
    large_engine = {
        "size_cores": [4_000],
        "parallelism": [1, 2],
    }  # large enough to admit all requests
    config = make_config(
        target_entry("s-1", await engine.start()), tenants=[], specifics=large_engine
    )
    async with running(replace(config, sockets=2_048, memory_mb=256)) as broker:
        dispatcher = broker.node.dispatcher
        clients = [await broker.client() for _ in range(500)]
        for number, client in enumerate(clients, 100):
            client.send_request(1, trace=request_id(number), weight="0.1", customer=None)
        await until(lambda: dispatcher.request_table.unanswered_count == 500)
        for client in clients:
            client.writer.transport.abort()
        await until(
            lambda: not dispatcher.request_table.unanswered_count and not dispatcher.requests
        )
        assert stopped_count(broker, HandOver.POOL, StopReason.CLIENT_LEFT) == 500
        gate.set()
        last_client = await broker.client()
        last_client.send_request(1, trace=request_id(1), weight="0.1", customer=None)
        assert (await last_client.answer())[1] == frames.SERVED
        received = [command[1] for command in engine.commands_named(b"do")]
        assert received == [request_id(1).encode()]
        assert not dispatcher.outcomes.deferred
        assert not dispatcher.request_table.statement_bytes
