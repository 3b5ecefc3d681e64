"""What the cases share: one broker as the deploy file starts it, and stand-ins around it.

The stand-ins are written from the protocol pages: clients, data engines, the event bus, and a
proxy that stands for the network between a broker and one engine. They run in the process of the
case, on loopback addresses; the broker is a process of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MS = 1_000_000
S = 1_000 * MS
#: A run of a case ends by itself before this.
CASE_TIMEOUT_S = 100.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SERVED, REFUSED, FAILED = 0, 1, 2
CODE_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


class CouldNotRunError(Exception):
    """The case did not come about, so that the run says nothing about the rule."""


class Record:
    """The lines of record.txt, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- the broker -------------------------------------------------------------------------------


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, in the form of the platform's first message."""
    base: dict[str, Any] = {
        "callers": {"marks_retry": True},
        "charges": {"cross_zone": 0.0, "handshake": 0.0, "probe": 0.01, "waste": 0.05},
        "classes": [
            {
                "name": "lookup",
                "aim": 800 * MS,
                "aim_stretch": 2.0,
                "deadline": 4 * S,
                "effect": "read_like",
                "group": "all",
                "late_value": 0.3,
                "streaming": False,
                "window": 5 * S,
                "worth": 1.0,
            }
        ],
        "contract": {
            "answer_slack": 20 * MS,
            "cold": 12 * S,
            "drain_grace": 500 * MS,
            "fall": 1_500 * MS,
            "fall_multiple": 4.0,
            "must_ask_in": 10 * S,
            "start_capacity": 0.36,
        },
        "fleet_size": 1,
        "kind_of_service": "queries",
        "kinds": ["std-8core"],
        "layers": ["data-engines"],
        "me": 0,
        "membership_mode": "automatic",
        "over_share_worth": 0.1,
        "policy_limits": {
            "cancel": False,
            "conn_idle": 30 * S,
            "connect_timeout": 250 * MS,
            "max_open": 30_000,
            "max_retry_after": 2 * S,
            "peer_messages": False,
            "probing": True,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 3,
            "streams_per_conn": 32,
        },
        "report": {"fields": ["util", "queue"], "via": "pull"},
        "specifics": {
            "blocked_by_loads": [False],
            "is_load": [False],
            "kind_memory_mb": [16384.0],
            "lanes_count": True,
            "memory_heeded": False,
            "parallelism": [1],
            "says_cost": True,
            "size_cores": [8],
            "tells_every": 0,
        },
        "tenants": [],
        "tick": 5 * MS,
        "tier": 0,
        "weights": "nominal",
        "worth_by": "request",
        "zone": "room",
        "zones": ["room"],
    }
    for key, value in changes.items():
        if isinstance(base.get(key), dict):
            base[key] = {**base[key], **value}
        else:
            base[key] = value
    return base


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def target(uid: str, port: int, state: str = "in_service") -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": f"{HOST}:{port}",
        "az": "room",
        "model": "std-8core",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 8,
        "boot_ms": 0,
    }


def topology(offset: int, targets: list[dict[str, Any]], full: bool = False) -> dict[str, Any]:
    return {"offset": offset, "topology": {"rev": offset, "all": full, "targets": targets}}


