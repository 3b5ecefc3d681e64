"""Runs real broker processes on loopback; each is started, signalled and killed by its own id."""

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
#: Variables of the caller's environment, without their prefix, that the processes must not inherit.
UNINHERITED_VARIABLES = ("OPERATOR_FILE", "OPERATOR", "LISTEN", "ACCEPT_FD", "NAME")


class ReservedPort(NamedTuple):
    """A port of a reserved block, and the time from which it may be allocated."""

    port: int
    available_at_s: float


class PortAllocator:
    """Allocates listening ports that no other process allocates.

    A port chosen by the system may become the local port of a connection before it is listened on,
    and two processes may be given the same port. Ports are therefore taken from blocks below the
    system's ephemeral port range. A block belongs to the process that has bound its first port.

    Attributes:
        reservations: The sockets bound to the first ports of this process's blocks.
        ports: The other ports of these blocks, in the order in which they are tried.
    """

    #: Below the system's ephemeral ports, which start at 32,768 on Linux.
    PORT_RANGE = range(10_000, 32_000)
    #: A test needs a few tens of ports at most.
    BLOCK_SIZE = 100
    #: Minimum time between two allocations of a port, since the first process that gets it may not
    #: listen on it yet. Processes in tests take a few seconds to start.
    REUSE_DELAY_S = 60.0

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        """Create an allocator without reserved blocks."""
        self.reservations: list[socket.socket] = []
        self.ports: deque[ReservedPort] = deque()
        self._now_s = now_s

    def reserve_block(self) -> None:
        """Reserve another block, chosen at random.

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
        """Return free ports, none of which was allocated within the last `REUSE_DELAY_S` seconds.

        Raises:
            OSError: Not enough ports are free.
        """
        found: list[int] = []
        while len(found) < count:
            port = self._next_port()
            if _can_be_bound(port):
                found.append(port)
        return found

    def _next_port(self) -> int:
        """Return a port that may be allocated, and move it to the end of `ports`."""
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
    """Return free ports from this process's blocks."""
    return PORT_ALLOCATOR.allocate(count)


class ProcessPorts(NamedTuple):
    """The ports on which a process listens for clients, for operators and for other brokers."""

    client_port: int
    admin_port: int
    peer_port: int


class AdminReply(NamedTuple):
    """The HTTP status and the body of a response of the admin API."""

    status: int
    body: bytes


class BrokerProcess:
    """A broker process with its own folder, ports, settings and log.

    Attributes:
        number: The number of the process in the fleet.
        folder: The folder with the files of the process.
        tree: Root of the source tree that the process runs.
        port: The port on which the process listens for clients.
        admin_port: The port of the admin API.
        peer_port: The port on which the process listens for other brokers.
        env: The environment of the process.
        process: The operating-system process; None before the first start.
        started_s: When the process was last started, in monotonic seconds.
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
        """Write the files of the process without starting it.

        Args:
            number: The number of the process in the fleet.
            folder: The folder to create for the files of the process.
            ports: The ports on which the process listens.
            raw: The configuration, in which the name, the addresses, the seed and the broker's
                number are replaced.
            operator_file: Text of the operators' file; empty for none.
            tree: Root of the source tree to run.
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
        for name in UNINHERITED_VARIABLES:
            environment.pop(f"PROXY_{name}", None)
        return environment

    def write_operator_file(self, text: str) -> None:
        """Write or replace the operators' file."""
        (self.folder / "operators.star").write_text(text)

    def start(self) -> None:
        """Start the process; its log is appended to that of an earlier start."""
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
        """Wait until the process ends and return its exit code.

        Raises:
            subprocess.TimeoutExpired: The process did not end in time.
        """
        assert self.process is not None
        return self.process.wait(seconds)

    def kill(self) -> None:
        """Kill the process if it runs, even if it is paused."""
        if self.process is not None and self.process.poll() is None:
            # Waiting for a paused process would block.
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Return the contents of the log."""
        return (self.folder / "log").read_text(errors="replace")

    def call_admin_api(self, path: str, method: str = "GET") -> AdminReply:
        """Send a request to the admin API.

        Raises:
            OSError: The process did not answer.
        """
        connection = http.client.HTTPConnection(HOST, self.admin_port, timeout=ADMIN_TIMEOUT_S)
        try:
            connection.request(method, path)
            response = connection.getresponse()
            return AdminReply(response.status, response.read())
        finally:
            connection.close()

    def status(self, path: str = "/start") -> Any:
        """Return the parsed JSON response of the admin API."""
        return json.loads(self.call_admin_api(path).body)

    async def is_ready(self) -> bool:
        """Return the result of the front end's readiness check; False if it fails."""
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
    """Several broker processes; a context manager that kills all of them on exit.

    Attributes:
        temporary_folder: The parent of the folders of the processes.
        processes: The processes, by number.
    """

    def __init__(
        self,
        count: int,
        raw: dict[str, Any],
        operator_file: str | Callable[[int, int], str] = "",
        tree: Path = ROOT,
    ) -> None:
        """Write the files of the processes without starting them.

        Args:
            count: Number of processes.
            raw: The configuration of the processes; the fleet size defaults to the count.
            operator_file: Text of the operators' file, or a function that returns it from the
                number of a process and its port for other brokers.
            tree: Root of the source tree to run.
        """
        self.temporary_folder = tempfile.TemporaryDirectory()
        folder = Path(self.temporary_folder.name)
        settings = {"fleet_size": count, **raw["settings"]}
        port_numbers = iter(free_ports(len(ProcessPorts._fields) * count))
        self.processes: list[BrokerProcess] = []
        for number in range(count):
            ports = ProcessPorts(next(port_numbers), next(port_numbers), next(port_numbers))
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
        traceback: TracebackType | None,
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
        """Wait until this fraction of the processes is ready, for this time at most.

        Returns:
            The seconds from start to readiness of each process that became ready, in the order of
            readiness.
        """
        end_s = time.monotonic() + seconds
        waiting = list(self.processes)
        durations_s: list[float] = []
        wanted_count = fraction * len(self.processes)
        while waiting and time.monotonic() < end_s and len(durations_s) < wanted_count:
            answers = await asyncio.gather(*(process.is_ready() for process in waiting))
            now_s = time.monotonic()
            not_ready = []
            for process, is_ready in zip(waiting, answers, strict=True):
                if is_ready:
                    durations_s.append(now_s - process.started_s)
                else:
                    not_ready.append(process)
            waiting = not_ready
            await asyncio.sleep(POLL_INTERVAL_S)
        return durations_s
