"""Case 2: the list of data engines runs 2.5 s behind, and a drain told in that time is missed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import stand  # noqa: E402

ENGINES = 6
# The least that the site's page names: 2.5 to 9.9 s further behind, for 16 to 30 s.
BEHIND_S = 2.5
TROUBLE_LENGTH_S = 20.0
TROUBLE_AT_S = 3.0
DRAIN_AT_S = 4.5
END_AT_S = 26.0
LOOKUPS_PER_S = 30
# The rule: told at the latest 7 s after the event is in the bus; then 500 ms, and 50 ms on sockets.
# In the broker's favour the event only counts as being in the bus once the list, so far behind,
# shows it.
TOLD_AFTER_S = 7.0
GRACE_S = 0.5
SOCKET_SLACK_S = 0.05


async def play(record: stand.Record, temporary: Path) -> int:
    behind_s = BEHIND_S if stand.trouble_wanted() else 0.0
    engines = [stand.Engine(f"box-{number}", record) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    bus = stand.Bus(record)
    await bus.start()
    bus.publish(*(stand.target(engine.uid, engine.port) for engine in engines))
    path = stand.DelayingProxy(bus.port, record)
    await path.start()
    config = {
        "bus": f"{stand.HOST}:{path.port}",
        "known": bus.known(),
        "settings": stand.warehouse_settings(),
    }
    broker = stand.Broker("n0", temporary, record, config)
    broker.start()
    try:
        await broker.wait_until_ready()
        client = await stand.Client("client", record).connect(broker.port)
        begin_s = time.monotonic()
        drained = engines[0]
        drained_at_ns = 0
        sent = 0
        while (elapsed_s := time.monotonic() - begin_s) < END_AT_S:
            in_trouble = TROUBLE_AT_S <= elapsed_s < TROUBLE_AT_S + TROUBLE_LENGTH_S
            delay_s = behind_s if in_trouble else 0.0
            if delay_s != path.delay_s:
                path.delay_s = delay_s
                record(f"path to the bus: {delay_s} s behind from now on")
            if not drained_at_ns and elapsed_s >= DRAIN_AT_S:
                drained_at_ns = bus.publish(stand.target(drained.uid, drained.port, "terminating"))
            statement = b"SELECT a, b, c FROM sales_%d.stock" % (sent % 12)
            client.send(stand.make_trace(sent), "lookup", statement, weight="100.0", ram="8")
            sent += 1
            await asyncio.sleep(1 / LOOKUPS_PER_S)
        await asyncio.sleep(1)
        if not broker.alive():
            raise stand.CouldNotRunError("the broker has ended")
    finally:
        broker.end()
    served = sum(bool(request.answers) for request in client.requests.values())
    bound_s = behind_s + TOLD_AFTER_S + GRACE_S + SOCKET_SLACK_S
    after_s = [(first_ns - drained_at_ns) / stand.S for first_ns, _, _ in drained.arrivals]
    late = [seconds for seconds in after_s if seconds > bound_s]
    record.say(f"{sent} lookups sent, {served} answered; {path.connections} connections to the bus")
    record.say(f"sent to {drained.uid} after its drain was told: {sum(s > 0 for s in after_s)}")
    record.say(f"of these later than {bound_s:.2f} s: {len(late)}, the last after {max(after_s):.2f} s")
    if served < sent * 0.9:
        raise stand.CouldNotRunError("too few answers to judge")
    return stand.BROKEN if late else stand.HELD


stand.run_case(FOLDER, play)
