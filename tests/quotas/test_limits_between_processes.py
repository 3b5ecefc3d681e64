"""Limits shared by several broker processes, with crashes, pauses and network faults."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from query_broker.emulator.cluster import EmulatedCluster, tenant_settings
from query_broker.emulator.faulty_links import Fault, FaultKind, partition_faults
from query_broker.emulator.quota_simulation import max_concurrent_leases_per_s
from query_broker.quotas.lease_log import LeaseRecord

from ..support.member_processes import MemberProcesses
from ..support.sockets import HANG_TIMEOUT_S, on_uvloop
from .broker_processes import (
    FAULT_DURATION_S,
    POLL_INTERVAL_S,
    Status,
    invoke,
    limit_status,
    send_queries,
    started_broker_fleet,
)

pytestmark = pytest.mark.real_time

LEASED_PER_S = 100.0 * 0.8
BUSY_BROKER = 0


class Auditor:
    """Collects the lease records of all processes, including those that are killed later."""

    def __init__(self, peers: MemberProcesses) -> None:
        self.peers = peers
        self.records: dict[tuple[int, int], set[LeaseRecord]] = {}

    async def read(self) -> None:
        for member in self.peers.fleet.processes:
            if member.process is None or member.process.poll() is not None:
                continue
            try:
                record = await asyncio.to_thread(member.status, "/limits/record")
            except OSError:
                continue  # it is paused or ending
            process = (member.number, member.process.pid)
            changes = self.records.setdefault(process, set())
            changes.update(LeaseRecord(*change) for change in record)

    def max_leased_per_s(self) -> float:
        return max_concurrent_leases_per_s(self.records.values(), "acme")


async def wait_for_limit_status(
    peers: MemberProcesses, number: int, condition: Callable[[Status], bool]
) -> Status:
    deadline = time.monotonic() + HANG_TIMEOUT_S
    status: Status = {}
    while not status or not condition(status):
        assert time.monotonic() < deadline, f"{status}\n{peers.fleet.processes[number].log()}"
        status = await limit_status(peers, number)
        await asyncio.sleep(POLL_INTERVAL_S)
    return status


def has_most_of_the_limit(status: Status) -> bool:
    return bool(status["ours"] > 60)  # an equal share among five brokers is 20


def has_guaranteed_part_only(status: Status) -> bool:
    return bool(status["floor_in_force"])


async def check_takeover_after_leader_crash(peers: MemberProcesses, status: Status) -> None:
    leader = peers.addresses.index(status["home"])
    # If the busy broker leads the shard itself, another broker is killed.
    if leader == BUSY_BROKER:
        leader = (BUSY_BROKER + 1) % 5
    peers.fleet.processes[leader].kill()
    await wait_for_limit_status(
        peers,
        BUSY_BROKER,
        lambda status: has_most_of_the_limit(status) and status["home"] != peers.addresses[leader],
    )
    peers.fleet.processes[leader].start()
    await peers.wait_for_members(range(5), range(5))


async def check_guaranteed_part_in_partitions(peers: MemberProcesses) -> None:
    # The messages of the busy broker do not arrive.
    peers.inject_faults(FAULT_DURATION_S, Fault(0, 0, f"n{BUSY_BROKER}-*", FaultKind.STALL))
    status = await wait_for_limit_status(peers, BUSY_BROKER, has_guaranteed_part_only)
    assert status["ours"] == 100 * 0.2 / 5
    peers.clear_faults()
    await wait_for_limit_status(peers, BUSY_BROKER, has_most_of_the_limit)
    others = [f"n{number}" for number in range(5) if number != BUSY_BROKER]
    peers.inject_faults(FAULT_DURATION_S, *partition_faults(0, 0, [f"n{BUSY_BROKER}"], others))
    await wait_for_limit_status(peers, BUSY_BROKER, has_guaranteed_part_only)
    peers.clear_faults()
    await wait_for_limit_status(peers, BUSY_BROKER, has_most_of_the_limit)


async def check_lease_after_pause(peers: MemberProcesses) -> None:
    holder = peers.fleet.processes[BUSY_BROKER]
    holder.signal(signal.SIGSTOP)
    await asyncio.sleep(3.0)  # its lease expires while requests are waiting
    holder.signal(signal.SIGCONT)
    await wait_for_limit_status(peers, BUSY_BROKER, has_most_of_the_limit)


async def assert_operators_see_the_limits(peers: MemberProcesses) -> None:
    holder = peers.fleet.processes[BUSY_BROKER]
    text = (await asyncio.to_thread(holder.call_admin_api, "/metrics"))[1].decode()
    assert 'edge_proxy_limit_ours{limit="acme"}' in text
    assert "fault" not in holder.log()
    connections = await limit_status(peers, BUSY_BROKER, "conns")
    assert connections["overshoot_promised"] == 40.0
    assert connections["overshoot_seen"] <= 40.0
    shown = await invoke("limits", "show", "--address", f"127.0.0.1:{holder.admin_port}")
    assert shown.exit_code == 0
    assert "acme" in shown.output
    assert "promised" in shown.output


@on_uvloop
async def test_busy_broker_gets_unused_capacity_and_faults_never_exceed_the_limit(
    tmp_path: Path,
) -> None:
    """The leader is killed while it grants leases, the holder is paused until its lease has expired
    with requests in flight, and the holder is cut off in one direction and in both.
    """
    cluster = EmulatedCluster()
    await cluster.start("s-1", "s-2")
    async with started_broker_fleet(5, tmp_path, cluster) as peers:
        auditor = Auditor(peers)
        stop = asyncio.Event()
        load = asyncio.create_task(send_queries(peers, BUSY_BROKER, 120, stop))
        status = await wait_for_limit_status(peers, BUSY_BROKER, has_most_of_the_limit)
        assert not status["floor_in_force"]
        assert status["left_s"] > 0
        await auditor.read()
        await check_takeover_after_leader_crash(peers, status)
        await auditor.read()
        await check_guaranteed_part_in_partitions(peers)
        await auditor.read()
        await check_lease_after_pause(peers)
        stop.set()
        request_log = await load
        await auditor.read()
        assert auditor.max_leased_per_s() <= LEASED_PER_S + 1e-6
        assert auditor.max_leased_per_s() > 50
        assert all(request.answer_count == 1 for request in request_log.records)
        assert request_log.unmatched_answers == 0
        await assert_operators_see_the_limits(peers)
        request_log.close()
    cluster.stop()


def halve_quota(peers: MemberProcesses) -> None:
    """Halve the tenant's quota in the settings of all brokers, and reload them."""
    for member in peers.fleet.processes:
        path = member.folder / "config.json"
        raw = json.loads(path.read_text())
        raw["settings"]["tenants"] = tenant_settings("acme", quota=50.0)
        path.write_text(json.dumps(raw))
        member.signal(signal.SIGHUP)


