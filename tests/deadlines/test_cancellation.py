"""Cancellation of running attempts, and answers that arrive too late."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..support.sockets import TRACE, Client, Engine, on_uvloop, platform_settings, until
from .deadline_brokers import (
    broker_with_engine_ports,
    cancel_request,
    close_connection,
    engine_connections,
    request_id,
    statistics,
)

pytestmark = pytest.mark.real_time

POLICY_LIMITS = platform_settings()["policy_limits"]
CANCEL_LIMITS = {**POLICY_LIMITS, "cancel": True}
HEDGE_LIMITS = {**CANCEL_LIMITS, "second_copies": True}


def silent_engine() -> Engine:
    """Return an engine that accepts all requests and answers none."""
    return Engine(lambda *_: None)


@on_uvloop
async def test_no_cancellation_is_sent_if_engines_do_not_support_it() -> None:
    engine = silent_engine()
    async with broker_with_engine_ports(await engine.start()) as broker:
        client = await broker.client()
        for number in range(1, 6):
            client.send_request(number, trace=request_id(number), patience="300", weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 5)
        client.send(frames.ABANDON, 1)
        for _ in range(4):
            await client.answer()
        await until(lambda: not broker.node.dispatcher.requests)
        assert not engine.commands_named(b"undo")
        assert statistics(broker).cancels_sent == 0


async def wait_for_deadline(client: Client) -> None:
    """Wait until the request fails at its deadline."""
    assert (await client.answer())[1] == frames.FAILED


@pytest.mark.parametrize(
    ("end_request", "timeout_ms"),
    [
        pytest.param(cancel_request, "4000", id="cancelled"),
        pytest.param(close_connection, "4000", id="closed"),
        pytest.param(wait_for_deadline, "300", id="deadline"),
    ],
)
@on_uvloop
async def test_a_running_attempt_is_cancelled_when_no_client_waits_for_it(
    end_request: Callable[[Client], Awaitable[None]], timeout_ms: str
) -> None:
    engine = silent_engine()
    async with broker_with_engine_ports(
        await engine.start(), policy_limits=CANCEL_LIMITS
    ) as broker:
        client = await broker.client()
        client.send_request(1, patience=timeout_ms, route="stock-add", weight="1.0")
        await until(lambda: engine.commands_named(b"do"))
        await end_request(client)
        await until(lambda: engine.commands_named(b"undo"))
        assert {command[1] for command in engine.commands_named(b"undo")} == {TRACE.encode()}
        await until(lambda: statistics(broker).cancels_confirmed == 1)  # the engine stays silent
        assert statistics(broker).cancels_sent == 1
        assert len(engine.commands_named(b"undo")) <= 3
        assert engine_connections(broker)[0].is_idle()
        assert not broker.node.dispatcher.requests


@on_uvloop
async def test_an_answer_that_crosses_the_cancellation_is_dropped_and_counted() -> None:
    engine = silent_engine()
    async with broker_with_engine_ports(
        await engine.start(), policy_limits=CANCEL_LIMITS
    ) as broker:
        client = await broker.client()
        client.send_request(1, weight="1.0")
        await until(lambda: engine.commands_named(b"do"))
        client.send(frames.ABANDON, 1)
        await until(lambda: engine.commands_named(b"undo"))
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        await until(lambda: statistics(broker).cancels_answered == 1)
        client.send_request(2, trace=request_id(2), weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        engine.answer_served(engine.commands_named(b"do")[1], engine.writers[-1])
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert statistics(broker).cancels_confirmed == 0


@on_uvloop
async def test_the_losing_attempt_of_a_hedged_request_is_cancelled() -> None:
    engines = [silent_engine(), silent_engine()]
    ports = [await engine.start() for engine in engines]
    async with broker_with_engine_ports(*ports, policy_limits=HEDGE_LIMITS) as broker:
        client = await broker.client()
        client.send_request(1, weight="20.0")
        await until(lambda: sum(len(engine.commands_named(b"do")) for engine in engines) == 2)
        winner = next(engine for engine in engines if engine.commands_named(b"do"))
        winner.answer_served(winner.commands_named(b"do")[0], winner.writers[0])
        assert (await client.answer())[1] == frames.SERVED
        await until(lambda: sum(len(engine.commands_named(b"undo")) for engine in engines) >= 1)
        assert statistics(broker).cancels_sent == 1


@on_uvloop
async def test_an_answer_after_a_timeout_is_dropped_and_counted() -> None:
    engine = silent_engine()
    async with broker_with_engine_ports(await engine.start()) as broker:
        client = await broker.client()
        client.send_request(1, patience="300", route="stock-add", weight="1.0")
        assert (await client.answer())[:2] == (1, frames.FAILED)
        await until(lambda: not broker.node.dispatcher.requests)
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        await until(lambda: statistics(broker).late_answers == 1)
        client.send(frames.ASK_READY, 0, b"\0")
        assert (await client.frame())[0] == frames.READY  # without a second answer before it


@on_uvloop
async def test_remaining_pages_are_discarded_when_the_client_cancels() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], b"served", b"chunks=3", b"a\tb\tc\n"))

    engine = Engine(script)
    async with broker_with_engine_ports(await engine.start()) as broker:
        client = await broker.client()
        client.send_request(1, weight="1.0")
        await until(lambda: len(engine.commands_named(b"page")) == 2)
        client.send(frames.ABANDON, 1)
        await until(lambda: engine.commands_named(b"forget"))
        await until(
            lambda: not broker.node.dispatcher.requests and engine_connections(broker)[0].is_idle()
        )
