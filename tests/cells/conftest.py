"""Fixtures of the tests of migrations."""

from __future__ import annotations

import pytest

from query_broker.cells.migration_log import MigrationLog

from .cell_maps import make_cell_map
from .simulated_migrations import SimulatedCluster


@pytest.fixture
def cluster() -> SimulatedCluster:
    """A cluster of cells a, b and c with two ready endpoints each and no open requests."""
    return SimulatedCluster()


@pytest.fixture
def migration_log() -> MigrationLog:
    """The migration log of process p1 for cells a and b; tenant x is in a."""
    return MigrationLog(make_cell_map(), "p1")


@pytest.fixture
def migration_log_of_three_cells() -> MigrationLog:
    """The migration log of process p1 for cells a, b and c; tenant x is in a."""
    return MigrationLog(make_cell_map("a", "b", "c"), "p1")
