"""A reload of the cell map by SIGHUP."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import pytest

from query_broker.cells.model import CellMap
from query_broker.config import load
from query_broker.metrics import Metrics
from query_broker.operator_config.script import evaluate

from ..support.sockets import (
    RunningBroker,
    cell_node_factory,
    on_uvloop,
    running,
    target_entry,
    until,
)
from .cell_brokers import (
    cell_node,
    migration_stage,
    write_deployment_files,
)

pytestmark = pytest.mark.real_time


class ReloadingBroker(NamedTuple):
    """A broker with a migration in progress, and the two files that SIGHUP reloads."""

    running_broker: RunningBroker
    config_file: Path
    operator_file: Path
    first_script: str
    first_map: CellMap

    @property
    def counts(self) -> Metrics:
        return self.running_broker.node.dispatcher.metrics_counts

    async def reload(self, script: str) -> None:
        """Write this script to the operators' file and wait for its reload."""
        self.operator_file.write_text(script)
        before = self.reloads()
        self.running_broker.node.reload()
        self.running_broker.node.reload()  # no effect while the first is in progress
        await until(lambda: self.reloads() > before)

    def reloads(self) -> int:
        return self.counts.reloads_applied + self.counts.reloads_rejected


@asynccontextmanager
async def reloading_broker(folder: Path) -> AsyncIterator[ReloadingBroker]:
    """Run a broker that reads its files from this folder."""
    env = write_deployment_files(folder, 1, [target_entry("s-1", 9), target_entry("s-2", 9)])
    operator_file = Path(env["PROXY_OPERATOR_FILE"])
    first_map = evaluate(str(operator_file)).cell_map
    assert first_map is not None
    async with running(
        load(env), env, make=cell_node_factory(first_map, str(operator_file))
    ) as broker:
        cell_node(broker).celled.migrations.propose("acme", "b", broker.node.clock.now())
        yield ReloadingBroker(
            broker, folder / "config.json", operator_file, operator_file.read_text(), first_map
        )


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        pytest.param(
            lambda script: script.replace("epoch(1)", "epoch(0)"),
            "epoch: 0 is older than 1",
            id="older epoch",
        ),
        pytest.param(
            lambda script: script + '\ntenant("new", cell = "a")',
            "epoch: 1 is in force with another map",
            id="same epoch with another map",
        ),
        pytest.param(
            lambda script: script + '\ntenant("new", cell = "z")',
            ":7: tenant.cell: 'z' of 'new' is no cell",
            id="unknown cell",
        ),
        pytest.param(lambda script: "", "cell: none is named", id="empty file"),
        pytest.param(lambda script: "cell(", "script: Parse error", id="syntax error"),
        pytest.param(
            lambda script: script + '\ncell("c", weight = -1)',
            ":7: cell.weight: must be above 0",
            id="negative weight",
        ),
    ],
)
@on_uvloop
async def test_sighup_with_an_invalid_operators_file_changes_nothing(
    tmp_path: Path, change: Callable[[str], str], problem: str
) -> None:
    async with reloading_broker(tmp_path) as broker:
        await broker.reload(change(broker.first_script))
        last = [line for line in broker.running_broker.logged if line.startswith("reload")][-1]
        assert problem in last
        assert "stays as it was" in last
        assert cell_node(broker.running_broker).map == broker.first_map
        assert broker.counts.reloads_applied == 0


@on_uvloop
async def test_sighup_applies_both_files_or_neither(tmp_path: Path) -> None:
    async with reloading_broker(tmp_path) as broker:
        node = cell_node(broker.running_broker)
        newer = broker.first_script.replace("epoch(1)", "epoch(2)") + '\ntenant("new", cell = "b")'
        config_text = broker.config_file.read_text()
        broker.config_file.write_text("{")
        await broker.reload(newer)
        assert node.map == broker.first_map  # an invalid configuration file prevents both
        broker.config_file.write_text(config_text)
        await broker.reload(newer)
        assert node.map.epoch == 2
        assert node.celled.migrations.cell("new", 0) == "b"
        assert (
            migration_stage(broker.running_broker) is not None
        )  # the migration in progress continues
        await broker.reload(newer)  # an unchanged file is accepted
        assert broker.counts.reloads_applied == 2
