"""The engines' floor is cut off for 6 s; a keyed load comes whole again after its window."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))
from lab import (  # noqa: E402
    MS,
    S,
    Arrival,
    Broker,
    Client,
    CouldNotRunError,
    Engine,
    KeyMemory,
    Link,
    Record,
    code_of,
    new_trace,
    request_frame,
    run_case,
    settings,
    target,
)

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 672}
#: The longest partition that the pages name for a zone.
CUT_S = 6.0
WINDOW_S = 5.0
#: The tolerance of the pages for times on sockets.
SLACK_S = 0.05
ROUNDS = 3
WORK_S = {"lookup": 0.1, "load": 0.5}
#: A load of 150 kB, within the largest frame of the protocol.
LOAD = b"INSERT INTO sales_17.orders VALUES " + b"(7,'order','counted')," * 6_800 + b"(7,'','')"
CLASSES = [
    {
        "name": "lookup",
        "aim": 800 * MS,
        "aim_stretch": 2.0,
        "deadline": 4 * S,
        "effect": "read_like",
        "group": "all",
        "late_value": 0.0,
        "streaming": False,
        "window": 5 * S,
        "worth": 1.0,
    },
    {
        "name": "load",
        "aim": 3 * S,
        "aim_stretch": 2.5,
        "deadline": 20 * S,
        "effect": "idempotency_key",
        "group": "all",
        "late_value": 0.4,
        "streaming": False,
        "window": int(WINDOW_S * S),
        "worth": 12.0,
    },
]


def lookup_fields() -> dict[str, str]:
    return {
        "route": "lookup",
        "trace": new_trace(),
        "patience": "4000",
        "weight": "100.0",
        "ram": "16",
    }


async def warm_up(client: Client, links: list[Link], first: int) -> int:
    """Send lookups until the broker has a connection to each engine; return the next stream."""
    stream = first
    while stream < first + 40 or not all(link.connections for link in links):
        if stream > first + 200:
            raise CouldNotRunError("the broker did not use every engine")
        client.send(request_frame(stream, lookup_fields(), b"SELECT 1 FROM sales_17.orders"))
        if await client.wait_answer(stream, 5) is None:
            raise CouldNotRunError("a lookup before the disruption got no answer")
        stream += 1
    return stream


async def play(
    record: Record, broker: Broker, links: list[Link], arrivals: list[Arrival], trouble: bool
) -> str:
    """One load that has begun when the engines' floor is cut off; return its key."""
    lookups = await Client.connect(record, broker.port)
    await warm_up(lookups, links, 1)
    key = os.urandom(16).hex()
    client = await Client.connect(record, broker.port)
    fields = {
        "route": "load",
        "trace": new_trace(),
        "patience": "18000",
        "nonce": key,
        "weight": "1000.0",
        "ram": "64",
    }
    record(f"client: load {fields['trace']} with key {key} is sent")
    client.send(request_frame(1, fields, LOAD))
    for _ in range(400):
        await asyncio.sleep(0.005)
        if any(arrival.fields.get("nonce") == key for arrival in arrivals):
            break
    else:
        raise CouldNotRunError("the load did not reach an engine")
    if trouble:
        for link in links:
            link.cut()
        await asyncio.sleep(CUT_S)
        for link in links:
            link.heal()
    answer = await client.wait_answer(1, 20)
    record(f"client: load {fields['trace']} got {code_of(answer)}")
    await asyncio.sleep(2.0)
    client.close()
    lookups.close()
    return key


async def case(record: Record, trouble: bool) -> list[str]:
    arrivals: list[Arrival] = []
    keys = KeyMemory(WINDOW_S)
    engines = [
        Engine(record, f"s-{number}", arrivals, WORK_S, keys, heeds_undo=True)
        for number in range(3)
    ]
    links = [Link(record, engine.uid, await engine.start()) for engine in engines]
    targets = [
        {**target(engine.uid, await link.start()), "az": "first"}
        for engine, link in zip(engines, links, strict=True)
    ]
    raw = settings(
        classes=CLASSES,
        zone="ground",
        zones=["ground", "first"],
        policy_limits={"cancel": True},
        specifics={
            "blocked_by_loads": [True, False],
            "is_load": [False, True],
            "parallelism": [1, 2],
        },
    )
    broker = Broker(record, raw, targets, LIMITS)
    played: list[str] = []
    try:
        await broker.start()
        for _ in range(ROUNDS):
            played.append(await play(record, broker, links, arrivals, trouble))
    finally:
        broker.stop()
    broken = []
    for key in played:
        tries = [arrival for arrival in arrivals if arrival.fields.get("nonce") == key]
        for later in tries[1:]:
            after_s = later.at - tries[0].at
            record(f"key {key}: came whole to {later.engine} {after_s:.3f} s after the first time")
            if after_s > WINDOW_S + SLACK_S and later.ran:
                broken.append(
                    f"key {key} ran at {tries[0].engine} and again at {later.engine}, where it "
                    f"came whole {after_s:.3f} s later; the window is {WINDOW_S:.0f} s"
                )
    return broken


run_case(Path(__file__).resolve().parent, case)
