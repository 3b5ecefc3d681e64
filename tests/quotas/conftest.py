"""Fixtures: the services of shared limits and outlier consensus on a fake node."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from query_broker.outlier_consensus.service import OutlierConsensusService
from query_broker.outlier_consensus.settings import OutlierConsensusSettings
from query_broker.quotas.service import QuotaService

from .fake_node import SETTINGS, FakeMembership, FakeNode


@pytest.fixture
def node() -> FakeNode:
    return FakeNode()


@pytest.fixture
def quotas(node: FakeNode) -> QuotaService:
    """Return the service after its broker was elected leader and got a lease."""
    service = QuotaService(cast(Any, node), cast(Any, FakeMembership()), SETTINGS)
    node.run(7)
    for _ in range(8):
        for _ in range(50):
            request = cast(Any, SimpleNamespace(tenant="acme", estimate_ms=1.0))
            node.extensions.observers[0].request_arrived(request, node.now_ns)
        node.run(1)
    return service


@pytest.fixture
def consensus(node: FakeNode) -> OutlierConsensusService:
    return OutlierConsensusService(
        cast(Any, node), cast(Any, FakeMembership()), OutlierConsensusSettings()
    )
