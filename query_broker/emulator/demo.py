"""`larchhall demo`: a small world on loopback, to see the broker at work before setting it up."""

from __future__ import annotations

import asyncio
import json
import os
import random
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import uvloop

from ..cells.model import Cell, CellMap, Tenant
from ..cells.node import CellNode
from ..config import parse
from ..operator_config.settings import OperatorConfig
from ..protocols import client_frames as frames
from ..text_table import table
from .clients import Asked, Book, quantile
from .cluster import World, config, patiently, tenants

MS = 1_000_000
AIMS = {"glance": 1_000 * MS, "stock-add": 3_000 * MS}
CELLS = CellMap(
    1,
    (Cell("counters", engines=("s-1", "s-2")), Cell("finance", engines=("s-3",))),
    "counters",
    {"harbour": Tenant("harbour", ("counters",)), "inland": Tenant("inland", ("finance",))},
)


def served_ms(asked: list[Asked]) -> list[float]:
    """Milliseconds from request to answer, of those that were served."""
    return [(a.answered - a.sent) / MS for a in asked if a.code == frames.SERVED]


def play(seconds: float, say: Callable[[str], None]) -> int:
    """0 if every request got its one answer."""
    return uvloop.run(_play(seconds, say))


async def _play(seconds: float, say: Callable[[str], None]) -> int:
    world = World()
    await world.start("s-1", "s-2", "s-3", cores=2)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        raw = config(
            world,
            "127.0.0.1:1",
            tenants=tenants("harbour", "inland"),
            kinds=["std"],
            specifics={"size_cores": [2], "parallelism": [1, 2]},
        )
        path.write_text(json.dumps(raw))
        told = parse(raw, {})
        node = CellNode(
            replace(told, port=0),
            OperatorConfig(CELLS),
            str(path),
            {**os.environ, "TMPDIR": folder},
        )
        running = asyncio.create_task(node.run())
        while node.server is None and not running.done():
            await asyncio.sleep(0.01)
        if node.server is None:
            await running
        assert node.server is not None
        port = int(node.server.sockets[0].getsockname()[1])
        book = Book("127.0.0.1", port)
        ready = await patiently((await book.counter()).ask_ready(), 5.0)
        say(
            f"three engines, their bus and a broker with two cells on 127.0.0.1:{port}; "
            f"{'ready' if ready else 'not ready'}"
        )
        say(f"for {seconds:.0f} s: harbour asks what its cell can do, inland four times that\n")
        await _load(book, seconds)
        await book.settle(6.0)
        say(
            table(
                ["tenant", "cell", "asked", "served", "in time", "refused", "failed", "median ms"],
                [
                    [
                        name,
                        CELLS.home(name),
                        str(len(asked)),
                        str(sum(a.code == frames.SERVED for a in asked)),
                        f"{sum(a.in_time(AIMS[a.route]) for a in asked) / max(1, len(asked)):.0%}",
                        str(sum(a.code == frames.REFUSED for a in asked)),
                        str(sum(a.code == frames.FAILED for a in asked)),
                        f"{quantile(served_ms(asked), 0.5):.0f}",
                    ]
                    for name in ("harbour", "inland")
                    for asked in [book.of(name)]
                ],
            )
        )
        say(
            "\n"
            + table(
                ["engine", "cell", "queries run"],
                [
                    [
                        uid,
                        next(c.name for c in CELLS.cells if uid in c.engines),
                        str(len(e.machine.ledger)),
                    ]
                    for uid, e in world.engines.items()
                ],
            )
        )
        once = all(a.answers == 1 for a in book.asked) and not book.strays
        say(f"\nevery request got exactly one answer: {'yes' if once else 'no'}")
        book.close()
        node.stop()
        await running
    world.stop()
    return 0 if once and ready else 1


async def _load(book: Book, seconds: float) -> None:
    """Poisson arrivals from a fixed seed."""
    draw, loop = random.Random(7), asyncio.get_running_loop()
    begun = loop.time()
    due = {"harbour": 0.0, "inland": 0.0}
    rates = {"harbour": 40.0, "inland": 160.0}
    while True:
        name = min(due, key=lambda n: due[n])
        if due[name] > seconds:
            return
        await asyncio.sleep(max(0.0, begun + due[name] - loop.time()))
        due[name] += draw.expovariate(rates[name])
        if draw.random() < 0.9:
            await book.ask(
                name, "glance", draw.uniform(10, 60), 5_000 * MS, group=draw.randint(1, 20)
            )
        else:
            await book.ask(name, "stock-add", draw.uniform(100, 200), 20_000 * MS, threads=2)
