"""Fixtures of the stored forms."""

from __future__ import annotations

import pytest

from query_broker.cells.node import CellNode

from .cells import make_cell_node


@pytest.fixture
def cell_node() -> CellNode:
    """As much of a node with cells as its part of the status file needs."""
    return make_cell_node()
