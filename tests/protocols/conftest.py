"""Fixtures of the protocols' tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from .closed_ports import ClosedPorts


@pytest.fixture
def closed_ports() -> Iterator[ClosedPorts]:
    """Ports that refuse connects until the end of the test."""
    ports = ClosedPorts()
    yield ports
    ports.release()
