"""The four deployments whose settings a scenario may draw."""

from __future__ import annotations

import tomllib
from typing import Any

from query_broker.emulator.cluster import platform_settings, tenant_settings

from ..harness.trees import ROOT

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
SITES_FOLDER = ROOT / "deploy" / "sites"
#: The platform settings' name for each effect in the site files.
PLATFORM_EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}


def _site_class(entry: dict[str, Any]) -> dict[str, Any]:
    request_class = {
        "name": entry["name"],
        "aim": int(entry["aim_ms"] * NS_PER_MS),
        "deadline": int(entry["deadline_ms"] * NS_PER_MS),
        "worth": float(entry["worth"]),
        "effect": PLATFORM_EFFECTS[entry["effect"]],
    }
    if "window_ms" in entry:
        request_class |= {"window": int(entry["window_ms"] * NS_PER_MS), "group": entry["group"]}
    return request_class


def _site_settings(file_name: str) -> dict[str, Any]:
    """Return the settings of a fictional site, limited to those that affect a broker's shutdown."""
    site = tomllib.loads((SITES_FOLDER / file_name).read_text(encoding="utf-8"))
    base = platform_settings()
    contract = {**base["contract"], "drain_grace": int(site["rules"]["drain_grace_ms"] * NS_PER_MS)}
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
    """Return settings without cancellation, with a class whose requests must never run twice."""
    return platform_settings(
        classes=[
            _request_class("glance", 1 * NS_PER_S, 5 * NS_PER_S, "read_like"),
            _request_class("stock-add", 3 * NS_PER_S, 25 * NS_PER_S, "non_idempotent"),
        ],
        tenants=tenant_settings("acme", "other"),
    )


def _warehouse() -> dict[str, Any]:
    """Return settings with cancellation, idempotency keys and no tenants."""
    base = platform_settings()
    return platform_settings(
        classes=[
            _request_class("glance", 1 * NS_PER_S, 4 * NS_PER_S, "read_like"),
            {
                **_request_class("load", 4 * NS_PER_S, 20 * NS_PER_S, "idempotency_key"),
                "group": "all",
                "window": 20 * NS_PER_S,
            },
        ],
        tenants=[],
        contract={**base["contract"], "drain_grace": 500 * NS_PER_MS},
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
