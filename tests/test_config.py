"""Configuration: defaults, precedence, and messages that name the faulty key."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from larchhall.config import DEFAULT_SOCKETS, ConfigError, load, parse
from larchhall.interface import Effect

from .sockets import MS, event, settings, target

RAW: dict[str, Any] = {
    "name": "n3", "listen": "10.0.0.4:9090", "seed": "8c1f30d27a5be964", "limits": {"sockets": 4096},
    "bus": "10.2.0.1:7070", "known": {"offset": 3, "batch": [event(3, target("s-1", 9090), full=True)]},
    "settings": settings()}


def changed(path: str, value: Any) -> dict[str, Any]:
    raw = copy.deepcopy(RAW)
    *folders, name = path.split(".")
    inner: Any = raw
    for folder in folders:
        inner = inner[int(folder)] if isinstance(inner, list) else inner[folder]
    inner[name] = value
    return raw


def test_all_that_a_broker_is_told() -> None:
    config = parse(RAW, {})
    assert (config.name, config.host, config.port) == ("n3", "10.0.0.4", 9090)
    assert config.seed == 0x8C1F30D27A5BE964
    assert (config.sockets, config.bus, config.known_offset) == (4096, ("10.2.0.1", 7070), 3)
    assert [t.uid for t in config.known[0].targets] == ["s-1"]
    assert (config.connect_timeout, config.conn_idle, config.streams) == (250 * MS, 30_000 * MS, 32)
    assert [c.effect for c in config.settings.classes] == [Effect.SAFE, Effect.UNSAFE]
    assert config.settings.classes[1].threads == 2


def test_defaults_and_the_environment_above_the_file() -> None:
    least = {"listen": "10.0.0.4:9090", "settings": {
        "classes": [{"name": "a", "aim": 1, "deadline": 1, "worth": 1, "effect": "read_like"}],
        "fleet_size": 1, "tick": 5 * MS}}
    config = parse(least, {"PROXY_NAME": "n9", "PROXY_LISTEN": "127.0.0.1:80"})
    assert (config.name, config.host, config.port) == ("n9", "127.0.0.1", 80)
    assert (config.sockets, config.bus, config.known) == (DEFAULT_SOCKETS, None, ())


@pytest.mark.parametrize(("path", "value", "key"), [
    ("listen", None, "listen"), ("listen", "10.0.0.4", "listen"), ("listen", "h:0", "listen"),
    ("seed", "g", "seed"), ("seed", 5, "seed"), ("bus", "x", "bus"), ("limits", 4, "limits"),
    ("limits.sockets", 1, "limits.sockets"), ("known.offset", 1.5, "known.offset"),
    ("known.batch", [{}], "known.batch"), ("settings", None, "settings"),
    ("settings.tick", "5", "settings.tick"), ("settings.tick", 0, "settings.tick"),
    ("settings.fleet_size", True, "settings.fleet_size"), ("settings.fleet_size", 0, "settings.fleet_size"),
    ("settings.fleet_size", -3, "settings.fleet_size"), ("settings.me", 0.5, "settings.me"),
    ("settings.classes", [], "settings.classes"),
    ("settings.classes.0.aim", None, "settings.classes.aim"),
    ("settings.classes.0.worth", float("nan"), "settings.classes.worth"),
    ("settings.classes.1.effect", "odd", "settings.classes.effect"),
    ("settings.classes", [3], "settings.classes[0]"),
    ("settings.classes.1.name", "lookup", "settings.classes.name"),
    ("settings.contract.start_capacity", 2, "settings.contract.start_capacity"),
    ("settings.policy_limits.cancel", "no", "settings.policy_limits.cancel"),
    ("settings.policy_limits.conn_idle", 0, "settings.policy_limits.conn_idle"),
    ("settings.specifics.parallelism", [0], "settings.specifics.parallelism"),
    ("settings.specifics.size_cores", ["8"], "settings.specifics.size_cores"),
    ("settings.tenants", [{}], "settings.tenants.name"),
    *[("settings.charges", {"handshake": price}, "settings.charges.handshake")
      for price in (-0.01, float("nan"), float("inf"), "0.1", True)],
    ("settings.charges", {"cross_zone": -1}, "settings.charges.cross_zone")])
def test_the_faulty_key_is_named(path: str, value: Any, key: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(changed(path, value), {})
    assert str(caught.value).startswith(f"{key}: ")


@pytest.mark.parametrize(("me", "fleet", "taken"), [(0, 1, 0), (199, 200, 199), (200, 200, 0), (-1, 9, 8)])
def test_a_place_outside_the_fleet_is_taken_within_it(me: int, fleet: int, taken: int) -> None:
    """A fleet that grows or shrinks may tell its size and the places in it at different times."""
    raw = changed("settings.fleet_size", fleet)
    raw["settings"]["me"] = me
    config = parse(raw, {})
    assert config.settings.me == taken
    assert len(config.remarks()) == (me != taken) and all("settings.me" in line for line in config.remarks())


def test_a_price_that_is_absent_counts_as_nothing() -> None:
    assert parse(RAW, {}).settings.handshake_price == 0.0
    assert parse(changed("settings.charges", {"handshake": 0.08}), {}).settings.handshake_price == 0.08


def test_the_file_itself(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    for text in (None, "{", "[]", "\ud800"):
        if text is not None:
            path.write_bytes(text.encode("utf-8", "surrogatepass"))
        with pytest.raises(ConfigError, match="^PROXY_CONFIG: "):
            load({"PROXY_CONFIG": str(path)})
    with pytest.raises(ConfigError, match="^PROXY_CONFIG: is not set"):
        load({})
    path.write_text(json.dumps(RAW))
    assert load({"PROXY_CONFIG": str(path)}).name == "n3"
