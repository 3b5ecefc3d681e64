"""A small cluster on loopback: engines, their discovery service, and settings for a broker."""

from __future__ import annotations

import asyncio
import time
from copy import deepcopy
from typing import Any

from .data_engine import EmulatedEngine
from .discovery_service import EmulatedDiscoveryService, target_entry
from .machine import Machine

MS = 1_000_000

# The start settings of the platform's simulator, at a small scale. Durations in nanoseconds.
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
#: Enough for the tests' connections, and little enough that a leak shows.
BROKER_LIMITS = {"sockets": 512, "memory_mb": 96}

def platform_settings(**changes: Any) -> dict[str, Any]:
    """The simulator's start settings, small."""
    classes = [
        dict(name="glance", aim=1_000 * MS, deadline=5_000 * MS, worth=1.0, effect="read_like"),
        dict(
            name="stock-add",
            aim=3_000 * MS,
            deadline=25_000 * MS,
            worth=7.5,
            effect="non_idempotent",
        ),
    ]
    base: dict[str, Any] = dict(
        classes=classes,
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
    return [{"name": name, **({"allowance_per_s": quota} if quota else {})} for name in names]


class EmulatedCluster:
    """Engines and their bus. All engines that there ever were stay in ``engines``, for their
    ledgers.
    """

    def __init__(self, **engines: Any) -> None:
        """``engines``: what each engine is made with."""
        self.engine_options = engines
        self.discovery = EmulatedDiscoveryService()
        self.engines: dict[str, EmulatedEngine] = {}
        self.discovery_port = 0

    async def start(self, *uids: str, **more: Any) -> None:
        self.discovery_port = await self.discovery.start()
        await self.add(*uids, **more)

    async def add(self, *uids: str, cores: int = 8, cold: bool = False, **more: Any) -> None:
        """Engines join; ``cold``: they have started just now."""
        now = time.time_ns() if cold else 0
        made = [
            EmulatedEngine(uid, Machine(cores=cores, started_ns=now), **self.engine_options)
            for uid in uids
        ]
        for engine in added:
            self.engines[engine.uid] = engine
            await engine.start()
        self.discovery.publish(
            *(target_entry(e.uid, e.port, **{"boot_ms": now // MS, **more}) for e in made)
        )

    def drain(self, *uids: str) -> None:
        self.discovery.publish(
            *({**self.discovery.targets[u], "state": "terminating"} for u in uids)
        )

    def terminate(self, *uids: str) -> None:
        self.discovery.publish(
            *({**self.discovery.targets[u], "state": "terminated"} for u in uids)
        )
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

    def queries_after_drain(self, grace: int) -> int:
        """Queries that came to an engine later than ``grace`` ns after its drain or end was
        told.
        """
        late = 0
        for uid, engine in self.engines.items():
            since = next(
                (
                    at
                    for at, u, state in self.discovery.announcements
                    if u == uid and state != "in_service"
                ),
                None,
            )
            if since is not None:
                late += sum(at > since + grace for at, _, _ in engine.received)
        return late

    def count_queries(self, tenant_statements: set[bytes]) -> dict[str, int]:
        """How many of these statements each engine was sent."""
        return {
            uid: sum(s in tenant_statements for _, _, s in e.received)
            for uid, e in self.engines.items()
        }


def broker_config(world: EmulatedCluster, listen: str, **changes: Any) -> dict[str, Any]:
    """A broker's configuration before this world; ``changes`` go over the settings."""
    limits = changes.pop("limits", {"sockets": 512, "memory_mb": 96})
    return {
        "name": "n0",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "limits": limits,
        "bus": f"127.0.0.1:{world.discovery_port}",
        "known": world.discovery.snapshot(),
        "settings": platform_settings(**changes),
    }


async def wait_for_result(awaited: asyncio.Future[bool], seconds: float) -> bool:
    try:
        return await asyncio.wait_for(awaited, seconds)
    except TimeoutError:
        return False
