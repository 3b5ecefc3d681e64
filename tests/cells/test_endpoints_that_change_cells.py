"""Endpoints that change cells or are disabled, dropped cells, and cells of cold engines."""

from __future__ import annotations

import asyncio

import pytest

from query_broker.cells.model import Cell, CellMap
from query_broker.decisions.tracked_endpoint import TrackedEndpoint
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster
from query_broker.protocols import client_frames as frames

from ..support.sockets import (
    MS,
    Engine,
    RunningBroker,
    make_config,
    on_uvloop,
    until,
)
from .cell_brokers import (
    FAST_TIMING,
    TENANTS,
    answer_request,
    broker_of_cluster,
    broker_with_two_cells,
    cell_node,
    cell_router,
    dispatch_request,
    send_request,
    two_cells,
)

pytestmark = pytest.mark.real_time


def endpoint_in_cell(broker: RunningBroker, cell: str, number: int) -> TrackedEndpoint:
    """The cell's state of the endpoint."""
    return cell_router(broker).facades[cell].controller.endpoints[number]


def received_command_count(*engines: Engine) -> int:
    """The total number of requests that these engines have received."""
    return sum(len(engine.commands_named(b"do")) for engine in engines)


@on_uvloop
async def test_a_disabled_engine_stays_disabled_when_it_changes_cells() -> None:
    engine_of_a = Engine()
    engine_of_b = Engine()
    async with broker_with_two_cells(two_cells(), engine_of_a, engine_of_b) as broker:
        assert broker.node.dispatcher.set_endpoint_disabled("s-2", True)
        assert cell_router(broker).seats.fleet("b", broker.node.clock.now()).ready_count == 0
        cell_node(broker).apply_map(two_cells(2, engines_of_a=("s-1", "s-2"), engines_of_b=()))
        client = await broker.client()
        for stream in range(1, 11):
            send_request(client, stream, "acme")
            assert (await client.answer())[1] == frames.SERVED
        assert not engine_of_b.commands_named(b"do")
        assert broker.node.dispatcher.set_endpoint_disabled(
            "s-2", False
        )  # re-enabled, and warming up
        assert cell_router(broker).seats.fleet("a", broker.node.clock.now()).warming_count == 1
        cell_node(broker).apply_map(two_cells(3))
        facade = cell_router(broker).facades["b"]
        assert all(
            endpoint.warmup_ends_ns > broker.node.clock.now()
            for endpoint in facade.controller.endpoints.values()
        )


@on_uvloop
async def test_attempts_in_flight_end_in_their_cell_when_the_engine_changes_cells() -> None:
    engine_of_a = Engine(lambda *_: None)
    engine_of_b = Engine()
    disabled_engine = Engine()
    async with broker_with_two_cells(
        two_cells(engines_of_a=("s-1", "s-3")), engine_of_a, engine_of_b, disabled_engine
    ) as broker:
        broker.node.dispatcher.set_endpoint_disabled("s-3", True)
        client = await broker.client()
        await dispatch_request(client, "acme", engine_of_a, weight="500")
        cell_node(broker).apply_map(
            two_cells(2, engines_of_a=("s-3",), engines_of_b=("s-1", "s-2"))
        )
        number = broker.node.dispatcher.endpoint_table.number("s-1")
        assert cell_router(broker).seats.cell_of(number) == "b"
        assert number in cell_router(broker).outstanding_work.endpoints_with_former_work
        endpoint = endpoint_in_cell(broker, "b", number)
        # Work in flight counts in the endpoint's new cell.
        assert endpoint.peer_process_work.threads == 2
        assert endpoint.peer_process_work.backlog_ns > 0
        assert (
            cell_router(broker).outstanding(0)[number].threads == 2
        )  # and once for other processes
        answer_request(engine_of_a, engine_of_a.commands_named(b"do")[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert endpoint_in_cell(broker, "b", number).peer_process_work.threads == 0
        assert not cell_router(broker).outstanding_work.endpoints_with_former_work
        assert not cell_router(broker).requests
        # Requests of the former cell's tenant no longer reach the endpoint.
        send_request(client, 2, "acme")
        assert (await client.answer())[1] == frames.REFUSED
        assert len(engine_of_a.commands_named(b"do")) == 1


@on_uvloop
async def test_open_requests_of_a_dropped_cell_end_in_that_cell() -> None:
    engine_of_a = Engine()
    engine_of_b = Engine(lambda *_: None)
    async with broker_with_two_cells(two_cells(), engine_of_a, engine_of_b) as broker:
        client = await broker.client()
        await dispatch_request(client, "beta", engine_of_b)
        dropped = cell_router(broker).facades["b"]
        cell_node(broker).apply_map(
            CellMap(2, (Cell("a", engines=("s-1", "s-2")),), "a", {}, FAST_TIMING)
        )
        assert cell_router(broker).facades["b"] is dropped  # until its last request is over
        send_request(client, 2, "beta")
        await until(lambda: received_command_count(engine_of_a, engine_of_b) == 2)
        answer_request(engine_of_b, engine_of_b.commands_named(b"do")[0])
        while (await client.answer())[0] != 1:
            pass
        await until(lambda: "b" not in cell_router(broker).facades)
        assert dropped.dissolved
        assert "b" not in cell_node(broker).celled.request_ledger.accounts


@on_uvloop
async def test_a_cold_cell_rejects_with_retry_after_and_overloads_no_engine() -> None:
    cluster = EmulatedCluster()
    await cluster.start("a-1", "a-2", cores=2)
    await cluster.add("b-1", "b-2", "b-3", cores=2, cold=True)
    cell_map = two_cells(engines_of_a=("a-1", "a-2"), engines_of_b=("b-1", "b-2", "b-3"))
    expected = make_config(
        tenants=TENANTS, specifics={"size_cores": [2], "parallelism": [1, 2]}, listed=False
    )
    async with broker_of_cluster(cluster, cell_map, cores=2) as broker:
        assert expected.settings.kind_cores == broker.node.config.settings.kind_cores
        request_log = RequestLog("127.0.0.1", broker.port)
        for number in range(120):
            await request_log.send_request("beta", "glance", 100, 5_000 * MS)
            if number % 3 == 0:
                await request_log.send_request("acme", "glance", 5, 5_000 * MS)
            await asyncio.sleep(0.005)
        await request_log.wait_until_idle(10)
        assert all(
            record.code == frames.SERVED for record in request_log.requests_of_tenant("acme")
        )
        rejected = [
            record
            for record in request_log.requests_of_tenant("beta")
            if record.code == frames.REFUSED
        ]
        assert rejected
        assert all(record.retry_after_ms > 0 for record in rejected[5:])
        assert not any(engine.machine.crashed for engine in cluster.engines.values())
        assert all(record.answer_count == 1 for record in request_log.records)
        statements_in_b = {
            command[2]
            for uid in ("b-1", "b-2", "b-3")
            for command in cluster.engines[uid].received_queries
        }
        assert not any(b"work=5 " in statement for statement in statements_in_b)  # acme's
        request_log.close()
    cluster.stop()
