"""Connections to engines that close, come up late or change just as they are needed."""

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
    Rig,
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

# Long enough that a busy machine does not pass for a late connect.
LIMITS_WITH_LONG_CONNECT_TIMEOUT = {
    **platform_settings()["policy_limits"],
    "connect_timeout": 800 * MS,
}


class EngineWithFullQueue:
    """An engine that accepts connections one at a time, by hand, and whose queue can be filled so
    that the next connect does not complete.
    """

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])

    async def accept(self) -> Client:
        """Accept the next connection; the client's streams serve the engine's side as well."""
        accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return Client(*await asyncio.open_connection(sock=accepted))

    def fill(self) -> socket.socket:
        """Fill the queue with one more connection, until that is closed."""
        return socket.create_connection(("127.0.0.1", self.port))


@pytest.fixture
def engine_listener() -> Iterator[EngineWithFullQueue]:
    """An engine that is closed once the test is over."""
    engine = EngineWithFullQueue()
    yield engine
    engine.listener.close()


@asynccontextmanager
async def broker_with_late_connects(engine_listener: EngineWithFullQueue) -> AsyncIterator[Rig]:
    """Run a broker that waits long for connects to this engine."""
    target = target_entry("s-1", engine_listener.port)
    config = make_config(target, policy_limits=LIMITS_WITH_LONG_CONNECT_TIMEOUT)
    async with running(config) as rig:
        yield rig


@on_uvloop
async def test_a_broker_that_stood_still_reads_the_rest_of_an_answer_before_calling_it_cut() -> (
    None
):
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask(route="stock-add", patience="20000")
        await until(lambda: engine.commands_named(b"do"))
        answer = resp.encode(TRACE.encode(), b"served", b"chunks=1", b"a\tb\tc\n")
        engine.writers[0].write(answer[:20])
        (connection,) = first_pool(rig).connections
        await until(lambda: connection.parser.buffer)
        descriptor = engine.writers[0].transport.get_extra_info("socket").fileno()
        os.write(descriptor, answer[20:])
        rig.node.clock.anchor += 2 * ANSWER_TIMEOUT_NS
        connection.check(rig.node.clock.now())  # the loop has had no turn since
        assert (await client.answer())[:2] == (1, frames.SERVED)


@pytest.mark.parametrize("reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("busy", [False, True], ids=["idle", "busy"])
@on_uvloop
async def test_a_dispatch_that_meets_an_engine_s_close_never_ran(reset: bool, busy: bool) -> None:
    """The close has arrived, unread, when the request is decided on: the order proves that nothing
    ran. ``busy``: another attempt is in flight on the connection.
    """
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        rig.node.dispatcher.pools.dedicated_connections = not busy
        client = await rig.client()
        client.ask()
        assert (await client.answer())[1] == frames.SERVED
        if busy:
            engine.script = lambda *_: None
            client.ask(2, trace="2" * 16)
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
        rig.node.dispatcher.submit(recorder, 1, parsed_request())
        assert await recorder.first_outcome() is Outcome.SERVED
        assert [do[1] for do in engine.commands_named(b"do")].count(b"a" * 16) == 1
        assert len(engine.writers) == 2
        dispatched = next(command for command in engine.commands if command[1] == b"a" * 16)
        assert engine.writer_of(dispatched) is engine.writers[1]


@on_uvloop
async def test_a_connect_that_comes_up_late_ejects_no_engine(
    engine_listener: EngineWithFullQueue,
) -> None:
    """The engine has answered meanwhile on its other connection: what waited goes there."""
    async with broker_with_late_connects(engine_listener) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        engine = await within(engine_listener.accept())
        await within(engine.reader.readuntil(STATEMENT))
        with engine_listener.fill():
            client.ask(2, trace="2" * 16)
            pool = first_pool(rig)
            await until(lambda: pool.waiting_attempts)
            engine.writer.write(resp.encode(b"1" * 16, b"update", b"tell=pct,amount=0.5", b""))
            assert b"2" * 16 in await within(engine.reader.readuntil(STATEMENT))
            for trace in (b"1" * 16, b"2" * 16):
                engine.writer.write(resp.encode(trace, b"served", b"chunks=1", b"a\tb\tc\n"))
            assert {(await client.answer())[:2] for _ in range(2)} == {
                (1, frames.SERVED),
                (2, frames.SERVED),
            }
        assert not next(iter(rig.node.dispatcher.facade.controller.endpoints.values())).ejected


@on_uvloop
async def test_a_connect_that_fails_at_a_silent_engine_still_counts_against_it(
    engine_listener: EngineWithFullQueue,
) -> None:
    async with broker_with_late_connects(engine_listener) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        engine = await within(engine_listener.accept())
        with engine_listener.fill():
            client.ask(2, trace="2" * 16)
            assert (await client.answer())[:2] == (2, frames.REFUSED)
        assert next(iter(rig.node.dispatcher.facade.controller.endpoints.values())).ejected
        engine.writer.close()


@on_uvloop
async def test_a_new_incarnation_of_an_engine_at_its_old_address_gets_new_connections() -> None:
    engine = Engine()
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        assert (await client.answer())[1] == frames.SERVED
        started_ms = rig.node.dispatcher.now() // MS - 60_000
        rig.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-1", port, boot_ms=started_ms)))
        )
        client.ask(2, trace="2" * 16)
        assert (await client.answer())[1] == frames.SERVED
        assert engine.command_writers[-1] is engine.writers[1]
        assert len(engine.writers) == 2
