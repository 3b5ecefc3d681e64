"""Replacing the process, with real processes on one listening socket: nobody's request ends at the
door.
"""

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

from .deployments import ALL
from .sockets import HANG, ROOT, Client, free_port, on_uvloop, until, within

ROUNDS = 2


async def start(
    folder: Path, world: EmulatedCluster, held: socket.socket, facts: dict[str, Any], number: int
) -> Any:
    """A process on the platform's socket; once it says yes."""
    port = free_port()
    raw = broker_config(world, "127.0.0.1:1", **facts)
    raw["operator"] = f"127.0.0.1:{port}"
    path = folder / f"config-{number}.json"
    path.write_text(json.dumps(raw))
    env = {
        **os.environ,
        "PROXY_CONFIG": str(path),
        "TMPDIR": str(folder),
        "PROXY_ACCEPT_FD": str(held.fileno()),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "query_broker", "serve", cwd=ROOT, env=env, pass_fds=(held.fileno(),)
    )
    async with asyncio.timeout(HANG):
        while not await says_yes(port):
            await asyncio.sleep(0.02)
    return process


async def says_yes(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
    line = await within(reader.readline())
    writer.close()
    return b" 200 " in line


def frame_of(client: Client, stream: int, tenant: str | None) -> bytes:
    fields = {"route": "glance", "trace": os.urandom(8).hex(), "patience": "4000", "weight": "1.0"}
    payload = frames.write_fields({**fields, **({"customer": tenant} if tenant else {})})
    return frames.frame(frames.REQUEST, stream, payload + b"SELECT 1 FROM sales_1.orders")


@pytest.mark.parametrize("name", ["counters", "warehouse"])
@on_uvloop
async def test_each_request_gets_one_whole_answer_while_a_process_takes_over(
    name: str, tmp_path: Path
) -> None:
    facts = ALL[name]
    tenant = facts["tenants"][0]["name"] if facts["tenants"] else None
    world = EmulatedCluster()
    await world.start("s-1", "s-2", "s-3")
    processes: list[Any] = []
    with socket.create_server(("127.0.0.1", 0), backlog=256) as held:
        port = int(held.getsockname()[1])
        book, tasks, about = (
            RequestLog("127.0.0.1", port),
            list[asyncio.Task[None]](),
            asyncio.Event(),
        )

        async def pipeline(stopped: asyncio.Event) -> None:
            while not stopped.is_set():
                for _ in range(8):
                    await book.send_request(tenant or "", "glance", 2, 4_000 * MS)
                await asyncio.sleep(0.02)

        async def come_late(stopped: asyncio.Event) -> None:
            while not stopped.is_set():
                client = Client(*await asyncio.open_connection("127.0.0.1", port))
                client.writer.write(frame_of(client, 1, tenant))
                while (frame := await client.frame())[0] == frames.NO_MORE:
                    continue  # the older process took it in, and leaves
                assert frame[0] == frames.ANSWER and frame[2][0] in (frames.SERVED, frames.REFUSED)
                client.writer.close()

        async def hold_half(stopped: asyncio.Event) -> None:
            """Half a frame before the word to leave off, the rest after it; and one more that
            crossed it.
            """
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            client.writer.write(frame_of(client, 1, tenant))
            assert (await client.answer())[1] == frames.SERVED
            await within(about.wait())
            whole = frame_of(client, 2, tenant)
            client.writer.write(whole[:20])
            assert (await client.frame())[0] == frames.NO_MORE
            client.writer.write(whole[20:] + frame_of(client, 3, tenant))
            assert {(await client.answer())[:2] for _ in "23"} == {
                (2, frames.SERVED),
                (3, frames.SERVED),
            }

        try:
            processes.append(await start(tmp_path, world, held, facts, 0))
            for number in range(1, ROUNDS + 1):
                stopped, about, old = asyncio.Event(), asyncio.Event(), processes[-1]
                tasks = [
                    asyncio.create_task(what(stopped)) for what in (pipeline, come_late, hold_half)
                ]
                await until(lambda most=40 * number: len(book.records) >= most)  # type: ignore[misc]
                processes.append(await start(tmp_path, world, held, facts, number))
                about.set()
                await asyncio.sleep(0)  # half a frame is on its way
                old.send_signal(signal.SIGTERM)
                assert await within(old.wait()) == 0
                stopped.set()
                await within(asyncio.gather(*tasks))
            await book.wait_until_idle(HANG)
            assert book.unmatched_answers == 0
            ended = [(a.code, a.answer_count) for a in book.records]
            assert not [
                e for e in ended if e[0] not in (frames.SERVED, frames.REFUSED) or e[1] != 1
            ]
            assert sum(code == frames.SERVED for code, _ in ended) > 0.9 * len(ended)
        finally:
            for task in tasks:
                task.cancel()
            for process in processes:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            book.close()
            world.stop()
