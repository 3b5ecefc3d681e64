"""Runs migration steps against a simulated cluster, on a simulated clock."""

from __future__ import annotations

from collections import Counter

from query_broker.cells.migration_log import MigrationLog
from query_broker.cells.migration_steps import step_migrations
from query_broker.cells.migrations import (
    Fleet,
    Migration,
    Stage,
)

from .cell_brokers import NS_PER_SECOND


class SimulatedCluster:
    """A `ClusterView` whose values the tests set."""

    def __init__(self) -> None:
        self.fleets = {"a": Fleet(2, 0), "b": Fleet(2, 0), "c": Fleet(2, 0)}
        self.open_requests: Counter[tuple[str, str]] = Counter()
        self.replicated = True

    def fleet(self, cell: str) -> Fleet:
        """The number of ready and warming endpoints of the cell."""
        return self.fleets.get(cell, Fleet(0, 0))

    def open_count(self, subject: str, cell: str) -> int:
        """The number of open requests of the tenant in the cell."""
        return self.open_requests[subject, cell]

    def is_replicated(self, migration: Migration) -> bool:
        """Whether all other processes have the record."""
        return self.replicated


def stage_of(migration_log: MigrationLog) -> Stage:
    """The stage of tenant x's migration."""
    return migration_log.records["x"].stage


def run_steps(
    migration_log: MigrationLog,
    cluster: SimulatedCluster,
    now: int,
    seconds: float,
    step: int = NS_PER_SECOND // 20,
) -> int:
    """Run steps for this many seconds and return the time at the end."""
    for _ in range(int(seconds * NS_PER_SECOND / step)):
        now += step
        step_migrations(migration_log, now, cluster)
    return now
