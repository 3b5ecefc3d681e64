"""Invalid datagrams, floods and false claims sent to a group of real processes."""

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
from .process_checks import check_reported_alive

pytestmark = pytest.mark.real_time


class Attacker:
    """Sends datagrams to the first process of a group, signed with the group's key or not."""

    def __init__(self, udp: socket.socket, group: MemberProcesses, status: dict[str, Any]) -> None:
        chain = IncarnationChain(b"liar", CHECKPOINT_INTERVAL)
        identity = Identity(f"127.0.0.1:{udp.getsockname()[1]}", chain.boot)
        self._udp = udp
        self._claim = Claim(identity, 0, Status.ALIVE, chain.proof(0), chain.leave_commitment)
        self._victim = Identity(group.addresses[0], bytes.fromhex(status["boot"]))
        self._codec = Codec("here", parse_keys(OLD_KEY))
        self._victim_address = ("127.0.0.1", group.fleet.processes[0].peer_port)

    def send_invalid(self) -> None:
        """Send forged, foreign, truncated and oversized datagrams."""
        other_key_codec = Codec("here", parse_keys("1 " + "ef" * 32))
        forged = other_key_codec.write(self._victim, self._claim, Ping(1))
        other_installation_codec = Codec("there", parse_keys(OLD_KEY))
        foreign = other_installation_codec.write(self._victim, self._claim, Ping(1))
        for data in (forged, foreign, forged[:30], bytes(1_390), bytes(5_000)):
            self._udp.sendto(data, self._victim_address)

    def flood(self, count: int, draw: random.Random) -> None:
        """Send random datagrams."""
        for _ in range(count):
            self._udp.sendto(draw.randbytes(200), self._victim_address)

    def send_false_claims(self, member: dict[str, Any], reporters: list[str]) -> None:
        """Send claims, signed with the group's key, that a member is dead and that it has left."""
        identity = Identity(member["address"], bytes.fromhex(member["boot"]))
        for status in (Status.DEAD, Status.LEFT):
            for reporter in reporters:
                claim = Claim(
                    identity, member["incarnation"], status, b"x" * 12, b"y" * 12, reporter
                )
                ping = Ping(2, "", (claim,))
                self._udp.sendto(
                    self._codec.write(self._victim, self._claim, ping), self._victim_address
                )


@on_uvloop
async def test_invalid_datagrams_floods_and_false_claims_remove_no_member(
    tmp_path: Path,
) -> None:
    """The attacker has the key that two installations on one network share."""
    async with member_processes(3, tmp_path) as group:
        status = await group.status(0)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", 0))
            attacker = Attacker(udp, group, status)
            attacker.send_invalid()
            attacker.flood(3_000, random.Random(7))
            await asyncio.sleep(1.2)
            for member in status["members"]:
                attacker.send_false_claims(member, group.addresses)
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
            await check_reported_alive(
                group, number, [other for other in range(3) if other != number]
            )
        # The attacker, which joined as a member, may be removed once it sends nothing more.
        assert await group.statistic("removals", range(3)) <= 3

        # An oversized frame closes the connection.
        target = ("127.0.0.1", group.fleet.processes[0].peer_port)
        with socket.create_connection(target, timeout=5) as tcp:
            tcp.sendall((1 << 30).to_bytes(4, "big") + b"x" * 100)
            assert tcp.recv(10) == b""
        assert await group.fleet.processes[0].is_ready()
