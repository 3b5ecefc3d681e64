"""Client frames on real sockets: malformed, incomplete, too large or too many."""

from __future__ import annotations

import pytest

from query_broker.protocols import client_frames as frames

from ..support.sockets import make_config, on_uvloop, running, until
from .scripted_engines import broker_with_engines, silent_engine

pytestmark = pytest.mark.real_time


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\0\0\0\x04", id="length below 5"),
        pytest.param(b"\0\0\0\x05\x03\0\0\0\x01", id="a broker's type"),
        pytest.param(b"\xff\xff\xff\xff", id="length too large"),
        pytest.param(frames.frame(frames.REQUEST, 1, b"\x01\x05r"), id="truncated field"),
        pytest.param(frames.frame(frames.REQUEST, 0, b"\0"), id="request on stream 0"),
        pytest.param(frames.frame(frames.ASK_READY, 1, b""), id="no body"),
    ],
)
@on_uvloop
async def test_a_malformed_frame_gets_an_error_on_stream_0_and_the_connection_closes(
    data: bytes,
) -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.writer.write(data)
        stream, code, _, _ = await client.answer()
        assert (stream, code) == (0, frames.FAILED)
        assert await client.ended()
        assert not engine.commands
        assert not broker.node.dispatcher.requests


@on_uvloop
async def test_a_reused_stream_closes_the_connection() -> None:
    async with running(make_config()) as broker:
        client = await broker.client()
        client.send_request(stream=2)
        client.send_request(stream=2)
        assert (await client.answer())[:2] == (2, frames.REFUSED)
        assert (await client.answer())[0] == 0
        assert await client.ended()


@on_uvloop
async def test_a_client_that_sends_thousands_of_frames_does_not_delay_other_clients() -> None:
    async with running(make_config()) as broker:
        flooding_client = await broker.client()
        other_client = await broker.client()
        flooding_client.writer.write(frames.frame(frames.ASK_READY, 1, b"\0") * 20_000)
        other_client.send(frames.ASK_READY, 1, b"\0")
        ready = broker.node.ready
        ready_calls = 0

        def counted_ready() -> bool:
            nonlocal ready_calls
            ready_calls += 1
            return ready()

        broker.node.ready = counted_ready  # type: ignore[method-assign]
        assert await other_client.frame() == (frames.READY, 1, b"\0\0")
        assert ready_calls < 10_000
        for _ in range(20_000):
            assert await flooding_client.frame() == (frames.READY, 1, b"\0\0")


@on_uvloop
async def test_the_incomplete_frames_of_all_clients_together_are_bounded() -> None:
    async with running(make_config()) as broker:
        broker.node.dispatcher.statement_capacity_bytes = 310_000
        clients = [await broker.client() for _ in range(3)]
        for client in clients:
            client.writer.write((200_000).to_bytes(4, "big") + b"\x02" + bytes(150_000))
        await until(lambda: any(connection.broken for connection in broker.node.clients))
        assert broker.node.partial_frame_bytes <= 310_000
        assert sum(connection.broken for connection in broker.node.clients) == 1
        for client in clients:
            client.writer.close()
        await until(lambda: not broker.node.clients)
        assert broker.node.partial_frame_bytes == 0


@on_uvloop
async def test_the_error_for_a_frame_of_60_mb_arrives_although_most_of_it_is_unread() -> None:
    async with running(make_config()) as broker:
        client = await broker.client()
        client.writer.write((60 << 20).to_bytes(4, "big") + b"\x02" + bytes(8 << 20))
        stream, code, _, reason = await client.answer()
        assert (stream, code) == (0, frames.FAILED)
        assert b"length" in reason
        assert await client.ended()
        assert broker.node.partial_frame_bytes == 0
        await until(lambda: not broker.node.clients)
