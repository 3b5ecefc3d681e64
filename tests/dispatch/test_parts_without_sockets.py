"""The wheel, the engine table, the log and the facade, without sockets."""

from __future__ import annotations

from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker import log
from query_broker.decisions import facade as f
from query_broker.decisions.events import AttemptResult, EndpointState
from query_broker.decisions.settings import Effect
from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.dispatcher import Dispatcher
from query_broker.endpoints.endpoint_table import EndpointTable
from query_broker.timer_wheel import Clock, TimerWheel

from ..support.helpers import MS, S, make_settings, query_class
from ..support.sockets import make_config, target_entry, topology_event

pytestmark = pytest.mark.real_time


@pytest.mark.parametrize("after", [0, 1, 5 * MS, 5 * MS + 1, 12 * S])
def test_a_timer_fires_once_never_early_and_at_most_a_tick_late(after: int) -> None:
    wheel = TimerWheel(5 * MS, 100)
    fired = []
    now = 100
    wheel.set_timer(100 + after, lambda: fired.append(now))
    while now < 100 + after + 20 * MS:
        now += MS
        wheel.advance(now)
    assert len(fired) == 1
    assert 100 + after <= fired[0] <= 100 + max(after, 1) + 6 * MS


def test_a_wheel_that_stood_still_fires_all_in_order_and_no_cancelled_one() -> None:
    wheel = TimerWheel(5 * MS, 0)
    fired = []
    for at in (7 * S, 30 * MS, 10 * MS):
        wheel.set_timer(at, lambda at=at: fired.append(at))  # type: ignore[misc]
    wheel.set_timer(20 * MS, lambda: fired.append(-1)).cancel()

    def chained() -> None:
        fired.append(0)
        wheel.set_timer(0, lambda: fired.append(1))

    wheel.set_timer(15 * MS, chained)
    wheel.advance(8 * S)
    assert fired == [10 * MS, 0, 1, 30 * MS, 7 * S]


def test_uids_keep_their_numbers_whatever_their_addresses() -> None:
    table = EndpointTable()
    other = EndpointTable()
    first = table.apply_event(
        parse_event(topology_event(1, target_entry("a", 1), target_entry("b", 2), full=True))
    )
    other.apply_event(parse_event(topology_event(1, target_entry("b", 2), full=True)))
    assert other.number("b") == first[1].endpoint  # all brokers rank engines alike
    moved = table.apply_event(
        parse_event(topology_event(2, target_entry("c", 1, boot_ms=9), target_entry("b", 3)))
    )
    assert [(e.endpoint, e.state) for e in moved] == [
        (first[0].endpoint, EndpointState.REMOVED),
        (table.number("c"), EndpointState.READY),
        (first[1].endpoint, EndpointState.READY),
    ]
    assert moved[1].started_ns == 9 * MS
    again = table.apply_event(parse_event(topology_event(3, target_entry("a", 4), full=True)))
    assert [e.endpoint for e in again] == [first[0].endpoint]
    assert table.by_uid["b"].target.state is EndpointState.REMOVED


def test_engines_that_come_and_go_all_day_leave_nothing_behind() -> None:
    broker = Dispatcher(make_config(), Clock(), lambda kind, text: None)
    for life in range(2, 400):
        targets = [
            target_entry(f"s-{life}", 1 + life % 2),
            target_entry(f"s-{life - 1}", 1, "terminated"),
        ]
        # half are never said to have gone
        broker.endpoint_list_changed(parse_event(topology_event(life, *targets[: 1 + life % 2])))
        broker.pools.sweep(broker.now())
    for table in (
        broker.endpoint_table.by_uid,
        broker.endpoint_table.by_number,
        broker.pools.by_number,
        broker.facade.controller.endpoints,
    ):
        assert 1 <= len(table) <= 2
    number = broker.endpoint_table.number("s-399")
    broker.endpoint_list_changed(
        parse_event(topology_event(400, target_entry("s-399", 1, "terminated")))
    )
    assert "s-399" not in broker.endpoint_table.by_uid
    broker.endpoint_list_changed(parse_event(topology_event(401, target_entry("s-399", 1))))
    # the same as every other broker gives it
    assert broker.endpoint_table.by_uid["s-399"].number == number


