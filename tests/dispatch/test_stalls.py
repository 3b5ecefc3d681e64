"""Stalls of the process: unread input is neither lost nor mistaken for a timeout."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from query_broker.decisions.facade import AttemptResult, HealthCheckResult
from query_broker.discovery.event_codec import Address
from query_broker.endpoints.connect import ConnectError, connect
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.engine_connection import EngineConnection

from ..protocols.scripted_engines import broker_with_engines, first_pool
from ..support.helpers import MS
from ..support.sockets import Engine, on_uvloop, until
from .request_frames import read_until_suffix, request_frame

pytestmark = pytest.mark.real_time

CONNECT_TIMEOUT_NS = 100 * MS
NS_PER_S = 1e9
SERVED_ANSWER = frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n")


@on_uvloop
async def test_a_connection_with_an_unread_request_is_not_evicted_for_a_new_one() -> None:
    """At its connection limit the broker evicted a connection with an unread request after a stall.

    After a stall the event loop accepts new connections before it reads. The connection that seemed
    to have been idle longest was closed although a request waited there to be read, and its client
    saw "Connection reset by peer".
    """
    async with broker_with_engines(Engine()) as broker:
        admission = broker.node.admission
        with socket.create_connection(("127.0.0.1", broker.port)) as raw:
            await until(lambda: len(admission.connections) == 1)
            idle = await broker.client()
            await until(lambda: len(admission.connections) == 2)
            admission.max_connections = 2
            raw.sendall(request_frame(1))
            assert admission.make_room()  # the event loop has not run since
            await read_until_suffix(raw, SERVED_ANSWER)
            assert await idle.ended()


@on_uvloop
async def test_a_connection_established_during_a_stall_is_not_a_failed_connect() -> None:
    """A broker that stalled while it connected to an engine ejected the engine.

    The log said `engine: s-1 at 127.0.0.1:...: no connection in time`, although the system had the
    connection within a millisecond: the timer fired before the event loop handled the socket. The
    engine was ejected, and requests that waited for the connection were rejected.
    """
    async with broker_with_engines(Engine()) as broker:
        pool = first_pool(broker)
        events = broker.node.dispatcher.connection_events

        def make_connection() -> EngineConnection:
            time.sleep(2 * CONNECT_TIMEOUT_NS / NS_PER_S)  # the connect timer is running
            return EngineConnection(events, pool.number)

        address = Address(pool.target.host, pool.target.port)
        connection = await connect(make_connection, address, CONNECT_TIMEOUT_NS)
        assert not connection.closed
        connection.close()


@on_uvloop
async def test_a_connect_that_never_completes_times_out() -> None:
    """A full accept queue stands in for an engine that is cut off and answers nothing."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        filling = [socket.socket() for _ in range(4)]
        for other in filling:
            other.setblocking(False)
            other.connect_ex((host, port))
        async with broker_with_engines(Engine()) as broker:
            events = broker.node.dispatcher.connection_events
            with pytest.raises(ConnectError, match="no connection in time"):
                await connect(lambda: EngineConnection(events, 1), Address(host, port), 50 * MS)
        for other in filling:
            other.close()


@on_uvloop
async def test_a_health_check_with_an_unread_answer_does_not_time_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A broker that stalled during a health check ejected an engine that had answered it."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"top":
            writer.write(resp.encode(parts[1], b"green", b"meter=q:2", b""))
        else:
            engine.answer_served(parts, writer)

    engine = Engine(script)
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request()
        assert (await client.answer())[1] == frames.SERVED  # a connection is open
        results: list[AttemptResult] = []
        dispatcher = broker.node.dispatcher

        def record(event: HealthCheckResult) -> None:
            results.append(event.result)

        monkeypatch.setattr(dispatcher, "report_event", record)
        dispatcher.health_checks.start(dispatcher.now(), first_pool(broker).number)
        broker.node.clock.unix_offset_ns += 2 * dispatcher.config.connect_timeout_ns
        dispatcher.tick()  # the event loop has not run since
        await until(lambda: results)
        assert results == [AttemptResult.SERVED]


@on_uvloop
async def test_a_request_received_together_with_its_cancellation_is_not_dispatched() -> None:
    """After a stall a broker dispatched requests that their clients had cancelled long before.

    Found by the soak test (seeds 12, 16 and 22): `cancelled by its client +91 ms`, `broker runs on
    +1210 ms`, `came to s-3 +1213 ms`. Both frames were unread in the system's buffer, and the
    request was dispatched before the broker read the cancellation behind it.
    """
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(1)  # opens a connection to the engine
        assert (await client.answer())[:2] == (1, frames.SERVED)
        cancelled = request_frame(2) + frames.frame(frames.ABANDON, 2)
        client.writer.write(cancelled + request_frame(3))
        assert (await client.answer())[:2] == (3, frames.SERVED)
        assert [do[1] for do in engine.commands_named(b"do")][1:] == [f"{3:016x}".encode()]
