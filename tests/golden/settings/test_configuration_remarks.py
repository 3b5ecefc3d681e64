"""Golden form of what the log says of keys that have no effect, and of keys that need a restart."""

from __future__ import annotations

from typing import Any

import pytest

from query_broker.config import keys_needing_restart, parse

from .complete_configuration import COMPLETE_CONFIGURATION, with_key

# A key that is added to the complete configuration, its value, the remarks that the log gets.
KEYS_WITHOUT_EFFECT: list[tuple[str, Any, list[str]]] = [
    ("settings.fairness", 1, ["settings.fairness: is not known here, and has no effect"]),
    (
        "settings.classes.0.priority",
        3,
        ["settings.classes.priority: is not known here, and has no effect"],
    ),
    (
        "settings.contract.never_twice",
        5,
        ["settings.contract.never_twice: is not known here, and has no effect"],
    ),
    (
        "settings.policy_limits.odd",
        1,
        ["settings.policy_limits.odd: is not known here, and has no effect"],
    ),
    ("settings.specifics.odd", 1, ["settings.specifics.odd: is not known here, and has no effect"]),
    ("settings.charges.odd", 1, ["settings.charges.odd: is not known here, and has no effect"]),
    ("settings.tenants.0.odd", 1, ["settings.tenants.odd: is not known here, and has no effect"]),
    ("settings.report.odd", 1, ["settings.report.odd: is not known here, and has no effect"]),
    (
        "settings.report.fields",
        ["q", "warmth"],
        ["settings.report.fields: 'warmth' is no value that is known here, and has no effect"],
    ),
    ("settings.me", 7, ["settings.me: 7 is outside 0 to 2: taken as 1"]),
    ("settings.tier", "x", []),
    ("odd", 1, []),
]


@pytest.mark.parametrize(
    ("path", "value", "remarks"),
    [pytest.param(*case, id=case[0]) for case in KEYS_WITHOUT_EFFECT],
)
def test_the_log_names_a_key_without_effect(path: str, value: Any, remarks: list[str]) -> None:
    assert parse(with_key(path, value), {}).remarks() == remarks


# A key of the complete configuration, the value that a reload finds there, the keys that keep
# their former value until a restart.
CHANGED_KEYS: list[tuple[str, Any, list[str]]] = [
    ("name", "x", ["name"]),
    ("listen", "1.2.3.4:5", ["listen"]),
    ("seed", "1", ["seed"]),
    ("limits.sockets", 100, ["limits.sockets"]),
    ("limits.memory_mb", 99, ["limits.memory_mb"]),
    ("operator", "1.2.3.4:5", ["operator"]),
    ("settings.tick", 1, ["settings.tick"]),
    ("bus", "1.2.3.4:5", []),
    ("settings.fleet_size", 9, []),
]


@pytest.mark.parametrize(
    ("path", "value", "keys"), [pytest.param(*case, id=case[0]) for case in CHANGED_KEYS]
)
def test_a_reload_names_the_keys_that_need_a_restart(
    path: str, value: Any, keys: list[str]
) -> None:
    running = parse(COMPLETE_CONFIGURATION, {})
    changed = parse(with_key(path, value), {})
    assert keys_needing_restart(running, changed) == keys
