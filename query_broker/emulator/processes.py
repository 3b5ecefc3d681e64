"""Many real processes of this program on loopback: started, stopped, paused and killed by their own
ids.
"""

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
from typing import Any

from .clients import EmulatedClient

ROOT = Path(__file__).parents[2]


class PortAllocator:
    """Ports to listen on. Danger: one that the system gives to whoever asks for any is soon some
    connection's own end, and one that two processes draw is had by one of them: these lie below the
    system's, in blocks of which each is a single process's, as long as that holds its first
    port.
    """

    RANGE, BLOCK = range(10_000, 32_000), 100

    def __init__(self) -> None:
        self.reservations: list[socket.socket] = []
        self.ports: deque[int] = deque()

    def reserve_block(self) -> None:
        starts = list(self.RANGE[:: self.BLOCK])
        random.SystemRandom().shuffle(starts)
        for start in starts:
            mine = socket.socket()
            try:
                mine.bind(("127.0.0.1", start))
            except OSError:
                mine.close()
                continue
            self.reservations.append(mine)
            self.ports.extend(range(start + 1, start + self.BLOCK))
            return
        raise OSError("no block of ports is left")

    def take(self, count: int) -> list[int]:
        """In turn, so that one that has just been given is not given again before it is listened
        on.
        """
        while len(self.ports) < 4 * count:
            self.reserve_block()
        found: list[int] = []
        for port in list(self.ports):
            self.ports.rotate(-1)
            with socket.socket() as probe, contextlib.suppress(OSError):  # in use
                probe.bind(("127.0.0.1", port))
                found.append(port)
            if len(found) == count:
                return found
        raise OSError("too many ports are in use")


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
        script: str,
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
        assert self.process is not None
        self.process.send_signal(number)

    def wait(self, seconds: float) -> int:
        assert self.process is not None
        return self.process.wait(seconds)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            # one that is paused can't be waited for otherwise
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    def call_admin_api(self, path: str, method: str = "GET") -> tuple[int, bytes]:
        line = http.client.HTTPConnection("127.0.0.1", self.admin_port, timeout=2.0)
        try:
            line.request(method, path)
            answer = line.getresponse()
            return answer.status, answer.read()
        finally:
            line.close()

    def status(self, path: str = "/start") -> Any:
        return json.loads(self.call_admin_api(path)[1])

    async def is_ready(self) -> bool:
        """As the front asks: type 16 on the clients' address."""
        from .clients import RequestLog

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
            if counter.transport is not None:
                counter.transport.close()


class BrokerFleet:
    """`with Fleet(...)`: whatever becomes of a test, no process of it is left behind. ``script``:
    the same for all, or by number and port for its peers; each process has one.
    """

    def __init__(
        self,
        count: int,
        raw: dict[str, Any],
        script: str | Callable[[int, int], str] = "",
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
