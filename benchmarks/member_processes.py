"""Detection by real processes, and the cost of the membership per request."""

from __future__ import annotations

import asyncio
import json
import math
import multiprocessing
import os
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any, NamedTuple

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

from .harness.daemon import Daemon, Program, running_daemons
from .harness.request_cost import TENANTS, compare_request_costs
from .harness.results import Results
from .harness.statistics import record_ratios
from .harness.trees import ROOT, worktree
from .harness.units import NS_PER_MS

BASE_COMMIT = "37be46c"  # the last commit before brokers had a membership
KEY_LINE = "1 " + "ab" * 32
SEED_COUNT = 3
HIGH_LOSS = 0.33
LOSS_DURATION_S = 10
MAX_BUSY_S = 120
POLL_INTERVAL_S = 0.02
AGREE_TIMEOUT_S = 30
REMOVAL_TIMEOUT_S = 60
PRESENT_STATUSES = ("alive", "suspect")
COST_MEMBERS = 24
IDLE_DURATION_S = 5

#: Twenty ping intervals of the full run. 24 processes took 15.3 s (`docs/design/members.md`).
MAX_AGREE_AFTER_START_S = 20.0
#: Running members are never removed, even while a third of all messages is lost.
MAX_HEALTHY_REMOVED = 0
#: Factor on the bounds of the simulated clock, since real processes also wait for cores.
MAX_TIME_AGAINST_SIMULATED = 1.5
#: Without the directives the cost must not grow; the bound allows for noise alone.
MAX_COST_OFF = 1.03
#: Goal with the directives, while 24 members ping each other beside the requests.
MAX_COST_ON = 1.05
#: Goal without requests: a fiftieth of a core for the pings of 24 members.
MAX_IDLE_MS_PER_S = 20.0


def peer_limits() -> dict[str, Any]:
    """Return policy limits that allow messages to peers."""
    return {**platform_settings()["policy_limits"], "peer_messages": True}


def _occupy_core(until_s: float) -> None:
    while time.monotonic() < until_s:
        sum(range(1_000))


@contextmanager
def occupied_cores(is_busy: bool) -> Iterator[None]:
    """Keep all cores busy for as long as the context lasts, if `is_busy`."""
    processes: list[Any] = []
    if is_busy:
        end = time.monotonic() + MAX_BUSY_S
        context = multiprocessing.get_context("fork")
        processes = [
            context.Process(target=_occupy_core, args=(end,), daemon=True)
            for _ in os.sched_getaffinity(0)
        ]
    for process in processes:
        process.start()
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.join()


def present_addresses(member: BrokerProcess) -> set[str]:
    """Return the members that a process considers present; empty if it does not answer."""
    try:
        status = member.status("/members")
    except OSError:
        return set()
    others = {
        other["address"] for other in status["members"] if other["status"] in PRESENT_STATUSES
    }
    return {status["me"], *others}


async def seconds_until_views_agree(
    members: list[BrokerProcess], expected: set[str], timeout_s: float
) -> float:
    """Return how long it takes until all processes have the expected view; infinite on timeout."""
    start = time.monotonic()
    waiting = list(members)
    while waiting and time.monotonic() < start + timeout_s:
        views = await asyncio.gather(
            *(asyncio.to_thread(present_addresses, member) for member in waiting)
        )
        waiting = [member for member, view in zip(waiting, views, strict=True) if view != expected]
        await asyncio.sleep(POLL_INTERVAL_S)
    return math.inf if waiting else time.monotonic() - start


class GroupScenario(NamedTuple):
    """A group of processes, and the faults that it undergoes.

    Attributes:
        members: How many processes.
        kills: How many processes are killed, one after the other.
        is_busy: Whether all cores are kept busy during the faults.
        interval_s: The interval between two pings of a member.
    """

    members: int
    kills: int
    is_busy: bool
    interval_s: float


