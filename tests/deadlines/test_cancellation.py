"""Cancels of what runs already, and answers that come too late for anyone."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..support.sockets import TRACE, Client, Engine, on_uvloop, platform_settings, until
from .deadline_brokers import broker_before, engine_connections, request_id, statistics

pytestmark = pytest.mark.real_time

POLICY_LIMITS = platform_settings()["policy_limits"]
CANCEL_LIMITS = {**POLICY_LIMITS, "cancel": True}
HEDGE_LIMITS = {**CANCEL_LIMITS, "second_copies": True}


def silent_engine() -> Engine:
    """An engine that takes every request and answers none by itself."""
    return Engine(lambda *_: None)


@on_uvloop
async def test_no_cancel_leaves_where_engines_do_not_honour_it() -> None:
    engine = silent_engine()
    async with broker_before(await engine.start()) as rig:
        client = await rig.client()
        for number in range(1, 6):
            client.ask(number, trace=request_id(number), patience="300", weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 5)
        client.send(frames.ABANDON, 1)
        for _ in range(4):
            await client.answer()
        await until(lambda: not rig.node.dispatcher.requests)
        assert not engine.commands_named(b"undo")
        assert statistics(rig).cancels_sent == 0


async def abandon(client: Client) -> None:
    """The client wants no answer any more."""
    client.send(frames.ABANDON, 1)


async def close(client: Client) -> None:
    """The client's connection ends."""
    client.writer.transport.abort()


async def wait_for_deadline(client: Client) -> None:
    """The request fails at its deadline."""
    assert (await client.answer())[1] == frames.FAILED


@pytest.mark.parametrize(
    ("end_request", "timeout_ms"),
    [
        pytest.param(abandon, "4000", id="left"),
        pytest.param(close, "4000", id="closed"),
        pytest.param(wait_for_deadline, "300", id="deadline"),
    ],
)
@on_uvloop
async def test_running_work_is_cancelled_when_no_client_waits_for_it(
    end_request: Callable[[Client], Awaitable[None]], timeout_ms: str
) -> None:
    engine = silent_engine()
    async with broker_before(await engine.start(), policy_limits=CANCEL_LIMITS) as rig:
        client = await rig.client()
        client.ask(1, patience=timeout_ms, route="stock-add", weight="1.0")
        await until(lambda: engine.commands_named(b"do"))
        await end_request(client)
        await until(lambda: engine.commands_named(b"undo"))
        assert {command[1] for command in engine.commands_named(b"undo")} == {TRACE.encode()}
        await until(lambda: statistics(rig).cancels_confirmed == 1)  # by silence
        assert statistics(rig).cancels_sent == 1
        assert len(engine.commands_named(b"undo")) <= 3
        assert engine_connections(rig)[0].is_idle()
        assert not rig.node.dispatcher.requests


@on_uvloop
async def test_an_answer_that_crosses_the_cancel_is_dropped_and_counted() -> None:
    engine = silent_engine()
    async with broker_before(await engine.start(), policy_limits=CANCEL_LIMITS) as rig:
        client = await rig.client()
        client.ask(1, weight="1.0")
        await until(lambda: engine.commands_named(b"do"))
        client.send(frames.ABANDON, 1)
        await until(lambda: engine.commands_named(b"undo"))
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        await until(lambda: statistics(rig).cancels_answered == 1)
        client.ask(2, trace=request_id(2), weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        engine.answer_served(engine.commands_named(b"do")[1], engine.writers[-1])
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert statistics(rig).cancels_confirmed == 0


@on_uvloop
async def test_the_hedged_request_that_lost_is_cancelled() -> None:
    engines = [silent_engine(), silent_engine()]
    ports = [await engine.start() for engine in engines]
    async with broker_before(*ports, policy_limits=HEDGE_LIMITS) as rig:
        client = await rig.client()
        client.ask(1, weight="20.0")
        await until(lambda: sum(len(engine.commands_named(b"do")) for engine in engines) == 2)
        winner = next(engine for engine in engines if engine.commands_named(b"do"))
        winner.answer_served(winner.commands_named(b"do")[0], winner.writers[0])
        assert (await client.answer())[1] == frames.SERVED
        await until(lambda: sum(len(engine.commands_named(b"undo")) for engine in engines) >= 1)
        assert statistics(rig).cancels_sent == 1


@on_uvloop
async def test_a_late_answer_that_crosses_a_time_out_is_dropped() -> None:
    engine = silent_engine()
    async with broker_before(await engine.start()) as rig:
        client = await rig.client()
        client.ask(1, patience="300", route="stock-add", weight="1.0")
        assert (await client.answer())[:2] == (1, frames.FAILED)
        await until(lambda: not rig.node.dispatcher.requests)
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        await until(lambda: statistics(rig).late_answers == 1)
        client.send(frames.ASK_READY, 0, b"\0")
        assert (await client.frame())[0] == frames.READY  # and no second answer before it


@on_uvloop
async def test_pages_are_discarded_as_soon_as_no_client_wants_them() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], b"served", b"chunks=3", b"a\tb\tc\n"))

    engine = Engine(script)
    async with broker_before(await engine.start()) as rig:
        client = await rig.client()
        client.ask(1, weight="1.0")
        await until(lambda: len(engine.commands_named(b"page")) == 2)
        client.send(frames.ABANDON, 1)
        await until(lambda: engine.commands_named(b"forget"))
        await until(
            lambda: not rig.node.dispatcher.requests and engine_connections(rig)[0].is_idle()
        )
