"""The backoff before the watch client reconnects."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ..support.sockets import free_port, make_config, on_uvloop, running

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_brokers_that_lose_the_service_at_once_reconnect_at_different_times() -> None:
    waits: list[float] = []
    for seed in range(6):
        async with running(replace(make_config(bus=free_port()), seed=seed)) as broker:
            assert broker.node.watch_client is not None
            broker.node.watch_client._connect_after = waits.append  # type: ignore[method-assign, assignment]
            broker.node.watch_client.backoff_s = 0.4
            broker.node.watch_client._reconnect()
    assert len(set(waits[-6:])) > 3
    assert all(0.2 <= wait <= 0.4 for wait in waits)
