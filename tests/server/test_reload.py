"""Settings reloaded at SIGHUP are applied in one step or rejected completely."""

from __future__ import annotations

import copy
import json
import os
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from query_broker.config import SETTINGS_KEYS, Config, ConfigError, load
from query_broker.protocols import client_frames as frames

from ..support.sockets import (
    MS,
    Engine,
    RunningBroker,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    target_entry,
    until,
)
from .admin_calls import read_metrics

pytestmark = pytest.mark.real_time

FILE: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "seed": "8c1f",
    "limits": {"sockets": 256},
    "bus": "127.0.0.1:7",
    "operator": "127.0.0.1:1",
    "known": {"offset": 1, "batch": []},
    "settings": platform_settings(),
}


def file_with(path: str, value: Any = None) -> dict[str, Any]:
    """Return the file with another value for one key, or without the key if the value is None."""
    raw = copy.deepcopy(FILE)
    *parents, name = path.split(".")
    container: Any = raw
    for parent in parents:
        container = container[int(parent)] if isinstance(container, list) else container[parent]
    if value is None:
        del container[name]
    else:
        container[name] = value
    return raw


def file_with_additional_class(name: str) -> dict[str, Any]:
    """Return the file with one more class, and with non-idempotent requests in the first class."""
    raw = file_with("settings.classes.0.effect", "non_idempotent")
    classes = raw["settings"]["classes"]
    classes.append({**classes[1], "name": name})
    return raw


def load_text(tmp_path: Path, text: str) -> Config:
    """Read a file with this text, as a start and a reload do."""
    path = tmp_path / "config.json"
    path.write_text(text)
    return load({"PROXY_CONFIG": str(path)})


#: The keys without a default. All others may be absent.
REQUIRED_KEYS = {
    "listen",
    "settings",
    "settings.classes",
    "settings.fleet_size",
    "settings.tick",
    "settings.classes.name",
    "settings.classes.aim",
    "settings.classes.deadline",
    "settings.classes.worth",
    "settings.classes.effect",
    "settings.tenants.name",
}
TOP_LEVEL_KEYS = ["name", "listen", "seed", "bus", "operator", "limits", "settings"]
LIMIT_KEYS = ["limits.sockets", "limits.memory_mb", "limits.cores"]
#: Null is an error, since the platform defines no meaning for it here.
NOT_NULL_KEYS = {"settings.report.fields"}


def all_keys() -> list[str]:
    """Return the dotted keys of the file, those of the settings from the schema."""
    sections = SETTINGS_KEYS.items()
    settings_keys = [
        ".".join(part for part in ("settings", section, key) if part)
        for section, keys in sections
        for key in sorted(keys)
    ]
    return [*TOP_LEVEL_KEYS, *LIMIT_KEYS, *settings_keys]


def complete_file() -> dict[str, Any]:
    """Return a file that has every key."""
    request_class = {
        "name": "glance",
        "aim": 1_000 * MS,
        "aim_stretch": 2.0,
        "deadline": 5_000 * MS,
        "worth": 1.0,
        "late_value": 0.5,
        "effect": "read_like",
        "group": "all",
        "window": 5_000 * MS,
        "fifo_by_key": False,
        "zones_only": ["east"],
        "kinds_allowed": ["std"],
    }
    settings = platform_settings(
        classes=[request_class],
        me=0,
        over_share_worth=0.1,
        tenants=[{"name": "acme", "allowance_per_s": 10.0}],
        contract={
            "answer_slack": 20 * MS,
            "drain_grace": 1_000 * MS,
            "start_capacity": 0.36,
            "cold": 12_000 * MS,
            "fall": 1_500 * MS,
            "fall_multiple": 2.0,
            "key_rest": 1_000 * MS,
            "ratio_span": 10_000 * MS,
            "budget_free": 3.0,
            "extra_ratio": 0.2,
        },
        policy_limits={**platform_settings()["policy_limits"], "peer_messages": False},
        charges={"cross_zone": 0.1, "handshake": 0.02},
        specifics={
            "size_cores": [8],
            "parallelism": [2],
            "is_load": [False],
            "blocked_by_loads": [True],
            "memory_heeded": True,
            "lanes_count": True,
        },
    )
    limits = {"sockets": 256, "memory_mb": 80, "cores": 0.5}
    return {**copy.deepcopy(FILE), "limits": limits, "settings": settings}


