"""A mass start of real processes with an emulated discovery service and emulated engines."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from query_broker.emulator.clients import RequestLog, RequestRecord
from query_broker.emulator.cluster import EmulatedCluster, broker_config
from query_broker.emulator.data_engine import statements_run_twice
from query_broker.emulator.discovery_service import target_entry
from query_broker.emulator.faulty_links import Fault, FaultSchedule, FaultyLink
from query_broker.emulator.machine import Machine
from query_broker.emulator.processes import BrokerFleet, BrokerProcess
from query_broker.startup.pacing import call_window_ns

from .harness.daemon import resident_memory_mb
from .harness.results import Results
from .harness.statistics import busiest_window
from .harness.trees import ROOT
from .harness.units import NS_PER_MS, NS_PER_S
from .start_settings import (
    DISCOVERY_LINK,
    ENGINE_CONNECTS_PER_S,
    ENGINE_PROBES_PER_S,
    LIST_CALLS_PER_S,
    SLOW_BYTES_PER_S,
)

OPERATOR_SCRIPT = (
    f"start(list_connects = {LIST_CALLS_PER_S:g}, engine_probes = {ENGINE_PROBES_PER_S}, "
    f"engine_connects = {ENGINE_CONNECTS_PER_S}, ramp = 4)"
)
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.1
REQUESTS_PER_S = 4  # of the client of each broker
REQUESTS_PER_WRITE = 6
WORK_MS = 40
REQUEST_TIMEOUT_NS = 4_000 * NS_PER_MS
IDLE_TIMEOUT_S = 5.0
#: Size of the id range of each broker: ids must differ, since engines' ledgers go by statements.
IDS_PER_BROKER = 1_000_000
MEMORY_SAMPLES = 20
#: Windows from the beginning of the start, in which the served fraction of the demand is measured.
DEMAND_WINDOWS_S = (10.0, 30.0)
READY_FRACTIONS = (0.5, 0.95, 1.0)
#: Size of a terminated engine's entry in the endpoint list.
TERMINATED_ENTRY_BYTES = 210

#: The rate plus 30 %, since the emulated link counts a call when it accepts it, which may be late
#: (`docs/design/start.md`).
MAX_LIST_CALLS_PER_S = LIST_CALLS_PER_S * 1.3
#: Both rates together plus a tenth, since a busy machine delays connections.
MAX_ENGINE_CONNECTS_PER_S = 1.1 * (ENGINE_PROBES_PER_S + ENGINE_CONNECTS_PER_S)
#: Each broker calls within one window, after failures within five (`docs/design/start.md`);
#: PROCESS_START_S is for the start of all processes on one machine.
READY_CALL_WINDOWS = 6
PROCESS_START_S = 15
#: A slow discovery service sends the list to all brokers once; the bound allows twice that time.
LIST_TRANSFERS = 2
#: Goal during a start, when brokers reject the requests that their admission ramp does not admit.
MIN_SERVED = 0.5
# Guarantees without exception, also during a start.
MAX_ENGINES_CRASHED = 0
MAX_UNANSWERED = 0
MAX_UNMATCHED_ANSWERS = 0
MAX_UNSAFE_RUN_TWICE = 0


@dataclass(frozen=True)
class StartScenario:
    """The parameters of a mass start.

    Attributes:
        brokers: Number of broker processes.
        engines: Number of emulated engines.
        requests_end_s: Time after the start at which clients stop sending.
        faults: Faults of the discovery service.
        terminated_engines: Number of terminated engines, which make the endpoint list long.
        tree: The program that runs.
        operator_script: The operators' file; empty for none.
    """

    brokers: int
    engines: int
    requests_end_s: float
    faults: Sequence[Fault] = ()
    terminated_engines: int = 0
    tree: Path = ROOT
    operator_script: str = OPERATOR_SCRIPT

    def list_transfer_s(self) -> float:
        """Return how long a slow discovery service takes to send the list to all brokers."""
        list_bytes = self.terminated_engines * TERMINATED_ENTRY_BYTES
        return self.brokers * list_bytes / SLOW_BYTES_PER_S


class ServedFraction(NamedTuple):
    """The served fraction of the demand in the first seconds."""

    window_s: float
    fraction: float


@dataclass(frozen=True)
class StartResult:
    """The results of a mass start.

    Attributes:
        started_within_s: Time from the start of the first process to that of the last.
        list_calls_s: When the discovery service was called.
        list_bytes: Bytes that the discovery service sent.
        ready_s: When each broker was ready, in ascending order.
        engine_connects_per_s: Peak of the connections to one engine in a second.
        threads_per_core: Peak of the threads in use at one engine, per core.
        engines_crashed: Engines that crashed.
        served_of_demand: Served fractions of what clients send if brokers are ready at once.
        served: Served fraction of the requests that were sent.
        unanswered: Requests that did not get exactly one answer.
        unmatched_answers: Answers that belong to no open request.
        unsafe_run_twice: Non-idempotent statements that ran twice.
        memory_mb: Mean resident memory of a broker.
    """

    started_within_s: float
    list_calls_s: list[float]
    list_bytes: int
    ready_s: list[float]
    engine_connects_per_s: int
    threads_per_core: float
    engines_crashed: int
    served_of_demand: list[ServedFraction]
    served: float
    unanswered: int
    unmatched_answers: int
    unsafe_run_twice: int
    memory_mb: float


class StartClients:
    """One client for each broker, which sends requests as soon as the broker is ready.

    Attributes:
        logs: The request log of each broker that became ready.
    """

    def __init__(self, begun_s: float, requests_end_s: float) -> None:
        """Create the clients of brokers whose start began at a given time."""
        self.logs: list[RequestLog] = []
        self._begun_s = begun_s
        self._end_s = begun_s + requests_end_s

    async def run(self, brokers: Sequence[BrokerProcess]) -> list[float]:
        """Send requests until the end; return when each broker was ready, infinite if never."""
        return sorted(await asyncio.gather(*(self._run_one(broker) for broker in brokers)))

    async def _run_one(self, broker: BrokerProcess) -> float:
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            if await broker.is_ready():
                ready_s = time.monotonic() - self._begun_s
                await self._send_requests(broker)
                return ready_s
            await asyncio.sleep(READY_POLL_S)
        return math.inf

    async def _send_requests(self, broker: BrokerProcess) -> None:
        log = RequestLog("127.0.0.1", broker.port)
        log.request_numbers = itertools.count(1 + IDS_PER_BROKER * broker.number)
        self.logs.append(log)
        for number in itertools.count(1):
            if time.monotonic() > self._end_s:
                break
            request_class = "stock-add" if number % REQUESTS_PER_WRITE == 0 else "glance"
            await log.send_request("", request_class, WORK_MS, REQUEST_TIMEOUT_NS)
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await log.wait_until_idle(IDLE_TIMEOUT_S)

    def records(self) -> list[RequestRecord]:
        """Return the requests of all clients."""
        return [record for log in self.logs for record in log.records]

    def close(self) -> None:
        """Close all connections."""
        for log in self.logs:
            log.close()


class MassStart:
    """A simultaneous start of brokers that know only the address of the discovery service."""

    def __init__(self, scenario: StartScenario) -> None:
        """Prepare the start without starting anything."""
        self._scenario = scenario
        self._cluster = EmulatedCluster()
        self._connects_s: dict[str, list[float]] = {}
        self._begun_s = 0.0
        self._link: FaultyLink

    async def run(self) -> StartResult:
        """Start the brokers, let clients send requests, and return the results."""
        scenario = self._scenario
        raw = await self._start_cluster()
        with BrokerFleet(scenario.brokers, raw, scenario.operator_script, scenario.tree) as fleet:
            self._begun_s = time.monotonic()
            self._link.schedule.started_s = self._begun_s
            await asyncio.to_thread(fleet.start)
            started_within_s = time.monotonic() - self._begun_s
            clients = StartClients(self._begun_s, scenario.requests_end_s)
            ready_s = await clients.run(fleet.processes)
            memory_mb = _mean_memory_mb(fleet.processes[:MEMORY_SAMPLES])
            clients.close()
        self._link.stop()
        self._cluster.stop()
        return self._summarise(clients, started_within_s, ready_s, memory_mb)

    async def _start_cluster(self) -> dict[str, Any]:
        """Start engines and discovery service; return the configuration of the brokers."""
        scenario = self._scenario
        cluster = self._cluster
        await cluster.start(*(f"s-{number}" for number in range(scenario.engines)))
        for number in range(scenario.terminated_engines):
            cluster.discovery.publish(target_entry(f"gone-{number}", 9, "terminated"))
        schedule = FaultSchedule(scenario.faults, time.monotonic)
        self._link = FaultyLink(DISCOVERY_LINK, "127.0.0.1", cluster.discovery_port, schedule)
        for engine in cluster.engines.values():
            self._connects_s[engine.uid] = []
            engine.connection_observer = self._connects_s[engine.uid].append
        raw = broker_config(cluster, "", fleet_size=scenario.brokers, tenants=[])
        raw["bus"] = f"127.0.0.1:{await self._link.start()}"
        del raw["known"]
        raw["limits"] = {"sockets": 128, "memory_mb": 64}
        return raw

    def _summarise(
        self,
        clients: StartClients,
        started_within_s: float,
        ready_s: list[float],
        memory_mb: float,
    ) -> StartResult:
        records = clients.records()
        engines = list(self._cluster.engines.values())
        peak_connects = [busiest_window(times_s) for times_s in self._connects_s.values()]
        return StartResult(
            started_within_s=started_within_s,
            list_calls_s=self._link.connected_at_s,
            list_bytes=self._link.counts["back"],
            ready_s=ready_s,
            engine_connects_per_s=max(peak_connects, default=0),
            threads_per_core=max(peak_threads_per_core(engine.machine) for engine in engines),
            engines_crashed=sum(engine.machine.crashed for engine in engines),
            served_of_demand=self._served_of_demand(records),
            served=sum(record.code == 0 for record in records) / max(1, len(records)),
            unanswered=sum(record.answer_count != 1 for record in records),
            unmatched_answers=sum(log.unmatched_answers for log in clients.logs),
            unsafe_run_twice=len(statements_run_twice(engines, b"stock-add")),
            memory_mb=memory_mb,
        )

    def _served_of_demand(self, records: Sequence[RequestRecord]) -> list[ServedFraction]:
        scenario = self._scenario
        begun_ns = time.time_ns() - int((time.monotonic() - self._begun_s) * NS_PER_S)
        fractions = []
        for window_s in DEMAND_WINDOWS_S:
            if window_s > scenario.requests_end_s:
                continue
            end_ns = begun_ns + window_s * NS_PER_S
            served = sum(record.code == 0 and record.sent_ns < end_ns for record in records)
            demand = scenario.brokers * REQUESTS_PER_S * window_s
            fractions.append(ServedFraction(window_s, served / demand))
        return fractions


def peak_threads_per_core(machine: Machine) -> float:
    """Return the peak of the threads in use on a machine, per core."""
    thread_changes = []
    for run in machine.ledger:
        thread_changes.append((run.begun_ns, run.threads))
        thread_changes.append((run.ended_ns or machine.now_ns, -run.threads))
    threads_in_use = itertools.accumulate(
        (threads for _, threads in sorted(thread_changes)), initial=0
    )
    return max(threads_in_use) / machine.cores


def _mean_memory_mb(brokers: Sequence[BrokerProcess]) -> float:
    memory_mb = [
        resident_memory_mb(broker.process.pid) for broker in brokers if broker.process is not None
    ]
    return sum(memory_mb) / len(memory_mb)


def record_start(
    results: Results, name: str, result: StartResult, scenario: StartScenario, is_paced: bool
) -> None:
    """Record a mass start; bounds that depend on pacing apply to paced brokers only."""
    window_s = call_window_ns(scenario.brokers, LIST_CALLS_PER_S) / NS_PER_S
    max_ready_s = (
        READY_CALL_WINDOWS * window_s
        + PROCESS_START_S
        + LIST_TRANSFERS * scenario.list_transfer_s()
    )
    results.record(f"{name}.started_within_s", result.started_within_s)
    results.record(
        f"{name}.list_calls_in_the_busiest_second",
        busiest_window(result.list_calls_s),
        at_most=MAX_LIST_CALLS_PER_S if is_paced else None,
    )
    results.record(f"{name}.list_bytes", result.list_bytes)
    for fraction in READY_FRACTIONS:
        position = min(len(result.ready_s) - 1, int(fraction * len(result.ready_s)))
        results.record(
            f"{name}.ready_{fraction:g}_s",
            result.ready_s[position],
            at_most=max_ready_s if is_paced else None,
        )
    _record_engines(results, name, result, is_paced)
    _record_requests(results, name, result, is_paced)
    results.record(f"{name}.memory_mb", result.memory_mb)


def _record_engines(results: Results, name: str, result: StartResult, is_paced: bool) -> None:
    results.record(
        f"{name}.engine_connects_in_the_busiest_second",
        result.engine_connects_per_s,
        at_most=MAX_ENGINE_CONNECTS_PER_S if is_paced else None,
    )
    results.record(f"{name}.threads_a_core_in_hand_at_one_engine", result.threads_per_core)
    results.record(f"{name}.engines_fallen", result.engines_crashed, at_most=MAX_ENGINES_CRASHED)


def _record_requests(results: Results, name: str, result: StartResult, is_paced: bool) -> None:
    for served in result.served_of_demand:
        results.record(f"{name}.served_of_the_demand_in_{served.window_s:g}_s", served.fraction)
    results.record(f"{name}.served", result.served, at_least=MIN_SERVED if is_paced else None)
    results.record(
        f"{name}.unanswered", result.unanswered, at_most=MAX_UNANSWERED if is_paced else None
    )
    results.record(f"{name}.strays", result.unmatched_answers, at_most=MAX_UNMATCHED_ANSWERS)
    results.record(
        f"{name}.unsafe_run_twice", result.unsafe_run_twice, at_most=MAX_UNSAFE_RUN_TWICE
    )
