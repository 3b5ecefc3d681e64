"""The cell map: the cells, the tenants in them and the values that operators set for both.

The map is built from the operators' file, passed between processes as plain JSON objects, and
immutable. The keys of its stored form are the field names, except those of the timeouts, which
`TIMEOUT_FIELDS` maps, and some of a cell, which `CELL_KEYS` maps. Performs no I/O.
"""

from __future__ import annotations

import hashlib
import json
import math
from collections.abc import Collection, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any, Literal

import xxhash

from ..errors import QueryBrokerError

NS_PER_S = 1_000_000_000
#: The number of parts of a spread tenant. Stored subjects contain part numbers, so a change of this
#: value would place the parts of every spread tenant anew.
BUCKETS = 64
#: Bounded because cell names appear in URL paths and metric labels.
MAX_CELL_NAME_LENGTH = 64
#: The maximum number of characters of a rejected name that an error message quotes.
QUOTED_NAME_LENGTH = 70
HASH_RANGE = 2.0**64
DIGEST_BYTES = 8
#: Fields of `Cell` that pin endpoints to it.
PIN_FIELDS = ("engines", "zones", "models")
#: The key in the stored form of each field of `Cell` whose key differs from its name.
CELL_KEYS = {"min_endpoints": "least", "max_endpoints": "most", "capacity_weight": "share"}
SPREAD_FIELDS = ("", "route", "data_set")
SpreadKey = Literal["", "route", "data_set"]


class CellMapError(QueryBrokerError, ValueError):
    """A cell map that cannot be used; its text is ``key: problem``, in the operators' terms."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the key of the operators' file and what is wrong with it."""
        super().__init__(f"{key}: {problem}")


@dataclass(frozen=True, slots=True)
class Cell:
    """A part of the fleet.

    Endpoints that ``engines``, ``zones`` or ``models`` name are pinned to the cell; all others are
    placed by weighted hashing.

    Attributes:
        name: The name, unique in the map.
        weight: The cell's weight for endpoints that are placed by hashing; above 0.
        engines: Uids of endpoints that are pinned to the cell.
        zones: Zones whose endpoints are pinned to the cell.
        models: Hardware models whose endpoints are pinned to the cell.
        min_endpoints: How many ready endpoints the cell should have.
        max_endpoints: How many ready endpoints the cell may have; 0 sets no bound.
        capacity_weight: The cell's weight for the broker's capacity; 0 means ``weight``.
    """

    name: str
    weight: float = 1.0
    engines: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    min_endpoints: int = 1
    max_endpoints: int = 0
    capacity_weight: float = 0.0

    def effective_capacity_weight(self) -> float:
        """Return the weight by which the cell gets its quota of the broker's capacity."""
        return self.capacity_weight or self.weight


@dataclass(frozen=True, slots=True)
class Tenant:
    """The cells that a tenant is assigned to.

    Attributes:
        name: The tenant's name in requests.
        cells: The cells of the tenant; several cells need a ``key``.
        key: The request field whose hash spreads the tenant's requests over ``cells``.
    """

    name: str
    cells: tuple[str, ...]
    key: SpreadKey = ""


@dataclass(frozen=True, slots=True)
class MigrationTimeouts:
    """How long a migration may stay in each stage.

    Attributes:
        proposed_ns: A migration is aborted if its target has no ready endpoint for this long.
        warming_ns: A migration is aborted if its target is not warm enough after this time.
        settle_ns: How long the target must have had enough warm endpoints before the switch.
        watch_ns: How long after the switch the target must keep an endpoint before draining begins.
        switched_ns: A migration is aborted if draining has not begun this long after the switch.
        draining_ns: Requests still open in the source after this time are closed out.
        target_lost_ns: A target without endpoints for this long returns the tenant to the source.
    """

    proposed_ns: int = 10 * NS_PER_S
    warming_ns: int = 30 * NS_PER_S
    settle_ns: int = 1 * NS_PER_S
    watch_ns: int = 2 * NS_PER_S
    switched_ns: int = 10 * NS_PER_S
    draining_ns: int = 60 * NS_PER_S
    target_lost_ns: int = NS_PER_S // 2

    def plain(self) -> dict[str, int]:
        """Return the timeouts by the keys of the stored form and of the operators' file."""
        return {key: getattr(self, name) for key, name in TIMEOUT_FIELDS.items()}


