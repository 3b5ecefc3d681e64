"""Golden form of the queries that an engine reads."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ...support.sockets import Engine, make_config, on_uvloop, running, target_entry, until
from .client_exchanges import REQUEST
from .engine_connections import NOW, REQUEST_ID, ConnectedEngine, make_attempt


@pytest.mark.parametrize(
    ("fields", "wire"),
    [
        pytest.param(
            {},
            (
                b"*4\r\n"
                b"$2\r\n"
                b"do\r\n"
                b"$16\r\n"
                b"9b1f03aa5c7e2d41\r\n"
                b"$21\r\n"
                b"cls=glance,limit=4000\r\n"
                b"$8\r\n"
                b"SELECT 1\r\n"
            ),
            id="plain",
        ),
        pytest.param(
            {"idempotency_key": "k-1"},
            (
                b"*4\r\n"
                b"$2\r\n"
                b"do\r\n"
                b"$16\r\n"
                b"9b1f03aa5c7e2d41\r\n"
                b"$31\r\n"
                b"cls=glance,limit=4000,nonce=k-1\r\n"
                b"$8\r\n"
                b"SELECT 1\r\n"
            ),
            id="with an idempotency key",
        ),
        pytest.param(
            {"memory_mb": 96},
            (
                b"*4\r\n"
                b"$2\r\n"
                b"do\r\n"
                b"$16\r\n"
                b"9b1f03aa5c7e2d41\r\n"
                b"$32\r\n"
                b"cls=glance,limit=4000,reserve=96\r\n"
                b"$8\r\n"
                b"SELECT 1\r\n"
            ),
            id="with a memory reserve",
        ),
        pytest.param(
            {"priority": 2},
            (
                b"*4\r\n"
                b"$2\r\n"
                b"do\r\n"
                b"$16\r\n"
                b"9b1f03aa5c7e2d41\r\n"
                b"$29\r\n"
                b"cls=glance,limit=4000,level=2\r\n"
                b"$8\r\n"
                b"SELECT 1\r\n"
            ),
            id="with a priority",
        ),
        pytest.param(
            {"idempotency_key": "k-1", "memory_mb": 96, "priority": 0},
            (
                b"*4\r\n"
                b"$2\r\n"
                b"do\r\n"
                b"$16\r\n"
                b"9b1f03aa5c7e2d41\r\n"
                b"$50\r\n"
                b"cls=glance,limit=4000,nonce=k-1,reserve=96,level=0\r\n"
                b"$8\r\n"
                b"SELECT 1\r\n"
            ),
            id="with all",
        ),
        pytest.param(
            {"statement": b"SELECT\r\n1"},
            (
                b"*4\r\n"
                b"$2\r\n"
                b"do\r\n"
                b"$16\r\n"
                b"9b1f03aa5c7e2d41\r\n"
                b"$21\r\n"
                b"cls=glance,limit=4000\r\n"
                b"$9\r\n"
                b"SELECT\r\n"
                b"1\r\n"
            ),
            id="a statement with line ends",
        ),
    ],
)
def test_a_query_is_sent_as_these_bytes(
    engine: ConnectedEngine, fields: dict[str, Any], wire: bytes
) -> None:
    engine.send(make_attempt(**fields))
    assert engine.read() == wire


def test_a_query_whose_time_is_all_but_over_gets_one_millisecond(engine: ConnectedEngine) -> None:
    attempt = make_attempt()
    attempt.deadline_ns = NOW + 10
    engine.send(attempt)
    assert engine.read() == (
        b"*4\r\n"
        b"$2\r\n"
        b"do\r\n"
        b"$16\r\n"
        b"9b1f03aa5c7e2d41\r\n"
        b"$18\r\n"
        b"cls=glance,limit=1\r\n"
        b"$8\r\n"
        b"SELECT 1\r\n"
    )


@pytest.mark.real_time
@on_uvloop
async def test_a_broker_adds_its_fields_to_a_query_in_this_order() -> None:
    """The settings heed memory and priorities, so that the broker adds both."""
    scripted_engine = Engine(lambda engine, parts, writer: None)
    async with running(make_config(target_entry("s-1", await scripted_engine.start()))) as broker:
        reader, writer = await asyncio.open_connection("127.0.0.1", broker.port)
        writer.write(REQUEST)
        await until(lambda: scripted_engine.commands_named(b"do"))
        writer.close()
    (query,) = scripted_engine.commands_named(b"do")
    assert [query[0], query[1], query[3]] == [b"do", REQUEST_ID, b"SELECT 1"]
    names = [pair.partition(b"=")[0] for pair in query[2].split(b",")]
    assert names == [b"cls", b"limit", b"reserve", b"level"]
