"""What is begun for clients that have left: `python -m benchmarks.deadlines [--quick] [--base
REV]`.
"""

from __future__ import annotations

import argparse
import asyncio
import fcntl
import json
import random
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

import uvloop

from query_broker.config import parse
from query_broker.emulator.clients import EmulatedClient, RequestLog, RequestRecord, quantile
from query_broker.emulator.cluster import (
    EmulatedCluster,
    broker_config,
    platform_settings,
    tenant_settings,
)
from query_broker.emulator.discovery_service import target_entry
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.engine_connection import EngineConnection
from query_broker.protocols.engine_writer import EngineWriter
from query_broker.server.node import Node

from .cells import _ask_many
from .harness import ROOT, Daemon, Figures, package_of, worktree

MS = 1_000_000
S = 1_000 * MS
BASE = "47b6501"  # the last commit before deadlines
SEEDS = (101, 202, 303, 404)
COPIES = """
import sys, tracemalloc
from {module} import resp
statement = b'x' * 200_000
tracemalloc.start()
made = getattr(resp, 'pieces', resp.encode)(b'do', b'1', b'limit=1', statement)
print(round(tracemalloc.get_traced_memory()[1] / 200_000))
"""


#: Where the encoder of engine lines stands, by the import package of a tree.
RESP_MODULE = {"query_broker": "query_broker.protocols", "larchhall": "larchhall.wire"}


class Erratic(asyncio.Protocol):
    """A connection to an engine that answers late, not at all, with errors, or stops reading for a
    while.
    """

    def __init__(self, engine: ErraticEngine) -> None:
        self.engine = engine
        self.buffer = bytearray()
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.engine.paused:
            transport.pause_reading()
        self.engine.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.engine.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (parts := _whole(self.buffer)) is not None:
            self.engine.command(self, parts)

    def write(self, *parts: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(resp.encode(*parts))


def _whole(buffer: bytearray) -> list[bytes] | None:
    """One command off the front; statements are longer than the answers that the daemon's parser is
    for.
    """
    end = buffer.find(b"\r\n")
    if end < 0:
        return None
    at, parts = end + 2, []
    for _ in range(int(buffer[1:end])):
        end = buffer.find(b"\r\n", at)
        if end < 0 or len(buffer) < end + 4 + int(buffer[at + 1 : end]):
            return None
        size = int(buffer[at + 1 : end])
        parts.append(bytes(buffer[end + 2 : end + 2 + size]))
        at = end + 4 + size
    del buffer[:at]
    return parts


class ErraticEngine:
    def __init__(self, draw: random.Random) -> None:
        self.draw = draw
        self.connections: set[Erratic] = set()
        self.paused = False
        self.begun: list[tuple[int, bytes]] = []  # when, id

    async def start(self) -> int:
        held = socket.create_server(("127.0.0.1", 0))
        held.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Erratic(self), sock=held
        )
        return int(held.getsockname()[1])

    def command(self, connection: Erratic, parts: list[bytes]) -> None:
        if parts[0] in (b"top", b"ping"):
            connection.write(parts[1], b"green", b"-", b"")
        if parts[0] != b"do":
            return
        chance = self.draw.random()
        if not 0.8 <= chance < 0.85:
            self.begun.append((time.time_ns(), parts[1]))
        loop = asyncio.get_running_loop()
        if chance < 0.8:
            loop.call_later(
                self.draw.expovariate(50.0),
                connection.write,
                parts[1],
                b"served",
                b"chunks=1",
                b"a\tb\tc\n",
            )
        elif chance < 0.9:
            connection.write(parts[1], b"overload" if chance < 0.85 else b"crashed", b"-", b"")
        elif chance < 0.92:
            connection.transport.abort()

    def pause(self, on: bool) -> None:
        self.paused = on
        for connection in self.connections:
            if not connection.transport.is_closing():
                if on:
                    connection.transport.pause_reading()
                else:
                    connection.transport.resume_reading()


@dataclass
class Day:
    """One run's account: when each client left, and when its work began at an engine."""

    asked: int = 0
    unanswered: int = 0
    twice: int = 0
    unsafe_twice: int = 0
    departures: int = 0
    known_after: int = 0  # first byte out after the broker knew (in process alone)
    left: dict[bytes, int] = field(default_factory=dict)


MOST_CLIENTS = 12
NOT_SENT = 0x894B  # SIOCOUTQNSD: bytes in the socket's queue that have not been sent


