"""Starts of broker processes: stages, ramps, and signals, crashes and load during them."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import MS
from query_broker.emulator.discovery_service import target_entry
from query_broker.emulator.processes import BrokerFleet
from query_broker.protocols import client_frames as frames

from ..support.sockets import HANG_TIMEOUT_S, Engine, on_uvloop, until
from .broker_processes import (
    FAST_START,
    collect_lookup_codes,
    emulated_cluster,
    fast_fleet,
    is_at_stage,
    is_complete_with,
    is_ready,
    make_raw_config,
    wait_for_status,
)

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_silent_endpoints_delay_a_start_only_until_the_contact_timeout() -> None:
    async with emulated_cluster("s-1") as cluster:
        silent = Engine(lambda *_: None)
        port = await silent.start()
        cluster.discovery.publish(target_entry("s-2", port), target_entry("s-3", port))
        with fast_fleet(3, make_raw_config(cluster)) as brokers:
            brokers.start()
            for broker in brokers.processes:
                status = await wait_for_status(broker, is_ready)
                assert "time-out: heard of 1 of 3 only" in str(status["passed"])
                await wait_for_status(broker, is_at_stage("full"))


@on_uvloop
async def test_brokers_killed_or_paused_during_the_ramp_complete_their_start() -> None:
    async with emulated_cluster("s-1", "s-2", "s-3") as cluster:
        with fast_fleet(4, make_raw_config(cluster)) as brokers:
            brokers.start()
            for broker in brokers.processes:
                await wait_for_status(broker, is_ready)
            for broker in brokers.processes[:2]:
                broker.kill()
                broker.start()
            paused = brokers.processes[3]
            request_log = RequestLog("127.0.0.1", paused.port)
            in_flight = [
                await request_log.send_request("", "glance", work, 1_500 * MS)
                for work in (500, 1_000, 60_000)
            ]
            machines = [engine.machine for engine in cluster.engines.values()]
            await until(lambda: any(machine.running for machine in machines))
            paused.signal(signal.SIGSTOP)
            cluster.drain("s-3")  # while the broker is paused
            await asyncio.sleep(2.0)
            paused.signal(signal.SIGCONT)
            await request_log.wait_until_idle(HANG_TIMEOUT_S)
            assert [record.answer_count for record in in_flight] == [1, 1, 1]
            request_log.close()
            for broker in brokers.processes:
                status = await wait_for_status(broker, is_complete_with(listed=2))
                assert status["share"] == 1.0
            assert await collect_lookup_codes(paused, 30) == [frames.SERVED] * 30
            assert cluster.queries_after_drain(550 * MS) == 0


@pytest.mark.parametrize("stage", ["list", "contact", "ramp"])
@on_uvloop
async def test_signals_at_every_stage_reload_and_stop_a_broker(stage: str) -> None:
    long_start = (
        FAST_START.replace("contact_wait = 0.5", "contact_wait = 30")
        .replace("ramp = 1", "ramp = 60")
        .replace("floor = 0.25{}", "floor = 0.01, contact_part = 0.9")
    )
    async with emulated_cluster("s-1") as cluster:
        raw_config = make_raw_config(cluster, fleet_size=1)
        silent = Engine(lambda *_: None)
        port = await silent.start()
        if stage == "list":
            raw_config["bus"] = "127.0.0.1:9"
        if stage == "contact":
            cluster.discovery.publish(target_entry("s-2", port), target_entry("s-3", port + 1))
        with BrokerFleet(1, raw_config, long_start) as brokers:
            broker = brokers.processes[0]
            brokers.start()
            await wait_for_status(broker, is_at_stage(stage))
            broker.signal(signal.SIGHUP)
            await until(lambda: "reload: " in broker.log())
            assert "reload: done" in broker.log()
            await wait_for_status(broker, is_at_stage(stage))
            broker.signal(signal.SIGTERM)
            assert await asyncio.to_thread(broker.wait, HANG_TIMEOUT_S) == 0


@on_uvloop
async def test_new_clients_and_connections_to_endpoints_are_rate_limited_in_the_ramp() -> None:
    """A front end that reconnects to a broker sends all its queued requests at once."""
    long_ramp = FAST_START.replace("ramp = 1", "ramp = 60")
    options = ", accepts = 20, engine_connects = 4"
    async with emulated_cluster("s-1") as cluster:
        raw_config = make_raw_config(cluster, fleet_size=2)
        connected_at_s: list[float] = []
        cluster.engines["s-1"].connection_observer = connected_at_s.append
        with BrokerFleet(2, raw_config, long_ramp.format(options)) as brokers:
            brokers.start()
            broker = brokers.processes[0]
            await wait_for_status(broker, is_ready)
            clients = [RequestLog("127.0.0.1", broker.port) for _ in range(30)]
            started_at_s = time.monotonic()
            for client in clients:
                await client.send_request("", "glance", 1, 8_000 * MS)
            for client in clients:
                await client.wait_until_idle(HANG_TIMEOUT_S)
            records = [record for client in clients for record in client.records]
            assert all(record.answer_count == 1 for record in records)
            answered_ns = sorted(record.answered_ns for record in records)
            assert answered_ns[-1] - answered_ns[0] > 0.1e9
            assert time.monotonic() - started_at_s < HANG_TIMEOUT_S
            text = (await asyncio.to_thread(broker.call_admin_api, "/metrics"))[1].decode()
            assert 'edge_proxy_start_seconds{stage="contact"}' in text
            assert "edge_proxy_start_share" in text
            for client in clients:
                client.close()
        early_connections = [at_s for at_s in connected_at_s if at_s < started_at_s + 0.2]
        assert len(early_connections) <= 12


async def send_lookups_of_both_tenants(request_log: RequestLog, count: int) -> None:
    """Send lookups of acme and other in turn, and wait for all answers."""
    for number in range(count):
        tenant = ("acme", "other")[number % 2]
        await request_log.send_request(tenant, "glance", 2, 4_000 * MS)
    await request_log.wait_until_idle(HANG_TIMEOUT_S)


@on_uvloop
async def test_each_cell_ramps_and_serves() -> None:
    cells = (
        '\nepoch(1)\ncell("a", engines = ["s-1"])\ncell("b", engines = ["s-2"])\n'
        'default_cell("a")\n'
        'tenant("other", cell = "b")'
    )
    tenants = [{"name": "acme"}, {"name": "other"}]
    async with emulated_cluster("s-1", "s-2") as cluster:
        raw_config = make_raw_config(cluster, fleet_size=1, tenants=tenants)
        with BrokerFleet(1, raw_config, FAST_START.format("") + cells) as brokers:
            brokers.start()
            broker = brokers.processes[0]
            status = await wait_for_status(broker, is_at_stage("ramp"))
            assert status["listed"] == 2
            assert (await asyncio.to_thread(broker.call_admin_api, "/cells"))[0] == 200
            request_log = RequestLog("127.0.0.1", broker.port)
            await send_lookups_of_both_tenants(request_log, 20)
            # Requests beyond the open part of the admission are rejected at once.
            codes_in_ramp = {record.code for record in request_log.records}
            assert codes_in_ramp <= {frames.SERVED, frames.REFUSED}
            await wait_for_status(broker, is_at_stage("full"))
            await send_lookups_of_both_tenants(request_log, 20)
            assert {record.code for record in request_log.records[20:]} == {frames.SERVED}
            request_log.close()
        assert all(engine.received_queries for engine in cluster.engines.values())


@on_uvloop
async def test_simultaneous_start_of_all_endpoints_and_brokers_crashes_no_endpoint() -> None:
    async with emulated_cluster("s-0") as cluster:
        await cluster.add("s-1", "s-2", "s-3", cold=True)
        cluster.terminate("s-0")
        with fast_fleet(4, make_raw_config(cluster)) as brokers:
            brokers.start()
            clients = []
            for broker in brokers.processes:
                await wait_for_status(broker, is_ready)
                clients.append(RequestLog("127.0.0.1", broker.port))
            for _ in range(40):
                for client in clients:
                    await client.send_request("", "glance", 200, 4_000 * MS)
                await asyncio.sleep(0.05)
            for client in clients:
                await client.wait_until_idle(HANG_TIMEOUT_S)
            records = [record for client in clients for record in client.records]
            assert not [record for record in records if record.answer_count != 1]
            assert not any(engine.machine.crashed for engine in cluster.engines.values())
            assert sum(record.code == frames.SERVED for record in records) > 20
            for client in clients:
                client.close()