#: The field of `MigrationTimeouts` for each key of the stored form and of the operators' file.
TIMEOUT_FIELDS = {
    "propose": "proposed_ns",
    "warm": "warming_ns",
    "settle": "settle_ns",
    "watch": "watch_ns",
    "switched": "switched_ns",
    "drain": "draining_ns",
    "lost": "target_lost_ns",
}
DEFAULT_TIMEOUTS = MigrationTimeouts()


def timeouts_of(timeouts_ns: Mapping[str, int]) -> MigrationTimeouts:
    """Return the timeouts from their values by the keys of `TIMEOUT_FIELDS`.

    Raises:
        TypeError: A key is unknown.
    """
    return MigrationTimeouts(
        **{TIMEOUT_FIELDS.get(key, key): value for key, value in timeouts_ns.items()}
    )


@dataclass(frozen=True, slots=True)
class CellMap:
    """The cells and the tenants' homes; every instance is validated.

    Attributes:
        epoch: The generation of the map; a map never replaces one with a higher epoch.
        cells: The cells, in the operators' order.
        default: The cell of tenants that the map does not name.
        tenants: The cells of each tenant by its name.
        timeouts: The time limits of migrations.

    Raises:
        CellMapError: The map contradicts itself; the text names the key.
    """

    epoch: int
    cells: tuple[Cell, ...]
    default: str
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    timeouts: MigrationTimeouts = DEFAULT_TIMEOUTS

    def __post_init__(self) -> None:
        """Validate the map, in the order of the operators' file."""
        if not self.cells:
            raise CellMapError("cell", "none is named")
        if self.epoch < 0:
            raise CellMapError("epoch", "must not be negative")
        names = [cell.name for cell in self.cells]
        for cell in self.cells:
            _check_cell_name(cell.name, names.count(cell.name))
            _check_cell_values(cell)
        for pin_field in PIN_FIELDS:
            _check_pinned_once(self.cells, pin_field)
        if self.default not in names:
            raise CellMapError("default_cell", f"{self.default!r} is no cell")
        for tenant in self.tenants.values():
            _check_tenant(tenant, names)
        _check_timeouts(self.timeouts)

    def cell(self, name: str) -> Cell | None:
        """Return the cell of this name, or None."""
        return next((cell for cell in self.cells if cell.name == name), None)

    def subject(self, tenant: str, route: str, data_set: int) -> str:
        """Return the subject of a request: its tenant, or the part of a spread tenant.

        A subject belongs to one cell. A part is written ``tenant#part``.
        """
        tenant_entry = self.tenants.get(tenant)
        if tenant_entry is None or not tenant_entry.key:
            return tenant
        value = route if tenant_entry.key == "route" else str(data_set)
        part = xxhash.xxh3_64_intdigest(f"{tenant}\0{value}".encode()) % BUCKETS
        return f"{tenant}#{part}"

    def is_migratable(self, subject: str) -> bool:
        """Return whether the subject can be migrated.

        This is a tenant that is not spread, or one part of a spread tenant.
        """
        tenant, separator, part = subject.rpartition("#")
        tenant_entry = self.tenants.get(tenant) if separator else None
        if tenant_entry is not None and tenant_entry.key:
            return _is_part_number(part)
        tenant_entry = self.tenants.get(subject)
        return tenant_entry is None or not tenant_entry.key

    def home(self, subject: str) -> str:
        """Return the cell of the subject by the map alone, regardless of migrations."""
        tenant_entry = self.tenants.get(subject) or self.tenants.get(subject.rpartition("#")[0])
        if tenant_entry is None:
            return self.default
        if len(tenant_entry.cells) == 1:
            return tenant_entry.cells[0]
        weights = {cell.name: cell.weight for cell in self.cells}
        return min(
            tenant_entry.cells, key=lambda name: (rendezvous(name, subject, weights[name]), name)
        )

    def plain(self) -> dict[str, Any]:
        """Return the map as plain objects for JSON, which `read_cell_map` reads."""
        return {
            "epoch": self.epoch,
            "cells": tuple(_plain_cell(cell) for cell in self.cells),
            "default": self.default,
            "tenants": [asdict(tenant) for tenant in self.tenants.values()],
            "timing": self.timeouts.plain(),
        }

    def digest(self) -> str:
        """Return a digest, which tells maps of the same epoch with different contents apart."""
        text = json.dumps(self.plain(), sort_keys=True, default=str)
        return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _check_cell_name(name: str, use_count: int) -> None:
    wrong_length = not name or len(name) > MAX_CELL_NAME_LENGTH
    if wrong_length or not name.isprintable() or "/" in name:
        raise CellMapError(
            "cell.name",
            f"{name[:QUOTED_NAME_LENGTH]!r} is no name " "(1 to 64 printable characters, no /)",
        )
    if use_count > 1:
        raise CellMapError("cell.name", f"{name!r} is used twice")


