"""The record of a tenant's migration from one cell to another, and its stored form.

    proposed -> warming -> switched -> draining -> done
        |          |           |           |
        +----------+--> taken back <-- returning

New requests go to one cell: the source before the switch, the target after it, and the source
again once a rollback begins. An open request stays in the cell that admitted it, which also makes
its retries, so that a switch cannot cause a second execution.

Records carry a version, one counter over all processes of a broker (after L. Lamport, "Time,
Clocks, and the Ordering of Events in a Distributed System", 1978): of two records on one subject
the later version is valid. `migration_log` owns the records of a process, `migration_steps`
advances them. Times are integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from ..errors import QueryBrokerError

#: The fraction of the target's ready endpoints that must be warm before the switch.
MIN_WARM_FRACTION = 0.5
#: The reason by which the other processes see that they must close out as well. It is stored and
#: compared between processes.
CLOSED_OUT = "what was open past its time was closed out"
WRONG_FIELD_TYPE = "a migration record has a field of the wrong type"
#: The keys of the stored form of a `Migration`, where they differ from the names of its fields.
STORED_KEYS = {
    "stage_since_ns": "at",
    "proposed_ns": "begun",
    "warm_since_ns": "able_since",
    "target_lost_since_ns": "lost_since",
    "switch_at_ns": "switch_at",
    "reason": "why",
}
FIELD_NAMES = {key: name for name, key in STORED_KEYS.items()}


class Stage(Enum):
    """The stage of a migration; the values are stored and shown to operators."""

    PROPOSED = "proposed"
    WARMING = "warming"
    SWITCHED = "switched"
    DRAINING = "draining"
    ROLLING_BACK = "returning"
    DONE = "done"
    ROLLED_BACK = "taken back"


ENDED_STAGES = frozenset({Stage.DONE, Stage.ROLLED_BACK})
SWITCHED_STAGES = frozenset({Stage.SWITCHED, Stage.DRAINING, Stage.DONE})
#: Of two records with the same version, the one in the later stage is valid.
STAGE_ORDER = list(Stage)


class MigrationRejectedError(QueryBrokerError, ValueError):
    """A migration cannot be started or aborted; nothing has changed."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the part of the admin call and the problem with it."""
        super().__init__(f"{key}: {problem}")


@dataclass(frozen=True, slots=True)
class Migration:
    """The record of one migration; `plain` gives its stored form.

    Attributes:
        subject: The tenant, or one part of a spread tenant.
        source: The cell that the tenant leaves.
        target: The cell that the tenant goes to.
        stage: The stage of the migration.
        version: Orders the records on one subject.
        stage_since_ns: When the migration entered this stage.
        proposed_ns: When the migration was proposed.
        driver: The process that advances the migration.
        warm_since_ns: Since when the target has had enough warm endpoints; 0 if it has too few.
        target_lost_since_ns: Since when the target has had no endpoint; 0 if it has one.
        switch_at_ns: When new requests begin to go to the target; 0 if not decided.
        reason: Why the migration ended or was aborted.
    """

    subject: str
    source: str
    target: str
    stage: Stage
    version: int
    stage_since_ns: int
    proposed_ns: int
    driver: str
    warm_since_ns: int = 0
    target_lost_since_ns: int = 0
    switch_at_ns: int = 0
    reason: str = ""

    def has_ended(self) -> bool:
        """Return whether the migration is in a final stage."""
        return self.stage in ENDED_STAGES

    def cell(self, now_ns: int) -> str:
        """Return the cell that new requests go to."""
        has_switched = self.stage in SWITCHED_STAGES and now_ns >= self.switch_at_ns
        return self.target if has_switched else self.source

    def summary(self) -> str:
        """Return the subject, both cells and the stage, for a log line."""
        return f"{self.subject!r} from {self.source!r} to {self.target!r}: {self.stage.value}"

    def plain(self) -> dict[str, Any]:
        """Return the record as plain objects for JSON, the form that `read_migration` reads."""
        stored = {STORED_KEYS.get(name, name): value for name, value in asdict(self).items()}
        stored["stage"] = self.stage.value
        return stored


def read_migration(raw: Mapping[str, Any]) -> Migration:
    """Read a record from plain objects.

    Raises:
        ValueError: The stage is unknown.
        TypeError: A field is missing, unknown or of the wrong type.
        KeyError: The stage is missing.
    """
    named = {FIELD_NAMES.get(key, key): value for key, value in raw.items()}
    migration = Migration(**{**named, "stage": Stage(raw["stage"])})
    texts = (
        migration.subject,
        migration.source,
        migration.target,
        migration.driver,
        migration.reason,
    )
    numbers = (
        migration.version,
        migration.stage_since_ns,
        migration.proposed_ns,
        migration.warm_since_ns,
        migration.target_lost_since_ns,
        migration.switch_at_ns,
    )
    texts_match = all(type(text) is str for text in texts)
    numbers_match = all(type(number) is int for number in numbers)
    if not (texts_match and numbers_match):
        raise TypeError(WRONG_FIELD_TYPE)
    return migration


@dataclass(frozen=True, slots=True)
class Fleet:
    """How many endpoints of a cell accept new work.

    Attributes:
        ready_count: The number of ready endpoints.
        warming_count: The number of ready endpoints that are still warming up.
    """

    ready_count: int
    warming_count: int

    def has_enough_warm(self) -> bool:
        """Return whether enough endpoints are warm for the cell to take over a tenant."""
        warm_count = self.ready_count - self.warming_count
        return self.ready_count > 0 and warm_count >= MIN_WARM_FRACTION * self.ready_count


class ClusterView(Protocol):
    """The state of the cluster that a migration step depends on."""

    def fleet(self, cell: str) -> Fleet:
        """Return the number of the cell's endpoints that accept new work."""

    def open_count(self, subject: str, cell: str) -> int:
        """Return the subject's open requests in the cell, in all processes of the broker."""

    def is_replicated(self, migration: Migration) -> bool:
        """Return whether all other processes of the broker have this record."""


@dataclass(frozen=True, slots=True)
class CloseOut:
    """An order to give the subject's open requests in the cell their final answer now."""

    subject: str
    cell: str


class RecordRank(NamedTuple):
    """The rank of a record; of two records on one subject the one with the higher rank is valid."""

    version: int
    stage_index: int
    driver: str

    @classmethod
    def of(cls, migration: Migration) -> RecordRank:
        """Return the rank of a record."""
        return cls(migration.version, STAGE_ORDER.index(migration.stage), migration.driver)
