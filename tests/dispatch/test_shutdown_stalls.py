"""Stalls of the process (SIGSTOP, a busy machine) at each step of a graceful shutdown.

The clock is moved on between two turns of the event loop, which is what a stall looks like to the
process: much time has passed, and what came meanwhile lies unread in the system's buffers.
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
from ..support.sockets import Engine, Rig, on_uvloop, until, within
from .request_frames import HALF_A_REQUEST, read_to_end, request_frame

pytestmark = pytest.mark.real_time

SERVED_ANSWER = frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n")


def stall(rig: Rig, duration_ns: int) -> None:
    """Let this time pass without a turn of the event loop."""
    rig.node.clock.anchor += duration_ns


def answers_in(received: bytes) -> dict[int, int]:
    """Return the code of each answer in these bytes, by stream."""
    codes = {}
    while received:
        length, _, stream = frames.HEAD.unpack_from(received)
        codes[stream] = received[frames.HEAD.size]
        received = received[LENGTH_BYTES + length :]
    return codes


def call_among_sockets(callback: Callable[[], None]) -> None:
    """Call back once as the event loop handles its sockets.

    What comes meanwhile is read in the next turn, after the timers that are due by then: so a
    callback that blocks is a stall with input behind it.
    """
    ours, theirs = socket.socketpair()
    loop = asyncio.get_running_loop()

    def call() -> None:
        loop.remove_reader(ours)
        ours.close()
        callback()

    loop.add_reader(ours, call)
    theirs.send(b"x")
    theirs.close()


@on_uvloop
async def test_connections_in_the_queue_are_served_after_a_stall_longer_than_its_timeout() -> None:
    """A broker that stood still as its listener was to close reset the connections in the queue.

    The queue got 50 ms by the clock. Where the process stood still for that long, the time was over
    before the loop had accepted a connection: "Connection reset by peer" in 2 to 9 of 500 runs of
    `connections_that_wait_in_the_queue` beside other load.
    """
    async with broker_with_engines(Engine()) as rig:
        shutdown = GracefulShutdown(rig.node)
        shutdown.begun_at_ns = rig.node.clock.now()
        waiting = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(20)]
        for number, raw in enumerate(waiting):
            raw.sendall(request_frame(1, trace=f"{number:016x}"))
        shutdown._announce_leaving()
        stall(rig, 4 * ACCEPT_QUEUE_TIMEOUT_NS)
        for raw in waiting:
            assert SERVED_ANSWER in await read_to_end(raw)
            raw.close()


@on_uvloop
async def test_new_connections_do_not_keep_the_listener_open_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "has_input", lambda descriptor: True)
    async with broker_with_engines(Engine()) as rig:
        shutdown = GracefulShutdown(rig.node)
        shutdown.begun_at_ns = rig.node.clock.now()
        shutdown._announce_leaving()
        await until(lambda: rig.node.closing_announced)


@on_uvloop
async def test_a_request_that_came_during_a_stall_is_answered_before_connections_end() -> None:
    """A broker that stood still after the frame of type 64 ended connections over a request.

    The timer of the next step is due before the loop comes to the sockets. No request seemed to be
    open, since the one that had come lay unread: it was read after this side of the connection had
    ended, and dropped. Its client saw the connection end without an answer.
    """
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            await until(lambda: rig.node.clients)
            shutdown = GracefulShutdown(rig.node)
            shutdown.begun_at_ns = rig.node.clock.now()
            raw.sendall(request_frame(1))
            shutdown._await_requests()  # the loop has had no turn since
            assert await read_to_end(raw) == SERVED_ANSWER
        await within(rig.node.stopped.wait())


@on_uvloop
async def test_a_client_that_has_ended_its_side_does_not_delay_the_stop() -> None:
    """The end of a stream stays readable for as long as the connection is open."""
    async with broker_with_engines(silent_engine()) as rig:
        controls = rig.node.dispatcher.deadline_controls
        controls.settings = replace(controls.settings, half_close=HalfClosePolicy.AWAIT_ANSWERS)
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            raw.sendall(request_frame(1))
            raw.shutdown(socket.SHUT_WR)
            await until(lambda: any(client.half_closed for client in rig.node.clients))
            (connection,) = rig.node.clients
            assert connection.socket.has_input()
            assert not connection.has_unread_input()


@on_uvloop
async def test_a_stall_over_the_close_out_does_not_take_the_final_answers_away() -> None:
    """A broker that stood still over the close-out ended without any answer to open requests.

    The close-out is due 0.4 s before SIGKILL, and the end of all connections was due 0.25 s later
    by the clock. A broker whose first look came after both went straight to the end.
    """
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask()
        await until(lambda: engine.commands_named(b"do"))
        shutdown = GracefulShutdown(rig.node)
        stalled_ns = int(shutdown.close_out_after_s * 1e9) + FLUSH_TIMEOUT_NS + 10 * MS
        shutdown.begun_at_ns = rig.node.clock.now() - stalled_ns
        shutdown._await_requests()
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert await within(client.reader.read()) == b""
        client.writer.close()
        await within(rig.node.stopped.wait())


@on_uvloop
async def test_a_stall_after_the_close_out_leaves_its_answers_time_to_be_read() -> None:
    """A request that came during the stall is answered too: what is open then is rejected."""
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            raw.sendall(request_frame(1))
            await until(lambda: engine.commands_named(b"do"))
            shutdown = GracefulShutdown(rig.node)
            shutdown.begun_at_ns = rig.node.clock.now() - int(shutdown.close_out_after_s * 1e9)
            shutdown._await_requests()
            assert shutdown.closed_out
            raw.sendall(request_frame(2))
            stall(rig, 4 * FLUSH_TIMEOUT_NS)
            shutdown._await_requests()  # the loop has had no turn since
            received = await read_to_end(raw)
        answers = answers_in(received)
        assert answers == {1: frames.REFUSED, 2: frames.REFUSED}
        assert len(engine.commands_named(b"do")) == 1
        await within(rig.node.stopped.wait())


@on_uvloop
async def test_a_stall_at_the_end_of_connections_does_not_stop_the_node_over_unread_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A broker that stood still after it had ended its side stopped over unread bytes.

    That resets the connection, and a client that has not read its last answers loses them. The
    clients' time to end their side was 0.1 s by the clock, over before the loop had one turn.
    """
    async with broker_with_engines(Engine()) as rig:
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            await until(lambda: rig.node.clients)
            shutdown = GracefulShutdown(rig.node)
            shutdown.begun_at_ns = rig.node.clock.now()
            shutdown._end_connections()
            (connection,) = rig.node.clients
            read_at_stop: list[int] = []
            stop = rig.node.stop

            def record_and_stop() -> None:
                read_at_stop.append(connection.socket.discarded_bytes)
                stop()

            def send_and_block() -> None:
                raw.sendall(HALF_A_REQUEST)  # it crossed the end of our side
                time.sleep(2 * DISCONNECT_TIMEOUT_NS / NS_PER_S)

            monkeypatch.setattr(rig.node, "stop", record_and_stop)
            call_among_sockets(send_and_block)
            await within(rig.node.stopped.wait())
            assert read_at_stop[0] == len(HALF_A_REQUEST)


