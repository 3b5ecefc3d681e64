"""Detection by real processes, and what the membership costs a request."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import statistics
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from query_broker.emulator.cluster import (
    EmulatedCluster,
    broker_config,
    platform_settings,
    tenant_settings,
)
from query_broker.emulator.faulty_links import Fault, FaultKind, FaultSchedule, RelayNetwork
from query_broker.emulator.processes import BrokerFleet, BrokerProcess, free_ports
from query_broker.membership.codec import peek_sender
from query_broker.membership.settings import NS_PER_S, MembershipSettings
from query_broker.membership.timing import detection_bounds

from .cells import _ask_many
from .former_harness import ROOT, Daemon, Figures, worktree

BASE_COMMIT = "37be46c"  # the last landing before brokers knew of each other
KEY_LINE = "1 " + "ab" * 32
SEED_COUNT = 3
HIGH_LOSS = 0.33
SPOILED_S = 10
BUSY_S = 120
TIME_SLACK = 1.5  # real processes may take so many times the bound of the simulated clock
PRESENT_STATUSES = ("alive", "suspect")
COST_MEMBERS = 24
IDLE_S = 5


def peer_limits() -> dict[str, Any]:
    """Return policy limits that allow messages to peers."""
    return {**platform_settings()["policy_limits"], "peer_messages": True}


# --- detection ---


def _occupy_core(until: float) -> None:
    while time.monotonic() < until:
        sum(range(1_000))


@contextmanager
def occupied_cores(busy: bool) -> Iterator[None]:
    """Keep all cores busy, where wanted."""
    burners: list[Any] = []
    if busy:
        end = time.monotonic() + BUSY_S
        context = multiprocessing.get_context("fork")
        burners = [
            context.Process(target=_occupy_core, args=(end,), daemon=True)
            for _ in os.sched_getaffinity(0)
        ]
    for burner in burners:
        burner.start()
    try:
        yield
    finally:
        for burner in burners:
            burner.kill()
            burner.join()


def present_addresses(member: BrokerProcess) -> set[str]:
    """Return the addresses that a process holds to be present; empty if it does not answer."""
    try:
        status = member.status("/members")
    except OSError:
        return set()
    others = {
        other["address"] for other in status["members"] if other["status"] in PRESENT_STATUSES
    }
    return {status["me"], *others}


async def seconds_until_all_hold(
    members: list[BrokerProcess], wanted: set[str], timeout_s: float
) -> float:
    """Wait until the views of all processes are as wanted; infinite if they do not become so."""
    start = time.monotonic()
    waiting = list(members)
    while waiting and time.monotonic() < start + timeout_s:
        views = await asyncio.gather(
            *(asyncio.to_thread(present_addresses, member) for member in waiting)
        )
        waiting = [member for member, view in zip(waiting, views, strict=True) if view != wanted]
        await asyncio.sleep(0.02)
    return float("inf") if waiting else time.monotonic() - start


class GroupRun:
    """One run of a group of processes behind relays."""

    def __init__(
        self, figures: Figures, name: str, net: RelayNetwork, addresses: list[str]
    ) -> None:
        """Tell results under a name."""
        self._figures = figures
        self._name = name
        self._net = net
        self._addresses = addresses
        self._living: list[BrokerProcess] = []

    async def run(self, fleet: BrokerFleet, kills: int, busy: bool, interval_s: float) -> None:
        """Start the processes, lose messages, and kill some of them."""
        begun = time.monotonic()
        await asyncio.to_thread(fleet.start)
        self._living = list(fleet.processes)
        await seconds_until_all_hold(self._living, set(self._addresses), 30)
        self._tell("all_agree_after_start_s", time.monotonic() - begun, most=20.0)
        with occupied_cores(busy):
            await self._lose_messages()
            await self._kill(kills, interval_s)
        statistics_now = self._living[0].status("/members")["figures"]
        self._tell("bytes_out_a_second", statistics_now["bytes_out"] / (time.monotonic() - begun))

    async def _lose_messages(self) -> None:
        now = self._net.schedule.now_s()
        fault = Fault(now, now + SPOILED_S, "*", FaultKind.DROP, probability=HIGH_LOSS)
        self._net.schedule.faults.append(fault)
        await asyncio.sleep(SPOILED_S)
        self._net.schedule.faults.clear()
        removals = [
            member.status("/members")["figures"].get("removals", 0) for member in self._living
        ]
        self._tell("healthy_removed_with_a_third_lost", sum(removals), most=0)

    async def _kill(self, kills: int, interval_s: float) -> None:
        membership = MembershipSettings(interval_ns=int(interval_s * NS_PER_S))
        bound = detection_bounds(membership, len(self._addresses)).removed
        removed_s: list[float] = []
        for turn in range(kills):
            victim = self._living.pop(1 + turn)
            victim.kill()
            wanted = {self._addresses[member.number] for member in self._living}
            removed_s.append(await seconds_until_all_hold(self._living, wanted, 60))
        self._tell("removed_median_s", statistics.median(removed_s), most=TIME_SLACK * bound.p99_s)
        self._tell("removed_worst_s", max(removed_s), most=TIME_SLACK * bound.worst_s)

    def _tell(self, what: str, value: float, most: float | None = None) -> None:
        self._figures.tell(f"{self._name}.{what}", value, most=most)


async def processes(
    figures: Figures, count: int, kills: int, busy: bool, interval_s: float
) -> None:
    """Lose a third of all messages for ten seconds, then kill processes one after the other."""
    world = EmulatedCluster()
    await world.start("s-1")
    net = RelayNetwork(FaultSchedule([], time.monotonic), peek_sender)
    addresses = [f"127.0.0.1:{port}" for port in free_ports(count)]
    with tempfile.TemporaryDirectory() as folder:
        keys = Path(folder) / "keys"
        keys.write_text(KEY_LINE)

        def script(number: int, port: int) -> str:
            arguments = {
                "address": f"127.0.0.1:{port}",
                "advertise": addresses[number],
                "key_file": str(keys),
                "installation": "bench",
                "seeds": addresses[:SEED_COUNT],
                "interval": interval_s,
                "settle": 1,
            }
            written = [f"{key} = {json.dumps(value)}" for key, value in arguments.items()]
            return f"members({', '.join(written)})"

        raw = broker_config(world, "", fleet_size=count, policy_limits=peer_limits())
        with BrokerFleet(count, raw, script) as fleet:
            for member, address in zip(fleet.processes, addresses, strict=True):
                relay_port = int(address.rpartition(":")[2])
                await net.add(f"n{member.number}", member.peer_port, relay_port)
            name = f"processes.{count}_{'busy' if busy else 'quiet'}"
            await GroupRun(figures, name, net, addresses).run(fleet, kills, busy, interval_s)
    net.stop()
    world.stop()


# --- the cost of a request ---


async def costs(
    figures: Figures,
    rounds: int,
    count: int,
    what: str = "members",
    directives: str = "",
    max_ratio_on: float = 1.05,
) -> None:
    """Compare the processor time of a request with that of the program before.

    Compared are this program without the directives, and with them among 24 members.

    Args:
        figures: Where the results are told.
        rounds: Number of compared rounds.
        count: Requests in a round.
        what: Name of the results.
        directives: Directives of the operators' file beside `members`.
        max_ratio_on: Bound of the ratio with the directives.
    """
    world = EmulatedCluster()
    await world.start("s-1", "s-2", "s-3")
    with tempfile.TemporaryDirectory() as folder, worktree(BASE_COMMIT) as before:
        scripts = _cost_scripts(Path(folder) / "keys", directives)
        running = {
            "before": await _start_daemon(before, world),
            "off": await _start_daemon(ROOT, world),
            "on": await _start_daemon(ROOT, world, scripts[0]),
        }
        others = [await _start_daemon(ROOT, world, script) for script in scripts[1:]]
        for daemon in running.values():
            daemon.pin()
        spent = await _measure_rounds(running, rounds, count)
        _tell_ratios(figures, what, spent, {"off": 1.03, "on": max_ratio_on})
        for name, daemon in running.items():
            figures.tell(f"costs.{what}_{name}_memory_mb", daemon.memory_mb())
        await _tell_idle_cost(figures, what, running["on"])
        for daemon in [*running.values(), *others]:
            daemon.stop()
    world.stop()


def _cost_scripts(keys: Path, directives: str) -> list[str]:
    """Return the operators' file of each member."""
    keys.write_text(KEY_LINE)
    ports = free_ports(COST_MEMBERS)
    return [
        f'members(address = "127.0.0.1:{port}", key_file = "{keys}", installation = "b", '
        f'seeds = ["127.0.0.1:{ports[0]}"]){directives}'
        for port in ports
    ]


