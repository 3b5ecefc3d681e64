"""Golden form of the operators' address: the complete bytes of each answer, on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from ...support.sockets import make_config, on_uvloop, running, target_entry, within
from .http_calls import CALLS, CALLS_BEFORE_THE_ENDPOINT_LIST, CALLS_BEYOND_THE_BOUNDS

pytestmark = pytest.mark.real_time


async def answer_to(call: bytes, *, listed: bool = True, ends_its_side: bool = False) -> bytes:
    """Send the call on a connection of its own and return all bytes that come back."""
    config = make_config(target_entry("s-1", 9), operator=True, listed=listed)
    async with running(config) as broker:
        reader, writer = await asyncio.open_connection("127.0.0.1", broker.operator_port)
        writer.write(call)
        if ends_its_side:
            writer.write_eof()
        answer = await within(reader.read())
        writer.close()
    return answer


@pytest.mark.parametrize(("call", "answer"), CALLS)
@on_uvloop
async def test_http_answer_bytes(call: bytes, answer: bytes) -> None:
    assert await answer_to(call) == answer


@pytest.mark.parametrize(("call", "answer"), CALLS_BEFORE_THE_ENDPOINT_LIST)
@on_uvloop
async def test_http_answer_bytes_before_the_endpoint_list(call: bytes, answer: bytes) -> None:
    assert await answer_to(call, listed=False) == answer


@pytest.mark.parametrize(("call", "answer"), CALLS_BEYOND_THE_BOUNDS)
@on_uvloop
async def test_http_answer_bytes_to_a_call_beyond_its_bounds(call: bytes, answer: bytes) -> None:
    assert await answer_to(call) == answer


@on_uvloop
async def test_http_answer_bytes_to_an_incomplete_call_whose_caller_ends_its_side() -> None:
    assert await answer_to(b"GET /rea", ends_its_side=True) == (
        b"HTTP/1.1 400 Bad Request\r\n"
        b"Content-Type: text/plain; charset=utf-8\r\n"
        b"Content-Length: 22\r\n"
        b"Connection: close\r\n"
        b"\r\n"
        b"the call is not whole\n"
    )