class Broker:
    """One broker, started with `run` of the deploy file."""

    def __init__(
        self,
        record: Record,
        raw_settings: dict[str, Any],
        targets: list[dict[str, Any]],
        limits: dict[str, Any],
        bus_port: int = 0,
    ) -> None:
        self.record = record
        self.port = free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.process: subprocess.Popen[bytes] | None = None
        self.config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": {"offset": 1, "batch": [topology(1, targets, full=True)]},
            "settings": raw_settings,
        }
        if bus_port:
            self.config["bus"] = f"{HOST}:{bus_port}"

    async def start(self) -> None:
        config_path = self.folder / "config.json"
        config_path.write_text(json.dumps(self.config), encoding="utf-8")
        private = self.folder / "private"
        private.mkdir()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        env = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        env |= {"PROXY_CONFIG": str(config_path), "TMPDIR": str(private)}
        self.log_path = self.folder / "broker.log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self.process.poll() is not None:
                break
            if await self._is_ready():
                self.record("the broker is ready")
                return
        raise CouldNotRunError("the broker did not become ready in 30 s")

    async def _is_ready(self) -> bool:
        try:
            client = await Client.connect(self.record, self.port)
        except OSError:
            return False
        try:
            return await asyncio.wait_for(client.ask_ready(), 2)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            client.close()

    def stop(self) -> None:
        """End the process, copy its log into the record, and remove its folder."""
        if self.process is not None:
            ended = self.process.poll()
            if ended is None:
                self.process.send_signal(signal.SIGKILL)
                self.process.wait()
            else:
                self.record(f"the broker had ended by itself: {ended}")
            for line in self.log_path.read_text("utf-8", "replace").splitlines()[:60]:
                self.record(f"log of the broker: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


# --- clients ----------------------------------------------------------------------------------

HEAD = struct.Struct(">IBI")


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return HEAD.pack(5 + len(payload), kind, stream) + payload


def encode_fields(fields: dict[str, str]) -> bytes:
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts += [bytes((len(name),)), name.encode()]
        parts += [len(value).to_bytes(2, "big"), value.encode()]
    return b"".join(parts)


def decode_fields(data: bytes) -> tuple[dict[str, str], bytes]:
    fields = {}
    position = 1
    for _ in range(data[0]):
        size = data[position]
        name = data[position + 1 : position + 1 + size].decode()
        position += 1 + size
        size = int.from_bytes(data[position : position + 2], "big")
        fields[name] = data[position + 2 : position + 2 + size].decode()
        position += 2 + size
    return fields, data[position:]


def request_frame(stream: int, fields: dict[str, str], statement: bytes) -> bytes:
    return frame(2, stream, encode_fields(fields) + statement)


@dataclass
class Answer:
    """What a client got on one stream: the code of each answer, and the last body."""

    codes: list[int] = field(default_factory=list)
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    at: float = 0.0


class Client:
    """One connection of a client; it reads all the time."""

    def __init__(
        self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.record = record
        self.reader = reader
        self.writer = writer
        self.answers: dict[int, Answer] = defaultdict(Answer)
        self.errors: list[str] = []
        self.told_to_leave = False
        self.ended_at: float | None = None
        self.ready: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.changed = asyncio.Event()
        self.task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, record: Record, port: int) -> Client:
        return cls(record, *await asyncio.open_connection(HOST, port))

    async def _read(self) -> None:
        try:
            while True:
                length, kind, stream = HEAD.unpack(await self.reader.readexactly(HEAD.size))
                payload = await self.reader.readexactly(length - 5)
                self._take(kind, stream, payload)
                self.changed.set()
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.ended_at = time.monotonic()
        self.changed.set()
        if not self.ready.done():
            self.ready.set_result(False)

    def _take(self, kind: int, stream: int, payload: bytes) -> None:
        if kind == 32 and not self.ready.done():
            self.ready.set_result(payload[0] == 0)
        elif kind == 64:
            self.told_to_leave = True
        elif kind == 4:
            fields, body = decode_fields(payload[1:])
            if stream == 0:
                self.errors.append(body.decode(errors="replace"))
                return
            answer = self.answers[stream]
            answer.codes.append(payload[0])
            answer.fields = fields
            answer.body = body
            answer.at = time.monotonic()

    async def ask_ready(self) -> bool:
        self.writer.write(frame(16, 0, encode_fields({})))
        return await self.ready

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def wait_answer(self, stream: int, timeout_s: float) -> Answer | None:
        """The answer on a stream, or None if none has come by then."""
        end = time.monotonic() + timeout_s
        while not self.answers[stream].codes and self.ended_at is None:
            self.changed.clear()
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        return self.answers[stream] if self.answers[stream].codes else None

    def close(self) -> None:
        self.task.cancel()
        self.writer.transport.abort()


def new_trace() -> str:
    return os.urandom(8).hex()


def code_of(answer: Answer | None) -> str:
    return "nothing" if answer is None else CODE_NAMES[answer.codes[0]]


# --- data engines -----------------------------------------------------------------------------


def resp(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


async def read_resp(reader: asyncio.StreamReader) -> list[bytes]:
    count = int((await reader.readuntil(b"\r\n"))[1:])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


def read_pairs(raw: bytes) -> dict[str, str]:
    text = raw.decode()
    return {} if text == "-" else dict(pair.split("=", 1) for pair in text.split(","))


class KeyMemory:
    """The idempotency keys that a group of engines shares: a repeat within the window is dropped."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.began: dict[str, float] = {}

    def is_repeat(self, key: str) -> bool:
        first = self.began.get(key)
        now = time.monotonic()
        if first is not None and now - first < self.window_s:
            return True
        self.began[key] = now
        return False


@dataclass
class Arrival:
    """One `do` that has come whole to an engine."""

    at: float
    engine: str
    trace: str
    fields: dict[str, str]
    statement: bytes
    ran: bool = True


class Engine:
    """A data engine: runs all that it gets at once, each for `work_s`, and answers with one row.

    The end of a connection gives up what is open on it, and so does `undo` where it is heeded.
    """

    def __init__(
        self,
        record: Record,
        uid: str,
        arrivals: list[Arrival],
        work_s: dict[str, float],
        keys: KeyMemory | None = None,
        heeds_undo: bool = False,
    ) -> None:
        self.record = record
        self.uid = uid
        self.arrivals = arrivals
        self.work_s = work_s
        self.keys = keys
        self.heeds_undo = heeds_undo
        self.finished: list[tuple[str, float]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_runs: dict[bytes, asyncio.Task[None]] = {}
        try:
            while True:
                parts = await read_resp(reader)
                if parts[0] == b"do":
                    self._begin(parts, writer, open_runs)
                elif parts[0] in (b"top", b"ping"):
                    writer.write(resp(parts[1], b"green", b"meter=util:0.1;queue:0", b""))
                elif parts[0] == b"undo" and self.heeds_undo and parts[1] in open_runs:
                    self.record(f"{self.uid}: undo {parts[1].decode()} stops its run")
                    open_runs.pop(parts[1]).cancel()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for run in open_runs.values():
                run.cancel()
            writer.close()

    def _begin(
        self,
        parts: list[bytes],
        writer: asyncio.StreamWriter,
        open_runs: dict[bytes, asyncio.Task[None]],
    ) -> None:
        fields = read_pairs(parts[2])
        trace = parts[1].decode()
        arrival = Arrival(time.monotonic(), self.uid, trace, fields, parts[3])
        self.arrivals.append(arrival)
        key = fields.get("nonce", "")
        if self.keys is not None and key and self.keys.is_repeat(key):
            arrival.ran = False
            self.record(f"{self.uid}: do {trace} is a repeat of {key}, not run")
            writer.write(resp(parts[1], b"served", b"chunks=1,spent=0,wanted=1", b""))
            return
        self.record(f"{self.uid}: do {trace} {fields.get('cls')} begins")
        task = asyncio.create_task(self._run(parts[1], fields, writer, open_runs))
        open_runs[parts[1]] = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(
        self,
        request_id: bytes,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
        open_runs: dict[bytes, asyncio.Task[None]],
    ) -> None:
        work_s = self.work_s[fields["cls"]]
        await asyncio.sleep(work_s)
        open_runs.pop(request_id, None)
        self.finished.append((request_id.decode(), time.monotonic()))
        self.record(f"{self.uid}: do {request_id.decode()} has run")
        spent = b"chunks=1,spent=%d,wanted=16" % int(work_s * 1000)
        writer.write(resp(request_id, b"served", spent, b"%b\trow\t1\n" % request_id))


# --- the event bus ----------------------------------------------------------------------------


class Bus:
    """The event bus: events after the number that a broker names, and a heartbeat each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.last = 1
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.beat = asyncio.create_task(self._heartbeats())
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            after = int(line.split()[1])
            for event in self.events:
                if event["offset"] > after:
                    writer.write(json.dumps(event).encode() + b"\n")
            self.writers.add(writer)
            await reader.read()
        except (OSError, ValueError, IndexError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(1)
            for writer in self.writers:
                writer.write(b"%d\n" % self.last)

    def tell(self, *targets: dict[str, Any]) -> None:
        """Put an event into the bus."""
        self.last += 1
        event = topology(self.last, list(targets))
        self.events.append(event)
        self.record(f"the event bus has event {self.last}: {json.dumps(targets)}")
        for writer in self.writers:
            writer.write(json.dumps(event).encode() + b"\n")


# --- the network ------------------------------------------------------------------------------


class Link:
    """A proxy between a broker and one server.

    While it is cut, nothing passes in either direction: it reads nothing, so that what the broker
    sends stays in the broker's system, as on a network that drops packets. Open connections stay
    open and silent. New connections don't come up: the listener's queue is full.
    """

    #: Small, so that a cut link takes in next to nothing.
    RECEIVE_BUFFER = 2_048

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record = record
        self.name = name
        self.server_port = port
        self.open = asyncio.Event()
        self.open.set()
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.fillers: list[socket.socket] = []
        self.connections = 0

    async def start(self) -> int:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.RECEIVE_BUFFER)
        self.listener.bind((HOST, 0))
        self.listener.listen(16)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])
        self._spawn(self._accept())
        return self.port

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.open.wait()
            await self._readable(self.listener)
            if not self.open.is_set():
                continue
            near, _ = await loop.sock_accept(self.listener)
            near.setblocking(False)
            self.connections += 1
            self._spawn(self._carry(near))

    async def _carry(self, near: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        far = socket.socket()
        far.setblocking(False)
        await loop.sock_connect(far, (HOST, self.server_port))
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(near, far))
                group.create_task(self._copy(far, near))
        except* OSError:
            pass
        finally:
            near.close()
            far.close()

    async def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        """Copy bytes until the source ends; then end the sink's other side too."""
        loop = asyncio.get_running_loop()
        while True:
            await self.open.wait()
            await self._readable(source)
            if not self.open.is_set():
                continue
            data = await loop.sock_recv(source, 65_536)
            if not data:
                raise ConnectionAbortedError
            await loop.sock_sendall(sink, data)

    async def _readable(self, source: socket.socket) -> None:
        """Wait until there is something to read, without reading it."""
        loop = asyncio.get_running_loop()
        ready = loop.create_future()
        fd = source.fileno()
        if fd < 0:
            raise ConnectionAbortedError
        loop.add_reader(fd, lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            loop.remove_reader(fd)

    def cut(self) -> None:
        self.record(f"the link to {self.name} is cut")
        self.open.clear()
        self.listener.listen(0)
        for _ in range(2):  # they fill the queue: the system drops what else wants to connect
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)

    def heal(self) -> None:
        self.record(f"the link to {self.name} is up again")
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(16)
        self.open.set()

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.listener.close()


# --- the frame of a case ----------------------------------------------------------------------


def run_case(folder: Path, case: Any) -> None:
    """Run `case(record, trouble)`, which returns the list of what broke the rule, and exit."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"the case runs {'with' if trouble else 'without'} the disruption")
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), CASE_TIMEOUT_S))
    except CouldNotRunError as error:
        record(f"RESULT: could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(COULD_NOT_RUN)
    except Exception as error:  # a fault of the case is no finding
        record(f"RESULT: could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(COULD_NOT_RUN)
    for line in broken:
        record(f"BROKEN: {line}")
        print(f"broken: {line}")
    record(f"RESULT: {'the rule was broken' if broken else 'the rule held'}")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
