"""Configuration: defaults, precedence, and errors that name the faulty key."""

from __future__ import annotations

import copy
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest

from query_broker.config import (
    DEFAULT_SOCKETS,
    IGNORED_SETTINGS_KEYS,
    SETTINGS_KEYS,
    ConfigError,
    load,
    parse,
)
from query_broker.decisions.settings import Effect
from query_broker.overriding import override

from ..support import deployments
from ..support.sockets import MS, platform_settings, target_entry, topology_event

RAW_CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "10.0.0.4:9090",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 4096},
    "bus": "10.2.0.1:7070",
    "known": {"offset": 3, "batch": [topology_event(3, target_entry("s-1", 9090), full=True)]},
    "settings": platform_settings(),
}


def config_with(path: str, value: Any) -> dict[str, Any]:
    """Return a copy of RAW_CONFIG with another value of a dotted key."""
    raw = copy.deepcopy(RAW_CONFIG)
    *parents, name = path.split(".")
    target: Any = raw
    for parent in parents:
        target = target[int(parent)] if isinstance(target, list) else target[parent]
    target[name] = value
    return raw


def test_parse_reads_every_section() -> None:
    config = parse(RAW_CONFIG, {})
    assert (config.name, config.host, config.port) == ("n3", "10.0.0.4", 9090)
    assert config.seed == 0x8C1F30D27A5BE964
    assert (config.sockets, config.discovery_address, config.known_offset) == (
        4096,
        ("10.2.0.1", 7070),
        3,
    )
    assert [target.uid for target in config.known_events[0].targets] == ["s-1"]
    assert (
        config.connect_timeout_ns,
        config.connection_idle_ns,
        config.streams_per_connection,
    ) == (250 * MS, 30_000 * MS, 32)
    effects = [request_class.effect for request_class in config.settings.classes]
    assert effects == [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT]
    assert config.settings.classes[1].threads == 2


def test_defaults_apply_and_the_environment_takes_precedence_over_the_file() -> None:
    minimal = {
        "listen": "10.0.0.4:9090",
        "settings": {
            "classes": [{"name": "a", "aim": 1, "deadline": 1, "worth": 1, "effect": "read_like"}],
            "fleet_size": 1,
            "tick": 5 * MS,
        },
    }
    config = parse(minimal, {"PROXY_NAME": "n9", "PROXY_LISTEN": "127.0.0.1:80"})
    assert (config.name, config.host, config.port) == ("n9", "127.0.0.1", 80)
    assert (config.sockets, config.discovery_address, config.known_events) == (
        DEFAULT_SOCKETS,
        None,
        (),
    )


FAULTY_VALUES: list[tuple[str, Any, str]] = [
    ("listen", None, "listen"),
    ("listen", "10.0.0.4", "listen"),
    ("listen", "h:0", "listen"),
    ("seed", "g", "seed"),
    ("seed", 5, "seed"),
    ("bus", "x", "bus"),
    ("limits", 4, "limits"),
    ("limits.sockets", 1, "limits.sockets"),
    ("known.offset", 1.5, "known.offset"),
    ("known.batch", [{}], "known.batch"),
    ("settings", None, "settings"),
    ("settings.tick", "5", "settings.tick"),
    ("settings.tick", 0, "settings.tick"),
    ("settings.fleet_size", True, "settings.fleet_size"),
    ("settings.fleet_size", 0, "settings.fleet_size"),
    ("settings.fleet_size", -3, "settings.fleet_size"),
    ("settings.me", 0.5, "settings.me"),
    ("settings.classes", [], "settings.classes"),
    ("settings.classes.0.aim", None, "settings.classes.aim"),
    ("settings.classes.0.worth", float("nan"), "settings.classes.worth"),
    ("settings.classes.1.effect", "odd", "settings.classes.effect"),
    ("settings.classes", [3], "settings.classes[0]"),
    ("settings.classes.1.name", "glance", "settings.classes.name"),
    ("settings.contract.start_capacity", 2, "settings.contract.start_capacity"),
    ("settings.policy_limits.cancel", "no", "settings.policy_limits.cancel"),
    ("settings.policy_limits.conn_idle", 0, "settings.policy_limits.conn_idle"),
    ("settings.specifics.parallelism", [0], "settings.specifics.parallelism"),
    ("settings.specifics.size_cores", ["8"], "settings.specifics.size_cores"),
    ("settings.tenants", [{}], "settings.tenants.name"),
    *[
        ("settings.charges", {"handshake": price}, "settings.charges.handshake")
        for price in (-0.01, float("nan"), float("inf"), "0.1", True)
    ],
    ("settings.charges", {"cross_zone": -1}, "settings.charges.cross_zone"),
]


def row_ids(table: Sequence[tuple[Any, ...]]) -> list[str]:
    """Return a test id for each row of a table whose first columns are a path and a value."""
    return [f"{path} is {value!r}" for path, value, *_ in table]


