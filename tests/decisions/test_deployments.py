"""Features of single deployments, on real sockets: idempotency keys and progress messages."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from query_broker.config import parse
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster, broker_config
from query_broker.emulator.data_engine import IdempotencyKeyStore, SlowRuns, keys_run_twice
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..support import deployments
from ..support.deployments import MS, S
from ..support.sockets import (
    Client,
    Engine,
    RunningBroker,
    make_config,
    on_uvloop,
    running,
    target_entry,
    until,
)
from .dispatcher_harness import IDEMPOTENCY_KEY

pytestmark = pytest.mark.real_time


def send_load(
    client: Client, stream: int = 1, idempotency_key: str | None = IDEMPOTENCY_KEY
) -> None:
    client.send_request(
        stream=stream,
        route="load",
        patience="20000",
        customer=None,
        trace=f"{stream:016x}",
        nonce=idempotency_key,
    )


def crash_first_attempt(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Fail the first request that the engine gets, and serve all others."""
    if parts[0] != b"do":
        return
    if len(engine.commands_named(b"do")) == 1:
        writer.write(resp.encode(parts[1], b"crashed", b"-", b""))
    else:
        writer.write(resp.encode(parts[1], b"served", b"-", b"a\tb\tc\n"))


@on_uvloop
async def test_idempotency_key_is_sent_with_every_attempt_and_only_if_the_client_sent_one() -> None:
    one = Engine(crash_first_attempt)
    other = Engine()
    targets = [target_entry("s-1", await one.start()), target_entry("s-2", await other.start())]
    async with running(make_config(*targets, **deployments.WAREHOUSE)) as broker:
        client = await broker.client()
        for stream in range(1, 20):
            send_load(client, stream)
            assert (await client.answer())[1] == frames.SERVED
            if one.commands_named(b"do"):
                break
        attempts = one.commands_named(b"do") + other.commands_named(b"do")
        for attempt in attempts:
            assert resp.read_pairs(attempt[2])["nonce"] == IDEMPOTENCY_KEY
        assert len(attempts) == stream + 1  # one of them was retried, with the same key
        client.send_request(stream=50, customer=None, trace="a" * 16)
        assert (await client.answer())[1] == frames.SERVED
        commands = one.commands + other.commands
        unkeyed = [parts for parts in commands if parts[1] == b"a" * 16]
        assert [resp.read_pairs(parts[2]).get("nonce") for parts in unkeyed] == [None]


@on_uvloop
async def test_request_with_an_invalid_idempotency_key_fails_without_harm_to_the_next() -> None:
    engine = Engine()
    config = make_config(target_entry("s-1", await engine.start()), **deployments.WAREHOUSE)
    async with running(config) as broker:
        client = await broker.client()
        for stream, idempotency_key in enumerate((None, "", "a,level=3", ","), 1):
            send_load(client, stream, idempotency_key)
            assert (await client.answer())[:2] == (stream, frames.FAILED)
        send_load(client, 9, idempotency_key="a=b;c:d -")
        assert (await client.answer())[:2] == (9, frames.SERVED)
        forwarded = [resp.read_pairs(do[2])["nonce"] for do in engine.commands_named(b"do")]
        assert forwarded == ["a=b;c:d -"]


PROGRESS_MESSAGES = (
    b"tell=pct,amount=0.4",
    b"tell=overflow,amount=12.5",
    b"tell=queued,amount=2",
    b"-",
    b"tell=odd,amount=1",
    b"tell=pct,amount=nan",
    b"tell=pct,amount=x",
    b"\xff",
    b"noise",
)


def count_events(broker: RunningBroker) -> Counter[str]:
    """Count the events that a node's controller handles from now on, by type."""
    counts: Counter[str] = Counter()
    controller = broker.node.dispatcher.facade.controller
    handle = controller.handle

    def count_and_handle(now_ns: int, event: Any) -> Any:
        counts[type(event).__name__] += 1
        return handle(now_ns, event)

    controller.handle = count_and_handle  # type: ignore[method-assign]
    return counts


@on_uvloop
async def test_progress_messages_end_no_attempt_and_reach_the_decisions_at_a_limited_rate() -> None:
    engine = Engine(lambda *_: None)
    config = make_config(target_entry("s-1", await engine.start()), **deployments.WAREHOUSE)
    async with running(config) as broker:
        client = await broker.client()
        send_load(client)
        await until(lambda: engine.commands_named(b"do"))
        (do,) = engine.commands_named(b"do")
        event_counts = count_events(broker)
        writer = engine.writer_of(do)
        for message in PROGRESS_MESSAGES:
            writer.write(resp.encode(do[1], b"update", message, b""))
        for _ in range(1_000):
            writer.write(resp.encode(do[1], b"update", b"tell=pct,amount=0.5", b""))
        # A progress message about an attempt that has ended.
        writer.write(resp.encode(b"f" * 16, b"update", b"tell=pct,amount=0.5", b""))
        engine.answer_served(do, writer)
        assert (await client.answer())[1] == frames.SERVED
        assert 3 <= event_counts["AttemptProgress"] <= 30
        assert not [line for line in broker.logged if line.startswith("engine")]


async def send_loads_and_lookups(cluster: EmulatedCluster, port: int) -> RequestLog:
    """Send a mix of requests while one engine fails and another one drains."""
    request_log = RequestLog("127.0.0.1", port)
    for number in range(200):
        is_load = number % 4 == 0
        await request_log.send_request(
            "",
            "load" if is_load else "glance",
            20,
            4_000 * MS,
            rows=1 if is_load else 900,
            idempotency_key=f"{number:032x}" if is_load else "",
        )
        if number == 60:
            cluster.terminate("s-1")
        if number == 120:
            cluster.drain("s-2")
        await asyncio.sleep(0.003)
    await request_log.wait_until_idle(10)
    request_log.close()
    return request_log


@on_uvloop
async def test_loads_with_keys_run_once_while_engines_fail_drain_and_run_slowly() -> None:
    """Combines all engine features of the second deployment; the engines' ledgers are checked."""
    cluster = EmulatedCluster(
        honours_cancel=True,
        key_store=IdempotencyKeyStore(20 * S),
        progress_interval_ns=50 * MS,
        slow_runs=SlowRuns(0.1, 15.0),
    )
    await cluster.start("s-1", "s-2", "s-3", "s-4")
    raw = broker_config(cluster, "127.0.0.1:1", **deployments.WAREHOUSE)
    async with running(parse(raw, {})) as broker:
        request_log = await send_loads_and_lookups(cluster, broker.port)
    cluster.stop()
    engines = list(cluster.engines.values())
    records = request_log.records
    assert not [record for record in records if record.answer_count != 1]
    assert not request_log.unmatched_answers
    assert sum(record.code == frames.SERVED for record in records) > 180
    assert not keys_run_twice(engines)
    assert cluster.queries_after_drain(550 * MS) == 0
    load_runs = [
        run for engine in engines for run in engine.machine.ledger if run.request_class == b"load"
    ]
    assert {run.idempotency_key for run in load_runs} <= {
        record.idempotency_key for record in records
    }
