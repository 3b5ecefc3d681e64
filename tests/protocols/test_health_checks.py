"""Health checks of engines on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..support.sockets import TRACE, Engine, make_config, on_uvloop, running, target_entry, until
from .closed_ports import ClosedPorts
from .scripted_engines import broker_with_engines

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_a_health_check_and_a_late_answer_update_the_load_report() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"top":
            writer.write(resp.encode(parts[1], b"green", b"meter=q:2;rif:7;x1:0.5;x0:0.25", b""))

    engine = Engine(script)
    async with broker_with_engines(engine) as running_broker:
        broker = running_broker.node.dispatcher
        endpoint = broker.facade.controller.endpoints[broker.endpoint_table.number("s-1")]
        broker.health_checks.start(broker.now(), broker.endpoint_table.number("s-1"))
        await until(lambda: endpoint.load_report)
        assert endpoint.load_report is not None
        assert endpoint.load_report.queue == 2.0
        assert endpoint.load_report.memory == 0.25
        assert endpoint.load_report.disk == 0.5
        assert not broker.health_checks.pending_checks
        client = await running_broker.client()
        client.send_request(patience="150", weight="100.0")
        assert (await client.answer())[1] == frames.REFUSED
        await until(lambda: not broker.requests)
        engine.writer_of(engine.commands_named(b"do")[0]).write(
            resp.encode(TRACE.encode(), b"served", b"chunks=1,meter=q:0;x0:0.75", b"1\ta\tb\n")
        )
        await until(lambda: endpoint.load_report and endpoint.load_report.memory == 0.75)


@on_uvloop
async def test_an_engine_whose_table_was_full_is_readmitted_by_a_health_check(
    closed_ports: ClosedPorts,
) -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"top":
            writer.write(resp.encode(parts[1], b"green", b"meter=x0:0.2", b""))

    engine = Engine(script)
    port = await engine.start()
    config = make_config(
        target_entry("s-1", port),
        *[target_entry(f"s-{number}", closed_ports.reserve()) for number in range(2, 5)],
        fleet_size=40,
    )
    async with running(config) as running_broker:
        broker = running_broker.node.dispatcher
        endpoint = broker.facade.controller.endpoints[broker.endpoint_table.number("s-1")]
        broker.facade.controller.outlier_detector.set_ejected(broker.now(), endpoint, True)
        await until(lambda: engine.commands_named(b"top") and not endpoint.ejected)
