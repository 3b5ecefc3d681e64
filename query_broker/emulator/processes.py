"""Real processes of this program on loopback, started, signalled and killed by their own ids."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

from .clients import RequestLog

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
ADMIN_TIMEOUT_S = 2.0
READY_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.05
#: Variables (without their prefix) of the caller's environment that the processes must not inherit.
HIDDEN_VARIABLES = ("OPERATOR_FILE", "OPERATOR", "LISTEN", "ACCEPT_FD", "NAME")


class ReservedPort(NamedTuple):
    """A port of this process's blocks, and from when on it may be given out."""

    port: int
    available_at_s: float


class PortAllocator:
    """Allocates ports to listen on that no other process allocates.

    A port that the system has chosen may become the local port of some connection before it is
    listened on, and two processes may choose the same one. So ports are taken from blocks below the
    range of the system. A block belongs to the process that has bound its first port.

    Attributes:
        reservations: The sockets bound to the first ports of this process's blocks.
        ports: The ports of these blocks with the time from which each may be given out; the first
            one is tried next.
    """

    #: Below the ports that the system gives to connections (from 32,768 on Linux).
    PORT_RANGE = range(10_000, 32_000)
    #: A test takes some tens of ports at the most.
    BLOCK_SIZE = 100
    #: Time within which a port that has been given out is not given out again: whoever has it may
    #: not listen on it yet. The starts of the tests take some seconds.
    REUSE_DELAY_S = 60.0

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        """Create an allocator that has reserved nothing yet."""
        self.reservations: list[socket.socket] = []
        self.ports: deque[ReservedPort] = deque()
        self._now_s = now_s

    def reserve_block(self) -> None:
        """Reserve another block, drawn at random.

        Raises:
            OSError: All blocks are taken.
        """
        starts = list(self.PORT_RANGE[:: self.BLOCK_SIZE])
        random.SystemRandom().shuffle(starts)
        for start in starts:
            reservation = socket.socket()
            try:
                reservation.bind((HOST, start))
            except OSError:
                reservation.close()
                continue
            self.reservations.append(reservation)
            for port in range(start + 1, start + self.BLOCK_SIZE):
                self.ports.appendleft(ReservedPort(port, 0.0))
            return
        problem = "no block of ports is left"
        raise OSError(problem)

    def allocate(self, count: int) -> list[int]:
        """Return free ports, none of which has been given out within `REUSE_DELAY_S`.

        Raises:
            OSError: Too many ports are in use.
        """
        found: list[int] = []
        while len(found) < count:
            port = self._next_port()
            if _can_be_bound(port):
                found.append(port)
        return found

    def _next_port(self) -> int:
        """Return a port that may be given out, and put it last."""
        now_s = self._now_s()
        if not self.ports or self.ports[0].available_at_s > now_s:
            self.reserve_block()
        port = self.ports.popleft().port
        self.ports.append(ReservedPort(port, now_s + self.REUSE_DELAY_S))
        return port


