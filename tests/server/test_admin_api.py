"""The operators' address: calls, metrics, and endpoints that are disabled by hand."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

import pytest

from query_broker.deadlines.write_queue import Frame
from query_broker.discovery.event_codec import parse_event
from query_broker.metrics import ERROR, SUCCESS, Metrics, escape_label
from query_broker.protocols import client_frames as frames
from query_broker.protocols.operator_http import MAX_BODY_BYTES, MAX_HEAD_BYTES

from ..support.sockets import (
    Engine,
    Rig,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
    within,
)

pytestmark = pytest.mark.real_time

CALLS = [
    (b"GET /ready HTTP/1.1\r\n\r\n", 200),
    (b"GET /metrics?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", 200),
    (b"GET / HTTP/1.1\r\n\r\n", 404),
    (b"GET /ready/ HTTP/1.1\r\n\r\n", 404),
    (b"POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
    (b"GET /data-engines/disable/s-1 HTTP/1.1\r\n\r\n", 405),
    (b"POST /data-engines/disable/nobody HTTP/1.1\r\n\r\n", 404),
    (b"POST /data-engines/enable/ HTTP/1.1\r\n\r\n", 404),
    (b"POST /data-engines/disable/%ff HTTP/1.1\r\n\r\n", 400),
    (b"hello\r\n\r\n", 400),
    (b"\0\1\2\3", 400),
    (b"GET /ready HTTP/1.1\r\nA: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n", 431),
    (b"GET /" + b"a" * 40_000, 431),
    (
        b"POST /data-engines/enable/s-1 HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"
        + b"a" * (MAX_BODY_BYTES + 1),
        413,
    ),
    (b"POST /data-engines/%64isable/s%2D1 HTTP/1.1\r\n\r\n", 404),
    (b"POST /data-engines/disable/s%2D1 HTTP/1.1\r\n\r\n", 200),
    (b"POST /data-engines/disable/s-1 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200),
    (b"POST /data-engines/enable/s-1 HTTP/1.1\r\n\r\n", 200),
]


async def admin_call(rig: Rig, raw: bytes) -> tuple[int, dict[str, str], str]:
    """Status, headers and body of the answer to a call."""
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.operator_port)
    writer.write(raw)
    head, _, body = (await within(reader.read())).decode().partition("\r\n\r\n")
    writer.close()
    first, *lines = head.split("\r\n")
    return (
        int(first.split()[1]),
        {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)},
        body,
    )


async def read_metrics(rig: Rig) -> dict[str, float]:
    status, _, text = await admin_call(rig, b"GET /metrics HTTP/1.1\r\n\r\n")
    assert status == 200
    return {
        name.removeprefix("edge_proxy_"): float(value)
        for name, value in (
            line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")
        )
    }


async def set_engine(rig: Rig, action: str, uid: str = "s-1") -> int:
    raw = f"POST /data-engines/{action}/{uid} HTTP/1.1\r\n\r\n".encode()
    status, _, _ = await admin_call(rig, raw)
    return status


@on_uvloop
async def test_each_call_gets_exactly_one_answer() -> None:
    async with running(make_config(target_entry("s-1", 9), operator=True)) as rig:
        for raw, status in CALLS:
            got, headers, body = await admin_call(rig, raw)
            assert (got, headers["content-length"], headers["connection"]) == (
                status,
                str(len(body)),
                "close",
            ), raw[:60]
            assert headers.get("allow") == (
                {405: "GET" if b"/ready" in raw else "POST"}.get(status)
            )
        for split in range(1, 20):  # a call in two pieces
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.operator_port)
            writer.write(CALLS[0][0][:split])
            await asyncio.sleep(0)
            writer.write(CALLS[0][0][split:])
            assert (await within(reader.read())).startswith(b"HTTP/1.1 200 ")
            writer.close()


@on_uvloop
async def test_silent_and_incomplete_calls_keep_no_other_out_and_are_ended_by_a_timer() -> None:
    async with running(make_config(target_entry("s-1", 9), operator=True)) as rig:
        idle = [await asyncio.open_connection("127.0.0.1", rig.operator_port) for _ in range(40)]
        idle[-1][1].write(b"GET /rea")
        assert (await admin_call(rig, CALLS[0][0]))[0] == 200
        await until(lambda: not rig.node.admin_api.connections)
        assert (await within(idle[-1][0].read())).startswith(b"HTTP/1.1 408 ")
        for reader, writer in idle[:-1]:
            with suppress(ConnectionError):
                assert await within(reader.read()) == b""
            writer.close()


@on_uvloop
async def test_not_ready_without_a_list_and_in_the_drain() -> None:
    async with running(make_config(operator=True, listed=False)) as rig:
        assert (await admin_call(rig, CALLS[0][0]))[0] == 503
        rig.node.endpoint_list_known = True
        assert (await admin_call(rig, CALLS[0][0]))[0] == 200
        rig.node.closing_announced = True
        assert (await admin_call(rig, CALLS[0][0]))[0] == 503


@on_uvloop
async def test_the_metrics_are_those_of_the_traffic() -> None:
    engine = Engine()
    async with running(
        make_config(
            target_entry("s-1", await engine.start()),
            target_entry("s-2", 9, "terminating"),
            operator=True,
        )
    ) as rig:
        metrics = await read_metrics(rig)
        assert metrics['replies_total{type="stock-add",status="overload"}'] == 0
        assert (metrics["dispatches_total"], metrics["concurrent"], metrics["targets"]) == (0, 0, 2)
        client = await rig.client()
        client.ask(stream=1)
        assert (await client.answer())[1] == frames.SERVED
        client.ask(stream=2, trace="2" * 16, customer="nobody")
        assert (await client.answer())[1] == frames.FAILED
        engine.script = lambda *_: None
        client.ask(stream=3, trace="3" * 16, route="stock-add")
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        metrics = await read_metrics(rig)
        assert metrics['replies_total{type="glance",status="success"}'] == 1
        assert metrics['replies_total{type="glance",status="error"}'] == 1
        assert (
            metrics["dispatches_total"],
            metrics["concurrent"],
            metrics["targets_disabled"],
        ) == (2, 1, 0)
        client.send(frames.ABANDON, 3)  # ended, with its attempt still out
        client.ask(stream=4, trace="4" * 16, route="stock-add")
        await until(lambda: len(engine.commands_named(b"do")) == 3)
        assert (await read_metrics(rig))["concurrent"] == 1
        assert await set_engine(rig, "disable") == 200
        client.ask(stream=5, trace="5" * 16)
        stream, code, fields, _ = await client.answer()
        assert (stream, code) == (5, frames.REFUSED)
        assert int(fields["pause"]) > 0
        metrics = await read_metrics(rig)
        assert (
            metrics["targets_disabled"],
            metrics['replies_total{type="glance",status="overload"}'],
        ) == (1, 1)


def test_the_text_has_help_and_type_and_its_labels_are_escaped() -> None:
    metrics = Metrics(['a"b'])
    metrics.count_reply('a"b', SUCCESS)
    metrics.count_reply("unheard of", ERROR)  # no series for whatever a client names
    metrics.add_classes(["c"])
    text = metrics.text(1, 2, 3).decode()
    assert 'edge_proxy_replies_total{type="a\\"b",status="success"} 1\n' in text
    assert "unheard" not in text
    assert 'edge_proxy_replies_total{type="c",status="error"} 0\n' in text
    assert text.count("# HELP ") == text.count("# TYPE ") == 7
    assert text.endswith("\n")
    assert escape_label('\\ " \n') == '\\\\ \\" \\n'


@on_uvloop
async def test_an_attempt_counts_only_once_its_last_byte_has_left() -> None:
    engine = Engine(lambda *_: None)
    async with running(
        make_config(target_entry("s-1", await engine.start()), operator=True)
    ) as rig:
        client = await rig.client()
        client.ask()
        await until(lambda: engine.commands_named(b"do"))
        (connection,) = (
            connection
            for pool in rig.node.dispatcher.pools.by_number.values()
            for connection in pool.connections
        )
        await until(lambda: rig.node.dispatcher.metrics_counts.dispatches == 1)
        slow = connection.write_queue
        slow.current = Frame((b"x" * 100,), None, 1, 100, next(iter(connection.in_flight.values())))
        assert not slow.wrote(99)
        assert rig.node.dispatcher.metrics_counts.dispatches == 1
        assert slow.wrote(1)
        assert rig.node.dispatcher.metrics_counts.dispatches == 2


@on_uvloop
async def test_a_disabled_endpoint_gets_nothing_whatever_the_list_says_until_it_is_enabled() -> (
    None
):
    engines = [Engine(), Engine()]
    first = target_entry("s-1", await engines[0].start())
    second = target_entry("s-2", await engines[1].start())
    async with running(make_config(first, second, operator=True)) as rig:
        client = await rig.client()
        # it may come twice
        assert [await set_engine(rig, "disable") for _ in range(2)] == [200, 200]
        await tell(rig, 2, {**first, "state": "terminated"})
        assert await set_engine(rig, "disable") == 200  # known, although the list has dropped it
        await tell(rig, 3, {**first, "boot_ms": 1_000})
        for stream in range(1, 31):
            client.ask(stream=stream, trace=f"{stream:016x}")
            assert (await client.answer())[1] == frames.SERVED
        assert not engines[0].commands_named(b"do")
        assert len(engines[1].commands_named(b"do")) == 30
        assert await set_engine(rig, "enable") == 200
        for stream in range(31, 61):
            client.ask(stream=stream, trace=f"{stream:016x}")
            await client.answer()
        assert engines[0].commands_named(b"do")
        assert await set_engine(rig, "enable", "nobody") == 404


async def tell(rig: Rig, offset: int, *targets: dict[str, Any]) -> None:
    rig.node.dispatcher.endpoint_list_changed(parse_event(topology_event(offset, *targets)))


@on_uvloop
async def test_an_attempt_that_waits_for_a_connection_is_taken_back_before_the_answer() -> None:
    """It would be written after the answer. It never ran, so another endpoint may serve it."""
    other = Engine()
    port = await other.start()
    async with running(
        make_config(
            target_entry("s-1", port), target_entry("s-2", port, "terminating"), operator=True
        )
    ) as rig:
        client = await rig.client()
        pool = next(
            pool
            for pool in rig.node.dispatcher.pools.by_number.values()
            if pool.target.uid == "s-1"
        )
        pool._open = lambda: None  # type: ignore[method-assign]  # its connection never comes up
        client.ask(route="stock-add")
        await until(lambda: pool.waiting_attempts)
        assert await set_engine(rig, "disable") == 200
        assert (await client.answer())[1] == frames.REFUSED
        assert not pool.waiting_attempts
        assert not other.commands_named(b"do")


@on_uvloop
async def test_an_enabled_endpoint_warms_up_and_its_old_connections_take_nothing_more() -> None:
    engine = Engine()
    async with running(
        make_config(target_entry("s-1", await engine.start()), operator=True)
    ) as rig:
        client = await rig.client()
        client.ask()
        await client.answer()
        await set_engine(rig, "disable")
        await set_engine(rig, "enable")
        (known,) = rig.node.dispatcher.facade.controller.endpoints.values()
        assert known.warmup_ends_ns > rig.node.clock.now()
        client.ask(stream=2, trace="2" * 16)
        assert (await client.answer())[1] == frames.SERVED
        first, again = engine.commands_named(b"do")
        assert engine.writer_of(first) is not engine.writer_of(again)
