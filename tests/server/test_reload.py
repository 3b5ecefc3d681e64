"""Settings reloaded at SIGHUP are applied in one step or rejected completely."""

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


def reload_text(tmp_path: Path, text: str) -> Any:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(FILE))
    running_config = load({"PROXY_CONFIG": str(path)})
    path.write_text(text)
    return reload(running_config, {"PROXY_CONFIG": str(path)})


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
    """Otherwise a serving broker would silently use the default of the key."""
    key = ".".join(part for part in path.split(".") if not part.isdigit())
    with pytest.raises(ConfigError, match=f"^{key}: "):
        reload_text(tmp_path, json.dumps(file_with(path)))


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
        reload_text(tmp_path, json.dumps(file_with(path, value)))


def test_an_empty_or_truncated_file_is_rejected(tmp_path: Path) -> None:
    complete = json.dumps(FILE)
    for end in range(0, len(complete), 97):
        with pytest.raises(ConfigError, match="^PROXY_CONFIG: "):
            reload_text(tmp_path, complete[:end])
    assert reload_text(tmp_path, complete).settings.classes


def test_classes_may_be_added_or_removed_and_a_reloaded_file_needs_no_known_list(
    tmp_path: Path,
) -> None:
    raw = copy.deepcopy(FILE)
    del raw["known"]
    raw["settings"]["classes"] = [{**raw["settings"]["classes"][1], "name": "stock-add_b"}]
    reloaded_config = reload_text(tmp_path, json.dumps(raw))
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
