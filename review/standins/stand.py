"""Stand-ins for the review cases: clients, data engines, an event bus, a delaying proxy, and the
start of a real broker with the `run` line of the deploy file.

They are written from the protocol pages alone and use only the standard library. Everything listens
on loopback addresses, on ports that the system chooses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MS = 1_000_000
S = 1_000 * MS
REQUEST, ANSWER, CANCEL, ASK_READY, READY, NO_MORE = 2, 4, 8, 16, 32, 64
CODES = {0: "served", 1: "refused", 2: "failed"}

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def trouble_wanted() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be carried out, so it says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.started_ns = time.time_ns()

    def __call__(self, text: str, at_ns: int = 0) -> None:
        at_s = ((at_ns or time.time_ns()) - self.started_ns) / S
        self.file.write(f"{at_s:9.4f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


# --- settings of small deployments -------------------------------------------------------------


def warehouse_settings(brokers: int = 1) -> dict[str, Any]:
    """Settings like those of the site `atlanta-warehouse`: `undo` is honoured, loads have a key."""
    return {
        "classes": [
            _class("lookup", 800, 4_000, 1.0, "read_like", 0.0, 2.0),
            _class("report", 1_500, 25_000, 10.0, "read_like", 0.3, 2.5),
            {**_class("load", 3_000, 20_000, 12.0, "idempotency_key", 0.6, 2.5), "window": 20 * S},
        ],
        "contract": {
            "answer_slack": 20 * MS,
            "cold": 14 * S,
            "drain_grace": 500 * MS,
            "fall": 1_500 * MS,
            "fall_multiple": 4.0,
            "must_ask_in": 10 * S,
            "start_capacity": 0.33,
        },
        "fleet_size": brokers,
        "kinds": ["std-8core"],
        "me": 0,
        "membership_mode": "automatic",
        "policy_limits": _limits(cancel=True, second_copies=False, send_cap=3, longest_pause=1_000),
        "report": {"fields": ["busy", "q"], "via": "pull"},
        "specifics": {
            "is_load": [False, False, True],
            "blocked_by_loads": [True, True, False],
            "parallelism": [1, 2, 2],
            "size_cores": [8],
            "lanes_count": True,
            "memory_heeded": False,
            "tells_every": S,
        },
        "tick": 5 * MS,
        "weights": "nominal",
        "zone": "marietta-room",
        "zones": ["marietta-room"],
    }


def counter_settings(brokers: int = 2) -> dict[str, Any]:
    """Settings like those of the site `mombasa-head-office`: nothing can be cancelled."""
    return {
        "classes": [
            _class("lookup", 1_000, 5_000, 1.0, "read_like", 0.0, 2.0),
            _class("report", 1_500, 20_000, 10.0, "read_like", 0.4, 2.5),
            _class("till-load", 3_000, 25_000, 7.5, "non_idempotent", 0.5, 3.0),
        ],
        "contract": {
            "answer_slack": 20 * MS,
            "cold": 12 * S,
            "drain_grace": S,
            "fall": 1_500 * MS,
            "fall_multiple": 2.0,
            "must_ask_in": 10 * S,
            "start_capacity": 0.36,
        },
        "fleet_size": brokers,
        "kinds": ["std-8core"],
        "me": 0,
        "membership_mode": "automatic",
        "over_share_worth": 0.1,
        "policy_limits": _limits(cancel=False, second_copies=True, send_cap=5, longest_pause=2_000),
        "report": {"fields": ["q", "rif", "x1", "x0"], "via": "pull"},
        "specifics": {
            "is_load": [False, False, True],
            "blocked_by_loads": [True, True, False],
            "parallelism": [1, 4, 2],
            "size_cores": [8],
            "lanes_count": True,
            "memory_heeded": True,
            "tells_every": 0,
        },
        "tenants": [
            {"name": "likoni-crossings", "allowance_per_s": 16.0, "portion": 0.31},
            {"name": "lamu-island-boats", "allowance_per_s": 15.0, "portion": 0.28},
            {"name": "kilifi-creek-ferries", "allowance_per_s": 11.0, "portion": 0.21},
            {"name": "vanga-coast-boats", "allowance_per_s": 10.0, "portion": 0.2},
        ],
        "tick": 5 * MS,
        "weights": "rough",
        "zone": "ground-floor",
        "zones": ["ground-floor", "first-floor"],
    }


def _class(
    name: str, aim: int, deadline: int, worth: float, effect: str, late: float, stretch: float
) -> dict[str, Any]:
    return {
        "name": name,
        "aim": aim * MS,
        "aim_stretch": stretch,
        "deadline": deadline * MS,
        "effect": effect,
        "group": "all",
        "late_value": late,
        "streaming": False,
        "window": 5 * S,
        "worth": worth,
    }


def _limits(
    *, cancel: bool, second_copies: bool, send_cap: int, longest_pause: int
) -> dict[str, Any]:
    return {
        "cancel": cancel,
        "conn_idle": 30 * S,
        "connect_timeout": 250 * MS,
        "max_open": 30_000,
        "max_retry_after": longest_pause * MS,
        "peer_messages": False,
        "probing": True,
        "retry_after": True,
        "second_copies": second_copies,
        "send_cap": send_cap,
        "streams_per_conn": 32,
    }


# --- the event bus -----------------------------------------------------------------------------


def target(uid: str, port: int, state: str = "in_service", **more: Any) -> dict[str, Any]:
    """Return one entry of the list of data engines."""
    return {
        "uid": uid,
        "endpoint": f"{HOST}:{port}",
        "az": "marietta-room",
        "model": "std-8core",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 8,
        "boot_ms": 0,
        **more,
    }


class Bus:
    """An event bus: `from N`, every later event, and each second the last number."""

    def __init__(self, record: Record, name: str = "bus", follows: Bus | None = None) -> None:
        """Create a bus; one that follows another has the same events under the same numbers."""
        self.record = record
        self.name = name
        self.events: list[dict[str, Any]] = follows.events if follows is not None else []
        self.watchers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.create_task(self._beat())

    def publish(self, *targets: dict[str, Any]) -> int:
        """Put an event into the bus and return when, in Unix ns."""
        number = len(self.events) + 1
        topology = {"rev": number, "all": not self.events, "targets": list(targets)}
        self.events.append({"offset": number, "topology": topology})
        at_ns = time.time_ns()
        told = ", ".join(f"{entry['uid']} {entry['state']}" for entry in targets)
        self.record(f"{self.name}: event {number}: {told}", at_ns)
        for watcher in list(self.watchers):
            self._write(watcher, json.dumps(self.events[-1]))
        return at_ns

    def known(self) -> dict[str, Any]:
        """Return the events up to now, as the configuration holds them."""
        return {"offset": len(self.events), "batch": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            self.record(f"{self.name}: a broker asks: {line.decode().strip()!r}")
            if not line.startswith(b"from "):
                return
            for event in self.events[int(line[5:]) :]:
                self._write(writer, json.dumps(event))
            self._write(writer, str(len(self.events)))
            self.watchers.add(writer)
            await reader.read()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()

    def end(self) -> None:
        """End like a service that is taken out of use: nothing listens at its address any more."""
        self.record(f"{self.name}: ends")
        self.beat.cancel()
        self.server.close()
        for watcher in list(self.watchers):
            watcher.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1)
            for watcher in list(self.watchers):
                self._write(watcher, str(len(self.events)))

    def _write(self, writer: asyncio.StreamWriter, line: str) -> None:
        if writer.is_closing():
            self.watchers.discard(writer)
        else:
            writer.write(line.encode() + b"\n")


class DelayingProxy:
    """Passes bytes on in both directions; those of the server later by `delay_s`, in order."""

    def __init__(self, upstream_port: int, record: Record) -> None:
        self.upstream_port = upstream_port
        self.record = record
        self.delay_s = 0.0
        self.connections = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.record(f"path to the bus: connection {number} opened by the broker")
        up_reader, up_writer = await asyncio.open_connection(HOST, self.upstream_port)
        back = asyncio.create_task(self._pass_late(up_reader, writer, number))
        try:
            while data := await reader.read(65_536):
                up_writer.write(data)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.record(f"path to the bus: connection {number} closed by the broker")
            back.cancel()
            up_writer.close()
            writer.close()

    async def _pass_late(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            loop = asyncio.get_running_loop()
            while True:
                due_s, data = await queue.get()
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                if writer.is_closing():
                    return
                writer.write(data)
                for line in data.decode().splitlines():
                    if line.startswith("{"):
                        number_of_event = json.loads(line)["offset"]
                        self.record(f"path to the bus: event {number_of_event} delivered ({number})")

        sender = asyncio.create_task(deliver())
        try:
            while data := await reader.read(65_536):
                queue.put_nowait((asyncio.get_running_loop().time() + self.delay_s, data))
        except ConnectionError:
            pass
        finally:
            if reader.at_eof():
                writer.close()
            sender.cancel()


# --- data engines ------------------------------------------------------------------------------


def encode(*parts: bytes) -> bytes:
    """Encode one RESP array of bulk strings."""
    bulk = b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"*%d\r\n" % len(parts) + bulk


class RespReader:
    """Reads RESP arrays of bulk strings from a stream of bytes."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Add bytes and return the arrays that are whole."""
        self.buffer += data
        arrays = []
        while (found := self._next()) is not None:
            arrays.append(found)
        return arrays

    def _next(self) -> list[bytes] | None:
        position = self.buffer.find(b"\r\n")
        if position < 0:
            return None
        count = int(self.buffer[1:position])
        position += 2
        parts = []
        for _ in range(count):
            end = self.buffer.find(b"\r\n", position)
            if end < 0:
                return None
            size = int(self.buffer[position + 1 : end])
            begin = end + 2
            if len(self.buffer) < begin + size + 2:
                return None
            parts.append(bytes(self.buffer[begin : begin + size]))
            position = begin + size + 2
        del self.buffer[:position]
        return parts


