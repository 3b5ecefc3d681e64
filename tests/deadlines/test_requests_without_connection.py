"""Requests whose client leaves before there is a connection for them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from query_broker.deadlines.handover_checks import HandOver, StopReason
from query_broker.protocols import client_frames as frames

from ..support.sockets import (
    Engine,
    gated,
    make_config,
    on_uvloop,
    running,
    target_entry,
    until,
)
from .deadline_brokers import broker_before, request_id, stopped_count

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_a_client_that_leaves_between_the_decision_and_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = Engine()
    gate, _ = gated(monkeypatch)
    async with broker_before(await engine.start()) as rig:
        dispatcher = rig.node.dispatcher
        client = await rig.client()
        client.ask(1, trace=request_id(1), weight="1.0")
        client.ask(2, trace=request_id(2), weight="1.0")
        await until(lambda: len(dispatcher.requests) == 2)
        client.send(frames.ABANDON, 1)
        await until(
            lambda: (
                stopped_count(rig, HandOver.POOL, StopReason.CLIENT_LEFT) == 1
                and len(dispatcher.requests) == 1
            )
        )
        gate.set()
        assert (await client.answer())[:2] == (2, frames.SERVED)
        received = [command[1] for command in engine.commands_named(b"do")]
        assert received == [request_id(2).encode()]


@on_uvloop
async def test_five_hundred_clients_that_leave_at_once_begin_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = Engine()
    gate, _ = gated(monkeypatch)
    large_engine = {"size_cores": [4_000], "parallelism": [1, 2]}  # so that all are admitted
    config = make_config(
        target_entry("s-1", await engine.start()), tenants=[], specifics=large_engine
    )
    async with running(replace(config, sockets=2_048, memory_mb=256)) as rig:
        dispatcher = rig.node.dispatcher
        clients = [await rig.client() for _ in range(500)]
        for number, client in enumerate(clients, 100):
            client.ask(1, trace=request_id(number), weight="0.1", customer=None)
        await until(lambda: dispatcher.request_table.unanswered_count == 500)
        for client in clients:
            client.writer.transport.abort()
        await until(
            lambda: not dispatcher.request_table.unanswered_count and not dispatcher.requests
        )
        assert stopped_count(rig, HandOver.POOL, StopReason.CLIENT_LEFT) == 500
        gate.set()
        last_client = await rig.client()
        last_client.ask(1, trace=request_id(1), weight="0.1", customer=None)
        assert (await last_client.answer())[1] == frames.SERVED
        received = [command[1] for command in engine.commands_named(b"do")]
        assert received == [request_id(1).encode()]
        assert not dispatcher.outcomes.deferred
        assert not dispatcher.request_table.statement_bytes
