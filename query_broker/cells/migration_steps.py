"""The state machine of migrations: what a step does with a record in each stage.

One process drives a migration and the others follow; one of them takes over if the driver ends.
Times are integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from .migration_log import MigrationLog
from .migrations import CLOSED_OUT, ClusterView, Migration, Stage

NS_PER_S = 1_000_000_000
#: The delay between the decision to switch and the switch, for the other processes to learn of it.
SWITCH_LEAD_NS = 300_000_000
#: The minimum time that the record of an ended migration is kept.
RETENTION_NS = 600 * NS_PER_S


def step_migrations(
    log: MigrationLog, now_ns: int, cluster: ClusterView, accepting_processes: Iterable[str] = ()
) -> None:
    """Advance the migrations that this process drives.

    Args:
        log: The records.
        now_ns: The time.
        cluster: The ready and warm engines of the cells, the open requests, and which records all
            other processes have.
        accepting_processes: The names of the other processes that accept requests. When a driver
            ends, the process with the lowest name, this one included, takes its migrations over.
    """
    processes = set(accepting_processes)
    for migration in list(log.records.values()):
        if migration.has_ended():
            _delete_if_settled(log, migration, now_ns)
            continue
        driven = _take_over(log, migration, processes)
        if driven.driver == log.process_name:
            STEPS[driven.stage](log, driven, now_ns, cluster)


def _take_over(log: MigrationLog, migration: Migration, processes: set[str]) -> Migration:
    if migration.driver == log.process_name or migration.driver in processes:
        return migration
    if log.process_name != min({log.process_name, *processes}):
        return migration
    return log.record(replace(migration, driver=log.process_name))


def _delete_if_settled(log: MigrationLog, migration: Migration, now_ns: int) -> None:
    """Delete an old record of an ended migration that no longer affects routing.

    A record is kept for as long as it routes the tenant to a cell of the map that is not the
    tenant's home in the map.
    """
    if now_ns - migration.stage_since_ns <= RETENTION_NS:
        return
    cell = migration.cell(now_ns)
    if cell == log.map.home(migration.subject) or log.map.cell(cell) is None:
        del log.records[migration.subject]


def _step_proposed(
    log: MigrationLog, migration: Migration, now_ns: int, cluster: ClusterView
) -> None:
    if cluster.fleet(migration.target).ready_count:
        log.enter_stage(migration, Stage.WARMING, now_ns)
    elif now_ns - migration.stage_since_ns >= log.map.timeouts.proposed_ns:
        log.abort(migration, now_ns, "the target has no ready engine")


def _step_warming(
    log: MigrationLog, migration: Migration, now_ns: int, cluster: ClusterView
) -> None:
    is_warm = cluster.fleet(migration.target).has_enough_warm()
    if migration.switch_at_ns:
        _await_switch(log, migration, now_ns, is_warm, cluster)
    else:
        _await_warm_target(log, migration, now_ns, is_warm)
    latest = log.records[migration.subject]
    elapsed_ns = now_ns - migration.stage_since_ns
    if elapsed_ns >= log.map.timeouts.warming_ns and latest.stage is Stage.WARMING:
        log.abort(latest, now_ns, "the target did not get warm in time")


def _await_warm_target(log: MigrationLog, migration: Migration, now_ns: int, is_warm: bool) -> None:
    """Decide on the time of the switch once the target has been warm for long enough."""
    if not is_warm:
        if migration.warm_since_ns:
            log.record(replace(migration, warm_since_ns=0))
    elif not migration.warm_since_ns:
        log.record(replace(migration, warm_since_ns=now_ns))
    elif now_ns - migration.warm_since_ns >= log.map.timeouts.settle_ns:
        log.record(replace(migration, switch_at_ns=now_ns + SWITCH_LEAD_NS))


def _await_switch(
    log: MigrationLog,
    migration: Migration,
    now_ns: int,
    is_warm: bool,
    cluster: ClusterView,
) -> None:
    """Enter the stage `SWITCHED` once all other processes have the record with the switch time.

    If they do not have it by that time, the switch gets a later time. If the target is no longer
    warm, the switch is called off until the target has been warm for long enough again.
    """
    if not is_warm:
        # The tenant must not go to a target that failed while the switch was being replicated.
        log.record(replace(migration, switch_at_ns=0, warm_since_ns=0))
    elif cluster.is_replicated(migration):
        switch_at_ns = max(now_ns, migration.switch_at_ns)
        log.record(
            replace(
                migration,
                stage=Stage.SWITCHED,
                stage_since_ns=switch_at_ns,
                switch_at_ns=switch_at_ns,
            )
        )
    elif now_ns >= migration.switch_at_ns:
        log.record(replace(migration, switch_at_ns=now_ns + SWITCH_LEAD_NS))


def _watch_target(
    log: MigrationLog, migration: Migration, now_ns: int, cluster: ClusterView
) -> Migration | None:
    """Check the target after the switch; return the record, or None if it was aborted.

    The migration is aborted if the target has been without a ready engine for too long and the
    source has one: the tenant then goes back to the source.
    """
    if cluster.fleet(migration.target).ready_count:
        if migration.target_lost_since_ns:
            return log.record(replace(migration, target_lost_since_ns=0))
        return migration
    if not migration.target_lost_since_ns:
        return log.record(replace(migration, target_lost_since_ns=now_ns))
    is_lost = now_ns - migration.target_lost_since_ns >= log.map.timeouts.target_lost_ns
    if is_lost and cluster.fleet(migration.source).ready_count:
        log.abort(migration, now_ns, "the target has lost its last engine")
        return None
    return migration


def _step_switched(
    log: MigrationLog, migration: Migration, now_ns: int, cluster: ClusterView
) -> None:
    if now_ns < migration.switch_at_ns:
        return
    watched = _watch_target(log, migration, now_ns, cluster)
    if watched is None:
        return
    elapsed_ns = now_ns - migration.stage_since_ns
    if not watched.target_lost_since_ns and elapsed_ns >= log.map.timeouts.watch_ns:
        log.enter_stage(watched, Stage.DRAINING, now_ns)
    elif elapsed_ns >= log.map.timeouts.switched_ns:
        log.abort(watched, now_ns, "the target was not able for long enough")


def _step_draining(
    log: MigrationLog, migration: Migration, now_ns: int, cluster: ClusterView
) -> None:
    watched = _watch_target(log, migration, now_ns, cluster)
    if watched is None:
        return
    if not cluster.open_count(migration.subject, migration.source):
        log.enter_stage(watched, Stage.DONE, now_ns)
    elif now_ns - migration.stage_since_ns >= log.map.timeouts.draining_ns:
        _end_by_close_out(log, watched, Stage.DONE, now_ns)


def _step_rolling_back(
    log: MigrationLog, migration: Migration, now_ns: int, cluster: ClusterView
) -> None:
    if not cluster.open_count(migration.subject, migration.target):
        log.enter_stage(migration, Stage.ROLLED_BACK, now_ns)
    elif now_ns - migration.stage_since_ns >= log.map.timeouts.draining_ns:
        _end_by_close_out(log, migration, Stage.ROLLED_BACK, now_ns)


def _end_by_close_out(log: MigrationLog, migration: Migration, stage: Stage, now_ns: int) -> None:
    """End a migration, and close out the requests still open in the cell that the tenant left.

    A close-out gives these requests their final answers now, in all processes.
    """
    ended = log.record(replace(migration, stage=stage, stage_since_ns=now_ns, reason=CLOSED_OUT))
    log.order_close_out(ended)


#: The step of each stage that is not final.
STEPS: dict[Stage, Callable[[MigrationLog, Migration, int, ClusterView], None]] = {
    Stage.PROPOSED: _step_proposed,
    Stage.WARMING: _step_warming,
    Stage.SWITCHED: _step_switched,
    Stage.DRAINING: _step_draining,
    Stage.ROLLING_BACK: _step_rolling_back,
}
