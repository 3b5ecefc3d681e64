"""Connections to engines that close, open late or change just when they are needed."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import pytest

from query_broker.discovery.event_codec import parse_event
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.engine_connection import ANSWER_TIMEOUT_NS

from ..protocols.scripted_engines import broker_with_engines, first_pool, silent_engine
from ..support.helpers import MS
from ..support.sockets import (
    STATEMENT,
    TRACE,
    Client,
    Engine,
    RunningBroker,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    target_entry,
    topology_event,
    until,
    within,
)
from .recording_client import Outcome, RecordingClient, parsed_request

pytestmark = pytest.mark.real_time

# Long enough that a connect on a busy machine does not count as late.
LIMITS_WITH_LONG_CONNECT_TIMEOUT = {
    **platform_settings()["policy_limits"],
    "connect_timeout": 800 * MS,
}


class EngineWithFullQueue:
    """An engine whose connections the test accepts one at a time.

    Its accept queue can be filled, so that the next connect does not complete.
    """

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])

    async def accept(self) -> Client:
        """Accept the next connection; a `Client` provides its streams."""
        accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return Client(*await asyncio.open_connection(sock=accepted))

    def fill(self) -> socket.socket:
        """Fill the accept queue with one more connection, until that connection is closed."""
        return socket.create_connection(("127.0.0.1", self.port))


@pytest.fixture
def engine_listener() -> Iterator[EngineWithFullQueue]:
    """An engine that is closed after the test."""
    engine = EngineWithFullQueue()
    yield engine
    engine.listener.close()


@asynccontextmanager
async def broker_with_late_connects(
    engine_listener: EngineWithFullQueue,
) -> AsyncIterator[RunningBroker]:
    """Run a broker with a long connect timeout for this engine."""
    target = target_entry("s-1", engine_listener.port)
    config = make_config(target, policy_limits=LIMITS_WITH_LONG_CONNECT_TIMEOUT)
    async with running(config) as broker:
        yield broker


@on_uvloop
async def test_after_a_stall_the_rest_of_an_answer_is_read_before_it_times_out() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(route="stock-add", patience="20000")
        await until(lambda: engine.commands_named(b"do"))
        answer = resp.encode(TRACE.encode(), b"served", b"chunks=1", b"a\tb\tc\n")
        engine.writers[0].write(answer[:20])
        (connection,) = first_pool(broker).connections
        await until(lambda: connection.parser.buffer)
        descriptor = engine.writers[0].transport.get_extra_info("socket").fileno()
        os.write(descriptor, answer[20:])
        broker.node.clock.unix_offset_ns += 2 * ANSWER_TIMEOUT_NS
        connection.check(broker.node.clock.now())  # the event loop has not run since
        assert (await client.answer())[:2] == (1, frames.SERVED)


@pytest.mark.parametrize("reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("busy", [False, True], ids=["idle", "busy"])
@on_uvloop
async def test_an_attempt_that_meets_a_closed_connection_is_sent_on_a_new_one(
    reset: bool, busy: bool
) -> None:
    """The engine has closed the connection before the attempt is sent, so the attempt never ran.

    The close is still unread when the decisions order the attempt. ``busy``: another attempt is in
    flight on the connection.
    """
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        broker.node.dispatcher.pools.dedicated_connections = not busy
        client = await broker.client()
        client.send_request()
        assert (await client.answer())[1] == frames.SERVED
        if busy:
            engine.script = lambda *_: None
            client.send_request(2, trace="2" * 16)
            await until(lambda: len(engine.commands_named(b"do")) == 2)
            engine.script = Engine.answer_served
        descriptor = engine.writers[0].transport.get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(descriptor)) as engine_side:
            if reset:
                engine_side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                engine.writers[0].transport.abort()
                await until(lambda: engine.writers[0].transport.is_closing())
            engine_side.shutdown(socket.SHUT_RDWR)
        recorder = RecordingClient()
        broker.node.dispatcher.submit(recorder, 1, parsed_request())
        assert await recorder.first_outcome() is Outcome.SERVED
        assert [do[1] for do in engine.commands_named(b"do")].count(b"a" * 16) == 1
        assert len(engine.writers) == 2
        dispatched = next(command for command in engine.commands if command[1] == b"a" * 16)
        assert engine.writer_of(dispatched) is engine.writers[1]


@on_uvloop
async def test_a_late_connect_does_not_eject_an_engine_that_answers(
    engine_listener: EngineWithFullQueue,
) -> None:
    """The engine answers on its other connection meanwhile, which the waiting attempt then uses."""
    async with broker_with_late_connects(engine_listener) as broker:
        client = await broker.client()
        client.send_request(1, trace="1" * 16)
        engine = await within(engine_listener.accept())
        await within(engine.reader.readuntil(STATEMENT))
        with engine_listener.fill():
            client.send_request(2, trace="2" * 16)
            pool = first_pool(broker)
            await until(lambda: pool.waiting_attempts)
            engine.writer.write(resp.encode(b"1" * 16, b"update", b"tell=pct,amount=0.5", b""))
            assert b"2" * 16 in await within(engine.reader.readuntil(STATEMENT))
            for trace in (b"1" * 16, b"2" * 16):
                engine.writer.write(resp.encode(trace, b"served", b"chunks=1", b"a\tb\tc\n"))
            assert {(await client.answer())[:2] for _ in range(2)} == {
                (1, frames.SERVED),
                (2, frames.SERVED),
            }
        assert not next(iter(broker.node.dispatcher.facade.controller.endpoints.values())).ejected


@on_uvloop
async def test_a_failed_connect_ejects_an_engine_that_is_silent(
    engine_listener: EngineWithFullQueue,
) -> None:
    async with broker_with_late_connects(engine_listener) as broker:
        client = await broker.client()
        client.send_request(1, trace="1" * 16)
        engine = await within(engine_listener.accept())
        with engine_listener.fill():
            client.send_request(2, trace="2" * 16)
            assert (await client.answer())[:2] == (2, frames.REFUSED)
        assert next(iter(broker.node.dispatcher.facade.controller.endpoints.values())).ejected
        engine.writer.close()


@on_uvloop
async def test_a_new_incarnation_of_an_engine_at_its_old_address_gets_new_connections() -> None:
    engine = Engine()
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as broker:
        client = await broker.client()
        client.send_request(1, trace="1" * 16)
        assert (await client.answer())[1] == frames.SERVED
        started_ms = broker.node.dispatcher.now() // MS - 60_000
        broker.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-1", port, boot_ms=started_ms)))
        )
        client.send_request(2, trace="2" * 16)
        assert (await client.answer())[1] == frames.SERVED
        assert engine.command_writers[-1] is engine.writers[1]
        assert len(engine.writers) == 2
