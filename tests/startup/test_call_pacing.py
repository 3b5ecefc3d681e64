"""Call pacing of a starting fleet: first calls, retries, health checks and rate limits."""

from __future__ import annotations

import random

import pytest

from query_broker.startup import pacing
from query_broker.startup.settings import NS_PER_SECOND


def max_calls_in_any_second(times_ns: list[int]) -> int:
    """Return the number of calls in the busiest interval of one second."""
    ordered_ns = sorted(times_ns)
    first = 0
    max_count = 0
    for last, at_ns in enumerate(ordered_ns):
        while ordered_ns[first] <= at_ns - NS_PER_SECOND:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


@pytest.mark.parametrize("fleet_size", [1, 10, 300, 1_000])
@pytest.mark.parametrize(
    ("started_fraction", "spread_ns"),
    [
        pytest.param(1.0, 0, id="all at one moment"),
        pytest.param(0.5, NS_PER_SECOND, id="half within a second"),
        pytest.param(0.1, 30 * NS_PER_SECOND, id="a tenth within 30 seconds"),
    ],
)
def test_first_calls_stay_within_the_rate_for_any_subset_of_brokers_and_any_start_times(
    fleet_size: int, started_fraction: float, spread_ns: int
) -> None:
    """Without pacing, 300 brokers that start at once would call at once."""
    rng = random.Random(fleet_size)
    started = [
        broker_index
        for broker_index in range(fleet_size)
        if broker_index == 0 or rng.random() < started_fraction
    ]
    started_at_ns = [1_796_000_000 * NS_PER_SECOND + int(rng.random() * spread_ns) for _ in started]
    calls = [
        pacing.CallSchedule(broker_index, fleet_size, 50.0, rng.random).first_call_ns(now_ns)
        for broker_index, now_ns in zip(started, started_at_ns, strict=True)
    ]
    assert max_calls_in_any_second(calls) <= 52
    assert all(
        0 <= at - now_ns <= pacing.call_window_ns(fleet_size, 50.0)
        for at, now_ns in zip(calls, started_at_ns, strict=True)
    )


@pytest.mark.parametrize(
    "configured_size", [100, 300, 900], ids=["a third", "right", "three times as many"]
)
def test_fleet_size_wrong_by_a_factor_of_three_raises_the_rate_at_most_threefold(
    configured_size: int,
) -> None:
    rng = random.Random(configured_size)
    calls = [
        pacing.CallSchedule(broker_index, configured_size, 50.0, rng.random).first_call_ns(0)
        for broker_index in range(300)
    ]
    assert max_calls_in_any_second(calls) <= 52 * max(1, 300 // configured_size)


def test_fleet_with_failing_calls_stays_within_the_rate_and_calls_less_often() -> None:
    rng = random.Random(5)
    times_ns: list[int] = []
    for broker_index in range(300):
        calls = pacing.CallSchedule(broker_index, 300, 50.0, rng.random)
        now_ns = calls.first_call_ns(int(rng.random() * NS_PER_SECOND))
        while now_ns < 120 * NS_PER_SECOND:
            times_ns.append(now_ns)
            now_ns = calls.retry_ns(now_ns)
    assert max_calls_in_any_second(times_ns) <= 52
    late_ns = [at for at in times_ns if at > 60 * NS_PER_SECOND]
    assert len(late_ns) / 60 < 30
    alone = pacing.CallSchedule(0, 1, 50.0, rng.random)
    now_ns = 0
    waits_ns = []
    for _ in range(60):
        waits_ns.append(alone.retry_ns(now_ns) - now_ns)
        now_ns += waits_ns[-1]
    assert max(waits_ns) <= 6 * pacing.MIN_WINDOW_NS  # a single broker retries soon
    alone.succeeded()
    assert alone.failure_count == 0


def test_health_checks_of_one_endpoint_and_of_one_broker_are_both_spread() -> None:
    first_endpoint = random.Random(7).randrange(1 << 32)
    endpoints = range(first_endpoint, first_endpoint + 40)
    slots_at_endpoint = [
        pacing.health_check_slot_ns(broker_index, first_endpoint, broker_index, 300, 20.0)
        for broker_index in range(300)
    ]
    slots_of_broker = [
        pacing.health_check_slot_ns(0, endpoint, 3, 300, 20.0) for endpoint in endpoints
    ]
    assert max_calls_in_any_second(slots_at_endpoint) <= 22
    assert len(set(slots_of_broker)) == len(endpoints)


@pytest.mark.parametrize("rate_per_s", [1.0, 20.0, 5_000.0])
def test_rate_limiter_keeps_its_rate_and_accumulates_at_most_one_second(rate_per_s: float) -> None:
    limiter = pacing.RateLimiter(rate_per_s, 0)
    admitted_ns: list[int] = []
    for now_ns in range(0, 20 * NS_PER_SECOND, NS_PER_SECOND // 1_000):
        if not 5 * NS_PER_SECOND < now_ns < 15 * NS_PER_SECOND:  # a pause without calls
            admitted_ns += [now_ns] * limiter.try_acquire(now_ns)
    assert max_calls_in_any_second(admitted_ns) <= 2 * rate_per_s + 1
    assert len([at for at in admitted_ns if at < 5 * NS_PER_SECOND]) >= min(
        0.9 * 5 * rate_per_s, 4_000
    )
