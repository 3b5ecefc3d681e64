"""Starts while the discovery service is down, silent, slow or intermittent."""

from __future__ import annotations

import asyncio
import json

import pytest

from query_broker.emulator.discovery_service import (
    ScriptedDiscoveryService,
    target_entry,
    topology_event,
)
from query_broker.emulator.faulty_links import Direction, Fault, FaultKind
from query_broker.emulator.processes import BrokerFleet, BrokerProcess
from query_broker.protocols import client_frames as frames

from ..support import deployments
from ..support.sockets import Engine, on_uvloop, until
from .broker_processes import (
    collect_lookup_codes,
    discovery_link,
    emulated_cluster,
    fast_fleet,
    is_at_stage,
    is_complete_with,
    is_ready,
    make_raw_config,
    wait_for_status,
)

pytestmark = pytest.mark.real_time


async def wait_for_log_of_missing_list(broker: BrokerProcess) -> None:
    """Wait until a broker that has no endpoint list logs that it is not ready."""
    status = await wait_for_status(broker, is_at_stage("list"))
    assert not status["ready"]
    assert status["list"] == "none"
    assert status["waits_for"] == "the bus"
    await until(lambda: "still polling, not ready" in broker.log())


@on_uvloop
async def test_brokers_started_without_discovery_serve_once_it_is_available() -> None:
    down = Fault(0.0, 3_600.0, "bus", FaultKind.REJECT)
    async with emulated_cluster("s-1", "s-2") as cluster, discovery_link(cluster, down) as link:
        with fast_fleet(4, make_raw_config(cluster, link)) as brokers:
            brokers.start()
            for broker in brokers.processes:
                await wait_for_log_of_missing_list(broker)
            link.schedule.faults.clear()  # the service is available again
            for broker in brokers.processes:
                status = await wait_for_status(broker, is_at_stage("full"))
                assert status["list"] == "bus"
                assert status["confirmed"]
                assert status["listed"] == 2
            codes = await collect_lookup_codes(brokers.processes[0], 20)
            assert codes == [frames.SERVED] * 20


@on_uvloop
async def test_silent_discovery_service_is_called_again_but_not_too_often() -> None:
    silent = Fault(0.0, 4.0, "bus", FaultKind.STALL, Direction.BACKWARD)
    async with emulated_cluster("s-1") as cluster, discovery_link(cluster, silent) as link:
        with fast_fleet(2, make_raw_config(cluster, link)) as brokers:
            brokers.start()
            for broker in brokers.processes:
                await wait_for_status(broker, is_at_stage("full"))
            assert (
                len(link.connected_at_s) <= 2 * 8
            )  # fewer calls than to a service that rejects them


@on_uvloop
async def test_watch_resumes_after_the_discovery_service_restarts_its_offsets() -> None:
    discovery_service = ScriptedDiscoveryService()
    engine = Engine()
    port = await engine.start()
    raw_config = {
        "listen": "",
        "bus": f"127.0.0.1:{await discovery_service.start()}",
        "settings": {**deployments.WAREHOUSE, "fleet_size": 1},
    }
    with fast_fleet(1, raw_config) as brokers:
        brokers.start()
        await until(lambda: discovery_service.subscriptions)
        discovery_service.publish(topology_event(1, target_entry("s-1", port), full=True))
        for number in range(2, 6):
            discovery_service.publish(topology_event(number))
        await wait_for_status(brokers.processes[0], is_ready)
        for heartbeat in (3, 5, 3, 3):  # a single lower offset may come from a lagging replica
            discovery_service.publish(heartbeat)
        await until(lambda: len(discovery_service.subscriptions) == 2)
        assert discovery_service.subscriptions[1] == b"from 0\n"
        new_list = (
            target_entry("s-1", port),
            target_entry("s-2", port + 1, "terminating"),
            target_entry("s-3", 9),
        )
        discovery_service.publish(topology_event(1, *new_list, full=True))
        await wait_for_status(brokers.processes[0], lambda status: status["listed"] == 2)


# The fleet has six brokers, so both sizes are wrong by a factor of three.
@pytest.mark.parametrize("configured_size", [2, 18])
@on_uvloop
async def test_fleet_size_wrong_by_a_factor_of_three_changes_rate_or_wait_by_that_factor(
    configured_size: int,
) -> None:
    slow_start = "start(list_connects = 4, engine_probes = 200, ramp = 1, floor = 0.25)"
    async with emulated_cluster("s-1") as cluster, discovery_link(cluster) as link:
        raw_config = make_raw_config(cluster, link, fleet_size=configured_size)
        with BrokerFleet(6, raw_config, slow_start) as brokers:
            brokers.start()
            for broker in brokers.processes:
                await wait_for_status(broker, is_at_stage("full"))
            max_calls_in_a_second = max(
                sum(0 <= later_s - first_s < 1.0 for later_s in link.connected_at_s)
                for first_s in link.connected_at_s
            )
            assert len(link.connected_at_s) == 6
            assert max_calls_in_a_second <= (4 + 2) * max(1, 6 // configured_size)


@on_uvloop
async def test_intermittent_discovery_service_is_called_within_the_rate_and_no_event_is_lost() -> (
    None
):
    down = [Fault(begin_s, begin_s + 1.0, "bus", FaultKind.REJECT) for begin_s in (0.0, 2.0, 4.0)]
    resets = [Fault(at_s, at_s, "bus", FaultKind.RESET) for at_s in (2.0, 4.0)]
    async with (
        emulated_cluster("s-1") as cluster,
        discovery_link(cluster, *down, *resets) as link,
    ):
        with fast_fleet(4, make_raw_config(cluster, link)) as brokers:
            brokers.start()
            await asyncio.sleep(3.0)
            cluster.discovery.publish(
                target_entry("s-2", cluster.engines["s-1"].port + 1, "terminating"),
                target_entry("s-3", 9),
            )
            for broker in brokers.processes:
                await wait_for_status(broker, is_complete_with(listed=2))
            assert len(link.connected_at_s) < 100 * link.schedule.now_s() + 4


@on_uvloop
async def test_slow_discovery_service_is_waited_for_and_not_called_more_often() -> None:
    async with emulated_cluster("s-1") as cluster:
        for event in range(60):
            uids = [f"gone-{event}-{number}" for number in range(6)]
            cluster.discovery.publish(*(target_entry(uid, 9, "terminated") for uid in uids))
        events_bytes = sum(len(json.dumps(event)) for event in cluster.discovery.events)
        rate_bytes_per_s = 4 * events_bytes / 3.0
        slow = Fault(
            0.0, 60.0, "bus", FaultKind.RATE, Direction.BACKWARD, bytes_per_s=rate_bytes_per_s
        )
        async with discovery_link(cluster, slow) as link:
            with fast_fleet(4, make_raw_config(cluster, link)) as brokers:
                brokers.start()
                for broker in brokers.processes:
                    await wait_for_status(broker, is_complete_with(listed=1))
                await until(lambda: link.counts["back"] >= 4 * events_bytes)
                assert len(link.connected_at_s) <= 8
