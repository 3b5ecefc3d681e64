"""Requests that are only partly written to an engine when nobody waits for them any more.

An engine runs a request once it has arrived completely. An engine that hangs and goes on must not
begin work for a client that left meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import pytest

from query_broker.deadlines.handover_checks import StopReason
from query_broker.deadlines.retry_budget import RetryBudget, RetryBudgetSettings
from query_broker.dispatch.undelivered_attempts import DELIVERY_TIME_NS
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..support.sockets import Client, RunningBroker, on_uvloop, platform_settings, until
from .deadline_brokers import (
    LARGE_STATEMENT,
    broker_with_engine_ports,
    cancel_request,
    client_with_partly_written_request,
    close_connection,
    deadline_controls,
    engine_connections,
    request_id,
    statistics,
)
from .slow_engine import SlowEngine, slow_engine

pytestmark = pytest.mark.real_time

POLICY_LIMITS = platform_settings()["policy_limits"]
CANCEL_LIMITS = {**POLICY_LIMITS, "cancel": True}
NS_PER_S = 1_000_000_000
TEST_TIMEOUT_S = 10.0
LOAD_FIELDS: dict[str, Any] = {"patience": "5000", "route": "stock-add", "weight": "1.0"}
ROWS = b"a\tb\tc\n"
ID_1 = request_id(1).encode()
ID_2 = request_id(2).encode()
ID_3 = request_id(3).encode()


@pytest.mark.parametrize("end_request", [cancel_request, close_connection])
@pytest.mark.parametrize("limits", [POLICY_LIMITS, CANCEL_LIMITS], ids=["no undo", "undo"])
@on_uvloop
async def test_a_request_whose_client_left_while_it_was_written_never_begins(
    end_request: Callable[[Client], Awaitable[None]], limits: dict[str, Any]
) -> None:
    # Guards against a load that begins when a hung engine goes on, seconds after its cancellation.
    async with (
        slow_engine() as slow,
        broker_with_engine_ports(slow.port, policy_limits=limits) as broker,
    ):
        client = await client_with_partly_written_request(broker)
        await end_request(client)
        await until(lambda: not engine_connections(broker))
        await slow.read_rounds(50)
        assert not slow.commands
        (buffer,) = slow.buffers.values()
        assert 0 < len(buffer) < len(LARGE_STATEMENT)
        assert statistics(broker).partial_write_counts == {StopReason.CLIENT_LEFT: 1}
        assert not broker.node.dispatcher.requests


#: The broker's system takes all of it, while a part does not fit into the engine's buffer.
BUFFERED_STATEMENT = b"SELECT 1 FROM sales_17.orders /* " + b"x" * 15_000 + b" */"


async def wait_until_sent(broker: RunningBroker, number: int) -> None:
    """Wait until the broker's system has taken all of a request on the only connection."""
    await until(lambda: engine_connections(broker))
    (connection,) = engine_connections(broker)
    await until(lambda: request_id(number).encode() in connection.in_flight)
    await until(lambda: connection.in_flight[request_id(number).encode()].written_ns)


async def send_buffered_request(broker: RunningBroker, client: Client, number: int) -> None:
    """Send a request, and wait until the broker's system has taken all of it."""
    client.send_request(
        number,
        body=BUFFERED_STATEMENT,
        trace=request_id(number),
        patience="5000",
        route="stock-add",
        weight="1.0",
    )
    await wait_until_sent(broker, number)


async def send_lookup(broker: RunningBroker, client: Client, number: int) -> None:
    """Send a lookup, and wait until the broker's system has taken it."""
    client.send_request(number, trace=request_id(number), patience="30000", weight="1.0")
    await wait_until_sent(broker, number)


@pytest.mark.parametrize("end_request", [cancel_request, close_connection])
@pytest.mark.parametrize("limits", [POLICY_LIMITS, CANCEL_LIMITS], ids=["no undo", "undo"])
@on_uvloop
async def test_a_request_that_lies_in_the_send_buffer_never_begins_after_its_client_left(
    end_request: Callable[[Client], Awaitable[None]], limits: dict[str, Any]
) -> None:
    # Guards against a load that begins when a hung engine goes on, seconds after its cancellation.
    async with (
        slow_engine() as slow,
        broker_with_engine_ports(slow.port, policy_limits=limits) as broker,
    ):
        client = await broker.client()
        await send_buffered_request(broker, client, 1)
        await end_request(client)
        await until(lambda: not engine_connections(broker))
        await slow.read_rounds(50)
        assert not slow.commands
        assert not broker.node.dispatcher.requests


