"""Limits shared by several real processes, with faults between them."""

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
from ..support.sockets import HANG, on_uvloop
from .broker_processes import (
    LONG_S,
    POLL_INTERVAL_S,
    Status,
    invoke,
    limit_status,
    send_queries,
    sharing_fleet,
)

pytestmark = pytest.mark.real_time

LEASED_PER_S = 100.0 * 0.8
BUSY = 0


class Auditor:
    """Reads every process's record of its leases, also of those that are to be killed."""

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
                continue  # it is stopped
            process = (member.number, member.process.pid)
            changes = self.records.setdefault(process, set())
            changes.update(LeaseRecord(*change) for change in record)

    def most_per_s(self) -> float:
        return max_concurrent_leases_per_s(self.records.values(), "acme")


async def until_limit(
    peers: MemberProcesses, number: int, condition: Callable[[Status], bool]
) -> Status:
    deadline = time.monotonic() + HANG
    status: Status = {}
    while not status or not condition(status):
        assert time.monotonic() < deadline, f"{status}\n{peers.fleet.processes[number].log()}"
        status = await limit_status(peers, number)
        await asyncio.sleep(POLL_INTERVAL_S)
    return status


def has_most_of_the_limit(status: Status) -> bool:
    return bool(status["ours"] > 60)  # an even division among five gives 20


def has_guaranteed_part_only(status: Status) -> bool:
    return bool(status["floor_in_force"])


async def kill_and_restart_leader(peers: MemberProcesses, status: Status) -> None:
    leader = peers.addresses.index(status["home"])
    # The busy broker may lead the shard itself: then another one is killed.
    if leader == BUSY:
        leader = (BUSY + 1) % 5
    peers.fleet.processes[leader].kill()
    await until_limit(
        peers,
        BUSY,
        lambda status: has_most_of_the_limit(status) and status["home"] != peers.addresses[leader],
    )
    peers.fleet.processes[leader].start()
    await peers.holds(range(5), range(5))


async def cut_off_one_way_and_both_ways(peers: MemberProcesses) -> None:
    peers.spoil(LONG_S, Fault(0, 0, f"n{BUSY}-*", FaultKind.STALL))  # its requests do not arrive
    status = await until_limit(peers, BUSY, has_guaranteed_part_only)
    assert status["ours"] == 100 * 0.2 / 5
    peers.heal()
    await until_limit(peers, BUSY, has_most_of_the_limit)
    others = [f"n{number}" for number in range(5) if number != BUSY]
    peers.spoil(LONG_S, *partition_faults(0, 0, [f"n{BUSY}"], others))
    await until_limit(peers, BUSY, has_guaranteed_part_only)
    peers.heal()
    await until_limit(peers, BUSY, has_most_of_the_limit)


async def pause_holder_past_its_lease(peers: MemberProcesses) -> None:
    holder = peers.fleet.processes[BUSY]
    holder.signal(signal.SIGSTOP)
    await asyncio.sleep(3.0)  # its lease expires while requests wait for it
    holder.signal(signal.SIGCONT)
    await until_limit(peers, BUSY, has_most_of_the_limit)


async def assert_operators_see_the_limits(peers: MemberProcesses) -> None:
    holder = peers.fleet.processes[BUSY]
    text = (await asyncio.to_thread(holder.call_admin_api, "/metrics"))[1].decode()
    assert 'edge_proxy_limit_ours{limit="acme"}' in text
    assert "fault" not in holder.log()
    connections = await limit_status(peers, BUSY, "conns")
    assert connections["overshoot_promised"] == 40.0
    assert connections["overshoot_seen"] <= 40.0
    shown = await invoke("limits", "show", "--address", f"127.0.0.1:{holder.admin_port}")
    assert shown.exit_code == 0
    assert "acme" in shown.output
    assert "promised" in shown.output


@on_uvloop
async def test_busy_broker_gets_what_others_leave_and_faults_never_exceed_the_limit(
    tmp_path: Path,
) -> None:
    """The leader is killed in the middle of grants, the holder is stopped past its lease with
    requests in flight, and both are cut off from each other one way and both ways.
    """
    cluster = EmulatedCluster()
    await cluster.start("s-1", "s-2")
    async with sharing_fleet(5, tmp_path, cluster) as peers:
        auditor = Auditor(peers)
        stop = asyncio.Event()
        load = asyncio.create_task(send_queries(peers, BUSY, 120, stop))
        status = await until_limit(peers, BUSY, has_most_of_the_limit)
        assert not status["floor_in_force"]
        assert status["left_s"] > 0
        await auditor.read()
        await kill_and_restart_leader(peers, status)
        await auditor.read()
        await cut_off_one_way_and_both_ways(peers)
        await auditor.read()
        await pause_holder_past_its_lease(peers)
        stop.set()
        request_log = await load
        await auditor.read()
        assert auditor.most_per_s() <= LEASED_PER_S + 1e-6
        assert auditor.most_per_s() > 50
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
async def test_operators_lend_and_recall_and_a_halved_limit_is_respected(tmp_path: Path) -> None:
    cluster = EmulatedCluster()
    await cluster.start("s-1")
    async with sharing_fleet(3, tmp_path, cluster) as peers:
        stop = asyncio.Event()
        load = asyncio.create_task(send_queries(peers, BUSY, 120, stop))
        status = await until_limit(peers, BUSY, has_most_of_the_limit)
        leader = peers.fleet.processes[peers.addresses.index(status["home"])]
        holder = peers.addresses[BUSY]

        async def call(*arguments: str) -> int:
            address = f"127.0.0.1:{leader.admin_port}"
            return (await invoke("limits", *arguments, "--address", address)).exit_code

        assert await call("recall", "acme", holder) == 0
        await until_limit(peers, BUSY, lambda status: status["ours"] < 7)  # its guaranteed part
        assert await call("lend", "acme", holder, "30") == 0
        await until_limit(peers, BUSY, lambda status: 30 < status["ours"] < 40)
        assert await call("lend", "none", holder, "30") == 1
        assert await call("lend", "acme", "10.0.0.1:9", "30") == 1
        halve_quota(peers)
        await until_limit(
            peers, BUSY, lambda status: status["whole"] == 50 and status["ours"] <= 50
        )
        stop.set()
        (await load).close()
    cluster.stop()
