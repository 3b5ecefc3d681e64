"""Incomplete frames of a broker with cells: who gives way when a cell's memory is full."""

from __future__ import annotations

import asyncio

import pytest

from query_broker.protocols import client_frames as frames

from ..protocols.scripted_engines import EngineForLargeStatements
from ..support.sockets import Client, on_uvloop, until
from .cell_brokers import broker_with_two_cells, cell_node, send_request, two_cells

pytestmark = pytest.mark.real_time

TEST_TIMEOUT_S = 10.0
CAPACITY_BYTES = 4 << 20
HALF_FRAME_BYTES = 250_000
LARGE_STATEMENT = b"SELECT 1 FROM sales_17.orders /* " + b"7" * 240_000 + b" */"


@pytest.mark.parametrize("has_cell", [False, True], ids=["unassigned", "in the cell"])
@on_uvloop
async def test_half_frames_of_other_clients_cost_no_complete_request_its_answer(
    has_cell: bool,
) -> None:
    # Guards against a sound client that is cut off because others fill the memory of its cell.
    engines = [EngineForLargeStatements(), EngineForLargeStatements()]
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        broker_with_two_cells(two_cells(), *engines) as broker,
    ):
        node = cell_node(broker)
        node.celled.frames.divide(CAPACITY_BYTES, node.celled.cell_weights_with_unassigned())
        clients: list[Client] = []
        for _ in range(20):
            client = await broker.client()
            clients.append(client)
            if has_cell:
                send_request(client, 1, "acme")
                assert (await client.answer())[:2] == (1, frames.SERVED)
            client.writer.write(frames.frame(frames.REQUEST, 2, bytes(262_000))[:HALF_FRAME_BYTES])
        await until(lambda: any(client.broken for client in node.clients))
        sound = await broker.client()
        for stream in range(1, 4):
            send_request(sound, stream, "acme", body=LARGE_STATEMENT)
            assert (await sound.answer())[:2] == (stream, frames.SERVED)
