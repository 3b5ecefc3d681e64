"""Input that arrives at the end of a graceful shutdown; see `docs/design/rare-moments.md`."""

from __future__ import annotations

import signal
import socket
from pathlib import Path

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.server.graceful_shutdown import GracefulShutdown

from ..protocols.scripted_engines import broker_with_engines, silent_engine
from ..support.helpers import MS
from ..support.sockets import (
    Engine,
    connect,
    known_setting,
    on_uvloop,
    process,
    target_entry,
    until,
    within,
)
from .request_frames import PARTIAL_REQUEST, read_to_end, request_frame

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_a_request_received_after_the_shutdown_is_dropped_without_a_reset() -> None:
    """The request must be read but not dispatched.

    A dispatched request would be lost when the process ends. An unread request would make the
    system reset the connection, and the client would lose the last answer.
    """
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        with socket.create_connection(("127.0.0.1", broker.port)) as raw:
            raw.sendall(request_frame(1))
            await until(lambda: engine.commands_named(b"do"))
            shutdown = GracefulShutdown(broker.node)
            shutdown.started_at_ns = broker.node.clock.now()
            # Lies in the system's buffer between the last read and the end of the connection.
            raw.sendall(request_frame(2) + PARTIAL_REQUEST)
            shutdown._end_connections()
            received = await read_to_end(raw)  # raises if the connection is reset
        await within(broker.node.stopped.wait())
        assert len(engine.commands_named(b"do")) == 1
        assert received == frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n")


@on_uvloop
async def test_idle_clients_and_repeated_signals_do_not_disturb_a_shutdown(
    tmp_path: Path,
) -> None:
    engine = silent_engine()
    known = known_setting(target_entry("s-1", await engine.start()))
    async with process(tmp_path, known=known) as (broker, port):
        client = await within(connect(port))
        idle_client = await within(connect(port))
        client.send_request()
        idle_client.send(frames.ASK_READY, 0, b"\0")
        assert (await idle_client.frame())[0] == frames.READY
        await until(lambda: engine.commands_named(b"do"))
        broker.send_signal(signal.SIGTERM)
        assert await idle_client.frame() == (frames.NO_MORE, 0, b"")
        assert await client.frame() == (frames.NO_MORE, 0, b"")
        for later_signal in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            broker.send_signal(later_signal)
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[1] == frames.SERVED
        assert await within(idle_client.reader.read()) == b""
        assert await within(client.reader.read()) == b""
        assert await within(broker.wait()) == 0


@on_uvloop
async def test_a_request_at_a_hanging_engine_is_rejected_in_time_at_a_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Even with the shortest deadlines the close-out sends the final answers before SIGKILL."""
    engine = silent_engine()
    glance = {
        "name": "glance",
        "aim": 300 * MS,
        "deadline": 700 * MS,
        "worth": 1.0,
        "effect": "read_like",
    }
    async with broker_with_engines(engine, classes=[glance]) as broker:
        client = await broker.client()
        client.send_request(patience="700")
        await until(lambda: engine.commands_named(b"do"))
        shutdown = GracefulShutdown(broker.node)
        shutdown.started_at_ns = broker.node.clock.now() - int(shutdown.close_out_after_s * 1e9)
        assert shutdown.close_out_after_s < 0.7 + 0.7
        shutdown._await_requests()
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert await within(client.reader.read()) == b""
        client.writer.close()
        await within(broker.node.stopped.wait())


@on_uvloop
async def test_connections_in_the_accept_queue_are_served_at_a_shutdown() -> None:
    """The system has established these connections; closing the listener would reset them."""
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        shutdown = GracefulShutdown(broker.node)
        shutdown.started_at_ns = broker.node.clock.now()
        waiting = [socket.create_connection(("127.0.0.1", broker.port)) for _ in range(20)]
        for number, raw in enumerate(waiting):
            raw.sendall(request_frame(1, trace=f"{number:016x}"))
        shutdown._announce_leaving()  # the event loop has not run since
        for raw in waiting:
            assert frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n") in await read_to_end(raw)
            raw.close()
