"""Broker processes that share limits and ejections, and clients that send them queries."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from click.testing import CliRunner, Result

from query_broker.cli.main import main
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import MS, EmulatedCluster, broker_config, tenant_settings
from query_broker.emulator.faulty_links import FaultSchedule, RelayNetwork
from query_broker.emulator.processes import BrokerFleet, free_ports
from query_broker.membership.codec import peek_sender

from ..support.member_processes import LIMITS, OLD_KEY, MemberProcesses, members_directive
from ..support.sockets import HANG_TIMEOUT_S

DIRECTIVES = (
    '\nlimits(lease = 1, promise = 1.5, told = 0.25)\nlimit("acme")\nlimit("work", kind = "work")\n'
    'limit("conns", kind = "connects", rate = 50)\n'
    "verdicts(observers = 2, failures = 2, told = 0.2, hold = 30, part = 0.5)\n"
)
POLL_INTERVAL_S = 0.05
FAULT_DURATION_S = 60  # longer than the tests need: they end the faults themselves
Status = dict[str, Any]


@asynccontextmanager
async def started_broker_fleet(
    count: int, folder: Path, cluster: EmulatedCluster
) -> AsyncIterator[MemberProcesses]:
    """Start broker processes that share limits and exchange messages through relays."""
    keys = folder / "keys"
    keys.write_text(OLD_KEY)
    network = RelayNetwork(FaultSchedule([], time.monotonic), peek_sender)
    raw = broker_config(
        cluster,
        "",
        fleet_size=count,
        policy_limits=LIMITS,
        tenants=tenant_settings("acme", quota=100.0),
    )
    addresses = [f"127.0.0.1:{port}" for port in free_ports(count)]

    def script(number: int, port: int) -> str:
        return members_directive(number, port, addresses[number], keys, addresses[:2]) + DIRECTIVES

    with BrokerFleet(count, raw, script) as fleet:
        for member, address in zip(fleet.processes, addresses, strict=True):
            await network.add(
                f"n{member.number}", member.peer_port, int(address.rpartition(":")[2])
            )
        fleet.start()
        peers = MemberProcesses(fleet, network, keys, addresses)
        await peers.wait_for_members(range(count), range(count))
        yield peers
    network.stop()


async def limit_status(peers: MemberProcesses, number: int, name: str = "acme") -> Status:
    try:
        status = await asyncio.to_thread(peers.fleet.processes[number].status, "/limits")
    except OSError:
        return {}
    found: Status = next(limit for limit in status["limits"] if limit["name"] == name)
    return found


async def send_queries(
    peers: MemberProcesses, number: int, rate_per_s: float, stop: asyncio.Event
) -> RequestLog:
    request_log = RequestLog("127.0.0.1", peers.fleet.processes[number].port)
    while not stop.is_set():
        await request_log.send_request("acme", "glance", 1, 4_000 * MS)
        await asyncio.sleep(1 / rate_per_s)
    await request_log.wait_until_idle(HANG_TIMEOUT_S)
    return request_log


async def invoke(*arguments: str) -> Result:
    return await asyncio.to_thread(CliRunner().invoke, main, list(arguments))
