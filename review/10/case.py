"""Other clients' large statements keep the broker busy; a sound client's requests end too late."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))
from lab import (  # noqa: E402
    MS,
    S,
    Answer,
    Arrival,
    Broker,
    Client,
    CouldNotRunError,
    Engine,
    Record,
    code_of,
    new_trace,
    request_frame,
    run_case,
    settings,
    target,
)

#: A third of the descriptors is 224: the clients of this case, 121, stay below it.
LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 672}
BAD_CLIENTS = 120
LOAD_S = 15.0
#: Valid text within the largest frame of the protocol: names with dots, and no group of tables.
BAD_STATEMENT = b"a.a " * 65_000
STATEMENT = b"SELECT 1 FROM sales_17.orders"
DEADLINE_S = 2.0
PATIENCE_S = 1.8
#: The rule: an answer up to half a second late only earns nothing, later it is lost; 50 ms on sockets.
LOST_AFTER_S = PATIENCE_S + 0.5 + 0.05
REQUEST_INTERVAL_S = 0.25
CLASSES = [
    {
        "name": "lookup",
        "aim": 800 * MS,
        "aim_stretch": 2.0,
        "deadline": int(DEADLINE_S * S),
        "effect": "read_like",
        "group": "all",
        "late_value": 0.0,
        "streaming": False,
        "window": 5 * S,
        "worth": 1.0,
    },
]


def lookup_fields() -> dict[str, str]:
    return {
        "route": "lookup",
        "trace": new_trace(),
        "patience": str(int(PATIENCE_S * 1000)),
        "weight": "100.0",
        "ram": "16",
    }


async def keep_busy(record: Record, port: int, end: float) -> int:
    """A bad client: one large request after the other, the next once the last is over."""
    asked = 0
    while time.monotonic() < end:
        try:
            client = await Client.connect(record, port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        stream = 0
        while time.monotonic() < end and client.ended_at is None:
            stream += 1
            asked += 1
            client.send(request_frame(stream, lookup_fields(), BAD_STATEMENT))
            if await client.wait_answer(stream, 10) is None:
                break
        client.close()
    return asked


async def case(record: Record, trouble: bool) -> list[str]:
    arrivals: list[Arrival] = []
    engines = [Engine(record, f"s-{n}", arrivals, {"lookup": 0.1}) for n in range(4)]
    targets = [target(engine.uid, await engine.start()) for engine in engines]
    broker = Broker(record, settings(classes=CLASSES), targets, LIMITS)
    try:
        await broker.start()
        client = await Client.connect(record, broker.port)
        end = time.monotonic() + LOAD_S
        bad = [
            asyncio.create_task(keep_busy(record, broker.port, end))
            for _ in range(BAD_CLIENTS if trouble else 0)
        ]
        sent: dict[int, tuple[str, float]] = {}
        while time.monotonic() < end:
            fields = lookup_fields()
            stream = len(sent) + 1
            client.send(request_frame(stream, fields, STATEMENT))
            sent[stream] = (fields["trace"], time.monotonic())
            await asyncio.sleep(REQUEST_INTERVAL_S)
        if trouble:
            record(f"{BAD_CLIENTS} bad clients have sent {sum(await asyncio.gather(*bad))} requests")
        await asyncio.sleep(10)
        if client.ended_at is not None:
            record("the sound client's connection has ended")
    finally:
        broker.stop()
    broken = []
    for stream, (trace, sent_at) in sent.items():
        answer: Answer | None = client.answers.get(stream)
        if answer is None or not answer.codes:
            broken.append(f"{trace} was never answered")
            continue
        after_s = answer.at - sent_at
        record(f"client: {trace} got {code_of(answer)} after {after_s:.3f} s")
        if after_s > LOST_AFTER_S:
            broken.append(f"{trace} was answered {after_s:.3f} s after it was sent; it waits 1.8 s")
    if len(sent) < 40:
        raise CouldNotRunError("the sound client sent too little")
    return broken


run_case(Path(__file__).resolve().parent, case)
