"""Golden form of the answers that a client gets over its connection."""

from __future__ import annotations

import asyncio

import pytest

from ...support.sockets import Engine, make_config, on_uvloop, running, target_entry, within
from .client_exchanges import EXCHANGES, REQUEST, Exchange

pytestmark = pytest.mark.real_time


async def received(sent: bytes, size: int) -> bytes:
    """What a client gets for these bytes until it has so many or the broker ends its side."""
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as broker:
        reader, writer = await asyncio.open_connection("127.0.0.1", broker.port)
        writer.write(sent)
        answer = b""
        while len(answer) < size:
            data = await within(reader.read(size - len(answer)))
            if not data:
                break
            answer += data
        writer.close()
    return answer


@pytest.mark.parametrize(
    "exchange", [pytest.param(exchange, id=exchange.name) for exchange in EXCHANGES]
)
@on_uvloop
async def test_a_client_gets_the_bytes_of_its_answer(exchange: Exchange) -> None:
    assert await received(exchange.sent, len(exchange.answer)) == exchange.answer


@on_uvloop
async def test_a_rejection_names_its_pause() -> None:
    """The pause is drawn: its frame is literal but for the digits."""
    async with running(make_config()) as broker:
        reader, writer = await asyncio.open_connection("127.0.0.1", broker.port)
        writer.write(REQUEST)
        size = int.from_bytes(await within(reader.readexactly(4)), "big")
        frame = await within(reader.readexactly(size))
        writer.close()
    head = frame[:15]
    digits = frame[15:]
    length = len(digits).to_bytes(1, "big")
    assert head == b"\x04\x00\x00\x00\x01\x01\x01\x05pause\x00" + length
    assert digits.isdigit()
