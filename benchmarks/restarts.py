"""How soon restarted brokers are ready, and for what the slowest wait.

Run `python -m benchmarks.restarts [--quick]`. Real processes as `run` starts them: the endpoint
list of the start lies in the configuration. All start at once; a tenth at a time gets SIGTERM and
is started again; seven in ten are killed at once while the discovery service rejects connections.
Beside the time until a broker is ready: its own processor time, and the rest of the time until it
listens, in which it waited for a core of this machine.
"""

from __future__ import annotations

import asyncio
import compileall
import math
import os
import signal
import sys
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import uvloop

from query_broker.emulator.cluster import EmulatedCluster, broker_config
from query_broker.emulator.discovery_service import target_entry, topology_event
from query_broker.emulator.processes import BrokerFleet, BrokerProcess, free_ports

from .harness.arguments import benchmark_parser
from .harness.results import Results
from .harness.trees import ROOT

QUICK_BROKERS = 20
FULL_BROKERS = 200
ENGINE_COUNT = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
READY_POLL_S = 0.02
SHUTDOWN_TIMEOUT_S = 10.0
#: Added to the bound, so that the start of a late broker is still measured.
READY_MARGIN_S = 5.0
LISTENING_LINE = " start: listening on "
FAULT_LINE = " fault: "

#: Goals for the time until nine in ten brokers and until all are ready, also while they share the
#: cores of one machine (`docs/design/rare-moments.md`).
MAX_READY_NINE_IN_TEN_S = 10.0
MAX_READY_S = 30.0
#: A restart is not a fault, so no broker may log one.
MAX_FAULTS = 0


class Restart(NamedTuple):
    """The times of one start of a broker, in seconds.

    Attributes:
        ready_s: Time until it was ready; infinite if it was not in time.
        processor_s: Processor time that it had used when it was ready.
        listening_s: Time until it listened.
    """

    ready_s: float
    processor_s: float
    listening_s: float


def processor_time_s(broker: BrokerProcess) -> float:
    """Return the processor time that a process has used."""
    assert broker.process is not None
    with open(f"/proc/{broker.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    user_ticks = int(fields[11])
    system_ticks = int(fields[12])
    return (user_ticks + system_ticks) / TICKS_PER_S


async def restart(broker: BrokerProcess) -> Restart:
    """Start a process and wait until it is ready."""
    has_log = (broker.folder / "log").exists()
    log_length = len(broker.log()) if has_log else 0
    begun_s = time.time()
    await asyncio.to_thread(broker.start)
    while not await broker.is_ready():
        if time.time() - begun_s > MAX_READY_S + READY_MARGIN_S:
            return Restart(math.inf, 0.0, 0.0)
        await asyncio.sleep(READY_POLL_S)
    ready_s = time.time() - begun_s
    processor_s = processor_time_s(broker)
    lines = broker.log()[log_length:].splitlines()
    listening = next(line for line in lines if LISTENING_LINE in line)
    return Restart(ready_s, processor_s, float(listening.split()[0]) - begun_s)


async def restart_all(brokers: Sequence[BrokerProcess]) -> list[Restart]:
    """Start all processes at the same time, and wait until they are ready."""
    return await asyncio.gather(*(restart(broker) for broker in brokers))


async def restart_in_tenths(brokers: Sequence[BrokerProcess]) -> list[Restart]:
    """Shut down and restart the processes, a tenth of them at a time."""
    tenth = max(1, len(brokers) // 10)
    restarts: list[Restart] = []
    for first in range(0, len(brokers), tenth):
        batch = brokers[first : first + tenth]
        for broker in batch:
            broker.signal(signal.SIGTERM)
        for broker in batch:
            exit_code = await asyncio.to_thread(broker.wait, SHUTDOWN_TIMEOUT_S)
            assert exit_code == 0
        restarts += await restart_all(batch)
    return restarts


def record_restarts(results: Results, name: str, restarts: Sequence[Restart]) -> None:
    """Record when the brokers were ready, and how the slowest one spent its time."""
    ordered = sorted(restarts, key=lambda restarted: restarted.ready_s)
    nine_in_ten = ordered[int(0.9 * (len(ordered) - 1))]
    slowest = ordered[-1]
    results.record(f"{name}.restarts", len(restarts))
    results.record(f"{name}.ready_half_s", ordered[len(ordered) // 2].ready_s)
    results.record(
        f"{name}.ready_nine_in_ten_s", nine_in_ten.ready_s, at_most=MAX_READY_NINE_IN_TEN_S
    )
    results.record(f"{name}.ready_all_s", slowest.ready_s, at_most=MAX_READY_S)
    results.record(f"{name}.slowest_own_processor_s", slowest.processor_s)
    results.record(f"{name}.slowest_waited_for_a_core_s", slowest.listening_s - slowest.processor_s)
    results.record(f"{name}.slowest_from_listening_to_yes_s", slowest.ready_s - slowest.listening_s)


async def make_config(cluster: EmulatedCluster, brokers: int) -> dict[str, Any]:
    """Start engines, and return a configuration that names them and no discovery service."""
    await cluster.start(*(f"s-{number}" for number in range(ENGINE_COUNT)))
    raw = broker_config(cluster, "", fleet_size=brokers, tenants=[])
    targets = [target_entry(engine.uid, engine.port) for engine in cluster.engines.values()]
    raw["known"] = {"offset": 1, "batch": [topology_event(1, *targets, full=True)]}
    # No process listens on this port, so each connection is rejected.
    raw["bus"] = f"127.0.0.1:{free_ports(1)[0]}"
    raw["limits"] = {"sockets": 128, "memory_mb": 64}
    return raw


async def main() -> int:
    """Run the benchmark; return the exit code."""
    options = benchmark_parser(__doc__).parse_args()
    count = QUICK_BROKERS if options.quick else FULL_BROKERS
    compileall.compile_dir(ROOT / "query_broker", quiet=1)  # as `build` does
    results = Results()
    cluster = EmulatedCluster()
    with BrokerFleet(count, await make_config(cluster, count)) as fleet:
        brokers = fleet.processes
        record_restarts(results, "all_at_once", await restart_all(brokers))
        record_restarts(results, "a_tenth_at_a_time", await restart_in_tenths(brokers))
        killed = brokers[: 7 * count // 10]
        for broker in killed:
            broker.kill()
        record_restarts(results, "seven_in_ten_killed", await restart_all(killed))
        faults = sum(FAULT_LINE in broker.log() for broker in brokers)
        results.record("faults", faults, at_most=MAX_FAULTS)
    cluster.stop()
    return results.exit_code()


if __name__ == "__main__":
    sys.exit(uvloop.run(main()))
