"""One run of a scenario: real broker processes, emulated engines and discovery service, clients."""

from __future__ import annotations

import asyncio
import itertools
import random
import shutil
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from query_broker.emulator.clients import make_statement
from query_broker.emulator.cluster import EmulatedCluster, broker_config
from query_broker.emulator.data_engine import HOST, IdempotencyKeyStore
from query_broker.emulator.processes import BrokerFleet, BrokerProcess

from .audit import MAX_MEMORY_MB, MAX_READY_S, Pause, Rule, RunRecord, Violation
from .deployments import all_deployments
from .faults import SilentDiscoveryService, play_engine_event, play_signal
from .records import RecordingConnection, SentRequest
from .scenario import LISTENER_CLOSE_DELAY_S, BrokerSignal, CrowdMoment, Scenario

NS_PER_MS = 1_000_000
CONNECTIONS_PER_BROKER = 4
#: Clients open new connections until this long after SIGTERM, the minimum that the platform allows.
CONNECT_AFTER_TERM_S = 0.2
#: Upper bound of the clients' timeouts, to keep a run short.
MAX_TIMEOUT_NS = 3_000 * NS_PER_MS
MIN_LOAD_S = 4.0
#: How long to wait after the last SIGKILL for the answers of brokers that keep running.
MAX_SETTLE_S = 4.0
CANCEL_FRACTION = 0.04
LAST_LOG_LINE = "stop: done"
FAULT_MARKS = (" fault: ", "Traceback (most recent call last)")
CROWD_DURATION_S = 0.15
KB_PER_MB = 1024


