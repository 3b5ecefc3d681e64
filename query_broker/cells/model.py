"""The cell map: cells, the tenants in them, and the figures that operators set.

Made by the operators' file, told from process to process as plain objects, and never changed in
place.
"""

from __future__ import annotations

import hashlib
import json
import math
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, fields
from typing import Any, Literal

import xxhash

S = 1_000_000_000
BUCKETS = 64  # parts of a tenant that is spread by a field
KEY_FIELDS = ("", "route", "data_set")
Key = Literal["", "route", "data_set"]


class BadMap(ValueError):
    """``key: problem``, in the operators' words."""


@dataclass(frozen=True, slots=True)
class Cell:
    """A part of the fleet. What ``engines``, ``zones`` and ``models`` name is pinned to it; all
    others are placed by hash, weighted. ``least`` and ``most`` bound its ready engines; 0 as
    ``most`` is no bound.
    """

    name: str
    weight: float = 1.0
    engines: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    least: int = 1
    most: int = 0
    share: float = 0.0  # of the broker's room; 0: by weight

    def part(self) -> float:
        return self.share or self.weight


@dataclass(frozen=True, slots=True)
class Tenant:
    """Where a tenant is at home. With ``key`` it is spread over ``cells`` by a digest of that
    field.
    """

    name: str
    cells: tuple[str, ...]
    key: Key = ""


@dataclass(frozen=True, slots=True)
class Timing:
    """How long a move may stay in each stage, in nanoseconds."""

    propose: int = 10 * S  # the target has no ready engine: taken back
    warm: int = 30 * S  # its engines do not get warm: taken back
    settle: int = 1 * S  # it has to be able for so long before the switch
    watch: int = 2 * S  # it has to stay able for so long after the switch
    switched: int = 10 * S  # else, by then: taken back
    drain: int = 60 * S  # what is still open then is closed out
    lost: int = S // 2  # a target without engines for so long gives the tenant back


@dataclass(frozen=True, slots=True)
class CellMap:
    """``epoch`` orders maps: an older one never takes the place of a newer one."""

    epoch: int
    cells: tuple[Cell, ...]
    default: str
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    timing: Timing = Timing()

    def __post_init__(self) -> None:
        if not self.cells:
            raise BadMap("cell: none is named")
        if self.epoch < 0:
            raise BadMap("epoch: must not be negative")
        names = [c.name for c in self.cells]
        for cell in self.cells:
            if (
                not cell.name
                or len(cell.name) > 64
                or not cell.name.isprintable()
                or "/" in cell.name
            ):
                raise BadMap(
                    f"cell.name: {cell.name[:70]!r} is no name (1 to 64 printable characters, no /)"
                )
            if names.count(cell.name) > 1:
                raise BadMap(f"cell.name: {cell.name!r} is used twice")
            if not (math.isfinite(cell.weight) and cell.weight > 0):
                raise BadMap(f"cell.weight: of {cell.name!r} must be above 0")
            if not (math.isfinite(cell.share) and cell.share >= 0):
                raise BadMap(f"cell.share: of {cell.name!r} must not be negative")
            if cell.least < 0 or cell.most < 0 or (cell.most and cell.most < cell.least):
                raise BadMap(f"cell.most: of {cell.name!r} must be 0 or at least {cell.least}")
        for key in ("engines", "zones", "models"):
            named = [value for cell in self.cells for value in getattr(cell, key)]
            for value in named:
                if named.count(value) > 1:
                    raise BadMap(f"cell.{key}: {value!r} is named twice")
        if self.default not in names:
            raise BadMap(f"default_cell: {self.default!r} is no cell")
        for tenant in self.tenants.values():
            if not tenant.cells or tenant.key not in KEY_FIELDS:
                raise BadMap(f"tenant.cells: of {tenant.name!r} must name a cell")
            if len(tenant.cells) > 1 and not tenant.key:
                raise BadMap(
                    f"tenant.key: of {tenant.name!r} is needed, since it names several cells"
                )
            for cell_name in tenant.cells:
                if cell_name not in names:
                    raise BadMap(f"tenant.cell: {cell_name!r} of {tenant.name!r} is no cell")
        for entry in fields(self.timing):
            if getattr(self.timing, entry.name) < 0:
                raise BadMap(f"moves.{entry.name}: must not be negative")

    def cell(self, name: str) -> Cell | None:
        return next((c for c in self.cells if c.name == name), None)

    def subject(self, tenant: str, route: str, data_set: int) -> str:
        """What belongs to one cell: the tenant, or one of the parts it is spread into
        (``tenant#part``).
        """
        rule = self.tenants.get(tenant)
        if rule is None or not rule.key:
            return tenant
        value = route if rule.key == "route" else str(data_set)
        part = xxhash.xxh3_64_intdigest(f"{tenant}\0{value}".encode()) % BUCKETS
        return f"{tenant}#{part}"

    def known(self, subject: str) -> bool:
        """Whether a move may name it: a tenant whole, or a part of one that is spread."""
        tenant, mark, part = subject.rpartition("#")
        rule = self.tenants.get(tenant) if mark else None
        if rule is not None and rule.key:
            return (
                part.isascii()
                and part.isdecimal()
                and int(part) < BUCKETS
                and part == str(int(part))
            )
        rule = self.tenants.get(subject)
        return rule is None or not rule.key

    def home(self, subject: str) -> str:
        """The cell that the map alone gives it."""
        rule = self.tenants.get(subject) or self.tenants.get(subject.rpartition("#")[0])
        if rule is None:
            return self.default
        if len(rule.cells) == 1:
            return rule.cells[0]
        weights = {c.name: c.weight for c in self.cells}
        return min(rule.cells, key=lambda name: (rendezvous(name, subject, weights[name]), name))

    def plain(self) -> dict[str, Any]:
        """As plain objects, for JSON."""
        return {**asdict(self), "tenants": [asdict(t) for t in self.tenants.values()]}

    def digest(self) -> str:
        """Two maps of one epoch with other contents are told apart by it."""
        text = json.dumps(self.plain(), sort_keys=True, default=str)
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def rendezvous(cell: str, key: str, weight: float) -> float:
    """The cost of putting the key into the cell; the least cost of all cells wins. Weighted
    rendezvous hashing: a cell's share of the keys is its share of the weights, whatever the other
    cells are.
    """
    drawn = (xxhash.xxh3_64_intdigest(f"{cell}\0{key}".encode()) + 0.5) / 2.0**64
    return -math.log(drawn) / weight


def from_plain(raw: Mapping[str, Any]) -> CellMap:
    """A map from plain objects; BadMap where they hold none."""
    try:
        cells = tuple(
            Cell(**{**c, **{k: tuple(c.get(k, ())) for k in ("engines", "zones", "models")}})
            for c in raw["cells"]
        )
        tenants = {
            t["name"]: Tenant(t["name"], tuple(t["cells"]), t.get("key", ""))
            for t in raw["tenants"]
        }
        return CellMap(int(raw["epoch"]), cells, raw["default"], tenants, Timing(**raw["timing"]))
    except BadMap:
        raise
    except (TypeError, KeyError, ValueError, AttributeError) as error:
        raise BadMap(f"map: {type(error).__name__}: {error}") from None
