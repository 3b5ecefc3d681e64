"""The admin API: calls, metrics, and endpoints that are disabled by hand."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import pytest

from query_broker.deadlines.write_queue import Frame
from query_broker.discovery.event_codec import parse_event
from query_broker.metrics import ERROR, SUCCESS, Metrics, escape_label
from query_broker.protocols import client_frames as frames
from query_broker.protocols.operator_http import MAX_BODY_BYTES, MAX_HEAD_BYTES

from ..support.sockets import (
    Client,
    Engine,
    RunningBroker,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
    within,
)
from .admin_calls import admin_call, read_metrics, send_engine_action

pytestmark = pytest.mark.real_time

READY_CALL = b"GET /ready HTTP/1.1\r\n\r\n"
CALLS = [
    (READY_CALL, 200),
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


@on_uvloop
async def test_each_call_gets_exactly_one_answer() -> None:
    async with running(make_config(target_entry("s-1", 9), operator=True)) as broker:
        for raw, status in CALLS:
            answer = await admin_call(broker, raw)
            assert answer.status == status, raw[:60]
            assert answer.headers["content-length"] == str(len(answer.body)), raw[:60]
            assert answer.headers["connection"] == "close", raw[:60]
            allowed_method = "GET" if b"/ready" in raw else "POST"
            assert answer.headers.get("allow") == (allowed_method if status == 405 else None)
        for split in range(1, 20):  # a call in two chunks
            reader, writer = await asyncio.open_connection("127.0.0.1", broker.operator_port)
            writer.write(READY_CALL[:split])
            await asyncio.sleep(0)
            writer.write(READY_CALL[split:])
            assert (await within(reader.read())).startswith(b"HTTP/1.1 200 ")
            writer.close()


@on_uvloop
async def test_silent_and_incomplete_calls_do_not_block_others_and_time_out() -> None:
    async with running(make_config(target_entry("s-1", 9), operator=True)) as broker:
        idle = [await asyncio.open_connection("127.0.0.1", broker.operator_port) for _ in range(40)]
        idle[-1][1].write(b"GET /rea")
        assert (await admin_call(broker, READY_CALL)).status == 200
        await until(lambda: not broker.node.admin_api.connections)
        assert (await within(idle[-1][0].read())).startswith(b"HTTP/1.1 408 ")
        for reader, writer in idle[:-1]:
            with suppress(ConnectionError):
                assert await within(reader.read()) == b""
            writer.close()


@on_uvloop
async def test_not_ready_without_an_endpoint_list_and_during_graceful_shutdown() -> None:
    async with running(make_config(operator=True, listed=False)) as broker:
        assert (await admin_call(broker, READY_CALL)).status == 503
        broker.node.endpoint_list_known = True
        assert (await admin_call(broker, READY_CALL)).status == 200
        broker.node.closing_announced = True
        assert (await admin_call(broker, READY_CALL)).status == 503


def assert_metrics(metrics: dict[str, float], expected: Mapping[str, float]) -> None:
    assert {name: metrics[name] for name in expected} == expected


@on_uvloop
async def test_the_metrics_match_the_traffic() -> None:
    engine = Engine()
    ready = target_entry("s-1", await engine.start())
    draining = target_entry("s-2", 9, "terminating")
    async with running(make_config(ready, draining, operator=True)) as broker:
        at_start = {
            'replies_total{type="stock-add",status="overload"}': 0,
            "dispatches_total": 0,
            "concurrent": 0,
            "targets": 2,
        }
        assert_metrics(await read_metrics(broker), at_start)
        client = await broker.client()
        await send_served_invalid_and_unanswered_requests(client, engine)
        with_one_in_flight = {
            'replies_total{type="glance",status="success"}': 1,
            'replies_total{type="glance",status="error"}': 1,
            "dispatches_total": 2,
            "concurrent": 1,
            "targets_disabled": 0,
        }
        assert_metrics(await read_metrics(broker), with_one_in_flight)
        client.send(frames.ABANDON, 3)  # the request ends, but its attempt stays in flight
        client.send_request(stream=4, trace="4" * 16, route="stock-add")
        await until(lambda: len(engine.commands_named(b"do")) == 3)
        assert (await read_metrics(broker))["concurrent"] == 1
        assert await send_engine_action(broker, "disable") == 200
        client.send_request(stream=5, trace="5" * 16)
        stream, code, fields, _ = await client.answer()
        assert (stream, code) == (5, frames.REFUSED)
        assert int(fields["pause"]) > 0
        with_one_disabled = {
            "targets_disabled": 1,
            'replies_total{type="glance",status="overload"}': 1,
        }
        assert_metrics(await read_metrics(broker), with_one_disabled)


async def send_served_invalid_and_unanswered_requests(client: Client, engine: Engine) -> None:
    client.send_request(stream=1)
    assert (await client.answer())[1] == frames.SERVED
    client.send_request(stream=2, trace="2" * 16, customer="nobody")
    assert (await client.answer())[1] == frames.FAILED
    engine.script = lambda *_: None
    client.send_request(stream=3, trace="3" * 16, route="stock-add")
    await until(lambda: len(engine.commands_named(b"do")) == 2)


def test_the_metrics_text_has_help_and_type_lines_and_escaped_labels() -> None:
    metrics = Metrics(['a"b'])
    metrics.count_reply('a"b', SUCCESS)
    metrics.count_reply("unheard of", ERROR)  # clients can't add series with unknown names
    metrics.add_classes(["c"])
    text = metrics.text(1, 2, 3).decode()
    assert 'edge_proxy_replies_total{type="a\\"b",status="success"} 1\n' in text
    assert "unheard" not in text
    assert 'edge_proxy_replies_total{type="c",status="error"} 0\n' in text
    assert text.count("# HELP ") == text.count("# TYPE ") == 7
    assert text.endswith("\n")
    assert escape_label('\\ " \n') == '\\\\ \\" \\n'


@on_uvloop
async def test_a_dispatch_is_counted_when_its_last_byte_is_sent() -> None:
    engine = Engine(lambda *_: None)
    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    async with running(config) as broker:
        client = await broker.client()
        client.send_request()
        await until(lambda: engine.commands_named(b"do"))
        (connection,) = (
            connection
            for pool in broker.node.dispatcher.pools.by_number.values()
            for connection in pool.connections
        )
        await until(lambda: broker.node.dispatcher.metrics_counts.dispatches == 1)
        write_queue = connection.write_queue
        attempt = next(iter(connection.in_flight.values()))
        write_queue.current = Frame((b"x" * 100,), None, 1, 100, attempt)
        assert not write_queue.record_written(99)
        assert broker.node.dispatcher.metrics_counts.dispatches == 1
        assert write_queue.record_written(1)
        assert broker.node.dispatcher.metrics_counts.dispatches == 2


@on_uvloop
async def test_a_disabled_endpoint_gets_no_requests_until_enabled_even_if_listed_again() -> None:
    engines = [Engine(), Engine()]
    first = target_entry("s-1", await engines[0].start())
    second = target_entry("s-2", await engines[1].start())
    async with running(make_config(first, second, operator=True)) as broker:
        client = await broker.client()
        # A repeated call has no further effect.
        assert [await send_engine_action(broker, "disable") for _ in range(2)] == [200, 200]
        await apply_endpoint_event(broker, 2, {**first, "state": "terminated"})
        assert await send_engine_action(broker, "disable") == 200  # still known
        await apply_endpoint_event(broker, 3, {**first, "boot_ms": 1_000})
        for stream in range(1, 31):
            client.send_request(stream=stream, trace=f"{stream:016x}")
            assert (await client.answer())[1] == frames.SERVED
        assert not engines[0].commands_named(b"do")
        assert len(engines[1].commands_named(b"do")) == 30
        assert await send_engine_action(broker, "enable") == 200
        for stream in range(31, 61):
            client.send_request(stream=stream, trace=f"{stream:016x}")
            await client.answer()
        assert engines[0].commands_named(b"do")
        assert await send_engine_action(broker, "enable", "nobody") == 404


async def apply_endpoint_event(
    broker: RunningBroker, offset: int, *targets: dict[str, Any]
) -> None:
    broker.node.dispatcher.endpoint_list_changed(parse_event(topology_event(offset, *targets)))


@on_uvloop
async def test_disabling_an_endpoint_withdraws_attempts_that_wait_for_a_connection() -> None:
    """Otherwise the attempt would be sent after the request's final answer. It has not run, so
    another endpoint could serve the request.
    """
    other = Engine()
    port = await other.start()
    targets = (target_entry("s-1", port), target_entry("s-2", port, "terminating"))
    async with running(make_config(*targets, operator=True)) as broker:
        client = await broker.client()
        pool = next(
            pool
            for pool in broker.node.dispatcher.pools.by_number.values()
            if pool.target.uid == "s-1"
        )
        pool._open = lambda: None  # type: ignore[method-assign]  # no connection is ever opened
        client.send_request(route="stock-add")
        await until(lambda: pool.waiting_attempts)
        assert await send_engine_action(broker, "disable") == 200
        assert (await client.answer())[1] == frames.REFUSED
        assert not pool.waiting_attempts
        assert not other.commands_named(b"do")


@on_uvloop
async def test_an_enabled_endpoint_warms_up_and_its_old_connections_are_not_reused() -> None:
    engine = Engine()
    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    async with running(config) as broker:
        client = await broker.client()
        client.send_request()
        await client.answer()
        await send_engine_action(broker, "disable")
        await send_engine_action(broker, "enable")
        (known,) = broker.node.dispatcher.facade.controller.endpoints.values()
        assert known.warmup_ends_ns > broker.node.clock.now()
        client.send_request(stream=2, trace="2" * 16)
        assert (await client.answer())[1] == frames.SERVED
        first, again = engine.commands_named(b"do")
        assert engine.writer_of(first) is not engine.writer_of(again)


@on_uvloop
async def test_an_exception_in_an_admin_call_is_logged_and_answered_with_500(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The HTTP parser wraps exceptions of its callbacks: a fault of the broker was answered with
    400 and not logged, so operators looked for the error in their own call.
    """
    async with running(make_config(operator=True)) as broker:

        def fail() -> bool:
            raise KeyError("endpoint")

        with monkeypatch.context() as patch:
            patch.setattr(broker.node.admin_api, "ready", fail)
            assert (await admin_call(broker, READY_CALL)).status == 500
        faults = [line for line in broker.logged if line.startswith("fault: ")]
        assert len(faults) == 1
        assert "KeyError: 'endpoint'" in faults[0]
        assert (await admin_call(broker, READY_CALL)).status == 200
