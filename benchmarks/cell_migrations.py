"""Migrations of tenants between cells, under load and with faults of the engines."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from contextlib import suppress
from typing import NamedTuple

from query_broker.cells.migrations import MigrationRejectedError, Stage
from query_broker.cells.model import Cell, CellMap, MigrationTimeouts, Tenant
from query_broker.cells.node import CellNode
from query_broker.emulator.clients import RequestLog, RequestRecord
from query_broker.emulator.cluster import EmulatedCluster, broker_config, tenant_settings
from query_broker.emulator.data_engine import statements_run_twice
from query_broker.operator_config.settings import OperatorConfig
from query_broker.protocols import client_frames as frames

from .cell_isolation import SPECIFICS
from .harness.node import parse_config, serving
from .harness.results import Results
from .harness.units import NS_PER_S

SEED = 11
CELL_NAMES = ("a", "b", "c", "d")
ENGINES_PER_CELL = 3
ENGINE_CORES = 4
TENANT_NAMES = [f"t{number}" for number in range(20)]
TIMEOUTS = MigrationTimeouts(
    proposed_ns=1 * NS_PER_S,
    warming_ns=2 * NS_PER_S,
    settle_ns=NS_PER_S // 10,
    watch_ns=NS_PER_S // 5,
    target_lost_ns=NS_PER_S // 5,
)
REQUESTS_PER_S = 150.0
WRITE_FRACTION = 0.15
WORK_MS = (5, 40)
TIMEOUT_NS = 4 * NS_PER_S
IDLE_TIMEOUT_S = 8.0
#: Up to this many migrations beyond the wanted number are proposed; the run ends after TIMEOUT_S at
#: the latest.
SPARE_MIGRATIONS = 10
TIMEOUT_S = 240
DRIVER_STEP_S = 0.02
ABORTED_FRACTION = 0.02  # of the driver's steps
DRAIN_GRACE_NS = NS_PER_S

FAULT_INTERVAL_S = (0.4, 0.9)
DRAIN_DURATION_S = 1.2
CRASH_REPORT_DELAY_S = 0.3
UNRESPONSIVE_DURATION_S = 0.4
DISABLED_DURATION_S = 0.5
COLD_SUCCESSOR_FRACTION = 0.5

# Clients must not notice a migration, so these bounds allow no exception.
MAX_WITHOUT_ONE_ANSWER = 0  # every request gets exactly one answer
MAX_UNSAFE_RUN_TWICE = 0  # a non-idempotent query that runs twice changes data twice
MAX_SENT_AFTER_DRAIN = 0  # a draining engine must get no new queries
MAX_ENGINES_CRASHED = 0  # engines that warm up are sent no more than their contract allows


class EndedMigration(NamedTuple):
    """The time of a migration that has ended."""

    tenant: str
    begun_ns: int
    ended_ns: int


class MigrationDriver:
    """Proposes migrations, and aborts some of them as an operator would.

    Attributes:
        ended: Migrations that have ended.
        stages: How many ended in each stage.
        aborted: How many were aborted.
    """

    def __init__(self, node: CellNode, rng: random.Random) -> None:
        """Create a driver that has proposed nothing."""
        self.ended: list[EndedMigration] = []
        self.stages: Counter[Stage] = Counter()
        self.aborted = 0
        self._node = node
        self._random = rng
        self._proposed = 0
        self._seen_versions: set[int] = set()

    async def run(self, count: int) -> None:
        """Propose and abort migrations until enough have ended or the timeout is reached."""
        begun_s = time.monotonic()
        while len(self.ended) < count and time.monotonic() - begun_s < TIMEOUT_S:
            self._collect_ended()
            if self._proposed < count + SPARE_MIGRATIONS:
                self._propose()
            if self._random.random() < ABORTED_FRACTION:
                self._abort()
            await asyncio.sleep(DRIVER_STEP_S)

    def _collect_ended(self) -> None:
        for migration in self._node.celled.migrations.records.values():
            if migration.has_ended() and migration.version not in self._seen_versions:
                self._seen_versions.add(migration.version)
                self.stages[migration.stage] += 1
                ended = EndedMigration(
                    migration.subject, migration.proposed_ns, migration.stage_since_ns
                )
                self.ended.append(ended)

    def _propose(self) -> None:
        tenant = self._random.choice(TENANT_NAMES)
        cell = self._random.choice(CELL_NAMES)
        with suppress(MigrationRejectedError):
            self._node.celled.migrations.propose(tenant, cell, self._node.clock.now())
            self._proposed += 1

    def _abort(self) -> None:
        tenant = self._random.choice(TENANT_NAMES)
        with suppress(MigrationRejectedError):
            self._node.celled.migrations.abort_by_operators(tenant, self._node.clock.now())
            self.aborted += 1


async def _send_requests(
    requests: RequestLog, rng: random.Random, load_ended: asyncio.Event
) -> None:
    while not load_ended.is_set():
        is_write = rng.random() < WRITE_FRACTION
        tenant = rng.choice(TENANT_NAMES)
        work_ms = rng.uniform(*WORK_MS)
        await requests.send_request(
            tenant,
            "stock-add" if is_write else "glance",
            work_ms,
            TIMEOUT_NS,
            threads=2 if is_write else 1,
        )
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))


class EngineFaultInjector:
    """Injects drains with successors, crashes, unresponsive engines and manually disabled engines.

    The faults never affect all engines of a cell at once.
    """

    def __init__(self, cluster: EmulatedCluster, node: CellNode, rng: random.Random) -> None:
        """Create an injector of faults into the engines of a cluster."""
        self._cluster = cluster
        self._node = node
        self._random = rng
        self._successor_numbers = itertools.count(1)

    async def run(self, load_ended: asyncio.Event) -> None:
        """Inject one fault after the other until the load has ended."""
        while not load_ended.is_set():
            await asyncio.sleep(self._random.uniform(*FAULT_INTERVAL_S))
            targets = self._cluster.discovery.targets
            ready = [uid for uid, target in targets.items() if target["state"] == "in_service"]
            uid = self._random.choice(ready)
            inject_fault = self._random.choice(
                [self._drain, self._crash, self._make_unresponsive, self._disable]
            )
            await inject_fault(uid, f"n-{next(self._successor_numbers)}")

    async def _drain(self, uid: str, successor: str) -> None:
        is_cold = self._random.random() < COLD_SUCCESSOR_FRACTION
        await self._cluster.add(successor, cores=ENGINE_CORES, cold=is_cold)
        self._cluster.drain(uid)
        await asyncio.sleep(DRAIN_DURATION_S)
        self._cluster.terminate(uid)

    async def _crash(self, uid: str, successor: str) -> None:
        self._cluster.engines[uid].stop()
        await self._cluster.add(successor, cores=ENGINE_CORES)
        await asyncio.sleep(CRASH_REPORT_DELAY_S)
        target = self._cluster.discovery.targets[uid]
        self._cluster.discovery.publish({**target, "state": "terminated"})

    async def _make_unresponsive(self, uid: str, _successor: str) -> None:
        self._cluster.engines[uid].unresponsive = True
        await asyncio.sleep(UNRESPONSIVE_DURATION_S)
        self._cluster.engines[uid].unresponsive = False

    async def _disable(self, uid: str, _successor: str) -> None:
        self._node.dispatcher.set_endpoint_disabled(uid, True)
        await asyncio.sleep(DISABLED_DURATION_S)
        self._node.dispatcher.set_endpoint_disabled(uid, False)


def _cell_map() -> CellMap:
    tenants = {
        name: Tenant(name, (CELL_NAMES[number % len(CELL_NAMES)],))
        for number, name in enumerate(TENANT_NAMES)
    }
    cells = tuple(Cell(name, min_endpoints=2) for name in CELL_NAMES)
    return CellMap(1, cells, CELL_NAMES[0], tenants, TIMEOUTS)


async def record_migrations(results: Results, count: int) -> None:
    """Run a number of migrations while clients send requests and engines have faults."""
    rng = random.Random(SEED)
    cluster = EmulatedCluster()
    uids = [f"{cell}-{number}" for cell in CELL_NAMES for number in range(ENGINES_PER_CELL)]
    await cluster.start(*uids, cores=ENGINE_CORES)
    raw = broker_config(
        cluster,
        "127.0.0.1:1",
        specifics=SPECIFICS,
        tenants=tenant_settings(*TENANT_NAMES),
        limits={"sockets": 1_024, "memory_mb": 128},
    )
    with tempfile.TemporaryDirectory() as folder:
        environment = {**os.environ, "TMPDIR": folder}
        node = CellNode(parse_config(raw), OperatorConfig(_cell_map()), "", environment)
        async with serving(node) as port:
            requests = RequestLog("127.0.0.1", port)
            driver = MigrationDriver(node, rng)
            faults = EngineFaultInjector(cluster, node, rng)
            begun_s = time.monotonic()
            await _run_load(requests, driver, faults, rng, count)
            _record_driver(results, driver, count)
            results.record("moves.seconds", time.monotonic() - begun_s)
            _record_requests(results, requests, cluster)
            _record_fractions(results, requests.records, driver.ended)
            requests.close()
    cluster.stop()


async def _run_load(
    requests: RequestLog,
    driver: MigrationDriver,
    faults: EngineFaultInjector,
    rng: random.Random,
    count: int,
) -> None:
    load_ended = asyncio.Event()
    sending = asyncio.create_task(_send_requests(requests, rng, load_ended))
    injecting_faults = asyncio.create_task(faults.run(load_ended))
    await driver.run(count)
    load_ended.set()
    await asyncio.gather(sending, injecting_faults)
    await requests.wait_until_idle(IDLE_TIMEOUT_S)


def _record_driver(results: Results, driver: MigrationDriver, count: int) -> None:
    results.record("moves.ended", len(driver.ended), at_least=count)
    results.record("moves.done", driver.stages[Stage.DONE])
    results.record("moves.taken_back", driver.stages[Stage.ROLLED_BACK])
    results.record("moves.taken_back_by_call", driver.aborted)


def _record_requests(results: Results, requests: RequestLog, cluster: EmulatedCluster) -> None:
    engines = list(cluster.engines.values())
    without_one_answer = sum(record.answer_count != 1 for record in requests.records)
    crashed = sum(engine.machine.crashed for engine in engines)
    results.record("moves.requests", len(requests.records))
    results.record(
        "moves.requests_without_one_answer",
        without_one_answer + requests.unmatched_answers,
        at_most=MAX_WITHOUT_ONE_ANSWER,
    )
    results.record(
        "moves.unsafe_run_twice",
        len(statements_run_twice(engines, b"stock-add")),
        at_most=MAX_UNSAFE_RUN_TWICE,
    )
    results.record(
        "moves.sent_after_drain",
        cluster.queries_after_drain(DRAIN_GRACE_NS),
        at_most=MAX_SENT_AFTER_DRAIN,
    )
    results.record("moves.engines_fallen", crashed, at_most=MAX_ENGINES_CRASHED)


def _record_fractions(
    results: Results, records: Sequence[RequestRecord], ended: Sequence[EndedMigration]
) -> None:
    """Record the rejected and failed fractions, during migrations of the tenant and otherwise."""
    migrations: defaultdict[str, list[EndedMigration]] = defaultdict(list)
    for migration in ended:
        migrations[migration.tenant].append(migration)
    during = []
    outside = []
    for record in records:
        is_during = any(
            migration.begun_ns <= record.sent_ns <= migration.ended_ns
            for migration in migrations[record.tenant]
        )
        if is_during:
            during.append(record)
        else:
            outside.append(record)
    for name, group in (("during", during), ("apart", outside)):
        rejected = sum(record.code == frames.REFUSED for record in group)
        failed = sum(record.code == frames.FAILED for record in group)
        results.record(f"moves.refused_share_{name}", rejected / max(1, len(group)))
        results.record(f"moves.failed_share_{name}", failed / max(1, len(group)))
