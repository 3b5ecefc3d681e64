"""How fast, and how wrongly, brokers find out which of them are there: `python -m
benchmarks.members [--quick]`.

On a simulated clock beside plain SWIM and plain heartbeats on the same seeds; on real processes
with quiet and with busy cores; every order of events of three members; the processor time of a
request with and without it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from query_broker.emulator.clients import quantile
from query_broker.emulator.cluster import World, config, settings, tenants
from query_broker.emulator.faulty_links import Fault, Kind, RelayNet, Script
from query_broker.emulator.membership_simulation import BEGIN, MemberWorld
from query_broker.emulator.processes import Fleet, free_ports
from query_broker.membership.codec import peek_sender
from query_broker.membership.messages import Status
from query_broker.membership.settings import MembersTerms, bounds, shortest

from .cells import _ask_many
from .harness import ROOT, Daemon, Figures, worktree

S = 1_000_000_000
BASE = "37be46c"  # the last landing before brokers knew of each other
TERMS = MembersTerms()
SETTLED = 5.0  # s before the first fault
LOSSES, PAUSED = (0.0, 0.1, 0.3), (0.0, 0.01, 0.05, 0.1)
PAUSE, WATCHED = 10.0, 30.0
SLACK = 1.5  # real processes may take so many times the bound of the simulated clock


# --- one run each, in a process of its own ---


def detection(count: int, loss: float, plain: bool, seed: int) -> tuple[float, float, float]:
    """Seconds until the first suspects one that has ended, until nobody holds it, and bytes a
    second a member before that.
    """
    terms = MembersTerms(plain=plain)
    world = MemberWorld(count, terms, seed, (lambda now, a, b: loss) if loss else None)
    world.run(SETTLED)
    traffic = sum(world.sent.values()) / count / SETTLED
    victim = world.members[count // 2].detector.me
    world.kill([count // 2])
    ended = world.now
    world.run(
        2 * bounds(terms, count)["removed_worst"],
        lambda: not any(victim in m.detector.there() for m in world.living()),
    )
    first = min(
        (
            at
            for m in world.members
            for at, c in m.seen
            if c.id == victim and at > ended and c.status is Status.SUSPECT
        ),
        default=world.now,
    )
    last = max((at for at, _, _ in world.removals([victim])), default=world.now)
    if any(victim in m.detector.there() for m in world.living()):
        last = world.now
    return (first - ended) / S, (last - ended) / S, traffic


def mistakes(
    count: int, loss: float, paused: float, plain: bool, seed: int
) -> tuple[int, int, int]:
    """Removals of members that were up all the time; of those by members that had stood still;
    removals of members while they stood still.
    """
    world = MemberWorld(
        count, MembersTerms(plain=plain), seed, (lambda now, a, b: loss) if loss else None
    )
    world.run(SETTLED)
    asleep = set(world.draw.sample(range(count), max(1, round(paused * count)) if paused else 0))
    world.pause(asleep, PAUSE)
    world.run(WATCHED)
    awake = {m.detector.me for m in world.members if m.number not in asleep}
    wrong = world.removals(awake)
    return (
        len(wrong),
        sum(by in asleep for _, by, _ in wrong),
        sum(id not in awake for _, _, id in world.removals()),
    )


def heartbeats(count: int, loss: float, paused: float, seed: int) -> tuple[int, int]:
    """The same for each telling all others each interval that it is there, held to be gone after as
    long as our shortest suspicion and a probe.
    """
    draw = random.Random(seed)
    allowed = 1 + shortest(S, count) / S
    asleep = set(draw.sample(range(count), max(1, round(paused * count)) if paused else 0))
    heard = [[0.0] * count for _ in range(count)]
    gone: set[tuple[int, int]] = set()
    for second in range(int(WATCHED)):
        for a in range(count):
            if a in asleep and second < PAUSE:
                continue
            row = heard[a]
            for b in range(count):
                # What it is told while it stands still waits for it: it looks at its timers first.
                still = b in asleep and second < PAUSE or a in asleep and second <= PAUSE
                if not still and draw.random() >= loss:
                    row[b] = second
                if a != b and second - row[b] > allowed:
                    gone.add((a, b))
    awake = [(a, b) for a, b in gone if b not in asleep]
    return len(awake), sum(a in asleep for a, b in awake)


def healing(count: int, seed: int) -> tuple[float, float]:
    """Seconds from the end of a cut into halves, of 60 s, until all agree, and messages a second a
    member.
    """

    def cut(now: int, a: int, b: int) -> float:
        return float(
            SETTLED * S <= now - BEGIN < (SETTLED + 60) * S and (a < count // 2) != (b < count // 2)
        )

    world = MemberWorld(count, TERMS, seed, cut)
    world.run(SETTLED + 60)
    healed, messages = world.now, world.messages
    world.run(240, world.agree)
    took = (world.now - healed) / S
    return took, (world.messages - messages) / count / max(1.0, took)


def spread(pool: Any, one: Callable[[int], Any], seeds: int) -> list[Any]:
    return list(pool.imap_unordered(one, range(1, seeds + 1), max(1, seeds // 64)))


def quantiles(
    figures: Figures, name: str, values: list[float], bound: dict[str, float] | None
) -> None:
    what = name.rpartition(".")[2]
    for part, value in (
        ("median", statistics.median(values)),
        ("p99", quantile(values, 0.99)),
        ("worst", max(values)),
    ):
        figures.tell(
            f"{name}_{part}_s", value, most=None if bound is None else bound[f"{what}_{part}"]
        )


def removals(
    figures: Figures, pool: Any, count: int, runs: int, loss: float, paused: float
) -> None:
    where = f"{count}_loss_{loss:g}_paused_{paused:g}"
    for plain, name in ((False, "ours"), (True, "swim")):
        got = spread(pool, partial(mistakes, count, loss, paused, plain), runs)
        figures.tell(
            f"simulated.{name}_{where}.healthy_removed",
            sum(g[0] for g in got),
            most=0 if not plain and loss <= 0.1 else None,
        )
        figures.tell(
            f"simulated.{name}_{where}.by_one_that_stood_still",
            sum(g[1] for g in got),
            most=None if plain else 0,
        )
        figures.tell(
            f"simulated.{name}_{where}.removed_while_it_stood_still", sum(g[2] for g in got)
        )
    if count <= 100:
        beats = spread(pool, partial(heartbeats, count, loss, paused), min(runs, 50))
        figures.tell(
            f"simulated.heartbeats_{where}.healthy_removed",
            sum(b[0] for b in beats) * runs // len(beats),
        )


def simulated(
    figures: Figures, seeds: dict[int, int], losses: Iterable[float], paused: Iterable[float]
) -> None:
    with multiprocessing.get_context("fork").Pool(len(os.sched_getaffinity(0))) as pool:
        for count, runs in seeds.items():
            for plain, name in ((False, "ours"), (True, "swim")):
                took = spread(pool, partial(detection, count, 0.0, plain), runs)
                bound = None if plain else bounds(TERMS, count)
                quantiles(
                    figures, f"simulated.{name}_{count}.suspected", [t[0] for t in took], bound
                )
                quantiles(figures, f"simulated.{name}_{count}.removed", [t[1] for t in took], bound)
                figures.tell(
                    f"simulated.{name}_{count}.bytes_a_second",
                    statistics.median([t[2] for t in took]),
                    most=None if plain else 600.0,
                )
            for loss in losses:
                for share in paused:
                    removals(figures, pool, count, runs, loss, share)
            healed = spread(pool, partial(healing, count), max(1, runs // 20))
            figures.tell(
                f"simulated.ours_{count}.agree_after_healing_s",
                max(h[0] for h in healed),
                most=120.0,
            )
            figures.tell(
                f"simulated.ours_{count}.messages_a_second_while_it_heals",
                max(h[1] for h in healed),
                most=30.0,
            )


# --- real processes ---


def _busy(until: float) -> None:
    while time.monotonic() < until:
        sum(range(1_000))


async def processes(figures: Figures, count: int, kills: int, busy: bool, interval: float) -> None:
    """A third of all messages lost for ten seconds, a pause, then kills one after the other."""
    name = f"processes.{count}_{'busy' if busy else 'quiet'}"
    limits = {**settings()["policy_limits"], "peer_messages": True}
    world = World()
    await world.start("s-1")
    net = RelayNet(Script([], time.monotonic), peek_sender)
    addresses = [f"127.0.0.1:{p}" for p in free_ports(count)]
    bound = bounds(MembersTerms(interval=int(interval * S)), count)
    with tempfile.TemporaryDirectory() as folder:
        keys = Path(folder) / "keys"
        keys.write_text("1 " + "ab" * 32)

        def script(number: int, port: int) -> str:
            given = {
                "address": f"127.0.0.1:{port}",
                "advertise": addresses[number],
                "key_file": str(keys),
                "installation": "bench",
                "seeds": addresses[:3],
                "interval": interval,
                "settle": 1,
            }
            return "members(" + ", ".join(f"{k} = {json.dumps(v)}" for k, v in given.items()) + ")"

        with Fleet(
            count, config(world, "", fleet_size=count, policy_limits=limits), script
        ) as fleet:
            for member, address in zip(fleet.members, addresses, strict=True):
                await net.add(f"n{member.number}", member.peers, int(address.rpartition(":")[2]))
            begun = time.monotonic()
            await asyncio.to_thread(fleet.start)

            def held(member: Any) -> set[str]:
                try:
                    said = member.status("/members")
                except OSError:
                    return set()
                return {
                    said["me"],
                    *(m["address"] for m in said["members"] if m["status"] in ("alive", "suspect")),
                }

            async def all_hold(living: list[Any], wanted: set[str], seconds: float) -> float:
                start = time.monotonic()
                waiting = list(living)
                while waiting and time.monotonic() < start + seconds:
                    views = await asyncio.gather(*(asyncio.to_thread(held, m) for m in waiting))
                    waiting = [m for m, view in zip(waiting, views, strict=True) if view != wanted]
                    await asyncio.sleep(0.02)
                return time.monotonic() - start if not waiting else float("inf")

            living = list(fleet.members)
            await all_hold(living, set(addresses), 30)
            figures.tell(f"{name}.all_agree_after_start_s", time.monotonic() - begun, most=20.0)
            burners = []
            if busy:
                end = time.monotonic() + 120
                burners = [
                    multiprocessing.get_context("fork").Process(
                        target=_busy, args=(end,), daemon=True
                    )
                    for _ in os.sched_getaffinity(0)
                ]
                for burner in burners:
                    burner.start()
            now = net.script.now()
            net.script.faults.append(Fault(now, now + 10, "*", Kind.DROP, share=0.33))
            await asyncio.sleep(10)
            net.script.faults.clear()
            figures.tell(
                f"{name}.healthy_removed_with_a_third_lost",
                sum(m.status("/members")["figures"].get("removals", 0) for m in living),
                most=0,
            )
            removed = []
            for i in range(kills):
                victim = living.pop(1 + i)
                victim.kill()
                removed.append(await all_hold(living, {addresses[m.number] for m in living}, 60))
            for burner in burners:
                burner.kill()
                burner.join()
            figures.tell(
                f"{name}.removed_median_s",
                statistics.median(removed),
                most=SLACK * bound["removed_p99"],
            )
            figures.tell(
                f"{name}.removed_worst_s", max(removed), most=SLACK * bound["removed_worst"]
            )
            said = living[0].status("/members")["figures"]
            figures.tell(
                f"{name}.bytes_out_a_second", said["bytes_out"] / (time.monotonic() - begun)
            )
    net.stop()
    world.stop()


# --- the ordinary path ---


async def costs(
    figures: Figures,
    rounds: int,
    count: int,
    what: str = "members",
    words: str = "",
    most_on: float = 1.05,
) -> None:
    """Processor time of a request: the program before, this one without the words, with them among
    24 members. ``words``: beside `members`.
    """
    world = World()
    await world.start("s-1", "s-2", "s-3")
    limits = {**settings()["policy_limits"], "peer_messages": True}
    peers: list[Daemon] = []
    with tempfile.TemporaryDirectory() as folder, worktree(BASE) as before:
        keys = Path(folder) / "keys"
        keys.write_text("1 " + "ab" * 32)
        ports = free_ports(24)

        def word(number: int) -> str:
            return (
                f'members(address = "127.0.0.1:{ports[number]}", key_file = "{keys}", '
                f'installation = "b", seeds = ["127.0.0.1:{ports[0]}"])' + words
            )

        more: dict[str, Any] = {
            "fleet_size": 24,
            "policy_limits": limits,
            "tenants": tenants("t0", "t1", "t2", "t3"),
        }
        running = {
            "before": await Daemon(before, world, **more).start(),
            "off": await Daemon(ROOT, world, **more).start(),
            "on": await Daemon(ROOT, world, word(0), **more).start(),
        }
        peers = [await Daemon(ROOT, world, word(i), **more).start() for i in range(1, 24)]
        spent: dict[str, list[float]] = {name: [] for name in running}
        for daemon in running.values():
            daemon.pin()
        for turn in range(rounds + 1):
            for name in list(running)[:: 1 if turn % 2 else -1]:
                cost = await _ask_many(running[name], count)
                if turn:
                    spent[name].append(cost)
        for name, most in (("off", 1.03), ("on", most_on)):
            ratios = [a / b for a, b in zip(spent[name], spent["before"], strict=True)]
            figures.tell(
                f"costs.{what}_{name}_against_before", statistics.median(ratios), most=most
            )
            figures.tell(f"costs.{what}_{name}_against_before_least", min(ratios))
            figures.tell(f"costs.{what}_{name}_against_before_greatest", max(ratios))
        for name, daemon in running.items():
            figures.tell(f"costs.{what}_{name}_memory_mb", daemon.memory_mb())
        used = running["on"].used()
        await asyncio.sleep(5)
        figures.tell(
            f"costs.{what}_idle_ms_of_processor_a_second_with_24_members",
            (running["on"].used() - used) / 5e6,
            most=20.0,
        )
        for daemon in [*running.values(), *peers]:
            daemon.stop()
    world.stop()


def model(figures: Figures, depth: int) -> None:
    sys.path.insert(0, str(ROOT))
    from tests.members_model import Broken, explore

    try:
        states, settled = explore(depth, 25)
    except Broken as broken:
        print(f"# {broken}")
        states, settled = 0, 0
    figures.tell(f"model.states_to_depth_{depth}", states, least=1)
    figures.tell("model.states_that_agree_once_messages_flow", settled, least=1)


async def real(figures: Figures, quick: bool) -> None:
    if quick:
        await processes(figures, 8, 1, False, 0.25)
        return
    for busy in (False, True):
        await processes(figures, 24, 4, busy, 1.0)
    await costs(figures, 12, 400)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--part", choices=("simulated", "model", "real"), default="")
    given = parser.parse_args()
    figures, quick = Figures(), given.quick
    if given.part in ("", "simulated"):
        if quick:
            simulated(figures, {10: 24, 60: 8}, (0.1,), (0.0, 0.1))
        else:
            simulated(figures, {10: 1_000, 100: 100}, LOSSES, PAUSED)
            simulated(figures, {1_000: 8}, (0.1,), (0.0, 0.1))
    if given.part in ("", "model"):
        model(figures, 3 if quick else 6)
    if given.part in ("", "real"):
        uvloop.run(real(figures, quick))
    return figures.exit()


if __name__ == "__main__":
    sys.exit(main())
