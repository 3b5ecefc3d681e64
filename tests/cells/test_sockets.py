"""Cells on real sockets: what each cell keeps to itself, moves, and the hard cases of both."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from query_broker.cells.borrowing import RESERVED_FRACTION
from query_broker.cells.client_connection import CelledConnection
from query_broker.cells.client_seat import ANTEROOM
from query_broker.cells.migrations import Stage
from query_broker.cells.model import Cell, CellMap, Tenant, Timing
from query_broker.cells.node import CellNode
from query_broker.cells.router import Assignment, CellRouter
from query_broker.cli.main import main
from query_broker.config import Config
from query_broker.discovery.event_codec import parse_event
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster, broker_config, tenant_settings
from query_broker.emulator.data_engine import statements_run_twice
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.timer_wheel import TimerWheel

from ..server.test_admin_api import admin_call
from ..support.sockets import (
    MS,
    ROOT,
    Client,
    Engine,
    Rig,
    celled,
    connect,
    free_port,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
    within,
)

pytestmark = pytest.mark.real_time

S = 1_000 * MS
FAST = Timing(settle=0, watch=0, lost=50 * MS)
TWO = [{"name": "acme"}, {"name": "beta"}]


def two(
    epoch: int = 1,
    *,
    a: tuple[str, ...] = ("s-1",),
    b: tuple[str, ...] = ("s-2",),
    timing: Timing = FAST,
    **homes: str,
) -> CellMap:
    """Cells a and b with these engines; acme in a, beta in b."""
    homes = {"acme": "a", "beta": "b", **homes}
    return CellMap(
        epoch,
        (Cell("a", engines=a), Cell("b", engines=b)),
        "a",
        {t: Tenant(t, (c,)) for t, c in homes.items()},
        timing,
    )


def node(rig: Rig) -> CellNode:
    assert isinstance(rig.node, CellNode)
    return rig.node


def router(rig: Rig) -> CellRouter:
    return node(rig).celled.router


def stage(rig: Rig, subject: str = "acme") -> Stage | None:
    move = node(rig).celled.migrations.records.get(subject)
    return None if move is None else move.stage


def ask(client: Client, stream: int, customer: str, **more: Any) -> None:
    client.ask(
        stream=stream,
        trace=f"{customer.encode().hex()[:8]}{stream:08x}",
        customer=customer,
        **{"weight": "1.0", **more},
    )


@asynccontextmanager
async def pair(map: CellMap, *engines: Engine, **more: Any) -> AsyncIterator[Rig]:
    """A broker with cells before engines s-1, s-2, ..."""
    targets = [target_entry(f"s-{i}", await e.start()) for i, e in enumerate(engines, 1)]
    made = make_config(*targets, tenants=TWO, operator=True, **more)
    async with running(made, make=celled(map)) as rig:
        yield rig


@on_uvloop
async def test_each_tenant_meets_the_engines_of_its_own_cell_alone() -> None:
    one, two_ = Engine(), Engine()
    async with pair(two(), one, two_) as rig:
        client = await rig.client()
        for stream in range(1, 21):
            ask(client, stream, "acme" if stream % 2 else "beta")
            assert (await client.answer())[1] == frames.SERVED
        assert len(one.commands_named(b"do")) == len(two_.commands_named(b"do")) == 10
        assert all(d[1].startswith(b"acme".hex().encode()) for d in one.commands_named(b"do"))
        assert not router(rig).requests
        assert not router(rig).open
        assert not node(rig).celled.accounting.charges
        text = (await admin_call(rig, b"GET /metrics HTTP/1.1\r\n\r\n"))[2]
        assert 'larchhall_cell_replies_total{cell="a",type="glance",status="success"} 10' in text


@on_uvloop
async def test_a_move_takes_new_requests_over_and_leaves_open_ones_where_they_are() -> None:
    one, two_ = Engine(lambda *_: None), Engine()
    async with pair(two(), one, two_) as rig:
        client = await rig.client()
        ask(client, 1, "acme", route="stock-add")
        await until(lambda: one.commands_named(b"do"))
        status, _, body = await admin_call(rig, b"POST /cells/move/acme/b HTTP/1.1\r\n\r\n")
        assert status == 200
        assert json.loads(body)["stage"] == "proposed"
        assert (await admin_call(rig, b"POST /cells/move/acme/b HTTP/1.1\r\n\r\n"))[0] == 409
        await until(lambda: stage(rig) is Stage.DRAINING)
        ask(client, 2, "acme")
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert len(two_.commands_named(b"do")) == 1
        assert stage(rig) is Stage.DRAINING
        # The one under way comes again under its id: it joins the first, in the first's cell.
        other = await rig.client()
        ask(other, 1, "acme", route="stock-add")
        await until(lambda: len(router(rig).requests) == 2)
        assert all(facade.cell == "a" for facade, _ in router(rig).requests.values())
        one.answer_served(one.commands_named(b"do")[0], one.writer_of(one.commands_named(b"do")[0]))
        assert (await client.answer())[:2] == (1, frames.SERVED)
        other.send(frames.ABANDON, 1)
        for do in one.commands_named(b"do")[1:]:
            one.answer_served(do, one.writer_of(do))
        await until(lambda: stage(rig) is Stage.DONE)
        assert len(two_.commands_named(b"do")) == 1
        shown = json.loads((await admin_call(rig, b"GET /cells HTTP/1.1\r\n\r\n"))[2])
        assert {t["tenant"]: t["cell"] for t in shown["tenants"]} == {"acme": "b", "beta": "b"}


@on_uvloop
async def test_the_command_line_shows_moves_and_takes_back() -> None:
    async with pair(two(), Engine(), Engine()) as rig:
        address = ["--address", f"127.0.0.1:{rig.operator_port}"]

        async def cells(*args: str) -> str:
            done = await asyncio.to_thread(
                CliRunner().invoke, main, ["cells", args[0], *address, *args[1:]]
            )
            return f"{done.exit_code} {done.output}"

        shown = await cells("show")
        assert "a *" in shown
        assert "s-2" in shown
        assert "acme" in shown
        assert json.loads((await cells("show", "--json"))[2:])["epoch"] == 1
        rig.node.dispatcher.set_endpoint_disabled("s-2", True)  # so that it stays where it is
        assert await cells("move", "acme", "b") == "0 acme from a to b: proposed\n"
        assert "is on the move to 'b'" in await cells("move", "acme", "b")
        assert "proposed" in await cells("show")
        assert await cells("abort", "acme") == "0 acme from a to b: taken back (by the operators)\n"
        assert (await cells("abort", "acme")).startswith("1 larchhall: ")
        planned = await cells("plan", "--json")
        assert planned.startswith("0 ")
        assert json.loads(planned[2:])["moves"] == []


@on_uvloop
async def test_calls_on_cells_that_cannot_be_are_told_in_one_line() -> None:
    async with pair(two(), Engine(), Engine()) as rig:
        for raw, status in (
            (b"POST /cells", 405),
            (b"GET /cells/move/acme/b", 405),
            (b"POST /cells/x", 404),
            (b"POST /cells/move/acme/c", 409),
            (b"POST /cells/move/acme/a", 409),
            (b"POST /cells/abort/acme", 409),
            (b"POST /cells/move/%ff/b", 400),
            (b"POST /cells/move//b", 409),
        ):
            got, head, body = await admin_call(rig, raw + b" HTTP/1.1\r\n\r\n")
            assert got == status, raw
            assert "error" in json.loads(body), raw
            assert body.count("\n") == 1, raw
            assert ("allow" in head) == (status == 405)
        assert not node(rig).celled.migrations.records
    async with running(make_config(operator=True)) as plain:
        assert (await admin_call(plain, b"GET /cells HTTP/1.1\r\n\r\n"))[0] == 404


@on_uvloop
async def test_a_target_that_loses_its_last_engine_in_mid_move_gives_the_tenant_back() -> None:
    one, two_ = Engine(lambda *_: None), Engine()
    async with pair(two(), one, two_) as rig:
        client = await rig.client()
        ask(client, 1, "acme", route="stock-add")
        await until(lambda: one.commands_named(b"do"))
        node(rig).celled.migrations.propose("acme", "b", rig.node.clock.now())
        await until(lambda: stage(rig) is Stage.DRAINING)
        port = rig.node.dispatcher.endpoint_table.by_uid["s-2"].target.port
        rig.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", port, "terminating")))
        )
        await until(lambda: stage(rig) is Stage.TAKEN_BACK)
        ask(client, 2, "acme")
        await until(lambda: len(one.commands_named(b"do")) == 2)
        assert not two_.commands_named(b"do")
        for do in one.commands_named(b"do"):
            one.answer_served(do, one.writer_of(do))
        assert {(await client.answer())[1] for _ in range(2)} == {frames.SERVED}


@on_uvloop
async def test_a_banned_engine_is_banned_in_whatever_cell_it_comes_to() -> None:
    one, two_ = Engine(), Engine()
    async with pair(two(), one, two_) as rig:
        assert rig.node.dispatcher.set_endpoint_disabled("s-2", True)
        assert router(rig).seats.fleet("b", rig.node.clock.now()).ready == 0
        node(rig).apply_map(two(2, a=("s-1", "s-2"), b=()))
        client = await rig.client()
        for stream in range(1, 11):
            ask(client, stream, "acme")
            assert (await client.answer())[1] == frames.SERVED
        assert not two_.commands_named(b"do")
        assert rig.node.dispatcher.set_endpoint_disabled("s-2", False)  # back, and cold
        assert router(rig).seats.fleet("a", rig.node.clock.now()).cold == 1
        node(rig).apply_map(two(3))
        facade = router(rig).facades["b"]
        assert all(
            e.warmup_ends_ns > rig.node.clock.now() for e in facade.controller.endpoints.values()
        )


@on_uvloop
async def test_an_engine_that_changes_cells_with_attempts_out_ends_them_where_they_began() -> None:
    one, two_, three = Engine(lambda *_: None), Engine(), Engine()
    async with pair(two(a=("s-1", "s-3")), one, two_, three) as rig:
        rig.node.dispatcher.set_endpoint_disabled("s-3", True)
        client = await rig.client()
        ask(client, 1, "acme", route="stock-add", weight="500")
        await until(lambda: one.commands_named(b"do"))
        node(rig).apply_map(two(2, a=("s-3",), b=("s-1", "s-2")))
        number = rig.node.dispatcher.endpoint_table.number("s-1")
        assert router(rig).seats.cell_of(number) == "b"
        assert number in router(rig).outstanding_work.left_over
        beside = router(rig).facades["b"].controller.endpoints[number].co_process_work
        # what is out there counts in its new cell
        assert beside.threads == 2
        assert beside.backlog_ns > 0
        assert router(rig).outstanding(0)[number].threads == 2  # and once for other processes
        one.answer_served(one.commands_named(b"do")[0], one.writer_of(one.commands_named(b"do")[0]))
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert router(rig).facades["b"].controller.endpoints[number].co_process_work.threads == 0
        assert not router(rig).outstanding_work.left_over
        assert not router(rig).requests
        # Its old cell's tenant does not meet it any more.
        ask(client, 2, "acme")
        assert (await client.answer())[1] == frames.REFUSED
        assert len(one.commands_named(b"do")) == 1


def test_what_one_cell_sent_a_cold_engine_counts_in_the_next_cell() -> None:
    """Danger: each cell with a cold budget of its own for the same engine pushes it over."""
    made = make_config(tenants=TWO)
    now = 1_000 * S
    moved = CellRouter(made.settings, 1, now, TimerWheel(5 * MS, now), two(), lambda n: f"s-{n}")
    from query_broker.decisions.facade import (
        EndpointEntry,
        EndpointListUpdate,
        EndpointState,
        ListUpdateKind,
        Reject,
        RequestArrived,
    )

    cold = EndpointEntry(1, EndpointState.READY, "east", "std", 0, 8.0, now - MS)
    moved.report(now, EndpointListUpdate(ListUpdateKind.FULL, (cold,)))
    sent = 0
    for i in range(200):
        moved.assigned = Assignment("acme", "a")
        sent += len(
            moved.pick(
                now, RequestArrived(f"{i}", "glance", 5 * S, "acme", None, 200 * MS, 1.0, -1, False)
            ).dispatches
        )
    assert sent == 14  # 0.36 x 8 cores x 1.5 s x 2, with a margin of 3
    moved.apply_map(two(2, a=(), b=("s-1",)), now + 10 * MS)
    for i in range(200, 400):
        moved.assigned = Assignment("beta", "b")
        orders = moved.pick(
            now + 10 * MS,
            RequestArrived(f"{i}", "glance", 5 * S, "beta", None, 200 * MS, 1.0, -1, False),
        )
        assert not orders.dispatches
        assert isinstance(orders.answers[0], Reject)
    moved.fade(now + 3 * S)  # the window has passed
    moved.assigned = Assignment("beta", "b")
    assert moved.pick(
        now + 3 * S, RequestArrived("z", "glance", 5 * S, "beta", None, 100 * MS, 1.0, -1, False)
    ).dispatches


@on_uvloop
async def test_a_map_that_drops_a_cell_ends_its_open_requests_in_it() -> None:
    one, two_ = Engine(), Engine(lambda *_: None)
    async with pair(two(), one, two_) as rig:
        client = await rig.client()
        ask(client, 1, "beta", route="stock-add")
        await until(lambda: two_.commands_named(b"do"))
        dropped = router(rig).facades["b"]
        node(rig).apply_map(CellMap(2, (Cell("a", engines=("s-1", "s-2")),), "a", {}, FAST))
        assert router(rig).facades["b"] is dropped  # until its last request is over
        ask(client, 2, "beta")
        await until(lambda: len(one.commands_named(b"do")) + len(two_.commands_named(b"do")) == 2)
        two_.answer_served(
            two_.commands_named(b"do")[0], two_.writer_of(two_.commands_named(b"do")[0])
        )
        while (await client.answer())[0] != 1:
            pass
        await until(lambda: "b" not in router(rig).facades)
        assert dropped.dissolved
        assert "b" not in node(rig).celled.request_ledger.accounts


@on_uvloop
async def test_one_tenants_open_requests_leave_the_others_their_part() -> None:
    one, two_ = Engine(lambda *_: None), Engine()
    async with pair(two(), one, two_) as rig:
        broker = node(rig).celled
        broker.request_ledger.divide(16, broker.cell_weights())
        client, other = await rig.client(), await rig.client()
        for stream in range(1, 31):
            ask(other, stream, "acme")  # nobody answers: they stay
        for _ in range(30 - 16 + int(RESERVED_FRACTION * 8)):
            stream, code, fields, _ = await other.answer()
            assert code == frames.REFUSED
            assert "pause" in fields
        assert broker.request_ledger.borrowed("a") == 16 - int(RESERVED_FRACTION * 8) - 8
        # The owner asks: what is lent comes back, each of them with one answer.
        two_.script = lambda *_: None
        ask(client, 31, "beta")
        ask(client, 32, "beta")
        ask(client, 33, "beta")
        await until(lambda: broker.request_ledger.borrowed("a") == 0)
        assert broker.called_in == 6
        assert all(len(r.statement) or r.client is None for r in broker.requests.values())
        for _ in range(6):
            assert (await other.answer())[1] == frames.REFUSED


@on_uvloop
async def test_descriptors_on_loan_come_back_and_unsafe_work_is_not_cut_short() -> None:
    one, two_ = Engine(lambda *_: None), Engine()
    async with pair(two(), one, two_) as rig:
        broker = node(rig).celled
        pools: Any = broker.pools
        pools.most = 8
        pools.ledger.divide(8, broker.cell_weights())
        client, other = await rig.client(), await rig.client()
        for stream in range(1, 17):
            ask(client, stream, "acme", route="stock-add" if stream % 2 else "glance")
        await until(lambda: len(one.commands_named(b"do")) == 16)
        pools.count_use()
        assert pools.ledger.accounts["a"].used > 4
        assert pools.ledger.borrowed("a")
        two_.script = lambda *_: None
        for stream in range(1, 13):
            ask(other, stream, "beta")
        await until(lambda: len(two_.commands_named(b"do")) >= 12)
        await until(
            lambda: pools.count_use()
            or not pools.ledger.due(rig.node.clock.now() + S)
            or all(
                any(broker.accounting.is_firm(a.request) for a in c.in_flight.values())
                for p in pools.by_number.values()
                if pools.cell(p) == "a"
                for c in p.connections
            )
        )
        loads = [d for d in one.commands_named(b"do") if b"stock-add" in d[2]]
        assert len(loads) == len({d[1] for d in loads})  # none ran twice


@on_uvloop
async def test_a_tenant_that_misbehaves_in_every_way_costs_its_neighbour_nothing() -> None:
    """Broken frames, unread answers, and a hundred times its share."""
    big = b"a\tb\tc\n" * 900
    one = Engine()
    two_ = Engine(
        lambda e, parts, writer: writer.write(
            resp.encode(parts[1], b"served", b"chunks=1", big) if parts[0] == b"do" else b""
        )
    )
    async with pair(two(), one, two_) as rig:
        good, hogs = await rig.client(), [await rig.client() for _ in range(6)]
        for i, hog in enumerate(hogs[:4]):
            for stream in range(1, 33):
                ask(hog, stream + 100 * i, "beta")  # and never reads
        for hog in hogs[4:]:
            ask(hog, 1, "beta")
            hog.writer.write(b"\xff" * 100)
        for stream in range(1, 41):
            ask(good, stream, "acme")
            assert (await good.answer())[1] == frames.SERVED
        for hog in hogs[4:]:
            # the error, on stream 0
            assert b"is not within 5 to 262144" in await within(hog.reader.read())
        assert len(one.commands_named(b"do")) == 40
        assert all(
            c.cell in (ANTEROOM, "a", "b")
            for c in rig.node.clients
            if isinstance(c, CelledConnection)
        )


@on_uvloop
async def test_unread_answers_of_one_cell_are_given_up_before_a_neighbour_s() -> None:
    big = b"a\tb\tc\n" * 7_000
    script: Any = lambda e, parts, writer: writer.write(  # noqa: E731
        resp.encode(parts[1], b"served", b"chunks=1", big) if parts[0] == b"do" else b""
    )
    async with pair(two(), Engine(script), Engine(script)) as rig:
        hog, slow = await rig.client(), await rig.client()
        await until(lambda: len(rig.node.clients) == 2)
        for end in (hog.writer.transport, *(c.transport for c in rig.node.clients if c.transport)):
            held = end.get_extra_info("socket")
            held.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
            held.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        for stream in range(1, 33):
            ask(hog, stream, "beta")
            ask(slow, stream, "acme") if stream < 3 else None
        await until(lambda: sum(node(rig).celled.replies.values()) == 34)
        by_cell = {c.cell: c for c in rig.node.clients if isinstance(c, CelledConnection)}
        unread = {cell: by_cell[cell].unread_bytes() for cell in ("a", "b")}
        node(rig).celled.answers.divide(
            max(1, unread["b"] // 2), node(rig).celled.cell_weights_with_anteroom()
        )
        assert unread["b"] > 0
        rig.node.admission.close_slow_readers(rig.node.clock.now())
        await until(lambda: by_cell["b"] not in rig.node.clients)
        assert by_cell["a"] in rig.node.clients
        for _ in range(2):
            assert (await slow.answer())[1] == frames.SERVED


@on_uvloop
async def test_connections_of_one_cell_do_not_take_the_places_of_another() -> None:
    async with pair(
        two(),
        Engine(),
        Engine(),
    ) as rig:
        broker = node(rig).celled
        broker.connections.divide(20, broker.cell_weights_with_anteroom())
        part = broker.connections.accounts["b"].part
        held = []
        for stream in range(1, 19):
            client = await rig.client()
            ask(client, stream, "beta")
            assert (await client.answer())[1] in (frames.SERVED, frames.REFUSED)
            held.append(client)
        assert broker.connections.free() >= 0
        assert broker.connections.accounts["b"].used > part - 1
        for stream in range(1, broker.connections.accounts["a"].part + 1):
            client = await rig.client()
            ask(client, stream, "acme")
            assert (await client.answer())[1] == frames.SERVED  # an idle one of b's makes room
            held.append(client)
        used = {n: a.used for n, a in broker.connections.accounts.items()}
        counted = {
            n: sum(isinstance(c, CelledConnection) and c.cell == n for c in rig.node.clients)
            for n in used
        }
        assert used == counted
        assert broker.connections.free() >= 0


@on_uvloop
async def test_a_cell_that_starts_cold_refuses_with_a_pause_and_drowns_nobody() -> None:
    world = EmulatedCluster()
    await world.start("a-1", "a-2", cores=2)
    await world.add("b-1", "b-2", "b-3", cores=2, cold=True)
    map = two(a=("a-1", "a-2"), b=("b-1", "b-2", "b-3"))
    told = make_config(
        tenants=TWO, specifics={"size_cores": [2], "parallelism": [1, 2]}, listed=False
    )
    from query_broker.config import parse

    raw = broker_config(
        world,
        "127.0.0.1:1",
        tenants=tenant_settings("acme", "beta"),
        specifics={"size_cores": [2], "parallelism": [1, 2]},
    )
    async with running(parse(json.loads(json.dumps(raw)), {}), make=celled(map)) as rig:
        assert told.settings.kind_cores == rig.node.config.settings.kind_cores
        book = RequestLog("127.0.0.1", rig.port)
        for i in range(120):
            await book.send_request("beta", "glance", 100, 5_000 * MS)
            if i % 3 == 0:
                await book.send_request("acme", "glance", 5, 5_000 * MS)
            await asyncio.sleep(0.005)
        await book.wait_until_idle(10)
        assert all(a.code == frames.SERVED for a in book.of_tenant("acme"))
        refused = [a for a in book.of_tenant("beta") if a.code == frames.REFUSED]
        assert refused
        assert all(a.retry_after_ms > 0 for a in refused[5:])
        assert not any(e.machine.crashed for e in world.engines.values())
        assert all(a.answer_count == 1 for a in book.records)
        acme = {d[2] for uid in ("b-1", "b-2", "b-3") for d in world.engines[uid].received}
        assert not any(b"work=5 " in statement for statement in acme)
        book.close()
    world.stop()


@on_uvloop
async def test_a_move_during_a_rolling_deploy_breaks_no_rule() -> None:
    world = EmulatedCluster()
    await world.start("a-1", "a-2", "b-1", "b-2", cores=4)
    map = CellMap(
        1,
        (Cell("a", engines=("a-1", "a-2"), least=2), Cell("b", engines=("b-1", "b-2"), least=2)),
        "a",
        {"acme": Tenant("acme", ("a",)), "beta": Tenant("beta", ("b",))},
        FAST,
    )
    from query_broker.config import parse

    raw = broker_config(
        world,
        "127.0.0.1:1",
        tenants=tenant_settings("acme", "beta"),
        specifics={"size_cores": [4], "parallelism": [1, 2]},
    )
    async with running(parse(json.loads(json.dumps(raw)), {}), make=celled(map)) as rig:
        book = RequestLog("127.0.0.1", rig.port)

        async def load() -> None:
            for i in range(260):
                for name in ("acme", "beta"):
                    route = "stock-add" if i % 8 == 0 else "glance"
                    await book.send_request(
                        name, route, 20, 4_000 * MS, threads=2 if i % 8 == 0 else 1
                    )
                await asyncio.sleep(0.01)

        playing = asyncio.create_task(load())
        await asyncio.sleep(0.1)
        for step, (old, new) in enumerate(
            (("a-1", "n-1"), ("b-1", "n-2"), ("a-2", "n-3"), ("b-2", "n-4"))
        ):
            await world.add(new, cores=4)
            world.drain(old)
            if step == 1:
                node(rig).celled.migrations.propose("acme", "b", rig.node.clock.now())
            await asyncio.sleep(0.3)
            world.terminate(old)
        await playing
        await book.wait_until_idle(10)
        assert all(a.answer_count == 1 for a in book.records)
        assert not book.unmatched_answers
        assert not statements_run_twice(list(world.engines.values()), b"stock-add")
        assert world.queries_after_drain(S) == 0
        assert stage(rig) in (Stage.DONE, Stage.DRAINING)
        # Successors took the seats of those that they replaced.
        assert router(rig).seats.placement.size("a") == router(rig).seats.placement.size("b") == 2
        book.close()
    world.stop()


# --- other processes ---


@asynccontextmanager
async def beside(
    config: Config, held: socket.socket, folder: Path, map: CellMap
) -> AsyncIterator[Rig]:
    async with running(
        replace(config, accept_fd=os.dup(held.fileno()), folder=str(folder)),
        make=celled(map),
    ) as rig:
        yield rig


@on_uvloop
async def test_a_move_goes_over_to_the_successor_and_an_older_map_never_wins(
    tmp_path: Path,
) -> None:
    one, two_ = Engine(lambda *_: None), Engine()
    made = make_config(
        target_entry("s-1", await one.start()), target_entry("s-2", await two_.start()), tenants=TWO
    )
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(made, held, tmp_path, two(2)) as old:
            client = await old.client()
            ask(client, 1, "acme", route="stock-add")
            await until(lambda: one.commands_named(b"do"))
            node(old).celled.migrations.propose("acme", "b", old.node.clock.now())
            await until(lambda: stage(old) is Stage.DRAINING)
            # The successor was given an older file: it takes the newer map, and the move, from the
            # old one.
            async with beside(made, held, tmp_path, two(1, acme="a", beta="a")) as new:
                await until(lambda: node(new).peers and node(old).peers)
                assert node(new).map.epoch == 2
                assert stage(new) is Stage.DRAINING
                old.node.shutdown.begin()
                await until(lambda: old.node.closing_announced)
                assert stage(new) is Stage.DRAINING  # open at the other process counts
                one.answer_served(
                    one.commands_named(b"do")[0], one.writer_of(one.commands_named(b"do")[0])
                )
                assert (await client.frame())[0] == frames.NO_MORE
                assert (await client.answer())[1] == frames.SERVED
                await until(lambda: stage(new) is Stage.DONE)
                moved = node(new).celled.migrations
                assert moved.records["acme"].driver == node(new).me
                assert moved.cell("acme", new.node.clock.now()) == "b"


@on_uvloop
async def test_a_newer_map_is_taken_from_the_other_process(tmp_path: Path) -> None:
    one, two_ = Engine(), Engine()
    made = make_config(
        target_entry("s-1", await one.start()), target_entry("s-2", await two_.start()), tenants=TWO
    )
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(made, held, tmp_path, two(1)) as old:
            async with beside(made, held, tmp_path, two(5, beta="a")) as new:
                await until(lambda: node(old).map.epoch == 5)
                assert node(old).map.digest() == node(new).map.digest()
                assert node(old).celled.migrations.cell("beta", 0) == "a"
                # Told by somebody else, or spoilt on its way: it changes nothing.
                assert node(old).read_peer_status({"cells": {"me": 3}, "accepting": True}) is None
                assert node(old).read_peer_status({"cells": "x", "accepting": True}) is None


def write_files(
    folder: Path, port: int, engines: list[dict[str, Any]], epoch: int = 1
) -> dict[str, str]:
    raw = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "known": {"offset": 1, "batch": [topology_event(1, *engines, full=True)]},
        "settings": broker_config(EmulatedCluster(), "", tenants=TWO)["settings"],
    }
    (folder / "config.json").write_text(json.dumps(raw))
    script = "\n".join(
        [
            f"epoch({epoch})",
            'cell("a", engines = ["s-1"])',
            'cell("b", engines = ["s-2"])',
            'default_cell("a")',
            'tenant("beta", cell = "b")',
            "moves(settle = 0, watch = 0)",
        ]
    )
    (folder / "operators.star").write_text(script)
    return {
        **os.environ,
        "PROXY_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(folder),
        "PROXY_OPERATOR_FILE": str(folder / "operators.star"),
    }


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM])
@on_uvloop
async def test_a_process_that_ends_in_mid_move_leaves_nothing_half_done(
    tmp_path: Path, end: int
) -> None:
    """Alone after SIGKILL it starts from the file; SIGTERM answers what is open first."""
    one, two_ = Engine(lambda *_: None), Engine()
    port, second = free_port(), free_port()
    env = write_files(
        tmp_path,
        port,
        [target_entry("s-1", await one.start()), target_entry("s-2", await two_.start())],
    )
    env["PROXY_OPERATOR"] = f"127.0.0.1:{second}"

    async def start() -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "query_broker",
            cwd=ROOT,
            env=env,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def http(raw: str) -> Any:
        reader, writer = await asyncio.open_connection("127.0.0.1", second)
        writer.write(f"{raw} HTTP/1.1\r\n\r\n".encode())
        return json.loads((await within(reader.read())).partition(b"\r\n\r\n")[2])

    process = await start()
    try:
        client = await connect(port)
        ask(client, 1, "acme", route="stock-add")
        await until(lambda: one.commands_named(b"do"))
        assert (await http("POST /cells/move/acme/b"))["stage"] == "proposed"
        while (await http("GET /cells"))["moves"][0]["stage"] != "draining":
            await asyncio.sleep(0.02)
        process.send_signal(end)
        if end == signal.SIGTERM:
            assert (await client.frame())[0] == frames.NO_MORE
            one.answer_served(one.commands_named(b"do")[0], one.writers[0])
            assert (await client.answer())[1] == frames.SERVED
        assert await within(process.wait()) == (0 if end == signal.SIGTERM else -signal.SIGKILL)
        process = await start()
        client = await connect(port)
        shown = await http("GET /cells")
        assert shown["moves"] == []
        assert {t["tenant"]: t["cell"] for t in shown["tenants"]} == {"beta": "b"}
        assert (
            len(
                [
                    d
                    for d in one.commands_named(b"do") + two_.commands_named(b"do")
                    if b"stock-add" in d[2]
                ]
            )
            == 1
        )
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


# --- SIGHUP ---


@on_uvloop
async def test_sighup_takes_the_operators_file_whole_or_not_at_all(tmp_path: Path) -> None:
    env = write_files(tmp_path, 1, [target_entry("s-1", 9), target_entry("s-2", 9)])
    path = Path(env["PROXY_OPERATOR_FILE"])
    from query_broker.config import load
    from query_broker.operator_config.script import evaluate

    first = evaluate(str(path)).cell_map
    assert first is not None
    async with running(load(env), env, make=celled(first, str(path))) as rig:
        figures = rig.node.dispatcher.metrics_counts

        async def hup(text: str) -> None:
            path.write_text(text)
            before = figures.reloads_applied + figures.reloads_rejected
            rig.node.reload()
            rig.node.reload()  # once is enough while the first is being read
            await until(lambda: figures.reloads_applied + figures.reloads_rejected > before)

        good = path.read_text()
        node(rig).celled.migrations.propose("acme", "b", rig.node.clock.now())
        for text, problem in (
            (good.replace("epoch(1)", "epoch(0)"), "epoch: 0 is older than 1"),
            (good + '\ntenant("new", cell = "a")', "epoch: 1 is in force with another map"),
            (good + '\ntenant("new", cell = "z")', ":7: tenant.cell: 'z' of 'new' is no cell"),
            ("", "cell: none is named"),
            ("cell(", "script: Parse error"),
            (good + '\ncell("c", weight = -1)', ":7: cell.weight: must be above 0"),
        ):
            await hup(text)
            last = [line for line in rig.logged if line.startswith("reload")][-1]
            assert problem in last
            assert "stays as it was" in last
            assert node(rig).map == first
            assert figures.reloads_applied == 0
        # A fault in the other file keeps both as they were.
        newer = good.replace("epoch(1)", "epoch(2)") + '\ntenant("new", cell = "b")'
        raw = (tmp_path / "config.json").read_text()
        (tmp_path / "config.json").write_text("{")
        await hup(newer)
        assert node(rig).map == first
        (tmp_path / "config.json").write_text(raw)
        await hup(newer)
        assert node(rig).map.epoch == 2
        assert node(rig).celled.migrations.cell("new", 0) == "b"
        assert stage(rig) is not None  # a move under way goes on
        await hup(newer)  # the same again is no fault
        assert figures.reloads_applied == 2
