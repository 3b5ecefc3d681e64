"""Connections to engines: their number, the attempts that use them and when they are closed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from query_broker.discovery.event_codec import Address, parse_event
from query_broker.dispatch.dispatcher import Dispatcher
from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.endpoints import connection_choice
from query_broker.endpoints.connect import connect
from query_broker.endpoints.connection_pool import LATE_ANSWER_TIMEOUT_NS
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.engine_connection import EngineConnection
from query_broker.timer_wheel import Clock

from ..dispatch.recording_client import RecordingClient
from ..support.sockets import (
    MS,
    STATEMENT,
    TRACE,
    Engine,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
)
from .scripted_engines import broker_with_engines, first_pool, silent_engine

pytestmark = pytest.mark.real_time


@pytest.mark.parametrize(
    ("charges", "connections"), [({}, 3), ({"handshake": 0.08}, 1)], ids=["free", "charged"]
)
@on_uvloop
async def test_attempts_share_one_connection_if_handshakes_are_charged(
    charges: dict[str, float], connections: int
) -> None:
    """With one connection for each attempt, 40 brokers would fill the engines' connection tables,
    and each handshake would be charged.
    """
    engine = silent_engine()
    async with broker_with_engines(engine, charges=charges) as broker:
        client = await broker.client()
        for stream in (1, 2, 3):
            client.send_request(
                stream, route="stock-add", trace=f"{stream}" * 16, patience="20000", weight="1.0"
            )
            await until(lambda: len(engine.commands_named(b"do")) == stream)  # noqa: B023
        pool = first_pool(broker)
        assert len(pool.connections) == connections


@on_uvloop
async def test_a_connection_takes_no_more_streams_than_the_settings_allow() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        clients = [await broker.client(), await broker.client()]
        for number in range(60):
            clients[number % 2].send_request(
                stream=number // 2 + 1, trace=f"{number:016x}", weight="1.0"
            )
        await until(lambda: len(engine.commands_named(b"do")) == 60)
        in_flight = [
            len(connection.in_flight)
            for pool in broker.node.dispatcher.pools.by_number.values()
            for connection in pool.connections
        ]
        assert max(in_flight) <= 32
        assert sum(in_flight) == 60


@on_uvloop
async def test_two_attempts_with_the_same_id_use_different_connections() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        other_client = await broker.client()
        client.send_request(stream=1)
        await until(lambda: len(engine.commands_named(b"do")) == 1)
        # The same request again, as a client repeats it if its connection closed meanwhile.
        other_client.send_request(stream=2)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        assert len(engine.writers) == 2
        engine.writer_of(engine.commands_named(b"do")[1]).write(
            resp.encode(TRACE.encode(), b"served", b"chunks=1", b"2\ta\tb\n")
        )
        assert await other_client.answer() == (2, frames.SERVED, {}, b"2\ta\tb\n")


@on_uvloop
async def test_a_connection_carries_no_second_attempt_with_a_recent_request_id() -> None:
    engine = Engine()
    async with broker_with_engines(engine) as running_broker:
        client = await running_broker.client()
        broker = running_broker.node.dispatcher
        client.send_request()
        await client.answer()
        pool = first_pool(running_broker)
        [connection] = pool.connections
        for client_request_id, reused in ((b"9" * 16, True), (TRACE.encode(), False)):
            end_ns = broker.now() + 9_000 * MS
            request = ActiveRequest(
                "9", client_request_id, b"glance", STATEMENT, RecordingClient(), 1, end_ns
            )
            attempt = Attempt(
                request, 1, pool.number, broker.now(), request.deadline_ns, request.deadline_ns
            )
            pool.send(attempt, broker.now())
            await until(lambda: attempt.reported)  # noqa: B023
            assert (attempt.connection is connection) == reused


@on_uvloop
async def test_a_connection_that_is_silent_for_too_long_gets_no_further_attempts() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(stream=1)
        await until(lambda: engine.commands_named(b"do"))
        pool = first_pool(broker)
        now = broker.node.clock.now()
        assert pool._usable_connections(now) == pool.connections
        assert pool._usable_connections(now + 2 * connection_choice.ENDPOINT_SILENCE_LIMIT_NS) == []


@on_uvloop
async def test_idle_connections_are_closed_well_before_the_engine_closes_them() -> None:
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request()
        await client.answer()
        node = broker.node
        pool = first_pool(broker)
        pool.sweep(node.clock.now())
        assert [connection.closed for connection in pool.connections] == [False]
        pool.sweep(node.clock.now() + node.config.connection_idle_ns * 6 // 10)
        await until(lambda: not pool.connections)


@on_uvloop
async def test_a_connection_with_a_missing_answer_is_retired_and_then_closed() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as running_broker:
        client = await running_broker.client()
        broker = running_broker.node.dispatcher
        broker.pools.max_connections = 1  # so that both requests use one connection
        client.send_request(stream=1, patience="200", weight="100.0")
        assert (await client.answer())[1] == frames.REFUSED
        client.send_request(stream=2, patience="20000", route="stock-add", trace="2" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        pool = first_pool(running_broker)
        connection = pool.connections[0]
        pool.sweep(broker.now() + LATE_ANSWER_TIMEOUT_NS + 1_000 * MS)
        assert connection.retired
        assert not connection.closed
        second = engine.commands_named(b"do")[1]
        engine.answer_served(second, engine.writer_of(second))
        assert (await client.answer())[:2] == (2, frames.SERVED)
        pool.sweep(broker.now() + LATE_ANSWER_TIMEOUT_NS + 1_000 * MS)
        await until(lambda: connection.closed)


@on_uvloop
async def test_an_engine_that_reuses_the_address_of_another_is_a_new_endpoint() -> None:
    engine = Engine()
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as running_broker:
        broker = running_broker.node.dispatcher
        first = broker.endpoint_table.number("s-1")
        broker.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", port, boot_ms=1)))
        )
        assert broker.endpoint_table.number("s-2") != first == broker.endpoint_table.number("s-1")
        client = await running_broker.client()
        client.send_request(weight="1.0")
        assert (await client.answer())[1] == frames.SERVED
        assert list(broker.facade.controller.endpoints) == [broker.endpoint_table.number("s-2")]


@on_uvloop
async def test_attempts_share_connections_once_their_descriptors_are_used_up() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        pools = broker.node.dispatcher.pools
        pools.max_connections = 8
        for stream in range(1, 21):
            client.send_request(stream=stream, trace=f"{stream:016x}", weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 20)
        (pool,) = pools.by_number.values()
        assert len(engine.writers) == 6  # the remaining two are reserved for other engines
        assert pools.reserve_descriptor(pool)


@pytest.mark.parametrize(
    ("sockets", "max_connections"), [(64, 19), (128, 48), (256, 96), (1024, 384)]
)
def test_connections_to_engines_leave_descriptors_for_clients_and_a_reserve(
    sockets: int, max_connections: int
) -> None:
    config = replace(make_config(), sockets=sockets)
    broker = Dispatcher(config, Clock(), lambda kind, text: None)
    assert broker.pools.max_connections == max_connections
    assert max_connections + sockets // 3 + 24 <= sockets


@on_uvloop
async def test_a_connection_to_a_former_address_of_an_endpoint_gets_no_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the fix e317172: another endpoint may listen at the former address by now."""
    former_engine, current_engine = Engine(), Engine()
    current_port = await current_engine.start()
    async with broker_with_engines(former_engine) as broker:
        pool = first_pool(broker)

        async def connect_and_move(
            make_connection: Callable[[], EngineConnection], address: Address, timeout_ns: int
        ) -> EngineConnection:
            connection = await connect(make_connection, address, timeout_ns)
            pool.update_target(replace(pool.target, port=current_port))
            return connection

        monkeypatch.setattr("query_broker.endpoints.connection_pool.connect", connect_and_move)
        client = await broker.client()
        client.send_request(route="stock-add", patience="20000")
        assert (await client.answer())[1] in (frames.SERVED, frames.REFUSED)
        assert not former_engine.commands_named(b"do")
