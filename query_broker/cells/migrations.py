"""The record of a tenant's migration from one cell to another, and its stored form.

    proposed -> warming -> switched -> draining -> done
        |          |           |           |
        +----------+--> taken back <-- returning

New requests go to one cell: the source up to the switch, the target from then on, and the source
again from the moment a migration is being rolled back. What is open ends in the cell where it
began; only that cell's decisions make its retries, so that no switch can execute it twice.

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
#: Stored and compared between processes: it tells a follower to close out as well.
CLOSED_OUT = "what was open past its time was closed out"
WRONG_FIELD_TYPE = "a move with fields of the wrong kind"
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
    """Where a migration stands; the values are the stored and shown spelling."""

    PROPOSED = "proposed"
    WARMING = "warming"
    SWITCHED = "switched"
    DRAINING = "draining"
    ROLLING_BACK = "returning"
    DONE = "done"
    ROLLED_BACK = "taken back"


ENDED_STAGES = frozenset({Stage.DONE, Stage.ROLLED_BACK})
SWITCHED_STAGES = frozenset({Stage.SWITCHED, Stage.DRAINING, Stage.DONE})
#: Of two records with one version the one in the later stage is valid.
STAGE_ORDER = list(Stage)


class MigrationRejectedError(QueryBrokerError, ValueError):
    """A migration, or its abortion, that is not possible; nothing has changed."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the part of the operators' call and what is wrong with it."""
        super().__init__(f"{key}: {problem}")


@dataclass(frozen=True, slots=True)
class Migration:
    """The record of one migration; `plain` gives its stored form.

    Attributes:
        subject: The tenant, or one part of a spread one.
        source: The cell it leaves.
        target: The cell it goes to.
        stage: Where it stands.
        version: Orders the records on one subject.
        stage_since_ns: When it came into this stage.
        proposed_ns: When it was proposed.
        driver: The process that advances it.
        warm_since_ns: Since when the target has enough warm endpoints; 0 if it has not.
        target_lost_since_ns: Since when the target has no endpoint; 0 if it has one.
        switch_at_ns: From then on new requests go to the target; 0 before that is decided.
        reason: Why it ended or was aborted.
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
        """Return whether it is in one of the stages that nothing follows."""
        return self.stage in ENDED_STAGES

    def cell(self, now_ns: int) -> str:
        """Return the cell that new requests go to."""
        has_switched = self.stage in SWITCHED_STAGES and now_ns >= self.switch_at_ns
        return self.target if has_switched else self.source

    def summary(self) -> str:
        """Return what a log line says of it: the subject, both cells and the stage."""
        return f"{self.subject!r} from {self.source!r} to {self.target!r}: {self.stage.value}"

    def plain(self) -> dict[str, Any]:
        """Return the record as plain objects for JSON, the form that `read_migration` reads."""
        stored = {STORED_KEYS.get(name, name): value for name, value in asdict(self).items()}
        stored["stage"] = self.stage.value
        return stored


def read_migration(raw: Mapping[str, Any]) -> Migration:
    """Read a record from plain objects.

    Raises:
        ValueError: The stage is none.
        TypeError: A field is missing, unknown or of the wrong type.
        KeyError: There is no stage.
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
    """The number of a cell's endpoints that take new work.

    Attributes:
        ready_count: How many there are.
        warming_count: How many of them are still warming up.
    """

    ready_count: int
    warming_count: int

    def has_enough_warm(self) -> bool:
        """Return whether enough of the endpoints are warm for the cell to take a tenant over."""
        warm_count = self.ready_count - self.warming_count
        return self.ready_count > 0 and warm_count >= MIN_WARM_FRACTION * self.ready_count


class ClusterView(Protocol):
    """What a step of a migration looks at."""

    def fleet(self, cell: str) -> Fleet:
        """Return the cell's endpoints."""

    def open_count(self, subject: str, cell: str) -> int:
        """Return the subject's open requests in the cell, in all processes of the broker."""

    def is_replicated(self, migration: Migration) -> bool:
        """Return whether all other processes of the broker have this record."""


@dataclass(frozen=True, slots=True)
class CloseOut:
    """An order: what is open of the subject in the cell gets its final answer now."""

    subject: str
    cell: str


class RecordRank(NamedTuple):
    """Which of two records on one subject is valid: the higher rank."""

    version: int
    stage_index: int
    driver: str

    @classmethod
    def of(cls, migration: Migration) -> RecordRank:
        """Return the rank of a record."""
        return cls(migration.version, STAGE_ORDER.index(migration.stage), migration.driver)