def owners_of(raw: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Return the objects of a file that have the last part of a dotted key."""
    owner: Any = raw
    for part in key.split(".")[:-1]:
        owner = owner[part]
    return owner if isinstance(owner, list) else [owner]


def file_without(*keys: str) -> dict[str, Any]:
    """Return the complete file without these keys."""
    raw = complete_file()
    # Those of a section that is left out come first.
    for key in sorted(keys, key=lambda key: -key.count(".")):
        for owner in owners_of(raw, key):
            del owner[key.rpartition(".")[2]]
    return raw


def file_with_null(key: str) -> dict[str, Any]:
    """Return the complete file with null for one key."""
    raw = complete_file()
    for owner in owners_of(raw, key):
        owner[key.rpartition(".")[2]] = None
    return raw


OPTIONAL_KEYS = sorted(set(all_keys()) - REQUIRED_KEYS)
RANDOM_FILE_COUNT = 100
#: The parts of the configuration that a reload replaces.
RELOADED_FIELDS = (
    "settings",
    "connect_timeout_ns",
    "connection_idle_ns",
    "streams_per_connection",
    "source",
)


class ReloadingBroker(NamedTuple):
    """A running broker and the path of its file."""

    broker: RunningBroker
    path: Path

    def reload(self, raw: dict[str, Any]) -> list[str]:
        """Reload a file, and return what has been logged about it."""
        logged_before = len(self.broker.logged)
        self.path.write_text(json.dumps(raw))
        self.broker.node.reload()
        return self.broker.logged[logged_before:]

    def assert_accepted(self, raw: dict[str, Any]) -> None:
        """Reload a file, and check that all of it is in force, with the defaults of a start."""
        logged = self.reload(raw)
        assert any(line.startswith("reload: done") for line in logged), logged
        expected = load({"PROXY_CONFIG": str(self.path)})
        config = self.broker.node.config
        assert config is self.broker.node.dispatcher.config
        assert [getattr(config, name) for name in RELOADED_FIELDS] == [
            getattr(expected, name) for name in RELOADED_FIELDS
        ]


@asynccontextmanager
async def reloading_broker(folder: Path) -> AsyncIterator[ReloadingBroker]:
    """Run a broker whose configuration in force is the complete file."""
    path = folder / "config.json"
    async with running(make_config(operator=True), {"PROXY_CONFIG": str(path)}) as broker:
        reloading = ReloadingBroker(broker, path)
        reloading.assert_accepted(complete_file())
        yield reloading


@pytest.mark.parametrize("key", OPTIONAL_KEYS)
@on_uvloop
async def test_an_absent_optional_key_has_its_default_after_a_reload(
    tmp_path: Path, key: str
) -> None:
    # Guards against a reload that rejects a file for an optional key, and the new address of the
    # discovery service with it: drains were missed from then on.
    async with reloading_broker(tmp_path) as reloading:
        logged = reloading.reload(file_without(key))
        assert sum(line.startswith(f"config: {key}: is absent now") for line in logged) == 1
        reloading.assert_accepted(file_without(key))
        reloading.assert_accepted(complete_file())
        if key not in NOT_NULL_KEYS:
            reloading.assert_accepted(file_with_null(key))


@pytest.mark.parametrize("key", sorted(REQUIRED_KEYS))
@on_uvloop
async def test_a_reload_without_a_required_key_changes_nothing(tmp_path: Path, key: str) -> None:
    async with reloading_broker(tmp_path) as reloading:
        config = reloading.broker.node.config
        for raw in (file_without(key), file_with_null(key)):
            (line,) = reloading.reload(raw)
            assert line.startswith(f"reload: the configuration stays as it was: {key}: ")
            assert str(reloading.path) in line
            assert reloading.broker.node.config is config


@on_uvloop
async def test_a_file_that_a_start_accepts_is_accepted_after_any_other(tmp_path: Path) -> None:
    generator = random.Random(1)
    async with reloading_broker(tmp_path) as reloading:
        for _ in range(RANDOM_FILE_COUNT):
            keys = [key for key in OPTIONAL_KEYS if generator.random() < 0.5]
            reloading.assert_accepted(file_without(*keys))


@pytest.mark.parametrize(
    "value",
    [0, -5, float("nan"), float("inf"), True, "5000000000", 10**400, [], 1e300],
    ids=["0", "negative", "NaN", "infinite", "true", "string", "10**400", "list", "1e300"],
)
@pytest.mark.parametrize(
    ("path", "key"),
    [
        ("settings.classes.0.deadline", "settings.classes.deadline"),
        ("settings.policy_limits.send_cap", "settings.policy_limits.send_cap"),
    ],
    ids=["deadline", "attempts"],
)
def test_a_deadline_or_attempt_limit_that_is_not_a_positive_number_is_rejected(
    tmp_path: Path, path: str, key: str, value: Any
) -> None:
    with pytest.raises(ConfigError, match=f"^{key}: "):
        load_text(tmp_path, json.dumps(file_with(path, value)))


def test_an_empty_or_truncated_file_is_rejected(tmp_path: Path) -> None:
    complete = json.dumps(FILE)
    for end in range(0, len(complete), 97):
        with pytest.raises(ConfigError, match="^PROXY_CONFIG: "):
            load_text(tmp_path, complete[:end])
    assert load_text(tmp_path, complete).settings.classes


def test_classes_may_be_added_or_removed_and_a_reloaded_file_needs_no_known_list(
    tmp_path: Path,
) -> None:
    raw = copy.deepcopy(FILE)
    del raw["known"]
    raw["settings"]["classes"] = [{**raw["settings"]["classes"][1], "name": "stock-add_b"}]
    reloaded_config = load_text(tmp_path, json.dumps(raw))
    assert [request_class.name for request_class in reloaded_config.settings.classes] == [
        "stock-add_b"
    ]


@on_uvloop
async def test_sighup_applies_new_settings_in_one_step_and_counts_rejected_files(
    tmp_path: Path,
) -> None:
    engine = Engine(lambda *_: None)
    path = tmp_path / "config.json"

    async def reload_with(broker: RunningBroker, raw: dict[str, Any], expected: str) -> None:
        before = sum(expected in line for line in broker.logged)
        path.write_text(json.dumps(raw))
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: sum(expected in line for line in broker.logged) > before)

    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    async with running(config, {"PROXY_CONFIG": str(path)}) as broker:
        client = await broker.client()
        client.send_request(stream=1)
        await until(lambda: engine.commands_named(b"do"))
        await reload_with(
            broker, {**file_with_additional_class("night"), "seed": "77"}, "reload: done"
        )
        assert "reload: done; restart required for: listen, operator, seed" in broker.logged
        for deadline in (0, -5):  # nothing is applied: neither the valid class nor the new bus
            invalid = file_with("settings.classes.1.deadline", deadline)
            invalid["settings"]["classes"][0]["name"] = "glance-x"
            await reload_with(
                broker,
                {**invalid, "bus": "127.0.0.1:9"},
                "settings.classes.deadline: must be above 0",
            )
        client.send_request(stream=2, trace="2" * 16, route="night")
        client.send_request(stream=3, trace="3" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 3)
        metrics = await read_metrics(broker)
        assert (metrics["reload_success_total"], metrics["reload_failure_total"]) == (1, 2)
        assert metrics['replies_total{type="night",status="success"}'] == 0
        for writer in engine.writers:  # the engine closes: all three requests may have run
            writer.close()
        answers = {(await client.answer())[:2] for _ in range(3)}
        assert answers == {(1, frames.REFUSED), (2, frames.FAILED), (3, frames.FAILED)}
        await reload_with(broker, file_with("settings.classes.0.name", "other"), "reload: done")
        client.send_request(stream=4, trace="4" * 16)
        assert (await client.answer())[1] == frames.FAILED  # its class has been removed
        assert (await read_metrics(broker))['replies_total{type="glance",status="overload"}'] == 1
