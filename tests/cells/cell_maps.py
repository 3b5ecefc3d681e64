"""Builders of cell maps and endpoints for tests without sockets."""

from __future__ import annotations

from typing import Any

from query_broker.cells.model import Cell, CellMap, Tenant
from query_broker.cells.placement import PlacedEndpoint


def make_cell_map(
    *names: str, epoch: int = 1, tenants: dict[str, str] | None = None, **changes: Any
) -> CellMap:
    """A map of these cells (default a and b), the first of which is the default cell.

    ``tenants`` gives the cell of each tenant (default: tenant x in cell a).
    """
    cells = tuple(Cell(name) for name in names or ("a", "b"))
    cell_by_tenant = tenants or {"x": "a"}
    tenant_table = {tenant: Tenant(tenant, (cell,)) for tenant, cell in cell_by_tenant.items()}
    return CellMap(epoch, cells, cells[0].name, tenant_table, **changes)


def endpoints_seen(
    *uids: str, ready: bool = True, zone: str = "z", model: str = "m"
) -> list[PlacedEndpoint]:
    """Endpoints with these uids and otherwise equal values."""
    return [PlacedEndpoint(uid, zone, model, ready) for uid in uids]