async def _play(port: int, engines: list[ErraticEngine], seed: int, count: int) -> Day:  # noqa: C901  # one scenario, told in order
    """Randomised lifecycles against one address, the same for the same seed."""
    draw, day, book = random.Random(seed), Day(), RequestLog("127.0.0.1", port)
    loop = asyncio.get_running_loop()
    unsafe: set[bytes] = set()
    lived: list[tuple[RequestRecord, EmulatedClient]] = []

    def leave(counter: EmulatedClient, asked: RequestRecord) -> None:
        """Type 8, unless it has its answer."""
        stream = next((s for s, a in counter.open_requests.items() if a is asked), None)
        if stream is not None and counter.transport is not None:
            counter.transport.write(frames.frame(frames.ABANDON, stream))
            del counter.open_requests[stream]
            day.left[asked.request_id.encode()] = time.time_ns()

    def drop(counter: EmulatedClient) -> None:
        now, counter.broker_draining = time.time_ns(), True
        for asked in counter.open_requests.values():
            day.left[asked.request_id.encode()] = now
        if counter.transport is not None:
            counter.transport.abort()

    for number in range(count):
        usable = [c for c in book.clients if c.has_capacity()]
        counter = draw.choice(usable) if len(usable) >= MOST_CLIENTS else await book.connect()
        load = draw.random() < 0.2
        asked = RequestRecord(
            f"{seed:04x}{number:012x}",
            "acme",
            "stock-add" if load else "glance",
            time.time_ns(),
            int(draw.choice([150, 400, 1_000, 3_000]) * MS),
        )
        size = draw.choice([0, 0, 0, 0, 40_000, 150_000])
        if load:
            unsafe.add(asked.request_id.encode())
        book.records.append(asked)
        counter.send_request(asked, b"SELECT 1 FROM sales_17.orders /* %b */" % (b"x" * size), 1.0)
        lived.append((asked, counter))
        chance = draw.random()
        if chance < 0.35:
            loop.call_later(draw.uniform(0.0, 0.3), leave, counter, asked)
        elif chance < 0.37:
            loop.call_later(draw.uniform(0.0, 0.1), drop, counter)
        if number % 60 == 30:
            engine = draw.choice(engines)
            engine.pause(True)
            loop.call_later(draw.uniform(0.1, 1.5), engine.pause, False)
        if number % 4 == 0:
            await asyncio.sleep(draw.expovariate(250.0))
    for engine in engines:
        engine.pause(False)
    await book.wait_until_idle(4.0)
    await asyncio.sleep(0.3)
    day.asked, day.departures = len(book.records), len(day.left)
    day.twice = sum(a.answer_count > 1 for a in book.records) + sum(
        a.answer_count
        and a.request_id.encode() in day.left
        and a.answered_ns > day.left[a.request_id.encode()] + S
        for a in book.records
    )
    day.unanswered = sum(
        not a.answer_count and a.request_id.encode() not in day.left for a in book.records
    )
    runs = [run for engine in engines for run in engine.begun]
    seen: dict[bytes, int] = {}
    for _, id in runs:
        seen[id] = seen.get(id, 0) + 1
    day.unsafe_twice = sum(seen.get(id, 0) > 1 for id in unsafe)
    book.close()
    return day


def _raw(ports: list[int]) -> dict[str, Any]:
    world = EmulatedCluster()
    world.discovery_port = 1
    raw = broker_config(
        world,
        "127.0.0.1:1",
        tenants=tenant_settings("acme"),
        limits={"sockets": 96, "memory_mb": 256},
    )
    listed = [target_entry(f"s-{i}", port) for i, port in enumerate(ports)]
    raw["known"] = {
        "offset": 1,
        "batch": [{"offset": 1, "topology": {"rev": 1, "all": True, "targets": listed}}],
    }
    del raw["bus"]
    return raw


