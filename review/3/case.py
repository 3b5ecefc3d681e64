"""Case 3: a load that its client has cancelled is sent to its end once a hung engine goes on."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import stand  # noqa: E402

ENGINES = 6
# "a quarter to a half of the data engines hang"; half of these are stopped, for 5 to 25 s.
HUNG = 3
HANG_S = 6.0
LOADS = 24
CANCEL_AFTER_S = 2.0
RUN_S = 0.3
# A frame of a client holds 262,144 bytes at the most.
STATEMENT_BYTES = 250_000
# The rule: 0.1 s after the client has gone, and 50 ms on sockets.
BOUND_S = 0.15


def statement(number: int) -> bytes:
    head = b"INSERT INTO sales_%d.tickets VALUES " % number
    row = b"(%08d, 'seat', 'paid'), "
    rows = [row % index for index in range((STATEMENT_BYTES - len(head)) // 28)]
    return head + b"".join(rows).rstrip(b", ")


async def play(record: stand.Record, temporary: Path) -> int:
    engines = [stand.EngineProcess(f"engine-{number}", record, RUN_S) for number in range(ENGINES)]
    brokers: list[stand.Broker] = []
    try:
        for engine in engines:
            await engine.start()
        bus = stand.Bus(record)
        await bus.start()
        zone = {"az": "ground-floor"}
        bus.publish(*(stand.target(engine.uid, engine.port, **zone) for engine in engines))
        for number in range(2):
            settings = {**stand.counter_settings(2), "me": number}
            config = {
                "bus": f"{stand.HOST}:{bus.port}",
                "known": bus.known(),
                "settings": settings,
            }
            brokers.append(stand.Broker(f"n{number}", temporary, record, config))
        for broker in brokers:
            broker.start()
        for broker in brokers:
            await broker.wait_until_ready()
        clients = [
            await stand.Client(f"client-{number}", record).connect(broker.port)
            for number, broker in enumerate(brokers)
        ]
        if stand.trouble_wanted():
            for engine in engines[:HUNG]:
                engine.hang()
        await asyncio.sleep(0.2)
        requests = []
        for number in range(LOADS):
            client = clients[number % len(clients)]
            fields = {"customer": "likoni-crossings", "weight": "600.0", "ram": "64"}
            request = client.send(
                stand.make_trace(number),
                "till-load",
                statement(number),
                patience="25000",
                **fields,
            )
            requests.append((client, request))
            await asyncio.sleep(0.02)
        await asyncio.sleep(CANCEL_AFTER_S)
        cancelled = {}
        for client, request in requests:
            if not request.answers:
                client.cancel(request)
                cancelled[request.trace] = request.cancelled_ns
        await asyncio.sleep(HANG_S - CANCEL_AFTER_S - 0.5)
        if stand.trouble_wanted():
            for engine in engines[:HUNG]:
                engine.go_on()
        await asyncio.sleep(3)
        if not all(broker.alive() for broker in brokers):
            raise stand.CouldNotRunError("a broker has ended")
    finally:
        for broker in brokers:
            broker.end()
        for engine in engines:
            await engine.end()
    late = 0
    for engine in engines:
        for attempt in engine.attempts():
            cancelled_ns = cancelled.get(attempt["id"])
            if cancelled_ns is None or attempt["whole_while_it_hung"]:
                continue
            after_s = (attempt["whole_ns"] - cancelled_ns) / stand.S
            if after_s > BOUND_S:
                late += 1
                record.say(f"{attempt['id']} began at {engine.uid} {after_s:.2f} s after its cancel")
    answered = sum(bool(request.answers) for _, request in requests)
    record.say(f"{LOADS} loads sent, {answered} answered, {len(cancelled)} cancelled")
    record.say(f"begun later than {BOUND_S} s after their client had cancelled: {late}")
    if not answered:
        raise stand.CouldNotRunError("nothing was answered")
    return stand.BROKEN if late else stand.HELD


stand.run_case(FOLDER, play)