def _check_cell_values(cell: Cell) -> None:
    if not (math.isfinite(cell.weight) and cell.weight > 0):
        raise CellMapError("cell.weight", f"of {cell.name!r} must be above 0")
    if not (math.isfinite(cell.capacity_weight) and cell.capacity_weight >= 0):
        raise CellMapError("cell.share", f"of {cell.name!r} must not be negative")
    is_bounded = cell.max_endpoints > 0
    below_minimum = is_bounded and cell.max_endpoints < cell.min_endpoints
    if cell.min_endpoints < 0 or cell.max_endpoints < 0 or below_minimum:
        raise CellMapError(
            "cell.most", f"of {cell.name!r} must be 0 or at least {cell.min_endpoints}"
        )


def _check_pinned_once(cells: Collection[Cell], pin_field: str) -> None:
    pinned = [value for cell in cells for value in getattr(cell, pin_field)]
    for value in pinned:
        if pinned.count(value) > 1:
            raise CellMapError(f"cell.{pin_field}", f"{value!r} is named twice")


def _check_tenant(tenant: Tenant, cell_names: Collection[str]) -> None:
    if not tenant.cells or tenant.key not in SPREAD_FIELDS:
        raise CellMapError("tenant.cells", f"of {tenant.name!r} must name a cell")
    if len(tenant.cells) > 1 and not tenant.key:
        raise CellMapError(
            "tenant.key", f"of {tenant.name!r} is needed, since it names several cells"
        )
    for cell_name in tenant.cells:
        if cell_name not in cell_names:
            raise CellMapError("tenant.cell", f"{cell_name!r} of {tenant.name!r} is no cell")


def _check_timeouts(timeouts: MigrationTimeouts) -> None:
    for key, timeout_ns in timeouts.plain().items():
        if timeout_ns < 0:
            raise CellMapError(f"moves.{key}", "must not be negative")


def _is_part_number(text: str) -> bool:
    """Return whether the text is a part number in canonical form, without leading zeros."""
    if not (text.isascii() and text.isdecimal()):
        return False
    return int(text) < BUCKETS and text == str(int(text))


def rendezvous(cell: str, key: str, weight: float) -> float:
    """Return the cost of placing a key in a cell; the cell with the lowest cost gets the key.

    This is weighted rendezvous hashing: cells get keys in proportion to their weights, and the cost
    does not depend on the other cells.
    """
    uniform_value = (xxhash.xxh3_64_intdigest(f"{cell}\0{key}".encode()) + 0.5) / HASH_RANGE
    return -math.log(uniform_value) / weight


def read_cell_map(raw: Mapping[str, Any]) -> CellMap:
    """Read a map from the plain objects that `CellMap.plain` returns.

    Raises:
        CellMapError: The objects are not a map, or the map contradicts itself.
    """
    try:
        cells = tuple(_read_cell(entry) for entry in raw["cells"])
        tenants = {entry["name"]: _read_tenant(entry) for entry in raw["tenants"]}
        epoch = int(raw["epoch"])
        return CellMap(epoch, cells, raw["default"], tenants, timeouts_of(raw["timing"]))
    except CellMapError:
        raise
    except (TypeError, KeyError, ValueError, AttributeError) as error:
        raise CellMapError("map", f"{type(error).__name__}: {error}") from None


def _plain_cell(cell: Cell) -> dict[str, Any]:
    return {CELL_KEYS.get(name, name): value for name, value in asdict(cell).items()}


def _read_cell(raw: Mapping[str, Any]) -> Cell:
    pins = {pin_field: tuple(raw.get(pin_field, ())) for pin_field in PIN_FIELDS}
    fields = {key: name for name, key in CELL_KEYS.items()}
    return Cell(**{fields.get(key, key): value for key, value in {**raw, **pins}.items()})


def _read_tenant(raw: Mapping[str, Any]) -> Tenant:
    return Tenant(raw["name"], tuple(raw["cells"]), raw.get("key", ""))
