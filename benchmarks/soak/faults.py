"""Fault injection of a run: faults of engines and the discovery service, signals to brokers."""

from __future__ import annotations

import asyncio
import signal
import time

from query_broker.emulator.cluster import EmulatedCluster
from query_broker.emulator.data_engine import HOST, EmulatedEngine, EngineConnection
from query_broker.emulator.discovery_service import EmulatedDiscoveryService, target_entry
from query_broker.emulator.machine import Machine
from query_broker.emulator.processes import BrokerProcess
from query_broker.overriding import override

from .audit import Pause
from .scenario import BrokerSignal, EngineEvent, EngineFault, SignalEvent

NS_PER_MS = 1_000_000
SIGNALS = {BrokerSignal.TERM: signal.SIGTERM, BrokerSignal.HUP: signal.SIGHUP}


class SilentDiscoveryService(EmulatedDiscoveryService):
    """A discovery service that can stop sending events on its open connections.

    Attributes:
        is_silent: Whether events are suppressed on open connections; new ones get all events.
    """

    def __init__(self) -> None:
        """Create a service that sends all events."""
        super().__init__()
        self.is_silent = False

    @override
    def _broadcast(self, line: bytes) -> None:
        if not self.is_silent:
            super()._broadcast(line)

    async def suppress_events(self, begin_s: float, end_s: float) -> tuple[int, int]:
        """Suppress events between two delays from now; return the begin and end in Unix ns."""
        await asyncio.sleep(begin_s)
        began_ns = time.time_ns()
        self.is_silent = True
        await asyncio.sleep(end_s - begin_s)
        self.is_silent = False
        for writer in list(self.subscribers):  # a new connection delivers the missed events
            writer.close()
        return began_ns, time.time_ns()


async def play_engine_event(cluster: EmulatedCluster, event: EngineEvent) -> None:
    """Wait until the time of a fault, then inject it into its engine."""
    await asyncio.sleep(event.at_s)
    uid = f"s-{event.engine}"
    engine = cluster.engines[uid]
    match event.fault:
        case EngineFault.DRAIN:
            cluster.drain(uid)
        case EngineFault.DIE:
            engine.stop()
        case EngineFault.HANG:
            engine.unresponsive = True
            await asyncio.sleep(event.duration_s)
            engine.unresponsive = False
        case EngineFault.RESTART:
            engine.stop()
            await asyncio.sleep(event.duration_s)
            await _start_again(cluster, engine)


async def _start_again(cluster: EmulatedCluster, previous: EmulatedEngine) -> None:
    """Start a cold engine at the address of a stopped one."""
    started_ns = time.time_ns()
    machine = Machine(cores=previous.machine.cores, started_ns=started_ns)
    engine = EmulatedEngine(f"{previous.uid}-reborn", machine, **cluster.engine_options)
    engine.server = await asyncio.get_running_loop().create_server(
        lambda: EngineConnection(engine), HOST, previous.port
    )
    engine.port = previous.port
    cluster.engines[engine.uid] = engine
    targets = cluster.discovery.targets
    removed = {**targets[previous.uid], "state": "terminated"}
    entry = target_entry(engine.uid, engine.port, boot_ms=started_ns // NS_PER_MS)
    cluster.discovery.publish(removed, entry)


async def play_signal(broker: BrokerProcess, event: SignalEvent, pauses: list[Pause]) -> None:
    """Wait until the time of a signal, then send it, or pause the process for its duration."""
    await asyncio.sleep(event.at_s)
    process = broker.process
    if process is None or process.poll() is not None:
        return
    if event.signal is not BrokerSignal.PAUSE:
        broker.signal(SIGNALS[event.signal])
        return
    began_ns = time.time_ns()
    broker.signal(signal.SIGSTOP)
    await asyncio.sleep(event.duration_s)
    broker.signal(signal.SIGCONT)
    pauses.append(Pause(event.broker, began_ns, time.time_ns()))