@pytest.mark.parametrize("wanted_first", [True, False])
@pytest.mark.parametrize("end_request", [cancel_request, close_connection])
@pytest.mark.parametrize("limits", [POLICY_LIMITS, CANCEL_LIMITS], ids=["no undo", "undo"])
@on_uvloop
async def test_a_request_in_the_send_buffer_never_begins_although_another_one_is_wanted(
    end_request: Callable[[Client], Awaitable[None]], limits: dict[str, Any], wanted_first: bool
) -> None:
    # Guards against cancelled lookups that begin at the end of a partition, where reports that
    # share their connection are wanted.
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        slow_engine() as slow,
        broker_with_engine_ports(slow.port, policy_limits=limits) as broker,
    ):
        broker.node.dispatcher.pools.max_connections = 1
        wanted_client = await broker.client()
        leaving_client = await broker.client()
        if wanted_first:
            await send_lookup(broker, wanted_client, 2)
        await send_buffered_request(broker, leaving_client, 1)
        if not wanted_first:
            await send_lookup(broker, wanted_client, 2)
        broker.node.dispatcher.pools.max_connections = 8
        (first_connection,) = engine_connections(broker)
        await end_request(leaving_client)
        await until(lambda: first_connection.closed)
        await slow.read_until(lambda: slow.request_ids().count(ID_2) == 1 + wanted_first)
        list(slow.buffers)[-1].send(resp.encode(ID_2, b"served", b"chunks=1", ROWS))
        assert (await wanted_client.answer())[:2] == (2, frames.SERVED)
        await slow.read_rounds(20)
        assert ID_1 not in slow.request_ids()
        assert not broker.node.dispatcher.requests


@on_uvloop
async def test_a_load_that_shares_the_connection_gets_its_final_answer() -> None:
    # Guards against a request that is forgotten with the connection of a cancelled one.
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        slow_engine() as slow,
        broker_with_engine_ports(slow.port) as broker,
    ):
        broker.node.dispatcher.pools.max_connections = 1
        client = await broker.client()
        other = await broker.client()
        other.send_request(2, trace=request_id(2), **LOAD_FIELDS)
        await slow.read_until(slow.requests)  # it runs
        await send_buffered_request(broker, client, 1)
        client.send(frames.ABANDON, 1)
        assert (await other.answer())[:2] == (2, frames.FAILED)
        await slow.read_rounds(20)
        assert slow.request_ids() == [ID_2]


@on_uvloop
async def test_undelivered_bytes_of_later_requests_do_not_end_a_connection() -> None:
    # Guards against the end of a sound connection, on which bytes are on their way at any time.
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        slow_engine() as slow,
        broker_with_engine_ports(slow.port) as broker,
    ):
        broker.node.dispatcher.pools.max_connections = 1
        client = await broker.client()
        leaving_client = await broker.client()
        leaving_client.send_request(2, trace=request_id(2), **LOAD_FIELDS)
        await slow.read_until(slow.requests)
        await send_buffered_request(broker, client, 1)
        leaving_client.send(frames.ABANDON, 2)
        await asyncio.sleep(3 * DELIVERY_TIME_NS / NS_PER_S)
        await slow.read_until(lambda: ID_1 in slow.request_ids())
        next(iter(slow.buffers)).send(resp.encode(ID_1, b"served", b"chunks=1", ROWS))
        assert (await client.answer())[:2] == (1, frames.SERVED)


@on_uvloop
async def test_an_attempt_that_has_timed_out_in_the_send_buffer_never_begins() -> None:
    # Guards against an attempt that begins beside the one that has replaced it.
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        slow_engine() as slow,
        broker_with_engine_ports(slow.port) as broker,
    ):
        settings = RetryBudgetSettings(first_attempt_fraction=0.1)
        deadline_controls(broker).retry_budget = RetryBudget(settings)
        client = await broker.client()
        fields = {"trace": request_id(1), "patience": "4000", "weight": "1.0"}
        client.send_request(1, body=BUFFERED_STATEMENT, **fields)
        await until(lambda: engine_connections(broker))
        (first_connection,) = engine_connections(broker)
        await until(lambda: first_connection.closed)
        await slow.read_until(lambda: ID_1 in slow.request_ids())
        list(slow.buffers)[-1].send(resp.encode(ID_1, b"served", b"chunks=1", ROWS))
        assert (await client.answer())[:2] == (1, frames.SERVED)
        await slow.read_rounds(20)
        assert slow.request_ids() == [ID_1]


