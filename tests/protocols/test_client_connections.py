"""Client connections: slow readers, silent clients, and the release of lost connections."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.protocols.client_connection import ClientConnection
from query_broker.protocols.client_frames import MIN_RELEASED_BYTES

from ..deadlines.deadline_brokers import shrink_buffers
from ..support.sockets import MS, Engine, make_config, on_uvloop, running, until
from .scripted_engines import broker_with_engines, engine_with_pages

pytestmark = pytest.mark.real_time

TEST_TIMEOUT_S = 15.0
SMALL_BACKLOG_BYTES = 60_000
LARGE_BACKLOG_BYTES = 200_000


@on_uvloop
async def test_a_slow_client_is_not_read_from_and_does_not_delay_other_clients() -> None:
    row = b"x" * 5_900 + b"\tb\tc\n"
    engine = engine_with_pages(*[row] * 8)
    async with broker_with_engines(engine) as broker:
        slow_client = await broker.client()
        other_client = await broker.client()
        transport = slow_client.writer.transport
        transport.pause_reading()  # type: ignore[attr-defined]
        stream = 0
        while not any(connection.paused_since_ns for connection in broker.node.clients):
            stream += 1
            slow_client.send_request(stream=stream, trace=f"{stream:016x}")
            await until(lambda: len(engine.commands_named(b"forget")) == stream)  # noqa: B023
        other_client.send_request()
        assert (await other_client.answer())[3] == row * 8
        transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(stream):
            assert (await slow_client.answer())[3] == row * 8
        assert not any(connection.paused_since_ns for connection in broker.node.clients)


@on_uvloop
async def test_unread_answers_of_others_cost_a_client_that_reads_nothing() -> None:
    # Guards against a sound client that is cut off since others leave the memory of answers full.
    row = b"x" * 5_900 + b"\tb\tc\n"
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        broker_with_engines(engine_with_pages(*[row] * 8)) as broker,
    ):
        node = broker.node
        clients = [await broker.client() for _ in range(4)]
        for client in clients:
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await until(lambda: len(node.clients) == len(clients))
        connections = {connection_port(connection): connection for connection in node.clients}
        for connection in node.clients:
            shrink_buffers(connection.transport)
        sockets = [client.writer.get_extra_info("sockname")[1] for client in clients]
        for stream in range(1, 200):
            for client, port in zip(clients, sockets, strict=True):
                limit_bytes = LARGE_BACKLOG_BYTES if client is clients[0] else SMALL_BACKLOG_BYTES
                if connections[port].unread_bytes() < limit_bytes:
                    client.send_request(stream, trace=f"{port:08x}{stream:08x}")
                    await until(lambda: connections[port].requests.last_stream == stream)  # noqa: B023
            await until(lambda: not node.dispatcher.requests)
        sound = connections[sockets[0]]
        node.admission.close_slow_readers(node.clock.now())
        unread_bytes = sound.unread_bytes()
        assert unread_bytes > max(connections[port].unread_bytes() for port in sockets[1:])
        clients[0].writer.transport.resume_reading()  # type: ignore[attr-defined]
        await until(lambda: sound.unread_bytes() < unread_bytes)
        node.dispatcher.statement_capacity_bytes = sound.unread_bytes() + SMALL_BACKLOG_BYTES // 2
        node.admission.close_slow_readers(node.clock.now())
        await until(lambda: len(node.clients) == 1)
        assert node.clients == {sound}


def connection_port(connection: ClientConnection) -> int:
    """Return the client's port."""
    assert connection.transport is not None
    return int(connection.transport.get_extra_info("peername")[1])


@pytest.mark.parametrize(
    ("complete", "incomplete", "gets_error"),
    [
        (b"", b"", True),
        (b"", frames.frame(frames.REQUEST, 1, b"\0")[:9], True),
        (frames.frame(frames.ASK_READY, 1, b"\0"), b"", False),
        (frames.frame(frames.ASK_READY, 1, b"\0"), b"\0\0", True),
    ],
    ids=["silent", "half a request", "idle after a frame", "half a second frame"],
)
@on_uvloop
async def test_a_silent_or_idle_client_or_one_with_a_partial_frame_is_timed_out(
    complete: bytes, incomplete: bytes, gets_error: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("FIRST_FRAME_TIMEOUT_NS", "FRAME_TIMEOUT_NS", "IDLE_TIMEOUT_NS"):
        monkeypatch.setattr(f"query_broker.protocols.client_timeouts.{name}", 50 * MS)
    async with running(make_config()) as broker:
        client = await broker.client()
        client.writer.write(complete + incomplete)
        if complete:
            assert (await client.frame())[0] == frames.READY
        if gets_error:
            assert (await client.answer())[:2] == (0, frames.FAILED)
        assert await client.ended()
        client.writer.close()
        await until(lambda: not broker.node.clients)


@on_uvloop
async def test_a_lost_connection_and_its_parts_are_freed_without_the_garbage_collector() -> None:
    engine = engine_with_pages(b"1\ta\tb\n")
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request()
        assert (await client.answer())[1] == frames.SERVED
        (connection,) = broker.node.admission.connections
        references: list[weakref.ref[object]] = [
            weakref.ref(connection),
            weakref.ref(connection.reader),
            weakref.ref(connection.requests),
            weakref.ref(connection.timeouts),
        ]
        del connection
        gc.disable()
        try:
            client.writer.close()
            await until(lambda: [ref() for ref in references] == [None] * len(references))
        finally:
            gc.enable()


@on_uvloop
async def test_the_bytes_of_a_handled_frame_are_freed_while_the_connection_rests() -> None:
    # Guards against handled frames of all clients that stay in memory and count against no limit.
    statement = b"SELECT 1 FROM sales_17.orders /* " + b"x" * 20_000 + b" */"
    async with broker_with_engines(Engine()) as broker:
        client = await broker.client()
        client.send_request(1, body=statement)
        assert (await client.answer())[:2] == (1, frames.SERVED)
        (connection,) = broker.node.clients
        parser = connection.reader.parser
        assert len(parser.buffer) < MIN_RELEASED_BYTES
        # The beginning of the next frame is kept.
        client.send_request(2, body=statement, trace="2" * 16)
        next_frame = frames.frame(frames.ASK_READY, 0, b"\0")
        client.writer.write(next_frame[:7])
        assert (await client.answer())[:2] == (2, frames.SERVED)
        await until(lambda: parser.buffer == next_frame[:7])
        client.writer.write(next_frame[7:])
        assert (await client.frame())[0] == frames.READY
