"""New settings at SIGHUP: applied in one step or rejected completely."""

from __future__ import annotations

import copy
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from query_broker.config import ConfigError, load, reload
from query_broker.protocols import client_frames as frames

from ..support.sockets import (
    Engine,
    Rig,
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


def changed(path: str, value: Any = None) -> dict[str, Any]:
    """The file with one key at another value, or without it."""
    raw = copy.deepcopy(FILE)
    *folders, name = path.split(".")
    inner: Any = raw
    for folder in folders:
        inner = inner[int(folder)] if isinstance(inner, list) else inner[folder]
    if value is None:
        del inner[name]
    else:
        inner[name] = value
    return raw


def with_another_class(name: str) -> dict[str, Any]:
    """The file with one class more, and a first class whose requests must not run twice."""
    raw = changed("settings.classes.0.effect", "non_idempotent")
    classes = raw["settings"]["classes"]
    classes.append({**classes[1], "name": name})
    return raw


def read_again(tmp_path: Path, text: str) -> Any:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(FILE))
    running = load({"PROXY_CONFIG": str(path)})
    path.write_text(text)
    return reload(running, {"PROXY_CONFIG": str(path)})


@pytest.mark.parametrize(
    "path",
    [
        "bus",
        "operator",
        "settings",
        "settings.classes",
        "settings.classes.0.deadline",
        "settings.classes.1.effect",
        "settings.policy_limits",
        "settings.policy_limits.send_cap",
        "settings.contract.cold",
        "limits.sockets",
    ],
)
def test_a_file_that_lacks_a_key_is_rejected(tmp_path: Path, path: str) -> None:
    """The key would fall back to its default, in service and without a log line."""
    key = ".".join(part for part in path.split(".") if not part.isdigit())
    with pytest.raises(ConfigError, match=f"^{key}: "):
        read_again(tmp_path, json.dumps(changed(path)))


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
def test_a_deadline_or_attempts_that_are_no_number_above_0_are_rejected(
    tmp_path: Path, path: str, key: str, value: Any
) -> None:
    with pytest.raises(ConfigError, match=f"^{key}: "):
        read_again(tmp_path, json.dumps(changed(path, value)))


def test_a_file_that_is_empty_or_cut_anywhere_is_rejected(tmp_path: Path) -> None:
    complete = json.dumps(FILE)
    for end in range(0, len(complete), 97):
        with pytest.raises(ConfigError, match="^PROXY_CONFIG: "):
            read_again(tmp_path, complete[:end])
    assert read_again(tmp_path, complete).settings.classes


def test_classes_may_come_and_go_and_a_known_list_is_read_at_the_start_only(tmp_path: Path) -> None:
    raw = copy.deepcopy(FILE)
    del raw["known"]
    raw["settings"]["classes"] = [{**raw["settings"]["classes"][1], "name": "stock-add_b"}]
    read = read_again(tmp_path, json.dumps(raw))
    assert [request_class.name for request_class in read.settings.classes] == ["stock-add_b"]


@on_uvloop
async def test_sighup_applies_new_settings_in_one_step_and_counts_what_it_rejects(
    tmp_path: Path,
) -> None:
    engine = Engine(lambda *_: None)
    path = tmp_path / "config.json"

    async def reload_with(rig: Rig, raw: dict[str, Any], expected: str) -> None:
        before = sum(expected in line for line in rig.logged)
        path.write_text(json.dumps(raw))
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: sum(expected in line for line in rig.logged) > before)

    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    async with running(config, {"PROXY_CONFIG": str(path)}) as rig:
        client = await rig.client()
        client.ask(stream=1)
        await until(lambda: engine.commands_named(b"do"))
        await reload_with(rig, {**with_another_class("night"), "seed": "77"}, "reload: done")
        assert "reload: done; restart required for: listen, operator, seed" in rig.logged
        for number in (0, -5):  # nothing of it is applied, neither its classes nor its bus
            bad = changed("settings.classes.1.deadline", number)
            bad["settings"]["classes"][0]["name"] = "glance-x"
            await reload_with(
                rig, {**bad, "bus": "127.0.0.1:9"}, "settings.classes.deadline: must be above 0"
            )
        client.ask(stream=2, trace="2" * 16, route="night")
        client.ask(stream=3, trace="3" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 3)
        metrics = await read_metrics(rig)
        assert (metrics["reload_success_total"], metrics["reload_failure_total"]) == (1, 2)
        assert metrics['replies_total{type="night",status="success"}'] == 0
        for writer in engine.writers:  # the engine ends: all three may have run
            writer.close()
        answers = {(await client.answer())[:2] for _ in range(3)}
        assert answers == {(1, frames.REFUSED), (2, frames.FAILED), (3, frames.FAILED)}
        await reload_with(rig, changed("settings.classes.0.name", "other"), "reload: done")
        client.ask(stream=4, trace="4" * 16)
        assert (await client.answer())[1] == frames.FAILED  # its class has been removed
        assert (await read_metrics(rig))['replies_total{type="glance",status="overload"}'] == 1
