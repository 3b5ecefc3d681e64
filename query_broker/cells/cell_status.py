"""The cells' part of the status that two processes of one broker exchange during an upgrade.

The keys of the file are fixed by the versions that are in service; they stand in this module alone.
Performs no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..server.process_status import KEY_ACCEPTING, KEY_CELLS
from .migration_log import MigrationLog
from .migrations import Migration, read_migration
from .model import CellMap, read_cell_map

#: Of a map with more tenants only the epoch and the digest are published: to encode and to read it
#: ten times a second during an upgrade would take too much of the core.
MAX_PUBLISHED_TENANTS = 5_000


@dataclass(frozen=True, slots=True)
class PeerCellStatus:
    """What another process has published of its cells.

    Attributes:
        process_name: The name of the process.
        accepting: Whether it takes new connections.
        epoch: The epoch of its map.
        digest: The digest of its map.
        migrations: Its records of migrations.
        open_requests: The number of its open requests, by subject and cell.
        seats: The cell of each of its endpoints, by uid.
        newer_map: Its map where that is newer than the one in force here; else None.
    """

    process_name: str
    accepting: bool
    epoch: int
    digest: str
    migrations: list[Migration]
    open_requests: dict[str, dict[str, int]]
    seats: dict[str, str | None]
    newer_map: CellMap | None


class PublishedMap(NamedTuple):
    """A map in the forms that are published many times.

    Attributes:
        epoch: Its epoch.
        digest: Its digest.
        plain: The map as plain objects; None for one that is too large.
    """

    epoch: int
    digest: str
    plain: dict[str, Any] | None

    @classmethod
    def of(cls, map: CellMap) -> PublishedMap:
        """Encode a map once: for 1,000 tenants that takes a hundredth of a second."""
        plain = map.plain() if len(map.tenants) <= MAX_PUBLISHED_TENANTS else None
        return cls(map.epoch, map.digest(), plain)


def encode_cell_status(
    process_name: str,
    published: PublishedMap,
    log: MigrationLog,
    open_requests: Counter[tuple[str, str]],
    seats: Mapping[str, str | None],
) -> dict[str, Any]:
    """Return the key that cells add to the status file, with plain JSON values.

    Args:
        process_name: The name of this process.
        published: Its map.
        log: Its records of migrations.
        open_requests: Its open requests by subject and cell; those of subjects that have a
            migration are published.
        seats: The cell of each endpoint, by uid.
    """
    open_by_subject: dict[str, dict[str, int]] = {}
    for (subject, cell), count in open_requests.items():
        if subject in log.records:
            open_by_subject.setdefault(subject, {})[cell] = count
    status: dict[str, Any] = {
        "me": process_name,
        "epoch": published.epoch,
        "digest": published.digest,
        "moves": [migration.plain() for migration in log.records.values()],
        "open": open_by_subject,
        "seats": seats,
    }
    if published.plain is not None:
        status["map"] = published.plain
    return {KEY_CELLS: status}


def read_cell_status(fields: Mapping[str, Any], own_epoch: int) -> PeerCellStatus | None:
    """Read what another process has published of its cells; None if it has none.

    Args:
        fields: The keys of its status.
        own_epoch: The epoch of the map in force here; only a newer map is read.

    Raises:
        CellMapError: The map is none.
        ValueError: A value is not what it should be.
        TypeError: A value is of the wrong type.
        KeyError: A key is missing.
        AttributeError: A value is no object.
    """
    raw = fields.get(KEY_CELLS)
    if raw is None:
        return None
    return PeerCellStatus(
        process_name=str(raw["me"]),
        accepting=bool(fields[KEY_ACCEPTING]),
        epoch=int(raw["epoch"]),
        digest=str(raw["digest"]),
        migrations=[read_migration(record) for record in raw["moves"]],
        open_requests=_read_open_requests(raw["open"]),
        seats=_read_seats(raw["seats"]),
        newer_map=_read_newer_map(raw, own_epoch),
    )


def _read_open_requests(raw: Mapping[Any, Any]) -> dict[str, dict[str, int]]:
    open_requests: dict[str, dict[str, int]] = {}
    for subject, counts in raw.items():
        open_requests[str(subject)] = {str(cell): int(count) for cell, count in counts.items()}
    return open_requests


def _read_seats(raw: Mapping[Any, Any]) -> dict[str, str | None]:
    return {str(uid): None if cell is None else str(cell) for uid, cell in raw.items()}


def _read_newer_map(raw: Mapping[str, Any], own_epoch: int) -> CellMap | None:
    if "map" not in raw or raw["epoch"] <= own_epoch:
        return None
    return read_cell_map(raw["map"])
