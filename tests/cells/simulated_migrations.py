"""Migrations before a simulated cluster, step by step on the test's own clock."""

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
    """The fleets, open requests and peers that a step of the migrations looks at."""

    def __init__(self) -> None:
        self.fleets = {"a": Fleet(2, 0), "b": Fleet(2, 0), "c": Fleet(2, 0)}
        self.open_requests: Counter[tuple[str, str]] = Counter()
        self.replicated = True

    def fleet(self, cell: str) -> Fleet:
        """The endpoints of this cell."""
        return self.fleets.get(cell, Fleet(0, 0))

    def open_count(self, subject: str, cell: str) -> int:
        """The requests of this tenant that are open in this cell."""
        return self.open_requests[subject, cell]

    def is_replicated(self, migration: Migration) -> bool:
        """Whether every process knows this migration."""
        return self.replicated


def stage_of(migration_log: MigrationLog) -> Stage:
    """The stage of the migration of tenant x."""
    return migration_log.records["x"].stage


def run_steps(
    migration_log: MigrationLog,
    cluster: SimulatedCluster,
    now: int,
    seconds: float,
    step: int = NS_PER_SECOND // 20,
) -> int:
    """Step for so long; the time at the end of it."""
    for _ in range(int(seconds * NS_PER_SECOND / step)):
        now += step
        step_migrations(migration_log, now, cluster)
    return now
