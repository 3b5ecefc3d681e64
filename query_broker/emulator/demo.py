"""Implements `larchhall demo`: a broker in front of a small emulated cluster on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import random
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import uvloop

from ..cells.model import Cell, CellMap, Tenant
from ..cells.node import CellNode
from ..config import parse
from ..operator_config.settings import OperatorConfig
from ..protocols import client_frames as frames
from ..text_table import table
from .clients import RequestLog, RequestRecord, quantile
from .cluster import EmulatedCluster, broker_config, tenant_settings, wait_for_result

NS_PER_MS = 1_000_000
OBJECTIVES_NS = {"glance": 1_000 * NS_PER_MS, "stock-add": 3_000 * NS_PER_MS}
CELLS = CellMap(
    1,
    (Cell("counters", engines=("s-1", "s-2")), Cell("finance", engines=("s-3",))),
    "counters",
    {"harbour": Tenant("harbour", ("counters",)), "inland": Tenant("inland", ("finance",))},
)
TENANTS = ("harbour", "inland")
#: The capacity of the first tenant's cell, and four times the capacity of the second tenant's cell.
ARRIVALS_PER_S = {"harbour": 40.0, "inland": 160.0}
GLANCE_FRACTION = 0.9
#: A fixed seed, so that every demo sends the same requests.
ARRIVAL_SEED = 7
READY_TIMEOUT_S = 5.0
#: Longer than the deadline of the class `glance`.
IDLE_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.01

Printer = Callable[[str], None]


def run_demo(seconds: float, print_text: Printer) -> int:
    """Run the demo and return the exit code.

    Args:
        seconds: How long requests are sent.
        print_text: The function that prints a text.

    Returns:
        0 if the broker became ready and every request got exactly one answer, else 1.
    """
    return uvloop.run(_play(seconds, print_text))


def served_ms(records: list[RequestRecord]) -> list[float]:
    """Return the latencies of the requests that were served, in milliseconds."""
    return [
        (record.answered_ns - record.sent_ns) / NS_PER_MS
        for record in records
        if record.code == frames.SERVED
    ]


async def _play(seconds: float, print_text: Printer) -> int:
    cluster = EmulatedCluster()
    await cluster.start("s-1", "s-2", "s-3", cores=2)
    with tempfile.TemporaryDirectory() as folder:
        node = _make_node(cluster, Path(folder))
        node_task = asyncio.create_task(node.run())
        port = await _wait_for_port(node, node_task)
        log = RequestLog("127.0.0.1", port)
        client = await log.connect()
        is_ready = await wait_for_result(client.check_readiness(), READY_TIMEOUT_S)
        print_text(
            f"three engines, their bus and a broker with two cells on 127.0.0.1:{port}; "
            f"{'ready' if is_ready else 'not ready'}"
        )
        print_text(
            f"for {seconds:.0f} s: harbour asks what its cell can do, inland four times that\n"
        )
        await _send_requests(log, seconds)
        await log.wait_until_idle(IDLE_TIMEOUT_S)
        print_text(_tenant_table(log))
        print_text("\n" + _engine_table(cluster))
        is_exact = all(record.answer_count == 1 for record in log.records)
        is_exact = is_exact and not log.unmatched_answers
        print_text(f"\nevery request got exactly one answer: {'yes' if is_exact else 'no'}")
        log.close()
        node.stop()
        await node_task
    cluster.stop()
    return 0 if is_exact and is_ready else 1


def _make_node(cluster: EmulatedCluster, folder: Path) -> CellNode:
    path = folder / "config.json"
    raw = broker_config(
        cluster,
        "127.0.0.1:1",
        tenants=tenant_settings(*TENANTS),
        kinds=["std"],
        specifics={"size_cores": [2], "parallelism": [1, 2]},
    )
    path.write_text(json.dumps(raw))
    # Port 0 is not valid in the settings, but makes the system choose a free port.
    config = replace(parse(raw, {}), port=0)
    environ = {**os.environ, "TMPDIR": str(folder)}
    return CellNode(config, OperatorConfig(CELLS), str(path), environ)


async def _wait_for_port(node: CellNode, node_task: asyncio.Task[None]) -> int:
    """Return the port for clients; if the node ends before it listens, raise what ended it."""
    while node.server is None and not node_task.done():
        await asyncio.sleep(POLL_INTERVAL_S)
    if node.server is None:
        await node_task
    assert node.server is not None
    return int(node.server.sockets[0].getsockname()[1])


async def _send_requests(log: RequestLog, seconds: float) -> None:
    """Send the requests of each tenant as a Poisson process, for this time."""
    draw = random.Random(ARRIVAL_SEED)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    due_s = dict.fromkeys(TENANTS, 0.0)
    while True:
        tenant = min(due_s, key=due_s.__getitem__)
        if due_s[tenant] > seconds:
            return
        await asyncio.sleep(max(0.0, started_s + due_s[tenant] - loop.time()))
        due_s[tenant] += draw.expovariate(ARRIVALS_PER_S[tenant])
        if draw.random() < GLANCE_FRACTION:
            work_ms = draw.uniform(10, 60)
            table_group = draw.randint(1, 20)
            await log.send_request(
                tenant, "glance", work_ms, 5_000 * NS_PER_MS, table_group=table_group
            )
        else:
            work_ms = draw.uniform(100, 200)
            await log.send_request(tenant, "stock-add", work_ms, 20_000 * NS_PER_MS, threads=2)


def _tenant_table(log: RequestLog) -> str:
    headings = ["tenant", "cell", "asked", "served", "in time", "refused", "failed", "median ms"]
    return table(
        headings, [_tenant_row(tenant, log.requests_of_tenant(tenant)) for tenant in TENANTS]
    )


def _tenant_row(tenant: str, records: list[RequestRecord]) -> list[str]:
    codes = [record.code for record in records]
    on_time_count = sum(
        record.met_objective(OBJECTIVES_NS[record.request_class]) for record in records
    )
    return [
        tenant,
        CELLS.home(tenant),
        str(len(records)),
        str(codes.count(frames.SERVED)),
        f"{on_time_count / max(1, len(records)):.0%}",
        str(codes.count(frames.REFUSED)),
        str(codes.count(frames.FAILED)),
        f"{quantile(served_ms(records), 0.5):.0f}",
    ]


def _engine_table(cluster: EmulatedCluster) -> str:
    cell_by_engine = {uid: cell.name for cell in CELLS.cells for uid in cell.engines}
    rows = [
        [uid, cell_by_engine[uid], str(len(engine.machine.ledger))]
        for uid, engine in cluster.engines.items()
    ]
    return table(["engine", "cell", "queries run"], rows)
