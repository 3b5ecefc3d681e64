"""Settings of the test run: which tests may run beside each other."""

from __future__ import annotations

import pytest

#: Files whose tests start processes, open sockets or wait for real time. CI runs them one after
#: the other, so that none takes a core from another; all other tests run over several processes.
REAL_TIME_FILES = frozenset(
    {
        "test_cells_sockets",
        "test_crossings",
        "test_deadlines_sockets",
        "test_door",
        "test_golden_operators",
        "test_lifecycle",
        "test_members_broker",
        "test_members_processes",
        "test_middle",
        "test_operator",
        "test_operator_file",
        "test_retune",
        "test_shares_processes",
        "test_sockets_bus",
        "test_sockets_client",
        "test_sockets_engine",
        "test_start_processes",
        "test_upgrade",
    }
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of `REAL_TIME_FILES`, and those of test_deployments that use sockets."""
    for item in items:
        sockets_within = item.path.stem == "test_deployments" and "no_order" not in item.name
        if item.path.stem in REAL_TIME_FILES or sockets_within:
            item.add_marker(pytest.mark.real_time)