class GroupRun:
    """One run of a group of processes behind relays."""

    def __init__(
        self, results: Results, name: str, network: RelayNetwork, addresses: list[str]
    ) -> None:
        """Create a run whose values are recorded under a name."""
        self._results = results
        self._name = name
        self._network = network
        self._addresses = addresses
        self._running: list[BrokerProcess] = []

    async def run(self, fleet: BrokerFleet, scenario: GroupScenario) -> None:
        """Start the processes, drop messages, and kill some of the processes."""
        begun_s = time.monotonic()
        await asyncio.to_thread(fleet.start)
        self._running = list(fleet.processes)
        await seconds_until_views_agree(self._running, set(self._addresses), AGREE_TIMEOUT_S)
        self._record(
            "all_agree_after_start_s",
            time.monotonic() - begun_s,
            at_most=MAX_AGREE_AFTER_START_S,
        )
        with occupied_cores(scenario.is_busy):
            await self._drop_messages()
            await self._kill(scenario.kills, scenario.interval_s)
        bytes_out = self._running[0].status("/members")["figures"]["bytes_out"]
        self._record("bytes_out_a_second", bytes_out / (time.monotonic() - begun_s))

    async def _drop_messages(self) -> None:
        now_s = self._network.schedule.now_s()
        fault = Fault(now_s, now_s + LOSS_DURATION_S, "*", FaultKind.DROP, probability=HIGH_LOSS)
        self._network.schedule.faults.append(fault)
        await asyncio.sleep(LOSS_DURATION_S)
        self._network.schedule.faults.clear()
        removals = [
            member.status("/members")["figures"].get("removals", 0) for member in self._running
        ]
        self._record(
            "healthy_removed_with_a_third_lost", sum(removals), at_most=MAX_HEALTHY_REMOVED
        )

    async def _kill(self, kills: int, interval_s: float) -> None:
        membership = MembershipSettings(interval_ns=int(interval_s * NS_PER_S))
        bound = detection_bounds(membership, len(self._addresses)).removed
        removed_s: list[float] = []
        for kill_number in range(kills):
            victim = self._running.pop(1 + kill_number)
            victim.kill()
            expected = {self._addresses[member.number] for member in self._running}
            seconds = await seconds_until_views_agree(self._running, expected, REMOVAL_TIMEOUT_S)
            removed_s.append(seconds)
        self._record(
            "removed_median_s",
            statistics.median(removed_s),
            at_most=MAX_TIME_AGAINST_SIMULATED * bound.p99_s,
        )
        self._record(
            "removed_worst_s",
            max(removed_s),
            at_most=MAX_TIME_AGAINST_SIMULATED * bound.worst_s,
        )

    def _record(self, value_name: str, value: float, at_most: float | None = None) -> None:
        self._results.record(f"{self._name}.{value_name}", value, at_most=at_most)


async def record_group(results: Results, scenario: GroupScenario) -> None:
    """Drop a third of all messages for ten seconds, then kill processes one after the other."""
    count = scenario.members
    cluster = EmulatedCluster()
    await cluster.start("s-1")
    network = RelayNetwork(FaultSchedule([], time.monotonic), peek_sender)
    addresses = [f"127.0.0.1:{port}" for port in free_ports(count)]
    with tempfile.TemporaryDirectory() as folder:
        keys = Path(folder) / "keys"
        keys.write_text(KEY_LINE)

        def script(number: int, port: int) -> str:
            return _member_script(f"127.0.0.1:{port}", addresses, number, keys, scenario.interval_s)

        raw = broker_config(cluster, "", fleet_size=count, policy_limits=peer_limits())
        with BrokerFleet(count, raw, script) as fleet:
            for member, address in zip(fleet.processes, addresses, strict=True):
                relay_port = int(address.rpartition(":")[2])
                await network.add(f"n{member.number}", member.peer_port, relay_port)
            name = f"processes.{count}_{'busy' if scenario.is_busy else 'quiet'}"
            await GroupRun(results, name, network, addresses).run(fleet, scenario)
    network.stop()
    cluster.stop()


