"""Migrations of several processes: what one learns of another, and a new map's word on them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from query_broker.cells.migration_log import MigrationLog
from query_broker.cells.migration_steps import step_migrations
from query_broker.cells.migrations import (
    Migration,
    Stage,
    read_migration,
)

from .cell_brokers import NS_PER_SECOND
from .cell_maps import make_cell_map
from .simulated_migrations import SimulatedCluster, run_steps, stage_of


def test_a_switch_waits_until_the_other_process_knows_of_it(
    migration_log: MigrationLog, cluster: SimulatedCluster
) -> None:
    cluster.replicated = False
    migration_log.propose("x", "b", 0)
    now = run_steps(migration_log, cluster, 0, 5)
    assert stage_of(migration_log) is Stage.WARMING
    assert migration_log.cell("x", now) == "a"
    cluster.replicated = True
    now = run_steps(migration_log, cluster, now, 0.5)
    assert stage_of(migration_log) is Stage.SWITCHED
    assert migration_log.cell("x", now) == "b"


def test_one_process_drives_and_another_takes_over_when_it_has_ended(
    cluster: SimulatedCluster,
) -> None:
    first = MigrationLog(make_cell_map(), "p2")
    second = MigrationLog(make_cell_map(), "p1")
    first.propose("x", "b", 0)
    second.merge(first.records.values())
    step_migrations(second, NS_PER_SECOND, cluster, ["p2"])
    assert second.records == first.records  # p2 lives: p1 leaves it alone
    now = NS_PER_SECOND
    for _ in range(200):
        now += NS_PER_SECOND // 20
        # p2 has ended; of p1 and p3 the lower takes over.
        step_migrations(second, now, cluster, ["p3"])
    assert second.records["x"].stage is Stage.DONE
    assert second.records["x"].driver == "p1"
    assert first.merge(second.records.values())
    assert first.cell("x", now) == "b"
    # An older record changes nothing.
    assert not first.merge([Migration("x", "a", "c", Stage.DONE, 1, 0, 0, "p9")])
    assert first.cell("x", now) == "b"


def test_a_record_is_read_as_it_was_written(migration_log: MigrationLog) -> None:
    migration = migration_log.propose("x", "b", 5)
    assert read_migration(migration.plain()) == migration


@pytest.mark.parametrize(
    "spoil",
    [
        pytest.param(lambda plain: {}, id="empty"),
        pytest.param(lambda plain: {**plain, "stage": "?"}, id="unknown stage"),
        pytest.param(lambda plain: {**plain, "at": "1"}, id="time that is no number"),
        pytest.param(lambda plain: {**plain, "z": 1}, id="unknown key"),
    ],
)
def test_a_spoilt_record_is_rejected(
    migration_log: MigrationLog, spoil: Callable[[dict[str, Any]], dict[str, Any]]
) -> None:
    migration = migration_log.propose("x", "b", 5)
    with pytest.raises((ValueError, TypeError, KeyError)):
        read_migration(spoil(migration.plain()))


@pytest.mark.parametrize(
    ("seconds", "left", "stage", "home"),
    [
        pytest.param(0.1, "ac", Stage.ROLLED_BACK, "a", id="the target, before the switch"),
        pytest.param(3.0, "ac", Stage.ROLLING_BACK, "a", id="the target, after the switch"),
        pytest.param(0.1, "bc", Stage.DONE, "b", id="the source, before the switch"),
        pytest.param(3.0, "bc", Stage.DONE, "b", id="the source, after the switch"),
        pytest.param(3.0, "c", Stage.ROLLING_BACK, "c", id="source and target"),
    ],
)
def test_a_map_that_drops_a_cell_ends_its_migrations(
    migration_log_of_three_cells: MigrationLog,
    cluster: SimulatedCluster,
    seconds: float,
    left: str,
    stage: Stage,
    home: str,
) -> None:
    migration_log = migration_log_of_three_cells
    migration_log.propose("x", "b", 0)
    cluster.open_requests["x", "a"] = 1
    cluster.open_requests["x", "b"] = 1
    now = run_steps(migration_log, cluster, 0, seconds)
    tenants = {"x": left[0]}
    migration_log.apply_map(make_cell_map(*left, epoch=2, tenants=tenants), now)
    assert stage_of(migration_log) is stage
    assert migration_log.cell("x", now) == home


def test_a_map_that_names_a_migrated_tenant_anew_has_the_last_word(
    migration_log_of_three_cells: MigrationLog, cluster: SimulatedCluster
) -> None:
    migration_log = migration_log_of_three_cells
    migration_log.propose("x", "b", 0)
    now = run_steps(migration_log, cluster, 0, 6)
    migration_log.apply_map(make_cell_map("a", "b", "c", epoch=2), now)
    assert migration_log.cell("x", now) == "b"  # the file says nothing new of it
    migration_log.apply_map(make_cell_map("a", "b", "c", epoch=3, tenants={"x": "c"}), now)
    assert migration_log.cell("x", now) == "c"