@on_uvloop
async def test_a_connection_whose_requests_were_delivered_stays_open() -> None:
    async with slow_engine() as slow, broker_with_engine_ports(slow.port) as broker:
        client = await broker.client()
        client.send_request(1, trace=request_id(1), weight="1.0")
        await slow.read_until(slow.requests)
        client.send(frames.ABANDON, 1)
        await asyncio.sleep(3 * DELIVERY_TIME_NS / NS_PER_S)
        assert len(engine_connections(broker)) == 1


class SharedConnection(NamedTuple):
    """A connection that carries request 1, which the engine has, and a part of request 2."""

    slow: SlowEngine
    broker: RunningBroker
    client: Client

    def answer(self, connection_index: int, *parts: bytes) -> None:
        """Send an answer of the engine on one of its connections."""
        list(self.slow.buffers)[connection_index].send(resp.encode(*parts))

    async def cancel_second(self) -> None:
        """Cancel the partly written request; further connections may be opened from then on."""
        self.broker.node.dispatcher.pools.max_connections = 8
        self.client.send(frames.ABANDON, 2)
        await until(lambda: statistics(self.broker).partial_write_counts)


@asynccontextmanager
async def shared_connection(**changes: Any) -> AsyncIterator[SharedConnection]:
    """Run a broker and a slow engine, with one connection between them."""
    async with slow_engine() as slow, broker_with_engine_ports(slow.port, **changes) as broker:
        dispatcher = broker.node.dispatcher
        dispatcher.pools.max_connections = 1
        client = await broker.client()
        fields: dict[str, Any] = {"patience": "30000", "route": "stock-add", "weight": "1.0"}
        client.send_request(1, trace=request_id(1), **fields)
        await slow.read_until(slow.requests)
        client.send_request(2, body=LARGE_STATEMENT, trace=request_id(2), **fields)
        await until(lambda: dispatcher.connection_events.blocked_connections)
        yield SharedConnection(slow, broker, client)


@on_uvloop
async def test_other_requests_on_the_connection_are_answered_or_sent_elsewhere() -> None:
    async with shared_connection() as shared:
        shared.client.send_request(3, trace=request_id(3), weight="1.0")
        await until(lambda: engine_connections(shared.broker)[0].write_queue.by_key)
        await shared.cancel_second()
        await shared.slow.read_until(lambda: len(shared.slow.requests()) == 2)
        shared.answer(1, ID_3, b"served", b"chunks=1", ROWS)
        assert (await shared.client.answer())[:2] == (3, frames.SERVED)
        shared.answer(0, ID_1, b"served", b"chunks=1", ROWS)
        assert (await shared.client.answer())[:2] == (1, frames.SERVED)
        await until(lambda: len(engine_connections(shared.broker)) == 1)
        await shared.slow.read_rounds(20)
        assert shared.slow.request_ids() == [ID_1, ID_3]


@pytest.mark.parametrize("is_page_first", [True, False])
@on_uvloop
async def test_a_result_whose_pages_can_not_be_requested_is_an_error_at_once(
    is_page_first: bool,
) -> None:
    async with shared_connection() as shared:
        if not is_page_first:
            await shared.cancel_second()
        shared.answer(0, ID_1, b"served", b"chunks=3", ROWS)
        if is_page_first:
            (connection,) = engine_connections(shared.broker)
            await until(lambda: connection.in_flight[ID_1].missing_pages)
            await shared.cancel_second()
        assert (await shared.client.answer())[:2] == (1, frames.FAILED)
        await until(lambda: not engine_connections(shared.broker))
        await shared.slow.read_rounds(20)
        assert shared.slow.request_ids() == [ID_1]


@on_uvloop
async def test_the_connection_ends_where_a_cancellation_can_not_be_sent() -> None:
    async with shared_connection(policy_limits=CANCEL_LIMITS) as shared:
        await shared.cancel_second()
        assert len(engine_connections(shared.broker)) == 1
        shared.client.send(frames.ABANDON, 1)
        await until(lambda: not engine_connections(shared.broker))
        await until(lambda: not shared.broker.node.dispatcher.requests)
        await shared.slow.read_rounds(20)
        assert [parts[:2] for parts in shared.slow.commands] == [[b"do", ID_1]]
