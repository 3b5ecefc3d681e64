"""Data engines on loopback: one with scripted answers, and one that simulates a machine."""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from ..overriding import override
from ..protocols import resp
from .machine import Machine, QueryRun

HOST = "127.0.0.1"
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
READ_SIZE_BYTES = 65_536
# Values in the comment of a statement, as in `/* work=120 threads=2 rows=3 mem=40 */`: work is in
# milliseconds, memory in megabytes.
WORK_MS_PATTERN = re.compile(rb"work=(\d+)")
THREADS_PATTERN = re.compile(rb"threads=(\d+)")
ROWS_PATTERN = re.compile(rb"rows=(\d+)")
MEMORY_MB_PATTERN = re.compile(rb"mem=(\d+)")
#: Small, so that a result of a few hundred rows has several pages.
MAX_PAGE_BYTES = 6_000
ROW_BYTES = 24

Script = Callable[["ScriptedEngine", list[bytes], asyncio.StreamWriter], Any]


class ScriptedEngine:
    """A data engine whose answers a test scripts.

    Attributes:
        script: Called with the engine, the parts of a command and its connection, for each command.
        commands: The parts of all commands, in the order of their arrival.
        writers: All connections, in the order in which they were opened.
        command_writers: The connection of each entry of `commands`.
    """

    def __init__(self, script: Script | None = None) -> None:
        """Create an engine that does not listen yet; without a script it serves every query."""
        self.script = script or ScriptedEngine.answer_served
        self.commands: list[list[bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.command_writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        """Start listening and return the port."""
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
        """Answer a query with one row; other commands get no answer."""
        if parts[0] == b"do":
            writer.write(
                resp.encode(parts[1], b"served", b"chunks=1,spent=5,wanted=3", b"a\tb\tc\n")
            )

    def writer_of(self, parts: list[bytes]) -> asyncio.StreamWriter:
        """Return the connection on which a command arrived."""
        pairs = zip(self.commands, self.command_writers, strict=True)
        return next(writer for command, writer in pairs if command is parts)

    def commands_named(self, name: bytes) -> list[list[bytes]]:
        """Return the commands with this name, in the order of their arrival."""
        return [parts for parts in self.commands if parts[0] == name]


class IdempotencyKeyStore:
    """The idempotency keys that the engines of a fleet share.

    A query is not run if another run with its key began within the window; it is answered as
    served, without rows.

    Attributes:
        window_ns: How long a key is remembered.
        first_run_ns: When the first run of each key began.
        repeat_count: Number of queries that were not run because their key was known.
    """

    def __init__(self, window_ns: int) -> None:
        """Create an empty store."""
        self.window_ns = window_ns
        self.first_run_ns: dict[str, int] = {}
        self.repeat_count = 0

    def is_repeat(self, key: str, now_ns: int) -> bool:
        """Return whether a run with this key began within the window; count a repeat."""
        if not key:
            return False
        first_ns = self.first_run_ns.get(key, -self.window_ns)
        is_repeat = now_ns - first_ns < self.window_ns
        self.repeat_count += is_repeat
        return is_repeat


class SlowRuns(NamedTuple):
    """Runs that take longer than their statement says, like queries with a bad plan.

    Attributes:
        probability: The probability that a run is slow.
        factor: The factor by which the work of a slow run is multiplied.
    """

    probability: float = 0.0
    factor: float = 1.0


NO_SLOW_RUNS = SlowRuns()


class EngineConnection(asyncio.Protocol):
    """One connection of a broker to an emulated engine."""

    def __init__(self, engine: EmulatedEngine) -> None:
        """Create the protocol of a connection that is not established yet."""
        self.engine = engine
        self.parser = resp.RespParser()
        self.transport: asyncio.Transport | None = None

    @override
    def connection_made(self, transport: Any) -> None:
        """Register with the engine."""
        self.transport = transport
        self.engine.connections.add(self)
        if self.engine.connection_observer is not None:
            self.engine.connection_observer(time.monotonic())

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister from the engine; queries of this connection keep running."""
        self.transport = None
        self.engine.connections.discard(self)

    @override
    def data_received(self, data: bytes) -> None:
        """Pass complete commands to the engine."""
        for parts in self.parser.feed(data):
            self.engine.handle_command(self, parts)

    def write(self, *parts: bytes) -> None:
        """Send an answer, unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(resp.encode(*parts))


class ReceivedQuery(NamedTuple):
    """A query that arrived at an engine, whether or not it was run."""

    received_ns: int
    query_id: bytes
    statement: bytes


class EmulatedEngine:
    """A data engine that runs queries on a simulated machine, in real time.

    Attributes:
        uid: The engine's name in the endpoint list.
        machine: The machine that runs the queries; its ledger records every query that began.
        key_store: Idempotency keys, shared with other engines; None if keys are ignored.
        received_queries: All queries that arrived.
        connections: The open connections of brokers.
        requesters: The connection to which each running query is answered, by query id.
        pages: The pages of each result that has more than one, by query id.
        connection_observer: Called with the monotonic time of each new connection, in seconds.
        unresponsive: Whether commands are ignored and no answers are sent; set by tests.
        port: The port on which the engine listens.
    """

    def __init__(
        self,
        uid: str,
        machine: Machine | None = None,
        honours_cancel: bool = False,
        key_store: IdempotencyKeyStore | None = None,
        progress_interval_ns: int = 0,
        slow_runs: SlowRuns = NO_SLOW_RUNS,
    ) -> None:
        """Create an engine that does not listen yet.

        Args:
            uid: The engine's name, and the seed of its random numbers.
            machine: The machine; None creates a warm one with 8 cores.
            honours_cancel: Whether the engine cancels a query on request.
            key_store: Idempotency keys, shared with other engines; None ignores keys.
            progress_interval_ns: Time between two progress messages of a query; 0 sends none.
            slow_runs: How often, and by how much, a run is slower than its statement says.
        """
        self.uid = uid
        self.machine = machine or Machine()
        self.honours_cancel = honours_cancel
        self.key_store = key_store
        self.progress_interval_ns = progress_interval_ns
        self.slow_runs = slow_runs
        self.random = random.Random(uid)
        self.connection_observer: Callable[[float], Any] | None = None
        self.progress_timer: asyncio.TimerHandle | None = None
        self.completion_timer: asyncio.TimerHandle | None = None
        self.connections: set[EngineConnection] = set()
        self.requesters: dict[bytes, EngineConnection] = {}
        self.pages: dict[bytes, list[bytes]] = {}
        self.received_queries: list[ReceivedQuery] = []
        self.server: asyncio.Server | None = None
        self.unresponsive = False
        self.port = 0

    async def start(self) -> int:
        """Start listening and return the port."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: EngineConnection(self), HOST, 0
        )
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    def stop(self) -> None:
        """Stop like a killed process: connections are reset and pages are lost."""
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
        """Handle one command of a broker; unknown commands are ignored."""
        if self.unresponsive:
            return
        if self.machine.crashed:
            self.stop()
            return
        match parts:
            case [b"do", query_id, pairs, statement]:
                self._run_query(connection, query_id, resp.read_pairs(pairs), statement)
            case [b"top" | b"ping", query_id, *_]:
                connection.write(query_id, b"green", self._meter(), b"")
            case [b"page", query_id, *rest]:
                self._send_page(connection, query_id, rest)
            case [b"forget", query_id, *_]:
                self.pages.pop(query_id, None)
            case [b"undo", query_id, *_] if self.honours_cancel:
                self._cancel(query_id)

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
        query_id: bytes,
        fields: dict[str, str],
        statement: bytes,
    ) -> None:
        now_ns = time.time_ns()
        self.received_queries.append(ReceivedQuery(now_ns, query_id, statement))
        self._answer_completed(self.machine.advance(now_ns))
        key = fields.get("nonce", "")
        if self.key_store is not None and self.key_store.is_repeat(key, now_ns):
            connection.write(query_id, b"served", b"chunks=1,spent=0,wanted=0", b"")
            return
        work_ns = self._draw_work_ns(statement)
        if self.key_store is not None and key:
            self.key_store.first_run_ns[key] = now_ns
        request_class = fields.get("cls", "").encode()
        threads = _read_number(THREADS_PATTERN, statement)
        if not self.machine.start_query(
            now_ns, query_id, request_class, statement, work_ns, threads, key
        ):
            self._forget_key(key)
            connection.write(query_id, b"overload", self._meter(), b"")
            return
        self.requesters[query_id] = connection
        self._schedule_completion()
        if self.progress_interval_ns and self.progress_timer is None:
            self._schedule_progress()

    def _draw_work_ns(self, statement: bytes) -> float:
        is_slow = self.random.random() < self.slow_runs.probability
        factor = self.slow_runs.factor if is_slow else 1.0
        return _read_number(WORK_MS_PATTERN, statement) * NS_PER_MS * factor

    def _forget_key(self, key: str) -> None:
        """Forget a key whose run never began, was cancelled, or ended with the engine."""
        if self.key_store is not None:
            self.key_store.first_run_ns.pop(key, None)

    def _schedule_progress(self) -> None:
        interval_s = self.progress_interval_ns / NS_PER_S
        loop = asyncio.get_running_loop()
        self.progress_timer = loop.call_later(interval_s, self._send_progress)

    def _send_progress(self) -> None:
        self.progress_timer = None
        for query_id, run in self.machine.running.items():
            if query_id in self.requesters and not self.unresponsive:
                total_ns = max(1.0, run.work_ns * self.machine.slowdown)
                done = max(0.0, 1 - run.remaining_ns / total_ns)
                self.requesters[query_id].write(
                    query_id, b"update", b"tell=pct,amount=%.3f" % done, b""
                )
        if self.machine.running:
            self._schedule_progress()

    def _schedule_completion(self) -> None:
        """Set the completion timer to the query that completes first."""
        if self.completion_timer is not None:
            self.completion_timer.cancel()
        now_ns = time.time_ns()
        end_ns = self.machine.next_completion(now_ns)
        if end_ns is not None:
            delay_s = max(0, end_ns - now_ns) / NS_PER_S
            loop = asyncio.get_running_loop()
            self.completion_timer = loop.call_later(delay_s, self._complete_due)

    def _complete_due(self) -> None:
        self._answer_completed(self.machine.advance(time.time_ns()))
        self._schedule_completion()

    def _answer_completed(self, runs: list[QueryRun]) -> None:
        for run in runs:
            connection = self.requesters.pop(run.query_id, None)
            if connection is not None and not self.unresponsive:
                self._answer_run(connection, run)

    def _answer_run(self, connection: EngineConnection, run: QueryRun) -> None:
        pages = _make_pages(_read_number(ROWS_PATTERN, run.statement))
        if len(pages) > 1:
            self.pages[run.query_id] = pages
        fields = b"chunks=%d,spent=%d,wanted=%d," % (
            len(pages),
            run.work_ns // NS_PER_MS,
            _read_number(MEMORY_MB_PATTERN, run.statement),
        )
        connection.write(run.query_id, b"served", fields + self._meter(), pages[0])


def _read_number(pattern: re.Pattern[bytes], statement: bytes) -> int:
    """Return a number from the comment of a statement; 1 if the comment does not contain it."""
    found = pattern.search(statement)
    return int(found[1]) if found else 1


def _make_pages(row_count: int) -> list[bytes]:
    rows_per_page = MAX_PAGE_BYTES // ROW_BYTES
    rows = [b"%08d\trow\tvalue\n" % number for number in range(row_count)]
    starts = range(0, max(1, row_count), rows_per_page)
    return [b"".join(rows[start : start + rows_per_page]) for start in starts]


def keys_run_twice(engines: list[EmulatedEngine]) -> list[str]:
    """Return the idempotency keys with more than one completed run, over all ledgers."""
    counts: Counter[str] = Counter()
    for engine in engines:
        counts.update(
            run.idempotency_key
            for run in engine.machine.ledger
            if run.idempotency_key and run.is_complete
        )
    return [key for key, count in counts.items() if count > 1]


def statements_run_twice(engines: list[EmulatedEngine], request_class: bytes) -> list[bytes]:
    """Return the statements of a class that began more than once, over all ledgers.

    The statements must be unique, for example by an id in their comments.
    """
    counts: Counter[bytes] = Counter()
    for engine in engines:
        counts.update(
            run.statement for run in engine.machine.ledger if run.request_class == request_class
        )
    return [statement for statement, count in counts.items() if count > 1]
