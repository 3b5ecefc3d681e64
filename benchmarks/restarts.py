"""How soon restarted brokers are ready, and for what the slowest wait: `python -m
benchmarks.restarts`.

Real processes as `run` starts them: the list of the start lies in the configuration. All start at
once; a tenth at a time is told to end and started again; seven in ten are killed at once while
discovery refuses connections. Beside the time to the first yes: processor time of its own, and the
rest of the time until it listens, in which it waited for a core of this machine.
"""

from __future__ import annotations

import argparse
import asyncio
import compileall
import os
import signal
import sys
import time
from collections.abc import Sequence
from typing import Any

import uvloop

from query_broker.emulator.cluster import EmulatedCluster, broker_config
from query_broker.emulator.discovery_service import target_entry, topology_event
from query_broker.emulator.processes import ROOT, BrokerFleet, BrokerProcess, free_ports

from .former_harness import Figures

BOUND, LONGEST = 10.0, 30.0  # s: nine in ten, and each
TICKS = os.sysconf("SC_CLK_TCK")


def processor_time(member: BrokerProcess) -> float:
    assert member.process is not None
    with open(f"/proc/{member.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def restarted(member: BrokerProcess) -> dict[str, float]:
    """Started from nothing, and asked until it says yes."""
    path = member.folder / "log"
    logged, began = len(member.log()) if path.exists() else 0, time.time()
    await asyncio.to_thread(member.start)
    while not await member.is_ready():
        if time.time() - began > LONGEST + 5.0:
            return {"ready": float("inf"), "processor": 0.0, "listens": 0.0}
        await asyncio.sleep(0.02)
    ready, used = time.time() - began, processor_time(member)
    line = next(li for li in member.log()[logged:].splitlines() if " start: listening on " in li)
    return {"ready": ready, "processor": used, "listens": float(line.split()[0]) - began}


async def all_restarted(members: Sequence[BrokerProcess]) -> list[dict[str, float]]:
    return await asyncio.gather(*(restarted(member) for member in members))


def tell(figures: Figures, name: str, found: list[dict[str, float]]) -> None:
    ordered = sorted(found, key=lambda one: one["ready"])
    ninth, last = ordered[int(0.9 * (len(ordered) - 1))], ordered[-1]
    figures.tell(f"{name}.restarts", len(found))
    figures.tell(f"{name}.ready_half_s", ordered[len(ordered) // 2]["ready"])
    figures.tell(f"{name}.ready_nine_in_ten_s", ninth["ready"], most=BOUND)
    figures.tell(f"{name}.ready_all_s", last["ready"], most=LONGEST)
    figures.tell(f"{name}.slowest_own_processor_s", last["processor"])
    figures.tell(f"{name}.slowest_waited_for_a_core_s", last["listens"] - last["processor"])
    figures.tell(f"{name}.slowest_from_listening_to_yes_s", last["ready"] - last["listens"])


async def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    count = 20 if parser.parse_args().quick else 200
    compileall.compile_dir(ROOT / "query_broker", quiet=1)  # as `build` does
    figures, world = Figures(), EmulatedCluster()
    await world.start(*(f"s-{i}" for i in range(4)))
    raw: dict[str, Any] = broker_config(world, "", fleet_size=count, tenants=[])
    known = [target_entry(e.uid, e.port) for e in world.engines.values()]
    raw["known"] = {"offset": 1, "batch": [topology_event(1, *known, full=True)]}
    raw["bus"] = f"127.0.0.1:{free_ports(1)[0]}"  # nobody is there: each call is refused
    raw["limits"] = {"sockets": 128, "memory_mb": 64}
    with BrokerFleet(count, raw) as fleet:
        tell(figures, "all_at_once", await all_restarted(fleet.processes))
        tenth, found = max(1, count // 10), list[dict[str, float]]()
        for first in range(0, count, tenth):
            part = fleet.processes[first : first + tenth]
            for member in part:
                member.signal(signal.SIGTERM)
            for member in part:
                assert await asyncio.to_thread(member.wait, 10.0) == 0
            found += await all_restarted(part)
        tell(figures, "a_tenth_at_a_time", found)
        many = fleet.processes[: 7 * count // 10]
        for member in many:
            member.kill()
        tell(figures, "seven_in_ten_killed", await all_restarted(many))
        cold = [member.log() for member in fleet.processes]
        figures.tell("faults", sum(" fault: " in log for log in cold), most=0)
    world.stop()
    return figures.exit()


if __name__ == "__main__":
    sys.exit(uvloop.run(main()))
