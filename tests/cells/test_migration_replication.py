"""Migration records in several processes, and the effect of a new map on them."""

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


def test_a_switch_waits_until_the_record_is_replicated(
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


def test_another_process_takes_over_when_the_driver_has_ended(
    cluster: SimulatedCluster,
) -> None:
    first = MigrationLog(make_cell_map(), "p2")
    second = MigrationLog(make_cell_map(), "p1")
    first.propose("x", "b", 0)
    second.merge(first.records.values())
    step_migrations(second, NS_PER_SECOND, cluster, ["p2"])
    assert second.records == first.records  # p2 still runs, so p1 does not take over
    now = NS_PER_SECOND
    for _ in range(200):
        now += NS_PER_SECOND // 20
        # p2 has ended, so p1 takes over, which has a lower name than p3.
        step_migrations(second, now, cluster, ["p3"])
    assert second.records["x"].stage is Stage.DONE
    assert second.records["x"].driver == "p1"
    assert first.merge(second.records.values())
    assert first.cell("x", now) == "b"
    # A record with a lower version is ignored.
    assert not first.merge([Migration("x", "a", "c", Stage.DONE, 1, 0, 0, "p9")])
    assert first.cell("x", now) == "b"


def test_a_record_survives_a_round_trip_through_its_plain_form(migration_log: MigrationLog) -> None:
    migration = migration_log.propose("x", "b", 5)
    assert read_migration(migration.plain()) == migration


@pytest.mark.parametrize(
    "corrupt",
    [
        pytest.param(lambda plain: {}, id="empty"),
        pytest.param(lambda plain: {**plain, "stage": "?"}, id="unknown stage"),
        pytest.param(lambda plain: {**plain, "at": "1"}, id="time that is no number"),
        pytest.param(lambda plain: {**plain, "z": 1}, id="unknown key"),
    ],
)
def test_a_malformed_record_is_rejected(
    migration_log: MigrationLog, corrupt: Callable[[dict[str, Any]], dict[str, Any]]
) -> None:
    migration = migration_log.propose("x", "b", 5)
    with pytest.raises((ValueError, TypeError, KeyError)):
        read_migration(corrupt(migration.plain()))


@pytest.mark.parametrize(
    ("seconds", "remaining_cells", "stage", "expected_cell"),
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
    remaining_cells: str,
    stage: Stage,
    expected_cell: str,
) -> None:
    migration_log = migration_log_of_three_cells
    migration_log.propose("x", "b", 0)
    cluster.open_requests["x", "a"] = 1
    cluster.open_requests["x", "b"] = 1
    now = run_steps(migration_log, cluster, 0, seconds)
    tenants = {"x": remaining_cells[0]}
    migration_log.apply_map(make_cell_map(*remaining_cells, epoch=2, tenants=tenants), now)
    assert stage_of(migration_log) is stage
    assert migration_log.cell("x", now) == expected_cell


def test_a_map_that_changes_the_home_of_a_migrated_tenant_prevails(
    migration_log_of_three_cells: MigrationLog, cluster: SimulatedCluster
) -> None:
    migration_log = migration_log_of_three_cells
    migration_log.propose("x", "b", 0)
    now = run_steps(migration_log, cluster, 0, 6)
    migration_log.apply_map(make_cell_map("a", "b", "c", epoch=2), now)
    assert migration_log.cell("x", now) == "b"  # the map has not changed the home of x
    migration_log.apply_map(make_cell_map("a", "b", "c", epoch=3, tenants={"x": "c"}), now)
    assert migration_log.cell("x", now) == "c"
