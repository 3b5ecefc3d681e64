"""The operators' settings of deadlines, with brokers on real sockets."""

from __future__ import annotations

import asyncio
import os

import pytest

from query_broker.deadlines.handover_checks import HandOver, StopReason
from query_broker.deadlines.retry_budget import RetryBudgetSettings
from query_broker.deadlines.settings import (
    DeadlineSettings,
    HalfClosePolicy,
    LatencyStage,
    Logs,
    TimeoutStart,
)
from query_broker.deadlines.stage_latencies import TRANSIT_ALLOWANCE_NS
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.server.node import Node

from ..server.admin_calls import admin_call
from ..support.sockets import (
    MS,
    Engine,
    make_config,
    on_uvloop,
    running,
    target_entry,
    until,
)
from .deadline_brokers import (
    broker_with_engine_ports,
    configured_node,
    deadline_controls,
    request_id,
    shrink_buffers,
    stopped_count,
)

pytestmark = pytest.mark.real_time

NS_PER_S = 1_000_000_000
DEFAULT_MARGIN_NS = 10 * MS


@on_uvloop
async def test_a_half_closed_client_gets_its_answers_if_so_configured() -> None:
    engine = Engine(lambda *_: None)
    make = configured_node(deadlines=DeadlineSettings(half_close=HalfClosePolicy.AWAIT_ANSWERS))
    async with broker_with_engine_ports(await engine.start(), make=make) as broker:
        client = await broker.client()
        client.send_request(1, weight="1.0")
        await until(lambda: engine.commands_named(b"do"))
        client.writer.write_eof()
        await asyncio.sleep(0.05)
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert await client.ended()
        await until(lambda: not broker.node.clients)


@on_uvloop
async def test_a_half_closed_client_has_left_by_default() -> None:
    engine = Engine(lambda *_: None)
    make = configured_node(deadlines=None)
    async with broker_with_engine_ports(await engine.start(), make=make) as broker:
        client = await broker.client()
        client.send_request(1, weight="1.0")
        await until(lambda: engine.commands_named(b"do"))
        client.writer.write_eof()
        await until(lambda: not broker.node.dispatcher.request_table.unanswered_count)
        await until(lambda: not broker.node.clients)


@on_uvloop
async def test_a_client_that_stops_reading_has_left_after_the_configured_timeout() -> None:
    def answer_with_many_rows(
        engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter
    ) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], b"served", b"chunks=1", b"a\tb\tc\n" * 7_000))

    engine = Engine(answer_with_many_rows)
    make = configured_node(deadlines=DeadlineSettings(slow_reader_timeout_ns=200 * MS))
    async with broker_with_engine_ports(await engine.start(), make=make) as broker:
        client = await broker.client()
        await until(lambda: broker.node.clients)
        shrink_buffers(client.writer.transport)
        for connection in broker.node.clients:
            if connection.transport:
                shrink_buffers(connection.transport)
        for number in range(1, 33):
            client.send_request(number, trace=request_id(number), weight="1.0")
        await until(lambda: not broker.node.clients)


@on_uvloop
async def test_retries_stay_within_their_budget() -> None:
    def crash(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], b"crashed", b"-", b""))

    engines = [Engine(crash) for _ in range(3)]
    ports = [await engine.start() for engine in engines]
    budget = RetryBudgetSettings(tokens_per_attempt=0.0, burst=2.0)
    make = configured_node(deadlines=DeadlineSettings(retry_budget=budget))
    async with broker_with_engine_ports(*ports, make=make) as broker:
        client = await broker.client()
        for number in range(1, 11):
            client.send_request(number, trace=request_id(number), weight="1.0")
            assert (await client.answer())[1] == frames.REFUSED
        assert sum(len(engine.commands_named(b"do")) for engine in engines) == 12
        assert stopped_count(broker, HandOver.POOL, StopReason.RETRY_BUDGET_EXHAUSTED)
        assert deadline_controls(broker).retry_budget is not None


@on_uvloop
async def test_the_learned_margin_stages_and_cancellations_are_in_the_metrics() -> None:
    engine = Engine()
    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    make = configured_node(deadlines=DeadlineSettings(learn_margin=True), logs=Logs("json", 1.0))
    async with running(config, make=make) as broker:
        client = await broker.client()
        for number in range(1, 81):
            client.send_request(number, trace=request_id(number), weight="1.0")
            assert (await client.answer())[1] == frames.SERVED
        stages = deadline_controls(broker).stages
        assert stages is not None
        margin_before_ns = stages.margin_ns
        text = (await admin_call(broker, b"GET /metrics HTTP/1.1\r\n\r\n"))[2]
        for stage in ("read", "decide", "connect", "write", "engine", "answer"):
            assert f'larchhall_stage_seconds_count{{type="glance",stage="{stage}"}} 80' in text
        margins_ns = (margin_before_ns, stages.margin_ns)  # the margin is learned once a second
        assert any(f"larchhall_margin_seconds {ns / NS_PER_S:.6f}\n" in text for ns in margins_ns)
        assert "larchhall_undone_total 0" in text
        now_ns = broker.node.dispatcher.now()
        learned_ns = stages.learn_margin(now_ns)
        measured_ns = TRANSIT_ALLOWANCE_NS
        for measured_stage in (LatencyStage.DECIDE, LatencyStage.ANSWER):
            latency_ns = stages.by_stage[measured_stage].quantile(0.99, now_ns)
            assert latency_ns is not None
            measured_ns += latency_ns
        # On a busy machine answers may have been so slow that the margin must not shrink.
        assert learned_ns < DEFAULT_MARGIN_NS or measured_ns >= DEFAULT_MARGIN_NS
        default_node = Node(config, os.environ)
        assert b"larchhall_" not in default_node.dispatcher.metrics()
        assert default_node.dispatcher.deadline_controls.stages is None


@pytest.mark.parametrize("timeout_start", TimeoutStart)
@on_uvloop
async def test_the_timeout_of_a_slowly_sent_request_starts_at_the_configured_byte(
    timeout_start: TimeoutStart,
) -> None:
    engine = Engine(lambda *_: None)
    make = configured_node(deadlines=DeadlineSettings(timeout_start=timeout_start))
    async with broker_with_engine_ports(await engine.start(), make=make) as broker:
        client = await broker.client()
        fields = {
            "route": "glance",
            "trace": request_id(7),
            "patience": "3000",
            "customer": "acme",
            "weight": "1.0",
        }
        frame = frames.frame(frames.REQUEST, 1, frames.write_fields(fields) + b"SELECT 1")
        client.writer.write(frame[:30])
        await asyncio.sleep(0.3)
        client.writer.write(frame[30:])
        await until(lambda: broker.node.dispatcher.requests)
        (request,) = broker.node.dispatcher.requests.values()
        time_left_ns = request.deadline_ns - request.accepted_ns
        assert (time_left_ns < 2_750 * MS) == (timeout_start is TimeoutStart.FIRST_BYTE)
        assert time_left_ns <= 2_990 * MS
        client.writer.transport.abort()
        await until(lambda: not broker.node.dispatcher.request_table.unanswered_count)
