"""Migrations of a tenant with requests in flight, on real sockets."""

from __future__ import annotations

import asyncio
import json

import pytest

from query_broker.cells.migrations import Stage
from query_broker.cells.model import Cell, CellMap, Tenant
from query_broker.discovery.event_codec import parse_event
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster
from query_broker.emulator.data_engine import statements_run_twice
from query_broker.protocols import client_frames as frames

from ..server.admin_calls import admin_call
from ..support.sockets import (
    MS,
    Engine,
    on_uvloop,
    target_entry,
    topology_event,
    until,
)
from .cell_brokers import (
    FAST_TIMING,
    NS_PER_SECOND,
    answer_request,
    broker_of_cluster,
    broker_with_two_cells,
    cell_node,
    cell_router,
    dispatch_request,
    migration_stage,
    send_request,
    two_cells,
)

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_a_migration_moves_new_requests_and_leaves_open_ones_in_the_source() -> None:
    engine_of_a = Engine(lambda *_: None)
    engine_of_b = Engine()
    async with broker_with_two_cells(two_cells(), engine_of_a, engine_of_b) as broker:
        client = await broker.client()
        await dispatch_request(client, "acme", engine_of_a)
        status, _, body = await admin_call(broker, b"POST /cells/move/acme/b HTTP/1.1\r\n\r\n")
        assert status == 200
        assert json.loads(body)["stage"] == "proposed"
        assert (await admin_call(broker, b"POST /cells/move/acme/b HTTP/1.1\r\n\r\n"))[0] == 409
        await until(lambda: migration_stage(broker) is Stage.DRAINING)
        send_request(client, 2, "acme")
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert len(engine_of_b.commands_named(b"do")) == 1
        assert migration_stage(broker) is Stage.DRAINING
        # A second request with the same id joins the one in flight, in the cell of that one.
        other_client = await broker.client()
        send_request(other_client, 1, "acme", route="stock-add")
        await until(lambda: len(cell_router(broker).requests) == 2)
        assert all(facade.cell == "a" for facade, _ in cell_router(broker).requests.values())
        answer_request(engine_of_a, engine_of_a.commands_named(b"do")[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        other_client.send(frames.ABANDON, 1)
        for command in engine_of_a.commands_named(b"do")[1:]:
            answer_request(engine_of_a, command)
        await until(lambda: migration_stage(broker) is Stage.DONE)
        assert len(engine_of_b.commands_named(b"do")) == 1
        shown = json.loads((await admin_call(broker, b"GET /cells HTTP/1.1\r\n\r\n"))[2])
        assert {tenant["tenant"]: tenant["cell"] for tenant in shown["tenants"]} == {
            "acme": "b",
            "beta": "b",
        }


@on_uvloop
async def test_a_live_target_that_loses_its_last_engine_returns_the_tenant() -> None:
    engine_of_a = Engine(lambda *_: None)
    engine_of_b = Engine()
    async with broker_with_two_cells(two_cells(), engine_of_a, engine_of_b) as broker:
        client = await broker.client()
        await dispatch_request(client, "acme", engine_of_a)
        cell_node(broker).celled.migrations.propose("acme", "b", broker.node.clock.now())
        await until(lambda: migration_stage(broker) is Stage.DRAINING)
        port = broker.node.dispatcher.endpoint_table.by_uid["s-2"].target.port
        broker.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", port, "terminating")))
        )
        await until(lambda: migration_stage(broker) is Stage.ROLLED_BACK)
        send_request(client, 2, "acme")
        await until(lambda: len(engine_of_a.commands_named(b"do")) == 2)
        assert not engine_of_b.commands_named(b"do")
        for command in engine_of_a.commands_named(b"do"):
            answer_request(engine_of_a, command)
        assert {(await client.answer())[1] for _ in range(2)} == {frames.SERVED}


@on_uvloop
async def test_a_migration_during_a_rolling_deploy_loses_and_repeats_no_request() -> None:
    cluster = EmulatedCluster()
    await cluster.start("a-1", "a-2", "b-1", "b-2", cores=4)
    cell_map = CellMap(
        1,
        (
            Cell("a", engines=("a-1", "a-2"), min_endpoints=2),
            Cell("b", engines=("b-1", "b-2"), min_endpoints=2),
        ),
        "a",
        {"acme": Tenant("acme", ("a",)), "beta": Tenant("beta", ("b",))},
        FAST_TIMING,
    )
    async with broker_of_cluster(cluster, cell_map, cores=4) as broker:
        request_log = RequestLog("127.0.0.1", broker.port)

        async def send_load() -> None:
            for number in range(260):
                is_load = number % 8 == 0
                route = "stock-add" if is_load else "glance"
                threads = 2 if is_load else 1
                for tenant in ("acme", "beta"):
                    await request_log.send_request(tenant, route, 20, 4_000 * MS, threads=threads)
                await asyncio.sleep(0.01)

        load_task = asyncio.create_task(send_load())
        await asyncio.sleep(0.1)
        replacements = {"a-1": "n-1", "b-1": "n-2", "a-2": "n-3", "b-2": "n-4"}
        for old, new in replacements.items():
            await cluster.add(new, cores=4)
            cluster.drain(old)
            if old == "b-1":
                cell_node(broker).celled.migrations.propose("acme", "b", broker.node.clock.now())
            await asyncio.sleep(0.3)
            cluster.terminate(old)
        await load_task
        await request_log.wait_until_idle(10)
        assert all(record.answer_count == 1 for record in request_log.records)
        assert not request_log.unmatched_answers
        assert not statements_run_twice(list(cluster.engines.values()), b"stock-add")
        assert cluster.queries_after_drain(NS_PER_SECOND) == 0
        assert migration_stage(broker) in (Stage.DONE, Stage.DRAINING)
        # The new engines were placed in the cells of the engines that they replaced.
        placement = cell_router(broker).seats.placement
        assert placement.size("a") == placement.size("b") == 2
        request_log.close()
    cluster.stop()
