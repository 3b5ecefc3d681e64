"""Case 3: a new configuration without a key that may be absent is rejected, discovery's move with it."""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import stand  # noqa: E402

ENGINES = 6
MOVE_AT_S = 2.0
OLD_BUS_ENDS_AT_S = 5.0
DRAIN_AT_S = 6.0
ENGINE_ENDS_AFTER_S = 14.0
END_AT_S = 24.0
LOOKUPS_PER_S = 30
LOOKUPS_PER_LOAD = 12
# The rule: told at the latest 7 s after the event is in the bus; then 1 s, and 50 ms on sockets.
BOUND_S = 7.0 + 1.0 + 0.05
LOAD_RUNS_S = 1.5


def with_moved_bus(config: dict, port: int) -> dict:
    """Return the new configuration: another bus, and no stretch of the aim of lookups any more."""
    config = copy.deepcopy(config)
    config["bus"] = f"{stand.HOST}:{port}"
    if os.environ.get("KEEP_KEY") != "1":
        del config["settings"]["classes"][0]["aim_stretch"]
    return config


async def play(record: stand.Record, temporary: Path) -> int:
    engines = [stand.Engine(f"engine-{number}", record, 0.1) for number in range(ENGINES)]
    for engine in engines:
        engine.run_s_by_class[b"till-load"] = LOAD_RUNS_S
        await engine.start()
    bus = stand.Bus(record, "old bus")
    await bus.start()
    zone = {"az": "ground-floor"}
    bus.publish(*(stand.target(engine.uid, engine.port, **zone) for engine in engines))
    config = {
        "bus": f"{stand.HOST}:{bus.port}",
        "known": bus.known(),
        "settings": stand.counter_settings(2),
    }
    broker = stand.Broker("n0", temporary, record, config)
    broker.start()
    drained = engines[0]
    drained_at_ns = 0
    loads = []
    try:
        await broker.wait_until_ready()
        client = await stand.Client("client", record).connect(broker.port)
        current = bus
        begin_s = time.monotonic()
        sent = 0
        moved = ended = engine_ended = False
        while (elapsed_s := time.monotonic() - begin_s) < END_AT_S:
            if stand.trouble_wanted() and not moved and elapsed_s >= MOVE_AT_S:
                moved = True
                current = stand.Bus(record, "new bus", follows=bus)
                await current.start()
                broker.write_config(with_moved_bus(broker.config, current.port))
                broker.signal(signal.SIGHUP)
            if moved and not ended and elapsed_s >= OLD_BUS_ENDS_AT_S:
                ended = True
                bus.end()
            if not drained_at_ns and elapsed_s >= DRAIN_AT_S:
                entry = stand.target(drained.uid, drained.port, "terminating", **zone)
                drained_at_ns = current.publish(entry)
            if not engine_ended and elapsed_s >= DRAIN_AT_S + ENGINE_ENDS_AFTER_S:
                engine_ended = True
                drained.end()
                current.publish(stand.target(drained.uid, drained.port, "terminated", **zone))
            statement = b"SELECT a, b, c FROM sales_%d.tickets" % (sent % 12)
            fields = {"customer": "likoni-crossings", "weight": "100.0", "ram": "8"}
            client.send(stand.make_trace(sent), "lookup", statement, **fields)
            if sent % LOOKUPS_PER_LOAD == 0:
                statement = b"INSERT INTO sales_%d.tickets SELECT a FROM staging.t" % (sent % 12)
                fields = {**fields, "weight": "3000.0", "patience": "20000"}
                trace = stand.make_trace(sent)
                loads.append(client.send(trace, "till-load", statement, **fields))
            sent += 1
            await asyncio.sleep(1 / LOOKUPS_PER_S)
        await asyncio.sleep(2)
        if not broker.alive():
            raise stand.CouldNotRunError("the broker has ended")
    finally:
        broker.end()
    after_s = [(first_ns - drained_at_ns) / stand.S for first_ns, _, _ in drained.arrivals]
    late = [seconds for seconds in after_s if seconds > BOUND_S]
    cut = {tag.decode() for tag in drained.cut_off}
    lost = sum(load.trace in cut for load in loads)
    answered = sum(bool(request.answers) for request in client.requests.values())
    record.say(f"{sent} lookups and {len(loads)} loads sent, {answered} answered in all")
    record.say(f"sent to {drained.uid} after its drain was told: {sum(s > 0 for s in after_s)}")
    record.say(f"of these later than {BOUND_S:.2f} s: {len(late)}")
    record.say(f"loads that were cut off when {drained.uid} ended as planned: {lost}")
    if answered < 0.9 * (sent + len(loads)):
        raise stand.CouldNotRunError("too few answers to judge")
    return stand.BROKEN if late else stand.HELD


stand.run_case(FOLDER, play)
