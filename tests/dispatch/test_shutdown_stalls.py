"""Stalls of the process (SIGSTOP, a busy machine) at each step of a graceful shutdown.

The tests advance the clock between two turns of the event loop. This is how the process sees a
stall: much time has passed, and input that arrived meanwhile is unread in the system's buffers.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import replace

import pytest

from query_broker.deadlines.settings import HalfClosePolicy
from query_broker.emulator.clients import LENGTH_BYTES
from query_broker.protocols import client_frames as frames
from query_broker.server import graceful_shutdown
from query_broker.server.graceful_shutdown import (
    ACCEPT_QUEUE_TIMEOUT_NS,
    DISCONNECT_TIMEOUT_NS,
    FLUSH_TIMEOUT_NS,
    NS_PER_S,
    GracefulShutdown,
)
from query_broker.server.tick_loop import SIGNAL_DELAY_NS

from ..protocols.scripted_engines import broker_with_engines, silent_engine
from ..support.helpers import MS
from ..support.sockets import Engine, RunningBroker, on_uvloop, until, within
from .request_frames import PARTIAL_REQUEST, read_to_end, request_frame

pytestmark = pytest.mark.real_time

SERVED_ANSWER = frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n")


def stall(broker: RunningBroker, duration_ns: int) -> None:
    """Advance the clock by this time without a turn of the event loop."""
    broker.node.clock.unix_offset_ns += duration_ns


def answer_codes(received: bytes) -> dict[int, int]:
    """Return the code of each answer in these bytes, by stream."""
    codes = {}
    while received:
        length, _, stream = frames.HEAD.unpack_from(received)
        codes[stream] = received[frames.HEAD.size]
        received = received[LENGTH_BYTES + length :]
    return codes


def call_during_socket_events(callback: Callable[[], None]) -> None:
    """Call the callback once, while the event loop handles socket events.

    Input that arrives during the callback is read in the next turn, after the timers that are due
    by then. A callback that blocks is thus a stall followed by unread input.
    """
    read_end, write_end = socket.socketpair()
    loop = asyncio.get_running_loop()

    def call() -> None:
        loop.remove_reader(read_end)
        read_end.close()
        callback()

    loop.add_reader(read_end, call)
    write_end.send(b"x")
    write_end.close()


@on_uvloop
async def test_connections_in_the_accept_queue_are_served_after_a_stall() -> None:
    """A stall before the listener closed made the broker reset the connections in the queue.

    The accept queue had a timeout of 50 ms by the clock. If the process stalled for that long, the
    timeout passed before the event loop had accepted a connection: "Connection reset by peer" in 2
    to 9 of 500 runs of `test_connections_in_the_accept_queue_are_served_at_a_shutdown` beside other
    load.
    """
    async with broker_with_engines(Engine()) as broker:
        shutdown = GracefulShutdown(broker.node)
        shutdown.started_at_ns = broker.node.clock.now()
        waiting = [socket.create_connection(("127.0.0.1", broker.port)) for _ in range(20)]
        for number, raw in enumerate(waiting):
            raw.sendall(request_frame(1, trace=f"{number:016x}"))
        shutdown._announce_leaving()
        stall(broker, 4 * ACCEPT_QUEUE_TIMEOUT_NS)
        for raw in waiting:
            assert SERVED_ANSWER in await read_to_end(raw)
            raw.close()


@on_uvloop
async def test_new_connections_do_not_keep_the_listener_open_forever(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "has_input", lambda descriptor: True)
    async with broker_with_engines(Engine()) as broker:
        shutdown = GracefulShutdown(broker.node)
        shutdown.started_at_ns = broker.node.clock.now()
        shutdown._announce_leaving()
        await until(lambda: broker.node.closing_announced)


@on_uvloop
async def test_a_request_received_during_a_stall_is_answered_before_connections_end() -> None:
    """A stall after the frame of type 64 made the broker end connections with unread requests.

    The timer of the next shutdown step fires before the event loop reads the sockets. No request
    seemed to be open, since the received one was unread. It was read after the broker had closed
    its sending side, and dropped. The client saw the connection end without an answer.
    """
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        with socket.create_connection(("127.0.0.1", broker.port)) as raw:
            await until(lambda: broker.node.clients)
            shutdown = GracefulShutdown(broker.node)
            shutdown.started_at_ns = broker.node.clock.now()
            raw.sendall(request_frame(1))
            shutdown._await_requests()  # the event loop has not run since
            assert await read_to_end(raw) == SERVED_ANSWER
        await within(broker.node.stopped.wait())


@on_uvloop
async def test_a_half_closed_client_does_not_delay_the_stop() -> None:
    """The end of a stream stays readable while the connection is open, but is not unread input."""
    async with broker_with_engines(silent_engine()) as broker:
        controls = broker.node.dispatcher.deadline_controls
        controls.settings = replace(controls.settings, half_close=HalfClosePolicy.AWAIT_ANSWERS)
        with socket.create_connection(("127.0.0.1", broker.port)) as raw:
            raw.sendall(request_frame(1))
            raw.shutdown(socket.SHUT_WR)
            await until(lambda: any(client.half_closed for client in broker.node.clients))
            (connection,) = broker.node.clients
            assert connection.socket.has_input()
            assert not connection.has_unread_input()


@on_uvloop
async def test_open_requests_are_answered_after_a_stall_past_the_close_out() -> None:
    """A broker that stalled past the close-out stopped without answering open requests.

    The close-out is due 0.4 s before SIGKILL, and the end of all connections was due 0.25 s later
    by the clock. After a stall past both times the broker ended the connections without a
    close-out.
    """
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request()
        await until(lambda: engine.commands_named(b"do"))
        shutdown = GracefulShutdown(broker.node)
        stalled_ns = int(shutdown.close_out_after_s * 1e9) + FLUSH_TIMEOUT_NS + 10 * MS
        shutdown.started_at_ns = broker.node.clock.now() - stalled_ns
        shutdown._await_requests()
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert await within(client.reader.read()) == b""
        client.writer.close()
        await within(broker.node.stopped.wait())


@on_uvloop
async def test_requests_are_answered_after_a_stall_that_follows_the_close_out() -> None:
    """A request that arrives during the stall is answered too: it is rejected after the stall."""
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        with socket.create_connection(("127.0.0.1", broker.port)) as raw:
            raw.sendall(request_frame(1))
            await until(lambda: engine.commands_named(b"do"))
            shutdown = GracefulShutdown(broker.node)
            shutdown.started_at_ns = broker.node.clock.now() - int(shutdown.close_out_after_s * 1e9)
            shutdown._await_requests()
            assert shutdown.closed_out
            raw.sendall(request_frame(2))
            stall(broker, 4 * FLUSH_TIMEOUT_NS)
            shutdown._await_requests()  # the event loop has not run since
            received = await read_to_end(raw)
        answers = answer_codes(received)
        assert answers == {1: frames.REFUSED, 2: frames.REFUSED}
        assert len(engine.commands_named(b"do")) == 1
        await within(broker.node.stopped.wait())


@on_uvloop
async def test_unread_bytes_are_read_before_the_node_stops_after_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A broker that stalled after closing its sending side stopped with unread bytes.

    That resets the connection, and a client that has not read its last answers loses them. The
    clients had 0.1 s by the clock to close their side, which passed before the event loop ran once.
    """
    async with broker_with_engines(Engine()) as broker:
        with socket.create_connection(("127.0.0.1", broker.port)) as raw:
            await until(lambda: broker.node.clients)
            shutdown = GracefulShutdown(broker.node)
            shutdown.started_at_ns = broker.node.clock.now()
            shutdown._end_connections()
            (connection,) = broker.node.clients
            discarded_bytes_at_stop: list[int] = []
            stop = broker.node.stop

            def record_and_stop() -> None:
                discarded_bytes_at_stop.append(connection.socket.discarded_bytes)
                stop()

            def send_and_block() -> None:
                raw.sendall(PARTIAL_REQUEST)  # crosses the end of the broker's stream
                time.sleep(2 * DISCONNECT_TIMEOUT_NS / NS_PER_S)

            monkeypatch.setattr(broker.node, "stop", record_and_stop)
            call_during_socket_events(send_and_block)
            await within(broker.node.stopped.wait())
            assert discarded_bytes_at_stop[0] == len(PARTIAL_REQUEST)


