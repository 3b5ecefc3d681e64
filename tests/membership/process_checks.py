"""Checks of what one process of a group reports about the others."""

from __future__ import annotations

from ..support.member_processes import MemberProcesses


async def check_reported_alive(group: MemberProcesses, observer: int, others: list[int]) -> None:
    status = await group.status(observer)
    statuses = {member["address"]: member["status"] for member in status["members"]}
    assert all(statuses[group.addresses[other]] == "alive" for other in others)
