"""Real processes of this program whose start is watched, and the emulated system around them."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import MS, EmulatedCluster, broker_config
from query_broker.emulator.faulty_links import HOST, Fault, FaultSchedule, FaultyLink
from query_broker.emulator.processes import BrokerFleet, BrokerProcess

from ..support import deployments
from ..support.sockets import HANG

#: The directive of a start that takes a second or two; further options go into the braces.
FAST_START = (
    "start(list_connects = 100, list_wait = 0.5, contact_wait = 0.5, engine_probes = 200, "
    "ramp = 1, floor = 0.25{})"
)


@asynccontextmanager
async def emulated_cluster(*uids: str) -> AsyncIterator[EmulatedCluster]:
    """A cluster with these endpoints and a discovery service."""
    cluster = EmulatedCluster()
    await cluster.start(*uids)
    try:
        yield cluster
    finally:
        cluster.stop()


@asynccontextmanager
async def discovery_link(cluster: EmulatedCluster, *faults: Fault) -> AsyncIterator[FaultyLink]:
    """A link to the cluster's discovery service, with these faults from now on."""
    schedule = FaultSchedule(list(faults), time.monotonic)
    link = FaultyLink("bus", HOST, cluster.discovery_port, schedule)
    await link.start()
    try:
        yield link
    finally:
        link.stop()


def raw_config_of(
    cluster: EmulatedCluster, link: FaultyLink | None = None, **changes: Any
) -> dict[str, Any]:
    """The settings of brokers that have their endpoint list from the discovery service alone.

    They reach it over the link if there is one; the changes are of platform settings.
    """
    settings = {**deployments.WAREHOUSE, "fleet_size": 4}
    raw_config = broker_config(cluster, f"{HOST}:1", **settings)
    del raw_config["known"]
    raw_config["settings"] = {**raw_config["settings"], **changes}
    if link is not None:
        raw_config["bus"] = f"{HOST}:{link.port}"
    return raw_config


@contextmanager
def fast_fleet(count: int, raw_config: dict[str, Any], options: str = "") -> Iterator[BrokerFleet]:
    """Processes that start fast, with further options of the directive; none runs yet."""
    with BrokerFleet(count, raw_config, FAST_START.format(options)) as brokers:
        yield brokers


async def wait_for_status(
    broker: BrokerProcess, predicate: Callable[[dict[str, Any]], bool]
) -> dict[str, Any]:
    """The status of its start, once the predicate holds of it."""
    give_up_at_s = time.monotonic() + HANG
    status: dict[str, Any] = {}
    while time.monotonic() < give_up_at_s:
        try:
            status = await asyncio.to_thread(broker.status)
        except OSError:
            status = {}
        if status and predicate(status):
            return status
        await asyncio.sleep(0.05)
    raise AssertionError(f"n{broker.number}: {status}\n{broker.log()}")


def is_at_stage(stage: str) -> Callable[[dict[str, Any]], bool]:
    """Holds of a start that is at this stage."""
    return lambda status: status["stage"] == stage


def is_full_with(listed: int) -> Callable[[dict[str, Any]], bool]:
    """Holds of a start that is over, with so many endpoints in the list."""
    return lambda status: status["stage"] == "full" and status["listed"] == listed


def is_ready(status: dict[str, Any]) -> bool:
    """Holds of a broker that admits requests."""
    return bool(status["ready"])


async def save_snapshot(raw_config: dict[str, Any], options: str) -> None:
    """One broker starts, has the endpoint list, and ends."""
    with fast_fleet(1, raw_config, options) as brokers:
        broker = brokers.processes[0]
        brokers.start()
        await wait_for_status(broker, is_ready)
        broker.signal(signal.SIGTERM)
        await asyncio.to_thread(broker.wait, HANG)


async def codes_of_lookups(broker: BrokerProcess, count: int) -> list[int]:
    """The answers to so many cheap lookups, sent at once on one connection."""
    request_log = RequestLog(HOST, broker.port)
    for _ in range(count):
        await request_log.send_request("", "glance", 2, 4_000 * MS)
    await request_log.wait_until_idle(HANG)
    codes = [record.code for record in request_log.records]
    request_log.close()
    return codes