@on_uvloop
async def test_a_sigterm_received_during_a_stall_counts_from_the_start_of_the_stall() -> None:
    """A broker that stalled while SIGTERM arrived counted the time from the end of the stall.

    SIGKILL follows a fixed time after SIGTERM was sent. The close-out, which the broker schedules
    0.4 s before SIGKILL, then came too late: requests open at SIGKILL got no answer.
    """
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request()
        await until(lambda: engine.commands_named(b"do"))
        sent_ns = broker.node.clock.now()
        stall(broker, 2_000 * MS)
        broker.node.tick_loop._tick()  # the event loop runs timers before signal handlers
        broker.node.shutdown.begin()
        assert broker.node.shutdown.started_at_ns <= sent_ns
        assert await client.frame() == (frames.NO_MORE, 0, b"")
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert broker.node.shutdown.closed_out
        client.writer.close()


@on_uvloop
async def test_a_sigterm_long_after_a_stall_counts_from_now() -> None:
    async with broker_with_engines(Engine()) as broker:
        stall(broker, 2_000 * MS)
        broker.node.tick_loop._tick()
        stall(broker, 2 * SIGNAL_DELAY_NS)
        now_ns = broker.node.clock.now()
        assert broker.node.earliest_signal_ns(now_ns) == now_ns
