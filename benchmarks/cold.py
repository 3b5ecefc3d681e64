"""What cold engines are sent by all brokers together: `python -m benchmarks.cold [--quick]`.

The decisions of 1 to 200 brokers before machines on a simulated clock. Engines join, others start
anew under their old names, under a burst; each broker hears of it after a while of its own, and
some get several times the mean of the traffic. An engine's budget is N: what it can do then, by its
own pace, times the contract's multiple and time, in requests of mean work; N + 2 x root of N + 2 is
chance.
"""

from __future__ import annotations

import argparse
import itertools
import math
import sys
from dataclasses import dataclass
from functools import partial

from query_broker.decisions.facade import (
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
)
from query_broker.emulator.decision_simulation import (
    BEGIN_NS,
    Completion,
    SimulatedBroker,
    SimulatedEngine,
    Simulation,
)
from query_broker.emulator.machine import Machine

from .former_harness import Figures
from .start import sim_settings

S = 1_000_000_000
WIDE = 0.1  # of the requests
MEAN = (1 - WIDE) * S / 5 + WIDE * 4 * S
LOAD, BURST = 0.6, 1.5  # of what the warm engines can do; times that from the first start on
HEARD = 2.0  # s in which all hear of a start; each when it likes
FAVOURED = (0.1, 5.0)  # so many brokers get so many times the others' traffic
JOINS, REBORN = 5.0, 20.0  # s after the beginning
SECONDS = 36.0


@dataclass(slots=True)
class Cold:
    """A cold engine, what came to it: when, of which work, from a broker that had been told."""

    engine: SimulatedEngine
    came: list[tuple[int, float, bool]]


def worst(cold: Cold) -> tuple[float, float, float]:
    """Of any window: the calls of mean work against N and against what chance allows, where two
    thirds came from brokers that had been told; and against N whoever sent them.
    """
    machine, against, chance, whoever = cold.engine.machine, 0.0, 0.0, 0.0
    first, within, told = 0, 0.0, 0.0
    for at, work, known in cold.came:
        if at >= machine.started_ns + machine.warm_up_ns:
            break
        within, told = within + work, told + work * known
        while cold.came[first][0] <= at - machine.overload_window_ns:
            within, told = (
                within - cold.came[first][1],
                told - cold.came[first][1] * cold.came[first][2],
            )
            first += 1
        n = (
            machine.overload_multiple
            * machine.capacity_fraction(at)
            * machine.cores
            * machine.overload_window_ns
            / MEAN
        )
        calls = within / MEAN
        whoever = max(whoever, calls / n)
        if told * 3 > within * 2:
            against = max(against, calls / n)
            chance = max(chance, calls / (n + 2 * math.sqrt(n) + 2))
    return against, chance, whoever


