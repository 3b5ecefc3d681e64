"""What a larger fleet costs one broker: `python -m benchmarks.fleet [--quick] [--base REV]`."""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any

import uvloop

from query_broker import decisions as api
from query_broker.decisions.controller import AdmissionController
from query_broker.emulator.cluster import EmulatedCluster, tenant_settings

from .cells import _ask_many
from .former_harness import ROOT, Daemon, Figures, package_of, worktree

MS = 1_000_000
S = 1_000 * MS
BASE = "649d4a1"  # the last commit before brokers used a part of the engines
SIZES = ((6, 3), (60, 40))  # engines, brokers
# The same steps in the names of each tree: those of the package `larchhall` are older than BASE.
DECIDE = """
import json, random, sys, time
from query_broker import decisions as api
from query_broker.decisions.facade import AttemptEnded, ListUpdateKind, EndpointListUpdate
from query_broker.decisions.facade import AttemptResult, Facade, RequestArrived
from query_broker.timer_wheel import TimerWheel
engines, brokers, count = map(int, sys.argv[1:])
S = 10**9
classes = (api.RequestClass("glance", S, 5 * S, 1.0),
           api.RequestClass("report", 3 * S // 2, 20 * S, 10.0, threads=4))
settings = api.Settings(
    classes=classes, fleet_size=brokers, tick_ns=5_000_000, kind_cores=(("std", 8),))
draw, now = random.Random(11), 100 * S
wheel = TimerWheel(settings.tick_ns, now)
facade = Facade(settings, 7, now, wheel)
entries = tuple(
    api.EndpointEntry(draw.randrange(1 << 32), api.EndpointState.READY, "ab"[i % 2], "std")
    for i in range(engines))
facade.report(now, EndpointListUpdate(ListUpdateKind.FULL, entries))
out = []
def step(i):
    global now
    now += 120_000_000 // 12
    wheel.advance(now)
    while facade.due:
        facade.tick(now)
    route, work = ("report", 4 * S) if draw.random() < 0.05 else ("glance", S // 5)
    query = RequestArrived(str(i), route, 5 * S, None, None, work, 10.0, draw.randrange(40), False)
    orders = facade.pick(now, query)
    out.extend((s, now) for s in orders.dispatches)
    while out and (len(out) > 6 or out[0][1] < now - S // 4):
        send, sent = out.pop(0)
        served = AttemptResult.SERVED
        ended = AttemptEnded(send.request_id, send.attempt, send.endpoint, served, now - sent, True)
        facade.report(now, ended)
        facade.forget(send.request_id)
for i in range(300):
    step(i)
begun = time.process_time_ns()
for i in range(300, 300 + count):
    step(i)
print((time.process_time_ns() - begun) / count / 1e3)
"""
DECIDE_LARCHHALL = """
import json, random, sys, time
from larchhall import interface as api
from larchhall.facade import Ended, EngineNews, Facade, Query, Result
from larchhall.state.wheel import Wheel
engines, brokers, count = map(int, sys.argv[1:])
S = 10**9
classes = (api.RequestClass("glance", S, 5 * S, 1.0),
           api.RequestClass("report", 3 * S // 2, 20 * S, 10.0, threads=4))
settings = api.Settings(
    classes=classes, fleet_size=brokers, tick=5_000_000, kind_cores=(("std", 8),))
draw, now = random.Random(11), 100 * S
wheel = Wheel(settings.tick, now)
facade = Facade(settings, 7, now, wheel)
facade.report(now, EngineNews(True, tuple(api.EngineEntry(
    draw.randrange(1 << 32), api.EngineState.READY, "ab"[i % 2], "std") for i in range(engines))))
out = []
def step(i):
    global now
    now += 120_000_000 // 12
    wheel.advance(now)
    while facade.due:
        facade.tick(now)
    route, work = ("report", 4 * S) if draw.random() < 0.05 else ("glance", S // 5)
    query = Query(str(i), route, 5 * S, None, work, 10.0, draw.randrange(40), False)
    orders = facade.pick(now, query)
    out.extend((s, now) for s in orders.sends)
    while out and (len(out) > 6 or out[0][1] < now - S // 4):
        send, sent = out.pop(0)
        ended = Ended(send.request, send.attempt, send.engine, Result.SERVED, now - sent, True)
        facade.report(now, ended)
        facade.forget(send.request)
for i in range(300):
    step(i)
begun = time.process_time_ns()
for i in range(300, 300 + count):
    step(i)
print((time.process_time_ns() - begun) / count / 1e3)
"""


