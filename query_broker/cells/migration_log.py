"""The migration records of one process: those its operators propose and those of its peers.

`migration_steps` advances the records. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from .migrations import (
    CLOSED_OUT,
    SWITCHED_STAGES,
    CloseOut,
    Migration,
    MigrationRejectedError,
    RecordRank,
    Stage,
)
from .model import CellMap

#: The maximum number of concurrent migrations.
MAX_MIGRATIONS = 1_000
#: The size of the cache of homes, which is bounded because clients may send any tenant name if no
#: tenants are configured.
MAX_CACHED_HOMES = 20_000
MAX_SUBJECT_LENGTH = 256
BY_OPERATORS = "by the operators"


class MigrationLog:
    """The migration records of one process, which are shared with its peer processes.

    Attributes:
        map: The cell map in force.
        process_name: The name of this process among those of the broker.
        version: The highest version seen.
        records: The latest record of each subject.
        cached_homes: The cell by the map alone of each subject that was looked up.
        close_outs: Orders that the owner of the log has yet to carry out.
        has_unpublished_changes: Whether records have changed since they were last published.
    """

    def __init__(self, map: CellMap, process_name: str) -> None:
        """Start without records."""
        self.map = map
        self.process_name = process_name
        self.version = 0
        self.records: dict[str, Migration] = {}
        self.cached_homes: dict[str, str] = {}
        self.close_outs: list[CloseOut] = []
        self.has_unpublished_changes = False

    def cell(self, subject: str, now_ns: int) -> str:
        """Return the cell that a new request of the subject goes to."""
        migration = self.records.get(subject)
        if migration is not None:
            cell = migration.cell(now_ns)
            if self.map.cell(cell) is not None:
                return cell
        home = self.cached_homes.get(subject)
        if home is None:
            if len(self.cached_homes) >= MAX_CACHED_HOMES:
                self.cached_homes.clear()
            home = self.map.home(subject)
            self.cached_homes[subject] = home
        return home

    def propose(self, subject: str, target: str, now_ns: int) -> Migration:
        """Start a migration and return its record.

        Raises:
            MigrationRejectedError: The migration is not possible; the text names the key.
        """
        self._check_subject(subject)
        if self.map.cell(target) is None:
            raise MigrationRejectedError("cell", f"{target!r} is no cell")
        known = self.records.get(subject)
        if known is not None and not known.has_ended():
            raise MigrationRejectedError(
                "tenant", f"{subject!r} is on the move to {known.target!r} ({known.stage.value})"
            )
        source = self.cell(subject, now_ns)
        if source == target:
            raise MigrationRejectedError("cell", f"{subject!r} is in {target!r} already")
        if sum(not migration.has_ended() for migration in self.records.values()) >= MAX_MIGRATIONS:
            raise MigrationRejectedError("moves", f"{MAX_MIGRATIONS} are under way")
        proposed = Migration(
            subject, source, target, Stage.PROPOSED, 0, now_ns, now_ns, driver=self.process_name
        )
        return self.record(proposed)

    def _check_subject(self, subject: str) -> None:
        if not subject or len(subject) > MAX_SUBJECT_LENGTH or not subject.isprintable():
            raise MigrationRejectedError("tenant", "is no name")
        if not self.map.is_migratable(subject):
            raise MigrationRejectedError(
                "tenant",
                f"{subject!r} is spread by a field; name one of its parts, as in "
                f"{subject.partition('#')[0]}#0",
            )

    def abort_by_operators(
        self, subject: str, now_ns: int, reason: str = BY_OPERATORS
    ) -> Migration:
        """Abort a migration that is under way and return its record.

        Raises:
            MigrationRejectedError: None is under way, or it is being aborted already.
        """
        migration = self.records.get(subject)
        if migration is None or migration.has_ended():
            raise MigrationRejectedError("tenant", f"{subject!r} is not on the move")
        if migration.stage is Stage.ROLLING_BACK:
            raise MigrationRejectedError("tenant", f"{subject!r} is being taken back already")
        return self.abort(migration, now_ns, reason)

    def apply_map(self, map: CellMap, now_ns: int) -> None:
        """Put a new map in force.

        A subject whose home the map changes goes there; a migration from or to a dropped cell ends.
        """
        previous_map = self.map
        self.map = map
        self.cached_homes = {}
        for migration in list(self.records.values()):
            if migration.has_ended():
                has_new_home = map.home(migration.subject) != previous_map.home(migration.subject)
                if (
                    has_new_home
                    or self._is_dropped(migration.source)
                    or self._is_dropped(migration.target)
                ):
                    self._reset_to_map(migration, now_ns)
            elif self._is_dropped(migration.target):
                self._abort_without_target(migration, now_ns)
            elif self._is_dropped(migration.source):
                self._end_without_source(migration, now_ns)

    def _is_dropped(self, cell: str) -> bool:
        return self.map.cell(cell) is None

    def _reset_to_map(self, migration: Migration, now_ns: int) -> None:
        # The record is kept and published: if it were deleted here, another process would send the
        # old record back.
        overruled = replace(
            migration,
            stage=Stage.ROLLED_BACK,
            source=self.map.home(migration.subject),
            stage_since_ns=now_ns,
            reason="the map says otherwise",
        )
        self.record(overruled)

    def _abort_without_target(self, migration: Migration, now_ns: int) -> None:
        if self._is_dropped(migration.source):
            migration = replace(migration, source=self.map.home(migration.subject))
        self.abort(migration, now_ns, f"the map has no cell {migration.target!r} any more")

    def _end_without_source(self, migration: Migration, now_ns: int) -> None:
        # Open requests of the tenant still finish in the dropped cell; new ones can only go to the
        # target.
        ended = replace(
            migration,
            stage=Stage.DONE,
            stage_since_ns=now_ns,
            switch_at_ns=now_ns,
            reason=f"the map has no cell {migration.source!r} any more",
        )
        self.record(ended)

    def merge(self, migrations: Iterable[Migration]) -> bool:
        """Merge the records of another process; return whether any of them was newer."""
        any_newer = False
        for migration in migrations:
            self.version = max(self.version, migration.version)
            known = self.records.get(migration.subject)
            if known is not None and RecordRank.of(migration) <= RecordRank.of(known):
                continue
            self.records[migration.subject] = migration
            any_newer = True
            was_under_way = known is None or not known.has_ended()
            if migration.reason == CLOSED_OUT and was_under_way:
                self.order_close_out(migration)  # each process answers its own requests
        return any_newer

    def order_close_out(self, migration: Migration) -> None:
        """Order the close-out of requests still open in the cell that the subject has left."""
        cell = migration.source if migration.stage is Stage.DONE else migration.target
        self.close_outs.append(CloseOut(migration.subject, cell))

    def record(self, migration: Migration) -> Migration:
        """Store a record under the next version and return the stored record."""
        self.version += 1
        versioned = replace(migration, version=self.version)
        self.records[migration.subject] = versioned
        self.has_unpublished_changes = True
        return versioned

    def enter_stage(self, migration: Migration, stage: Stage, now_ns: int) -> Migration:
        """Record that the migration enters a stage now."""
        return self.record(replace(migration, stage=stage, stage_since_ns=now_ns))

    def abort(self, migration: Migration, now_ns: int, reason: str) -> Migration:
        """Roll a migration back: at once before the switch, else after the target has drained."""
        stage = Stage.ROLLING_BACK if migration.stage in SWITCHED_STAGES else Stage.ROLLED_BACK
        return self.record(
            replace(migration, stage=stage, stage_since_ns=now_ns, switch_at_ns=0, reason=reason)
        )
