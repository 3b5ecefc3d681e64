"""Signals during the start of the process, and during the shutdown of the interpreter."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from query_broker.protocols import client_frames as frames

from ..support.sockets import (
    ROOT,
    connect,
    free_port,
    known_setting,
    on_uvloop,
    target_entry,
    within,
    write_config,
)
from .broker_processes import start_broker

pytestmark = pytest.mark.real_time


def write_to_pipe(
    path: Path, text: str, sighup_receiver: asyncio.subprocess.Process | None = None
) -> None:
    """Write the text to the pipe once the broker has opened it; send SIGHUP just before."""
    with open(path, "w") as pipe:
        if sighup_receiver is not None:
            sighup_receiver.send_signal(signal.SIGHUP)
        pipe.write(text)


@on_uvloop
async def test_a_sighup_received_while_settings_are_read_is_handled_after_the_start(
    tmp_path: Path,
) -> None:
    """The settings file is a pipe, so that the process waits while it reads the file."""
    port = free_port()
    path = tmp_path / "config.json"
    env = write_config(
        tmp_path, listen=f"127.0.0.1:{port}", known=known_setting(target_entry("s-1", 9))
    )
    text = path.read_text()
    changed = json.loads(text)
    changed["settings"]["classes"][0]["name"] = "peek"
    path.unlink()
    os.mkfifo(path)
    broker = await start_broker(env, stderr=asyncio.subprocess.DEVNULL)
    try:
        await within(asyncio.to_thread(write_to_pipe, path, text, sighup_receiver=broker))
        client = await within(connect(port))  # the broker listens once it has read the settings
        # The settings are read again, so the signal was not lost.
        await within(asyncio.to_thread(write_to_pipe, path, json.dumps(changed)))
        client.send_request(route="peek")
        # The class is known now; the request is rejected because no engine is reachable.
        assert (await client.answer())[:2] == (1, frames.REFUSED)
    finally:
        broker.kill()
        await broker.wait()


def test_signals_while_the_interpreter_ends_are_ignored() -> None:
    """The interpreter restores the default handlers before it frees the last objects.

    A signal in between would end the process with an exit code other than 0.
    """
    program = (
        "import os, signal\n"
        "from query_broker.server.node import serve\n"
        "class Short:\n"
        "    async def run(self):\n"
        "        pass\n"
        "class Last:\n"
        "    def __del__(self, kill=os.kill, me=os.getpid()):\n"
        "        kill(me, 15)\n"
        "        kill(me, 1)\n"
        "signal.signal(signal.SIGTERM, print)\n"
        "last = Last()\n"
        "serve(Short)\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert process.returncode == 0, process.stderr
