"""The timers of the decisions of each cell: control periods, final answers, and their tables."""

from __future__ import annotations

import asyncio
import time

import pytest

from query_broker.protocols import client_frames as frames

from ..support.sockets import MS, Engine, RunningBroker, on_uvloop, until
from .cell_brokers import broker_with_two_cells, cell_router, send_request, two_cells

pytestmark = pytest.mark.real_time

LOOKUP_TIMEOUT_MS = 4_000
#: A final answer that is later than this after its deadline counts as lost.
LOST_AFTER_S = 0.5
HANG_S = 14.0
LOOKUPS_PER_TENANT = 16
TENANT_NAMES = ("acme", "beta")
LATE_ANSWER_S = 1.5
LOAD_S = 4.0
#: Three control periods of one second.
MIN_PERIODS_NS = 3_000 * MS


def period_ends(broker: RunningBroker) -> dict[str, int]:
    """Return when the control period of each cell ends."""
    facades = cell_router(broker).facades
    return {cell: facade.controller.clock.period_due_ns for cell, facade in facades.items()}


def timer_counts(broker: RunningBroker) -> dict[str, int]:
    """Return how many timers the decisions of each cell have set."""
    facades = cell_router(broker).facades
    return {cell: len(facade.controller.orders.timers) for cell, facade in facades.items()}


def bounds(broker: RunningBroker) -> dict[int, float]:
    """Return the bound on the outstanding work of each engine, in thread-nanoseconds."""
    return {
        number: bound_ns
        for facade in cell_router(broker).facades.values()
        for number, (_, bound_ns) in facade.quotas_and_bounds().items()
    }


def answer_late(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Serve a query later than any latency objective of the settings."""
    if parts[0] == b"do":
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_ANSWER_S, engine.answer_served, parts, writer)


@on_uvloop
async def test_the_control_period_of_each_cell_ends_and_its_bounds_move() -> None:
    # Guards against timers of a cell's decisions that never fire.
    engines = [Engine(answer_late), Engine(answer_late)]
    async with broker_with_two_cells(two_cells(), *engines) as broker:
        client = await broker.client()
        first_bounds = bounds(broker)
        first_ends = period_ends(broker)
        assert len(first_bounds) == len(engines)
        begin_s = time.monotonic()
        stream = 0
        while time.monotonic() - begin_s < LOAD_S:
            for _ in range(LOOKUPS_PER_TENANT):
                for tenant in TENANT_NAMES:
                    stream += 1
                    send_request(client, stream, tenant, weight="200", patience="5000")
            for _ in range(LOOKUPS_PER_TENANT * len(TENANT_NAMES)):
                await client.answer()
        ends = period_ends(broker)
        assert all(ends[cell] > first_ends[cell] + MIN_PERIODS_NS for cell in ends)
        moved_bounds = bounds(broker)
        assert all(moved_bounds[number] < first_bounds[number] for number in first_bounds)


@on_uvloop
async def test_lookups_at_engines_that_hang_are_answered_in_time_in_each_cell() -> None:
    # Guards against timers of a cell's decisions that never fire: no answer at the deadline, and
    # the timers of ended requests pile up.
    engines = [Engine(), Engine()]
    async with broker_with_two_cells(two_cells(), *engines) as broker:
        client = await broker.client()
        for stream, tenant in enumerate(TENANT_NAMES, 1):
            send_request(client, stream, tenant)
            assert (await client.answer())[1] == frames.SERVED
        await until(lambda: max(timer_counts(broker).values()) <= 2)
        hang_begin_s = time.monotonic()
        for engine in engines:
            engine.script = lambda *_: None
        stream = len(TENANT_NAMES)
        sent_s = time.monotonic()
        for _ in range(LOOKUPS_PER_TENANT // 2):
            for tenant in TENANT_NAMES:
                stream += 1
                timeout = str(LOOKUP_TIMEOUT_MS)
                send_request(client, stream, tenant, weight="600", patience=timeout)
        for _ in range(LOOKUPS_PER_TENANT):
            await client.answer()
            assert time.monotonic() - sent_s < LOOKUP_TIMEOUT_MS / 1_000 + LOST_AFTER_S
        await asyncio.sleep(max(0.0, hang_begin_s + HANG_S - time.monotonic()))
        await until(lambda: not broker.node.dispatcher.requests)
        await until(lambda: max(timer_counts(broker).values()) <= 2)
