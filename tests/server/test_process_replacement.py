"""Replacing a broker's process, with real processes on one listening socket, loses no request."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import MS, EmulatedCluster, broker_config
from query_broker.protocols import client_frames as frames

from ..support.deployments import ALL
from ..support.sockets import HANG_TIMEOUT_S, ROOT, Client, free_port, on_uvloop, until, within

pytestmark = pytest.mark.real_time

HANDOVER_COUNT = 2  # so that a process that has taken over is replaced in turn
REQUESTS_BEFORE_HANDOVER = 40
PIPELINED_REQUEST_COUNT = 8  # as many as a typical client sends at once
PAUSE_S = 0.02
PARTIAL_FRAME_BYTES = 20  # past the head, within the payload


class Broker:
    """Processes of one broker on an inherited socket, started one after the other."""

    def __init__(
        self,
        folder: Path,
        cluster: EmulatedCluster,
        listener: socket.socket,
        settings: dict[str, Any],
    ) -> None:
        self.folder = folder
        self.cluster = cluster
        self.listener = listener
        self.settings = settings
        self.processes: list[asyncio.subprocess.Process] = []

    async def start_process(self) -> None:
        """Start one more process, and wait until it is ready."""
        port = free_port()
        raw = broker_config(self.cluster, "127.0.0.1:1", **self.settings)
        raw["operator"] = f"127.0.0.1:{port}"
        path = self.folder / f"config-{len(self.processes)}.json"
        path.write_text(json.dumps(raw))
        descriptor = self.listener.fileno()
        env = {
            **os.environ,
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(self.folder),
            "PROXY_ACCEPT_FD": str(descriptor),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "query_broker", "serve", cwd=ROOT, env=env, pass_fds=(descriptor,)
        )
        self.processes.append(process)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not await is_ready(port):
                await asyncio.sleep(PAUSE_S)

    async def kill(self) -> None:
        """Kill the processes that are still running."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def is_ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
    line = await within(reader.readline())
    writer.close()
    return b" 200 " in line


class Traffic:
    """Three kinds of clients, which send requests while a process takes over."""

    def __init__(self, port: int, tenant: str | None) -> None:
        self.port = port
        self.tenant = tenant
        self.request_log = RequestLog("127.0.0.1", port)
        self.stopped = asyncio.Event()
        self.handover_begun = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start sending requests until ``stop``."""
        self.stopped = asyncio.Event()
        self.handover_begun = asyncio.Event()
        senders = (self._send_pipelined, self._send_on_new_connections, self._send_partial_frames)
        self.tasks = [asyncio.create_task(sender()) for sender in senders]

    async def stop(self) -> None:
        """Stop the clients; raises the assertion errors of their tasks."""
        self.stopped.set()
        await within(asyncio.gather(*self.tasks))

    def cancel(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def _send_pipelined(self) -> None:
        """Send batches of requests on persistent connections."""
        while not self.stopped.is_set():
            for _ in range(PIPELINED_REQUEST_COUNT):
                await self.request_log.send_request(self.tenant or "", "glance", 2, 4_000 * MS)
            await asyncio.sleep(PAUSE_S)

    async def _send_on_new_connections(self) -> None:
        """Send each request on a new connection."""
        while not self.stopped.is_set():
            client = await self._connect()
            client.writer.write(self._request(1))
            while (frame := await client.frame())[0] == frames.NO_MORE:
                continue  # the old process had accepted the connection, and is shutting down
            assert frame[0] == frames.ANSWER
            assert frame[2][0] in (frames.SERVED, frames.REFUSED)
            client.writer.close()

    async def _send_partial_frames(self) -> None:
        """Send a part of a frame before the process announces its shutdown, and the rest after it,
        together with one more request.
        """
        client = await self._connect()
        client.writer.write(self._request(1))
        assert (await client.answer())[1] == frames.SERVED
        await within(self.handover_begun.wait())
        frame = self._request(2)
        client.writer.write(frame[:PARTIAL_FRAME_BYTES])
        assert (await client.frame())[0] == frames.NO_MORE
        client.writer.write(frame[PARTIAL_FRAME_BYTES:] + self._request(3))
        assert {(await client.answer())[:2] for _ in range(2)} == {
            (2, frames.SERVED),
            (3, frames.SERVED),
        }

    async def _connect(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    def _request(self, stream: int) -> bytes:
        fields = {
            "route": "glance",
            "trace": os.urandom(8).hex(),
            "patience": "4000",
            "weight": "1.0",
        }
        if self.tenant:
            fields["customer"] = self.tenant
        payload = frames.write_fields(fields)
        return frames.frame(frames.REQUEST, stream, payload + b"SELECT 1 FROM sales_1.orders")


async def hand_over(broker: Broker, traffic: Traffic) -> None:
    """Start a second process, then end the old one with SIGTERM."""
    old = broker.processes[-1]
    await broker.start_process()
    traffic.handover_begun.set()
    await asyncio.sleep(0)  # lets the client send its partial frame
    old.send_signal(signal.SIGTERM)
    assert await within(old.wait()) == 0


def check_answers(request_log: RequestLog) -> None:
    """Check that each request got one answer, served or rejected, and over 90% were served."""
    assert request_log.unmatched_answers == 0
    records = request_log.records
    assert not [record for record in records if record.answer_count != 1]
    assert not [record for record in records if record.code not in (frames.SERVED, frames.REFUSED)]
    assert sum(record.code == frames.SERVED for record in records) > 0.9 * len(records)


@pytest.mark.parametrize("name", ["counters", "warehouse"])
@on_uvloop
async def test_each_request_gets_one_complete_answer_while_a_process_takes_over(
    name: str, tmp_path: Path
) -> None:
    settings = ALL[name]
    tenant = settings["tenants"][0]["name"] if settings["tenants"] else None
    cluster = EmulatedCluster()
    await cluster.start("s-1", "s-2", "s-3")
    with socket.create_server(("127.0.0.1", 0), backlog=256) as listener:
        broker = Broker(tmp_path, cluster, listener, settings)
        traffic = Traffic(int(listener.getsockname()[1]), tenant)
        try:
            await broker.start_process()
            for number in range(1, HANDOVER_COUNT + 1):
                traffic.start()
                wanted = REQUESTS_BEFORE_HANDOVER * number
                await until(lambda wanted=wanted: len(traffic.request_log.records) >= wanted)  # type: ignore[misc]
                await hand_over(broker, traffic)
                await traffic.stop()
            await traffic.request_log.wait_until_idle(HANG_TIMEOUT_S)
            check_answers(traffic.request_log)
        finally:
            traffic.cancel()
            await broker.kill()
            traffic.request_log.close()
            cluster.stop()
