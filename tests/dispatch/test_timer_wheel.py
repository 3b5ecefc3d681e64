"""The timer wheel, with times that the tests supply."""

from __future__ import annotations

from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.timer_wheel import TimerWheel

from ..support.helpers import MS, S


@pytest.mark.parametrize("delay_ns", [0, 1, 5 * MS, 5 * MS + 1, 12 * S])
def test_a_timer_fires_once_never_early_and_at_most_a_tick_late(delay_ns: int) -> None:
    timers = TimerWheel(5 * MS, 100)
    fired: list[int] = []
    now_ns = 100
    timers.set_timer(100 + delay_ns, lambda: fired.append(now_ns))
    while now_ns < 100 + delay_ns + 20 * MS:
        now_ns += MS
        timers.advance(now_ns)
    assert len(fired) == 1
    assert 100 + delay_ns <= fired[0] <= 100 + max(delay_ns, 1) + 6 * MS


def test_overdue_timers_fire_in_order_and_cancelled_timers_do_not() -> None:
    timers = TimerWheel(5 * MS, 0)
    fired: list[int] = []
    for due_ns in (7 * S, 30 * MS, 10 * MS):
        timers.set_timer(due_ns, partial(fired.append, due_ns))
    timers.set_timer(20 * MS, lambda: fired.append(-1)).cancel()

    def chained() -> None:
        fired.append(0)
        timers.set_timer(0, lambda: fired.append(1))

    timers.set_timer(15 * MS, chained)
    timers.advance(8 * S)
    assert fired == [10 * MS, 0, 1, 30 * MS, 7 * S]


class RecordingOwner:
    """Records how long it may sleep, each time that it is woken."""

    def __init__(self, timers: TimerWheel, woken: list[int | None]) -> None:
        self.timers = timers
        self.woken = woken

    def wake(self) -> None:
        self.woken.append(self.timers.ns_until_wake(0))


def test_an_idle_timer_wheel_sleeps_until_its_next_timer_and_is_woken_by_an_earlier_one() -> None:
    """Advancing at every tick would wake each of 200 idle brokers 200 times a second."""
    timers = TimerWheel(5 * MS, 0)
    woken: list[int | None] = []
    timers.set_owner(RecordingOwner(timers, woken))
    assert timers.idle_ns(0, 250 * MS) == 250 * MS
    timers.set_timer(400 * MS, lambda: None)
    assert not woken
    timers.set_timer(101 * MS, lambda: None).cancel()
    assert woken == [105 * MS]
    assert timers.idle_ns(0, 250 * MS) == 250 * MS  # the cancelled timer has no effect
    timers.set_timer(150 * MS, lambda: None)
    timers.wake_next_tick()
    assert woken == [105 * MS, 150 * MS, 5 * MS]
    timers.advance(149 * MS)
    assert timers.idle_ns(149 * MS, 250 * MS) == MS
    timers.advance(150 * MS)
    assert timers.idle_ns(150 * MS, 0) == 5 * MS  # one tick is the minimum
    assert timers.idle_ns(150 * MS, 500 * MS) == 250 * MS


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 700)), max_size=30))
def test_idle_timers_fire_what_timers_fire_that_advance_at_every_tick(
    plan: list[tuple[int, int]],
) -> None:
    """Timers are set at any time while the wheel is idle; times are in milliseconds."""
    timers = TimerWheel(5 * MS, 0)
    due = list[int]()
    late = list[int]()
    planned = sorted(plan)
    timers.idle_ns(0, 250 * MS)
    for now in range(1_200):
        while planned and planned[0][0] <= now:
            _, delay = planned.pop(0)
            timers.set_timer((now + delay) * MS, partial(due.append, now + delay))
        if timers.ns_until_wake(now * MS) == 0:
            timers.advance(now * MS)
            late += [now - due_at for due_at in due]
            due.clear()
            timers.idle_ns(now * MS, 250 * MS)
    assert len(late) == len(plan)
    assert all(0 <= delay <= 10 for delay in late)


def test_an_error_in_one_timer_does_not_drop_other_timers() -> None:
    """An error in one timer dropped the later timers of its tick, including attempt timeouts."""
    timers = TimerWheel(5 * MS, 0)
    fired: list[str] = []

    def fail() -> None:
        raise LookupError

    timers.set_timer(10 * MS, partial(fired.append, "before"))
    timers.set_timer(10 * MS, fail)
    timers.set_timer(10 * MS, partial(fired.append, "after"))
    cancelled = timers.set_timer(10 * MS, partial(fired.append, "cancelled"))
    timers.set_timer(15 * MS, partial(fired.append, "later"))
    with pytest.raises(LookupError):
        timers.advance(10 * MS)
    cancelled.cancel()
    timers.advance(15 * MS)
    assert fired == ["before", "later", "after"]
