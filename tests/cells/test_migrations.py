"""The stages of a migration: progress, rollback, rejection and close-out."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.cells.migration_log import MigrationLog
from query_broker.cells.migration_steps import step_migrations
from query_broker.cells.migrations import (
    SWITCHED_STAGES,
    CloseOut,
    Fleet,
    MigrationRejectedError,
    Stage,
)
from query_broker.cells.model import Cell, CellMap, MigrationTimeouts, Tenant

from .cell_brokers import NS_PER_SECOND
from .cell_maps import make_cell_map
from .simulated_migrations import SimulatedCluster, run_steps, stage_of


def test_a_migration_passes_its_stages_and_the_tenant_stays_in_the_target(
    migration_log: MigrationLog, cluster: SimulatedCluster
) -> None:
    cluster.open_requests["x", "a"] = 3
    migration_log.propose("x", "b", 0)
    stages = [Stage.PROPOSED]
    now = 0
    for _ in range(200):
        now = run_steps(migration_log, cluster, now, 0.05)
        stage = stage_of(migration_log)
        if stage is not stages[-1]:
            stages.append(stage)
        has_switched = stage in SWITCHED_STAGES and now >= migration_log.records["x"].switch_at_ns
        assert migration_log.cell("x", now) == ("b" if has_switched else "a")
    assert stages == [Stage.PROPOSED, Stage.WARMING, Stage.SWITCHED, Stage.DRAINING]
    cluster.open_requests.clear()
    now = run_steps(migration_log, cluster, now, 0.1)
    assert stage_of(migration_log) is Stage.DONE
    assert migration_log.cell("x", now) == "b"
    now = run_steps(migration_log, cluster, now, 700)
    assert migration_log.cell("x", now) == "b"  # kept, since the map names another cell


@pytest.mark.parametrize(
    ("fleet", "reason"),
    [
        pytest.param(Fleet(0, 0), "no ready engine", id="no endpoint is ready"),
        pytest.param(Fleet(4, 3), "get warm", id="most endpoints are warming up"),
    ],
)
def test_a_migration_is_rolled_back_if_its_target_is_not_warm_in_time(
    migration_log: MigrationLog, cluster: SimulatedCluster, fleet: Fleet, reason: str
) -> None:
    cluster.fleets["b"] = fleet
    migration_log.propose("x", "b", 0)
    now = run_steps(migration_log, cluster, 0, 45)
    assert stage_of(migration_log) is Stage.ROLLED_BACK
    assert reason in migration_log.records["x"].reason
    assert migration_log.cell("x", now) == "a"
    migration_log.propose("x", "b", now)  # a new attempt is allowed


def test_a_target_that_loses_its_last_endpoint_returns_the_tenant(
    migration_log: MigrationLog, cluster: SimulatedCluster
) -> None:
    cluster.open_requests["x", "a"] = 1
    migration_log.propose("x", "b", 0)
    now = run_steps(migration_log, cluster, 0, 5)
    assert stage_of(migration_log) is Stage.DRAINING
    cluster.fleets["b"] = Fleet(0, 0)
    cluster.open_requests["x", "b"] = 1
    now = run_steps(migration_log, cluster, now, 0.3)
    assert migration_log.cell("x", now) == "b"  # a short loss changes nothing
    now = run_steps(migration_log, cluster, now, 0.5)
    assert stage_of(migration_log) is Stage.ROLLING_BACK
    assert migration_log.cell("x", now) == "a"
    cluster.open_requests.clear()
    now = run_steps(migration_log, cluster, now, 0.1)
    assert stage_of(migration_log) is Stage.ROLLED_BACK
    # If the source has no endpoint either, the tenant stays in the target.
    cluster.fleets = {"a": Fleet(0, 0), "b": Fleet(2, 0)}
    migration_log.propose("x", "b", now)
    cluster.open_requests["x", "a"] = 1
    now = run_steps(migration_log, cluster, now, 5)
    cluster.fleets["b"] = Fleet(0, 0)
    now = run_steps(migration_log, cluster, now, 5)
    assert migration_log.cell("x", now) == "b"


@pytest.mark.parametrize(
    ("seconds", "stage"),
    [
        pytest.param(0.0, Stage.PROPOSED, id="proposed"),
        pytest.param(0.1, Stage.WARMING, id="warming up"),
        pytest.param(2.0, Stage.SWITCHED, id="switched"),
        pytest.param(5.0, Stage.DRAINING, id="draining"),
    ],
)
def test_a_migration_can_be_aborted_in_every_stage_and_a_second_one_is_rejected(
    migration_log_of_three_cells: MigrationLog,
    cluster: SimulatedCluster,
    seconds: float,
    stage: Stage,
) -> None:
    migration_log = migration_log_of_three_cells
    cluster.open_requests["x", "a"] = 1
    cluster.open_requests["x", "b"] = 1
    migration_log.propose("x", "b", 0)
    now = run_steps(migration_log, cluster, 0, seconds)
    assert stage_of(migration_log) is stage
    with pytest.raises(MigrationRejectedError, match="on the move"):
        migration_log.propose("x", "c", now)
    migration_log.propose("y", "c", now)  # another tenant may migrate concurrently
    migration_log.abort_by_operators("x", now)
    assert migration_log.cell("x", now) == "a"
    if stage in SWITCHED_STAGES:
        with pytest.raises(MigrationRejectedError, match="already"):
            migration_log.abort_by_operators("x", now)
        cluster.open_requests.clear()
        now = run_steps(migration_log, cluster, now, 0.1)
    assert stage_of(migration_log) is Stage.ROLLED_BACK
    with pytest.raises(MigrationRejectedError, match="not on the move"):
        migration_log.abort_by_operators("x", now)


@pytest.fixture
def spread_migration_log() -> MigrationLog:
    """A migration log in whose map tenant x is spread over cells a and b by route."""
    spread = CellMap(1, (Cell("a"), Cell("b")), "a", {"x": Tenant("x", ("a", "b"), "route")})
    return MigrationLog(spread, "p1")


@pytest.mark.parametrize(
    ("subject", "target"),
    [
        pytest.param("", "b", id="no name"),
        pytest.param("x", "b", id="a complete spread tenant"),
        pytest.param("y", "c", id="unknown cell"),
        pytest.param("y", "a", id="its own cell"),
        pytest.param("x#64", "b", id="unknown part"),
        pytest.param("y\n", "b", id="a line feed in the name"),
    ],
)
def test_an_invalid_migration_is_rejected(
    spread_migration_log: MigrationLog, subject: str, target: str
) -> None:
    with pytest.raises(MigrationRejectedError):
        spread_migration_log.propose(subject, target, 0)
    assert not spread_migration_log.records
    assert not spread_migration_log.has_unpublished_changes


def test_a_part_of_a_spread_tenant_can_be_migrated(spread_migration_log: MigrationLog) -> None:
    parts = [f"x#{number}" for number in range(64)]
    part_in_a = next(part for part in parts if spread_migration_log.map.home(part) == "a")
    spread_migration_log.propose(part_in_a, "b", 0)


def test_every_process_closes_out_requests_open_after_the_draining_timeout(
    cluster: SimulatedCluster,
) -> None:
    cell_map = make_cell_map(timeouts=MigrationTimeouts(draining_ns=2 * NS_PER_SECOND))
    migration_log = MigrationLog(cell_map, "p1")
    other = MigrationLog(cell_map, "p2")
    cluster.open_requests["x", "a"] = 1
    migration_log.propose("x", "b", 0)
    now = run_steps(migration_log, cluster, 0, 5)
    other.merge(migration_log.records.values())
    now = run_steps(migration_log, cluster, now, 3)
    assert migration_log.close_outs == [CloseOut("x", "a")]
    assert stage_of(migration_log) is Stage.DONE
    other.merge(migration_log.records.values())
    assert other.close_outs == [CloseOut("x", "a")]
    assert other.cell("x", now) == "b"


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["step", "a", "b", "c", "back", "lose", "find", "open", "end"]),
            st.integers(0, 3),
        ),
        max_size=60,
    )
)
def test_whatever_happens_a_subject_has_one_cell_and_versions_rise(
    steps: list[tuple[str, int]],
) -> None:
    migration_log = MigrationLog(make_cell_map("a", "b", "c"), "p1")
    cluster = SimulatedCluster()
    now = 0
    version = 0
    for action, number in steps:
        now += number * NS_PER_SECOND // 2
        cell = "abc"[number % 3]
        try:
            if action in "abc":
                migration_log.propose("x", action, now)
            elif action == "back":
                migration_log.abort_by_operators("x", now)
        except MigrationRejectedError:
            pass
        if action == "lose":
            cluster.fleets[cell] = Fleet(0, 0)
        elif action == "find":
            cluster.fleets[cell] = Fleet(2, 0)
        elif action == "open":
            cluster.open_requests["x", migration_log.cell("x", now)] += 1
        elif action == "end":
            cluster.open_requests.clear()
        step_migrations(migration_log, now, cluster)
        assert migration_log.cell("x", now) in "abc"
        assert migration_log.version >= version
        migration = migration_log.records.get("x")
        if migration is not None and not migration.has_ended():
            assert migration_log.cell("x", now) in (migration.source, migration.target)
        version = migration_log.version
