"""A broker process that runs one source tree of this project against an emulated cluster."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster, broker_config, wait_for_result
from query_broker.emulator.processes import free_ports

from .trees import package_of

MAX_CONNECT_ATTEMPTS = 500
CONNECT_INTERVAL_S = 0.02
READINESS_TIMEOUT_S = 2.0
#: With fewer cores than this the benchmark and the daemon can't have one each.
MIN_CORES_TO_PIN = 4
KB_PER_MB = 1_024


class DaemonNotReadyError(RuntimeError):
    """A daemon did not become ready in time."""

    def __init__(self, tree: Path) -> None:
        """Name the tree in the message."""
        super().__init__(f"the daemon of {tree.name} did not become ready")


class Program(NamedTuple):
    """A program to compare: its source tree, and its operators' file, empty for none."""

    tree: Path
    operator_script: str = ""


class Daemon:
    """The `serve` command of one tree.

    Attributes:
        tree: The source tree.
        port: The port on which it accepts clients.
        requests: Log of the requests sent to it.
        process: The process, once it is started.
    """

    process: subprocess.Popen[bytes]

    def __init__(
        self, program: Program, cluster: EmulatedCluster, settings: Mapping[str, Any]
    ) -> None:
        """Write the configuration of the daemon.

        Args:
            program: What to run.
            cluster: The engines and their discovery service.
            settings: Changes to the platform settings, as for `broker_config`.
        """
        self.tree = program.tree
        self._folder = tempfile.TemporaryDirectory()
        self.port, self._operator_port = free_ports(2)
        folder = Path(self._folder.name)
        config = broker_config(cluster, f"127.0.0.1:{self.port}", **settings)
        (folder / "config.json").write_text(json.dumps(config))
        self._environment = self._make_environment(folder)
        if program.operator_script:
            operator_file = folder / "operators.star"
            operator_file.write_text(program.operator_script)
            self._environment["PROXY_OPERATOR_FILE"] = str(operator_file)
        self.requests = RequestLog("127.0.0.1", self.port)

    def _make_environment(self, folder: Path) -> dict[str, str]:
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder),
            "PROXY_OPERATOR": f"127.0.0.1:{self._operator_port}",
            "PYTHONPATH": str(self.tree),
            "PYTHONHASHSEED": "0",
        }
        environment.pop("PROXY_OPERATOR_FILE", None)
        return environment

    async def start(self) -> Daemon:
        """Start the process and wait until it is ready.

        Raises:
            DaemonNotReadyError: The daemon does not become ready in time.
        """
        self.process = subprocess.Popen(
            [sys.executable, "-m", package_of(self.tree), "serve"],
            cwd=self.tree,
            env=self._environment,
            stderr=subprocess.DEVNULL,
        )
        for _ in range(MAX_CONNECT_ATTEMPTS):
            try:
                client = await self.requests.connect()
            except OSError:
                await asyncio.sleep(CONNECT_INTERVAL_S)
                continue
            if await wait_for_result(client.check_readiness(), READINESS_TIMEOUT_S):
                return self
        raise DaemonNotReadyError(self.tree)

    def pin(self) -> None:
        """Pin the process to a core that the caller does not use, the same for all daemons."""
        cores = sorted(os.sched_getaffinity(0))
        if len(cores) >= MIN_CORES_TO_PIN:
            os.sched_setaffinity(self.process.pid, {cores[-1]})

    def processor_time_ns(self) -> int:
        """Return the processor time that the process has used."""
        with open(f"/proc/{self.process.pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[0])

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        return resident_memory_mb(self.process.pid)

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def stop(self) -> None:
        """Kill the process and remove its files."""
        self.requests.close()
        self.process.kill()
        self.process.wait()
        self._folder.cleanup()


def resident_memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / KB_PER_MB


@asynccontextmanager
async def running_daemons(
    programs: Mapping[str, Program], cluster: EmulatedCluster, settings: Mapping[str, Any]
) -> AsyncIterator[dict[str, Daemon]]:
    """Run the compared programs side by side, all pinned to the same core."""
    daemons: dict[str, Daemon] = {}
    try:
        for name, program in programs.items():
            daemons[name] = await Daemon(program, cluster, settings).start()
        for daemon in daemons.values():
            daemon.pin()
        yield daemons
    finally:
        for daemon in daemons.values():
            daemon.stop()
