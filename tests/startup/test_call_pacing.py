"""The pace of calls of a fleet that starts: first calls, retries, health checks, rate limits."""

from __future__ import annotations

import random

import pytest

from query_broker.startup import pacing
from query_broker.startup.settings import NS_PER_SECOND


def most_calls_in_a_second(times: list[int]) -> int:
    """The calls of the busiest second, wherever it begins."""
    ordered = sorted(times)
    first = 0
    most = 0
    for last, at_ns in enumerate(ordered):
        while ordered[first] <= at_ns - NS_PER_SECOND:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("fleet", [1, 10, 300, 1_000])
@pytest.mark.parametrize(
    ("part", "within"),
    [
        pytest.param(1.0, 0, id="all at one moment"),
        pytest.param(0.5, NS_PER_SECOND, id="half within a second"),
        pytest.param(0.1, 30 * NS_PER_SECOND, id="a tenth within 30 seconds"),
    ],
)
def test_first_calls_stay_under_the_rate_whoever_starts_and_when(
    fleet: int, part: float, within: int
) -> None:
    """Without pacing, 300 brokers that start at one moment call at one moment."""
    draw = random.Random(fleet)
    started = [place for place in range(fleet) if place == 0 or draw.random() < part]
    began = [1_796_000_000 * NS_PER_SECOND + int(draw.random() * within) for _ in started]
    calls = [
        pacing.PacedCalls(place, fleet, 50.0, draw.random).first_call_ns(now)
        for place, now in zip(started, began, strict=True)
    ]
    assert most_calls_in_a_second(calls) <= 52
    assert all(
        0 <= at - now <= pacing.call_window_ns(fleet, 50.0)
        for at, now in zip(calls, began, strict=True)
    )


@pytest.mark.parametrize(
    "configured", [100, 300, 900], ids=["a third", "right", "three times as many"]
)
def test_a_fleet_size_that_is_wrong_by_three_costs_three_times_at_the_most(
    configured: int,
) -> None:
    draw = random.Random(configured)
    calls = [
        pacing.PacedCalls(place, configured, 50.0, draw.random).first_call_ns(0)
        for place in range(300)
    ]
    assert most_calls_in_a_second(calls) <= 52 * max(1, 300 // configured)


def test_a_fleet_that_fails_together_stays_under_the_rate_and_calls_less_and_less() -> None:
    draw = random.Random(5)
    times: list[int] = []
    for place in range(300):
        calls = pacing.PacedCalls(place, 300, 50.0, draw.random)
        now = calls.first_call_ns(int(draw.random() * NS_PER_SECOND))
        while now < 120 * NS_PER_SECOND:
            times.append(now)
            now = calls.retry_ns(now)
    assert most_calls_in_a_second(times) <= 52
    late = [at for at in times if at > 60 * NS_PER_SECOND]
    assert len(late) / 60 < 30
    alone = pacing.PacedCalls(0, 1, 50.0, draw.random)
    now = 0
    waits = []
    for _ in range(60):
        waits.append(alone.retry_ns(now) - now)
        now += waits[-1]
    assert max(waits) <= 6 * pacing.MIN_WINDOW_NS  # one broker alone is back at once
    alone.succeeded()
    assert alone.failure_count == 0


def test_health_checks_of_one_endpoint_and_of_one_broker_are_both_spread() -> None:
    first = random.Random(7).randrange(1 << 32)
    endpoints = range(first, first + 40)
    of_endpoint = [pacing.probe_slot_ns(place, first, place, 300, 20.0) for place in range(300)]
    of_broker = [pacing.probe_slot_ns(0, endpoint, 3, 300, 20.0) for endpoint in endpoints]
    assert most_calls_in_a_second(of_endpoint) <= 22
    assert len(set(of_broker)) == len(endpoints)


@pytest.mark.parametrize("rate", [1.0, 20.0, 5_000.0])
def test_a_rate_limiter_admits_its_rate_and_saves_up_a_second_at_the_most(rate: float) -> None:
    limiter = pacing.RateLimiter(rate, 0)
    passed: list[int] = []
    for now in range(0, 20 * NS_PER_SECOND, NS_PER_SECOND // 1_000):
        if not 5 * NS_PER_SECOND < now < 15 * NS_PER_SECOND:  # none comes in between
            passed += [now] * limiter.try_acquire(now)
    assert most_calls_in_a_second(passed) <= 2 * rate + 1
    assert len([at for at in passed if at < 5 * NS_PER_SECOND]) >= min(0.9 * 5 * rate, 4_000)
