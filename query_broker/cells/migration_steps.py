"""The state machine of migrations: what a step does with a record in each stage.

One process drives a migration; the others follow, and one takes over when the driver has ended.
Times are integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from .migration_log import MigrationLog
from .migrations import CLOSED_OUT, ClusterView, Migration, Stage

NS_PER_S = 1_000_000_000
#: From the decision to switch to the switch itself: the other processes learn of it in between.
SWITCH_LEAD_NS = 300_000_000
#: How long a migration that has ended is shown.
RETENTION_NS = 600 * NS_PER_S


def step_migrations(
    log: MigrationLog, now_ns: int, cluster: ClusterView, alive: Iterable[str] = ()
) -> None:
    """Advance what this process drives.

    Args:
        log: The records.
        now_ns: The time.
        cluster: What the step looks at.
        alive: The other processes that take requests. The first name in order among them and
            this one takes over the migrations of a process that has ended.
    """
    processes = set(alive)
    for migration in list(log.records.values()):
        if migration.has_ended():
            _forget_if_settled(log, migration, now_ns)
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


def _forget_if_settled(log: MigrationLog, migration: Migration, now_ns: int) -> None:
    """Forget an ended migration that changes nothing any more.

    Where a migration has led is kept for good, unless the map says the same or has no such
    cell.
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
        log.enter(migration, Stage.WARMING, now_ns)
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
    """Switch once all processes know the time of it; put it off while one does not."""
    if not is_warm:
        # A target that is lost while the other processes learn of the switch must not get the
        # tenant.
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
    """Follow the target once it has the tenant; return the record, or None if it was aborted.

    A target that loses its last endpoint gives the tenant back, if the source can take it.
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
        log.enter(watched, Stage.DRAINING, now_ns)
    elif elapsed_ns >= log.map.timeouts.switched_ns:
        log.abort(watched, now_ns, "the target was not able for long enough")


def _step_draining(
    log: MigrationLog, migration: Migration, now_ns: int, cluster: ClusterView
) -> None:
    watched = _watch_target(log, migration, now_ns, cluster)
    if watched is None:
        return
    if not cluster.open_count(migration.subject, migration.source):
        log.enter(watched, Stage.DONE, now_ns)
    elif now_ns - migration.stage_since_ns >= log.map.timeouts.draining_ns:
        _end_by_close_out(log, watched, Stage.DONE, now_ns)


def _step_rolling_back(
    log: MigrationLog, migration: Migration, now_ns: int, cluster: ClusterView
) -> None:
    if not cluster.open_count(migration.subject, migration.target):
        log.enter(migration, Stage.ROLLED_BACK, now_ns)
    elif now_ns - migration.stage_since_ns >= log.map.timeouts.draining_ns:
        _end_by_close_out(log, migration, Stage.ROLLED_BACK, now_ns)


def _end_by_close_out(log: MigrationLog, migration: Migration, stage: Stage, now_ns: int) -> None:
    ended = log.record(replace(migration, stage=stage, stage_since_ns=now_ns, reason=CLOSED_OUT))
    log.order_close_out(ended)


#: What a step does in each stage that is not an end.
STEPS: dict[Stage, Callable[[MigrationLog, Migration, int, ClusterView], None]] = {
    Stage.PROPOSED: _step_proposed,
    Stage.WARMING: _step_warming,
    Stage.SWITCHED: _step_switched,
    Stage.DRAINING: _step_draining,
    Stage.ROLLING_BACK: _step_rolling_back,
}