async def _start_daemon(tree: Path, world: EmulatedCluster, script: str = "") -> Daemon:
    more: dict[str, Any] = {
        "fleet_size": COST_MEMBERS,
        "policy_limits": peer_limits(),
        "tenants": tenant_settings("t0", "t1", "t2", "t3"),
    }
    return await Daemon(tree, world, script, **more).start()


async def _measure_rounds(
    running: dict[str, Daemon], rounds: int, count: int
) -> dict[str, list[float]]:
    """Measure the programs in turn, in alternating order; the first round warms up."""
    spent: dict[str, list[float]] = {name: [] for name in running}
    for turn in range(rounds + 1):
        names = list(running) if turn % 2 else list(reversed(running))
        for name in names:
            cost = await _ask_many(running[name], count)
            if turn:
                spent[name].append(cost)
    return spent


def _tell_ratios(
    figures: Figures, what: str, spent: dict[str, list[float]], max_ratios: dict[str, float]
) -> None:
    for name, max_ratio in max_ratios.items():
        ratios = [cost / base for cost, base in zip(spent[name], spent["before"], strict=True)]
        compared = f"costs.{what}_{name}_against_before"
        figures.tell(compared, statistics.median(ratios), most=max_ratio)
        figures.tell(f"{compared}_least", min(ratios))
        figures.tell(f"{compared}_greatest", max(ratios))


async def _tell_idle_cost(figures: Figures, what: str, daemon: Daemon) -> None:
    used = daemon.used()
    await asyncio.sleep(IDLE_S)
    figures.tell(
        f"costs.{what}_idle_ms_of_processor_a_second_with_24_members",
        (daemon.used() - used) / IDLE_S / 1e6,
        most=20.0,
    )
