"""What cells are worth and what they cost: `python -m benchmarks.cells [--quick] [--base REV]`."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

from query_broker.cells.migrations import MigrationRejectedError, Stage
from query_broker.cells.model import Cell, CellMap, Tenant, Timing
from query_broker.cells.node import CellNode
from query_broker.cells.placement import Placement, Seen
from query_broker.cells.planner import Problem, hashed_placement, relative_loads
from query_broker.cells.solver import solve
from query_broker.config import parse
from query_broker.emulator.clients import RequestLog, RequestRecord, quantile
from query_broker.emulator.cluster import EmulatedCluster, broker_config, tenant_settings
from query_broker.emulator.data_engine import statements_run_twice
from query_broker.operator_config.script import evaluate
from query_broker.operator_config.settings import OperatorConfig
from query_broker.protocols import client_frames as frames

from .harness import ROOT, Daemon, Figures, worktree

MS = 1_000_000
S = 1_000 * MS
BASE = "22cc526"  # the last commit before cells
AIM = {"glance": 1 * S, "stock-add": 3 * S}
SPECIFICS = {"size_cores": [4], "parallelism": [1, 2], "memory_heeded": True, "lanes_count": True}


# --- one faulty tenant ---


async def _offer(book: RequestLog, seed: int, seconds: float, faulty: bool) -> None:
    """good, better and best at a third of their cell's work; bad at a hundred times what it
    claims.
    """
    draw, loop = random.Random(seed), asyncio.get_running_loop()
    begun = loop.time()
    rates = {"good": 30.0, "better": 30.0, "best": 15.0, **({"bad": 120.0} if faulty else {})}
    due = {name: draw.expovariate(rate) for name, rate in rates.items()}
    while (name := min(due, key=lambda n: due[n])) and due[name] < seconds:
        await asyncio.sleep(max(0.0, begun + due[name] - loop.time()))
        due[name] += draw.expovariate(rates[name])
        load = draw.random() < 0.1
        route, threads = ("stock-add", 2) if load else ("glance", 1)
        if name == "bad":
            await book.send_request(
                name, route, 1_000, 5 * S, threads=threads, estimated_work_ms=10, rows=1_500
            )
        else:
            await book.send_request(
                name,
                route,
                draw.uniform(20, 60),
                5 * S,
                threads=threads,
                table_group=draw.randint(1, 9),
            )


async def _one_day(seconds: float, faulty: bool, celled: bool) -> tuple[list[RequestRecord], int]:
    """What the others got, and attempts of the faulty tenant at engines that are not its cell's."""
    world = EmulatedCluster()
    await world.start("a-1", "a-2", "a-3", "b-1", cores=4)
    script = (
        "\n".join(
            [
                "epoch(1)",
                'cell("a", engines = ["a-1", "a-2", "a-3"], weight = 3)',
                'cell("b", engines = ["b-1"])',
                'default_cell("a")',
                'tenant("bad", cell = "b")',
            ]
        )
        if celled
        else ""
    )
    daemon = await Daemon(
        ROOT,
        world,
        script,
        specifics=SPECIFICS,
        tenants=tenant_settings("good", "better", "best", "bad"),
    ).start()
    await _offer(daemon.book, 5, seconds, faulty)
    await daemon.book.wait_until_idle(7.0)
    asked = [a for a in daemon.book.records if a.tenant != "bad"]
    strays = sum(
        b"work=1000 " in statement
        for uid in ("a-1", "a-2", "a-3")
        for _, _, statement in world.engines[uid].received
    )
    daemon.stop()
    world.stop()
    return asked, strays


def _served(asked: list[RequestRecord]) -> float:
    return sum(a.met_objective(AIM[a.request_class]) for a in asked) / max(1, len(asked))


def _p99(asked: list[RequestRecord]) -> float:
    return quantile(
        [(a.answered_ns - a.sent_ns) / MS for a in asked if a.code == frames.SERVED], 0.99
    )


