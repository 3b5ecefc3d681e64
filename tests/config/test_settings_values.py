"""Every key of the settings with null, an empty list, an empty map and values of a wrong type.

`settings.report.fields: null` passed the check and raised a TypeError later, as the remarks on the
configuration were logged: the broker ended with a traceback at its start.
"""

from __future__ import annotations

import copy
from typing import Any

import pytest

from query_broker.config import SETTINGS_KEYS, Config, ConfigError, parse
from query_broker.config.schema import CONTRACT_FIELDS, LIMITS_FIELDS
from query_broker.config.values import ValueKind
from query_broker.emulator.cluster import platform_settings

#: The kinds of the keys that the schema has no table for; a list is named by its entries' kind.
OTHER_KINDS: dict[str, dict[str, ValueKind]] = {
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
#: Values of each kind that no key of another kind may hold.
VALUES: dict[ValueKind, list[Any]] = {
    ValueKind.TEXT: ["odd"],
    ValueKind.OBJECT: [{}],
    ValueKind.LIST: [[]],
    ValueKind.BOOLEAN: [True],
    ValueKind.NUMBER: [float("nan"), float("inf"), 1.5],
    ValueKind.INTEGER: [],
}
LISTS_OF_ENTRIES = [[None], [[]], [{}], [True, "odd"], [float("nan")]]
KEYS = [(section, key) for section, keys in SETTINGS_KEYS.items() for key in sorted(keys)]


def parsed_with(section: str, key: str, value: Any) -> Config:
    """The configuration with this value, as a start reads it and names its remarks."""
    settings = copy.deepcopy(platform_settings(charges={}, kinds=["std"]))
    holder: Any = settings[section] if section else settings
    (holder[0] if isinstance(holder, list) else holder)[key] = value
    config = parse({"listen": "127.0.0.1:1", "settings": settings}, {})
    config.remarks()
    return config


def error_with(section: str, key: str, value: Any) -> str | None:
    """The error of the configuration with this value, None where it is read."""
    try:
        parsed_with(section, key, value)
    except ConfigError as error:
        return str(error)
    return None


def dotted(section: str, key: str) -> str:
    return ".".join(part for part in ("settings", section, key) if part)


def test_the_table_has_every_key_that_is_read() -> None:
    assert {section: set(kinds) for section, kinds in OTHER_KINDS.items()} == SETTINGS_KEYS


@pytest.mark.parametrize(("section", "key"), KEYS, ids=[dotted(*key) for key in KEYS])
def test_a_value_of_a_wrong_type_is_one_line_that_names_the_key(section: str, key: str) -> None:
    kind = OTHER_KINDS[section][key]
    for other, values in VALUES.items():
        if other is kind:
            continue
        for value in values:
            if kind is ValueKind.NUMBER and value == 1.5:
                continue
            with pytest.raises(ConfigError) as caught:
                parsed_with(section, key, value)
            assert str(caught.value).startswith(f"{dotted(section, key)}: ")
            assert "\n" not in str(caught.value)


@pytest.mark.parametrize(("section", "key"), KEYS, ids=[dotted(*key) for key in KEYS])
def test_null_and_empty_values_are_taken_as_absent_or_name_the_key(section: str, key: str) -> None:
    for value in (None, [], {}, *LISTS_OF_ENTRIES):
        message = error_with(section, key, value)
        if message is not None:
            assert message.startswith(dotted(section, key))  # perhaps a key below it
            assert "\n" not in message


def test_null_in_place_of_the_list_of_report_fields_names_the_key() -> None:
    with pytest.raises(ConfigError, match=r"^settings\.report\.fields: "):
        parsed_with("report", "fields", None)
