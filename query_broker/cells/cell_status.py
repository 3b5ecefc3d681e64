"""The cells' part of the status that two processes of one broker exchange during an upgrade.

The keys must stay compatible with deployed versions; this module alone uses them.
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

#: Only the epoch and the digest of a map with more tenants are published: encoding and decoding the
#: map ten times a second during an upgrade would use too much processor time.
MAX_PUBLISHED_TENANTS = 5_000


@dataclass(frozen=True, slots=True)
class PeerCellStatus:
    """The published status of the cells of another process.

    Attributes:
        process_name: The name of the process.
        accepting: Whether the process accepts new connections.
        epoch: The epoch of its map.
        digest: The digest of its map.
        migrations: Its migration records.
        open_requests: The number of its open requests, by subject and cell.
        seats: The cell of each of its endpoints, by uid.
        newer_map: Its map if newer than the map in force in this process; else None.
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
    """A map in its published form, which is computed once.

    Attributes:
        epoch: The epoch of the map.
        digest: The digest of the map.
        plain: The map as plain objects; None if the map has too many tenants.
    """

    epoch: int
    digest: str
    plain: dict[str, Any] | None

    @classmethod
    def of(cls, map: CellMap) -> PublishedMap:
        """Encode a map, which takes about 10 ms for 1,000 tenants."""
        plain = map.plain() if len(map.tenants) <= MAX_PUBLISHED_TENANTS else None
        return cls(map.epoch, map.digest(), plain)


def encode_cell_status(
    process_name: str,
    published: PublishedMap,
    log: MigrationLog,
    open_requests: Counter[tuple[str, str]],
    seats: Mapping[str, str | None],
) -> dict[str, Any]:
    """Return the cells' entry of the status file, as plain JSON values.

    Args:
        process_name: The name of this process.
        published: The published form of its map.
        log: Its migration records.
        open_requests: The number of its open requests by subject and cell; only subjects with a
            migration record are published.
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
    """Read the status of another process's cells; return None if it has none.

    Args:
        fields: The status of the process, by key.
        own_epoch: The epoch of the map in force in this process; only a newer map is read.

    Raises:
        CellMapError: The map is invalid.
        ValueError: A value is invalid.
        TypeError: A value is of the wrong type.
        KeyError: A key is missing.
        AttributeError: A value is not an object.
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
