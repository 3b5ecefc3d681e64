"""The four deployments whose settings a scenario may draw."""

from __future__ import annotations

import tomllib
from typing import Any

from query_broker.emulator.cluster import platform_settings, tenant_settings

from ..harness.trees import ROOT

MS = 1_000_000
S = 1_000 * MS
SITES = ROOT / "deploy" / "sites"
#: The effects of the site files, by the words of the platform's settings.
EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}


def _site_class(entry: dict[str, Any]) -> dict[str, Any]:
    request_class = {
        "name": entry["name"],
        "aim": int(entry["aim_ms"] * MS),
        "deadline": int(entry["deadline_ms"] * MS),
        "worth": float(entry["worth"]),
        "effect": EFFECTS[entry["effect"]],
    }
    if "window_ms" in entry:
        request_class |= {"window": int(entry["window_ms"] * MS), "group": entry["group"]}
    return request_class


def _site_settings(file_name: str) -> dict[str, Any]:
    """Return the settings of a made-up customer, as far as a broker's shutdown depends on them."""
    site = tomllib.loads((SITES / file_name).read_text(encoding="utf-8"))
    base = platform_settings()
    contract = {**base["contract"], "drain_grace": int(site["rules"]["drain_grace_ms"] * MS)}
    limits = {
        **base["policy_limits"],
        "cancel": site["allow"]["cancel"],
        "second_copies": site["allow"]["second_copies"],
        "send_cap": site["allow"]["max_attempts"],
    }
    return platform_settings(
        classes=[_site_class(entry) for entry in site["class"]],
        tenants=tenant_settings(*(tenant["name"] for tenant in site["tenant"])),
        contract=contract,
        policy_limits=limits,
    )


def _ticket_counters() -> dict[str, Any]:
    """Return settings without cancellation, with loads that must never run twice."""
    return platform_settings(
        classes=[
            _request_class("glance", 1 * S, 5 * S, "read_like"),
            _request_class("stock-add", 3 * S, 25 * S, "non_idempotent"),
        ],
        tenants=tenant_settings("acme", "other"),
    )


def _warehouse() -> dict[str, Any]:
    """Return settings with cancellation, idempotency keys and no tenants."""
    base = platform_settings()
    return platform_settings(
        classes=[
            _request_class("glance", 1 * S, 4 * S, "read_like"),
            {
                **_request_class("load", 4 * S, 20 * S, "idempotency_key"),
                "group": "all",
                "window": 20 * S,
            },
        ],
        tenants=[],
        contract={**base["contract"], "drain_grace": 500 * MS},
        policy_limits={**base["policy_limits"], "cancel": True, "send_cap": 3},
    )


def _request_class(name: str, aim_ns: int, deadline_ns: int, effect: str) -> dict[str, Any]:
    return {"name": name, "aim": aim_ns, "deadline": deadline_ns, "worth": 1.0, "effect": effect}


def all_deployments() -> dict[str, dict[str, Any]]:
    """Return the platform settings of each deployment, by its name."""
    return {
        "counters": _ticket_counters(),
        "warehouse": _warehouse(),
        "harbour-pilots": _site_settings("harbour-pilots-a.toml"),
        "granary-ledger": _site_settings("granary-ledger-b.toml"),
    }
