"""Golden form of migrations, of the cell map and of a node's cells in the status file."""

from __future__ import annotations

import json

import pytest

from query_broker.cells import migrations
from query_broker.cells.cell_status import PeerCellStatus
from query_broker.cells.migrations import Stage
from query_broker.cells.model import read_cell_map
from query_broker.cells.node import CellNode

from .cells import (
    CELL_MAP,
    CELL_MAP_DIGEST,
    CELL_MAP_TEXT,
    CELLS_STATUS_TEXT,
    MIGRATION,
    MIGRATION_TEXT,
)


def test_migration_is_written_as_its_text() -> None:
    assert json.dumps(MIGRATION.plain()) == MIGRATION_TEXT


def test_migration_is_read_from_its_text() -> None:
    assert migrations.read_migration(json.loads(MIGRATION_TEXT)) == MIGRATION


@pytest.mark.parametrize(
    ("stage", "value"),
    [
        (Stage.PROPOSED, "proposed"),
        (Stage.WARMING, "warming"),
        (Stage.SWITCHED, "switched"),
        (Stage.DRAINING, "draining"),
        (Stage.ROLLING_BACK, "returning"),
        (Stage.DONE, "done"),
        (Stage.ROLLED_BACK, "taken back"),
    ],
)
def test_stage_of_a_migration_is_written_as_its_value(stage: Stage, value: str) -> None:
    assert stage.value == value
    assert stage is Stage(value)


def test_order_of_the_stages() -> None:
    values = [stage.value for stage in migrations.STAGE_ORDER]
    assert values == [
        "proposed",
        "warming",
        "switched",
        "draining",
        "returning",
        "done",
        "taken back",
    ]


def test_reason_that_another_process_acts_on() -> None:
    assert migrations.CLOSED_OUT == "what was open past its time was closed out"


def test_cell_map_is_written_as_its_text() -> None:
    assert json.dumps(CELL_MAP.plain()) == CELL_MAP_TEXT
    assert CELL_MAP.digest() == CELL_MAP_DIGEST


def test_cell_map_is_read_from_its_text() -> None:
    cell_map = read_cell_map(json.loads(CELL_MAP_TEXT))
    assert cell_map == CELL_MAP
    assert cell_map.digest() == CELL_MAP_DIGEST


def test_status_of_the_cells_is_written_as_its_text(cell_node: CellNode) -> None:
    assert json.dumps(cell_node.status_extension()) == CELLS_STATUS_TEXT


def test_status_of_the_cells_of_another_process_is_read(cell_node: CellNode) -> None:
    raw = json.loads(CELLS_STATUS_TEXT)
    raw["cells"]["map"]["epoch"] = 4  # a map is read where it is newer
    raw["cells"]["epoch"] = 4
    status = cell_node.read_peer_status({"accepting": True, **raw})
    assert status is not None
    newer_map = status.newer_map
    assert newer_map is not None
    assert newer_map.epoch == 4
    assert newer_map.cells == CELL_MAP.cells
    assert newer_map.tenants == CELL_MAP.tenants
    assert status == PeerCellStatus(
        process_name="41-00ff00ff",
        accepting=True,
        epoch=4,
        digest=CELL_MAP_DIGEST,
        migrations=[MIGRATION],
        open_requests={"acme#7": {"a": 3, "b": 1}},
        seats={"s-1": "a", "s-2": None},
        newer_map=newer_map,
    )
