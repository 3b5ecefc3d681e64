"""Isolation of cells: endpoints, capacity, unread answers and connections."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from typing import Any

import pytest

from query_broker.cells.borrowing import RESERVED_FRACTION
from query_broker.cells.client_connection import CellClientConnection
from query_broker.cells.client_seat import UNASSIGNED
from query_broker.emulator.data_engine import Script
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..server.admin_calls import admin_call
from ..support.sockets import (
    Engine,
    RunningBroker,
    on_uvloop,
    until,
    within,
)
from .cell_brokers import (
    NS_PER_SECOND,
    broker_with_two_cells,
    cell_node,
    cell_router,
    send_request,
    two_cells,
)

pytestmark = pytest.mark.real_time


def script_serving(body: bytes) -> Script:
    """An engine script that serves each request with this body in one chunk."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], b"served", b"chunks=1", body))

    return script


def client_connections(broker: RunningBroker) -> list[CellClientConnection]:
    """The broker's client connections."""
    return [client for client in broker.node.clients if isinstance(client, CellClientConnection)]


def shrink_socket_buffers(transport: asyncio.BaseTransport) -> None:
    """Make the socket buffers so small that unread answers stay in the broker."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)


@on_uvloop
async def test_requests_of_a_tenant_only_reach_engines_of_its_cell() -> None:
    engine_of_a = Engine()
    engine_of_b = Engine()
    async with broker_with_two_cells(two_cells(), engine_of_a, engine_of_b) as broker:
        client = await broker.client()
        for stream in range(1, 21):
            send_request(client, stream, "acme" if stream % 2 else "beta")
            assert (await client.answer())[1] == frames.SERVED
        received_by_a = engine_of_a.commands_named(b"do")
        received_by_b = engine_of_b.commands_named(b"do")
        assert len(received_by_a) == len(received_by_b) == 10
        assert all(command[1].startswith(b"acme".hex().encode()) for command in received_by_a)
        assert not cell_router(broker).requests
        assert not cell_router(broker).open_counts
        assert not cell_node(broker).celled.accounting.charges
        text = (await admin_call(broker, b"GET /metrics HTTP/1.1\r\n\r\n"))[2]
        assert 'larchhall_cell_replies_total{cell="a",type="glance",status="success"} 10' in text


@on_uvloop
async def test_open_requests_of_one_tenant_leave_the_other_its_quota() -> None:
    engine_of_a = Engine(lambda *_: None)
    engine_of_b = Engine()
    async with broker_with_two_cells(two_cells(), engine_of_a, engine_of_b) as running_broker:
        broker = cell_node(running_broker).celled
        broker.request_ledger.divide(16, broker.cell_weights())
        client = await running_broker.client()
        other_client = await running_broker.client()
        for stream in range(1, 31):
            send_request(other_client, stream, "acme")  # no engine answers: they stay in flight
        for _ in range(30 - 16 + int(RESERVED_FRACTION * 8)):
            stream, code, fields, _ = await other_client.answer()
            assert code == frames.REFUSED
            assert "pause" in fields
        assert broker.request_ledger.borrowed_amount("a") == 16 - int(RESERVED_FRACTION * 8) - 8
        # Cell b reclaims its quota: requests on borrowed capacity are closed, each with one answer.
        engine_of_b.script = lambda *_: None
        send_request(client, 31, "beta")
        send_request(client, 32, "beta")
        send_request(client, 33, "beta")
        await until(lambda: broker.request_ledger.borrowed_amount("a") == 0)
        assert broker.called_in_count == 6
        assert all(
            len(request.statement) or request.client is None for request in broker.requests.values()
        )
        for _ in range(6):
            assert (await other_client.answer())[1] == frames.REFUSED


@on_uvloop
async def test_borrowed_descriptors_are_returned_without_ending_non_idempotent_work() -> None:
    engine_of_a = Engine(lambda *_: None)
    engine_of_b = Engine()
    async with broker_with_two_cells(two_cells(), engine_of_a, engine_of_b) as running_broker:
        broker = cell_node(running_broker).celled
        pools = broker.cell_pools
        pools.max_connections = 8
        pools.ledger.divide(8, broker.cell_weights())
        client = await running_broker.client()
        other_client = await running_broker.client()
        for stream in range(1, 17):
            send_request(client, stream, "acme", route="stock-add" if stream % 2 else "glance")
        await until(lambda: len(engine_of_a.commands_named(b"do")) == 16)
        pools.count_use()
        assert pools.ledger.accounts["a"].in_use > 4
        assert pools.ledger.borrowed_amount("a")
        engine_of_b.script = lambda *_: None
        for stream in range(1, 13):
            send_request(other_client, stream, "beta")
        await until(lambda: len(engine_of_b.commands_named(b"do")) >= 12)

        def carries_non_idempotent_work(connection: Any) -> bool:
            attempts = connection.in_flight.values()
            return any(broker.accounting.is_firm(attempt.request) for attempt in attempts)

        def all_is_returned_or_must_stay() -> bool:
            pools.count_use()
            if not pools.ledger.amounts_to_call_in(running_broker.node.clock.now() + NS_PER_SECOND):
                return True
            connections_of_a = [
                connection
                for pool in pools.by_number.values()
                if pools.cell(pool) == "a"
                for connection in pool.connections
            ]
            return all(map(carries_non_idempotent_work, connections_of_a))

        await until(all_is_returned_or_must_stay)
        received = engine_of_a.commands_named(b"do")
        loads = [command for command in received if b"stock-add" in command[2]]
        assert len(loads) == len({command[1] for command in loads})  # none ran twice


@on_uvloop
async def test_a_misbehaving_tenant_does_not_affect_a_tenant_of_another_cell() -> None:
    """Broken frames, unread answers, and a hundred times its quota."""
    engine_of_a = Engine()
    engine_of_b = Engine(script_serving(b"a\tb\tc\n" * 900))
    async with broker_with_two_cells(two_cells(), engine_of_a, engine_of_b) as broker:
        modest_client = await broker.client()
        greedy_clients = [await broker.client() for _ in range(6)]
        for number, greedy_client in enumerate(greedy_clients[:4]):
            for stream in range(1, 33):
                send_request(greedy_client, stream + 100 * number, "beta")  # and never reads
        for greedy_client in greedy_clients[4:]:
            send_request(greedy_client, 1, "beta")
            greedy_client.writer.write(b"\xff" * 100)
        for stream in range(1, 41):
            send_request(modest_client, stream, "acme")
            assert (await modest_client.answer())[1] == frames.SERVED
        for greedy_client in greedy_clients[4:]:
            # the error, on stream 0
            assert b"is not within 5 to 262144" in await within(greedy_client.reader.read())
        assert len(engine_of_a.commands_named(b"do")) == 40
        assert all(
            connection.cell in (UNASSIGNED, "a", "b") for connection in client_connections(broker)
        )


@on_uvloop
async def test_slow_readers_of_the_cell_over_quota_are_dropped_first() -> None:
    script = script_serving(b"a\tb\tc\n" * 7_000)
    async with broker_with_two_cells(two_cells(), Engine(script), Engine(script)) as broker:
        greedy_client = await broker.client()
        slow_client = await broker.client()
        await until(lambda: len(broker.node.clients) == 2)
        shrink_socket_buffers(greedy_client.writer.transport)
        for connection in broker.node.clients:
            if connection.transport:
                shrink_socket_buffers(connection.transport)
        for stream in range(1, 33):
            send_request(greedy_client, stream, "beta")
            if stream < 3:
                send_request(slow_client, stream, "acme")
        await until(lambda: sum(cell_node(broker).celled.replies.values()) == 34)
        by_cell = {connection.cell: connection for connection in client_connections(broker)}
        unread = {cell: by_cell[cell].unread_bytes() for cell in ("a", "b")}
        cell_node(broker).celled.answers.divide(
            max(1, unread["b"] // 2), cell_node(broker).celled.cell_weights_with_unassigned()
        )
        assert unread["b"] > 0
        broker.node.admission.close_slow_readers(broker.node.clock.now())
        await until(lambda: by_cell["b"] not in broker.node.clients)
        assert by_cell["a"] in broker.node.clients
        for _ in range(2):
            assert (await slow_client.answer())[1] == frames.SERVED


@on_uvloop
async def test_connections_of_one_cell_do_not_use_up_the_quota_of_another() -> None:
    async with broker_with_two_cells(two_cells(), Engine(), Engine()) as running_broker:
        broker = cell_node(running_broker).celled
        broker.connections.divide(20, broker.cell_weights_with_unassigned())
        quota_of_b = broker.connections.accounts["b"].quota
        clients = []
        for stream in range(1, 19):
            client = await running_broker.client()
            send_request(client, stream, "beta")
            assert (await client.answer())[1] in (frames.SERVED, frames.REFUSED)
            clients.append(client)
        assert broker.connections.free() >= 0
        assert broker.connections.accounts["b"].in_use > quota_of_b - 1
        for stream in range(1, broker.connections.accounts["a"].quota + 1):
            client = await running_broker.client()
            send_request(client, stream, "acme")
            assert (await client.answer())[1] == frames.SERVED  # evicts an idle connection of b
            clients.append(client)
        used = {cell: account.in_use for cell, account in broker.connections.accounts.items()}
        open_by_cell = Counter(connection.cell for connection in client_connections(running_broker))
        counted = {cell: open_by_cell[cell] for cell in used}
        assert used == counted
        assert broker.connections.free() >= 0