@on_uvloop
async def test_a_sigterm_that_came_during_a_stall_counts_from_the_beginning_of_the_stall() -> None:
    """A broker that was stopped as SIGTERM came counted from when it ran again.

    SIGKILL counts from when the signal was sent. The close-out, 0.4 s before SIGKILL by the
    broker's own count, then came too late: the requests open at SIGKILL had no answer.
    """
    engine = silent_engine()
    async with broker_with_engines(engine) as rig:
        client = await rig.client()
        client.ask()
        await until(lambda: engine.commands_named(b"do"))
        sent_ns = rig.node.clock.now()
        stall(rig, 2_000 * MS)
        rig.node.tick_loop._tick()  # the loop runs its timers first, then the signals
        rig.node.shutdown.begin()
        assert rig.node.shutdown.begun_at_ns <= sent_ns
        assert await client.frame() == (frames.NO_MORE, 0, b"")
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert rig.node.shutdown.closed_out
        client.writer.close()


@on_uvloop
async def test_a_sigterm_long_after_a_stall_counts_from_now() -> None:
    async with broker_with_engines(Engine()) as rig:
        stall(rig, 2_000 * MS)
        rig.node.tick_loop._tick()
        stall(rig, 2 * SIGNAL_DELAY_NS)
        now_ns = rig.node.clock.now()
        assert rig.node.earliest_signal_ns(now_ns) == now_ns
