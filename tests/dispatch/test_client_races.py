"""Clients that cancel, go or read nothing just as something else happens."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest

from query_broker.emulator.discovery_service import ScriptedDiscoveryService
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.client_connection import ClientConnection
from query_broker.protocols.client_reader import FRAMES_PER_TURN
from query_broker.protocols.client_timeouts import IDLE_TIMEOUT_NS

from ..protocols.scripted_engines import broker_with_engines, silent_engine
from ..support.sockets import (
    STATEMENT,
    TRACE,
    Client,
    Engine,
    Rig,
    free_port,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
    within,
)
from .request_frames import read_to_the_end_of, request_frame

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_what_was_read_before_a_broken_frame_gets_its_answers() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        client.ask(2, trace="2" * 16, route="stock-add")
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        client.send(77, 3)
        answers = {(await client.answer())[:2] for _ in range(3)}
        assert answers == {(1, frames.REFUSED), (2, frames.FAILED), (0, frames.FAILED)}
        assert await within(client.reader.read()) == b""
        requests = rig.node.dispatcher.requests.values()
        assert not [request for request in requests if request.client is not None]


@on_uvloop
async def test_of_a_client_that_sends_much_and_goes_nothing_is_dispatched() -> None:
    """Its end lies behind all that it sent, unread, when the first of it is read."""
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        for _ in range(3):
            with socket.create_connection(("127.0.0.1", rig.port)) as raw:
                raw.sendall(b"".join(request_frame(number) for number in range(1, 100)))
        client = await rig.client()
        client.ask(trace="f" * 16)
        assert (await client.answer())[1] == frames.SERVED
        assert [do[1] for do in engine.commands_named(b"do")] == [b"f" * 16]
        await until(lambda: len(rig.node.clients) == 1)
        assert not rig.node.dispatcher.requests


@on_uvloop
async def test_idle_clients_that_fill_the_descriptors_keep_out_neither_the_list_nor_engines() -> (
    None
):
    engine = Engine()
    discovery = ScriptedDiscoveryService()
    port = free_port()
    spare_port = await engine.start()
    config = make_config(listed=False, bus=port)
    async with running(config) as rig:
        client_limit = rig.node.admission.max_connections
        idle = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(client_limit + 20)]
        await until(lambda: len(rig.node.clients) == client_limit)
        assert not rig.node.ready()
        # discovery is back
        discovery.server = await asyncio.start_server(discovery._serve_client, "127.0.0.1", port)
        await until(lambda: discovery.writer)
        discovery.publish(topology_event(1, target_entry("s-1", spare_port), full=True))
        client = await rig.client()
        await until(rig.node.ready)
        client.ask()
        assert (await client.answer())[1] == frames.SERVED
        engine_connections = rig.node.dispatcher.pools._count_connections()
        assert len(rig.node.clients) + engine_connections < config.sockets
        for raw in idle:
            raw.close()


class RequestInFlight(NamedTuple):
    """A request that waits for its answer.

    Attributes:
        rig: The broker.
        client: The client that waits.
        first: The engine that has the request.
        other: The engine that has none.
    """

    rig: Rig
    client: Client
    first: Engine
    other: Engine


@asynccontextmanager
async def request_in_flight_at_one_of_two() -> AsyncIterator[RequestInFlight]:
    """Dispatch a request of a new client to one of two engines that do not answer."""
    engines = [silent_engine(), silent_engine()]
    async with broker_with_engines(*engines, first_number=0) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        await until(lambda: any(engine.commands_named(b"do") for engine in engines))
        first, other = sorted(engines, key=lambda engine: not engine.commands_named(b"do"))
        yield RequestInFlight(rig, client, first, other)


async def pause_only_client(rig: Rig) -> ClientConnection:
    """Notify the only connection, as its transport would, that its client reads no answers."""
    await until(lambda: len(rig.node.clients) == 1)
    connection = next(iter(rig.node.clients))
    connection.pause_writing()
    return connection


@on_uvloop
async def test_a_cancel_behind_answers_that_are_not_read_takes_effect() -> None:
    """Left unread until the client reads on, it would let another attempt begin for no client."""
    async with request_in_flight_at_one_of_two() as (rig, client, first, other):
        await pause_only_client(rig)
        (request,) = rig.node.dispatcher.requests.values()
        client.send(frames.ABANDON, 1)
        await until(lambda: request.client is None)
        assert request.abandoned
        first.writers[0].write(resp.encode(b"1" * 16, b"crashed", b"-", b""))
        await until(lambda: not rig.node.dispatcher.requests)
        assert not other.commands_named(b"do")
        assert len(first.commands_named(b"do")) == 1


@on_uvloop
async def test_no_attempt_begins_for_a_client_that_reads_nothing_until_its_frames_are_read() -> (
    None
):
    """It has sent more than the lookahead for cancellations reads: it may have cancelled."""
    async with request_in_flight_at_one_of_two() as (rig, client, first, other):
        connection = await pause_only_client(rig)
        for number in range(2, 6):
            client.ask(
                number, trace=f"{number:016x}", body=STATEMENT + b" /* " + b"x" * 20_000 + b" */"
            )
        await until(lambda: connection.reader.unreadable)
        first.writers[0].write(resp.encode(b"1" * 16, b"crashed", b"-", b""))
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert not other.commands_named(b"do")
        assert len(first.commands_named(b"do")) == 1
        connection.resume_writing()  # what it had sent is taken now
        await until(lambda: len(first.commands_named(b"do") + other.commands_named(b"do")) == 5)
        assert not connection.reader.unreadable


@on_uvloop
async def test_a_client_that_ends_its_side_behind_unread_answers_has_left() -> None:
    """The loss of its connection is notified only once they have been read."""
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        await until(lambda: engine.commands_named(b"do"))
        connection = next(iter(rig.node.clients))
        assert connection.transport is not None
        client.reader._transport.pause_reading()  # type: ignore[attr-defined]
        while connection.unread_bytes() < 1 << 20:  # more than the system takes
            connection.transport.write(b"\0" * (1 << 20))
        (request,) = rig.node.dispatcher.requests.values()
        client.writer.write_eof()
        await until(lambda: request.client is None)
        assert request.abandoned
        assert connection in rig.node.clients
        connection.drop()


@on_uvloop
async def test_a_request_cancelled_while_it_waits_for_its_turn_is_never_dispatched() -> None:
    """Both come in one chunk, behind more frames than are taken in one turn."""
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask(1)  # a connection to the engine is up from now on: what begins has left at once
        assert (await client.answer())[:2] == (1, frames.SERVED)
        ready = frames.frame(frames.ASK_READY, 0, b"\0") * (FRAMES_PER_TURN + 1)
        client.writer.write(
            ready + request_frame(2) + request_frame(3) + frames.frame(frames.ABANDON, 2)
        )
        for _ in range(FRAMES_PER_TURN + 1):
            assert (await client.frame())[0] == frames.READY
        assert (await client.answer())[:2] == (3, frames.SERVED)
        assert [do[1] for do in engine.commands_named(b"do")] == [
            TRACE.encode(),
            f"{3:016x}".encode(),
        ]


@on_uvloop
async def test_a_cancel_of_what_has_just_begun_takes_effect_before_the_frames_between() -> None:
    """Its request was skimmed while it waited, and has begun since; more frames wait for the next
    turn.
    """
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        await until(lambda: rig.node.clients)
        connection = next(iter(rig.node.clients))
        ready = frames.frame(frames.ASK_READY, 0, b"\0") * FRAMES_PER_TURN
        connection.data_received(ready + request_frame(1) + ready)
        assert connection.reader.waiting
        assert not connection.open_requests
        connection.reader.read_turn()
        assert connection.reader.waiting
        request = connection.open_requests[1]
        assert request is not None
        connection.data_received(frames.frame(frames.ABANDON, 1))
        assert request.abandoned
        assert not connection.open_requests
        client.writer.close()


@on_uvloop
async def test_a_broker_that_stood_still_reads_what_came_before_it_takes_a_client_for_idle() -> (
    None
):
    """Its timers are due before the loop comes to the sockets: the request lies unread for long by
    then.
    """
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            raw.sendall(frames.frame(frames.ASK_READY, 0, b"\0"))
            await until(lambda: any(connection.has_sent_frame for connection in rig.node.clients))
            connection = next(iter(rig.node.clients))
            raw.sendall(request_frame(1))
            rig.node.clock.anchor += 2 * IDLE_TIMEOUT_NS
            connection.timeouts.check()  # the loop has had no turn since
            await read_to_the_end_of(raw, b"a\tb\tc\n")
