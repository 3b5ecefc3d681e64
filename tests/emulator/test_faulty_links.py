"""Emulated links with scheduled faults."""

from __future__ import annotations

import asyncio

import pytest

from query_broker.emulator.faulty_links import (
    Direction,
    Fault,
    FaultKind,
    FaultSchedule,
    FaultyLink,
    partition_faults,
)

from ..support.sockets import HANG_TIMEOUT_S, on_uvloop, until

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_a_stall_in_one_direction_does_not_affect_the_other() -> None:
    received: list[bytes] = []

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            received.append(data)
            writer.write(data)

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    now_s = 0.0
    stall = Fault(0.0, 1.0, "a-b", FaultKind.STALL, Direction.BACKWARD)
    link = FaultyLink("a-b", "127.0.0.1", port, FaultSchedule([stall], lambda: now_s))
    reader, writer = await asyncio.open_connection("127.0.0.1", await link.start())
    writer.write(b"x")
    await until(lambda: received)
    assert link.counts["back"] == 0
    now_s = 2.0
    assert await asyncio.wait_for(reader.read(1), HANG_TIMEOUT_S) == b"x"
    link.stop()
    server.close()


def test_a_partition_stalls_all_links_between_its_groups() -> None:
    faults = partition_faults(0, 1, ["a"], ["b", "c"])
    assert {fault.link_pattern for fault in faults} == {"a-b", "a-c", "b-a", "c-a"}