def test_the_facade_says_what_to_do_and_fires_timers_by_tick() -> None:
    wheel = TimerWheel(5 * MS, 0)
    unsafe = query_class("load", effect=Effect.NON_IDEMPOTENT, deadline_ns=2 * S)
    settings = make_settings(query_class(), unsafe, memory_grants=True, priorities=True)
    facade = f.Facade(settings, 7, 0, wheel)
    facade.report(
        0,
        f.EndpointListUpdate(
            f.ListUpdateKind.FULL, (f.EndpointEntry(9, EndpointState.READY, "a", "box"),)
        ),
    )
    ask = f.RequestArrived("1", "load", 2 * S, None, None, 50 * MS, 64.0, 3, False)
    orders = facade.pick(0, ask)
    assert [(s.request_id, s.attempt, s.endpoint) for s in orders.dispatches] == [("1", 0, 9)]
    assert [(o.request_id, o.memory_mb) for o in orders.options] == [("1", 1.2 * 64.0)]
    assert not facade.due  # before the wheel says so
    wheel.advance(2 * S)
    answers = [answer for _ in range(len(facade.due)) for answer in facade.tick(2 * S).answers]
    assert answers == [f.Fail("1")]  # it may have run: failed, not refused
    late = facade.report(2 * S, f.AttemptEnded("1", 0, 9, AttemptResult.SERVED, 2 * S, True))
    assert not late.dispatches
    assert not late.answers


def test_closing_refuses_what_never_ran_and_fails_what_may_have() -> None:
    facade = f.Facade(
        make_settings(query_class(effect=Effect.NON_IDEMPOTENT)), 7, 0, TimerWheel(5 * MS, 0)
    )
    facade.report(
        0,
        f.EndpointListUpdate(
            f.ListUpdateKind.FULL, (f.EndpointEntry(9, EndpointState.READY, "a", "box"),)
        ),
    )
    facade.pick(0, f.RequestArrived("1", "short", 5 * S, None, None, 0, 0.0, -1, False))
    assert facade.report(1, f.CloseRequests()).answers == [f.Fail("1")]
    assert facade.report(2, f.CloseRequests()).answers == []


def test_the_log_is_limited_by_kind(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 50.0
    monkeypatch.setattr("query_broker.log.time.monotonic", lambda: now)
    write = log.Log("n0")
    for _ in range(log.MAX_LINES_PER_KIND + 30):
        write("client", "odd")
    write("engine", "other")
    now += log.SPAN_S
    write("client", "again")
    lines = capsys.readouterr().err.splitlines()
    assert sum("odd" in line for line in lines) == log.MAX_LINES_PER_KIND
    assert any("30 more lines" in line for line in lines)
    assert sum("other" in line for line in lines) == 1


def test_a_wheel_rests_until_something_falls_due_and_is_woken_for_what_comes_sooner() -> None:
    """Prevents: a wheel that turns at every tick wakes 200 idle brokers 200 times a second each."""
    wheel = TimerWheel(5 * MS, 0)
    woken = []
    wheel.on_earlier_timer = lambda: woken.append(wheel.ns_until_wake(0))
    assert wheel.idle_ns(0, 250 * MS) == 250 * MS
    wheel.set_timer(400 * MS, lambda: None)
    assert not woken
    wheel.set_timer(101 * MS, lambda: None).cancel()
    assert woken == [105 * MS]
    assert wheel.idle_ns(0, 250 * MS) == 250 * MS  # what was cancelled wakes nobody
    wheel.set_timer(150 * MS, lambda: None)
    wheel.wake_next_tick()
    assert woken == [105 * MS, 150 * MS, 5 * MS]
    wheel.advance(149 * MS)
    assert wheel.idle_ns(149 * MS, 250 * MS) == MS
    wheel.advance(150 * MS)
    assert wheel.idle_ns(150 * MS, 0) == 5 * MS  # a tick at the least, where every one is wanted
    assert wheel.idle_ns(150 * MS, 500 * MS) == 250 * MS


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 700)), max_size=30))
def test_a_wheel_that_rests_fires_what_one_fires_that_turns_at_every_tick(
    plan: list[tuple[int, int]],
) -> None:
    """Timers set at any moment of a rest; times in milliseconds."""
    wheel = TimerWheel(5 * MS, 0)
    due = list[int]()
    late = list[int]()
    coming = sorted(plan)
    wheel.idle_ns(0, 250 * MS)
    for now in range(1_200):
        while coming and coming[0][0] <= now:
            _, after = coming.pop(0)
            wheel.set_timer((now + after) * MS, partial(due.append, now + after))
        if wheel.ns_until_wake(now * MS) == 0:
            wheel.advance(now * MS)
            late += [now - at for at in due]
            due.clear()
            wheel.idle_ns(now * MS, 250 * MS)
    assert len(late) == len(plan)
    assert all(0 <= by <= 10 for by in late)
