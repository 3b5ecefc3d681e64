"""A small emulated cluster on loopback, and the settings of a broker in front of it."""

from __future__ import annotations

import asyncio
import time
from copy import deepcopy
from typing import Any

from .data_engine import EmulatedEngine
from .discovery_service import EmulatedDiscoveryService, target_entry
from .machine import Machine

MS = 1_000_000

# The initial settings of the platform's simulator, scaled down. Durations are in nanoseconds.
REQUEST_CLASSES: list[dict[str, Any]] = [
    {
        "name": "glance",
        "aim": 1_000 * MS,
        "deadline": 5_000 * MS,
        "worth": 1.0,
        "effect": "read_like",
    },
    {
        "name": "stock-add",
        "aim": 3_000 * MS,
        "deadline": 25_000 * MS,
        "worth": 7.5,
        "effect": "non_idempotent",
    },
]
CONTRACT: dict[str, Any] = {
    "drain_grace": 1_000 * MS,
    "start_capacity": 0.36,
    "cold": 12_000 * MS,
    "fall": 1_500 * MS,
    "fall_multiple": 2.0,
}
POLICY_LIMITS: dict[str, Any] = {
    "cancel": False,
    "probing": True,
    "second_copies": False,
    "send_cap": 5,
    "retry_after": True,
    "max_retry_after": 2_000 * MS,
    "connect_timeout": 250 * MS,
    "conn_idle": 30_000 * MS,
    "streams_per_conn": 32,
}
SPECIFICS: dict[str, Any] = {
    "size_cores": [8],
    "parallelism": [1, 2],
    "memory_heeded": True,
    "lanes_count": True,
}
#: Enough for the connections of the tests, and small enough that a leak exceeds the limits.
BROKER_LIMITS = {"sockets": 512, "memory_mb": 96}


def platform_settings(**changes: Any) -> dict[str, Any]:
    """Return the platform settings of a broker; ``changes`` replaces or adds keys."""
    settings: dict[str, Any] = dict(  # noqa: C408  # a key is also the name of a class somewhere
        classes=deepcopy(REQUEST_CLASSES),
        fleet_size=1,
        tick=5 * MS,
        zone="east",
        kinds=["std"],
        tenants=[{"name": "acme"}],
        contract=deepcopy(CONTRACT),
        policy_limits=deepcopy(POLICY_LIMITS),
        report={"fields": ["q", "rif", "x1", "x0"], "via": "pull"},
        specifics=deepcopy(SPECIFICS),
    )
    return {**settings, **changes}


def tenant_settings(*names: str, quota: float = 0.0) -> list[dict[str, Any]]:
    """Return the settings of tenants; ``quota`` is in requests per second, 0 sets none."""
    if not quota:
        return [{"name": name} for name in names]
    return [{"name": name, "allowance_per_s": quota} for name in names]


class EmulatedCluster:
    """Engines and their discovery service.

    Attributes:
        engine_options: Keyword arguments with which each engine is created.
        discovery: The discovery service.
        discovery_port: The port on which the discovery service listens.
        engines: All engines ever added, by uid; terminated ones keep their ledgers.
    """

    def __init__(self, **engine_options: Any) -> None:
        """Create a cluster without engines; see ``EmulatedEngine`` for the options."""
        self.engine_options = engine_options
        self.discovery = EmulatedDiscoveryService()
        self.engines: dict[str, EmulatedEngine] = {}
        self.discovery_port = 0

    async def start(self, *uids: str, **more: Any) -> None:
        """Start the discovery service and engines; ``more`` as for ``add``."""
        self.discovery_port = await self.discovery.start()
        await self.add(*uids, **more)

    async def add(self, *uids: str, cores: int = 8, cold: bool = False, **more: Any) -> None:
        """Start engines and announce them.

        Args:
            uids: The names of the engines.
            cores: Number of cores of each engine.
            cold: Whether the engines start cold and warm up.
            more: Further keys of the engines' entries in the endpoint list.
        """
        started_ns = time.time_ns() if cold else 0
        added = [
            EmulatedEngine(uid, Machine(cores=cores, started_ns=started_ns), **self.engine_options)
            for uid in uids
        ]
        for engine in added:
            self.engines[engine.uid] = engine
            await engine.start()
        keys = {"boot_ms": started_ns // MS, **more}
        self.discovery.publish(*(target_entry(engine.uid, engine.port, **keys) for engine in added))

    def drain(self, *uids: str) -> None:
        """Announce that engines are draining."""
        self._announce_state(uids, "terminating")

    def terminate(self, *uids: str) -> None:
        """Announce that engines have terminated, and stop them."""
        self._announce_state(uids, "terminated")
        for uid in uids:
            self.engines[uid].stop()

    def _announce_state(self, uids: tuple[str, ...], state: str) -> None:
        targets = self.discovery.targets
        self.discovery.publish(*({**targets[uid], "state": state} for uid in uids))

    def stop(self) -> None:
        """Stop everything."""
        for engine in self.engines.values():
            engine.stop()
        self.discovery.stop()

    def queries_after_drain(self, grace_ns: int) -> int:
        """Count queries received more than the grace after the drain or end was announced."""
        late_count = 0
        for uid, engine in self.engines.items():
            drained_ns = self._drained_ns(uid)
            if drained_ns is not None:
                limit_ns = drained_ns + grace_ns
                late_count += sum(query.received_ns > limit_ns for query in engine.received_queries)
        return late_count

    def _drained_ns(self, uid: str) -> int | None:
        for announcement in self.discovery.announcements:
            if announcement.uid == uid and announcement.state != "in_service":
                return announcement.announced_ns
        return None

    def count_queries(self, statements: set[bytes]) -> dict[str, int]:
        """Count how many of these statements each engine received, by uid."""
        return {
            uid: sum(query.statement in statements for query in engine.received_queries)
            for uid, engine in self.engines.items()
        }


def broker_config(cluster: EmulatedCluster, listen: str, **changes: Any) -> dict[str, Any]:
    """Return the configuration of a broker in front of this cluster.

    Args:
        cluster: The engines and their discovery service.
        listen: The address on which the broker listens for clients.
        changes: Platform settings to replace or add; ``limits`` replaces the process limits.
    """
    limits = changes.pop("limits", dict(BROKER_LIMITS))
    return {
        "name": "n0",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "limits": limits,
        "bus": f"127.0.0.1:{cluster.discovery_port}",
        "known": cluster.discovery.snapshot(),
        "settings": platform_settings(**changes),
    }


async def wait_for_result(awaited: asyncio.Future[bool], seconds: float) -> bool:
    """Return the result, or False if it takes longer than this."""
    try:
        return await asyncio.wait_for(awaited, seconds)
    except TimeoutError:
        return False
