"""The processor time that a broker spends on a request, compared among programs."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any

from query_broker.emulator.cluster import EmulatedCluster, tenant_settings

from .daemon import Daemon, Program, running_daemons
from .units import NS_PER_S, NS_PER_US

REQUESTS_IN_FLIGHT = 40
REQUEST_TIMEOUT_NS = 5 * NS_PER_S
REQUEST_ESTIMATE_MS = 5
POLL_INTERVAL_S = 0.001
TENANTS = ("t0", "t1", "t2", "t3")
ENGINES = ("s-0", "s-1", "s-2", "s-3")
#: High enough that no engine ever limits a broker.
MAX_ENGINE_SESSIONS = 1_000
#: Settings of the comparison on the ordinary path: four tenants, and resources for all requests in
#: flight.
ORDINARY_PATH_SETTINGS: dict[str, Any] = {
    "tenants": tenant_settings(*TENANTS),
    "limits": {"sockets": 1_024, "memory_mb": 128},
}

Order = Callable[[list[str], int], list[str]]


async def request_cost_us(daemon: Daemon, count: int) -> float:
    """Return the mean processor time of a request, with 40 requests in flight."""
    begun_ns = daemon.processor_time_ns()
    remaining = count
    while remaining or any(client.open_requests for client in daemon.requests.clients):
        while remaining and _count_in_flight(daemon) < REQUESTS_IN_FLIGHT:
            tenant = TENANTS[remaining % len(TENANTS)]
            await daemon.requests.send_request(
                tenant, "glance", 0, REQUEST_TIMEOUT_NS, estimated_work_ms=REQUEST_ESTIMATE_MS
            )
            remaining -= 1
        await asyncio.sleep(POLL_INTERVAL_S)
    return (daemon.processor_time_ns() - begun_ns) / count / NS_PER_US


def _count_in_flight(daemon: Daemon) -> int:
    return sum(len(client.open_requests) for client in daemon.requests.clients)


def alternating_order(names: list[str], round_number: int) -> list[str]:
    """Return the names in the given order in odd rounds, and reversed in even rounds."""
    return names if round_number % 2 else names[::-1]


def shuffled_order(names: list[str], round_number: int) -> list[str]:
    """Return the names in a random order for each round, for three programs or more."""
    order = list(names)
    random.Random(round_number).shuffle(order)
    return order


async def compare_request_costs(
    daemons: Mapping[str, Daemon], rounds: int, count: int, order: Order = alternating_order
) -> dict[str, list[float]]:
    """Measure the programs in rounds; the first round warms them up and is not counted.

    Args:
        daemons: The programs, by name.
        rounds: Number of counted rounds.
        count: Requests to each program in a round.
        order: Order of the programs in a round.

    Returns:
        The mean processor time of a request in microseconds, for each program and round.
    """
    costs: dict[str, list[float]] = {name: [] for name in daemons}
    for round_number in range(rounds + 1):
        for name in order(list(daemons), round_number):
            cost_us = await request_cost_us(daemons[name], count)
            if round_number:
                costs[name].append(cost_us)
    return costs


@asynccontextmanager
async def ordinary_path(programs: Mapping[str, Program]) -> AsyncIterator[dict[str, Daemon]]:
    """Run programs against four engines that answer immediately."""
    cluster = EmulatedCluster()
    await cluster.start(*ENGINES)
    for engine in cluster.engines.values():
        engine.machine.max_sessions = MAX_ENGINE_SESSIONS
    async with running_daemons(programs, cluster, ORDINARY_PATH_SETTINGS) as daemons:
        yield daemons
    cluster.stop()
