"""Brokers with two cells on real sockets, and helpers to send requests and read their state."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from query_broker.cells.migrations import Stage
from query_broker.cells.model import Cell, CellMap, MigrationTimeouts, Tenant
from query_broker.cells.node import CellNode
from query_broker.cells.router import CellRouter
from query_broker.config import Config, parse
from query_broker.emulator.cluster import EmulatedCluster, broker_config, tenant_settings

from ..support.sockets import (
    MS,
    Client,
    Engine,
    RunningBroker,
    cell_node_factory,
    make_config,
    running,
    target_entry,
    topology_event,
    until,
)

NS_PER_SECOND = 1_000 * MS
FAST_TIMING = MigrationTimeouts(settle_ns=0, watch_ns=0, target_lost_ns=50 * MS)
TENANTS = [{"name": "acme"}, {"name": "beta"}]


def two_cells(
    epoch: int = 1,
    *,
    engines_of_a: tuple[str, ...] = ("s-1",),
    engines_of_b: tuple[str, ...] = ("s-2",),
    timing: MigrationTimeouts = FAST_TIMING,
    **homes: str,
) -> CellMap:
    """A map of cells a and b with these engines; tenant acme is in a and beta in b."""
    homes = {"acme": "a", "beta": "b", **homes}
    return CellMap(
        epoch,
        (Cell("a", engines=engines_of_a), Cell("b", engines=engines_of_b)),
        "a",
        {tenant: Tenant(tenant, (cell,)) for tenant, cell in homes.items()},
        timing,
    )


def cell_node(broker: RunningBroker) -> CellNode:
    """The node under test, as a `CellNode`."""
    assert isinstance(broker.node, CellNode)
    return broker.node


def cell_router(broker: RunningBroker) -> CellRouter:
    """The router of the node's cells."""
    return cell_node(broker).celled.router


def migration_stage(broker: RunningBroker, subject: str = "acme") -> Stage | None:
    """The stage of the subject's latest migration; None if there is no record."""
    migration = cell_node(broker).celled.migrations.records.get(subject)
    return None if migration is None else migration.stage


def send_request(client: Client, stream: int, tenant: str, **changes: Any) -> None:
    """Send a cheap request of the tenant, whose id is made of the tenant and the stream."""
    client.send_request(
        stream=stream,
        trace=f"{tenant.encode().hex()[:8]}{stream:08x}",
        customer=tenant,
        **{"weight": "1.0", **changes},
    )


def answer_request(engine: Engine, command: list[bytes]) -> None:
    """Let the engine serve the request of this command."""
    engine.answer_served(command, engine.writer_of(command))


async def dispatch_request(
    client: Client, tenant: str, engine: Engine, weight: str = "1.0"
) -> None:
    """Send a non-idempotent request on stream 1 and wait until the engine has it."""
    send_request(client, 1, tenant, route="stock-add", weight=weight)
    await until(lambda: engine.commands_named(b"do"))


@asynccontextmanager
async def broker_with_two_cells(
    cell_map: CellMap, *engines: Engine, **changes: Any
) -> AsyncIterator[RunningBroker]:
    """Run a broker with cells whose engines are s-1, s-2, ..."""
    targets = [
        target_entry(f"s-{number}", await engine.start())
        for number, engine in enumerate(engines, 1)
    ]
    config = make_config(*targets, tenants=TENANTS, operator=True, **changes)
    async with running(config, make=cell_node_factory(cell_map)) as broker:
        yield broker


@asynccontextmanager
async def broker_of_cluster(
    cluster: EmulatedCluster, cell_map: CellMap, cores: int
) -> AsyncIterator[RunningBroker]:
    """Run a broker with cells on the cluster's engines, each of which has this many cores."""
    raw_config = broker_config(
        cluster,
        "127.0.0.1:1",
        tenants=tenant_settings("acme", "beta"),
        specifics={"size_cores": [cores], "parallelism": [1, 2]},
    )
    config = parse(json.loads(json.dumps(raw_config)), {})
    async with running(config, make=cell_node_factory(cell_map)) as broker:
        yield broker


@asynccontextmanager
async def co_process_with_cells(
    config: Config, listening: socket.socket, folder: Path, cell_map: CellMap
) -> AsyncIterator[RunningBroker]:
    """Run a process of a broker; processes with the same folder and socket are co-processes."""
    async with running(
        replace(config, accept_fd=os.dup(listening.fileno()), folder=str(folder)),
        make=cell_node_factory(cell_map),
    ) as broker:
        yield broker


def write_deployment_files(
    folder: Path, port: int, engines: list[dict[str, Any]], epoch: int = 1
) -> dict[str, str]:
    """Write the settings and an operators' file with cells a and b; return the environment."""
    raw_config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "known": {"offset": 1, "batch": [topology_event(1, *engines, full=True)]},
        "settings": broker_config(EmulatedCluster(), "", tenants=TENANTS)["settings"],
    }
    (folder / "config.json").write_text(json.dumps(raw_config))
    script = "\n".join(
        [
            f"epoch({epoch})",
            'cell("a", engines = ["s-1"])',
            'cell("b", engines = ["s-2"])',
            'default_cell("a")',
            'tenant("beta", cell = "b")',
            "moves(settle = 0, watch = 0)",
        ]
    )
    (folder / "operators.star").write_text(script)
    return {
        **os.environ,
        "PROXY_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(folder),
        "PROXY_OPERATOR_FILE": str(folder / "operators.star"),
    }