@pytest.mark.parametrize(("path", "value", "key"), FAULTY_VALUES, ids=row_ids(FAULTY_VALUES))
def test_error_names_the_faulty_key(path: str, value: Any, key: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(config_with(path, value), {})
    assert str(caught.value).startswith(f"{key}: ")


@pytest.mark.parametrize(
    ("configured_index", "fleet_size", "index"),
    [(0, 1, 0), (199, 200, 199), (200, 200, 0), (-1, 9, 8)],
    ids=["only one", "last one", "past the last", "negative"],
)
def test_an_index_outside_the_fleet_is_wrapped_into_it(
    configured_index: int, fleet_size: int, index: int
) -> None:
    """While a fleet grows or shrinks, its size and the indices may be deployed separately."""
    raw = config_with("settings.fleet_size", fleet_size)
    raw["settings"]["me"] = configured_index
    config = parse(raw, {})
    assert config.settings.broker_index == index
    assert len(config.remarks()) == (configured_index != index)
    assert all("settings.me" in line for line in config.remarks())


def test_an_absent_price_is_zero() -> None:
    assert parse(RAW_CONFIG, {}).settings.handshake_price == 0.0
    with_price = parse(config_with("settings.charges", {"handshake": 0.08}), {})
    assert with_price.settings.handshake_price == 0.08


UNUSABLE_FILES = {
    "absent": None,
    "cut off": "{",
    "no object": "[]",
    "no UTF-8": "\ud800",
}


@pytest.mark.parametrize("text", UNUSABLE_FILES.values(), ids=UNUSABLE_FILES)
def test_error_of_an_unusable_file_names_the_variable(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "c.json"
    if text is not None:
        path.write_bytes(text.encode("utf-8", "surrogatepass"))
    with pytest.raises(ConfigError, match="^PROXY_CONFIG: "):
        load({"PROXY_CONFIG": str(path)})


def test_error_of_an_unset_variable_names_it() -> None:
    with pytest.raises(ConfigError, match="^PROXY_CONFIG: is not set"):
        load({})


def test_load_reads_the_file(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text(json.dumps(RAW_CONFIG))
    assert load({"PROXY_CONFIG": str(path)}).name == "n3"


class RecordingObject(dict[str, Any]):
    """An object that records which of its keys are read."""

    def __init__(self, content: dict[str, Any], section: str, read: dict[str, set[str]]) -> None:
        super().__init__(
            {key: record_reads(value, section or key, read) for key, value in content.items()}
        )
        self.section = section
        self.read = read

    @override
    def get(self, key: str, default: Any = None) -> Any:
        self.read.setdefault(self.section, set()).add(key)
        return super().get(key, default)


def record_reads(value: Any, section: str, read: dict[str, set[str]]) -> Any:
    """Return a JSON value whose objects record which of their keys are read."""
    if isinstance(value, dict):
        return RecordingObject(value, section, read)
    if isinstance(value, list):
        return [record_reads(entry, section, read) for entry in value]
    return value


# The keys of a deployment's settings that the platform documents.
DOCUMENTED_KEYS = {
    "": """fleet_size classes callers membership_mode kind_of_service specifics score_parts kinds
        policy_limits me over_share_worth charges report contract tenants tick tier layers weights
        worth_by zone zones""",
    "classes": """aim_stretch aim deadline effect group fifo_by_key late_value name kinds_allowed
        zones_only streaming window worth""",
    "specifics": """is_load parallelism blocked_by_loads memory_heeded size_cores kind_memory_mb
        largest_share notes lanes_count tells_every report_x0 report_x1 says_cost on_shortage""",
    "policy_limits": """cancel conn_idle connect_timeout cpu_us_per_request cpu_us_per_s send_cap
        max_open max_retry_after peer_messages probing retry_after second_copies
        streams_per_conn""",
    "contract": """answer_slack must_ask_in budget_free extra_ratio ratio_span start_capacity cold
        drain_grace fall_multiple fall key_rest""",
    "charges": """connection cross_zone membership_mode fleet handshake late_fail moves origin peer
        probe waste""",
    "report": "fields via",
    "tenants": "name allowance_per_s portion",
}


def test_every_documented_key_is_read_or_listed_as_ignored() -> None:
    """A key of the second deployment that was never read went unnoticed until an incident."""
    read: dict[str, set[str]] = {}
    for deployment in deployments.ALL.values():
        complete = {**deployment, "charges": {"cross_zone": 0.1, "handshake": 0.0}}
        parse({"listen": "127.0.0.1:1", "settings": record_reads(complete, "", read)}, {})
    assert read == SETTINGS_KEYS
    for section, names in DOCUMENTED_KEYS.items():
        ignored = IGNORED_SETTINGS_KEYS.get(section, set())
        assert set(names.split()) == SETTINGS_KEYS[section] | ignored, section
        assert not SETTINGS_KEYS[section] & ignored


UNKNOWN_KEYS: list[tuple[str, Any, str]] = [
    ("settings.fairness", 1, "settings.fairness"),
    ("settings.contract.never_twice", 5, "settings.contract.never_twice"),
    ("settings.classes.0.priority", 3, "settings.classes.priority"),
    ("settings.report.fields", ["q", "warmth"], "'warmth'"),
]


@pytest.mark.parametrize(("path", "value", "named"), UNKNOWN_KEYS, ids=row_ids(UNKNOWN_KEYS))
def test_an_unknown_key_is_named_in_one_remark(path: str, value: Any, named: str) -> None:
    (line,) = parse(config_with(path, value), {}).remarks()
    assert named in line
    assert "has no effect" in line
    assert parse(RAW_CONFIG, {}).remarks() == []


UNKNOWN_VALUES: list[tuple[str, Any]] = [
    ("settings.classes.0.effect", "twice"),
    ("settings.classes.0.group", "planet"),
    ("settings.report.fields", [1]),
    ("settings.report", 3),
    ("settings.specifics.lanes_count", "yes"),
]


@pytest.mark.parametrize(("path", "value"), UNKNOWN_VALUES, ids=row_ids(UNKNOWN_VALUES))
def test_error_of_an_unknown_name_or_a_wrong_kind_names_the_key(path: str, value: Any) -> None:
    with pytest.raises(ConfigError, match=path.replace(".0.", ".").split(".")[-1]):
        parse(config_with(path, value), {})
