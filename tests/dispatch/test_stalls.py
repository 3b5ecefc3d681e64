"""Stalls of the process while clients come: what lies unread is neither lost nor judged."""

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
from .request_frames import read_to_the_end_of, request_frame

pytestmark = pytest.mark.real_time

CONNECT_TIMEOUT_NS = 100 * MS
NS_PER_S = 1e9
SERVED_ANSWER = frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n")


@on_uvloop
async def test_a_connection_with_an_unread_request_is_not_evicted_for_a_new_one() -> None:
    """In a crowd after a stall the broker closed the connection of a request that lay unread.

    A new connection comes first in the turn after a stall: the event loop accepts before it reads.
    The connection that was idle longest, as far as had been read, was closed over the request,
    whose client saw "Connection reset by peer".
    """
    async with broker_with_engines(Engine()) as rig:
        admission = rig.node.admission
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            await until(lambda: len(admission.connections) == 1)
            idle = await rig.client()
            await until(lambda: len(admission.connections) == 2)
            admission.max_connections = 2
            raw.sendall(request_frame(1))
            assert admission.has_place()  # the loop has had no turn since
            await read_to_the_end_of(raw, SERVED_ANSWER)
            assert await idle.ended()


@on_uvloop
async def test_a_connection_that_came_up_during_a_stall_is_no_failed_connect() -> None:
    """A broker that stood still while it connected took the engine for one that is down.

    `engine: s-1 at 127.0.0.1:...: no connection in time` in the log, though the system had the
    connection within a millisecond: the timer was due before the loop came to the socket. The
    engine was ejected, and requests that waited for the connection were rejected.
    """
    async with broker_with_engines(Engine()) as rig:
        pool = first_pool(rig)
        events = rig.node.dispatcher.connection_events

        def make_connection() -> EngineConnection:
            time.sleep(2 * CONNECT_TIMEOUT_NS / NS_PER_S)  # the timer runs by now
            return EngineConnection(events, pool.number)

        address = Address(pool.target.host, pool.target.port)
        connection = await connect(make_connection, address, CONNECT_TIMEOUT_NS)
        assert not connection.closed
        connection.close()


@on_uvloop
async def test_a_connect_that_never_comes_up_ends_in_its_time() -> None:
    """An engine that is cut off answers nothing: its backlog is full here."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        filling = [socket.socket() for _ in range(4)]
        for other in filling:
            other.setblocking(False)
            other.connect_ex((host, port))
        async with broker_with_engines(Engine()) as rig:
            events = rig.node.dispatcher.connection_events
            with pytest.raises(ConnectError, match="no connection in time"):
                await connect(lambda: EngineConnection(events, 1), Address(host, port), 50 * MS)
        for other in filling:
            other.close()


@on_uvloop
async def test_an_answer_to_a_health_check_that_lies_unread_is_no_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A broker that stood still over a health check ejected an engine that had answered it."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"top":
            writer.write(resp.encode(parts[1], b"green", b"meter=q:2", b""))
        else:
            engine.answer_served(parts, writer)

    engine = Engine(script)
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask()
        assert (await client.answer())[1] == frames.SERVED  # a connection is up
        results: list[AttemptResult] = []
        dispatcher = rig.node.dispatcher

        def record(event: HealthCheckResult) -> None:
            results.append(event.result)

        monkeypatch.setattr(dispatcher, "report_event", record)
        dispatcher.health_checks.start(dispatcher.now(), first_pool(rig).number)
        rig.node.clock.anchor += 2 * dispatcher.config.connect_timeout_ns
        dispatcher.tick()  # the loop has had no turn since
        await until(lambda: results)
        assert results == [AttemptResult.SERVED]


@on_uvloop
async def test_a_request_whose_cancellation_has_come_with_it_is_not_dispatched() -> None:
    """After a pause a broker dispatched requests that their clients had cancelled long before.

    Found by the soak (seeds 12, 16 and 22): `cancelled by its client +91 ms`, `broker runs on
    +1210 ms`, `came to s-3 +1213 ms`. Both frames lay unread in the system's buffer, and the
    request was dispatched before the frame behind it was looked at.
    """
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask(1)  # a connection to the engine is up from now on
        assert (await client.answer())[:2] == (1, frames.SERVED)
        cancelled = request_frame(2) + frames.frame(frames.ABANDON, 2)
        client.writer.write(cancelled + request_frame(3))
        assert (await client.answer())[:2] == (3, frames.SERVED)
        assert [do[1] for do in engine.commands_named(b"do")][1:] == [f"{3:016x}".encode()]