class Engine:
    """A sound data engine in this process: it runs what it is sent and serves one row.

    `arrivals`: for each `do`, when its first and its last byte came, and its id; `cut_off`: the ids
    of what ran when the engine ended.
    """

    def __init__(self, uid: str, record: Record, run_s: float = 0.1) -> None:
        self.uid = uid
        self.record = record
        self.run_s = run_s
        self.run_s_by_class: dict[bytes, float] = {}
        self.arrivals: list[tuple[int, int, bytes]] = []
        self.running: dict[bytes, asyncio.TimerHandle] = {}
        self.cut_off: list[bytes] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End as a process does: its connections are reset, and what it runs is cut off."""
        self.record(f"{self.uid}: ends; cut off: {len(self.running)}")
        self.server.close()
        for tag, timer in self.running.items():
            timer.cancel()
            self.cut_off.append(tag)
        self.running.clear()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        parser = RespReader()
        first_ns = 0
        try:
            while data := await reader.read(65_536):
                now_ns = time.time_ns()
                if not parser.buffer:
                    first_ns = now_ns
                for parts in parser.feed(data):
                    self._handle(parts, writer, first_ns, now_ns)
                    first_ns = now_ns
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _handle(
        self, parts: list[bytes], writer: asyncio.StreamWriter, first_ns: int, now_ns: int
    ) -> None:
        name, tag = parts[0], parts[1]
        if name == b"do":
            self.arrivals.append((first_ns, now_ns, tag))
            self.record(f"{self.uid}: do {tag.decode()} {parts[2].decode()}", now_ns)
            fields = dict(pair.split(b"=", 1) for pair in parts[2].split(b",") if b"=" in pair)
            run_s = self.run_s_by_class.get(fields.get(b"cls", b""), self.run_s)
            loop = asyncio.get_running_loop()
            self.running[tag] = loop.call_later(run_s, self._end, tag, writer)
        elif name == b"undo":
            self.record(f"{self.uid}: undo {tag.decode()}", now_ns)
            timer = self.running.pop(tag, None)
            if timer is not None:
                timer.cancel()
        elif name in (b"top", b"ping"):
            writer.write(encode(tag, b"green", b"meter=util:0.1;queue:0", b""))

    def _end(self, tag: bytes, writer: asyncio.StreamWriter) -> None:
        self.running.pop(tag, None)
        self.record(f"{self.uid}: served {tag.decode()}")
        if not writer.is_closing():
            fields = b"chunks=1,spent=%d,wanted=8" % (self.run_s * 1_000)
            writer.write(encode(tag, b"served", fields, b"%b\ta\tb\n" % tag))


class EngineProcess:
    """A data engine that runs in a process of its own: `engine_process.py`."""

    def __init__(self, uid: str, record: Record, run_s: float) -> None:
        self.uid = uid
        self.record = record
        self.run_s = run_s
        self.told: list[dict[str, Any]] = []

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).with_name("engine_process.py")),
            str(self.run_s),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self.port = json.loads(await self.process.stdout.readline())["port"]
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            told = json.loads(line)
            self.told.append(told)
            self.record(f"{self.uid}: {line.decode().strip()}")

    def hang(self) -> None:
        self.record(f"{self.uid}: hangs (SIGSTOP)")
        self.process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.record(f"{self.uid}: goes on (SIGCONT)")
        self.process.send_signal(signal.SIGCONT)

    def attempts(self) -> list[dict[str, Any]]:
        """Return what the engine told of each `do`."""
        return [told for told in self.told if told["event"] == "do"]

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()
        self.reading.cancel()


# --- clients -----------------------------------------------------------------------------------


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Encode one frame of the clients' protocol."""
    length = (5 + len(payload)).to_bytes(4, "big")
    return length + bytes((kind,)) + stream.to_bytes(4, "big") + payload


