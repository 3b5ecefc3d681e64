"""What shared limits and verdicts are worth, and what they promise: `python -m benchmarks.shares
[--quick]`.

Schedules of faults on a simulated clock, read by an auditor; uneven traffic beside plain division
and a central counter without faults; how soon all act on a bad engine with and without sharing;
every order of three brokers.
"""

from __future__ import annotations

import argparse
import itertools
import multiprocessing
import os
import random
import sys
from functools import partial
from typing import Any

import uvloop

from query_broker import decisions as api
from query_broker.decisions.facade import AdministrativeChange, AttemptResult
from query_broker.emulator.decision_simulation import BEGIN, SimBroker, SimEngine, Simulation
from query_broker.emulator.machine import Machine
from query_broker.emulator.quota_simulation import ShareWorld, trouble
from query_broker.outlier_consensus.observations import Engine, Evidence, Reports
from query_broker.outlier_consensus.settings import VerdictTerms, rounds
from query_broker.quotas.settings import LimitTerms, SharesTerms

from .harness import ROOT, Figures
from .member_processes import costs

S = 1_000_000_000
MS = 1_000_000
TERMS = SharesTerms(limits=(LimitTerms("a", rate=100.0), LimitTerms("b", rate=50.0)))
LIMITS = {"a": 100.0, "b": 50.0}
BAD_AT = 5 * S


