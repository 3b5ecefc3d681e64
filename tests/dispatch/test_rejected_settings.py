"""Settings files that are rejected at the start and at a reload."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ..support.helpers import S
from ..support.sockets import (
    ROOT,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    within,
    write_config,
)
from .broker_processes import start_broker
from .recording_client import idempotent_class

pytestmark = pytest.mark.real_time

VALID_CLASS = idempotent_class(deadline_ns=5 * S)


UNUSABLE_CLASSES = pytest.mark.parametrize(
    ("change", "line"),
    [
        pytest.param({"window": None}, "settings.classes.window: is missing", id="no window"),
        pytest.param({"deadline": None}, "settings.classes.deadline: is missing", id="no deadline"),
        pytest.param(
            {"effect": "at_most_twice"},
            "settings.classes.effect: unknown value 'at_most_twice'",
            id="unknown effect",
        ),
        pytest.param({"effect": None}, "settings.classes.effect: is missing", id="no effect"),
        pytest.param(
            {"group": "planet"},
            "settings.classes.group: unknown value 'planet'",
            id="unknown group",
        ),
        pytest.param(
            {"deadline": 0}, "settings.classes.deadline: must be above 0", id="deadline 0"
        ),
    ],
)


def write_changed_class(folder: Path, change: dict[str, Any]) -> dict[str, str]:
    """Write settings with the changed class and return the environment; None removes a key."""
    changed_class = {**VALID_CLASS, **change}
    written_class = {key: value for key, value in changed_class.items() if value is not None}
    return write_config(folder, settings=platform_settings(classes=[written_class]))


@UNUSABLE_CLASSES
@on_uvloop
async def test_settings_with_an_unusable_class_end_the_start(
    tmp_path: Path, change: dict[str, Any], line: str
) -> None:
    environ = write_changed_class(tmp_path, change)
    complete_line = f"{line}, in {tmp_path / 'config.json'}"
    broker = await start_broker(environ, stderr=asyncio.subprocess.PIPE)
    try:
        output = await within(broker.communicate())
        assert output[1].decode() == f"larchhall: {complete_line}\n"
        assert broker.returncode == 2
    finally:
        if broker.returncode is None:  # the broker has accepted the settings
            broker.kill()
            await broker.wait()


@UNUSABLE_CLASSES
@on_uvloop
async def test_settings_with_an_unusable_class_change_nothing_on_a_reload(
    tmp_path: Path, change: dict[str, Any], line: str
) -> None:
    environ = write_changed_class(tmp_path, change)
    async with running(make_config(classes=[VALID_CLASS]), environ) as broker:
        config_before = broker.node.config
        broker.node.reload()
        assert broker.node.config is config_before
        assert broker.node.dispatcher.config.settings is config_before.settings
        assert any(line in logged for logged in broker.logged), broker.logged


def test_a_number_with_too_many_digits_is_rejected_in_one_line(tmp_path: Path) -> None:
    env = write_config(tmp_path)
    (tmp_path / "config.json").write_text('{"seed": ' + "9" * 5_000 + "}")
    process = subprocess.run(
        [sys.executable, "-m", "query_broker", "serve"],
        env=env,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 2
    assert process.stderr.startswith("larchhall: PROXY_CONFIG: ")
    assert process.stderr.count("\n") == 1
