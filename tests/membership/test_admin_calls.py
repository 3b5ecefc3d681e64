"""The `members` commands, the metrics of members, and a failed reload of the key file."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main
from query_broker.emulator.processes import BrokerProcess

from ..support.member_processes import MemberProcesses, member_processes
from ..support.sockets import on_uvloop, until

pytestmark = pytest.mark.real_time


async def members_command(member: BrokerProcess, *arguments: str) -> str:
    """Return what `query-broker members` prints about a process."""
    address = f"127.0.0.1:{member.admin_port}"
    result = await asyncio.to_thread(
        CliRunner().invoke, main, ["members", *arguments, "--address", address]
    )
    assert result.exit_code == 0, result.output
    return result.output


async def assert_group_is_shown(group: MemberProcesses, member: BrokerProcess) -> None:
    shown = await members_command(member, "show")
    assert "certain; limits by 3" in shown
    assert group.addresses[0] in shown
    status = json.loads(await members_command(member, "show", "--json"))
    assert status["bounds_s"]["removed_worst"] > 0
    assert "signs" in await members_command(member, "keys")
    assert json.loads(await members_command(member, "keys", "--json"))["signs"] == 1
    metrics = (await asyncio.to_thread(member.call_admin_api, "/metrics"))[1].decode()
    assert 'edge_proxy_members{status="alive"} 2' in metrics
    assert "edge_proxy_members_view_certain 1" in metrics


async def assert_bad_key_file_keeps_old_keys(group: MemberProcesses, member: BrokerProcess) -> None:
    group.keys.write_text("nonsense")
    member.signal(signal.SIGHUP)
    await until(lambda: "signing keys not reloaded" in member.log())
    assert json.loads(await members_command(member, "keys", "--json"))["signs"] == 1


async def assert_member_leaves_by_command(group: MemberProcesses, number: int) -> None:
    member = group.fleet.processes[number]
    assert (await asyncio.to_thread(member.call_admin_api, "/members/leave"))[0] == 405
    assert group.addresses[number] in await members_command(member, "leave")
    await group.wait_for_members([0, 2], [0, 2])
    status = await group.status(number)
    assert status["left"]
    assert not status["view"]["certain"]
    assert status["view"]["limits_by"] == 3
    assert await member.is_ready()


@on_uvloop
async def test_commands_show_the_group_and_a_bad_key_file_keeps_the_old_keys(
    tmp_path: Path,
) -> None:
    async with member_processes(3, tmp_path) as group:
        member = group.fleet.processes[1]
        await assert_group_is_shown(group, member)
        await assert_bad_key_file_keeps_old_keys(group, member)
        await assert_member_leaves_by_command(group, 1)
