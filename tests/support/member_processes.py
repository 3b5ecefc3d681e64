"""Broker processes that form a group, connected through relays with scripted faults."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from query_broker.emulator.cluster import EmulatedCluster, broker_config
from query_broker.emulator.cluster import platform_settings as cluster_settings
from query_broker.emulator.faulty_links import Fault, FaultSchedule, RelayNetwork
from query_broker.emulator.processes import BrokerFleet, free_ports
from query_broker.membership.codec import peek_sender

from .sockets import HANG_TIMEOUT_S

INTERVAL_S = 0.25
OLD_KEY = "1 " + "ab" * 32
NEW_KEY = "2 " + "cd" * 32
LIMITS = {**cluster_settings()["policy_limits"], "peer_messages": True}
PRESENT_STATUSES = ("alive", "suspect")

Status = dict[str, Any]


def present_addresses(status: Status) -> set[str]:
    """Return the addresses that a process holds to be present, its own among them."""
    others = {
        member["address"] for member in status["members"] if member["status"] in PRESENT_STATUSES
    }
    return {status["me"], *others}


class MemberProcesses:
    """The processes of a group.

    Attributes:
        fleet: The processes.
        net: The relays between them.
        keys: The key file that all of them read.
        addresses: The advertised address of each process.
    """

    def __init__(
        self, fleet: BrokerFleet, net: RelayNetwork, keys: Path, addresses: list[str]
    ) -> None:
        self.fleet = fleet
        self.net = net
        self.keys = keys
        self.addresses = addresses
        self.script = net.schedule

    def inject_faults(self, seconds: float, *faults: Fault) -> None:
        """Let faults act from now on for some time."""
        now = self.script.now_s()
        self.script.faults += [
            Fault(
                now,
                now + seconds,
                fault.link_pattern,
                fault.kind,
                fault.direction,
                fault.delay_s,
                fault.probability,
                fault.bytes_per_s,
            )
            for fault in faults
        ]

    def clear_faults(self) -> None:
        """End all faults."""
        self.script.faults.clear()

    async def status(self, number: int) -> Status:
        """Return the answer to `GET /members`; empty if the process does not answer."""
        try:
            return await asyncio.to_thread(self.fleet.processes[number].status, "/members")
        except OSError:
            return {}

    async def statistic(self, name: str, numbers: Iterable[int]) -> int:
        """Return a counter's sum over some processes."""
        counts = [(await self.status(number))["figures"].get(name, 0) for number in numbers]
        return sum(counts)

    async def wait_for_members(self, numbers: Iterable[int], among: Iterable[int]) -> None:
        """Wait until the views of the first processes are just the second ones."""
        wanted = {self.addresses[number] for number in among}
        waiting = set(numbers)
        deadline = time.monotonic() + HANG_TIMEOUT_S
        status: Status = {}
        while waiting and time.monotonic() < deadline:
            for number in list(waiting):
                status = await self.status(number)
                if self._is_view_of(status, wanted):
                    waiting.discard(number)
            await asyncio.sleep(0.05)
        log = "".join(self.fleet.processes[number].log() for number in waiting)
        assert not waiting, f"n{waiting}: {status.get('members')}\n{log}"

    async def until_all(self, numbers: Iterable[int], holds: Callable[[Status], bool]) -> None:
        """Wait until a condition holds of the status of each process."""
        deadline = time.monotonic() + HANG_TIMEOUT_S
        for number in numbers:
            status: Status = {}
            while not status or not holds(status):
                assert time.monotonic() < deadline, status
                status = await self.status(number)
                await asyncio.sleep(0.05)

    @staticmethod
    def _is_view_of(status: Status, wanted: set[str]) -> bool:
        if not status or present_addresses(status) != wanted:
            return False
        return bool(status["view"]["alive"] == len(wanted))


def members_directive(
    number: int, port: int, address: str, keys: Path, seeds: list[str], **more: Any
) -> str:
    """Return the directive `members` of a process for its operators' file."""
    arguments = {
        "address": f"127.0.0.1:{port}",
        "advertise": address,
        "key_file": str(keys),
        "installation": "here",
        "seeds": seeds,
        "interval": INTERVAL_S,
        "sync": 2,
        "settle": 1,
        "forget": 60,
        **more,
    }
    written = ", ".join(f"{name} = {json.dumps(value)}" for name, value in arguments.items())
    return f"members({written})"


@asynccontextmanager
async def member_processes(count: int, folder: Path, **more: Any) -> AsyncIterator[MemberProcesses]:
    """Start processes that know each other; end them with the context."""
    world = EmulatedCluster()
    await world.start("s-1")
    keys = folder / "keys"
    keys.write_text(OLD_KEY)
    net = RelayNetwork(FaultSchedule([], time.monotonic), peek_sender)
    raw = broker_config(world, "", fleet_size=count, policy_limits=LIMITS)
    addresses = [f"127.0.0.1:{port}" for port in free_ports(count)]

    def script(number: int, port: int) -> str:
        return members_directive(number, port, addresses[number], keys, addresses[:2], **more)

    with BrokerFleet(count, raw, script) as fleet:
        for member, address in zip(fleet.processes, addresses, strict=True):
            await net.add(f"n{member.number}", member.peer_port, int(address.rpartition(":")[2]))
        fleet.start()
        processes = MemberProcesses(fleet, net, keys, addresses)
        await processes.wait_for_members(range(count), range(count))
        yield processes
    net.stop()
    world.stop()