def world(brokers: int, seed: int) -> dict[str, float]:  # noqa: C901  # one scenario, told in order
    sim = Simulation(seed)
    count = max(4, min(80, 2 * brokers // 5))
    names = sim.random.sample(range(1 << 32), count + max(1, count // 5))
    old, new = names[:count], names[count:]
    engines = {n: SimulatedEngine(sim, n, Machine()) for n in old}
    watched: list[Cold] = []
    members: list[SimulatedBroker] = []
    # broker, engine: when it heard of the engine's last start
    heard: dict[tuple[int, int], int] = {}

    def tell(broker: SimulatedBroker, number: int) -> None:
        heard[broker.settings.broker_index, number] = sim.now_ns
        broker.report(
            EndpointListUpdate(
                ListUpdateKind.CHANGES,
                (
                    EndpointEntry(
                        number,
                        EndpointState.READY,
                        "a",
                        "std",
                        started_ns=engines[number].machine.started_ns,
                    ),
                ),
            )
        )

    def starts(number: int) -> None:
        if (was := engines.get(number)) is not None:
            askers, was.completions = was.completions, {}
            for done in askers.values():
                done(AttemptResult.RESET)
            was.machine.running.clear()
            was.machine = Machine(started_ns=sim.now_ns)
            engine = was
        else:
            engine = engines[number] = SimulatedEngine(sim, number, Machine(started_ns=sim.now_ns))
        cold = Cold(engine, [])
        watched.append(cold)
        take, born = engine.execute, engine.machine

        def taken(
            query_id: bytes,
            request_class: str,
            work_ns: float,
            threads: int,
            completion: Completion,
        ) -> None:
            if engine.machine is born:
                me = int(query_id.split(b"/")[0])
                cold.came.append(
                    (sim.now_ns, work_ns, heard.get((me, number), -1) >= born.started_ns)
                )
            take(query_id, request_class, work_ns, threads, completion)

        engine.execute = taken  # type: ignore[method-assign]
        for broker in members:
            sim.call_at(
                sim.now_ns + int(sim.random.random() * HEARD * S), partial(tell, broker, number)
            )

    for me in range(brokers):
        broker = SimulatedBroker(sim, sim_settings(me, brokers), me, engines)
        broker.announce_endpoints()
        members.append(broker)
    for number in new:
        sim.call_at(BEGIN_NS + int((JOINS + sim.random.random()) * S), partial(starts, number))
    for number in old[: max(1, count // 5)]:
        sim.call_at(BEGIN_NS + int((REBORN + sim.random.random()) * S), partial(starts, number))
    favoured, asked = max(1, int(FAVOURED[0] * brokers)), itertools.count()
    parts = [FAVOURED[1]] * favoured + [1.0] * (brokers - favoured)

    def arrive() -> None:
        load = LOAD * (BURST if sim.now_ns > BEGIN_NS + JOINS * S else 1.0) * 8 * count
        sim.call_at(sim.now_ns + int(sim.random.expovariate(1) * MEAN / load), arrive)
        wide = sim.random.random() < WIDE
        work = sim.random.uniform(0.5, 1.5) * (4 * S if wide else S // 5)
        sim.random.choices(members, parts)[0].send_request(
            str(next(asked)),
            "report" if wide else "glance",
            work,
            4 if wide else 1,
            (20 if wide else 5) * S,
        )

    arrive()
    sim.run(SECONDS)
    found = [worst(cold) for cold in watched]
    done = [a for b in members for a in b.requests.values()]
    return {
        "against_n": max(f[0] for f in found),
        "against_chance": max(f[1] for f in found),
        "against_n_whoever_sent": max(f[2] for f in found),
        "starts": len(found),
        "past_n": sum(f[0] > 1 for f in found),
        "fallen": sum(e.machine.crashed for e in engines.values()),
        "served": sum(a[3] for a in done) / len(done),
        "calls": sum(len(c.came) for c in watched) / len(watched),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seeds", type=int, default=0)
    given = parser.parse_args()
    figures = Figures()
    for brokers in (1, 3) if given.quick else (1, 3, 20, 30, 200):
        runs = [
            world(brokers, seed)
            for seed in range(1, 1 + (given.seeds or (1 if given.quick else 3)))
        ]
        at = f"cold.{brokers}_brokers"
        figures.tell(f"{at}.starts", sum(r["starts"] for r in runs))
        figures.tell(f"{at}.calls_to_one_while_watched", sum(r["calls"] for r in runs) / len(runs))
        figures.tell(f"{at}.sent_against_n", max(r["against_n"] for r in runs))
        figures.tell(f"{at}.sent_against_chance", max(r["against_chance"] for r in runs), most=1.0)
        figures.tell(f"{at}.starts_past_n", sum(r["past_n"] for r in runs))
        figures.tell(
            f"{at}.sent_against_n_whoever_sent", max(r["against_n_whoever_sent"] for r in runs)
        )
        figures.tell(f"{at}.engines_fallen", sum(r["fallen"] for r in runs))
        figures.tell(f"{at}.served", min(r["served"] for r in runs))
    return figures.exit()


if __name__ == "__main__":
    sys.exit(main())