def _can_be_bound(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:  # in use
            return False
    return True


PORT_ALLOCATOR = PortAllocator()


def free_ports(count: int) -> list[int]:
    """Return free ports of this process's own blocks."""
    return PORT_ALLOCATOR.allocate(count)


class ProcessPorts(NamedTuple):
    """Where a process listens: for clients, for operators, and for other brokers."""

    client_port: int
    admin_port: int
    peer_port: int


class AdminReply(NamedTuple):
    """The HTTP status and the body of the answer to an operators' call."""

    status: int
    body: bytes


class BrokerProcess:
    """One process, with a folder, ports, settings and a log of its own.

    Attributes:
        number: Its number in the fleet.
        folder: Its files.
        tree: Root of the source tree that it runs.
        port: Where it listens for clients.
        admin_port: Where it listens for operators.
        peer_port: Where it listens for other brokers.
        env: Its environment.
        process: The process, once it was started.
        started_s: When it was started, in monotonic seconds.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        ports: ProcessPorts,
        raw: dict[str, Any],
        operator_file: str,
        tree: Path,
    ) -> None:
        """Write the files of a process that is not started yet.

        Args:
            number: Its number in the fleet.
            folder: Created for its files.
            ports: For clients, operators and other brokers.
            raw: The configuration; names, addresses and seed are replaced.
            operator_file: Text of the operators' file; empty: it has none.
            tree: Root of the source tree that it runs.
        """
        self.number = number
        self.folder = folder
        self.tree = tree
        self.port = ports.client_port
        self.admin_port = ports.admin_port
        self.peer_port = ports.peer_port
        folder.mkdir()
        self._write_config(raw)
        self.env = self._make_environment()
        if operator_file:
            self.write_operator_file(operator_file)
            self.env["PROXY_OPERATOR_FILE"] = str(folder / "operators.star")
        self.process: subprocess.Popen[bytes] | None = None
        self.started_s = 0.0

    def _write_config(self, raw: dict[str, Any]) -> None:
        config = {
            **raw,
            "name": f"n{self.number}",
            "listen": f"{HOST}:{self.port}",
            "operator": f"{HOST}:{self.admin_port}",
            "seed": f"{self.number + 1:x}",
            "settings": {**raw["settings"], "me": self.number},
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    def _make_environment(self) -> dict[str, str]:
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "PYTHONPATH": str(self.tree),
        }
        for name in HIDDEN_VARIABLES:
            environment.pop(f"PROXY_{name}", None)
        return environment

    def write_operator_file(self, text: str) -> None:
        """Replace the operators' file."""
        (self.folder / "operators.star").write_text(text)

    def start(self) -> None:
        """Start the process; its log is appended to that of an earlier one."""
        self.started_s = time.monotonic()
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "query_broker", "serve"],
                cwd=self.tree,
                env=self.env,
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def wait(self, seconds: float) -> int:
        """Wait for the end of the process, and return its exit code.

        Raises:
            subprocess.TimeoutExpired: It has not ended in time.
        """
        assert self.process is not None
        return self.process.wait(seconds)

    def kill(self) -> None:
        """Kill the process, also one that is paused; without effect if it has ended."""
        if self.process is not None and self.process.poll() is None:
            # One that is paused could not be waited for otherwise.
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Return the log so far."""
        return (self.folder / "log").read_text(errors="replace")

    def call_admin_api(self, path: str, method: str = "GET") -> AdminReply:
        """Make an operators' call.

        Raises:
            OSError: The process does not answer.
        """
        connection = http.client.HTTPConnection(HOST, self.admin_port, timeout=ADMIN_TIMEOUT_S)
        try:
            connection.request(method, path)
            response = connection.getresponse()
            return AdminReply(response.status, response.read())
        finally:
            connection.close()

    def status(self, path: str = "/start") -> Any:
        """Return the JSON answer to an operators' call."""
        return json.loads(self.call_admin_api(path).body)

    async def is_ready(self) -> bool:
        """Return whether it is ready, as the front end checks it."""
        try:
            client = await RequestLog(HOST, self.port).connect()
        except OSError:
            return False
        try:
            return await asyncio.wait_for(client.check_readiness(), READY_TIMEOUT_S)
        except (TimeoutError, OSError):
            return False
        finally:
            if client.transport is not None:
                client.transport.close()


class BrokerFleet:
    """Several processes, as a context manager that leaves none of them behind.

    Attributes:
        temporary_folder: Holds the folder of each process.
        processes: The processes, by number.
    """

    def __init__(
        self,
        count: int,
        raw: dict[str, Any],
        operator_file: str | Callable[[int, int], str] = "",
        tree: Path = ROOT,
    ) -> None:
        """Write the files of processes that are not started yet.

        Args:
            count: Number of processes.
            raw: Their configuration; its fleet size is the count unless it says another.
            operator_file: Text of the operators' file, the same for all, or made from the number of
                a process and its port for other brokers.
            tree: Root of the source tree that they run.
        """
        self.temporary_folder = tempfile.TemporaryDirectory()
        folder = Path(self.temporary_folder.name)
        settings = {"fleet_size": count, **raw["settings"]}
        ports_left = iter(free_ports(len(ProcessPorts._fields) * count))
        self.processes: list[BrokerProcess] = []
        for number in range(count):
            ports = ProcessPorts(next(ports_left), next(ports_left), next(ports_left))
            if isinstance(operator_file, str):
                text = operator_file
            else:
                text = operator_file(number, ports.peer_port)
            process = BrokerProcess(
                number, folder / f"n{number}", ports, {**raw, "settings": settings}, text, tree
            )
            self.processes.append(process)

    def __enter__(self) -> BrokerFleet:
        """Return the fleet."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes and remove their files."""
        for process in self.processes:
            process.kill()
        self.temporary_folder.cleanup()

    def start(self) -> None:
        """Start all processes."""
        for process in self.processes:
            process.start()

    async def wait_until_ready(self, seconds: float, fraction: float = 1.0) -> list[float]:
        """Wait until this fraction of the processes is ready, or for so long.

        Returns:
            Seconds from the start of each process that became ready, in the order in which they
            did.
        """
        end_s = time.monotonic() + seconds
        waiting = list(self.processes)
        durations_s: list[float] = []
        enough = fraction * len(self.processes)
        while waiting and time.monotonic() < end_s and len(durations_s) < enough:
            answers = await asyncio.gather(*(process.is_ready() for process in waiting))
            now_s = time.monotonic()
            still_waiting = []
            for process, is_ready in zip(waiting, answers, strict=True):
                if is_ready:
                    durations_s.append(now_s - process.started_s)
                else:
                    still_waiting.append(process)
            waiting = still_waiting
            await asyncio.sleep(POLL_INTERVAL_S)
        return durations_s
