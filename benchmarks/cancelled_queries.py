"""Engine time spent on departed clients, with and without engines that honour cancellation."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from query_broker.emulator.clients import RequestRecord, quantile
from query_broker.emulator.cluster import EmulatedCluster, platform_settings, tenant_settings

from .client_lifecycles import cancel_request
from .harness.daemon import Daemon, Program
from .harness.results import Results
from .harness.trees import ROOT
from .harness.units import NS_PER_MS, NS_PER_S

SEED = 9
REQUESTS_PER_S = 18.0
WORK_MS = (200, 800)
CANCELLED_FRACTION = 0.5
MAX_CANCEL_DELAY_S = 0.2
TIMEOUT_NS = 5 * NS_PER_S
IDLE_TIMEOUT_S = 6.0
#: Goal of cancellation: at most a fifth of the engine time spent on departed clients remains.
MAX_MEDIAN_RATIO = 0.2
#: Below any measured time; avoids a division by zero.
MIN_MEDIAN_MS = 1e-9


class CancellingClients:
    """Clients of one daemon that cancel half of their requests soon after sending them.

    Attributes:
        departed_ns: Time of each cancellation, by request id.
    """

    def __init__(self, daemon: Daemon) -> None:
        """Create clients that have sent nothing."""
        self.departed_ns: dict[bytes, int] = {}
        self._requests = daemon.requests
        self._random = random.Random(SEED)

    async def run(self, seconds: float) -> None:
        """Send requests for a number of seconds, then wait for the answers."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            work_ms = self._random.uniform(*WORK_MS)
            record = await self._requests.send_request("acme", "glance", work_ms, TIMEOUT_NS)
            if self._random.random() < CANCELLED_FRACTION:
                delay_s = self._random.uniform(0.0, MAX_CANCEL_DELAY_S)
                asyncio.get_running_loop().call_later(delay_s, self._cancel, record)
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))
        await self._requests.wait_until_idle(IDLE_TIMEOUT_S)

    def _cancel(self, record: RequestRecord) -> None:
        for client in self._requests.clients:
            if cancel_request(client, record):
                self.departed_ns[record.request_id.encode()] = time.time_ns()


def _time_after_departure_ms(
    cluster: EmulatedCluster, departed_ns: dict[bytes, int]
) -> list[float]:
    return [
        max(0, (run.ended_ns or time.time_ns()) - departed_ns[run.query_id]) / NS_PER_MS
        for engine in cluster.engines.values()
        for run in engine.machine.ledger
        if run.query_id in departed_ns
    ]


def _settings(cancel_is_honoured: bool) -> dict[str, Any]:
    limits = {**platform_settings()["policy_limits"], "cancel": cancel_is_honoured}
    return {
        "tenants": tenant_settings("acme"),
        "policy_limits": limits,
        "specifics": {"size_cores": [4], "parallelism": [1, 2]},
    }


async def _record_case(
    results: Results, name: str, cancel_is_honoured: bool, seconds: float
) -> float:
    """Record one case, and return the median engine time after departure in milliseconds."""
    cluster = EmulatedCluster()
    await cluster.start("a-1", "a-2", "a-3", cores=4)
    for engine in cluster.engines.values():
        engine.honours_cancel = cancel_is_honoured
    daemon = await Daemon(Program(ROOT), cluster, _settings(cancel_is_honoured)).start()
    clients = CancellingClients(daemon)
    await clients.run(seconds)
    spent_ms = _time_after_departure_ms(cluster, clients.departed_ns)
    median_ms = quantile(spent_ms, 0.5)
    served = sum(record.code == 0 for record in daemon.requests.records)
    results.record(f"cancels.{name}.departures", len(clients.departed_ns))
    results.record(f"cancels.{name}.engine_ms_after_departure_median", median_ms)
    results.record(f"cancels.{name}.engine_ms_after_departure_p99", quantile(spent_ms, 0.99))
    results.record(f"cancels.{name}.served", served)
    daemon.stop()
    cluster.stop()
    return median_ms


async def record_cancels(results: Results, seconds: float) -> None:
    """Record the engine time after departure in both cases, and compare them."""
    median_without_cancel_ms = await _record_case(results, "without", False, seconds)
    median_with_cancel_ms = await _record_case(results, "with", True, seconds)
    results.record(
        "cancels.median_against_without",
        median_with_cancel_ms / max(MIN_MEDIAN_MS, median_without_cancel_ms),
        at_most=MAX_MEDIAN_RATIO,
    )
