"""The settings of three deployments, small: what differs between them in what the rules ask for."""

from __future__ import annotations

from typing import Any

from query_broker.emulator.cluster import platform_settings, tenant_settings

MS = 1_000_000
S = 1_000 * MS


def _class(name: str, deadline: int, effect: str, **more: Any) -> dict[str, Any]:
    return dict(name=name, aim=S, deadline=deadline * S, worth=1.0, effect=effect, **more)


def _rules(**changes: Any) -> dict[str, Any]:
    base = platform_settings()
    return {**base["policy_limits"], **changes}


#: Nothing can be stopped, copies may run beside each other, loads must never run twice.
COUNTERS = platform_settings(
    classes=[_class("glance", 5, "read_like"), _class("load", 25, "non_idempotent")],
    fleet_size=2,
    tenants=tenant_settings("acme", quota=50.0),
    policy_limits=_rules(second_copies=True),
)

#: Engines heed an `undo` and drop a repeat under its key; one room, one broker, no tenants; notes.
WAREHOUSE = platform_settings(
    classes=[
        _class("glance", 4, "read_like"),
        _class("load", 20, "idempotency_key", group="all", window=20 * S),
    ],
    tenants=[],
    zone="room",
    policy_limits=_rules(cancel=True, send_cap=3),
    contract={
        "drain_grace": 500 * MS,
        "start_capacity": 0.33,
        "cold": 14 * S,
        "fall": 1_500 * MS,
        "fall_multiple": 4.0,
    },
    report={"fields": ["busy", "q"], "via": "pull"},
    specifics={
        "size_cores": [8],
        "parallelism": [1, 2],
        "is_load": [False, True],
        "blocked_by_loads": [True, False],
        "lanes_count": True,
        "tells_every": S,
    },
)

#: What neither has: classes bound to rooms, a budget for further attempts, keys by room, tenants
#: without quotas.
BOUND = platform_settings(
    classes=[
        _class("glance", 5, "read_like", zones_only=["east", "west"]),
        _class("load", 10, "idempotency_key", group="zone", window=3 * S),
    ],
    fleet_size=3,
    tenants=tenant_settings("acme", "other"),
    zones=["east", "west", "north"],
    contract={
        "drain_grace": 2_000 * MS,
        "start_capacity": 0.5,
        "cold": 5 * S,
        "fall": S,
        "fall_multiple": 3.0,
        "ratio_span": 10 * S,
        "budget_free": 1,
        "extra_ratio": 0.1,
    },
    policy_limits=_rules(cancel=True, send_cap=4),
)

ALL = {"counters": COUNTERS, "warehouse": WAREHOUSE, "bound": BOUND}
