"""The memory that incomplete frames share: who gives way when other clients fill it."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.protocols.partial_frames import STALL_TIMEOUT_NS

from ..support.sockets import Client, Engine, RunningBroker, on_uvloop, until
from .scripted_engines import EngineForLargeStatements, broker_with_engines, silent_engine

pytestmark = pytest.mark.real_time

TEST_TIMEOUT_S = 15.0
CAPACITY_BYTES = 2 << 20
NS_PER_S = 1_000_000_000
STALL_TIMEOUT_S = STALL_TIMEOUT_NS / NS_PER_S
#: Pieces of a slow client's frame, and the time between them: complete well before two seconds, and
#: without a stall in this test, even on a busy machine.
SLOW_PIECES = 20
SLOW_INTERVAL_S = 0.04
LONG_STALL_NS = 600_000_000
TRICKLE_INTERVAL_S = 0.02


class CrowdedBroker:
    """A broker with little memory for frames, and the clients that misbehave."""

    def __init__(self, broker: RunningBroker) -> None:
        self.broker = broker
        self.node = broker.node
        self.clients: list[Client] = []  # a client that nothing refers to is closed
        self.task: asyncio.Task[None] | None = None

    async def client(self) -> Client:
        client = await self.broker.client()
        self.clients.append(client)
        return client


Misbehave = Callable[[CrowdedBroker, int, int], Awaitable[None]]


def statement(size_bytes: int) -> bytes:
    return b"SELECT 1 FROM sales_17.orders /* " + b"7" * size_bytes + b" */"


def half_frame(size_bytes: int) -> bytes:
    return frames.frame(frames.REQUEST, 1, bytes(frames.MAX_FRAME_LENGTH - 5))[:size_bytes]


def whole_frame(size_bytes: int, number: int) -> bytes:
    """Return a valid request with a statement of about this size."""
    fields = {"route": "glance", "trace": f"{number:016x}", "patience": "4000", "customer": "acme"}
    return frames.frame(frames.REQUEST, 1, frames.write_fields(fields) + statement(size_bytes))


async def send_and_stop(broker: CrowdedBroker, count: int, size_bytes: int) -> None:
    for _ in range(count):
        client = await broker.client()
        client.writer.write(half_frame(size_bytes))


async def send_and_trickle(broker: CrowdedBroker, count: int, size_bytes: int) -> None:
    """Begin frames, and go on with a byte at a time."""
    clients = [await broker.client() for _ in range(count)]
    for client in clients:
        client.writer.write(half_frame(size_bytes))

    async def trickle() -> None:
        for _ in range(int(TEST_TIMEOUT_S / TRICKLE_INTERVAL_S)):
            await asyncio.sleep(TRICKLE_INTERVAL_S)
            for client in clients:
                client.writer.write(b"\0")

    broker.task = asyncio.create_task(trickle())


async def come_again(broker: CrowdedBroker, count: int, size_bytes: int) -> None:
    """Begin frames on new connections again and again."""

    async def one() -> None:
        while True:
            client = await broker.client()
            client.writer.write(half_frame(size_bytes))
            await asyncio.sleep(STALL_TIMEOUT_S / 2)
            client.writer.transport.abort()

    async def flood() -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(count // 2):  # each has a connection that ends and one that begins
                group.create_task(one())

    broker.task = asyncio.create_task(flood())


@asynccontextmanager
async def crowded_broker(
    capacity_bytes: int = CAPACITY_BYTES, engine: Engine | None = None
) -> AsyncIterator[CrowdedBroker]:
    """Start a broker with this much memory for frames; the task of its clients ends with it."""
    async with broker_with_engines(engine or EngineForLargeStatements()) as broker:
        broker.node.dispatcher.statement_capacity_bytes = capacity_bytes
        crowded = CrowdedBroker(broker)
        try:
            yield crowded
        finally:
            if crowded.task is not None:
                crowded.task.cancel()
                await asyncio.wait([crowded.task])


async def answer_code(client: Client) -> tuple[int, int]:
    stream, code, _, _ = await client.answer()
    return stream, code


@pytest.mark.parametrize("misbehave", [send_and_stop, send_and_trickle, come_again])
@pytest.mark.parametrize(
    ("count", "half_bytes", "sound_bytes"),
    [
        pytest.param(12, 261_000, 240_000, id="the sound one is smaller"),
        pytest.param(50, 60_000, 260_000, id="the sound one is the largest"),
        pytest.param(60, 250_000, 70_000, id="far more than there is memory"),
    ],
)
@on_uvloop
async def test_half_frames_of_other_clients_cost_no_complete_request_its_answer(
    misbehave: Misbehave, count: int, half_bytes: int, sound_bytes: int
) -> None:
    # Guards against a sound client that is cut off because others fill the memory of frames.
    async with asyncio.timeout(TEST_TIMEOUT_S), crowded_broker() as broker:
        early = await broker.client()
        await misbehave(broker, count, half_bytes)
        for number in range(3):
            client = await broker.client()
            client.writer.write(whole_frame(sound_bytes, number))
            assert (await answer_code(client))[0] == 1
            await asyncio.sleep(STALL_TIMEOUT_S / 3)
        early.writer.write(whole_frame(sound_bytes, 9))
        assert (await answer_code(early))[0] == 1


@on_uvloop
async def test_a_slow_client_completes_its_frame_beside_half_frames(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a slow sound client that gives way to clients that have stopped.
    for name in ("STALL_TIMEOUT_NS", "SHORT_STALL_TIMEOUT_NS"):
        monkeypatch.setattr(f"query_broker.protocols.partial_frames.{name}", LONG_STALL_NS)
    async with asyncio.timeout(TEST_TIMEOUT_S), crowded_broker() as broker:
        data = whole_frame(240_000, 1)
        piece_bytes = -(-len(data) // SLOW_PIECES)
        client = await broker.client()
        for begin in range(0, len(data), piece_bytes):
            client.writer.write(data[begin : begin + piece_bytes])
            await send_and_stop(broker, 3, 250_000)
            await asyncio.sleep(SLOW_INTERVAL_S)
        assert await answer_code(client) == (1, frames.SERVED)


@on_uvloop
async def test_sound_clients_that_fill_the_memory_together_are_all_answered() -> None:
    # Guards against large requests at one time that are cut off in place of being read later.
    async with asyncio.timeout(TEST_TIMEOUT_S), crowded_broker() as broker:
        clients = [await broker.client() for _ in range(60)]
        for number, client in enumerate(clients):
            client.writer.write(whole_frame(200_000, number))
        assert [(await answer_code(client))[0] for client in clients] == [1] * len(clients)
        assert broker.node.partial_frame_bytes == 0


@on_uvloop
async def test_the_bytes_of_half_frames_stay_within_the_limit() -> None:
    # Guards against a bound that waiting connections pass.
    async with asyncio.timeout(TEST_TIMEOUT_S), crowded_broker() as broker:
        held_bytes: list[int] = []
        restrict = broker.node.partial_frames.restrict

        def recorded_restrict(holder: object) -> None:
            restrict(holder)  # type: ignore[arg-type]
            held_bytes.append(broker.node.partial_frame_bytes)

        broker.node.partial_frames.restrict = recorded_restrict  # type: ignore[method-assign]
        await send_and_stop(broker, 90, 261_000)
        await until(lambda: sum(client.broken for client in broker.node.clients) > 70)
        assert held_bytes
        assert max(held_bytes) <= CAPACITY_BYTES


@on_uvloop
async def test_a_connection_with_an_open_request_gives_way_last() -> None:
    # Guards against the early end of a request whose connection has begun another one.
    engine = silent_engine()
    async with asyncio.timeout(TEST_TIMEOUT_S), crowded_broker(800_000, engine) as broker:
        busy = await broker.client()
        busy.send_request(1)
        await until(lambda: engine.commands_named(b"do"))
        busy.writer.write(half_frame(120_000))
        await until(lambda: broker.node.partial_frame_bytes == 120_000)
        for _ in range(3):
            await send_and_stop(broker, 1, 110_000)
            await asyncio.sleep(1.5 * STALL_TIMEOUT_S)
        await until(lambda: any(client.broken for client in broker.node.clients))
        open_connections = [client for client in broker.node.clients if client.open_requests]
        assert [client.broken for client in open_connections] == [False]


@on_uvloop
async def test_small_requests_are_served_while_the_memory_is_exceeded() -> None:
    # Guards against the end of whichever connection receives bytes while the memory is exceeded.
    async with asyncio.timeout(TEST_TIMEOUT_S), crowded_broker() as broker:
        await send_and_stop(broker, 5, 200_000)
        await until(lambda: broker.node.partial_frame_bytes == 1_000_000)
        broker.node.dispatcher.statement_capacity_bytes = 100_000  # as when a process is started
        client = await broker.client()
        for stream in itertools.count(1):
            client.send_request(stream, trace=f"{stream:016x}")
            assert await answer_code(client) == (stream, frames.SERVED)
            if stream == 3:
                break


@pytest.mark.parametrize("first_bytes", [2, 5])
@on_uvloop
async def test_the_beginning_of_a_next_frame_needs_memory_of_its_own(
    first_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against frames behind complete ones that pass the limit, so that others are cut off.
    for name in ("STALL_TIMEOUT_NS", "SHORT_STALL_TIMEOUT_NS"):
        monkeypatch.setattr(f"query_broker.protocols.partial_frames.{name}", LONG_STALL_NS)
    async with asyncio.timeout(TEST_TIMEOUT_S), crowded_broker(600_000) as broker:
        clients = [await broker.client() for _ in range(12)]
        ready = frames.frame(frames.ASK_READY, 1, b"\0")
        for client in clients:
            client.writer.write(ready[:first_bytes])
        await until(lambda: broker.node.partial_frame_bytes == first_bytes * len(clients))
        for client in clients:
            client.writer.write(ready[first_bytes:] + half_frame(261_000))
        for client in clients:
            assert (await client.frame())[0] == frames.READY
        memory = broker.node.partial_frames
        assert memory.total_bytes + memory.outstanding_bytes <= 600_000
        assert not any(client.broken for client in broker.node.clients)


@on_uvloop
async def test_a_frame_needs_memory_from_when_its_length_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against frames that begin with a part of their length and pass the limit.
    for name in ("STALL_TIMEOUT_NS", "SHORT_STALL_TIMEOUT_NS"):
        monkeypatch.setattr(f"query_broker.protocols.partial_frames.{name}", LONG_STALL_NS)
    async with asyncio.timeout(TEST_TIMEOUT_S), crowded_broker(600_000) as broker:
        memory = broker.node.partial_frames
        clients = [await broker.client() for _ in range(12)]
        for client in clients:
            client.writer.write(half_frame(3))
        await until(lambda: memory.total_bytes == 3 * len(clients))
        for client in clients:
            client.writer.write(half_frame(261_000)[3:])
        await until(lambda: memory.total_bytes > 300_000)
        assert memory.total_bytes + memory.outstanding_bytes <= 600_000
        assert not any(client.broken for client in broker.node.clients)
