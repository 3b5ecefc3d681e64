"""Settings of the test run: which tests may run beside each other."""

from __future__ import annotations

import pytest

#: Files whose tests start processes of the broker or wait for real time: they run one after the
#: other, in one worker, so that they take no core from each other.
PROCESS_TESTS = frozenset(
    {
        "test_door",
        "test_members_processes",
        "test_shares_processes",
        "test_start_processes",
        "test_upgrade",
    }
)


@pytest.hookimpl(tryfirst=True)  # xdist reads the groups in the same hook
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Keep each file's tests together, and those that start processes in one group."""
    for item in items:
        name = item.path.stem
        group = "processes" if name in PROCESS_TESTS else name
        if name == "test_deployments":
            group = f"{name}:{item.name}"  # pure, and long: each by itself
        item.add_marker(pytest.mark.xdist_group(group))