class SoakRun:
    """Plays one scenario and records it."""

    def __init__(self, scenario: Scenario) -> None:
        """Prepare the run without starting anything."""
        self.scenario = scenario
        self.settings = all_deployments()[scenario.deployment]
        self.random = random.Random(scenario.seed)
        self.requests: list[SentRequest] = []
        self.connections: list[RecordingConnection] = []
        self.pauses: list[Pause] = []
        self.violations: list[Violation] = []
        self.discovery_silence_ns = (0, 0)
        self._request_numbers = itertools.count(1)
        self._ended_brokers: set[int] = set()

    async def play(self, log_folder: Path | None = None) -> RunRecord:
        """Play the scenario.

        Args:
            log_folder: Folder that the brokers' logs are copied to.
        """
        cluster = await self._start_cluster()
        raw = broker_config(cluster, f"{HOST}:1", **self.settings)
        try:
            with BrokerFleet(self.scenario.brokers, raw) as fleet:
                fleet.start()
                await self._wait_until_ready(fleet)
                await self._play_load(cluster, fleet.processes)
                self._audit_logs(fleet.processes)
                if log_folder is not None:
                    _copy_logs(fleet.processes, log_folder)
        finally:
            cluster.stop()
        return self._make_run_record(cluster)

    async def _start_cluster(self) -> EmulatedCluster:
        idempotency_windows_ns = self._idempotency_windows_ns().values()
        store = IdempotencyKeyStore(max(idempotency_windows_ns)) if idempotency_windows_ns else None
        cluster = EmulatedCluster(
            honours_cancel=self.settings["policy_limits"]["cancel"], key_store=store
        )
        cluster.discovery = SilentDiscoveryService()
        names = [f"s-{number}" for number in range(self.scenario.engines)]
        warm_count = self.scenario.engines - self.scenario.cold_engines
        await cluster.start(*names[:warm_count])
        if names[warm_count:]:
            await cluster.add(*names[warm_count:], cold=True)
        return cluster

    async def _wait_until_ready(self, fleet: BrokerFleet) -> None:
        ready_s = await fleet.wait_until_ready(MAX_READY_S)
        if len(ready_s) < self.scenario.brokers:
            text = f"{self.scenario.brokers - len(ready_s)} brokers after {MAX_READY_S:.0f} s"
            self.violations.append(Violation(Rule.READY, text))

    async def _play_load(self, cluster: EmulatedCluster, brokers: list[BrokerProcess]) -> None:
        scenario = self.scenario
        steps: list[Coroutine[Any, Any, Any]] = []
        for event in scenario.engine_events:
            steps.append(play_engine_event(cluster, event))
        for signal_event in scenario.signals:
            steps.append(play_signal(brokers[signal_event.broker], signal_event, self.pauses))
        for broker in brokers:
            steps.append(self._send_load(broker))
            steps.append(self._end_process(broker))
        if scenario.list_silent_s is not None:
            steps.append(self._suppress_events(cluster, *scenario.list_silent_s))
        if scenario.crowd is not None:
            steps.append(self._send_crowd(brokers[0]))
        await asyncio.gather(*steps)
        await self._settle(brokers)

    async def _suppress_events(
        self, cluster: EmulatedCluster, begin_s: float, end_s: float
    ) -> None:
        assert isinstance(cluster.discovery, SilentDiscoveryService)
        self.discovery_silence_ns = await cluster.discovery.suppress_events(begin_s, end_s)

    def _load_end_s(self, broker: int) -> float:
        term_s = self.scenario.first_term_s(broker)
        return MIN_LOAD_S if term_s is None else term_s + self.scenario.kill_delay_s()

    async def _send_load(self, broker: BrokerProcess) -> None:
        """Send requests to a broker at the scenario's rate until its SIGKILL or the load ends."""
        rng = random.Random(self.scenario.seed * 100 + broker.number)
        term_s = self.scenario.first_term_s(broker.number)
        load_connections: list[RecordingConnection] = []
        begun_s = time.monotonic()
        while (elapsed_s := time.monotonic() - begun_s) < self._load_end_s(broker.number):
            may_connect = term_s is None or elapsed_s < term_s + CONNECT_AFTER_TERM_S
            usable = [connection for connection in load_connections if connection.is_usable()]
            if len(usable) < CONNECTIONS_PER_BROKER and may_connect:
                connection = await self._connect(broker)
                if connection is not None:
                    load_connections.append(connection)
                    usable.append(connection)
            if usable:
                self._send_one(rng.choice(usable), broker.number, rng)
            await asyncio.sleep(rng.expovariate(self.scenario.requests_per_s))

    async def _connect(self, broker: BrokerProcess) -> RecordingConnection | None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(RecordingConnection, HOST, broker.port)
        except OSError:
            return None
        self.connections.append(connection)
        return connection

    def _send_one(self, connection: RecordingConnection, broker: int, rng: random.Random) -> None:
        spec = rng.choice(self.settings["classes"])
        number = next(self._request_numbers)
        work_ms = rng.uniform(2, 40) if spec["effect"] == "read_like" else rng.uniform(20, 200)
        request = SentRequest(
            request_id=f"{number:016x}",
            broker=broker,
            request_class=spec["name"],
            effect=spec["effect"],
            timeout_ns=min(spec["deadline"], MAX_TIMEOUT_NS),
        )
        if spec["effect"] == "idempotency_key":
            request.idempotency_key = f"{number:032x}"
        tenants = self.settings["tenants"]
        tenant = rng.choice(tenants)["name"] if tenants else ""
        statement = make_statement(number, work_ms, 1, 1, 1)
        connection.send(request, tenant, statement, work_ms)
        self.requests.append(request)
        if rng.random() < CANCEL_FRACTION:
            loop = asyncio.get_running_loop()
            loop.call_later(rng.uniform(0, 0.1), connection.cancel, request)

    async def _send_crowd(self, broker: BrokerProcess) -> None:
        """Let a burst of clients connect and send one request each."""
        crowd = self.scenario.crowd
        assert crowd is not None
        term_s = self.scenario.first_term_s(broker.number)
        if crowd.moment is CrowdMoment.LISTENER_CLOSE and term_s is not None:
            await asyncio.sleep(term_s + LISTENER_CLOSE_DELAY_S - CROWD_DURATION_S)
        await asyncio.gather(*(self._send_in_crowd(broker) for _ in range(crowd.clients)))

    async def _send_in_crowd(self, broker: BrokerProcess) -> None:
        await asyncio.sleep(self.random.uniform(0, CROWD_DURATION_S))
        connection = await self._connect(broker)
        if connection is not None and connection.is_usable():
            self._send_one(connection, broker.number, self.random)

    async def _end_process(self, broker: BrokerProcess) -> None:
        """Send SIGKILL as early after SIGTERM as the platform may, and check the exit."""
        term_s = self.scenario.first_term_s(broker.number)
        if term_s is None:
            return
        await asyncio.sleep(term_s + self.scenario.kill_delay_s())
        assert broker.process is not None
        exit_code = broker.process.poll()
        if exit_code is None:
            self.violations.append(Violation(Rule.EXIT, f"n{broker.number} runs at SIGKILL"))
        elif exit_code != 0:
            text = f"n{broker.number} ended with {exit_code}"
            self.violations.append(Violation(Rule.EXIT, text))
        elif LAST_LOG_LINE not in broker.log():
            self.violations.append(Violation(Rule.EXIT, f"n{broker.number}: no last line"))
        broker.kill()
        self._ended_brokers.add(broker.number)

    async def _settle(self, brokers: list[BrokerProcess]) -> None:
        """Wait for the answers of the remaining brokers, and check that resources were released."""
        end_s = time.monotonic() + MAX_SETTLE_S
        while any(connection.open_requests for connection in self.connections):
            if time.monotonic() > end_s:
                break
            await asyncio.sleep(0.02)
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.close()
        await asyncio.sleep(0.3)
        for broker in brokers:
            if broker.number not in self._ended_brokers:
                await self._audit_leftovers(broker)

    async def _audit_leftovers(self, broker: BrokerProcess) -> None:
        assert broker.process is not None
        if broker.process.poll() is not None:
            text = f"n{broker.number} ended by itself with {broker.process.returncode}"
            self.violations.append(Violation(Rule.EXIT, text))
            return
        reply = await asyncio.to_thread(broker.call_admin_api, "/metrics")
        lines = reply.body.decode().splitlines()
        concurrent = [line for line in lines if line.startswith("edge_proxy_concurrent ")]
        if concurrent and float(concurrent[0].split()[1]) != 0:
            text = f"n{broker.number}: {concurrent[0]} without clients"
            self.violations.append(Violation(Rule.LEFTOVER, text))
        memory_mb = _memory_mb(broker.process.pid)
        if memory_mb > MAX_MEMORY_MB:
            text = f"n{broker.number} takes {memory_mb:.0f} MB"
            self.violations.append(Violation(Rule.LEFTOVER, text))

    def _audit_logs(self, brokers: list[BrokerProcess]) -> None:
        for broker in brokers:
            for line in broker.log().splitlines():
                if any(mark in line for mark in FAULT_MARKS):
                    self.violations.append(Violation(Rule.FAULT, f"n{broker.number}: {line}"))

    def _idempotency_windows_ns(self) -> dict[str, int]:
        return {
            spec["name"]: spec["window"]
            for spec in self.settings["classes"]
            if spec["effect"] == "idempotency_key"
        }

    def _make_run_record(self, cluster: EmulatedCluster) -> RunRecord:
        return RunRecord(
            cluster=cluster,
            requests=self.requests,
            unmatched_answers=sum(connection.unmatched_answers for connection in self.connections),
            pauses=self.pauses,
            idempotency_windows_ns=self._idempotency_windows_ns(),
            drain_grace_ns=self.settings["contract"]["drain_grace"],
            discovery_silence_ns=self.discovery_silence_ns,
            process_violations=self.violations,
        )


def fault_counts(scenario: Scenario) -> dict[str, int]:
    """Return how often a scenario injects each kind of fault."""
    counts: dict[str, int] = {}
    kinds = [event.fault.value for event in scenario.engine_events]
    kinds += [event.signal.value for event in scenario.signals]
    kinds += ["silent list"] * (scenario.list_silent_s is not None)
    kinds += ["crowd"] * (scenario.crowd is not None)
    for kind in kinds:
        counts[kind] = counts.get(kind, 0) + 1
    return counts


def _copy_logs(brokers: list[BrokerProcess], folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for broker in brokers:
        shutil.copy(broker.folder / "log", folder / f"n{broker.number}.log")


def _memory_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KB_PER_MB
    return 0.0


__all__ = ["BrokerSignal", "SoakRun", "fault_counts"]
