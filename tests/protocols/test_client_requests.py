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
async def test_a_result_in_pages_is_sent_as_one_answer_in_page_order() -> None:
    engine = engine_with_pages(b"1\ta\tb\n", b"2\ta\tb\n", b"3\ta\tb\n")
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(stream=5)
        assert await client.answer() == (5, frames.SERVED, {}, b"1\ta\tb\n2\ta\tb\n3\ta\tb\n")
        await until(lambda: engine.commands_named(b"forget"))
        command = engine.commands_named(b"do")[0]
        fields = resp.read_pairs(command[2])
        assert (command[1], command[3]) == (TRACE.encode(), b"SELECT 1 FROM sales_17.orders")
        assert fields["cls"] == "glance"
        assert 3_000 < int(fields["limit"]) <= 4_000
        assert fields["reserve"] == "20"
        assert 0 <= int(fields["level"]) <= 3


@on_uvloop
async def test_a_request_fails_if_the_engine_has_lost_a_page_of_its_result() -> None:
    engine = engine_with_pages(b"1\ta\tb\n", stated_pages=2)
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(route="stock-add")
        assert (await client.answer())[1] == frames.FAILED
        assert len(engine.commands_named(b"do")) == 1


@asynccontextmanager
async def client_for_invalid_requests() -> AsyncIterator[Client]:
    """Connect a client; afterwards check that no engine got a command, that no request is open and
    that a valid request on the same connection is served.
    """
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        yield client
        assert not engine.commands
        assert not broker.node.dispatcher.requests
        client.send_request(stream=200)
        assert (await client.answer())[:2] == (200, frames.SERVED)


INVALID_NUMBERS = {
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
            for kind, value in INVALID_NUMBERS.items()
        ),
    ],
)
@on_uvloop
async def test_a_request_with_an_invalid_field_fails_and_its_connection_is_kept(
    name: str, value: str | None
) -> None:
    async with client_for_invalid_requests() as client:
        client.send_request(1, STATEMENT, **{"trace": f"{1:016x}", name: value})
        assert (await client.answer())[:2] == (1, frames.FAILED)


@pytest.mark.parametrize(
    "statement",
    [b"", b" \n", b"SELECT \xff", b"SELECT \0"],
    ids=["empty", "blank", "no UTF-8", "a NUL"],
)
@on_uvloop
async def test_a_request_with_an_invalid_statement_fails_and_its_connection_is_kept(
    statement: bytes,
) -> None:
    async with client_for_invalid_requests() as client:
        client.send_request(100, statement, trace=f"{100:016x}")
        assert (await client.answer())[:2] == (100, frames.FAILED)


@on_uvloop
async def test_many_invalid_requests_on_one_connection_are_each_answered_as_failed() -> None:
    async with client_for_invalid_requests() as client:
        for stream in range(1, 45):
            client.send_request(stream, trace=f"{stream:016x}", patience="x")
            assert (await client.answer())[:2] == (stream, frames.FAILED)


@on_uvloop
async def test_a_request_with_an_id_in_use_fails_and_is_not_dispatched() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        other_client = await broker.client()
        client.send_request(stream=1, weight="900.0")
        await until(lambda: engine.commands_named(b"do"))
        for stream in (2, 3):  # repeated frames, as a flooding client sends them
            client.send_request(stream=stream, weight="900.0")
            assert (await client.answer())[:2] == (stream, frames.FAILED)
        for stream, changes in enumerate(
            ({"body": b"SELECT 2 FROM sales_17.orders"}, {"route": "stock-add"}), 1
        ):
            other_client.send_request(stream=stream, **changes)  # type: ignore[arg-type]
            assert (await other_client.answer())[:2] == (stream, frames.FAILED)
        assert len(engine.commands_named(b"do")) == 1
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert not broker.node.dispatcher.request_table.by_client_id


@on_uvloop
async def test_a_timeout_longer_than_that_of_the_request_class_is_reduced_to_it() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(patience="3600000")
        await until(lambda: engine.commands_named(b"do"))
        [request] = broker.node.dispatcher.requests.values()
        assert request.deadline_ns < broker.node.clock.now() + 5_000 * MS


@on_uvloop
async def test_the_final_answer_is_sent_before_the_timeout() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        client.send_request(patience="300")
        await until(lambda: engine.commands_named(b"do"))
        request = next(iter(broker.node.dispatcher.requests.values()))
        assert request.deadline_ns <= broker.node.clock.now() + 300 * MS - DEFAULT_ANSWER_MARGIN_NS
        assert (await client.answer())[1] == frames.REFUSED
        assert loop.time() - sent_s > 0.25


@on_uvloop
async def test_without_engines_a_request_is_rejected_with_a_retry_after_time() -> None:
    async with running(make_config()) as broker:
        client = await broker.client()
        client.send_request(route="stock-add", patience="20000")
        stream, code, fields, body = await client.answer()
        assert (stream, code, body) == (1, frames.REFUSED, b"")
        assert int(fields["pause"]) > 0


@on_uvloop
async def test_a_cancelled_request_is_not_answered_and_its_pages_are_not_fetched() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        other_client = await broker.client()
        client.send_request(stream=1, weight="900.0")
        other_client.send_request(stream=1, weight="900.0", trace="0" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        client.send(frames.ABANDON, 1)
        other_client.writer.close()
        requests = broker.node.dispatcher.requests
        await until(lambda: not any(request.client for request in requests.values()))
        for command in engine.commands_named(b"do"):
            engine.writer_of(command).write(
                resp.encode(command[1], b"served", b"chunks=3", b"1\ta\tb\n")
            )
        await until(lambda: len(engine.commands_named(b"forget")) == 2)
        assert not engine.commands_named(b"page")
        assert not engine.commands_named(b"undo")
        assert not broker.node.dispatcher.requests
        client.send(frames.ASK_READY, 0, b"\0")
        # The next frame on the connection: no answer was sent before it.
        assert await client.frame() == (frames.READY, 0, b"\0\0")


@on_uvloop
async def test_only_a_request_beyond_32_open_ones_fails() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine, **platform_settings(fleet_size=1)) as broker:
        client = await broker.client()
        for stream in range(1, 34):
            client.send_request(stream=stream, trace=f"{stream:016x}", weight="1.0")
        assert (await client.answer())[:2] == (33, frames.FAILED)
        assert len(broker.node.dispatcher.requests) == 32


@on_uvloop
async def test_the_memory_of_statements_is_bounded_and_released() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        broker.node.dispatcher.statement_capacity_bytes = 100
        client = await broker.client()
        client.send_request(1, b"x" * 90, weight="900.0")
        client.send_request(2, b"x" * 20, trace="2" * 16)
        assert (await client.answer())[:2] == (2, frames.REFUSED)
        await until(lambda: engine.commands_named(b"do"))
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert broker.node.dispatcher.request_table.statement_bytes == 0


@on_uvloop
async def test_an_exception_in_the_decisions_fails_only_the_current_request() -> None:
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        facade = broker.node.dispatcher.facade
        pick = facade.pick
        facade.pick = None  # type: ignore[method-assign, assignment]
        client.send_request(1)
        assert (await client.answer())[:2] == (1, frames.FAILED)
        facade.pick = pick  # type: ignore[method-assign]
        client.send_request(2, trace="2" * 16)
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert not broker.node.dispatcher.requests
        assert not facade.controller.requests
