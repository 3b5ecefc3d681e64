"""Other clients' half requests fill the memory for incomplete frames; a sound client is cut off."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))
from lab import (  # noqa: E402
    HOST,
    Arrival,
    Broker,
    Client,
    CouldNotRunError,
    Engine,
    Record,
    code_of,
    frame,
    new_trace,
    request_frame,
    run_case,
    settings,
    target,
)

# A third of the descriptors is 224: the clients of this case, 110 and one, stay below it.
LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 672}
#: How many bad clients send how much of a request, within the largest frame of the protocol.
BAD_CLIENTS = [261_000] * 60 + [20_000] * 30 + [2_000] * 20
ROUNDS = 5
REQUESTS_PER_ROUND = 4
#: A statement of a sound client: a long list of values, within the largest frame.
STATEMENT = b"SELECT 1 FROM sales_17.orders WHERE id IN (" + b"7," * 120_000 + b"7)"
SMALL = b"SELECT 1 FROM sales_17.orders"
PATIENCE_S = 4.0


async def send_much_and_stop(record: Record, port: int) -> list[asyncio.StreamWriter]:
    """Bad clients: each sends a part of a large request at once, and then no more of it."""
    whole = frame(2, 1, b"\0" * (262_144 - 5))
    writers = []
    for size in BAD_CLIENTS:
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(whole[:size])
        writers.append(writer)
    record(f"{len(BAD_CLIENTS)} bad clients have sent {sum(BAD_CLIENTS)} bytes of requests")
    return writers


@dataclass
class Try:
    """What became of one try of a request."""

    seen: str
    answered: bool
    written: bool  # the last byte, before the connection ended
    crossed: bool  # the connection ended within 50 ms of the last byte


async def send_once(record: Record, port: int, label: str, trace: str, statement: bytes) -> Try:
    """One request on a new connection, written at once."""
    client = await Client.connect(record, port)
    fields = {
        "route": "lookup",
        "trace": trace,
        "patience": str(int(PATIENCE_S * 1000)),
        "weight": "100.0",
        "ram": "16",
    }
    data = request_frame(1, fields, statement)
    client.send(data)
    while client.writer.transport.get_write_buffer_size() and client.ended_at is None:
        await asyncio.sleep(0.001)
    written_at = time.monotonic()
    written = client.writer.transport.get_write_buffer_size() == 0 and client.ended_at is None
    answer = await client.wait_answer(1, PATIENCE_S + 0.5)
    ended = client.ended_at
    record(
        f"{label}: {trace}, {len(data)} bytes, {'all' if written else 'NOT all'} written, got "
        f"{code_of(answer)}; the connection "
        + ("is open" if ended is None else f"ended {ended - written_at:.4f} s after the last byte")
        + f"; errors on stream 0: {client.errors}"
    )
    client.close()
    crossed = ended is not None and ended - written_at <= 0.05
    return Try(code_of(answer), answer is not None, written, crossed)


async def ask(record: Record, port: int, number: str, statement: bytes) -> str | None:
    """A sound client's request; it is sent once more if it crossed the end of its connection.

    Returns how the rule was broken, if it was.
    """
    trace = new_trace()
    label = f"client {number}"
    first = await send_once(record, port, label, trace, statement)
    if first.answered:
        return None
    last = first
    if first.crossed or not first.written:
        last = await send_once(record, port, f"{label}, once more", trace, statement)
    if last.answered or not last.written:
        return None
    return f"{label}: {trace} was written whole, sent once more on a new connection, never answered"


async def case(record: Record, trouble: bool) -> list[str]:
    arrivals: list[Arrival] = []
    engines = [Engine(record, f"s-{n}", arrivals, {"lookup": 0.1}) for n in range(4)]
    ports = [await engine.start() for engine in engines]
    targets = [target(e.uid, p) for e, p in zip(engines, ports, strict=True)]
    broker = Broker(record, settings(), targets, LIMITS)
    broken: list[str] = []
    try:
        await broker.start()
        for round_number in range(ROUNDS):
            bad: list[asyncio.StreamWriter] = []
            if trouble:
                bad = await send_much_and_stop(record, broker.port)
            await asyncio.sleep(0.3)
            for number in range(REQUESTS_PER_ROUND):
                label = f"{round_number}.{number}"
                result = await ask(record, broker.port, label, STATEMENT)
                if result is not None:
                    broken.append(result)
                await asyncio.sleep(0.05)
            for writer in bad:
                writer.transport.abort()
            await asyncio.sleep(0.3)
            if await ask(record, broker.port, f"{round_number}, small", SMALL) is not None:
                raise CouldNotRunError("a small request without other clients got no answer")
        if len(arrivals) < ROUNDS:
            raise CouldNotRunError("the small requests did not reach the engines")
    finally:
        broker.stop()
    record(f"{ROUNDS * REQUESTS_PER_ROUND} large requests, {len(broken)} without an answer")
    return broken


run_case(Path(__file__).resolve().parent, case)
