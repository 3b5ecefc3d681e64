"""Real processes of this program on loopback, started, signalled and killed by their own ids."""

from __future__ import annotations

import asyncio
import contextlib
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

from .clients import EmulatedClient

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
ADMIN_TIMEOUT_S = 2.0
READY_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.05
#: Settings of the caller's environment that would reach through to the processes.
HIDDEN_VARIABLES = ("OPERATOR_FILE", "OPERATOR", "LISTEN", "ACCEPT_FD", "NAME")


class PortAllocator:
    """Ports to listen on. Danger: one that the system gives to whoever asks for any is soon some
    connection's own end, and one that two processes draw is had by one of them: these lie below the
    system's, in blocks of which each is a single process's, as long as that holds its first
    port.
    """

    #: Below the ports that the system gives to connections (from 32,768 on Linux).
    RANGE = range(10_000, 32_000)
    #: A test takes some tens of ports at the most.
    BLOCK = 100
    #: So many times the ports asked for are kept, as some may be in use.
    SPARE_FACTOR = 4

    def __init__(self) -> None:
        self.reservations: list[socket.socket] = []
        self.ports: deque[int] = deque()

    def reserve_block(self) -> None:
        starts = list(self.RANGE[:: self.BLOCK])
        random.SystemRandom().shuffle(starts)
        for start in starts:
            reservation = socket.socket()
            try:
                reservation.bind((HOST, start))
            except OSError:
                reservation.close()
                continue
            self.reservations.append(mine)
            self.ports.extend(range(start + 1, start + self.BLOCK))
            return
        problem = "no block of ports is left"
        raise OSError(problem)

    def take(self, count: int) -> list[int]:
        """Return free ports.

        They are given out in turn, so that one is not given out again before it is listened on.
        That fails where many of the ports cannot be bound and the turn comes round (known fault).

        Raises:
            OSError: Too many ports are in use.
        """
        while len(self.ports) < 4 * count:
            self.reserve_block()
        found: list[int] = []
        for port in list(self.ports):
            self.ports.rotate(-1)
            with socket.socket() as probe, contextlib.suppress(OSError):  # in use
                probe.bind((HOST, port))
                found.append(port)
            if len(found) == count:
                return found
        problem = "too many ports are in use"
        raise OSError(problem)


PORT_ALLOCATOR = PortAllocator()


def free_ports(count: int) -> list[int]:
    return PORT_ALLOCATOR.take(count)


class BrokerProcess:
    """One process, with a folder, ports, settings and a log of its own."""

    def __init__(
        self,
        number: int,
        folder: Path,
        ports: tuple[int, int, int],
        raw: dict[str, Any],
        operator_file: str,
        tree: Path,
    ) -> None:
        self.number, self.folder, self.tree = number, folder, tree
        self.port, self.admin_port, self.peer_port = ports
        folder.mkdir()
        raw = {
            **raw,
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.port}",
            "operator": f"127.0.0.1:{self.admin_port}",
            "seed": f"{number + 1:x}",
            "settings": {**raw["settings"], "me": number},
        }
        (folder / "config.json").write_text(json.dumps(raw))
        self.env = {
            **os.environ,
            "PROXY_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder),
            "PYTHONPATH": str(tree),
        }
        for name in ("OPERATOR_FILE", "OPERATOR", "LISTEN", "ACCEPT_FD", "NAME"):
            self.env.pop(f"PROXY_{name}", None)
        if script:
            self.write_operator_file(script)
            self.env["PROXY_OPERATOR_FILE"] = str(folder / "operators.star")
        self.process: subprocess.Popen[bytes] | None = None
        self.started_s = 0.0

    def write_operator_file(self, script: str) -> None:
        (self.folder / "operators.star").write_text(script)

    def start(self) -> None:
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

    def call_admin_api(self, path: str, method: str = "GET") -> tuple[int, bytes]:
        line = http.client.HTTPConnection("127.0.0.1", self.admin_port, timeout=2.0)
        try:
            connection.request(method, path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def status(self, path: str = "/start") -> Any:
        return json.loads(self.call_admin_api(path)[1])

    async def is_ready(self) -> bool:
        """As the front asks: type 16 on the clients' address."""
        from .clients import RequestLog

    async def is_ready(self) -> bool:
        """Return whether it is ready, as the front end checks it."""
        try:
            _, counter = await asyncio.get_running_loop().create_connection(
                lambda: EmulatedClient(RequestLog("127.0.0.1", self.port)), "127.0.0.1", self.port
            )
        except OSError:
            return False
        try:
            return await asyncio.wait_for(counter.check_readiness(), 2.0)
        except (TimeoutError, OSError):
            return False
        finally:
            if client.transport is not None:
                client.transport.close()


class BrokerFleet:
    """`with Fleet(...)`: whatever becomes of a test, no process of it is left behind. ``script``:
    the same for all, or by number and port for its peers; each process has one.
    """

    def __init__(
        self,
        count: int,
        raw: dict[str, Any],
        operator_file: str | Callable[[int, int], str] = "",
        tree: Path = ROOT,
    ) -> None:
        self.temporary_folder = tempfile.TemporaryDirectory()
        folder = Path(self.temporary_folder.name)
        ports = free_ports(3 * count)
        raw = {
            **raw,
            "settings": {**raw["settings"], "fleet_size": raw["settings"].get("fleet_size", count)},
        }
        self.processes = []
        for i in range(count):
            mine = (ports[3 * i], ports[3 * i + 1], ports[3 * i + 2])
            said = script if isinstance(script, str) else script(i, mine[2])
            self.processes.append(BrokerProcess(i, folder / f"n{i}", mine, raw, said, tree))

    def __enter__(self) -> BrokerFleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for member in self.processes:
            member.kill()
        self.temporary_folder.cleanup()

    def start(self) -> None:
        for member in self.processes:
            member.start()

    async def wait_until_ready(self, seconds: float, part: float = 1.0) -> list[float]:
        """Seconds from each one's start until it was ready, as they came; ends when all are, or in
        time.
        """
        end, waiting, took = time.monotonic() + seconds, list(self.processes), list[float]()
        while waiting and time.monotonic() < end and len(took) < part * len(self.processes):
            said = await asyncio.gather(*(m.is_ready() for m in waiting))
            now = time.monotonic()
            took += [now - m.started_s for m, yes in zip(waiting, said, strict=True) if yes]
            waiting = [m for m, yes in zip(waiting, said, strict=True) if not yes]
            await asyncio.sleep(0.05)
        return took