async def inside(figures: Figures, count: int) -> None:
    """In one process with the broker, so that each first byte out is seen against each
    departure.
    """
    total = Day()
    for seed in SEEDS:
        draw = random.Random(seed)
        engines = [ErraticEngine(draw) for _ in range(4)]
        raw = _raw([await e.start() for e in engines])
        node = Node(replace(parse(json.loads(json.dumps(raw)), {}), port=0))
        node.log = node.dispatcher.log = node.dispatcher.pools.log = lambda kind, text: None  # type: ignore[assignment]
        known: dict[bytes, int] = {}
        late: list[bytes] = []
        leave, begun = node.dispatcher.cancellations.abandon, EngineWriter._write_started

        def leaves(request: Any, leave: Any = leave, known: Any = known) -> None:
            known[request.trace] = time.monotonic_ns()
            leave(request)

        def begins(
            self: EngineWriter,
            about: Any,
            known: Any = known,
            late: Any = late,
            begun: Any = begun,
        ) -> None:
            if about.request.trace in known:
                late.append(about.request.trace)
            begun(self, about)

        node.dispatcher.cancellations.abandon = leaves  # type: ignore[method-assign]
        EngineWriter._write_started = begins  # type: ignore[method-assign]
        running = asyncio.create_task(node.run())
        while node.server is None:
            await asyncio.sleep(0.01)
        day = await _play(
            int(node.server.sockets[0].getsockname()[1]), engines, seed, count // len(SEEDS)
        )
        EngineWriter._write_started = begun  # type: ignore[method-assign]
        for name in ("asked", "unanswered", "twice", "unsafe_twice", "departures"):
            setattr(total, name, getattr(total, name) + getattr(day, name))
        total.known_after += len(late)
        taken = sum(node.dispatcher.deadline_controls.statistics.stop_counts.values())
        figures.tell(f"inside.seed_{seed}.taken_back_unsent", taken)
        figures.tell(
            f"inside.seed_{seed}.half_written_at_departure",
            sum(node.dispatcher.deadline_controls.statistics.partial_write_counts.values()),
        )
        for _ in range(400):  # engines that never answer hold a request to its end
            if not node.dispatcher.requests:
                break
            await asyncio.sleep(0.01)
        figures.tell(
            f"inside.seed_{seed}.requests_left_in_the_books", len(node.dispatcher.requests), most=0
        )
        node.stop()
        await running
    figures.tell("inside.lifecycles", total.asked)
    figures.tell("inside.departures", total.departures)
    figures.tell("inside.begun_after_departure", total.known_after, most=0)
    figures.tell("inside.unanswered", total.unanswered, most=0)
    figures.tell("inside.answered_twice", total.twice, most=0)
    figures.tell("inside.unsafe_begun_twice", total.unsafe_twice, most=0)


def _lying(transport: Any) -> int:
    """Bytes that have not left the machine's buffers: the transport's, and the system's."""
    told = fcntl.ioctl(transport.get_extra_info("socket").fileno(), NOT_SENT, b"\0" * 4)
    return int(transport.get_write_buffer_size()) + int.from_bytes(told, sys.byteorder)


async def unsent_before(count: int) -> dict[str, int]:
    """Run with the program of an earlier commit: frames that lay whole in a transport's buffer when
    their client left, and were begun all the same.
    """
    found = {"departures": 0, "unsent_at_departure": 0, "begun_after_departure": 0}
    for seed in SEEDS:
        engines = [ErraticEngine(random.Random(seed)) for _ in range(4)]
        raw = _raw([await e.start() for e in engines])
        node = Node(replace(parse(json.loads(json.dumps(raw)), {}), port=0))
        node.log = node.dispatcher.log = node.dispatcher.pools.log = lambda kind, text: None  # type: ignore[assignment]
        handed: dict[Any, int] = {}
        starts: dict[tuple[Any, bytes], int] = {}
        unsent: set[bytes] = set()
        connection_class: Any = EngineConnection  # the earlier program's, with its names
        leave = node.dispatcher.cancellations.abandon
        write = connection_class._write
        do = connection_class.do

        def writes(
            self: Any, now: int, *parts: bytes, write: Any = write, handed: Any = handed
        ) -> None:
            write(self, now, *parts)
            handed[self] = handed.get(self, 0) + len(resp.encode(*parts))

        def does(
            self: Any,
            attempt: Any,
            now: int,
            do: Any = do,
            handed: Any = handed,
            starts: Any = starts,
        ) -> None:
            starts[self, attempt.request.trace] = handed.get(self, 0)
            do(self, attempt, now)

        def leaves(
            request: Any,
            leave: Any = leave,
            handed: Any = handed,
            starts: Any = starts,
            unsent: Any = unsent,
        ) -> None:
            for attempt in request.attempts.values():
                held = attempt.connection
                if held is None or held.transport is None:
                    if held is None:
                        unsent.add(request.trace)
                elif handed[held] - _lying(held.transport) <= starts[held, request.trace]:
                    unsent.add(request.trace)
            leave(request)

        node.dispatcher.cancellations.abandon = leaves  # type: ignore[method-assign]
        connection_class._write = writes
        connection_class.do = does
        running = asyncio.create_task(node.run())
        while node.server is None:
            await asyncio.sleep(0.01)
        day = await _play(
            int(node.server.sockets[0].getsockname()[1]), engines, seed, count // len(SEEDS)
        )
        connection_class._write = write
        connection_class.do = do
        found["departures"] += day.departures
        found["unsent_at_departure"] += len(unsent)
        found["begun_after_departure"] += len(unsent & {id for e in engines for _, id in e.begun})
        node.stop()
        await running
    return found


EARLIER = """
import sys
sys.path.insert(0, sys.argv[1])
import query_broker.protocols.engine_connection
sys.path.insert(0, sys.argv[2])
import json, uvloop
from benchmarks.deadlines import unsent_before
print(json.dumps(uvloop.run(unsent_before(int(sys.argv[3])))))
"""


