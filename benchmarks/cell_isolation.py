"""Isolation of healthy tenants from one whose queries take a hundred times their estimate."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from query_broker.emulator.clients import RequestLog, RequestRecord, quantile
from query_broker.emulator.cluster import EmulatedCluster, tenant_settings
from query_broker.protocols import client_frames as frames

from .harness.daemon import Daemon, Program
from .harness.results import Results
from .harness.trees import ROOT
from .harness.units import NS_PER_MS, NS_PER_S

SEED = 5
LATENCY_OBJECTIVES_NS = {"glance": 1 * NS_PER_S, "stock-add": 3 * NS_PER_S}
SPECIFICS = {"size_cores": [4], "parallelism": [1, 2], "memory_heeded": True, "lanes_count": True}
TIMEOUT_NS = 5 * NS_PER_S
IDLE_TIMEOUT_S = 7.0
#: The three healthy tenants together use a third of their cell's capacity.
HEALTHY_REQUESTS_PER_S = {"good": 30.0, "better": 30.0, "best": 15.0}
HEALTHY_WORK_MS = (20, 60)
FAULTY_TENANT = "bad"
FAULTY_REQUESTS_PER_S = 120.0
FAULTY_WORK_MS = 1_000
FAULTY_ESTIMATE_MS = 10
FAULTY_ROWS = 1_500
WRITE_FRACTION = 0.1
#: Engines of the cell that the faulty tenant does not belong to.
HEALTHY_ENGINES = ("a-1", "a-2", "a-3")
FAULTY_ENGINE = "b-1"
OPERATOR_SCRIPT = """\
epoch(1)
cell("a", engines = ["a-1", "a-2", "a-3"], weight = 3)
cell("b", engines = ["b-1"])
default_cell("a")
tenant("bad", cell = "b")"""

#: Cells do not share engines, so a single attempt in another cell is a fault.
MAX_STRAY_ATTEMPTS = 0
#: The other tenants must not be affected. These are tolerances for the difference between two runs
#: of real processes on one machine: of the fraction served in time, and of the 99th percentile of
#: the latency.
MAX_SERVED_DECREASE = 0.02
MAX_P99_INCREASE = 1.25


class HealthyOutcome(NamedTuple):
    """The healthy tenants' requests, and the faulty tenant's attempts at their engines."""

    records: list[RequestRecord]
    stray_attempts: int

    def served_in_time(self) -> float:
        """Return the fraction of the requests that was served within its latency objective."""
        in_time = sum(
            record.met_objective(LATENCY_OBJECTIVES_NS[record.request_class])
            for record in self.records
        )
        return in_time / max(1, len(self.records))

    def p99_ms(self) -> float:
        """Return the 99th percentile of the latency of served requests."""
        latencies_ms = [
            (record.answered_ns - record.sent_ns) / NS_PER_MS
            for record in self.records
            if record.code == frames.SERVED
        ]
        return quantile(latencies_ms, 0.99)


async def _send_request(requests: RequestLog, rng: random.Random, tenant: str) -> None:
    is_write = rng.random() < WRITE_FRACTION
    request_class = "stock-add" if is_write else "glance"
    threads = 2 if is_write else 1
    if tenant == FAULTY_TENANT:
        await requests.send_request(
            tenant,
            request_class,
            FAULTY_WORK_MS,
            TIMEOUT_NS,
            threads=threads,
            estimated_work_ms=FAULTY_ESTIMATE_MS,
            rows=FAULTY_ROWS,
        )
        return
    work_ms = rng.uniform(*HEALTHY_WORK_MS)
    group = rng.randint(1, 9)
    await requests.send_request(
        tenant, request_class, work_ms, TIMEOUT_NS, threads=threads, table_group=group
    )


async def _send_all(requests: RequestLog, seconds: float, has_faulty: bool) -> None:
    """Send each tenant's requests at its rate for a number of seconds."""
    rng = random.Random(SEED)
    rates = dict(HEALTHY_REQUESTS_PER_S)
    if has_faulty:
        rates[FAULTY_TENANT] = FAULTY_REQUESTS_PER_S
    due_s = {tenant: rng.expovariate(rate) for tenant, rate in rates.items()}
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    while True:
        tenant = min(due_s, key=lambda candidate: due_s[candidate])
        if due_s[tenant] >= seconds:
            return
        await asyncio.sleep(max(0.0, begun_s + due_s[tenant] - loop.time()))
        due_s[tenant] += rng.expovariate(rates[tenant])
        await _send_request(requests, rng, tenant)


def _count_stray_attempts(cluster: EmulatedCluster, engines: Sequence[str]) -> int:
    statement_mark = f"work={FAULTY_WORK_MS} ".encode()
    return sum(
        statement_mark in query.statement
        for uid in engines
        for query in cluster.engines[uid].received_queries
    )


async def _run_scenario(seconds: float, has_faulty: bool, has_cells: bool) -> HealthyOutcome:
    cluster = EmulatedCluster()
    await cluster.start(*HEALTHY_ENGINES, FAULTY_ENGINE, cores=4)
    program = Program(ROOT, OPERATOR_SCRIPT if has_cells else "")
    settings: dict[str, Any] = {
        "specifics": SPECIFICS,
        "tenants": tenant_settings(*HEALTHY_REQUESTS_PER_S, FAULTY_TENANT),
    }
    daemon = await Daemon(program, cluster, settings).start()
    await _send_all(daemon.requests, seconds, has_faulty)
    await daemon.requests.wait_until_idle(IDLE_TIMEOUT_S)
    records = [record for record in daemon.requests.records if record.tenant != FAULTY_TENANT]
    stray_attempts = _count_stray_attempts(cluster, HEALTHY_ENGINES)
    daemon.stop()
    cluster.stop()
    return HealthyOutcome(records, stray_attempts)


async def record_isolation(results: Results, seconds: float) -> None:
    """Compare the healthy tenants alone, with a faulty one, and with it but without cells."""
    alone = await _run_scenario(seconds, has_faulty=False, has_cells=True)
    isolated = await _run_scenario(seconds, has_faulty=True, has_cells=True)
    without_cells = await _run_scenario(seconds, has_faulty=True, has_cells=False)
    min_served = round(alone.served_in_time() - MAX_SERVED_DECREASE, 4)
    max_p99_ms = round(MAX_P99_INCREASE * alone.p99_ms(), 1)
    results.record("isolation.requests", len(isolated.records))
    results.record(
        "isolation.attempts_in_other_cells", isolated.stray_attempts, at_most=MAX_STRAY_ATTEMPTS
    )
    results.record("isolation.served_in_time_alone", alone.served_in_time())
    results.record(
        "isolation.served_in_time_beside", isolated.served_in_time(), at_least=min_served
    )
    results.record("isolation.served_in_time_without_cells", without_cells.served_in_time())
    results.record("isolation.p99_ms_alone", alone.p99_ms())
    results.record("isolation.p99_ms_beside", isolated.p99_ms(), at_most=max_p99_ms)
    results.record("isolation.p99_ms_without_cells", without_cells.p99_ms())