def schedule(count: int, seconds: float, seed: int) -> tuple[float, float, bool]:
    """By how much a limit was over at the worst, messages a second a broker, whether two homes were
    seen.
    """
    draw = random.Random(seed)
    world = ShareWorld(
        count,
        TERMS,
        LIMITS,
        seed,
        TERMS.drift,
        draw.choice([0.0, 0.1, 0.3]),
        view_delay=draw.choice([S // 2, 4 * S, 10 * S]),
    )
    trouble(world, seed, seconds - 10)
    try:
        world.run(seconds)
    except AssertionError:
        return 0.0, 0.0, True
    return max(world.worst.values()), world.messages / count / seconds, False


def skewed(count: int, seed: int) -> tuple[float, float, float]:
    """Used of a limit that is asked for 1 : 10 : 100: leased, divided, and by a central counter."""
    world = ShareWorld(count, TERMS, LIMITS, seed, TERMS.drift)
    asked = [1.0, 10.0, 100.0]
    scale = 3 * 120.0 / (count * sum(asked))  # in all a fifth more than the limit
    wants = [asked[b.number % 3] * scale for b in world.brokers]
    floor = LIMITS["a"] * TERMS.guaranteed / count
    for broker, want in zip(world.brokers, wants, strict=True):
        broker.leases.want = {"a": max(0.0, want - floor)}
    world.run(30)
    leased = sum(
        min(w, floor + b.leases.amount("a", b.clock(world.now)))
        for b, w in zip(world.brokers, wants, strict=True)
    )
    divided = sum(min(w, LIMITS["a"] / count) for w in wants)
    return leased / LIMITS["a"], divided / LIMITS["a"], min(sum(wants), LIMITS["a"]) / LIMITS["a"]


class Failing(SimEngine):
    """Fails every query from a moment on, at once."""

    def take(self, id: bytes, cls: str, work: float, threads: int, done: Any) -> None:
        if self.sim.now >= BEGIN + BAD_AT:
            self.met = getattr(self, "met", 0) + 1
            self.sim.at(self.sim.now + MS, partial(done, AttemptResult.ERROR))
        else:
            super().take(id, cls, work, threads, done)


def bad_engine(count: int, shared: bool, seed: int) -> tuple[float, float, int]:
    """Seconds from the first failure until the last broker holds the engine out (the run's end: one
    never did), queries that failed there, and brokers that acted.
    """
    sim, terms = Simulation(seed), VerdictTerms()
    numbers = [sim.draw.randrange(1 << 32) for _ in range(max(5, count // 4))]
    bad = Failing(sim, numbers[0], Machine())
    engines: dict[int, SimEngine] = {n: SimEngine(sim, n, Machine()) for n in numbers[1:]}
    engines[numbers[0]] = bad
    classes = (api.RequestClass("glance", S, 5 * S, 1.0),)
    names = [f"b{i}" for i in range(count)]
    zones = {Engine(str(n), 0): "a" for n in numbers}
    acted: dict[str, int] = {}
    first: list[int] = []
    brokers: list[tuple[SimBroker, Evidence]] = []
    for me, name in enumerate(names):
        settings = api.Settings(
            classes=classes,
            fleet_size=count,
            broker_index=me,
            tick_ns=25 * MS,
            kind_cores=(("std", 8),),
            limits=api.Limits(health_checks=True, max_attempts=3, max_retry_after_ns=2 * S),
        )
        broker, evidence = SimBroker(sim, settings, me, engines), Evidence(name, "a", terms)

        def outcome(number: int, result: AttemptResult, evidence: Evidence = evidence) -> None:
            if result is AttemptResult.ERROR and not first:
                first.append(sim.now)
            if result in (AttemptResult.SERVED, AttemptResult.ERROR):
                evidence.outcome(sim.now, Engine(str(number), 0), result is AttemptResult.SERVED)

        broker.outcome = outcome
        broker.list_told()
        brokers.append((broker, evidence))

    def tell(broker: SimBroker, evidence: Evidence) -> None:
        sim.at(sim.now + terms.told, lambda: tell(broker, evidence))
        evidence.report(sim.now)
        rows = Reports(tuple(r for r in evidence.told(sim.now, 16) if r.seen))
        for _, other in sim.draw.sample(brokers, 3) if shared else ():
            sim.at(sim.now + 2 * MS, partial(other.receive, sim.now + 2 * MS, rows, names))
        begun, _ = evidence.judge(sim.now, names, zones)
        for verdict in begun:
            acted.setdefault(evidence.me, sim.now)
            broker.report(AdministrativeChange(int(verdict.engine.uid), True, sim.now))

    for one in brokers:
        sim.at(BEGIN + sim.draw.randrange(terms.told), partial(tell, *one))
    ids, gap = itertools.count(), int(S / (4 * count))

    def arrive() -> None:
        sim.at(sim.now + int(sim.draw.expovariate(1) * gap), arrive)
        sim.draw.choice(brokers)[0].ask(str(next(ids)), "glance", S // 5, 1, 5 * S)

    arrive()
    sim.run(25)
    last = max(acted.values()) if len(acted) == count else sim.now
    return (last - (first[0] if first else sim.now)) / S, getattr(bad, "met", 0), len(acted)


def simulated(
    figures: Figures, sizes: dict[int, tuple[int, float]], engines: tuple[int, ...]
) -> None:
    with multiprocessing.get_context("fork").Pool(len(os.sched_getaffinity(0))) as pool:
        for count, (seeds, seconds) in sizes.items():
            runs = pool.map(partial(schedule, count, seconds), range(seeds), 1)
            figures.tell(f"schedules_{count}.seeds", seeds)
            figures.tell(f"schedules_{count}.breaches", sum(r[0] > 1e-6 for r in runs), most=0)
            figures.tell(f"schedules_{count}.two_homes", sum(r[2] for r in runs), most=0)
            figures.tell(f"schedules_{count}.messages_a_second", max(r[1] for r in runs), most=40.0)
            used = pool.map(partial(skewed, count), range(min(seeds, 8)), 1)
            for part, name in enumerate(("leased", "divided", "central")):
                figures.tell(
                    f"skewed_{count}.{name}",
                    sum(u[part] for u in used) / len(used),
                    least=0.9 if name == "leased" else None,
                )
        for count in engines:
            for shared in (False, True):
                got = pool.map(partial(bad_engine, count, shared), range(1, 5), 1)
                at = f"bad_engine_{count}.{'shared' if shared else 'alone'}"
                figures.tell(
                    f"{at}.until_the_last_acts_s",
                    max(g[0] for g in got),
                    most=2.0 + rounds(count) * VerdictTerms().told / S if shared else None,
                )
                figures.tell(f"{at}.queries_that_failed", sum(g[1] for g in got) / len(got))


def model(figures: Figures, depth: int) -> None:
    sys.path.insert(0, str(ROOT))
    from tests.shares_model import Broken, explore

    try:
        states = explore(depth)
    except Broken as broken:
        print(f"# {broken}")
        states = 0
    figures.tell(f"model.states_to_depth_{depth}", states, least=1)


WORDS = (
    '\nlimit("t0")\nlimit("t1")\nlimit("work", kind = "work")\n'
    'limit("c", kind = "connects", rate = 500)\n'
    "verdicts()"
)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    given = parser.parse_args()
    figures = Figures()
    if given.quick:
        simulated(figures, {10: (48, 60.0)}, (10, 40))
        model(figures, 3)
        return figures.exit()
    simulated(figures, {10: (1_000, 60.0), 100: (48, 60.0), 500: (8, 40.0)}, (10, 100, 500))
    model(figures, 4)
    uvloop.run(costs(figures, 12, 400, "limits", WORDS, 1.08))
    return figures.exit()


if __name__ == "__main__":
    sys.exit(main())
