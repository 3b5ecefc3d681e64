"""Processes that pause, restart, leave or are killed, and their status at the other members."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from ..support.member_processes import MemberProcesses, member_processes
from ..support.sockets import HANG_TIMEOUT_S, on_uvloop
from .process_checks import check_reported_alive

pytestmark = pytest.mark.real_time

PAUSE_S = 6.0


async def check_pause(group: MemberProcesses, paused: list[int]) -> None:
    """Pause and resume processes; check that they remove no other and all others stay alive."""
    members = group.fleet.processes
    running = [number for number in range(7) if number not in paused]
    log_lengths = {number: len(members[number].log()) for number in paused}
    for number in paused:
        members[number].signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    for number in paused:
        members[number].signal(signal.SIGCONT)
    await group.wait_for_members(range(7), range(7))
    for number in paused:
        assert (await group.status(number))["pauses"] >= 1
        log = members[number].log()[log_lengths[number] :]
        reporter = group.addresses[number]
        removals = [f"{group.addresses[other]}: removed by {reporter}" for other in running]
        assert not [removal for removal in removals if removal in log], log
    for number in running:
        await check_reported_alive(group, number, [other for other in running if other != number])


def is_replaced(boot: str, status: dict[str, Any]) -> bool:
    """Return whether a process is dead and another one is alive at its address."""
    members = status["members"]
    address = next((member["address"] for member in members if member["boot"] == boot), "")
    former = {member["status"] for member in members if member["boot"] == boot}
    at_address = {member["status"] for member in members if member["address"] == address}
    return former == {"dead"} and "alive" in at_address


def has_no_suspect(status: dict[str, Any]) -> bool:
    return "suspect" not in [member["status"] for member in status["members"]]


@on_uvloop
async def test_pauses_restarts_leaves_and_kills_are_distinguished(tmp_path: Path) -> None:
    """Three are paused, two are restarted, one leaves and four are killed."""
    async with member_processes(7, tmp_path) as group:
        members = group.fleet.processes
        for paused in ([2], [0, 1]):
            await check_pause(group, paused)
        for number in (2, 3):
            boot = (await group.status(number))["boot"]
            members[number].kill()
            members[number].start()
            await group.wait_for_members(range(7), range(7))
            assert (await group.status(number))["boot"] != boot
            others = [other for other in range(7) if other != number]
            await group.until_all(others, partial(is_replaced, boot))
        await check_leave(group, 6, range(6))
        for number in (2, 3, 4, 5):
            members[number].kill()
        await group.wait_for_members([0, 1], [0, 1])
        view = (await group.status(0))["view"]
        assert not view["certain"]
        assert view["limits_by"] == 7
        assert "are lost" in view["why"]


async def check_leave(group: MemberProcesses, leaving: int, others: range) -> None:
    """Terminate a process by SIGTERM; check that the others record a leave without a suspicion."""
    boot = (await group.status(leaving))["boot"]
    await group.until_all(others, has_no_suspect)
    group.fleet.processes[leaving].signal(signal.SIGTERM)
    await group.wait_for_members(others, others)
    for number in others:
        status = await group.status(number)
        found = [
            (member["status"], member["by"])
            for member in status["members"]
            if member["boot"] == boot
        ]
        assert found == [("left", "")]
    assert await asyncio.to_thread(group.fleet.processes[leaving].wait, HANG_TIMEOUT_S) == 0
