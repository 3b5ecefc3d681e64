"""Retries with an idempotency key that are still on their way when the engines forget the key."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..protocols.scripted_engines import EngineForLargeStatements
from ..support.sockets import (
    MS,
    Client,
    Engine,
    RunningBroker,
    on_uvloop,
    platform_settings,
    target_entry,
    until,
)
from .deadline_brokers import (
    LARGE_STATEMENT,
    broker_with_engine_ports,
    change_endpoint,
    engine_connections,
    request_id,
)
from .slow_engine import SlowEngine, slow_engine

pytestmark = pytest.mark.real_time

TEST_TIMEOUT_S = 15.0
WINDOW_S = 1.0
ROWS = b"a\tb\tc\n"
ID_1 = request_id(1).encode()
CLASSES: list[dict[str, Any]] = [
    {
        "name": "load",
        "aim": 500 * MS,
        "deadline": 8_000 * MS,
        "worth": 1.0,
        "effect": "idempotency_key",
        "group": "all",
        "window": int(WINDOW_S * 1_000) * MS,
    }
]
POLICY_LIMITS = platform_settings()["policy_limits"]
CANCEL_LIMITS = {**POLICY_LIMITS, "cancel": True}
#: The broker's system takes all of it, while a part does not fit into the engine's buffer.
BUFFERED_STATEMENT = b"SELECT 1 FROM sales_17.orders /* " + b"x" * 15_000 + b" */"
SMALL_STATEMENT = b"SELECT 1 FROM sales_17.orders"


class Retry(NamedTuple):
    """A load that may have run at one engine, and has been sent to a second one that is slow."""

    broker: RunningBroker
    client: Client
    slow: SlowEngine
    began_s: float

    async def pass_window(self) -> None:
        """Wait until the engines have forgotten the key."""
        await asyncio.sleep(max(0.0, self.began_s + 1.2 * WINDOW_S - time.monotonic()))


@asynccontextmanager
async def retried_load(statement: bytes, limits: dict[str, Any]) -> AsyncIterator[Retry]:
    """Send a load; its first engine takes it and ends the connection without an answer."""
    began_s: list[float] = []

    def take_and_end(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            began_s.append(time.monotonic())
            change_endpoint(broker, 2, target_entry("s-2", slow.port))
            writer.close()

    first = EngineForLargeStatements(take_and_end)
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        slow_engine() as slow,
        broker_with_engine_ports(
            await first.start(), classes=CLASSES, policy_limits=limits
        ) as broker,
    ):
        client = await broker.client()
        client.send_request(
            1,
            body=statement,
            trace=request_id(1),
            patience="8000",
            route="load",
            weight="1.0",
            nonce="5c0f6e1a2b3d4c59",
        )
        await until(lambda: engine_connections(broker) and slow_attempts(broker, slow))
        yield Retry(broker, client, slow, began_s[0])


def slow_attempts(broker: RunningBroker, slow: SlowEngine) -> list[Any]:
    """Return the attempts in flight at the slow engine of which a byte has been sent."""
    return [
        attempt
        for pool in broker.node.dispatcher.pools.by_number.values()
        if pool.target.port == slow.port
        for connection in pool.connections
        for attempt in connection.in_flight.values()
        if attempt.write_started
    ]


@pytest.mark.parametrize("limits", [POLICY_LIMITS, CANCEL_LIMITS], ids=["no undo", "undo"])
@pytest.mark.parametrize(
    "statement", [LARGE_STATEMENT, BUFFERED_STATEMENT], ids=["partly written", "in the send buffer"]
)
@on_uvloop
async def test_a_retry_does_not_arrive_after_the_engines_have_forgotten_its_key(
    statement: bytes, limits: dict[str, Any]
) -> None:
    # Guards against a load that is applied twice, since its retry becomes complete after a
    # partition that is longer than the window of the key.
    async with retried_load(statement, limits) as retry:
        await retry.pass_window()
        await retry.slow.read_rounds(50)
        assert retry.slow.request_ids() == []
        assert (await retry.client.answer())[:2] == (1, frames.REFUSED)  # the group is "all"
        await until(lambda: not retry.broker.node.dispatcher.requests)


@pytest.mark.parametrize("statement", [LARGE_STATEMENT, SMALL_STATEMENT])
@on_uvloop
async def test_a_retry_that_has_arrived_within_the_window_is_served_after_it(
    statement: bytes,
) -> None:
    # Guards against retries that are given up although their engine runs them.
    async with retried_load(statement, POLICY_LIMITS) as retry:
        await retry.slow.read_until(retry.slow.requests)
        await retry.pass_window()
        next(iter(retry.slow.buffers)).send(resp.encode(ID_1, b"served", b"chunks=1", ROWS))
        assert (await retry.client.answer())[:2] == (1, frames.SERVED)
        assert retry.slow.request_ids() == [ID_1]
