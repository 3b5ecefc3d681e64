"""Strangers, floods and a member that lies: what a group of real processes makes of them."""

from __future__ import annotations

import asyncio
import random
import socket
from pathlib import Path
from typing import Any

import pytest

from query_broker.membership.codec import Codec
from query_broker.membership.incarnations import CHECKPOINT_INTERVAL, IncarnationChain
from query_broker.membership.keys import parse_keys
from query_broker.membership.messages import Claim, Identity, Ping, Status

from ..support.member_processes import OLD_KEY, MemberProcesses, member_processes
from ..support.sockets import on_uvloop
from .process_checks import check_alive_to

pytestmark = pytest.mark.real_time


class Attacker:
    """A socket that sends to the first process of a group, with the group's key or without."""

    def __init__(self, udp: socket.socket, group: MemberProcesses, status: dict[str, Any]) -> None:
        chain = IncarnationChain(b"liar", CHECKPOINT_INTERVAL)
        identity = Identity(f"127.0.0.1:{udp.getsockname()[1]}", chain.boot)
        self._udp = udp
        self._claim = Claim(identity, 0, Status.ALIVE, chain.proof(0), chain.leave_commitment)
        self._victim = Identity(group.addresses[0], bytes.fromhex(status["boot"]))
        self._liar = Codec("here", parse_keys(OLD_KEY))
        self._target = ("127.0.0.1", group.fleet.processes[0].peer_port)

    def send_invalid(self) -> None:
        """Send what is forged, foreign, torn and oversized."""
        forger = Codec("here", parse_keys("1 " + "ef" * 32))
        forged = forger.write(self._victim, self._claim, Ping(1))
        stranger = Codec("there", parse_keys(OLD_KEY))
        foreign = stranger.write(self._victim, self._claim, Ping(1))
        for data in (forged, foreign, forged[:30], bytes(1_390), bytes(5_000)):
            self._udp.sendto(data, self._target)

    def flood(self, count: int, draw: random.Random) -> None:
        """Send random datagrams."""
        for _ in range(count):
            self._udp.sendto(draw.randbytes(200), self._target)

    def lie_about(self, member: dict[str, Any], reporters: list[str]) -> None:
        """Claim, with the group's key, that a member is dead, and that it has left."""
        identity = Identity(member["address"], bytes.fromhex(member["boot"]))
        for status in (Status.DEAD, Status.LEFT):
            for reporter in reporters:
                claim = Claim(
                    identity, member["incarnation"], status, b"x" * 12, b"y" * 12, reporter
                )
                ping = Ping(2, "", (claim,))
                self._udp.sendto(self._liar.write(self._victim, self._claim, ping), self._target)


@on_uvloop
async def test_strangers_floods_other_installations_and_a_liar_change_nothing(
    tmp_path: Path,
) -> None:
    """Two installations share network and key; a member with the key lies."""
    async with member_processes(3, tmp_path) as group:
        status = await group.status(0)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", 0))
            attacker = Attacker(udp, group, status)
            attacker.send_invalid()
            attacker.flood(3_000, random.Random(7))
            await asyncio.sleep(1.2)
            for member in status["members"]:
                attacker.lie_about(member, group.addresses)
            await asyncio.sleep(2.0)
        statistics = (await group.status(0))["figures"]
        dropped = statistics["dropped"]
        assert statistics["flooded"] > 300
        assert dropped["installation"] == 1
        assert dropped["foreign"] > 10
        assert dropped["forged"] >= 1
        assert dropped["oversized"] >= 1
        assert statistics["unproven"] >= 1
        for number in range(3):
            await check_alive_to(group, number, [other for other in range(3) if other != number])
        # The liar itself may be removed once it is silent.
        assert await group.statistic("removals", range(3)) <= 3

        # An oversized frame closes the connection.
        target = ("127.0.0.1", group.fleet.processes[0].peer_port)
        with socket.create_connection(target, timeout=5) as tcp:
            tcp.sendall((1 << 30).to_bytes(4, "big") + b"x" * 100)
            assert tcp.recv(10) == b""
        assert await group.fleet.processes[0].is_ready()