def decide(tree: Path, engines: int, brokers: int, count: int) -> float:
    """Microseconds of processor time in the decisions for a request, its outcome and its timers."""
    text = DECIDE if package_of(tree) == "query_broker" else DECIDE_LARCHHALL
    done = subprocess.run(
        [sys.executable, "-c", text, str(engines), str(brokers), str(count)],
        env={**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"},
        cwd=tree,
        capture_output=True,
        text=True,
        check=True,
    )
    return float(done.stdout)


def decisions(figures: Figures, before: Path, rounds: int, count: int) -> None:
    trees = {"before": before, "now": ROOT}
    costs: dict[tuple[str, int], list[float]] = {(t, n): [] for t in trees for n, _ in SIZES}
    for turn in range(rounds):
        order = [(t, n, b) for t in trees for n, b in SIZES]
        random.Random(turn).shuffle(order)
        for tree, engines, brokers in order:
            costs[tree, engines].append(decide(trees[tree], engines, brokers, count))
    for (tree, engines), values in costs.items():
        figures.tell(f"decisions.{tree}_{engines}_engines_us", statistics.median(values))
    for engines, most in ((6, 1.15), (60, 1.0)):
        ratios = [
            n / b for n, b in zip(costs["now", engines], costs["before", engines], strict=True)
        ]
        figures.tell(
            f"decisions.now_against_before_{engines}", statistics.median(ratios), most=most
        )
        figures.tell(f"decisions.now_against_before_{engines}_least", min(ratios))
        figures.tell(f"decisions.now_against_before_{engines}_greatest", max(ratios))
    for tree in trees:
        ratios = [a / b for a, b in zip(costs[tree, 60], costs[tree, 6], strict=True)]
        figures.tell(
            f"decisions.{tree}_60_engines_against_6",
            statistics.median(ratios),
            most=4.0 if tree == "now" else None,
        )


def settings(me: int, brokers: int) -> api.Settings:
    classes = (
        api.RequestClass("glance", S, 5 * S, 1.0),
        api.RequestClass("report", 3 * S // 2, 20 * S, 10.0, threads=4),
    )
    return api.Settings(
        classes=classes,
        fleet_size=brokers,
        broker_index=me,
        tick_ns=5 * MS,
        kind_cores=(("std", 8),),
        contract=api.Contract(
            warmup_initial_capacity=0.36,
            warmup_ns=12 * S,
            overload_window_ns=1_500 * MS,
            overload_multiple=2.0,
        ),
    )


def spread(figures: Figures) -> None:
    """How many engines a broker uses, and how evenly all brokers together use them."""
    for engines, brokers in ((6, 3), (30, 40), (60, 40), (60, 200)):
        uids = random.Random(5).sample(range(1 << 32), engines)
        used = dict.fromkeys(uids, 0)
        news = api.EndpointListUpdate(
            api.ListUpdateKind.FULL,
            tuple(api.EndpointEntry(u, api.EndpointState.READY, "a", "std") for u in uids),
        )
        for me in range(brokers):
            controller = AdmissionController(settings(me, brokers), me, 0)
            controller.handle(0, news)
            for engine in controller.pool.subset:
                used[engine.entry.endpoint] += 1
        mean = sum(used.values()) / engines
        name = f"spread.{brokers}_brokers_{engines}_engines"
        figures.tell(f"{name}_each_uses", sum(used.values()) / brokers, most=10)
        figures.tell(f"{name}_most_used_against_mean", max(used.values()) / mean, most=1.3)
        figures.tell(f"{name}_least_used_against_mean", min(used.values()) / mean, least=0.7)


async def daemons(figures: Figures, before: Path, rounds: int, count: int) -> None:
    """The whole daemon before 60 engines of a fleet of 40 brokers."""
    world = EmulatedCluster()
    await world.start(*(f"s-{i}" for i in range(60)))
    changes: dict[str, Any] = {
        "tenants": tenant_settings("t0", "t1", "t2", "t3"),
        "fleet_size": 40,
        "limits": {"sockets": 384, "memory_mb": 80},
        "charges": {"handshake": 0.08},
    }
    running = {
        "before": await Daemon(before, world, **changes).start(),
        "now": await Daemon(ROOT, world, **changes).start(),
    }
    costs: dict[str, list[float]] = {name: [] for name in running}
    for daemon in running.values():
        daemon.pin()
    for turn in range(rounds + 1):
        for name in list(running)[:: 1 if turn % 2 else -1]:
            cost = await _ask_many(running[name], count)
            if turn:
                costs[name].append(cost)
    for name, daemon in running.items():
        figures.tell(f"daemon.{name}_us", statistics.median(costs[name]))
        figures.tell(
            f"daemon.{name}_memory_mb", daemon.memory_mb(), most=48 if name == "now" else None
        )
        figures.tell(
            f"daemon.{name}_descriptors",
            len(os.listdir(f"/proc/{daemon.process.pid}/fd")),
            most=128 if name == "now" else None,
        )
        daemon.stop()
    ratios = [a / b for a, b in zip(costs["now"], costs["before"], strict=True)]
    figures.tell("daemon.now_against_before", statistics.median(ratios), most=1.05)
    figures.tell("daemon.now_against_before_least", min(ratios))
    figures.tell("daemon.now_against_before_greatest", max(ratios))
    world.stop()


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--base", default=BASE)
    chosen = parser.parse_args()
    quick, figures = chosen.quick, Figures()
    print(f"# {json.dumps({'seeds': [5, 7, 11], 'sizes': SIZES})}")
    spread(figures)
    with worktree(chosen.base) as before:
        decisions(figures, before, 5 if quick else 15, 1_500 if quick else 5_000)
        uvloop.run(daemons(figures, before, 6 if quick else 20, 250 if quick else 500))
    return figures.exit()


if __name__ == "__main__":
    sys.exit(main())
