"""Two programs that time the decisions of a broker.

One is for the package ``query_broker``, the other for the package under its older name
``larchhall``, whose API has other names. Both simulate the same requests, drawn with the same seed:
one arrives every 10 ms, and about one in twenty uses four threads. Each attempt is reported as
served after a quarter of a second, or earlier once more than six are in flight. Each program prints
the mean processor time per request in microseconds, for its decisions, its outcome and its timers.
"""

from __future__ import annotations

DECIDE = """
import json, random, sys, time
from query_broker import decisions as api
from query_broker.decisions.facade import AttemptEnded, ListUpdateKind, EndpointListUpdate
from query_broker.decisions.facade import AttemptResult, Facade, RequestArrived
from query_broker.timer_wheel import TimerWheel
engines, brokers, count = map(int, sys.argv[1:])
NS_PER_S = 10**9
classes = (api.RequestClass("glance", NS_PER_S, 5 * NS_PER_S, 1.0),
           api.RequestClass("report", 3 * NS_PER_S // 2, 20 * NS_PER_S, 10.0, threads=4))
settings = api.Settings(
    classes=classes, fleet_size=brokers, tick_ns=5_000_000, kind_cores=(("std", 8),))
draw = random.Random(11)
now = 100 * NS_PER_S
wheel = TimerWheel(settings.tick_ns, now)
facade = Facade(settings, 7, now, wheel)
entries = tuple(
    api.EndpointEntry(draw.randrange(1 << 32), api.EndpointState.READY, "ab"[i % 2], "std")
    for i in range(engines))
facade.report(now, EndpointListUpdate(ListUpdateKind.FULL, entries))
in_flight = []
def step(number):
    global now
    now += 120_000_000 // 12
    wheel.advance(now)
    while facade.due:
        facade.tick(now)
    is_wide = draw.random() < 0.05
    route, work = ("report", 4 * NS_PER_S) if is_wide else ("glance", NS_PER_S // 5)
    request = RequestArrived(
        str(number), route, 5 * NS_PER_S, None, None, work, 10.0, draw.randrange(40), False)
    orders = facade.pick(now, request)
    in_flight.extend((dispatch, now) for dispatch in orders.dispatches)
    while in_flight and (len(in_flight) > 6 or in_flight[0][1] < now - NS_PER_S // 4):
        sent, sent_ns = in_flight.pop(0)
        served = AttemptResult.SERVED
        ended = AttemptEnded(
            sent.request_id, sent.attempt, sent.endpoint, served, now - sent_ns, True)
        facade.report(now, ended)
        facade.forget(sent.request_id)
for number in range(300):
    step(number)
begun = time.process_time_ns()
for number in range(300, 300 + count):
    step(number)
print((time.process_time_ns() - begun) / count / 1e3)
"""

# For a tree in which the package still has its older name `larchhall`.
DECIDE_LARCHHALL = """
import json, random, sys, time
from larchhall import interface as api
from larchhall.facade import Ended, EngineNews, Facade, Query, Result
from larchhall.state.wheel import Wheel
engines, brokers, count = map(int, sys.argv[1:])
NS_PER_S = 10**9
classes = (api.RequestClass("glance", NS_PER_S, 5 * NS_PER_S, 1.0),
           api.RequestClass("report", 3 * NS_PER_S // 2, 20 * NS_PER_S, 10.0, threads=4))
settings = api.Settings(
    classes=classes, fleet_size=brokers, tick=5_000_000, kind_cores=(("std", 8),))
draw = random.Random(11)
now = 100 * NS_PER_S
wheel = Wheel(settings.tick, now)
facade = Facade(settings, 7, now, wheel)
facade.report(now, EngineNews(True, tuple(api.EngineEntry(
    draw.randrange(1 << 32), api.EngineState.READY, "ab"[i % 2], "std") for i in range(engines))))
in_flight = []
def step(number):
    global now
    now += 120_000_000 // 12
    wheel.advance(now)
    while facade.due:
        facade.tick(now)
    is_wide = draw.random() < 0.05
    route, work = ("report", 4 * NS_PER_S) if is_wide else ("glance", NS_PER_S // 5)
    request = Query(
        str(number), route, 5 * NS_PER_S, None, work, 10.0, draw.randrange(40), False)
    orders = facade.pick(now, request)
    in_flight.extend((send, now) for send in orders.sends)
    while in_flight and (len(in_flight) > 6 or in_flight[0][1] < now - NS_PER_S // 4):
        sent, sent_ns = in_flight.pop(0)
        ended = Ended(
            sent.request, sent.attempt, sent.engine, Result.SERVED, now - sent_ns, True)
        facade.report(now, ended)
        facade.forget(sent.request)
for number in range(300):
    step(number)
begun = time.process_time_ns()
for number in range(300, 300 + count):
    step(number)
print((time.process_time_ns() - begun) / count / 1e3)
"""