@on_uvloop
async def test_lend_and_recall_calls_and_a_halved_limit_take_effect(tmp_path: Path) -> None:
    cluster = EmulatedCluster()
    await cluster.start("s-1")
    async with started_broker_fleet(3, tmp_path, cluster) as peers:
        stop = asyncio.Event()
        load = asyncio.create_task(send_queries(peers, BUSY_BROKER, 120, stop))
        status = await wait_for_limit_status(peers, BUSY_BROKER, has_most_of_the_limit)
        leader = peers.fleet.processes[peers.addresses.index(status["home"])]
        holder = peers.addresses[BUSY_BROKER]

        async def call(*arguments: str) -> int:
            address = f"127.0.0.1:{leader.admin_port}"
            return (await invoke("limits", *arguments, "--address", address)).exit_code

        assert await call("recall", "acme", holder) == 0
        await wait_for_limit_status(
            peers, BUSY_BROKER, lambda status: status["ours"] < 7
        )  # its guaranteed part
        assert await call("lend", "acme", holder, "30") == 0
        await wait_for_limit_status(peers, BUSY_BROKER, lambda status: 30 < status["ours"] < 40)
        assert await call("lend", "none", holder, "30") == 1
        assert await call("lend", "acme", "10.0.0.1:9", "30") == 1
        halve_quota(peers)
        await wait_for_limit_status(
            peers, BUSY_BROKER, lambda status: status["whole"] == 50 and status["ours"] <= 50
        )
        stop.set()
        (await load).close()
    cluster.stop()
