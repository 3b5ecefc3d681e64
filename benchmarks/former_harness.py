"""The former harness, for the benchmarks that do not use `harness` yet."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster, broker_config, wait_for_result
from query_broker.emulator.processes import free_ports

ROOT = Path(__file__).parents[1]


class Figures:
    """Printed as they come; past a bound the whole run ends with 1."""

    def __init__(self) -> None:
        self.broken: list[str] = []

    def tell(
        self, name: str, value: float, *, most: float | None = None, least: float | None = None
    ) -> None:
        text = f"{value:.4f}".rstrip("0").rstrip(".") if isinstance(value, float) else str(value)
        bad = (most is not None and value > most) or (least is not None and value < least)
        bound = f"  # bound: at most {most}" if most is not None else f"  # bound: at least {least}"
        print(
            f"{name}={text}"
            + (bound if most is not None or least is not None else "")
            + (" BROKEN" if bad else ""),
            flush=True,
        )
        if bad:
            self.broken.append(name)

    def exit(self) -> int:
        return 1 if self.broken else 0


class Daemon:
    """`larchhall serve` of one tree, before a world."""

    def __init__(
        self,
        tree: Path,
        world: EmulatedCluster,
        script: str = "",
        raw: dict[str, Any] | None = None,
        **changes: Any,
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.port, self.operator = free_ports(2)
        folder = Path(self.folder.name)
        raw = broker_config(world, "", **changes) if raw is None else raw
        raw["listen"] = f"127.0.0.1:{self.port}"
        (folder / "config.json").write_text(json.dumps(raw))
        self.env = {
            **os.environ,
            "PROXY_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder),
            "PROXY_OPERATOR": f"127.0.0.1:{self.operator}",
            "PYTHONPATH": str(tree),
            "PYTHONHASHSEED": "0",
        }
        self.env.pop("PROXY_OPERATOR_FILE", None)
        if script:
            (folder / "operators.star").write_text(script)
            self.env["PROXY_OPERATOR_FILE"] = str(folder / "operators.star")
        self.tree = tree
        self.book = RequestLog("127.0.0.1", self.port)

    async def start(self) -> Daemon:
        self.process = subprocess.Popen(
            [sys.executable, "-m", package_of(self.tree), "serve"],
            cwd=self.tree,
            env=self.env,
            stderr=subprocess.DEVNULL,
        )
        for _ in range(500):
            try:
                counter = await self.book.connect()
            except OSError:
                await asyncio.sleep(0.02)
                continue
            if await wait_for_result(counter.check_readiness(), 2.0):
                return self
        raise RuntimeError(f"the daemon of {self.tree.name} does not get ready")

    def pin(self) -> None:
        """On one core that the caller does not use, the same for all that are compared."""
        cores = sorted(os.sched_getaffinity(0))
        if len(cores) >= 4:
            os.sched_setaffinity(self.process.pid, {cores[-1]})

    def used(self) -> int:
        """Nanoseconds of processor time so far."""
        with open(f"/proc/{self.process.pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[0])

    def memory_mb(self) -> float:
        """Resident set."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1024

    def stop(self) -> None:
        self.book.close()
        self.process.kill()
        self.process.wait()
        self.folder.cleanup()


def package_of(tree: Path) -> str:
    """The import package of a tree of this project: it was `larchhall` up to 0.2."""
    return "query_broker" if (tree / "query_broker").is_dir() else "larchhall"


@contextmanager
def worktree(revision: str) -> Iterator[Path]:
    """An earlier commit of this project, beside this one."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "tree"
        subprocess.run(
            ["git", "worktree", "add", "--detach", "-f", str(path), revision],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        try:
            yield path
        finally:
            subprocess.run(
                ["git", "worktree", "remove", "--force", str(path)],
                cwd=ROOT,
                check=True,
                capture_output=True,
            )
