"""What a mass start costs the list service and the engines: `python -m benchmarks.start [--quick]`.

Real processes of this program, started within a second, before stand-ins for the bus and the
engines, beside the program as it was (`--base REV`); and the same decisions for up to 1,000 brokers
on a simulated clock. `--plot FILE` draws the calls a second over time (extra `plots`).
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import itertools
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from query_broker import decisions as api
from query_broker.decisions.facade import CoProcessLoad, OutstandingWork
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster, broker_config
from query_broker.emulator.data_engine import statements_run_twice
from query_broker.emulator.decision_simulation import (
    BEGIN_NS,
    SimulatedBroker,
    SimulatedEngine,
    Simulation,
)
from query_broker.emulator.discovery_service import target_entry
from query_broker.emulator.faulty_links import (
    Direction,
    Fault,
    FaultKind,
    FaultSchedule,
    FaultyLink,
)
from query_broker.emulator.machine import Machine
from query_broker.emulator.processes import ROOT, BrokerFleet
from query_broker.startup.admission_ramp import AdmissionRamp, assumed_work
from query_broker.startup.pacing import PacedCalls, call_window_ns, probe_slot_ns
from query_broker.startup.settings import StartupSettings

from .harness import Figures, worktree

MS = 1_000_000
S = 1_000 * MS
BASE = "4131f1a"  # the last commit before starts were paced
RATE = 50.0  # calls a second on the list service
# a second at one engine: first probes, each with a connection, and further ones
PROBES, CONNECTS = 40, 100
# One schedule of faults, seconds from the start; played to the processes and on the simulated
# clock.
FAULTS = (
    Fault(0.0, 5.0, "bus", FaultKind.REJECT),
    Fault(9.0, 9.0, "bus", FaultKind.RESET),
    Fault(9.0, 10.5, "bus", FaultKind.REJECT),
)
ASKS = 4  # requests a second to each broker
SLOW = (
    Fault(0.0, 600.0, "bus", FaultKind.RATE, Direction.BACKWARD, bytes_per_s=1e6),
)  # bytes a second, to all together
GONE, BYTES = 300, 210  # engines in the slow service's list that are no more; of each, some bytes
SCRIPT = (
    f"start(list_connects = {RATE:g}, engine_probes = {PROBES}, engine_connects = {CONNECTS}, "
    "ramp = 4)"
)


def busiest(times: list[float], span: float = 1.0) -> int:
    """The most calls within any such span."""
    ordered, first_, most = sorted(times), 0, 0
    for i, at in enumerate(ordered):
        while ordered[first_] <= at - span:
            first_ += 1
        most = max(most, i - first_ + 1)
    return most


# --- real processes ---


async def mass_start(
    count: int,
    engines: int,
    tree: Path,
    script: str,
    seconds: float,
    until: float,
    faults: Sequence[Fault] = (),
    gone: int = 0,
) -> dict[str, Any]:
    """All at once, from the bus alone; then clients at each as soon as it is ready, until so many
    seconds after the start. ``gone``: engines that are no more, which make the list long.
    """
    world = EmulatedCluster()
    await world.start(*(f"s-{i}" for i in range(engines)))
    for i in range(gone):
        world.discovery.publish(target_entry(f"gone-{i}", 9, "terminated"))
    link = FaultyLink(
        "bus", "127.0.0.1", world.discovery_port, FaultSchedule(faults, time.monotonic)
    )
    raw = broker_config(world, "", fleet_size=count, tenants=[])
    raw["bus"] = f"127.0.0.1:{await link.start()}"
    del raw["known"]
    raw["limits"] = {"sockets": 128, "memory_mb": 64}
    connects: dict[str, list[float]] = {uid: [] for uid in world.engines}
    for engine in world.engines.values():
        engine.connection_observer = connects[engine.uid].append
    with BrokerFleet(count, raw, script, tree) as fleet:
        link.schedule.started_s = begun = time.monotonic()
        await asyncio.to_thread(fleet.start)
        spread = time.monotonic() - begun
        books: list[RequestLog] = []

        async def client(member: Any) -> float:
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                if await member.is_ready():
                    took = time.monotonic() - begun
                    book = RequestLog("127.0.0.1", member.port)
                    # the ledgers go by statements
                    book.ids = itertools.count(1 + 1_000_000 * member.number)
                    books.append(book)
                    for i in itertools.count():
                        if time.monotonic() > begun + until:
                            break
                        route = "stock-add" if i % 6 == 5 else "glance"
                        await book.send_request("", route, 40, 4_000 * MS)
                        await asyncio.sleep(1 / ASKS)
                    await book.wait_until_idle(5.0)
                    return took
                await asyncio.sleep(0.1)
            return float("inf")

        took = sorted(await asyncio.gather(*(client(m) for m in fleet.processes)))
        memory = [_memory(m.process.pid) for m in fleet.processes[:20] if m.process is not None]
        asked = [a for book in books for a in book.records]
        for book in books:
            book.close()
    link.stop()
    world.stop()
    seen = Counter(a.code for a in asked)
    first = time.time_ns() - int((time.monotonic() - begun) * 1e9)

    def of_demand(span: float) -> float:
        """Served of what clients that knew of no start would have asked in its first seconds."""
        wanted = count * ASKS * min(span, until)
        return sum(a.code == 0 and a.sent_ns - first < span * S for a in asked) / wanted

    return {
        "of_demand": {span: of_demand(span) for span in (10.0, 30.0) if span <= until},
        "in_hand": max(in_hand(e.machine) for e in world.engines.values()),
        "spread": spread,
        "bus": link.connected_at_s,
        "bytes": link.counts["back"],
        "ready": took,
        "engine_connects": max((busiest(t) for t in connects.values()), default=0),
        "fallen": sum(e.machine.crashed for e in world.engines.values()),
        "memory": sum(memory) / len(memory),
        "served": seen[0] / max(1, len(asked)),
        "unanswered": sum(a.answer_count != 1 for a in asked),
        "strays": sum(b.unmatched_answers for b in books),
        "twice": len(statements_run_twice(list(world.engines.values()), b"stock-add")),
    }


def in_hand(machine: Machine) -> float:
    """The most threads that a machine had in hand at once, a core."""
    steps = sorted(
        [(r.begun_ns, r.threads) for r in machine.ledger]
        + [(r.ended_ns or machine.now_ns, -r.threads) for r in machine.ledger]
    )
    return max(itertools.accumulate((threads for _, threads in steps), initial=0)) / machine.cores


def _memory(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1024


def tell(
    figures: Figures, name: str, got: dict[str, Any], count: int, paced: bool, list_s: float = 0.0
) -> None:
    """``list_s``: seconds that the service takes to tell all of them once."""
    ready: list[float] = got["ready"]
    figures.tell(f"{name}.started_within_s", got["spread"])
    figures.tell(
        f"{name}.list_calls_in_the_busiest_second",
        busiest(got["bus"]),
        most=RATE * 1.3 if paced else None,
    )
    figures.tell(f"{name}.list_bytes", got["bytes"])
    for part in (0.5, 0.95, 1.0):
        figures.tell(
            f"{name}.ready_{part:g}_s",
            ready[min(len(ready) - 1, int(part * len(ready)))],
            most=6 * call_window_ns(count, RATE) / S + 15 + 2 * list_s if paced else None,
        )
    figures.tell(
        f"{name}.engine_connects_in_the_busiest_second",
        got["engine_connects"],
        most=1.1 * (PROBES + CONNECTS) if paced else None,
    )
    figures.tell(f"{name}.threads_a_core_in_hand_at_one_engine", got["in_hand"])
    figures.tell(f"{name}.engines_fallen", got["fallen"], most=0)
    for span, share in got["of_demand"].items():
        figures.tell(f"{name}.served_of_the_demand_in_{span:g}_s", share)
    figures.tell(f"{name}.served", got["served"], least=0.5 if paced else None)
    figures.tell(f"{name}.unanswered", got["unanswered"], most=0 if paced else None)
    figures.tell(f"{name}.strays", got["strays"], most=0)
    figures.tell(f"{name}.unsafe_run_twice", got["twice"], most=0)
    figures.tell(f"{name}.memory_mb", got["memory"])


# --- a simulated clock ---


def simulated(count: int, seed: int, paced: bool, faults: Sequence[Fault]) -> dict[str, Any]:
    """The calls on a list service under a schedule of faults, and on one of 40 engines, and the
    time to full: the same decisions as a broker's, without the broker.
    """
    draw, now = random.Random(seed), 0.0
    script = FaultSchedule(faults, lambda: now)
    resets = sorted(f.begin_s for f in faults if f.kind is FaultKind.RESET)
    terms = StartupSettings(list_connects_per_s=RATE, endpoint_probes_per_s=40.0)
    calls: list[float] = []
    probes: list[float] = []
    full: list[float] = []
    done: set[int] = set()
    heap: list[tuple[float, int, PacedCalls]] = []
    for me in range(count):
        mine, at = PacedCalls(me, count, RATE, draw.random), draw.random()
        heap.append((mine.first_call_ns(int(at * S)) / S if paced else at, me, mine))
    heapq.heapify(heap)
    while heap:
        now, me, mine = heapq.heappop(heap)
        calls.append(now)
        # as it was: 0.05 to 0.4 s, doubled, half to the whole
        if script.active_fault(FaultKind.REJECT, "bus"):
            was = min(0.4, 0.05 * 2**mine.failure_count) * (0.5 + draw.random() / 2)
            again = mine.retry_ns(int(now * S)) / S
            heapq.heappush(heap, (again if paced else now + was, me, mine))
            continue
        connected = [t for t in resets if t > now]
        if connected:  # its connection is reset then, and it calls again
            again = mine.retry_ns(int(connected[0] * S)) / S
            heapq.heappush(
                heap, (again if paced else connected[0] + 0.05 * draw.random(), me, mine)
            )
        if me in done:
            continue  # it had started before the reset
        asked = (
            probe_slot_ns(int(now * S), 7, me, count, terms.endpoint_probes_per_s) / S
            if paced
            else now
        )
        probes.append(asked)
        ramp, at = AdmissionRamp(terms, int(now * S)), int(now * S)
        while paced and not ramp.is_complete():
            at += S
            ramp.step(at, 4, 0)
        full.append(at / S)
        done.add(me)
    return {"calls": calls, "probes": probes, "full": full}


LOAD = 0.6  # of what the warm engines can do, asked from the first second on
CLASSES = (
    api.RequestClass("glance", S, 5 * S, 1.0),
    api.RequestClass("report", 3 * S // 2, 20 * S, 10.0, threads=4),
)


def sim_settings(me: int, brokers: int) -> api.Settings:
    return api.Settings(
        classes=CLASSES,
        fleet_size=brokers,
        broker_index=me,
        tick_ns=25 * MS,
        kind_cores=(("std", 8),),
        limits=api.Limits(health_checks=True, max_attempts=3, max_retry_after_ns=2 * S),
        contract=api.Contract(
            warmup_initial_capacity=0.36,
            warmup_ns=12 * S,
            overload_window_ns=1_500 * MS,
            overload_multiple=2.0,
        ),
    )


def cold_world(brokers: int, seed: int, paced: bool, seconds: float) -> dict[str, Any]:  # noqa: C901  # one scenario, told in order
    """All brokers and all engines start at once, and clients ask from the first second: the module
    of each broker, the start's paces and ramp, and the engines' machines, on one simulated
    clock.
    """
    sim = Simulation(seed)
    engines = {
        n: SimulatedEngine(sim, n, Machine(started_ns=BEGIN_NS - sim.random.randrange(S // 2)))
        for n in (sim.random.randrange(1 << 32) for _ in range(max(3, min(80, 2 * brokers // 5))))
    }
    terms = StartupSettings(list_connects_per_s=RATE, endpoint_probes_per_s=PROBES)
    full: list[float] = []
    members: list[SimulatedBroker] = []

    def ramps(broker: SimulatedBroker, ramp: AdmissionRamp, seen: list[int]) -> None:
        served = sum(a[3] for a in broker.requests.values())
        share = ramp.step(sim.now_ns, served - seen[0], 0)
        seen[0] = served
        widest = broker.facade.widest_request_threads()
        left = (
            {
                n: OutstandingWork(*assumed_work(share, threads, bound, widest), 0)
                for n, (threads, bound) in broker.facade.quotas_and_bounds().items()
            }
            if share < 1
            else {}
        )
        broker.report(CoProcessLoad(left, 1))
        if ramp.is_complete():
            full.append((sim.now_ns - BEGIN_NS) / S)
        else:
            sim.call_at(sim.now_ns + S, lambda: ramps(broker, ramp, seen))

    def listed(broker: SimulatedBroker) -> None:
        broker.announce_endpoints()
        if not paced:
            return opens(broker)
        for n in engines:
            sim.call_at(
                probe_slot_ns(sim.now_ns, n, broker.settings.broker_index, brokers, PROBES),
                partial(broker.check_health, n),
            )
        sim.call_at(sim.now_ns + terms.contact_wait_ns, lambda: opens(broker))
        return None

    def opens(broker: SimulatedBroker) -> None:
        if paced:
            ramps(broker, AdmissionRamp(terms, sim.now_ns), [0])
        members.append(broker)

    for me in range(brokers):
        broker = SimulatedBroker(sim, sim_settings(me, brokers), me, engines)
        begun = sim.now_ns + sim.random.randrange(S)
        first_call = PacedCalls(me, brokers, RATE, sim.random.random).first_call_ns(begun)
        sim.call_at(first_call if paced else begun, partial(listed, broker))
    mean = 0.9 * 0.2 * S + 0.1 * 4 * S
    gap = int(mean / (LOAD * 8 * len(engines)))
    asked = itertools.count()

    def arrive() -> None:
        sim.call_at(sim.now_ns + int(sim.random.expovariate(1) * gap), arrive)
        if members:  # a front hands them to who is ready
            number, wide = next(asked), sim.random.random() < 0.1
            work = sim.random.uniform(0.5, 1.5) * (4 * S if wide else S // 5)
            sim.random.choice(members).send_request(
                str(number),
                "report" if wide else "glance",
                work,
                4 if wide else 1,
                (20 if wide else 5) * S,
            )

    arrive()
    sim.run(seconds)
    done = [a for b in members for a in b.requests.values()]

    def served(until: float) -> float:
        came = [a for a in done if a[0] - BEGIN_NS < until * S]
        return sum(a[3] and a[2] - a[0] <= 5 * S for a in came) / max(1, until * S / gap)

    budget = 2.0 * 8 * 1.5 * S  # what an engine that is warm may be sent within 1.5 s
    probes = [[t / S for t in e.health_checks_ns] for e in engines.values()]
    return {
        "fallen": sum(e.machine.crashed for e in engines.values()),
        "served_10": served(10.0),
        "served_30": served(30.0),
        "full": max(full, default=0.0),
        "opened": len(full),
        "most": max(e.peak_work_ns for e in engines.values()) / budget,
        "probes": max(map(busiest, probes)),
        "pushed": max(pushed(e.machine) for e in engines.values()),
    }


def pushed(machine: Machine) -> float:
    """The most that an engine was sent within its time to fall while it was cold, against its
    contract.
    """
    came = [
        (r.begun_ns, r.work_ns)
        for r in machine.ledger
        if r.begun_ns < machine.started_ns + machine.warm_up_ns
    ]
    worst, first_, within = 0.0, 0, 0.0
    for at, work in came:
        within += work
        while came[first_][0] <= at - machine.overload_window_ns:
            within -= came[first_][1]
            first_ += 1
        worst = max(
            worst,
            within
            / (
                machine.overload_multiple
                * machine.capacity_fraction(at)
                * machine.cores
                * machine.overload_window_ns
            ),
        )
    return worst


def cold_worlds(figures: Figures, seeds: int, sizes: tuple[int, ...], seconds: float) -> None:
    for size in sizes:
        for paced, name in ((False, "before"), (True, "paced")):
            runs = [cold_world(size, seed, paced, seconds) for seed in range(1, seeds + 1)]
            at = f"cold_world.{name}_{size}"
            figures.tell(
                f"{at}.engines_fallen", sum(r["fallen"] for r in runs), most=0 if paced else None
            )
            figures.tell(
                f"{at}.sent_while_cold_against_contract",
                max(r["pushed"] for r in runs),
                most=1.0 if paced else None,
            )
            figures.tell(f"{at}.work_in_hand_against_contract", max(r["most"] for r in runs))
            figures.tell(
                f"{at}.probes_of_one_engine_in_the_busiest_second", max(r["probes"] for r in runs)
            )
            for part in ("served_10", "served_30"):
                figures.tell(f"{at}.{part}", sum(r[part] for r in runs) / len(runs))
            if paced:
                figures.tell(
                    f"{at}.all_full_s",
                    max(r["full"] for r in runs),
                    most=2 * call_window_ns(size, RATE) / S + 2 + 4 * 8,
                )
                figures.tell(
                    f"{at}.at_their_whole_share", min(r["opened"] for r in runs) / size, least=1.0
                )


def curves(figures: Figures, seeds: int, sizes: tuple[int, ...]) -> dict[str, list[float]]:
    kept: dict[str, list[float]] = {}
    away = {0.0: (), 30.0: (Fault(0.0, 30.0, "bus", FaultKind.REJECT),), 10.5: FAULTS}
    for last, faults in away.items():
        for size in sizes:
            for paced, name in ((False, "before"), (True, "paced")):
                runs = [simulated(size, seed, paced, faults) for seed in range(seeds)]
                at = f"simulated.{name}_{size}_faults_{last:g}"
                figures.tell(
                    f"{at}.list_calls_in_the_busiest_second",
                    max(busiest(r["calls"]) for r in runs),
                    most=RATE + 2 if paced else None,
                )
                figures.tell(
                    f"{at}.probes_of_one_engine_in_the_busiest_second",
                    max(busiest(r["probes"]) for r in runs),
                    most=42 if paced else None,
                )
                figures.tell(
                    f"{at}.all_full_s",
                    max(max(r["full"]) for r in runs),
                    most=last + 6 * call_window_ns(size, RATE) / S + 10 if paced else None,
                )
                kept[f"{name} {size}, faults until {last:g} s"] = runs[0]["calls"]
    return kept


def plot(path: str, kept: dict[str, list[float]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(kept), 1, sharex=True, figsize=(8, 1.6 * len(kept)))
    for axis, (name, calls) in zip(axes, kept.items(), strict=True):
        axis.hist(calls, bins=range(0, int(max(calls)) + 2))
        axis.axhline(RATE, linestyle="--")
        axis.set_title(f"calls a second on the list service: {name}", fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


async def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--base", default=BASE)
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--plot", default="")
    given = parser.parse_args()
    figures = Figures()
    kept = curves(figures, 2 if given.quick else 20, (10, 100) if given.quick else (10, 100, 1_000))
    cold_worlds(
        figures,
        1 if given.quick else 2,
        (10,) if given.quick else (10, 100, 1_000),
        16.0 if given.quick else 40.0,
    )
    if given.plot:
        plot(given.plot, kept)
    count = given.count or (24 if given.quick else 200)
    engines, until = max(3, count // 10), 6.0 if given.quick else 30.0
    few = min(count, 24)
    runs: list[tuple[str, int, int, Sequence[Fault], int]] = [
        (f"paced_{count}", count, engines, (), 0),
        (f"faults_{few}", few, 3, FAULTS, 0),
    ]
    if not given.quick:
        runs.append((f"slow_{count}", count, engines, SLOW, GONE))
    for name, size, pool, faults, gone in runs:
        got = await mass_start(size, pool, ROOT, SCRIPT, 60.0, until, faults, gone)
        tell(figures, f"processes.{name}", got, size, True, size * gone * BYTES / 1e6)
    if not given.quick:
        with worktree(given.base) as tree:
            for name, faults, gone in (("before", (), 0), ("before_slow", SLOW, GONE)):
                tell(
                    figures,
                    f"processes.{name}_{count}",
                    await mass_start(count, engines, tree, "", 60.0, until, faults, gone),
                    count,
                    False,
                )
    return figures.exit()


if __name__ == "__main__":
    sys.exit(uvloop.run(main()))
