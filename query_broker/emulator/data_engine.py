"""Data engines on loopback: one whose answers are scripted, and one with a machine behind it."""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from ..protocols import resp
from .machine import Machine, QueryRun

HOST = "127.0.0.1"
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
READ_SIZE_BYTES = 65_536
# What a statement says of itself in a comment: `/* work=120 threads=2 rows=3 mem=40 */`, with work
# in milliseconds and memory in megabytes.
WORK_MS = re.compile(rb"work=(\d+)")
THREADS = re.compile(rb"threads=(\d+)")
ROWS = re.compile(rb"rows=(\d+)")
MEMORY_MB = re.compile(rb"mem=(\d+)")
#: Small, so that a result of some hundred rows has several pages.
MAX_PAGE_BYTES = 6_000
ROW_BYTES = 24

Script = Callable[["ScriptedEngine", list[bytes], asyncio.StreamWriter], Any]


class ScriptedEngine:
    """A data engine whose answers a test writes.

    Attributes:
        script: Called with the engine, the parts of each command, and its connection.
        commands: All commands, in their order.
        writers: All connections, in their order.
        command_writers: The connection of each command.
    """

    def __init__(self, script: Script | None = None) -> None:
        self.script = script or (lambda engine, parts, writer: engine.answer_served(parts, writer))
        self.commands: list[list[bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []  # of all connections
        self.command_writers: list[
            asyncio.StreamWriter
        ] = []  # of the connection of each command seen

    async def start(self) -> int:
        """Listen, and return the port."""
        self.server = await asyncio.start_server(self._serve_client, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = resp.RespParser()
        self.writers.append(writer)
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                for parts in parser.feed(data):
                    self.commands.append(parts)
                    self.command_writers.append(writer)
                    self.script(self, parts, writer)
        except ConnectionError:
            pass

    def answer_served(self, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(
                resp.encode(parts[1], b"served", b"chunks=1,spent=5,wanted=3", b"a\tb\tc\n")
            )

    def writer_of(self, parts: list[bytes]) -> asyncio.StreamWriter:
        return next(
            w for seen, w in zip(self.commands, self.command_writers, strict=True) if seen is parts
        )

    def commands_named(self, word: bytes) -> list[list[bytes]]:
        return [parts for parts in self.commands if parts[0] == word]


class IdempotencyKeyStore:
    """What the engines of a fleet know together of keys: a repeat within the window of a first run
    that is under way or over is not run again; it is answered as served, with no rows.
    """

    def __init__(self, window: int) -> None:
        self.window_ns, self.first_run_ns, self.repeat_count = window, dict[str, int](), 0

    def is_repeat(self, nonce: str, now: int) -> bool:
        known = bool(nonce) and now - self.first_run_ns.get(nonce, -self.window_ns) < self.window_ns
        self.repeat_count += known
        return known


class EngineConnection(asyncio.Protocol):
    def __init__(self, engine: EmulatedEngine) -> None:
        self.engine, self.parser = engine, resp.RespParser()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: Any) -> None:
        """Register with the engine."""
        self.transport = transport
        self.engine.connections.add(self)
        if self.engine.connection_observer is not None:
            self.engine.connection_observer(time.monotonic())

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the engine; what runs for this connection goes on."""
        self.transport = None
        self.engine.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Pass complete commands to the engine."""
        for parts in self.parser.feed(data):
            self.engine.handle_command(self, parts)

    def write(self, *parts: bytes) -> None:
        """Send an answer, unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(resp.encode(*parts))


class EmulatedEngine:
    """A data engine with a machine behind it. ``sent``: when each query arrived, for the rule on
    drains. ``tells_every``: ns between notes of each query, 0: none. ``bad_plans``: the share of
    attempts that take so many times their work, drawn for each anew.
    """

    def __init__(
        self,
        uid: str,
        machine: Machine | None = None,
        honours_cancel: bool = False,
        keys: IdempotencyKeyStore | None = None,
        tells_every: int = 0,
        bad_plans: tuple[float, float] = (0.0, 1.0),
    ) -> None:
        self.key_store, self.progress_interval_ns, self.slow_runs = keys, tells_every, bad_plans
        self.random = random.Random(uid)
        self.connection_observer: Callable[[float], Any] | None = None  # told of each connection
        self.progress_timer: asyncio.TimerHandle | None = None
        self.uid, self.machine, self.honours_cancel = uid, machine or Machine(), honours_cancel
        self.connections: set[EngineConnection] = set()
        self.requesters: dict[bytes, EngineConnection] = {}
        self.pages: dict[bytes, list[bytes]] = {}
        self.received: list[tuple[int, bytes, bytes]] = []  # when, id, statement
        self.completion_timer: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.unresponsive = False  # cut off: says nothing, hears nothing
        self.port = 0

    async def start(self) -> int:
        """Listen, and return the port."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: EngineConnection(self), "127.0.0.1", 0
        )
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    def stop(self) -> None:
        """End as a killed process does: connections are reset, pages are lost."""
        if self.server is not None:
            self.server.close()
        for timer in (self.completion_timer, self.progress_timer):
            if timer is not None:
                timer.cancel()
        for run in self.machine.running.values():
            self._forget_key(run.idempotency_key)
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.pages.clear()

    def handle_command(self, connection: EngineConnection, parts: list[bytes]) -> None:
        if self.unresponsive:
            return
        if self.machine.crashed:
            return self.stop()
        word, now = parts[0], time.time_ns()
        if word == b"do" and len(parts) == 4:
            self._do(connection, parts[1], resp.read_pairs(parts[2]), parts[3], now)
        elif word in (b"top", b"ping"):
            connection.write(
                parts[1], b"green", b"meter=" + self.machine.load_meter().encode(), b""
            )
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
                self._forget_key(run.idempotency_key)
            self._finish(self.machine.cancel(now, parts[1]))
            self.requesters.pop(parts[1], None)
            self._look()

    def _meter(self) -> bytes:
        return b"meter=" + self.machine.load_meter().encode()

    def _send_page(self, connection: EngineConnection, query_id: bytes, rest: list[bytes]) -> None:
        pages = self.pages.get(query_id)
        if pages is None or not rest[0].isdigit():
            connection.write(query_id, b"crashed", b"-", b"")
            return
        number = int(rest[0])
        if number < len(pages):
            connection.write(query_id, b"rows", b"at=%d" % number, pages[number])

    def _cancel(self, query_id: bytes) -> None:
        run = self.machine.running.get(query_id)
        if run is not None:
            self._forget_key(run.idempotency_key)
        self._answer_completed(self.machine.cancel(time.time_ns(), query_id))
        self.requesters.pop(query_id, None)
        self._schedule_completion()

    def _run_query(
        self,
        connection: EngineConnection,
        id: bytes,
        fields: dict[str, str],
        statement: bytes,
    ) -> None:
        self.received.append((now, id, statement))

        def said(pattern: re.Pattern[bytes], default: int) -> int:
            return int(found[1]) if (found := pattern.search(statement)) else default

        self._finish(self.machine.advance(now))
        threads, nonce = said(THREADS, 1), fields.get("nonce", "")
        if self.key_store is not None and self.key_store.is_repeat(nonce, now):
            connection.write(id, b"served", b"chunks=1,spent=0,wanted=0", b"")
            return
        share, times = self.slow_runs
        work = said(WORK, 1) * MS * (times if self.random.random() < share else 1.0)
        if self.key_store is not None and nonce:
            self.key_store.first_run_ns[nonce] = now
        if not self.machine.start_query(
            now, id, fields.get("cls", "").encode(), statement, work, threads, nonce
        ):
            self._forget_key(nonce)
            connection.write(id, b"overload", b"meter=" + self.machine.load_meter().encode(), b"")
            return
        self.requesters[id] = connection
        self._look()
        if self.progress_interval_ns and self.progress_timer is None:
            self._note_later()

    def _forget_key(self, nonce: str) -> None:
        """Its run never began, was stopped, or died with the engine."""
        if self.key_store is not None:
            self.key_store.first_run_ns.pop(nonce, None)

    def _note_later(self) -> None:
        self.progress_timer = asyncio.get_running_loop().call_later(
            self.progress_interval_ns / 1e9, self._tell
        )

    def _tell(self) -> None:
        """A note for each query that is not over."""
        self.progress_timer = None
        for id, run in self.machine.running.items():
            if id in self.requesters and not self.unresponsive:
                done = max(
                    0.0, 1 - run.remaining_ns / max(1.0, run.work_ns * self.machine.slowdown)
                )
                self.requesters[id].write(id, b"update", b"tell=pct,amount=%.3f" % done, b"")
        if self.machine.running:
            self._schedule_progress()

    def _look(self) -> None:
        """One timer, for the query that ends first."""
        if self.completion_timer is not None:
            self.completion_timer.cancel()
        now = time.time_ns()
        if (end := self.machine.next_completion(now)) is not None:
            self.completion_timer = asyncio.get_running_loop().call_later(
                max(0, end - now) / 1e9, self._due
            )

    def _due(self) -> None:
        self._finish(self.machine.advance(time.time_ns()))
        self._look()

    def _finish(self, runs: list[QueryRun]) -> None:
        for run in runs:
            connection = self.requesters.pop(run.query_id, None)
            if connection is None or self.unresponsive:
                continue
            rows = ROWS.search(run.statement)
            pages = _pages(int(rows[1]) if rows else 1)
            if len(pages) > 1:
                self.pages[run.query_id] = pages
            memory = MEMORY.search(run.statement)
            connection.write(
                run.query_id,
                b"served",
                b"chunks=%d,spent=%d,wanted=%d,meter=%b"
                % (
                    len(pages),
                    run.work_ns // MS,
                    int(memory[1]) if memory else 1,
                    self.machine.load_meter().encode(),
                ),
                pages[0],
            )


def _read_number(pattern: re.Pattern[bytes], statement: bytes) -> int:
    """Return a number that the statement says of itself; 1 where it says none."""
    found = pattern.search(statement)
    return int(found[1]) if found else 1


def keys_run_twice(engines: list[EmulatedEngine]) -> list[str]:
    """Keys that ran to their end more than once, over all ledgers."""
    counts = Counter(
        run.idempotency_key
        for e in engines
        for run in e.machine.ledger
        if run.idempotency_key and run.remaining_ns <= 1.0
    )
    return [nonce for nonce, count in counts.items() if count > 1]


def statements_run_twice(engines: list[EmulatedEngine], cls: bytes) -> list[bytes]:
    """Statements of a class that began more than once, over all ledgers. Each carries an id of its
    own.
    """
    counts = Counter(
        run.statement for e in engines for run in e.machine.ledger if run.request_class == cls
    )
    return [statement for statement, count in counts.items() if count > 1]
