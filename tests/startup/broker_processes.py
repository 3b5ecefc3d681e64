"""Broker processes for tests of the start, and the emulated system around them."""

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
from ..support.sockets import HANG_TIMEOUT_S

#: The directive of a start that takes one or two seconds; the braces are replaced by more options.
FAST_START = (
    "start(list_connects = 100, list_wait = 0.5, contact_wait = 0.5, engine_probes = 200, "
    "ramp = 1, floor = 0.25{})"
)


@asynccontextmanager
async def emulated_cluster(*uids: str) -> AsyncIterator[EmulatedCluster]:
    """Run a cluster with these endpoints and a discovery service."""
    cluster = EmulatedCluster()
    await cluster.start(*uids)
    try:
        yield cluster
    finally:
        cluster.stop()


@asynccontextmanager
async def discovery_link(cluster: EmulatedCluster, *faults: Fault) -> AsyncIterator[FaultyLink]:
    """Run a link to the cluster's discovery service with these faults."""
    schedule = FaultSchedule(list(faults), time.monotonic)
    link = FaultyLink("bus", HOST, cluster.discovery_port, schedule)
    await link.start()
    try:
        yield link
    finally:
        link.stop()


def make_raw_config(
    cluster: EmulatedCluster, link: FaultyLink | None = None, **changes: Any
) -> dict[str, Any]:
    """Return the configuration of brokers that know endpoints only from the discovery service.

    Args:
        cluster: The cluster that the brokers use.
        link: The link to the discovery service; None for a direct connection.
        changes: Changed platform settings.
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
    """Create processes with a fast start and options for its directive; none runs yet."""
    with BrokerFleet(count, raw_config, FAST_START.format(options)) as brokers:
        yield brokers


async def wait_for_status(
    broker: BrokerProcess, predicate: Callable[[dict[str, Any]], bool]
) -> dict[str, Any]:
    """Return the status of a broker's start once the predicate is true for it."""
    deadline_s = time.monotonic() + HANG_TIMEOUT_S
    status: dict[str, Any] = {}
    while time.monotonic() < deadline_s:
        try:
            status = await asyncio.to_thread(broker.status)
        except OSError:
            status = {}
        if status and predicate(status):
            return status
        await asyncio.sleep(0.05)
    raise AssertionError(f"n{broker.number}: {status}\n{broker.log()}")


def is_at_stage(stage: str) -> Callable[[dict[str, Any]], bool]:
    """Return a predicate for a start that is at this stage."""
    return lambda status: status["stage"] == stage


def is_complete_with(listed: int) -> Callable[[dict[str, Any]], bool]:
    """Return a predicate for a completed start with this number of listed endpoints."""
    return lambda status: status["stage"] == "full" and status["listed"] == listed


def is_ready(status: dict[str, Any]) -> bool:
    """Return whether the broker is ready for requests."""
    return bool(status["ready"])


async def save_snapshot(raw_config: dict[str, Any], options: str) -> None:
    """Let one broker start, receive the endpoint list, save it and end."""
    with fast_fleet(1, raw_config, options) as brokers:
        broker = brokers.processes[0]
        brokers.start()
        await wait_for_status(broker, is_ready)
        broker.signal(signal.SIGTERM)
        await asyncio.to_thread(broker.wait, HANG_TIMEOUT_S)


async def collect_lookup_codes(broker: BrokerProcess, count: int) -> list[int]:
    """Return the answer codes of cheap lookups, sent at once on one connection."""
    request_log = RequestLog(HOST, broker.port)
    for _ in range(count):
        await request_log.send_request("", "glance", 2, 4_000 * MS)
    await request_log.wait_until_idle(HANG_TIMEOUT_S)
    codes = [record.code for record in request_log.records]
    request_log.close()
    return codes
