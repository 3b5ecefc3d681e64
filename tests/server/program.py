"""Runs the program as a subprocess until it exits."""

from __future__ import annotations

import subprocess
import sys

from ..support.sockets import ROOT


def run_program(environment: dict[str, str], *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the program with arguments, and return its exit code and what it printed."""
    return subprocess.run(
        [sys.executable, "-m", "query_broker", *arguments],
        env=environment,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
