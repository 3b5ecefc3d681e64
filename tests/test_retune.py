"""New settings at SIGHUP: taken in one step or turned down whole."""

from __future__ import annotations

import copy
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from query_broker import decisions as api
from query_broker.config import ConfigError, load, reload
from query_broker.protocols import client_frames as frames

from .helpers import MS, Harness, S, entry, make_settings, query_class
from .sockets import (
    Engine,
    Rig,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    target_entry,
    until,
)
from .test_operator import figures

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
def test_a_file_that_lacks_a_key_is_turned_down(tmp_path: Path, path: str) -> None:
    """Danger: the key would fall back to its default, in service and without a word."""
    key = ".".join(part for part in path.split(".") if not part.isdigit())
    with pytest.raises(ConfigError, match=f"^{key}: "):
        read_again(tmp_path, json.dumps(changed(path)))


@pytest.mark.parametrize(
    "value", [0, -5, float("nan"), float("inf"), True, "5000000000", 10**400, [], 1e300]
)
@pytest.mark.parametrize(
    ("path", "key"),
    [
        ("settings.classes.0.deadline", "settings.classes.deadline"),
        ("settings.policy_limits.send_cap", "settings.policy_limits.send_cap"),
    ],
)
def test_a_deadline_or_attempts_that_are_no_number_above_0(
    tmp_path: Path, path: str, key: str, value: Any
) -> None:
    with pytest.raises(ConfigError, match=f"^{key}: "):
        read_again(tmp_path, json.dumps(changed(path, value)))


def test_a_file_that_is_empty_or_cut_anywhere_is_turned_down(tmp_path: Path) -> None:
    whole = json.dumps(FILE)
    for end in range(0, len(whole), 97):
        with pytest.raises(ConfigError, match="^PROXY_CONFIG: "):
            read_again(tmp_path, whole[:end])
    assert read_again(tmp_path, whole).settings.classes


def test_classes_may_come_and_go_and_a_known_list_is_the_start_s_alone(tmp_path: Path) -> None:
    raw = copy.deepcopy(FILE)
    del raw["known"]
    raw["settings"]["classes"] = [{**raw["settings"]["classes"][1], "name": "stock-add_b"}]
    assert [c.name for c in read_again(tmp_path, json.dumps(raw)).settings.classes] == [
        "stock-add_b"
    ]


@on_uvloop
async def test_sighup_takes_new_settings_in_one_step_and_counts_what_it_turns_down(
    tmp_path: Path,
) -> None:
    engine = Engine(lambda *_: None)
    path = tmp_path / "config.json"

    async def ask(rig: Rig, raw: dict[str, Any], word: str) -> None:
        before = sum(word in line for line in rig.logged)
        path.write_text(json.dumps(raw))
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: sum(word in line for line in rig.logged) > before)

    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    async with running(config, {"PROXY_CONFIG": str(path)}) as rig:
        client = await rig.client()
        client.ask(stream=1)
        await until(lambda: engine.commands_named(b"do"))
        strict = changed("settings.classes.0.effect", "non_idempotent")
        strict["settings"]["classes"].append({**strict["settings"]["classes"][1], "name": "night"})
        await ask(rig, {**strict, "seed": "77"}, "reload: done")
        assert "reload: done; with the next start only: listen, operator, seed" in rig.logged
        for number in (0, -5):  # whole: nothing of it is taken, neither its classes nor its bus
            bad = changed("settings.classes.1.deadline", number)
            bad["settings"]["classes"][0]["name"] = "glance-x"
            await ask(
                rig, {**bad, "bus": "127.0.0.1:9"}, "settings.classes.deadline: must be above 0"
            )
        client.ask(stream=2, trace="2" * 16, route="night")
        client.ask(stream=3, trace="3" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 3)
        told = await figures(rig)
        assert (told["reload_success_total"], told["reload_failure_total"]) == (1, 2)
        assert told['replies_total{type="night",status="success"}'] == 0
        for writer in engine.writers:  # the engine ends: all three may have run
            writer.close()
        answers = {(await client.answer())[:2] for _ in range(3)}
        assert answers == {(1, frames.REFUSED), (2, frames.FAILED), (3, frames.FAILED)}
        await ask(rig, changed("settings.classes.0.name", "other"), "reload: done")
        client.ask(stream=4, trace="4" * 16)
        assert (await client.answer())[1] == frames.FAILED  # its class has gone
        assert (await figures(rig))['replies_total{type="glance",status="overload"}'] == 1


# --- the module ---


def test_a_request_under_way_keeps_its_class_and_a_new_one_follows_the_new_effect() -> None:
    """Danger: a request that came as safe is failed, or one that must not run twice is sent
    again.
    """
    safe, unsafe = query_class(), query_class(effect=api.Effect.NON_IDEMPOTENT)
    for before, after in ((safe, unsafe), (unsafe, safe)):
        h = Harness(make_settings(before), entry(1))
        h.arrive("old", estimate_ns=MS)
        h.do(api.SettingsChanged(make_settings(after)))
        h.arrive("new", estimate_ns=MS)
        for request, spec in (("old", before), ("new", after)):
            h.end(request, api.AttemptResult.RESET, finished=False)
            assert (api.Fail(request) in h.answers(request)) is (spec is unsafe)
            assert spec is safe or len(h.sends(request)) == 1


def test_fewer_attempts_stop_further_ones_only_and_a_class_that_goes_ends_its_requests_well() -> (
    None
):
    h = Harness(make_settings(), entry(1), entry(2))
    h.arrive("r", estimate_ns=MS)
    limits = api.Limits(max_attempts=1, max_retry_after_ns=S)
    h.do(api.SettingsChanged(make_settings(query_class("other"), limits=limits)))
    h.end("r", api.AttemptResult.FULL)
    assert len(h.sends("r")) == 1 and isinstance(h.answers("r")[0], api.Reject)
    with pytest.raises(ValueError, match="class_name"):
        h.arrive("s")
    h.arrive("t", "other", estimate_ns=MS)
    assert h.sends("t")


def test_a_class_that_stays_keeps_what_was_learned_and_bounds_keep_their_place() -> None:
    h = Harness(make_settings(tenants=(api.Tenant("a", 4.0),)), entry(1))
    h.arrive("r", estimate_ns=100 * MS, tenant="a")
    h.end("r", api.AttemptResult.SERVED, latency=300 * MS)
    view, engine = h.controller.classes.by_name["short"], h.controller.engines[1]
    learned, bound, tokens = (
        (view.log_bias, view.slowdown),
        engine.bound,
        h.controller.quotas.buckets["a"].tokens,
    )
    tenants = (api.Tenant("a", 4.0),)
    h.do(
        api.SettingsChanged(
            make_settings(
                query_class(), query_class("more", latency_objective_ns=S), tenants=tenants
            )
        )
    )
    kept = h.controller.classes.by_name["short"]
    assert (kept.log_bias, kept.slowdown) == learned and h.controller.quotas.buckets[
        "a"
    ].tokens == tokens
    assert engine.bound == 2 * bound  # the longest aim has doubled
