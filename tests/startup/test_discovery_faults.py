"""Starts while the discovery service is down, silent, slow or flapping."""

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
    codes_of_lookups,
    discovery_link,
    emulated_cluster,
    fast_fleet,
    is_at_stage,
    is_full_with,
    is_ready,
    raw_config_of,
    wait_for_status,
)

pytestmark = pytest.mark.real_time


async def wait_without_a_list(broker: BrokerProcess) -> None:
    """The broker has no endpoint list, is not ready, and says so in its log."""
    status = await wait_for_status(broker, is_at_stage("list"))
    assert not status["ready"]
    assert status["list"] == "none"
    assert status["waits_for"] == "the bus"
    await until(lambda: "still polling, not ready" in broker.log())


@on_uvloop
async def test_all_start_while_the_discovery_service_is_down_and_serve_once_it_is_back() -> None:
    down = Fault(0.0, 3_600.0, "bus", FaultKind.REJECT)
    async with emulated_cluster("s-1", "s-2") as cluster, discovery_link(cluster, down) as link:
        with fast_fleet(4, raw_config_of(cluster, link)) as brokers:
            brokers.start()
            for broker in brokers.processes:
                await wait_without_a_list(broker)
            link.schedule.faults.clear()  # it is back
            for broker in brokers.processes:
                status = await wait_for_status(broker, is_at_stage("full"))
                assert status["list"] == "bus"
                assert status["confirmed"]
                assert status["listed"] == 2
            codes = await codes_of_lookups(brokers.processes[0], 20)
            assert codes == [frames.SERVED] * 20


@on_uvloop
async def test_a_discovery_service_that_accepts_and_stays_silent_is_called_again() -> None:
    silent = Fault(0.0, 4.0, "bus", FaultKind.STALL, Direction.BACKWARD)
    async with emulated_cluster("s-1") as cluster, discovery_link(cluster, silent) as link:
        with fast_fleet(2, raw_config_of(cluster, link)) as brokers:
            brokers.start()
            for broker in brokers.processes:
                await wait_for_status(broker, is_at_stage("full"))
            assert len(link.connected_at_s) <= 2 * 8  # not retried as if it were dead


@on_uvloop
async def test_a_discovery_service_that_restarts_its_offsets_is_followed_again() -> None:
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
        for beat in (3, 5, 3, 3):  # one beat may be a replica's that lags
            discovery_service.publish(beat)
        await until(lambda: len(discovery_service.subscriptions) == 2)
        assert discovery_service.subscriptions[1] == b"from 0\n"
        new_list = (
            target_entry("s-1", port),
            target_entry("s-2", port + 1, "terminating"),
            target_entry("s-3", 9),
        )
        discovery_service.publish(topology_event(1, *new_list, full=True))
        await wait_for_status(brokers.processes[0], lambda status: status["listed"] == 2)


# The fleet has six brokers.
@pytest.mark.parametrize("configured", [2, 18])
@on_uvloop
async def test_a_fleet_size_wrong_by_three_is_a_rate_or_a_wait_wrong_by_three(
    configured: int,
) -> None:
    slow_start = "start(list_connects = 4, engine_probes = 200, ramp = 1, floor = 0.25)"
    async with emulated_cluster("s-1") as cluster, discovery_link(cluster) as link:
        raw_config = raw_config_of(cluster, link, fleet_size=configured)
        with BrokerFleet(6, raw_config, slow_start) as brokers:
            brokers.start()
            for broker in brokers.processes:
                await wait_for_status(broker, is_at_stage("full"))
            most_in_a_second = max(
                sum(0 <= later_s - first_s < 1.0 for later_s in link.connected_at_s)
                for first_s in link.connected_at_s
            )
            assert len(link.connected_at_s) == 6
            assert most_in_a_second <= (4 + 2) * max(1, 6 // configured)


@on_uvloop
async def test_a_flapping_discovery_service_is_called_within_the_rate_and_loses_no_event() -> None:
    down = [Fault(begin_s, begin_s + 1.0, "bus", FaultKind.REJECT) for begin_s in (0.0, 2.0, 4.0)]
    resets = [Fault(at_s, at_s, "bus", FaultKind.RESET) for at_s in (2.0, 4.0)]
    async with (
        emulated_cluster("s-1") as cluster,
        discovery_link(cluster, *down, *resets) as link,
    ):
        with fast_fleet(4, raw_config_of(cluster, link)) as brokers:
            brokers.start()
            await asyncio.sleep(3.0)
            cluster.discovery.publish(
                target_entry("s-2", cluster.engines["s-1"].port + 1, "terminating"),
                target_entry("s-3", 9),
            )
            for broker in brokers.processes:
                await wait_for_status(broker, is_full_with(listed=2))
            assert len(link.connected_at_s) < 100 * link.schedule.now_s() + 4


@on_uvloop
async def test_a_discovery_service_slow_to_all_is_waited_for_and_not_called_more_often() -> None:
    async with emulated_cluster("s-1") as cluster:
        for event in range(60):
            uids = [f"gone-{event}-{number}" for number in range(6)]
            cluster.discovery.publish(*(target_entry(uid, 9, "terminated") for uid in uids))
        size = sum(len(json.dumps(event)) for event in cluster.discovery.events)
        rate = 4 * size / 3.0
        slow = Fault(0.0, 60.0, "bus", FaultKind.RATE, Direction.BACKWARD, bytes_per_s=rate)
        async with discovery_link(cluster, slow) as link:
            with fast_fleet(4, raw_config_of(cluster, link)) as brokers:
                brokers.start()
                for broker in brokers.processes:
                    await wait_for_status(broker, is_full_with(listed=1))
                await until(lambda: link.counts["back"] >= 4 * size)
                assert len(link.connected_at_s) <= 8