def encode_fields(values: dict[str, str]) -> bytes:
    """Encode the fields of a payload."""
    encoded = bytes((len(values),))
    for name, value in values.items():
        encoded += bytes((len(name),)) + name.encode()
        encoded += len(value).to_bytes(2, "big") + value.encode()
    return encoded


def decode_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """Return the fields of a payload and what follows them."""
    values, position = {}, 1
    for _ in range(payload[0]):
        name_end = position + 1 + payload[position]
        name = payload[position + 1 : name_end].decode()
        size = int.from_bytes(payload[name_end : name_end + 2], "big")
        values[name] = payload[name_end + 2 : name_end + 2 + size].decode()
        position = name_end + 2 + size
    return values, payload[position:]


class Request:
    """One request of a client, and what became of it."""

    def __init__(self, trace: str, stream: int) -> None:
        self.trace = trace
        self.stream = stream
        self.sent_ns = 0
        self.cancelled_ns = 0
        self.answers: list[tuple[int, int, dict[str, str], bytes]] = []
        self.lost_ns = 0


class Client:
    """One connection of a client."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.requests: dict[int, Request] = {}
        self.last_stream = 0
        self.ready: asyncio.Future[bool] | None = None
        self.ended_ns = 0
        self.stream_zero: list[bytes] = []

    async def connect(self, port: int) -> Client:
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.reading = asyncio.create_task(self._read())
        return self

    async def ask_ready(self) -> bool:
        self.ready = asyncio.get_running_loop().create_future()
        self.writer.write(frame(ASK_READY, 0, b"\0"))
        return await asyncio.wait_for(self.ready, 2)

    def send(
        self, trace: str, route: str, statement: bytes, *, stream: int = 0, **fields: str
    ) -> Request:
        """Send one request; the fields that are not given have usual values."""
        self.last_stream = stream or self.last_stream + 1
        request = Request(trace, self.last_stream)
        self.requests[request.stream] = request
        given = {"route": route, "trace": trace, "patience": "4000", **fields}
        payload = encode_fields(given) + statement
        self.writer.write(frame(REQUEST, request.stream, payload))
        request.sent_ns = time.time_ns()
        self.record(f"{self.name}: sends {trace} {route} on stream {request.stream}")
        return request

    def cancel(self, request: Request) -> None:
        """Send type 8: nobody waits for this stream any more."""
        self.writer.write(frame(CANCEL, request.stream))
        request.cancelled_ns = time.time_ns()
        self.record(f"{self.name}: cancels {request.trace}", request.cancelled_ns)

    async def _read(self) -> None:
        try:
            while True:
                head = await self.reader.readexactly(9)
                length, kind = int.from_bytes(head[:4], "big"), head[4]
                payload = await self.reader.readexactly(length - 5)
                self._handle(kind, int.from_bytes(head[5:], "big"), payload)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.ended_ns = time.time_ns()
            self.record(f"{self.name}: its connection has ended", self.ended_ns)
            for request in self.requests.values():
                if not request.answers and not request.cancelled_ns:
                    request.lost_ns = self.ended_ns
                    self.record(f"{self.name}: no answer to {request.trace}")

    def _handle(self, kind: int, stream: int, payload: bytes) -> None:
        now_ns = time.time_ns()
        if kind == READY and self.ready is not None and not self.ready.done():
            self.ready.set_result(payload[:1] == b"\0")
        elif kind == ANSWER and stream == 0:
            self.stream_zero.append(payload)
            self.record(f"{self.name}: an error on stream 0: {payload[2:]!r}", now_ns)
        elif kind == ANSWER:
            fields, body = decode_fields(payload[1:])
            request = self.requests[stream]
            request.answers.append((now_ns, payload[0], fields, body))
            code = CODES.get(payload[0], str(payload[0]))
            self.record(f"{self.name}: {code} {request.trace} {body[:60]!r}", now_ns)

    def close(self) -> None:
        self.reading.cancel()
        self.writer.close()


def make_trace(number: int) -> str:
    """Return a new trace: 16 hex digits."""
    return f"{number:04x}{os.urandom(6).hex()}"


# --- the broker --------------------------------------------------------------------------------


def free_port() -> int:
    """Return a port that is free now, below the range from which the system draws ports."""
    with contextlib.suppress(OSError):
        low = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
        for _ in range(200):
            port = 10_000 + int.from_bytes(os.urandom(2), "big") % max(1, low - 10_000)
            with contextlib.suppress(OSError), socket.socket() as probe:
                probe.bind((HOST, port))
                return port
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Broker:
    """A real broker, started with the `run` line of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record, config: dict[str, Any]) -> None:
        self.name = name
        self.record = record
        self.port = free_port()
        self.folder = folder / name
        self.folder.mkdir()
        self.temporary = self.folder / "tmp"
        self.temporary.mkdir()
        self.config_path = self.folder / "config.json"
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        self.write_config(self.config)
        self.log_path = self.folder / "log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the file that `PROXY_CONFIG` names."""
        self.config = config
        part = self.config_path.with_suffix(".part")
        part.write_text(json.dumps(config))
        part.rename(self.config_path)

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(self.temporary),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"{self.name}: started")

    async def wait_until_ready(self, seconds: float = 30.0) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            if self.process is not None and self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, TimeoutError):
                client = await Client(f"front of {self.name}", self.record).connect(self.port)
                try:
                    if await client.ask_ready():
                        self.record(f"{self.name}: ready")
                        return
                finally:
                    client.close()
            await asyncio.sleep(0.05)
        problem = f"{self.name} did not become ready: {self.log()[-2000:]}"
        raise CouldNotRunError(problem)

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def log(self) -> str:
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    def end(self) -> None:
        """End the process, whatever its state."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        for line in self.log().splitlines():
            self.record(f"log of {self.name}: {line}")


def run_case(folder: Path, play: Any, seconds: float = 110.0) -> None:
    """Play a case, and exit as the review asks: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    record.say(f"trouble: {'yes' if trouble_wanted() else 'no'}")

    async def main(temporary: Path) -> int:
        return int(await asyncio.wait_for(play(record, temporary), seconds))

    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(main(Path(temporary)))
    except Exception as error:  # noqa: BLE001  # whatever it is, the rule was not tested
        record.say(f"could not run: {type(error).__name__}: {error}")
        code = COULD_NOT_RUN
    names = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
    record.say(f"result: {names[code]}")
    sys.exit(code)
