"""Capacity that a cell has lent: how soon its owner gets it back on demand."""

from __future__ import annotations

import asyncio
import time

from query_broker.cells.model import Cell, CellMap, Tenant
from query_broker.cells.node import CellNode
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster, broker_config, tenant_settings
from query_broker.operator_config.settings import OperatorConfig

from .harness.node import parse_config, serving
from .harness.results import Results
from .harness.units import NS_PER_S

TIMEOUT_NS = 5 * NS_PER_S
MS_PER_S = 1_000
DIVIDED_REQUEST_COUNT = 40
FLOOD_REQUEST_COUNT = 60
FLOOD_SETTLE_S = 0.1
OWNER_REQUEST_INTERVAL_S = 0.01
OWNER_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 6.0
MAX_ENGINE_SESSIONS = 10_000
#: So slow that no query ends by itself: lent capacity only returns by being reclaimed.
ENGINE_SLOWDOWN = 1e6

#: Without a loan there is nothing to measure.
MIN_LENT = 1
#: The latency objective of the fastest class: an owner that waits longer misses it.
MAX_OWNER_WAIT_MS = 1_000.0
#: Every request gets exactly one answer.
MAX_WITHOUT_ONE_ANSWER = 0


async def _seconds_until_owner_uses_quota(requests: RequestLog, node: CellNode) -> float:
    """Send the owner's requests until they use its complete quota; return the time in seconds."""
    accounts = node.celled.request_ledger.accounts
    begun_s = time.monotonic()
    used_requests = 0
    while used_requests < accounts["b"].quota and time.monotonic() - begun_s < OWNER_TIMEOUT_S:
        await requests.send_request("y", "glance", 1, TIMEOUT_NS, estimated_work_ms=1)
        await asyncio.sleep(OWNER_REQUEST_INTERVAL_S)
        used_requests = accounts["b"].in_use
    return time.monotonic() - begun_s


async def _record_lending(results: Results, requests: RequestLog, node: CellNode) -> None:
    ledger = node.celled.request_ledger
    ledger.divide(DIVIDED_REQUEST_COUNT, node.celled.cell_weights())
    for _ in range(FLOOD_REQUEST_COUNT):
        await requests.send_request("x", "glance", 1, TIMEOUT_NS, estimated_work_ms=1)
    await asyncio.sleep(FLOOD_SETTLE_S)
    results.record("loans.lent", ledger.borrowed_amount("a"), at_least=MIN_LENT)
    owner_wait_ms = await _seconds_until_owner_uses_quota(requests, node) * MS_PER_S
    results.record("loans.owner_has_its_part_after_ms", owner_wait_ms, at_most=MAX_OWNER_WAIT_MS)
    results.record("loans.called_in", node.celled.called_in_count)
    await requests.wait_until_idle(IDLE_TIMEOUT_S)
    without_one_answer = sum(record.answer_count != 1 for record in requests.records)
    results.record(
        "loans.requests_without_one_answer",
        without_one_answer + requests.unmatched_answers,
        at_most=MAX_WITHOUT_ONE_ANSWER,
    )


async def record_lending(results: Results) -> None:
    """Flood one cell until it borrows all it can, then claim the other cell's complete quota."""
    cluster = EmulatedCluster()
    await cluster.start("a-1", "b-1")
    for engine in cluster.engines.values():
        engine.machine.max_sessions = MAX_ENGINE_SESSIONS
        engine.machine.slowdown = ENGINE_SLOWDOWN
    cells = (Cell("a", engines=("a-1",)), Cell("b", engines=("b-1",)))
    cell_map = CellMap(1, cells, "a", {"y": Tenant("y", ("b",))})
    raw = broker_config(
        cluster,
        "127.0.0.1:1",
        tenants=tenant_settings("x", "y"),
        limits={"sockets": 256, "memory_mb": 32},
    )
    node = CellNode(parse_config(raw), OperatorConfig(cell_map), "")
    async with serving(node) as port:
        requests = RequestLog("127.0.0.1", port)
        await _record_lending(results, requests, node)
        requests.close()
    cluster.stop()
