"""The cell map: its validation, its plain form and spread tenants."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from query_broker.cells.model import (
    Cell,
    CellMap,
    CellMapError,
    MigrationTimeouts,
    Tenant,
    read_cell_map,
)

VALID_MAP: dict[str, Any] = {"epoch": 1, "cells": (Cell("a"),), "default": "a", "tenants": {}}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        pytest.param({"cells": ()}, "cell", id="no cell"),
        pytest.param({"cells": (Cell("a"), Cell("a"))}, "cell.name", id="duplicate name"),
        pytest.param({"epoch": -1}, "epoch", id="negative epoch"),
        pytest.param({"cells": (Cell("a", weight=0.0),)}, "cell.weight", id="weight of zero"),
        pytest.param({"cells": (Cell("a/b"),)}, "cell.name", id="slash in a name"),
        pytest.param(
            {"cells": (Cell("a", weight=float("nan")),)},
            "cell.weight",
            id="weight that is no number",
        ),
        pytest.param({"default": "c"}, "default_cell", id="unknown default cell"),
        pytest.param(
            {"cells": (Cell("a", min_endpoints=2, max_endpoints=1),)},
            "cell.most",
            id="minimum above the maximum",
        ),
        pytest.param(
            {"cells": (Cell("a", zones=("z",)), Cell("b", zones=("z",)))},
            "cell.zones",
            id="a zone in two cells",
        ),
        pytest.param(
            {"tenants": {"x": Tenant("x", ("c",))}}, "tenant.cell", id="tenant in an unknown cell"
        ),
        pytest.param(
            {"tenants": {"x": Tenant("x", ("a", "a"))}}, "tenant.key", id="tenant twice in a cell"
        ),
        pytest.param(
            {"timeouts": MigrationTimeouts(warming_ns=-1)},
            "moves.warm",
            id="negative time to warm up",
        ),
    ],
)
def test_an_invalid_map_is_rejected_with_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(CellMapError, match=f"^{key}: "):
        CellMap(**{**VALID_MAP, **change})


@pytest.fixture
def cell_map() -> CellMap:
    """A map that sets every kind of key."""
    return CellMap(
        3,
        (Cell("a", 2.0, ("s-1",), max_endpoints=4), Cell("b", zones=("z",))),
        "b",
        {"x": Tenant("x", ("a", "b"), "route")},
        MigrationTimeouts(warming_ns=5),
    )


def test_a_map_survives_a_round_trip_through_its_plain_form(cell_map: CellMap) -> None:
    assert read_cell_map(cell_map.plain()) == cell_map
    assert read_cell_map(cell_map.plain()).digest() == cell_map.digest()


@pytest.mark.parametrize(
    "corrupt",
    [
        pytest.param(lambda plain: {}, id="empty"),
        pytest.param(lambda plain: {**plain, "cells": 3}, id="cells that are no list"),
        pytest.param(lambda plain: {**plain, "epoch": "x"}, id="epoch that is no number"),
    ],
)
def test_a_malformed_plain_map_is_rejected(
    cell_map: CellMap, corrupt: Callable[[dict[str, Any]], dict[str, Any]]
) -> None:
    with pytest.raises(CellMapError):
        read_cell_map(corrupt(cell_map.plain()))


def test_parts_of_a_spread_tenant_keep_their_cells_if_another_cell_leaves() -> None:
    cells = tuple(Cell(name) for name in "abc")
    cell_map = CellMap(1, cells, "a", {"x": Tenant("x", ("a", "b", "c"), "data_set")})
    parts = {data_set: cell_map.subject("x", "glance", data_set) for data_set in range(200)}
    homes = Counter(cell_map.home(part) for part in parts.values())
    assert set(homes) == set("abc")
    assert min(homes.values()) > 20
    assert cell_map.subject("x", "report", 7) == parts[7]
    assert cell_map.subject("y", "glance", 7) == "y"
    assert cell_map.is_migratable(parts[7])
    assert not cell_map.is_migratable("x")
    assert not cell_map.is_migratable("x#64")
    assert not cell_map.is_migratable("x#07")
    # Without cell c, the parts of the other cells stay where they are.
    smaller_map = CellMap(2, cells, "a", {"x": Tenant("x", ("a", "b"), "data_set")})
    unaffected = [part for part in parts.values() if cell_map.home(part) != "c"]
    assert all(smaller_map.home(part) == cell_map.home(part) for part in unaffected)


def test_only_canonical_part_numbers_can_be_migrated() -> None:
    cells = (Cell("a"), Cell("b"))
    spread = CellMap(1, cells, "a", {"x": Tenant("x", ("a", "b"), "route")})
    known = [
        part
        for part in ("0", "63", "64", "07", "-1", "٣", "", "x")
        if spread.is_migratable(f"x#{part}")
    ]
    assert known == ["0", "63"]
