"""Cells of two processes of one broker, and of a process that is restarted."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from query_broker.cells.migrations import Stage
from query_broker.config import Config
from query_broker.protocols import client_frames as frames

from ..support.sockets import (
    ROOT,
    Engine,
    connect,
    free_port,
    make_config,
    on_uvloop,
    target_entry,
    until,
    within,
)
from .cell_brokers import (
    TENANTS,
    answer_request,
    cell_node,
    co_process_with_cells,
    dispatch_request,
    migration_stage,
    two_cells,
    write_deployment_files,
)

pytestmark = pytest.mark.real_time


async def config_for_engines(engine_of_a: Engine, engine_of_b: Engine) -> Config:
    """Start both engines and return the configuration of a broker for them."""
    return make_config(
        target_entry("s-1", await engine_of_a.start()),
        target_entry("s-2", await engine_of_b.start()),
        tenants=TENANTS,
    )


async def start_broker(env: dict[str, str]) -> asyncio.subprocess.Process:
    """Start the real program with this environment, which names its files."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "query_broker",
        cwd=ROOT,
        env=env,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def call_admin_api(port: int, request_line: str) -> Any:
    """Return the JSON answer of the process with this admin port."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{request_line} HTTP/1.1\r\n\r\n".encode())
    return json.loads((await within(reader.read())).partition(b"\r\n\r\n")[2])


@on_uvloop
async def test_a_successor_continues_a_migration_and_adopts_the_newer_map(
    tmp_path: Path,
) -> None:
    engine_of_a = Engine(lambda *_: None)
    engine_of_b = Engine()
    config = await config_for_engines(engine_of_a, engine_of_b)
    with socket.create_server(("127.0.0.1", 0)) as listening:
        async with co_process_with_cells(config, listening, tmp_path, two_cells(2)) as old:
            client = await old.client()
            await dispatch_request(client, "acme", engine_of_a)
            cell_node(old).celled.migrations.propose("acme", "b", old.node.clock.now())
            await until(lambda: migration_stage(old) is Stage.DRAINING)
            # The successor has an older file, so it adopts the newer map and the migration from the
            # old process.
            async with co_process_with_cells(
                config, listening, tmp_path, two_cells(1, acme="a", beta="a")
            ) as new:
                await until(lambda: cell_node(new).peers and cell_node(old).peers)
                assert cell_node(new).map.epoch == 2
                assert migration_stage(new) is Stage.DRAINING
                old.node.shutdown.begin()
                await until(lambda: old.node.closing_announced)
                assert (
                    migration_stage(new) is Stage.DRAINING
                )  # the old process still has an open request
                answer_request(engine_of_a, engine_of_a.commands_named(b"do")[0])
                assert (await client.frame())[0] == frames.NO_MORE
                assert (await client.answer())[1] == frames.SERVED
                await until(lambda: migration_stage(new) is Stage.DONE)
                migrations = cell_node(new).celled.migrations
                assert migrations.records["acme"].driver == cell_node(new).process_name
                assert migrations.cell("acme", new.node.clock.now()) == "b"


@on_uvloop
async def test_a_process_adopts_the_newer_map_of_a_co_process(tmp_path: Path) -> None:
    engine_of_a = Engine()
    engine_of_b = Engine()
    config = await config_for_engines(engine_of_a, engine_of_b)
    with socket.create_server(("127.0.0.1", 0)) as listening:
        async with co_process_with_cells(config, listening, tmp_path, two_cells(1)) as old:
            async with co_process_with_cells(
                config, listening, tmp_path, two_cells(5, beta="a")
            ) as new:
                await until(lambda: cell_node(old).map.epoch == 5)
                assert cell_node(old).map.digest() == cell_node(new).map.digest()
                assert cell_node(old).celled.migrations.cell("beta", 0) == "a"
                # A malformed status, such as that of another broker, is ignored.
                for malformed in ({"me": 3}, "x"):
                    status = {"cells": malformed, "accepting": True}
                    assert cell_node(old).read_peer_status(status) is None


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM], ids=["killed", "terminated"])
@on_uvloop
async def test_a_restart_during_a_migration_starts_from_the_operators_file(
    tmp_path: Path, end: int
) -> None:
    """After SIGTERM, open requests are answered first; a restart forgets the migration."""
    engine_of_a = Engine(lambda *_: None)
    engine_of_b = Engine()
    port = free_port()
    admin_port = free_port()
    env = write_deployment_files(
        tmp_path,
        port,
        [
            target_entry("s-1", await engine_of_a.start()),
            target_entry("s-2", await engine_of_b.start()),
        ],
    )
    env["PROXY_OPERATOR"] = f"127.0.0.1:{admin_port}"

    process = await start_broker(env)
    try:
        client = await connect(port)
        await dispatch_request(client, "acme", engine_of_a)
        assert (await call_admin_api(admin_port, "POST /cells/move/acme/b"))["stage"] == "proposed"
        while (await call_admin_api(admin_port, "GET /cells"))["moves"][0]["stage"] != "draining":
            await asyncio.sleep(0.02)
        process.send_signal(end)
        if end == signal.SIGTERM:
            assert (await client.frame())[0] == frames.NO_MORE
            engine_of_a.answer_served(engine_of_a.commands_named(b"do")[0], engine_of_a.writers[0])
            assert (await client.answer())[1] == frames.SERVED
        assert await within(process.wait()) == (0 if end == signal.SIGTERM else -signal.SIGKILL)
        process = await start_broker(env)
        client = await connect(port)
        shown = await call_admin_api(admin_port, "GET /cells")
        assert shown["moves"] == []
        assert {tenant["tenant"]: tenant["cell"] for tenant in shown["tenants"]} == {"beta": "b"}
        received = engine_of_a.commands_named(b"do") + engine_of_b.commands_named(b"do")
        loads = [command for command in received if b"stock-add" in command[2]]
        assert len(loads) == 1
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