async def isolation(figures: Figures, seconds: float) -> None:
    calm, _ = await _one_day(seconds, faulty=False, celled=True)
    beside, strays = await _one_day(seconds, faulty=True, celled=True)
    mixed, _ = await _one_day(seconds, faulty=True, celled=False)
    figures.tell("isolation.requests", len(beside))
    figures.tell("isolation.attempts_in_other_cells", strays, most=0)
    figures.tell("isolation.served_in_time_alone", _served(calm))
    figures.tell(
        "isolation.served_in_time_beside", _served(beside), least=round(_served(calm) - 0.02, 4)
    )
    figures.tell("isolation.served_in_time_without_cells", _served(mixed))
    figures.tell("isolation.p99_ms_alone", _p99(calm))
    figures.tell("isolation.p99_ms_beside", _p99(beside), most=round(1.25 * _p99(calm), 1))
    figures.tell("isolation.p99_ms_without_cells", _p99(mixed))


# --- moves under load, with faults ---


async def moves(figures: Figures, count: int) -> None:  # noqa: C901, PLR0915  # one scenario, told in order
    draw, world = random.Random(11), EmulatedCluster()
    cells = ("a", "b", "c", "d")
    names = [f"t{i}" for i in range(20)]
    await world.start(*(f"{c}-{i}" for c in cells for i in range(3)), cores=4)
    told = CellMap(
        1,
        tuple(Cell(c, least=2) for c in cells),
        "a",
        {n: Tenant(n, (cells[i % 4],)) for i, n in enumerate(names)},
        Timing(propose=1 * S, warm=2 * S, settle=S // 10, watch=S // 5, lost=S // 5),
    )
    raw = broker_config(
        world,
        "127.0.0.1:1",
        specifics=SPECIFICS,
        tenants=tenant_settings(*names),
        limits={"sockets": 1_024, "memory_mb": 128},
    )
    with tempfile.TemporaryDirectory() as folder:
        node = CellNode(
            replace(parse(json.loads(json.dumps(raw)), {}), port=0),
            OperatorConfig(told),
            "",
            {**os.environ, "TMPDIR": folder},
        )
        node.log = node.dispatcher.log = node.dispatcher.pools.log = lambda kind, text: None  # type: ignore[assignment]
        running = asyncio.create_task(node.run())
        while node.server is None:
            await asyncio.sleep(0.01)
        book = RequestLog("127.0.0.1", int(node.server.sockets[0].getsockname()[1]))
        record, over = node.celled.migrations, asyncio.Event()
        loading = asyncio.create_task(_steady(book, names, draw, over))
        breaking = asyncio.create_task(_faults(world, node, draw, over))
        begun, proposed, backs = time.monotonic(), 0, 0
        ended: dict[Stage, int] = {}
        seen: set[int] = set()
        moving: list[tuple[str, int, int]] = []  # tenant, from, to: when it was on the move
        while len(seen) < count and time.monotonic() - begun < 240:
            now = node.clock.now()
            for move in record.records.values():
                if move.has_ended() and move.version not in seen:
                    seen.add(move.version)
                    ended[move.stage] = ended.get(move.stage, 0) + 1
                    moving.append((move.subject, move.begun, move.at))
            if proposed < count + 10:
                try:
                    record.propose(draw.choice(names), draw.choice(cells), now)
                    proposed += 1
                except MigrationRejectedError:
                    pass
            if draw.random() < 0.02:
                try:
                    record.abort_by_operators(draw.choice(names), now)
                    backs += 1
                except MigrationRejectedError:
                    pass
            await asyncio.sleep(0.02)
        over.set()
        await asyncio.gather(loading, breaking)
        await book.wait_until_idle(8.0)
        engines = list(world.engines.values())
        spans: dict[str, list[tuple[int, int]]] = {}
        for subject, since, until in moving:
            spans.setdefault(subject, []).append((since, until))
        during = [
            a for a in book.records if any(s <= a.sent_ns <= u for s, u in spans.get(a.tenant, ()))
        ]
        apart = [
            a
            for a in book.records
            if not any(s <= a.sent_ns <= u for s, u in spans.get(a.tenant, ()))
        ]
        figures.tell("moves.ended", len(seen), least=count)
        figures.tell("moves.done", ended.get(Stage.DONE, 0))
        figures.tell("moves.taken_back", ended.get(Stage.TAKEN_BACK, 0))
        figures.tell("moves.taken_back_by_call", backs)
        figures.tell("moves.seconds", time.monotonic() - begun)
        figures.tell("moves.requests", len(book.records))
        figures.tell(
            "moves.requests_without_one_answer",
            sum(a.answer_count != 1 for a in book.records) + book.unmatched_answers,
            most=0,
        )
        figures.tell(
            "moves.unsafe_run_twice", len(statements_run_twice(engines, b"stock-add")), most=0
        )
        figures.tell("moves.sent_after_drain", world.queries_after_drain(S), most=0)
        figures.tell("moves.engines_fallen", sum(e.machine.crashed for e in engines), most=0)
        for name, asked in (("during", during), ("apart", apart)):
            figures.tell(
                f"moves.refused_share_{name}",
                sum(a.code == frames.REFUSED for a in asked) / max(1, len(asked)),
            )
            figures.tell(
                f"moves.failed_share_{name}",
                sum(a.code == frames.FAILED for a in asked) / max(1, len(asked)),
            )
        book.close()
        node.stop()
        await running
    world.stop()


async def _steady(
    book: RequestLog, names: list[str], draw: random.Random, over: asyncio.Event
) -> None:
    while not over.is_set():
        load = draw.random() < 0.15
        await book.send_request(
            draw.choice(names),
            "stock-add" if load else "glance",
            draw.uniform(5, 40),
            4 * S,
            threads=2 if load else 1,
        )
        await asyncio.sleep(draw.expovariate(150.0))


async def _faults(
    world: EmulatedCluster, node: CellNode, draw: random.Random, over: asyncio.Event
) -> None:
    """Drains with successors, crashes without a word, silence, bans; never all of a cell at
    once.
    """
    number = 0
    while not over.is_set():
        await asyncio.sleep(draw.uniform(0.4, 0.9))
        ready = [u for u, t in world.discovery.targets.items() if t["state"] == "in_service"]
        uid, fault = draw.choice(ready), draw.choice(["drain", "crash", "silent", "ban"])
        number += 1
        if fault == "drain":
            await world.add(f"n-{number}", cores=4, cold=draw.random() < 0.5)
            world.drain(uid)
            await asyncio.sleep(1.2)
            world.terminate(uid)
        elif fault == "crash":
            world.engines[uid].stop()
            await world.add(f"n-{number}", cores=4)
            await asyncio.sleep(0.3)
            world.discovery.publish({**world.discovery.targets[uid], "state": "terminated"})
        elif fault == "silent":
            world.engines[uid].unresponsive = True
            await asyncio.sleep(0.4)
            world.engines[uid].unresponsive = False
        else:
            node.dispatcher.set_endpoint_disabled(uid, True)
            await asyncio.sleep(0.5)
            node.dispatcher.set_endpoint_disabled(uid, False)


# --- what is lent comes back ---


async def loans(figures: Figures) -> None:
    """One cell floods until nothing more is lent to it; then the other asks for its whole part."""
    world = EmulatedCluster()
    await world.start("a-1", "b-1")
    for engine in world.engines.values():
        engine.machine.max_sessions, engine.machine.slowdown = 10_000, 1e6  # nothing ends by itself
    told = CellMap(
        1,
        (Cell("a", engines=("a-1",)), Cell("b", engines=("b-1",))),
        "a",
        {"y": Tenant("y", ("b",))},
    )
    raw = broker_config(
        world,
        "127.0.0.1:1",
        tenants=tenant_settings("x", "y"),
        limits={"sockets": 256, "memory_mb": 32},
    )
    node = CellNode(
        replace(parse(json.loads(json.dumps(raw)), {}), port=0), OperatorConfig(told), ""
    )
    node.log = node.dispatcher.log = node.dispatcher.pools.log = lambda kind, text: None  # type: ignore[assignment]
    running = asyncio.create_task(node.run())
    while node.server is None:
        await asyncio.sleep(0.01)
    book, ledger = (
        RequestLog("127.0.0.1", int(node.server.sockets[0].getsockname()[1])),
        node.celled.request_ledger,
    )
    ledger.divide(40, node.celled.cell_weights())
    for _ in range(60):
        await book.send_request("x", "glance", 1, 5 * S, estimated_work_ms=1)
    await asyncio.sleep(0.1)
    figures.tell("loans.lent", ledger.borrowed("a"), least=1)
    begun, held = time.monotonic(), 0
    while held < ledger.accounts["b"].part and time.monotonic() - begun < 5:
        await book.send_request("y", "glance", 1, 5 * S, estimated_work_ms=1)
        await asyncio.sleep(0.01)
        held = ledger.accounts["b"].used
    figures.tell(
        "loans.owner_has_its_part_after_ms", (time.monotonic() - begun) * 1e3, most=1_000.0
    )
    figures.tell("loans.called_in", node.celled.called_in)
    await book.wait_until_idle(6.0)
    figures.tell(
        "loans.requests_without_one_answer",
        sum(a.answer_count != 1 for a in book.records) + book.unmatched_answers,
        most=0,
    )
    book.close()
    node.stop()
    await running
    world.stop()


# --- large maps and plans ---


def large(figures: Figures, seconds: float) -> None:
    draw = random.Random(3)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "ops.star"
        path.write_text(
            'epoch(1)\n[cell("c%d" % i, least = 3, most = 7) for i in range(12)]\n'
            '[tenant("t%d" % i, cell = "c%d" % (i % 12)) for i in range(1000)]\n'
            'default_cell("c0")\n'
        )
        begun = time.perf_counter()
        said = evaluate(str(path)).cell_map
        figures.tell("map.file_ms", (time.perf_counter() - begun) * 1e3, most=2_000.0)
    assert said is not None
    engines = [Seen(f"s-{i:04x}", "east", "std", True) for i in range(60)]
    begun = time.perf_counter()
    placement = Placement(said)
    placement.learn(engines)
    figures.tell("map.placement_ms", (time.perf_counter() - begun) * 1e3, most=50.0)
    begun = time.perf_counter()
    for i in range(100_000):
        said.home(f"t{i % 1000}")
    figures.tell("map.home_us", (time.perf_counter() - begun) * 10)
    sizes = [placement.size(c.name) for c in said.cells]
    figures.tell("map.least_engines", min(sizes), least=3)
    figures.tell("map.most_engines", max(sizes), most=7)
    moved = 0
    for engine in engines:
        again = Placement(said)
        again.learn(engines)
        before = dict(again.seats)
        again.learn([], [engine.uid])
        moved += sum(again.seats[u] != c for u, c in before.items() if u != engine.uid)
    figures.tell("map.others_moved_when_one_leaves", moved, most=0)
    loads = {f"t{i}": draw.paretovariate(1.3) for i in range(1_000)}
    capacities = {c.name: 8.0 * max(1, placement.size(c.name)) for c in said.cells}
    plain = hashed_placement(loads, capacities)
    apart = tuple((f"t{i}", f"t{i + 1}") for i in range(0, 40, 2))
    begun = time.perf_counter()
    made = solve(Problem(loads, capacities, plain, apart), seconds)
    figures.tell("plan.seconds", time.perf_counter() - begun, most=seconds + 5)
    mean = sum(loads.values()) / sum(capacities.values())
    by_hashing = relative_loads(Problem(loads, capacities, plain), plain)
    figures.tell("plan.fullest_by_hashing", max(by_hashing.values()) / mean)
    figures.tell("plan.fullest_by_plan", max(made.after.values()) / mean, most=1.1)
    figures.tell("plan.tenants_moved", len(made.moves))
    begun = time.perf_counter()
    few = solve(Problem(loads, capacities, plain, apart, most_moves=60), seconds)
    figures.tell("plan.seconds_60_moves", time.perf_counter() - begun, most=seconds + 5)
    figures.tell("plan.fullest_by_60_moves", max(few.after.values()) / mean)


# --- the ordinary path ---


async def _ask_many(daemon: Daemon, count: int) -> float:
    """Microseconds of the daemon's processor for each request, at 40 open at once."""
    begun = daemon.used()
    left = count
    while left or any(c.open_requests for c in daemon.book.clients):
        while left and sum(len(c.open_requests) for c in daemon.book.clients) < 40:
            await daemon.book.send_request(f"t{left % 4}", "glance", 0, 5 * S, estimated_work_ms=5)
            left -= 1
        await asyncio.sleep(0.001)
    return (daemon.used() - begun) / count / 1e3


async def path(figures: Figures, base: str, rounds: int, count: int) -> None:
    four = "\n".join(
        [
            "epoch(1)",
            *(f'cell("c{i}", engines = ["s-{i}"])' for i in range(4)),
            'default_cell("c0")',
            *(f'tenant("t{i}", cell = "c{i}")' for i in range(4)),
        ]
    )
    world = EmulatedCluster()
    await world.start(*(f"s-{i}" for i in range(4)))
    for engine in world.engines.values():
        engine.machine.max_sessions = 1_000
    with worktree(base) as before:
        changes: dict[str, Any] = {
            "tenants": tenant_settings("t0", "t1", "t2", "t3"),
            "limits": {"sockets": 1_024, "memory_mb": 128},
        }
        daemons = {
            "base": await Daemon(before, world, **changes).start(),
            "off": await Daemon(ROOT, world, **changes).start(),
            "on": await Daemon(ROOT, world, four, **changes).start(),
        }
        for daemon in daemons.values():
            daemon.pin()
        costs: dict[str, list[float]] = {name: [] for name in daemons}
        for turn in range(rounds + 1):
            order = list(daemons)
            random.Random(turn).shuffle(order)
            for name in order:
                cost = await _ask_many(daemons[name], count)
                if turn:  # the first round warms all three up
                    costs[name].append(cost)
        for name, daemon in daemons.items():
            answered = list(daemon.book.records)
            figures.tell(f"path.{name}_us", statistics.median(costs[name]))
            figures.tell(
                f"path.{name}_served",
                sum(a.code == 0 for a in answered) / len(answered),
                least=0.99,
            )
            figures.tell(f"path.{name}_memory_mb", daemon.memory_mb())
        for name, most in (("off", 1.03), ("on", 1.10)):
            # Other work on the machine only adds: the lower quartiles are compared.
            low, against = (sorted(costs[n])[len(costs[n]) // 4] for n in (name, "base"))
            figures.tell(f"path.{name}_against_base", low / against, most=most)
        for daemon in daemons.values():
            daemon.stop()
    world.stop()


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--base", default=BASE)
    parser.add_argument("--only", default="")
    chosen = parser.parse_args()
    quick, figures = chosen.quick, Figures()
    parts: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
        "path": lambda: path(figures, chosen.base, 16 if quick else 40, 250 if quick else 500),
        "isolation": lambda: isolation(figures, 4.0 if quick else 20.0),
        "loans": lambda: loans(figures),
        "moves": lambda: moves(figures, 40 if quick else 200),
    }
    only = chosen.only.split(",") if chosen.only else ["map", *parts]
    if "map" in only:
        large(figures, 3.0 if quick else 20.0)
    for name, part in parts.items():
        if name in only:
            uvloop.run(part())
    return figures.exit()


if __name__ == "__main__":
    sys.exit(main())