async def before(figures: Figures, base: str, count: int) -> None:
    """The same seeds with the program before.

    The harness and the program share one interpreter there, so that both need the same names.
    """
    with worktree(base) as tree:
        if package_of(tree) != "query_broker":
            print(f"before: not measured, {base} is older than the package query_broker")
            return
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            EARLIER,
            str(tree),
            str(ROOT),
            str(count),
            cwd="/",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        told, _ = await process.communicate()
    for name, value in json.loads(told.splitlines()[-1]).items():
        figures.tell(f"before.{name}", value)


async def cancels(figures: Figures, seconds: float) -> None:
    """Engine time spent after the client left, where a cancel is honoured and where it is not."""
    medians = {}
    for name, honoured in (("without", False), ("with", True)):
        draw, world = random.Random(9), EmulatedCluster()
        await world.start("a-1", "a-2", "a-3", cores=4)
        for engine in world.engines.values():
            engine.honours_cancel = honoured
        limits = {**platform_settings()["policy_limits"], "cancel": honoured}
        daemon = await Daemon(
            ROOT,
            world,
            tenants=tenant_settings("acme"),
            policy_limits=limits,
            specifics={"size_cores": [4], "parallelism": [1, 2]},
        ).start()
        left: dict[bytes, int] = {}

        def leave(
            asked: RequestRecord, daemon: Daemon = daemon, left: dict[bytes, int] = left
        ) -> None:
            for counter in daemon.book.clients:
                for stream, open_ in list(counter.open_requests.items()):
                    if open_ is asked and counter.transport is not None:
                        counter.transport.write(frames.frame(frames.ABANDON, stream))
                        del counter.open_requests[stream]
                        left[asked.request_id.encode()] = time.time_ns()

        end = time.monotonic() + seconds
        while time.monotonic() < end:
            asked = await daemon.book.send_request("acme", "glance", draw.uniform(200, 800), 5 * S)
            if draw.random() < 0.5:
                asyncio.get_running_loop().call_later(draw.uniform(0.0, 0.2), leave, asked)
            await asyncio.sleep(draw.expovariate(18.0))
        await daemon.book.wait_until_idle(6.0)
        spent = [
            max(0, (run.ended_ns or time.time_ns()) - left[run.query_id]) / MS
            for e in world.engines.values()
            for run in e.machine.ledger
            if run.query_id in left
        ]
        medians[name] = quantile(spent, 0.5)
        figures.tell(f"cancels.{name}.departures", len(left))
        figures.tell(f"cancels.{name}.engine_ms_after_departure_median", quantile(spent, 0.5))
        figures.tell(f"cancels.{name}.engine_ms_after_departure_p99", quantile(spent, 0.99))
        figures.tell(f"cancels.{name}.served", sum(a.code == 0 for a in daemon.book.records))
        daemon.stop()
        world.stop()
    figures.tell(
        "cancels.median_against_without", medians["with"] / max(1e-9, medians["without"]), most=0.2
    )


async def path(figures: Figures, base: str, rounds: int, count: int) -> None:
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
            "before": await Daemon(before, world, **changes).start(),
            "now": await Daemon(ROOT, world, **changes).start(),
        }
        costs: dict[str, list[float]] = {name: [] for name in daemons}
        for daemon in daemons.values():
            daemon.pin()
        for turn in range(rounds + 1):
            for name in list(daemons)[:: 1 if turn % 2 else -1]:
                cost = await _ask_many(daemons[name], count)
                if turn:
                    costs[name].append(cost)
        for name in daemons:
            figures.tell(f"path.{name}_us", statistics.median(costs[name]))
        low = {name: sorted(c)[len(c) // 4] for name, c in costs.items()}
        figures.tell("path.now_against_before", low["now"] / low["before"], most=1.05)
        copies = {
            name: int(
                subprocess.run(
                    [sys.executable, "-c", COPIES.format(module=RESP_MODULE[package_of(tree)])],
                    cwd=tree,
                    capture_output=True,
                    text=True,
                    check=True,
                ).stdout
            )
            for name, tree in (("before", before), ("now", ROOT))
        }
        figures.tell("path.copies_of_a_large_statement_before", copies["before"])
        figures.tell("path.copies_of_a_large_statement_now", copies["now"], most=copies["before"])
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
    print(f"# seeds {SEEDS}")
    parts: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
        "inside": lambda: inside(figures, 1_200 if quick else 20_000),
        "before": lambda: before(figures, chosen.base, 1_200 if quick else 20_000),
        "cancels": lambda: cancels(figures, 2.0 if quick else 12.0),
        "path": lambda: path(figures, chosen.base, 12 if quick else 40, 250 if quick else 500),
    }
    for name, part in parts.items():
        if not chosen.only or name in chosen.only.split(","):
            uvloop.run(part())
    return figures.exit()


if __name__ == "__main__":
    sys.exit(main())
