"""Clients that cancel, disconnect or stop reading while something else happens."""

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
    RunningBroker,
    free_port,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
    within,
)
from .request_frames import read_until_suffix, request_frame

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_requests_read_before_a_malformed_frame_are_answered() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(1, trace="1" * 16)
        client.send_request(2, trace="2" * 16, route="stock-add")
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        client.send(77, 3)
        answers = {(await client.answer())[:2] for _ in range(3)}
        assert answers == {(1, frames.REFUSED), (2, frames.FAILED), (0, frames.FAILED)}
        assert await within(client.reader.read()) == b""
        requests = broker.node.dispatcher.requests.values()
        assert not [request for request in requests if request.client is not None]


@on_uvloop
async def test_unread_requests_of_a_disconnected_client_are_not_dispatched() -> None:
    """The end of the stream is still unread when the broker reads the first request."""
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        for _ in range(3):
            with socket.create_connection(("127.0.0.1", broker.port)) as raw:
                raw.sendall(b"".join(request_frame(number) for number in range(1, 100)))
        client = await broker.client()
        client.send_request(trace="f" * 16)
        assert (await client.answer())[1] == frames.SERVED
        assert [do[1] for do in engine.commands_named(b"do")] == [b"f" * 16]
        await until(lambda: len(broker.node.clients) == 1)
        assert not broker.node.dispatcher.requests


@on_uvloop
async def test_idle_clients_leave_descriptors_for_discovery_and_engines() -> None:
    engine = Engine()
    discovery = ScriptedDiscoveryService()
    port = free_port()
    spare_port = await engine.start()
    config = make_config(listed=False, bus=port)
    async with running(config) as broker:
        client_limit = broker.node.admission.max_connections
        idle = [
            socket.create_connection(("127.0.0.1", broker.port)) for _ in range(client_limit + 20)
        ]
        await until(lambda: len(broker.node.clients) == client_limit)
        assert not broker.node.ready()
        # The discovery service starts.
        discovery.server = await asyncio.start_server(discovery._serve_client, "127.0.0.1", port)
        await until(lambda: discovery.writer)
        discovery.publish(topology_event(1, target_entry("s-1", spare_port), full=True))
        client = await broker.client()
        await until(broker.node.ready)
        client.send_request()
        assert (await client.answer())[1] == frames.SERVED
        engine_connections = broker.node.dispatcher.pools._count_connections()
        assert len(broker.node.clients) + engine_connections < config.sockets
        for raw in idle:
            raw.close()


class RequestInFlight(NamedTuple):
    """A request that waits for its answer.

    Attributes:
        broker: The broker.
        client: The client that waits.
        first: The engine that got the request.
        other: The engine that got no request.
    """

    broker: RunningBroker
    client: Client
    first: Engine
    other: Engine


@asynccontextmanager
async def request_in_flight_at_one_of_two() -> AsyncIterator[RequestInFlight]:
    """Dispatch a request of a new client to one of two engines, neither of which answers."""
    engines = [silent_engine(), silent_engine()]
    async with broker_with_engines(*engines, first_number=0) as broker:
        client = await broker.client()
        client.send_request(1, trace="1" * 16)
        await until(lambda: any(engine.commands_named(b"do") for engine in engines))
        first, other = sorted(engines, key=lambda engine: not engine.commands_named(b"do"))
        yield RequestInFlight(broker, client, first, other)


async def pause_only_client(broker: RunningBroker) -> ClientConnection:
    """Pause writing on the only connection, as its transport does if the client stops reading."""
    await until(lambda: len(broker.node.clients) == 1)
    connection = next(iter(broker.node.clients))
    connection.pause_writing()
    return connection


@on_uvloop
async def test_a_cancellation_takes_effect_while_the_client_reads_no_answers() -> None:
    """If the cancellation stayed unread, another attempt would be dispatched for no client."""
    async with request_in_flight_at_one_of_two() as (broker, client, first, other):
        await pause_only_client(broker)
        (request,) = broker.node.dispatcher.requests.values()
        client.send(frames.ABANDON, 1)
        await until(lambda: request.client is None)
        assert request.abandoned
        first.writers[0].write(resp.encode(b"1" * 16, b"crashed", b"-", b""))
        await until(lambda: not broker.node.dispatcher.requests)
        assert not other.commands_named(b"do")
        assert len(first.commands_named(b"do")) == 1


@on_uvloop
async def test_no_attempt_is_dispatched_while_frames_of_the_client_are_unread() -> None:
    """The lookahead for cancellations can't read all frames, which may contain a cancellation."""
    async with request_in_flight_at_one_of_two() as (broker, client, first, other):
        connection = await pause_only_client(broker)
        for number in range(2, 6):
            client.send_request(
                number, trace=f"{number:016x}", body=STATEMENT + b" /* " + b"x" * 20_000 + b" */"
            )
        await until(lambda: connection.reader.is_reading_paused)
        first.writers[0].write(resp.encode(b"1" * 16, b"crashed", b"-", b""))
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert not other.commands_named(b"do")
        assert len(first.commands_named(b"do")) == 1
        connection.resume_writing()  # the remaining frames are read now
        await until(lambda: len(first.commands_named(b"do") + other.commands_named(b"do")) == 5)
        assert not connection.reader.is_reading_paused


@on_uvloop
async def test_a_half_closed_client_with_unread_answers_has_left() -> None:
    """The transport only notifies the loss of the connection once the answers have been read."""
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(1, trace="1" * 16)
        await until(lambda: engine.commands_named(b"do"))
        connection = next(iter(broker.node.clients))
        assert connection.transport is not None
        client.reader._transport.pause_reading()  # type: ignore[attr-defined]
        while connection.unread_bytes() < 1 << 20:  # more than the system's buffers hold
            connection.transport.write(b"\0" * (1 << 20))
        (request,) = broker.node.dispatcher.requests.values()
        client.writer.write_eof()
        await until(lambda: request.client is None)
        assert request.abandoned
        assert connection in broker.node.clients
        connection.drop()


@on_uvloop
async def test_a_request_cancelled_before_its_read_turn_is_not_dispatched() -> None:
    """The request and its cancellation arrive in one chunk, behind the frames of a whole turn."""
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(
            1
        )  # opens a connection to the engine: later attempts are sent immediately
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
async def test_a_cancellation_takes_effect_before_earlier_frames_that_wait() -> None:
    """The lookahead for cancellations has passed the request, which was then dispatched.

    More frames wait for the next turn, between the request and its cancellation.
    """
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        await until(lambda: broker.node.clients)
        connection = next(iter(broker.node.clients))
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
async def test_after_a_stall_unread_requests_are_read_before_a_client_counts_as_idle() -> None:
    """After a stall, timers fire before the event loop reads the sockets.

    The connection then seems to have been idle for long, although a request waits to be read.
    """
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        with socket.create_connection(("127.0.0.1", broker.port)) as raw:
            raw.sendall(frames.frame(frames.ASK_READY, 0, b"\0"))
            await until(
                lambda: any(connection.has_sent_frame for connection in broker.node.clients)
            )
            connection = next(iter(broker.node.clients))
            raw.sendall(request_frame(1))
            broker.node.clock.unix_offset_ns += 2 * IDLE_TIMEOUT_NS
            connection.timeouts.check()  # the event loop has not run since
            await read_until_suffix(raw, b"a\tb\tc\n")
