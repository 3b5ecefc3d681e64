"""Every key of the settings with null, an empty list, an empty object and values of a wrong type.

`settings.report.fields: null` passed the check and raised a TypeError later, when the remarks on
the configuration were logged: the broker exited with a traceback at its start.
"""

from __future__ import annotations

import copy
from typing import Any

import pytest

from query_broker.config import SETTINGS_KEYS, Config, ConfigError, parse
from query_broker.config.schema import CONTRACT_FIELDS, LIMITS_FIELDS
from query_broker.config.values import ValueKind
from query_broker.emulator.cluster import platform_settings

#: The kinds of all keys; the schema has tables only for `contract` and `policy_limits`.
KINDS_BY_SECTION: dict[str, dict[str, ValueKind]] = {
    "": {
        "fleet_size": ValueKind.INTEGER,
        "tick": ValueKind.INTEGER,
        "me": ValueKind.INTEGER,
        "zone": ValueKind.TEXT,
        "over_share_worth": ValueKind.NUMBER,
        "kinds": ValueKind.LIST,
        "classes": ValueKind.LIST,
        "tenants": ValueKind.LIST,
        "contract": ValueKind.OBJECT,
        "policy_limits": ValueKind.OBJECT,
        "specifics": ValueKind.OBJECT,
        "charges": ValueKind.OBJECT,
        "report": ValueKind.OBJECT,
    },
    "classes": {
        "name": ValueKind.TEXT,
        "aim": ValueKind.INTEGER,
        "aim_stretch": ValueKind.NUMBER,
        "deadline": ValueKind.INTEGER,
        "worth": ValueKind.NUMBER,
        "late_value": ValueKind.NUMBER,
        "effect": ValueKind.TEXT,
        "group": ValueKind.TEXT,
        "window": ValueKind.INTEGER,
        "fifo_by_key": ValueKind.BOOLEAN,
        "zones_only": ValueKind.LIST,
        "kinds_allowed": ValueKind.LIST,
    },
    "tenants": {"name": ValueKind.TEXT, "allowance_per_s": ValueKind.NUMBER},
    "specifics": {
        "size_cores": ValueKind.LIST,
        "parallelism": ValueKind.LIST,
        "is_load": ValueKind.LIST,
        "blocked_by_loads": ValueKind.LIST,
        "memory_heeded": ValueKind.BOOLEAN,
        "lanes_count": ValueKind.BOOLEAN,
    },
    "charges": {"cross_zone": ValueKind.NUMBER, "handshake": ValueKind.NUMBER},
    "report": {"fields": ValueKind.LIST},
    "contract": {key: field.kind for key, field in CONTRACT_FIELDS.items()},
    "policy_limits": {key: field.kind for key, field in LIMITS_FIELDS.items()}
    | {
        "connect_timeout": ValueKind.INTEGER,
        "conn_idle": ValueKind.INTEGER,
        "streams_per_conn": ValueKind.INTEGER,
    },
}
#: Values of each kind that are invalid for a key of another kind.
VALUES_BY_KIND: dict[ValueKind, list[Any]] = {
    ValueKind.TEXT: ["odd"],
    ValueKind.OBJECT: [{}],
    ValueKind.LIST: [[]],
    ValueKind.BOOLEAN: [True],
    ValueKind.NUMBER: [float("nan"), float("inf"), 1.5],
    ValueKind.INTEGER: [],
}
LISTS_OF_ENTRIES = [[None], [[]], [{}], [True, "odd"], [float("nan")]]
KEYS = [(section, key) for section, keys in SETTINGS_KEYS.items() for key in sorted(keys)]


def parse_with(section: str, key: str, value: Any) -> Config:
    """Parse the configuration with this value, and compute its remarks as a start does."""
    settings = copy.deepcopy(platform_settings(charges={}, kinds=["std"]))
    target: Any = settings[section] if section else settings
    (target[0] if isinstance(target, list) else target)[key] = value
    config = parse({"listen": "127.0.0.1:1", "settings": settings}, {})
    config.remarks()
    return config


def error_with(section: str, key: str, value: Any) -> str | None:
    """Return the error of the configuration with this value, or None if it is valid."""
    try:
        parse_with(section, key, value)
    except ConfigError as error:
        return str(error)
    return None


def dotted_key(section: str, key: str) -> str:
    return ".".join(part for part in ("settings", section, key) if part)


def test_the_kinds_cover_every_key_that_is_read() -> None:
    assert {section: set(kinds) for section, kinds in KINDS_BY_SECTION.items()} == SETTINGS_KEYS


@pytest.mark.parametrize(("section", "key"), KEYS, ids=[dotted_key(*key) for key in KEYS])
def test_error_of_a_wrong_type_is_one_line_that_names_the_key(section: str, key: str) -> None:
    kind = KINDS_BY_SECTION[section][key]
    for other, values in VALUES_BY_KIND.items():
        if other is kind:
            continue
        for value in values:
            if kind is ValueKind.NUMBER and value == 1.5:
                continue
            with pytest.raises(ConfigError) as caught:
                parse_with(section, key, value)
            assert str(caught.value).startswith(f"{dotted_key(section, key)}: ")
            assert "\n" not in str(caught.value)


@pytest.mark.parametrize(("section", "key"), KEYS, ids=[dotted_key(*key) for key in KEYS])
def test_null_and_empty_values_are_accepted_or_the_error_names_the_key(
    section: str, key: str
) -> None:
    for value in (None, [], {}, *LISTS_OF_ENTRIES):
        message = error_with(section, key, value)
        if message is not None:
            assert message.startswith(dotted_key(section, key))  # or a key below it
            assert "\n" not in message


def test_error_of_null_report_fields_names_the_key() -> None:
    with pytest.raises(ConfigError, match=r"^settings\.report\.fields: "):
        parse_with("report", "fields", None)
