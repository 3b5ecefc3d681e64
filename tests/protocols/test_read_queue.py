"""The turns of client connections: large requests of many clients do not delay those of others."""

from __future__ import annotations

import asyncio

import pytest

from query_broker.dispatch.requests import ReceiveTimes
from query_broker.protocols import client_frames as frames
from query_broker.protocols.client_requests import OpenRequests
from query_broker.protocols.read_queue import MAX_ROUND_NS, ReadQueue

from ..support.sockets import on_uvloop, until
from .scripted_engines import EngineForLargeStatements, broker_with_engines

pytestmark = pytest.mark.real_time

TEST_TIMEOUT_S = 15.0
LARGE_CLIENTS = 40
LARGE_STATEMENT = b"a_1 a.a " * 30_000


class SteppedClock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now_ns = 0

    def now(self) -> int:
        return self.now_ns


class QueueUnderTest:
    """A queue, its clock, and the names of those that had a turn."""

    def __init__(self) -> None:
        self.clock = SteppedClock()
        self.queue = ReadQueue(self.clock)
        self.taken: list[str] = []


class Turns:
    """A connection that needs this many turns, each of which takes this long."""

    def __init__(self, name: str, subject: QueueUnderTest, count: int, cost_ns: int) -> None:
        self.name = name
        self.subject = subject
        self.count = count
        self.cost_ns = cost_ns
        subject.queue.add(self)

    def resume(self) -> None:
        self.subject.taken.append(self.name)
        self.subject.clock.now_ns += self.cost_ns
        self.count -= 1
        if self.count:
            self.subject.queue.add(self)


@on_uvloop
async def test_turns_are_given_in_order_and_for_a_short_time_in_each_iteration() -> None:
    # Guards against an iteration of the event loop that handles the frames of all connections.
    subject = QueueUnderTest()
    Turns("busy", subject, 3, MAX_ROUND_NS)
    Turns("short", subject, 2, MAX_ROUND_NS // 4)
    Turns("third", subject, 1, MAX_ROUND_NS // 4)
    await asyncio.sleep(0)
    assert subject.taken == ["busy"]
    await until(lambda: len(subject.taken) == 6)
    assert subject.taken == ["busy", "short", "third", "busy", "short", "busy"]


@on_uvloop
async def test_a_small_request_does_not_wait_for_the_large_ones_of_many_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against lookups that are answered too late beside other clients' large statements.
    submitted_streams: list[int] = []
    submit = OpenRequests.submit

    def recorded_submit(
        self: OpenRequests, stream: int, payload: bytes, times: ReceiveTimes
    ) -> None:
        submitted_streams.append(stream)
        submit(self, stream, payload, times)

    monkeypatch.setattr(OpenRequests, "submit", recorded_submit)
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        broker_with_engines(EngineForLargeStatements()) as broker,
    ):
        node = broker.node
        clients = [await broker.client() for _ in range(LARGE_CLIENTS)]
        sound = await broker.client()
        for number, client in enumerate(clients):
            client.send_request(1, body=LARGE_STATEMENT, trace=f"{number:016x}")
        await until(lambda: submitted_streams)
        sound.send_request(2, trace="f" * 16)
        assert (await sound.answer())[:2] == (2, frames.SERVED)
        assert submitted_streams.index(2) < LARGE_CLIENTS // 2
        for client in clients:
            assert (await client.answer())[0] == 1
        assert node.partial_frame_bytes == 0
