"""Golden form of the keys of a configuration and of the values that they are read as."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict
from enum import Enum
from typing import Any

import pytest

from query_broker.config import (
    IGNORED_SETTINGS_KEYS,
    KNOWN_REPORT_FIELDS,
    SETTINGS_KEYS,
    parse,
)

from .complete_configuration import COMPLETE_CONFIGURATION

# The keys of each object of the settings; "" stands for the settings themselves.
READ_KEYS: dict[str, str] = {
    "": (
        "charges classes contract fleet_size kinds me over_share_worth policy_limits "
        "report specifics tenants tick zone"
    ),
    "classes": (
        "aim aim_stretch deadline effect fifo_by_key group kinds_allowed late_value "
        "name window worth zones_only"
    ),
    "tenants": "allowance_per_s name",
    "contract": (
        "answer_slack budget_free cold drain_grace extra_ratio fall fall_multiple "
        "key_rest ratio_span start_capacity"
    ),
    "policy_limits": (
        "cancel conn_idle connect_timeout max_retry_after peer_messages probing "
        "retry_after second_copies send_cap streams_per_conn"
    ),
    "specifics": "blocked_by_loads is_load lanes_count memory_heeded parallelism size_cores",
    "charges": "cross_zone handshake",
    "report": "fields",
}
IGNORED_KEYS: dict[str, str] = {
    "": "callers kind_of_service layers membership_mode score_parts tier weights worth_by zones",
    "classes": "streaming",
    "tenants": "portion",
    "contract": "must_ask_in",
    "policy_limits": "cpu_us_per_request cpu_us_per_s max_open",
    "specifics": (
        "kind_memory_mb largest_share notes on_shortage report_x0 report_x1 "
        "says_cost tells_every"
    ),
    "charges": "connection fleet late_fail membership_mode moves origin peer probe waste",
    "report": "via",
}
LOAD_REPORT_FIELDS = "busy eps fail_rate inflight lat_ms latency_ms q qps queue rate rif util x0 x1"

ENVIRONMENT = {
    "PROXY_NAME": "n9",
    "PROXY_LISTEN": "127.0.0.1:80",
    "PROXY_OPERATOR": "127.0.0.1:81",
    "PROXY_ACCEPT_FD": "7",
}
# What the complete configuration is read as. Nested values stand in the order of their fields.
VALUES_OF_FILE: dict[str, Any] = {
    "name": "n3",
    "host": "10.0.0.4",
    "port": 9090,
    "seed": 0x8C1F30D27A5BE964,
    "sockets": 4096,
    "memory_mb": 128,
    "discovery_address": ["10.2.0.1", 7070],
    "admin_address": ["10.0.0.4", 9091],
    "accept_fd": None,
    "known_offset": 3,
    "known_events": [[3, True, [["s-1", "10.1.0.1", 9000, "east", "std", 2, 0, 8.0, 5_000_000]]]],
    "connect_timeout_ns": 21,
    "connection_idle_ns": 22,
    "streams_per_connection": 23,
    "settings": [
        [
            ["glance", 1, 2, 3.5, 0, 0.25, 0.5, 0, 4, True, ["east"], ["std"], 1, False, True],
            ["keyed", 5, 6, 7, 1, 0.0, 0.0, 0, 8, False, [], [], 2, False, False],
            ["stock-add", 9, 10, 11, 2, 0.0, 0.0, 0, 0, False, [], [], 3, True, False],
        ],
        3,
        5_000_000,
        2,
        "east",
        [13, 14, 0.36, 15, 16, 2.5, 17, 18, 19.5, 0.75],
        [True, True, True, True, False, 5, 20],
        [["acme", 12.5]],
        [["std", 8], ["big", 16]],
        0.5,
        0.125,
        0.5,
        True,
        True,
    ],
}
VALUES_WITH_ENVIRONMENT: dict[str, Any] = {
    **VALUES_OF_FILE,
    "name": "n9",
    "host": "127.0.0.1",
    "port": 80,
    "admin_address": ["127.0.0.1", 81],
    "accept_fd": 7,
}


def joined(keys: Mapping[str, set[str]]) -> dict[str, str]:
    """The keys of each object in one sorted text."""
    return {part: " ".join(sorted(names)) for part, names in keys.items()}


def test_the_settings_keep_their_keys() -> None:
    assert joined(SETTINGS_KEYS) == READ_KEYS


def test_the_keys_that_other_components_read_are_known() -> None:
    assert joined(IGNORED_SETTINGS_KEYS) == IGNORED_KEYS


def test_the_load_report_keeps_its_fields() -> None:
    assert " ".join(sorted(KNOWN_REPORT_FIELDS)) == LOAD_REPORT_FIELDS


def plain(value: Any) -> Any:
    """Values in their order: names of fields and of members of an enum are not on any wire."""
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if isinstance(value, dict):
        return [plain(inner) for inner in value.values()]
    if isinstance(value, list | tuple):
        return [plain(inner) for inner in value]
    return value


def values_read(environ: Mapping[str, str]) -> dict[str, Any]:
    """All that the configuration holds but the shared folder and the raw text."""
    config = parse(COMPLETE_CONFIGURATION, environ)
    return {
        "name": config.name,
        "host": config.host,
        "port": config.port,
        "seed": config.seed,
        "sockets": config.sockets,
        "memory_mb": config.memory_mb,
        "discovery_address": plain(config.discovery_address),
        "admin_address": plain(config.admin_address),
        "accept_fd": config.accept_fd,
        "known_offset": config.known_offset,
        "known_events": plain([asdict(event) for event in config.known_events]),
        "connect_timeout_ns": config.connect_timeout_ns,
        "connection_idle_ns": config.connection_idle_ns,
        "streams_per_connection": config.streams_per_connection,
        "settings": plain(asdict(config.settings)),
    }


@pytest.mark.parametrize(
    ("environ", "values"),
    [
        pytest.param({}, VALUES_OF_FILE, id="file"),
        pytest.param(ENVIRONMENT, VALUES_WITH_ENVIRONMENT, id="environment"),
    ],
)
def test_a_complete_configuration_is_read_as_its_values(
    environ: dict[str, str], values: dict[str, Any]
) -> None:
    assert values_read(environ) == values


@pytest.mark.parametrize(
    "environ", [pytest.param({}, id="file"), pytest.param(ENVIRONMENT, id="environment")]
)
def test_a_complete_configuration_gets_no_remarks(environ: dict[str, str]) -> None:
    assert parse(COMPLETE_CONFIGURATION, environ).remarks() == []
