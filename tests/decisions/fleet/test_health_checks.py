"""When the brokers of a fleet order health checks, and the effect of the load reports."""

from __future__ import annotations

from query_broker import decisions as api

from ...support.helpers import MS, Harness, S, entry
from .fleet_brokers import (
    CLASSES,
    LIMITS,
    NON_IDEMPOTENT_LOAD,
    answer_health_check,
    endpoint_numbers,
    endpoints_checked,
    fleet_settings,
    make_broker,
    make_fleet,
)


def test_large_fleet_tries_an_ejected_endpoint_by_infrequent_health_checks() -> None:
    """Requests as trials would prolong the overload of an endpoint, and each would be late."""
    harness = make_broker(endpoint_numbers(30), limits=LIMITS)
    endpoint = harness.controller.pool.subset[0]
    harness.controller.outlier_detector.set_ejected(harness.now, endpoint, True)
    for step in range(300):
        harness.arrive(f"r{step}", "glance", estimate_ns=MS)
        attempts = harness.sends(f"r{step}")
        assert all(attempt.endpoint != endpoint.entry.endpoint for attempt in attempts)
        harness.end(f"r{step}", api.AttemptResult.SERVED, latency=MS)
        before = len(endpoints_checked(harness))
        harness.pass_time(100 * MS)
        for _ in range(len(endpoints_checked(harness)) - before):
            harness.do(
                api.HealthCheckResult(endpoint.entry.endpoint, api.AttemptResult.TIMEOUT, 250 * MS)
            )
    check_count = endpoints_checked(harness).count(endpoint.entry.endpoint)
    assert 5 <= check_count <= 20  # within 30 s, at increasing intervals
    answer_health_check(harness, endpoint, memory=0.1)
    assert not endpoint.ejected
    assert endpoint.in_pool


def test_trial_times_of_the_brokers_of_a_fleet_are_spread() -> None:
    fleet = make_fleet(endpoint_numbers(30), limits=LIMITS)
    due = set()
    for harness in fleet:
        endpoint = harness.controller.pool.subset[0]
        endpoint.failure_rate = 0.6
        harness.controller.outlier_detector.set_ejected(harness.now, endpoint, True)
        due.add(endpoint.next_trial_ns - harness.now)
    assert len(due) == len(fleet)
    assert max(due) - min(due) > 3 * S


def test_small_fleet_tries_an_ejected_endpoint_by_requests() -> None:
    harness = make_broker(endpoint_numbers(4), fleet_size=2, limits=LIMITS)
    endpoint = harness.controller.pool.subset[0]
    harness.controller.outlier_detector.set_ejected(harness.now, endpoint, True)
    harness.pass_time(9 * S)
    for index in range(60):
        harness.arrive(f"r{index}", "glance", estimate_ns=MS)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=MS)
    assert not endpoints_checked(harness)
    assert not endpoint.ejected


def test_overdue_attempt_in_a_large_fleet_causes_a_health_check() -> None:
    """An overloaded endpoint would answer neither this non-idempotent request nor the next ones."""
    harness = Harness(
        fleet_settings(*CLASSES, NON_IDEMPOTENT_LOAD, fleet_size=200, limits=LIMITS),
        *(entry(number, zone="ab"[number % 2]) for number in endpoint_numbers(80)),
    )
    harness.arrive("r0", "load", patience=25 * S, estimate_ns=200 * MS)
    endpoint = harness.controller.endpoints[harness.sends("r0")[0].endpoint]
    harness.pass_time(3 * S)
    assert endpoints_checked(harness) == [endpoint.entry.endpoint]
    answer_health_check(harness, endpoint, inflight=30.0)
    assert endpoint.ejected
    assert len(harness.sends("r0")) == 1


def test_load_report_from_an_earlier_period_is_dropped() -> None:
    harness = make_broker(endpoint_numbers(80), fleet_size=200, limits=LIMITS)
    endpoint = harness.controller.pool.subset[0]
    answer_health_check(harness, endpoint, memory=0.9)
    assert endpoint.load() > 0.8
    harness.pass_time(2 * S)
    assert endpoint.load() == 0.0
