"""The broker program as a process that a test starts and ends."""

from __future__ import annotations

import asyncio
import sys

from ..support.sockets import ROOT


async def start_broker(environ: dict[str, str], stderr: int) -> asyncio.subprocess.Process:
    """Start the broker program with this environment."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "query_broker", "serve", cwd=ROOT, env=environ, stderr=stderr
    )
