"""Answers of engines that are late, malformed, incomplete or belong to another attempt."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..support.sockets import MS, TRACE, Engine, on_uvloop, platform_settings, until
from .scripted_engines import broker_with_engines

pytestmark = pytest.mark.real_time

ONE_ROW = b"1\ta\tb\n"
COMPLETE_ANSWER = resp.encode(TRACE.encode(), b"served", b"chunks=1", ONE_ROW)


@pytest.mark.parametrize(
    "data",
    [
        COMPLETE_ANSWER * 2,
        resp.encode(b"f" * 16, b"served", b"chunks=9", ONE_ROW) + COMPLETE_ANSWER,
        resp.encode(b"f" * 16, b"rows", b"at=x", ONE_ROW) + COMPLETE_ANSWER,
        resp.encode(b"f" * 16, b"crashed", b"-", b"") + COMPLETE_ANSWER,
        resp.encode(b"probe-1", b"green", b"-", b"") * 2 + COMPLETE_ANSWER,
    ],
    ids=[
        "a second answer",
        "an unknown id",
        "an unknown page",
        "an unknown failure",
        "a health check answered twice",
    ],
)
@on_uvloop
async def test_a_repeated_or_unsolicited_answer_is_dropped_and_its_connection_kept(
    data: bytes,
) -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(data.replace(TRACE.encode(), parts[1]))

    engine = Engine(script)
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        for stream in (1, 2):
            client.send_request(stream=stream, trace=f"{stream:016x}")
            assert (await client.answer())[1:] == (frames.SERVED, {}, ONE_ROW)
        assert len(engine.writers) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"*4\r\n$16\r\n" + TRACE.encode() + b"\r\n$6\r\nserved\r\n$8\r\nchunks=1\r\n$40\r\n1\ta",
        b"*4\r\n$16\r\n",
        b"*",
    ],
    ids=["in the body", "after the id", "after a byte"],
)
@on_uvloop
async def test_an_incomplete_answer_ends_only_its_own_connection(data: bytes) -> None:
    received_ids: list[bytes] = []

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        received_ids.append(parts[1])
        if len(received_ids) == 2:
            writer.write(data)
        elif len(received_ids) > 2:
            engine.answer_served(parts, writer)

    engines = [Engine(script), Engine(script)]
    # The first attempt stays unanswered during the test. With a shorter latency objective, this
    # alone would make its engine an outlier.
    slow_classes = [
        {**request_class, "aim": 5_000 * MS} for request_class in platform_settings()["classes"]
    ]
    async with broker_with_engines(*engines, first_number=0, classes=slow_classes) as broker:
        client = await broker.client()
        client.send_request(
            stream=1, route="stock-add", patience="20000", trace="1" * 16, weight="1.0"
        )
        await until(lambda: len(received_ids) == 1)
        client.send_request(stream=2, patience="4000")
        # The request is retried well before its timeout.
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert received_ids == [b"1" * 16, TRACE.encode(), TRACE.encode()]
        endpoints = broker.node.dispatcher.facade.controller.endpoints.values()
        # A malformed answer does not count as a failure of the engine.
        assert not any(endpoint.ejected or endpoint.failure_rate for endpoint in endpoints)
        first_engine, first_command = next(
            (engine, command)
            for engine in engines
            for command in engine.commands_named(b"do")[:1]
            if command[1] == received_ids[0]
        )
        first_engine.answer_served(first_command, first_engine.writer_of(first_command))
        assert (await client.answer())[:2] == (1, frames.SERVED)  # sent on another connection


@on_uvloop
async def test_complete_answers_before_a_malformed_one_are_used() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(resp.encode(parts[1], b"served", b"chunks=1", b"1\ta\tb\n") + b"-ERR\r\n")

    engine = Engine(script)
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(route="stock-add", patience="20000")
        assert await client.answer() == (1, frames.SERVED, {}, b"1\ta\tb\n")
        pools = broker.node.dispatcher.pools.by_number.values()
        await until(lambda: not any(pool.connections for pool in pools))


class ReceivedCommand(NamedTuple):
    """A command that an engine has received, and the writer of the connection."""

    request_id: bytes
    writer: asyncio.StreamWriter


@on_uvloop
async def test_a_hedged_request_is_answered_and_the_late_first_answer_is_dropped() -> None:
    received: list[ReceivedCommand] = []

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        received.append(ReceivedCommand(parts[1], writer))
        if len(received) > 1:  # the engine of the first attempt stays silent
            engine.answer_served(parts, writer)

    engines = [Engine(script), Engine(script)]
    limits = {
        "cancel": False,
        "second_copies": True,
        "send_cap": 5,
        "retry_after": True,
        "max_retry_after": 2_000 * MS,
    }
    async with broker_with_engines(*engines, policy_limits=limits) as broker:
        client = await broker.client()
        client.send_request(stream=1, weight="1.0")
        assert (await client.answer())[:2] == (1, frames.SERVED)
        first = received[0]
        first.writer.write(resp.encode(first.request_id, b"served", b"chunks=2", b"late\ta\tb\n"))
        (first_engine,) = (engine for engine in engines if first.writer in engine.writers[:1])
        await until(lambda: first_engine.commands_named(b"forget"))
        client.send(frames.ASK_READY, 0, b"\0")
        assert (await client.frame())[0] == frames.READY  # no second answer was sent before it
        assert len(received) == 3
        assert not broker.node.dispatcher.requests


@on_uvloop
async def test_a_late_page_is_not_added_to_a_later_request_with_the_same_id() -> None:
    """A client repeats its request with the same id right after the timeout, while a page of the
    first run is still in transit. Appending this page to the first page of the second run would
    produce a result that no engine has computed.
    """

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        runs = engine.commands_named(b"do")
        if parts[0] == b"do":
            writer.write(
                resp.encode(parts[1], b"served", b"chunks=2", b"%d\trun\tpage 0\n" % len(runs))
            )
        elif parts[0] == b"page" and len(runs) == 2:
            first_run_writer = engine.writer_of(runs[0])
            first_run_writer.write(resp.encode(parts[1], b"rows", b"at=1", b"1\trun\tpage 1\n"))
            writer.write(resp.encode(parts[1], b"rows", b"at=1", b"2\trun\tpage 1\n"))

    engine = Engine(script)
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        other_client = await broker.client()
        client.send_request(1, patience="300")
        assert (await client.answer())[1] != frames.SERVED
        other_client.send_request(2)
        _, code, _, body = await other_client.answer()
        assert code != frames.SERVED or body == b"2\trun\tpage 0\n2\trun\tpage 1\n"


@on_uvloop
async def test_pages_of_two_runs_with_the_same_id_are_not_mixed_in_one_answer() -> None:
    """The engine identifies pages by the request id alone: the run that ends later overwrites the
    pages of the other run.
    """

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        runs = engine.commands_named(b"do")
        if parts[0] == b"do" and len(runs) >= 2:
            writer.write(
                resp.encode(parts[1], b"served", b"chunks=2", b"%d\trun\tpage 0\n" % len(runs))
            )
        elif parts[0] == b"page":
            writer.write(resp.encode(parts[1], b"rows", b"at=1", b"1\trun\tpage 1\n"))

    engine = Engine(script)
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        other_client = await broker.client()
        client.send_request(1, patience="1500")
        await until(lambda: engine.commands_named(b"do"))
        other_client.send_request(2, patience="1000")
        _, code, _, body = await other_client.answer()
        assert code != frames.SERVED or len(set(body.split(b"\n"))) == 1


@on_uvloop
async def test_two_requests_with_the_same_id_do_not_receive_each_other_s_pages() -> None:
    """As observed: the engine answers both runs within a millisecond, with results of different
    lengths.
    """

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        runs = engine.commands_named(b"do")
        if parts[0] == b"do" and len(runs) == 2:
            for run, chunks in ((2, 3), (1, 2)):
                engine.writer_of(runs[run - 1]).write(
                    resp.encode(
                        parts[1], b"served", b"chunks=%d" % chunks, b"%d\trun\tpage\n" % run
                    )
                )
        elif parts[0] == b"page":  # found by the id alone: always a page of the second run
            writer.write(resp.encode(parts[1], b"rows", b"at=" + parts[2], b"2\trun\tpage\n"))

    engine = Engine(script)
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        other_client = await broker.client()
        client.send_request(1, patience="1500")
        await until(lambda: engine.commands_named(b"do"))
        other_client.send_request(2, patience="1500")
        for receiver in (client, other_client):
            _, code, _, body = await receiver.answer()
            assert code != frames.SERVED or len({row[:1] for row in body.splitlines()}) == 1