def _member_script(
    address: str, addresses: Sequence[str], number: int, keys: Path, interval_s: float
) -> str:
    """Return the operators' file of a member that the others reach through its relay."""
    arguments = {
        "address": address,
        "advertise": addresses[number],
        "key_file": str(keys),
        "installation": "bench",
        "seeds": addresses[:SEED_COUNT],
        "interval": interval_s,
        "settle": 1,
    }
    written_arguments = [f"{key} = {json.dumps(value)}" for key, value in arguments.items()]
    return f"members({', '.join(written_arguments)})"


class CostCase(NamedTuple):
    """Directives whose cost is measured.

    Attributes:
        name: Name in the results.
        directives: Directives of the operators' file beside `members`.
        max_ratio: Bound of the cost with the directives, relative to the base commit.
    """

    name: str
    directives: str
    max_ratio: float


MEMBERS_ALONE = CostCase("members", "", MAX_COST_ON)


async def record_costs(results: Results, case: CostCase, rounds: int, count: int) -> None:
    """Compare the processor time of a request with that in the base commit.

    The current program runs without the directives, and with them among 24 members.

    Args:
        results: Where the values are recorded.
        case: The directives.
        rounds: Number of compared rounds.
        count: Requests in a round.
    """
    cluster = EmulatedCluster()
    await cluster.start("s-1", "s-2", "s-3")
    settings = _cost_settings()
    with tempfile.TemporaryDirectory() as folder, worktree(BASE_COMMIT) as before:
        scripts = _cost_scripts(Path(folder) / "keys", case.directives)
        programs = {
            "before": Program(before),
            "off": Program(ROOT),
            "on": Program(ROOT, scripts[0]),
        }
        async with (
            running_daemons(programs, cluster, settings) as daemons,
            _other_members(scripts[1:], cluster, settings),
        ):
            costs_us = await compare_request_costs(daemons, rounds, count)
            _record_ratios(results, case, costs_us)
            for name, daemon in daemons.items():
                results.record(f"costs.{case.name}_{name}_memory_mb", daemon.memory_mb())
            await _record_idle_cost(results, case, daemons["on"])
    cluster.stop()


@asynccontextmanager
async def _other_members(
    scripts: Sequence[str], cluster: EmulatedCluster, settings: Mapping[str, Any]
) -> AsyncIterator[None]:
    """Run members that no client sends to, for as long as the context lasts."""
    daemons: list[Daemon] = []
    try:
        for script in scripts:
            daemons.append(await Daemon(Program(ROOT, script), cluster, settings).start())
        yield
    finally:
        for daemon in daemons:
            daemon.stop()


def _cost_settings() -> dict[str, Any]:
    return {
        "fleet_size": COST_MEMBERS,
        "policy_limits": peer_limits(),
        "tenants": tenant_settings(*TENANTS),
    }


def _cost_scripts(keys: Path, directives: str) -> list[str]:
    """Return the operators' file of each member."""
    keys.write_text(KEY_LINE)
    ports = free_ports(COST_MEMBERS)
    return [
        f'members(address = "127.0.0.1:{port}", key_file = "{keys}", installation = "b", '
        f'seeds = ["127.0.0.1:{ports[0]}"]){directives}'
        for port in ports
    ]


def _record_ratios(
    results: Results, case: CostCase, costs_us: Mapping[str, Sequence[float]]
) -> None:
    for name, max_ratio in (("off", MAX_COST_OFF), ("on", case.max_ratio)):
        record_ratios(
            results,
            f"costs.{case.name}_{name}_against_before",
            costs_us[name],
            costs_us["before"],
            at_most=max_ratio,
        )


async def _record_idle_cost(results: Results, case: CostCase, daemon: Daemon) -> None:
    begun_ns = daemon.processor_time_ns()
    await asyncio.sleep(IDLE_DURATION_S)
    used_ns = daemon.processor_time_ns() - begun_ns
    results.record(
        f"costs.{case.name}_idle_ms_of_processor_a_second_with_24_members",
        used_ns / IDLE_DURATION_S / NS_PER_MS,
        at_most=MAX_IDLE_MS_PER_S,
    )
