"""Data engines on loopback: one whose every answer is scripted, and one with a machine behind
it.
"""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from ..protocols import resp
from .machine import Machine, Run

MS = 1_000_000
# milliseconds, in the statement: `/* work=120 threads=2 rows=3 */`
WORK = re.compile(rb"work=(\d+)")
THREADS = re.compile(rb"threads=(\d+)")
ROWS = re.compile(rb"rows=(\d+)")
MEMORY = re.compile(rb"mem=(\d+)")  # megabytes
PAGE = 6_000  # bytes of a page at the most
Script = Callable[["ScriptedEngine", list[bytes], asyncio.StreamWriter], Any]


class ScriptedEngine:
    """A data engine whose every answer a test writes: `script` is called with each command's
    parts.
    """

    def __init__(self, script: Script | None = None) -> None:
        self.script = script or (lambda engine, parts, writer: engine.serve(parts, writer))
        self.seen: list[list[bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []  # of all connections
        self.carried: list[asyncio.StreamWriter] = []  # of the connection of each command seen

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = resp.RespParser()
        self.writers.append(writer)
        try:
            while data := await reader.read(65_536):
                for parts in parser.feed(data):
                    self.seen.append(parts)
                    self.carried.append(writer)
                    self.script(self, parts, writer)
        except ConnectionError:
            pass

    def serve(self, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(
                resp.encode(parts[1], b"served", b"chunks=1,spent=5,wanted=3", b"a\tb\tc\n")
            )

    def writer_of(self, parts: list[bytes]) -> asyncio.StreamWriter:
        return next(w for seen, w in zip(self.seen, self.carried, strict=True) if seen is parts)

    def words(self, word: bytes) -> list[list[bytes]]:
        return [parts for parts in self.seen if parts[0] == word]


class Keys:
    """What the engines of a fleet know together of keys: a repeat within the window of a first run
    that is under way or over is not run again; it is answered as served, with no rows.
    """

    def __init__(self, window: int) -> None:
        self.window, self.first, self.dropped = window, dict[str, int](), 0

    def repeat(self, nonce: str, now: int) -> bool:
        known = bool(nonce) and now - self.first.get(nonce, -self.window) < self.window
        self.dropped += known
        return known


class EngineProtocol(asyncio.Protocol):
    def __init__(self, engine: MachineEngine) -> None:
        self.engine, self.parser = engine, resp.RespParser()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.engine.connections.add(self)
        if self.engine.connected is not None:
            self.engine.connected(time.monotonic())

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.engine.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        for parts in self.parser.feed(data):
            self.engine.command(self, parts)

    def write(self, *parts: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(resp.encode(*parts))


class MachineEngine:
    """A data engine with a machine behind it. ``sent``: when each query arrived, for the rule on
    drains. ``tells_every``: ns between notes of each query, 0: none. ``bad_plans``: the share of
    attempts that take so many times their work, drawn for each anew.
    """

    def __init__(
        self,
        uid: str,
        machine: Machine | None = None,
        honours_cancel: bool = False,
        keys: Keys | None = None,
        tells_every: int = 0,
        bad_plans: tuple[float, float] = (0.0, 1.0),
    ) -> None:
        self.keys, self.tells_every, self.bad_plans = keys, tells_every, bad_plans
        self.draws = random.Random(uid)
        self.connected: Callable[[float], Any] | None = None  # told of each connection
        self.noting: asyncio.TimerHandle | None = None
        self.uid, self.machine, self.honours_cancel = uid, machine or Machine(), honours_cancel
        self.connections: set[EngineProtocol] = set()
        self.askers: dict[bytes, EngineProtocol] = {}
        self.pages: dict[bytes, list[bytes]] = {}
        self.sent: list[tuple[int, bytes, bytes]] = []  # when, id, statement
        self.timer: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.silent = False  # cut off: says nothing, hears nothing
        self.port = 0

    async def start(self) -> int:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: EngineProtocol(self), "127.0.0.1", 0
        )
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    def stop(self) -> None:
        """The process dies: its connections are reset, its pages are lost."""
        if self.server is not None:
            self.server.close()
        for timer in (self.timer, self.noting):
            if timer is not None:
                timer.cancel()
        for run in self.machine.running.values():
            self._forget_key(run.nonce)
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.pages.clear()

    def command(self, connection: EngineProtocol, parts: list[bytes]) -> None:
        if self.silent:
            return
        if self.machine.fallen:
            return self.stop()
        word, now = parts[0], time.time_ns()
        if word == b"do" and len(parts) == 4:
            self._do(connection, parts[1], resp.read_pairs(parts[2]), parts[3], now)
        elif word in (b"top", b"ping"):
            connection.write(parts[1], b"green", b"meter=" + self.machine.report().encode(), b"")
        elif word == b"page" and parts[1] in self.pages and parts[2].isdigit():
            pages, number = self.pages[parts[1]], int(parts[2])
            if number < len(pages):
                connection.write(parts[1], b"rows", b"at=%d" % number, pages[number])
        elif word == b"page":
            connection.write(parts[1], b"crashed", b"-", b"")
        elif word == b"forget":
            self.pages.pop(parts[1], None)
        elif word == b"undo" and self.honours_cancel:
            if (run := self.machine.running.get(parts[1])) is not None:
                self._forget_key(run.nonce)
            self._finish(self.machine.drop(now, parts[1]))
            self.askers.pop(parts[1], None)
            self._look()

    def _do(
        self,
        connection: EngineProtocol,
        id: bytes,
        fields: dict[str, str],
        statement: bytes,
        now: int,
    ) -> None:
        self.sent.append((now, id, statement))

        def said(pattern: re.Pattern[bytes], default: int) -> int:
            return int(found[1]) if (found := pattern.search(statement)) else default

        self._finish(self.machine.pass_time(now))
        threads, nonce = said(THREADS, 1), fields.get("nonce", "")
        if self.keys is not None and self.keys.repeat(nonce, now):
            connection.write(id, b"served", b"chunks=1,spent=0,wanted=0", b"")
            return
        share, times = self.bad_plans
        work = said(WORK, 1) * MS * (times if self.draws.random() < share else 1.0)
        if self.keys is not None and nonce:
            self.keys.first[nonce] = now
        if not self.machine.arrive(
            now, id, fields.get("cls", "").encode(), statement, work, threads, nonce
        ):
            self._forget_key(nonce)
            connection.write(id, b"overload", b"meter=" + self.machine.report().encode(), b"")
            return
        self.askers[id] = connection
        self._look()
        if self.tells_every and self.noting is None:
            self._note_later()

    def _forget_key(self, nonce: str) -> None:
        """Its run never began, was stopped, or died with the engine."""
        if self.keys is not None:
            self.keys.first.pop(nonce, None)

    def _note_later(self) -> None:
        self.noting = asyncio.get_running_loop().call_later(self.tells_every / 1e9, self._tell)

    def _tell(self) -> None:
        """A note for each query that is not over."""
        self.noting = None
        for id, run in self.machine.running.items():
            if id in self.askers and not self.silent:
                done = max(0.0, 1 - run.left / max(1.0, run.work * self.machine.slow))
                self.askers[id].write(id, b"update", b"tell=pct,amount=%.3f" % done, b"")
        if self.machine.running:
            self._note_later()

    def _look(self) -> None:
        """One timer, for the query that ends first."""
        if self.timer is not None:
            self.timer.cancel()
        now = time.time_ns()
        if (end := self.machine.next_end(now)) is not None:
            self.timer = asyncio.get_running_loop().call_later(max(0, end - now) / 1e9, self._due)

    def _due(self) -> None:
        self._finish(self.machine.pass_time(time.time_ns()))
        self._look()

    def _finish(self, runs: list[Run]) -> None:
        for run in runs:
            connection = self.askers.pop(run.id, None)
            if connection is None or self.silent:
                continue
            rows = ROWS.search(run.statement)
            pages = _pages(int(rows[1]) if rows else 1)
            if len(pages) > 1:
                self.pages[run.id] = pages
            memory = MEMORY.search(run.statement)
            connection.write(
                run.id,
                b"served",
                b"chunks=%d,spent=%d,wanted=%d,meter=%b"
                % (
                    len(pages),
                    run.work // MS,
                    int(memory[1]) if memory else 1,
                    self.machine.report().encode(),
                ),
                pages[0],
            )


def _pages(rows: int) -> list[bytes]:
    each = PAGE // 24
    lines = [b"%08d\trow\tvalue\n" % i for i in range(rows)]
    return [b"".join(lines[i : i + each]) for i in range(0, max(1, len(lines)), each)]


def key_ran_twice(engines: list[MachineEngine]) -> list[str]:
    """Keys that ran to their end more than once, over all ledgers."""
    counts = Counter(
        run.nonce for e in engines for run in e.machine.ledger if run.nonce and run.left <= 1.0
    )
    return [nonce for nonce, count in counts.items() if count > 1]


def ran_twice(engines: list[MachineEngine], cls: bytes) -> list[bytes]:
    """Statements of a class that began more than once, over all ledgers. Each carries an id of its
    own.
    """
    counts = Counter(run.statement for e in engines for run in e.machine.ledger if run.cls == cls)
    return [statement for statement, count in counts.items() if count > 1]
