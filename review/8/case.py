"""A zone is cut off for 6 s; what its clients cancelled meanwhile begins when it comes back."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass
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
    Link,
    Record,
    code_of,
    frame,
    new_trace,
    request_frame,
    run_case,
    settings,
    target,
)

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 672}
#: The longest partition that the pages name for a zone.
CUT_S = 6.0
#: When the clients of the lookups leave, after they have sent them.
LEAVE_AFTER_S = 0.4
#: The rule: no attempt begins later than this after its client has gone, and 50 ms on sockets.
LATEST_BEGIN_S = 0.1 + 0.05
REPORTS = 6
LOOKUPS = 12
WORK_S = {"lookup": 0.1, "report": 0.3}
CLASSES = [
    {
        "name": "lookup",
        "aim": 1 * S,
        "aim_stretch": 2.0,
        "deadline": 5 * S,
        "effect": "read_like",
        "group": "all",
        "late_value": 0.0,
        "streaming": False,
        "window": 5 * S,
        "worth": 1.0,
    },
    {
        "name": "report",
        "aim": 1_500 * MS,
        "aim_stretch": 2.5,
        "deadline": 20 * S,
        "effect": "read_like",
        "group": "all",
        "late_value": 0.4,
        "streaming": False,
        "window": 5 * S,
        "worth": 10.0,
    },
]


@dataclass
class Sent:
    trace: str
    route: str
    client: Client
    stream: int
    left_at: float = 0.0


#: The reports fill what the system at the other end of a cut link takes in, 2 to 3 kB: what the broker sends
#: after the first of them is not acknowledged. They stay below the 16 kB that the broker lets its system hold.
STATEMENTS = {
    "lookup": b"SELECT 1 FROM sales_17.orders",
    "report": b"SELECT 1 FROM sales_17.orders WHERE id IN (" + b"7," * 1_800 + b"7)",
}


def send(client: Client, stream: int, route: str, patience_s: float) -> Sent:
    trace = new_trace()
    fields = {
        "route": route,
        "trace": trace,
        "patience": str(int(patience_s * 1000)),
        "weight": f"{WORK_S[route] * 1000:.1f}",
        "ram": "16",
    }
    client.send(request_frame(stream, fields, STATEMENTS[route]))
    return Sent(trace, route, client, stream)


async def case(record: Record, trouble: bool) -> list[str]:
    arrivals: list[Arrival] = []
    engines = [Engine(record, uid, arrivals, WORK_S) for uid in ("s-near", "s-far")]
    links = [Link(record, engine.uid, await engine.start()) for engine in engines]
    targets = []
    for engine, link, zone in zip(engines, links, ("ground", "first"), strict=True):
        targets.append({**target(engine.uid, await link.start()), "az": zone})
    raw = settings(
        classes=CLASSES,
        charges={"handshake": 0.05},
        zone="ground",
        zones=["ground", "first"],
        specifics={"blocked_by_loads": [False, False], "is_load": [False, False]},
    )
    raw["specifics"]["parallelism"] = [1, 1]
    broker = Broker(record, raw, targets, LIMITS)
    broken: list[str] = []
    try:
        await broker.start()
        lookups = await Client.connect(record, broker.port)
        reports = await Client.connect(record, broker.port)
        for number in range(1, 21):  # the broker has a connection to each engine after these
            send(lookups, number, "lookup", 5.0)
            send(reports, number, "report", 18.0)
            await lookups.wait_answer(number, 5)
            await reports.wait_answer(number, 5)
        if {arrival.engine for arrival in arrivals} != {"s-near", "s-far"}:
            raise CouldNotRunError("one engine got nothing before the disruption")
        if trouble:
            links[1].cut()
        cut_at = time.monotonic()
        await asyncio.sleep(0.02)
        sent: list[Sent] = []
        for number in range(REPORTS):
            sent.append(send(reports, 101 + number, "report", 18.0))
        await asyncio.sleep(0.02)
        for number in range(LOOKUPS):
            sent.append(send(lookups, 101 + number, "lookup", 5.0))
        for request in sent:
            record(f"client: {request.trace} {request.route} is sent")
        await asyncio.sleep(LEAVE_AFTER_S)
        gone = []
        for request in sent:
            if request.route == "lookup" and not lookups.answers[request.stream].codes:
                lookups.send(frame(8, request.stream))
                request.left_at = time.monotonic()
                gone.append(request)
                record(f"client: {request.trace} is cancelled, nobody waits for it any more")
        await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        if trouble:
            links[1].heal()
        await asyncio.sleep(2.0)
        for request in sent:
            if not request.left_at:
                answer = await request.client.wait_answer(request.stream, 20)
                record(f"client: {request.trace} {request.route} got {code_of(answer)}")
        if trouble and not gone:
            raise CouldNotRunError("no lookup was on its way to the engine that was cut off")
        for request in gone:
            for arrival in arrivals:
                late_s = arrival.at - request.left_at
                if arrival.trace == request.trace and late_s > LATEST_BEGIN_S:
                    broken.append(
                        f"{request.trace} began at {arrival.engine} {late_s:.3f} s after its "
                        "client had cancelled it"
                    )
        record(f"{len(gone)} requests cancelled, connections of the links: "
               f"{[link.connections for link in links]}")
    finally:
        broker.stop()
    return broken


run_case(Path(__file__).resolve().parent, case)
