"""A configuration that holds every key, and variants of it with one key changed."""

from __future__ import annotations

import copy
from typing import Any

COMPLETE_CONFIGURATION: dict[str, Any] = {
    "name": "n3",
    "listen": "10.0.0.4:9090",
    "operator": "10.0.0.4:9091",
    "bus": "10.2.0.1:7070",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 4096, "memory_mb": 128},
    "known": {
        "offset": 3,
        "batch": [
            {
                "offset": 3,
                "topology": {
                    "all": True,
                    "targets": [
                        {
                            "uid": "s-1",
                            "endpoint": "10.1.0.1:9000",
                            "az": "east",
                            "model": "std",
                            "pod_group": 2,
                            "state": "in_service",
                            "capacity_hint": 8,
                            "boot_ms": 5,
                        }
                    ],
                },
            }
        ],
    },
    "settings": {
        "classes": [
            {
                "name": "glance",
                "aim": 1,
                "aim_stretch": 0.5,
                "deadline": 2,
                "worth": 3.5,
                "late_value": 0.25,
                "effect": "read_like",
                "group": "all",
                "window": 4,
                "fifo_by_key": True,
                "zones_only": ["east"],
                "kinds_allowed": ["std"],
            },
            {
                "name": "keyed",
                "aim": 5,
                "deadline": 6,
                "worth": 7,
                "effect": "idempotency_key",
                "window": 8,
            },
            {
                "name": "stock-add",
                "aim": 9,
                "deadline": 10,
                "worth": 11,
                "effect": "non_idempotent",
            },
        ],
        "tenants": [{"name": "acme", "allowance_per_s": 12.5}],
        "contract": {
            "answer_slack": 13,
            "drain_grace": 14,
            "start_capacity": 0.36,
            "cold": 15,
            "fall": 16,
            "fall_multiple": 2.5,
            "key_rest": 17,
            "ratio_span": 18,
            "budget_free": 19.5,
            "extra_ratio": 0.75,
        },
        "policy_limits": {
            "cancel": True,
            "probing": True,
            "peer_messages": True,
            "second_copies": True,
            "retry_after": False,
            "send_cap": 5,
            "max_retry_after": 20,
            "connect_timeout": 21,
            "conn_idle": 22,
            "streams_per_conn": 23,
        },
        "specifics": {
            "size_cores": [8, 16],
            "parallelism": [1, 2, 3],
            "is_load": [False, False, True],
            "blocked_by_loads": [True, False, False],
            "memory_heeded": True,
            "lanes_count": True,
        },
        "charges": {"cross_zone": 0.5, "handshake": 0.125},
        "report": {"fields": ["busy", "q"]},
        "kinds": ["std", "big"],
        "fleet_size": 3,
        "tick": 5_000_000,
        "me": 2,
        "zone": "east",
        "over_share_worth": 0.5,
    },
}


def with_key(path: str, value: Any) -> dict[str, Any]:
    """The complete configuration with another value at a path such as `settings.classes.0.name`."""
    configuration = copy.deepcopy(COMPLETE_CONFIGURATION)
    *folders, name = path.split(".")
    parent: Any = configuration
    for folder in folders:
        parent = parent[int(folder)] if isinstance(parent, list) else parent[folder]
    parent[name] = value
    return configuration
