"""Requests of clients on real sockets, and their answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from query_broker.dispatch.deadline_controls import DEFAULT_ANSWER_MARGIN_NS
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..support.sockets import (
    MS,
    STATEMENT,
    TRACE,
    Client,
    Engine,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    until,
)
from .scripted_engines import broker_with_engines, engine_with_pages, silent_engine

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_a_result_in_pages_is_one_complete_answer_in_order() -> None:
    engine = engine_with_pages(b"1\ta\tb\n", b"2\ta\tb\n", b"3\ta\tb\n")
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask(stream=5)
        assert await client.answer() == (5, frames.SERVED, {}, b"1\ta\tb\n2\ta\tb\n3\ta\tb\n")
        await until(lambda: engine.commands_named(b"forget"))
        do = engine.commands_named(b"do")[0]
        fields = resp.read_pairs(do[2])
        assert (do[1], do[3]) == (TRACE.encode(), b"SELECT 1 FROM sales_17.orders")
        assert fields["cls"] == "glance"
        assert 3_000 < int(fields["limit"]) <= 4_000
        assert fields["reserve"] == "20"
        assert 0 <= int(fields["level"]) <= 3


@on_uvloop
async def test_a_lost_page_is_no_short_result_and_its_request_fails() -> None:
    engine = engine_with_pages(b"1\ta\tb\n", stated_pages=2)
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask(route="stock-add")
        assert (await client.answer())[1] == frames.FAILED
        assert len(engine.commands_named(b"do")) == 1


@asynccontextmanager
async def client_whose_next_request_is_served() -> AsyncIterator[Client]:
    """Connect a client whose requests must leave nothing, and its connection usable."""
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        yield client
        assert not engine.commands
        assert not rig.node.dispatcher.requests
        client.ask(stream=200)
        assert (await client.answer())[:2] == (200, frames.SERVED)


UNUSABLE_NUMBERS = {
    "negative": "-1",
    "not a number": "nan",
    "infinite": "inf",
    "too large": "1e99",
    "a letter": "x",
    "empty": "",
    "an underscore": "1_0",
    "a blank": " 1",
    "not an ASCII digit": "٣",
    "400 digits": "9" * 400,
}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        pytest.param("route", "upload", id="route: unknown"),
        pytest.param("route", None, id="route: missing"),
        pytest.param("customer", "x", id="customer: unknown"),
        pytest.param("customer", None, id="customer: missing"),
        pytest.param("redo", "2", id="redo: neither 0 nor 1"),
        pytest.param("trace", "9b", id="trace: short"),
        pytest.param("trace", None, id="trace: missing"),
        pytest.param("trace", "g" * 16, id="trace: not hexadecimal"),
        pytest.param("patience", "0", id="patience: 0"),
        pytest.param("patience", None, id="patience: missing"),
        *(
            pytest.param(name, value, id=f"{name}: {kind}")
            for name in ("patience", "weight", "ram")
            for kind, value in UNUSABLE_NUMBERS.items()
        ),
    ],
)
@on_uvloop
async def test_an_unusable_field_gets_one_failed_answer_and_the_connection_goes_on(
    name: str, value: str | None
) -> None:
    async with client_whose_next_request_is_served() as client:
        client.ask(1, STATEMENT, **{"trace": f"{1:016x}", name: value})
        assert (await client.answer())[:2] == (1, frames.FAILED)


@pytest.mark.parametrize(
    "statement",
    [b"", b" \n", b"SELECT \xff", b"SELECT \0"],
    ids=["empty", "blank", "no UTF-8", "a NUL"],
)
@on_uvloop
async def test_an_unusable_statement_gets_one_failed_answer_and_the_connection_goes_on(
    statement: bytes,
) -> None:
    async with client_whose_next_request_is_served() as client:
        client.ask(100, statement, trace=f"{100:016x}")
        assert (await client.answer())[:2] == (100, frames.FAILED)


@on_uvloop
async def test_many_unusable_requests_are_answered_each_on_one_connection() -> None:
    async with client_whose_next_request_is_served() as client:
        for stream in range(1, 45):
            client.ask(stream, trace=f"{stream:016x}", patience="x")
            assert (await client.answer())[:2] == (stream, frames.FAILED)


@on_uvloop
async def test_an_id_that_is_not_new_reaches_no_engine_with_another_statement() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        other = await rig.client()
        client.ask(stream=1, weight="900.0")
        await until(lambda: engine.commands_named(b"do"))
        for stream in (2, 3):  # the same frame again, as a client sends it that floods
            client.ask(stream=stream, weight="900.0")
            assert (await client.answer())[:2] == (stream, frames.FAILED)
        for stream, changes in enumerate(
            ({"body": b"SELECT 2 FROM sales_17.orders"}, {"route": "stock-add"}), 1
        ):
            other.ask(stream=stream, **changes)  # type: ignore[arg-type]
            assert (await other.answer())[:2] == (stream, frames.FAILED)
        assert len(engine.commands_named(b"do")) == 1
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert not rig.node.dispatcher.request_table.by_client_id


@on_uvloop
async def test_a_timeout_beyond_that_of_its_class_is_cut_to_it() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask(patience="3600000")
        await until(lambda: engine.commands_named(b"do"))
        [request] = rig.node.dispatcher.requests.values()
        assert request.deadline_ns < rig.node.clock.now() + 5_000 * MS


@on_uvloop
async def test_the_final_answer_comes_before_the_timeout() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        loop = asyncio.get_running_loop()
        sent = loop.time()
        client.ask(patience="300")
        await until(lambda: engine.commands_named(b"do"))
        request = next(iter(rig.node.dispatcher.requests.values()))
        assert request.deadline_ns <= rig.node.clock.now() + 300 * MS - DEFAULT_ANSWER_MARGIN_NS
        assert (await client.answer())[1] == frames.REFUSED
        assert loop.time() - sent > 0.25


@on_uvloop
async def test_with_no_engine_the_rejection_comes_at_once_and_carries_a_pause() -> None:
    async with running(make_config()) as rig:
        client = await rig.client()
        client.ask(route="stock-add", patience="20000")
        stream, code, fields, body = await client.answer()
        assert (stream, code, body) == (1, frames.REFUSED, b"")
        assert int(fields["pause"]) > 0


@on_uvloop
async def test_an_abandoned_request_is_not_answered_and_its_pages_are_not_fetched() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        other = await rig.client()
        client.ask(stream=1, weight="900.0")
        other.ask(stream=1, weight="900.0", trace="0" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        client.send(frames.ABANDON, 1)
        other.writer.close()
        requests = rig.node.dispatcher.requests
        await until(lambda: not any(request.client for request in requests.values()))
        for do in engine.commands_named(b"do"):
            engine.writer_of(do).write(resp.encode(do[1], b"served", b"chunks=3", b"1\ta\tb\n"))
        await until(lambda: len(engine.commands_named(b"forget")) == 2)
        assert not engine.commands_named(b"page")
        assert not engine.commands_named(b"undo")
        assert not rig.node.dispatcher.requests
        client.send(frames.ASK_READY, 0, b"\0")
        # the next frame: no answer went before it
        assert await client.frame() == (frames.READY, 0, b"\0\0")


@on_uvloop
async def test_a_request_beyond_32_open_ones_fails_alone() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine, **platform_settings(fleet_size=1)) as rig:
        client = await rig.client()
        for stream in range(1, 34):
            client.ask(stream=stream, trace=f"{stream:016x}", weight="1.0")
        assert (await client.answer())[:2] == (33, frames.FAILED)
        assert len(rig.node.dispatcher.requests) == 32


@on_uvloop
async def test_statements_in_memory_are_bounded_and_released() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        rig.node.dispatcher.statement_capacity_bytes = 100
        client = await rig.client()
        client.ask(1, b"x" * 90, weight="900.0")
        client.ask(2, b"x" * 20, trace="2" * 16)
        assert (await client.answer())[:2] == (2, frames.REFUSED)
        await until(lambda: engine.commands_named(b"do"))
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert rig.node.dispatcher.request_table.statement_bytes == 0


@on_uvloop
async def test_a_fault_in_the_decisions_costs_one_request_and_its_answer_is_failed() -> None:
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        facade = rig.node.dispatcher.facade
        pick = facade.pick
        facade.pick = None  # type: ignore[method-assign, assignment]
        client.ask(1)
        assert (await client.answer())[:2] == (1, frames.FAILED)
        facade.pick = pick  # type: ignore[method-assign]
        client.ask(2, trace="2" * 16)
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert not rig.node.dispatcher.requests
        assert not facade.controller.requests
