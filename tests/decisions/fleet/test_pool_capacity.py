"""A fleet broker's quota of the pool, and how much of the bound each class may use."""

from __future__ import annotations

import pytest

from query_broker import decisions as api

from ...support.helpers import MS, S, entry
from .fleet_brokers import (
    CORES_PER_ENDPOINT,
    FLEET_SIZE,
    LIMITS,
    change_list,
    endpoint_numbers,
    endpoints_checked,
    make_broker,
)


def test_attempts_at_ejected_endpoints_do_not_count_against_the_pool() -> None:
    """Attempts at endpoints that crashed without notice stay in flight until their timeout.

    If they counted against the pool, idle endpoints would get no requests.
    """
    harness = make_broker(endpoint_numbers(30))
    controller = harness.controller
    for index in range(40):
        harness.arrive(f"r{index}", "report", patience=20 * S, estimate_ns=S)
    pool = controller.pool.limit
    before = pool.threads_in_flight
    lost = [endpoint for endpoint in controller.pool.subset if endpoint.in_flight][:5]
    lost_threads = sum(endpoint.threads_in_flight for endpoint in lost)
    for endpoint in lost:
        controller.outlier_detector.set_ejected(harness.now, endpoint, True)
    assert lost_threads > 0
    assert pool.threads_in_flight == before - lost_threads
    assert pool.thread_quota == pytest.approx(1.5 * CORES_PER_ENDPOINT * 25 / FLEET_SIZE)
    # The end of an attempt does not subtract its threads again.
    request_id, attempt_number = next(iter(lost[0].in_flight))
    harness.end(request_id, api.AttemptResult.TIMEOUT, attempt=attempt_number)
    in_pool = [endpoint for endpoint in controller.endpoints.values() if endpoint.in_pool]
    assert pool.threads_in_flight == sum(endpoint.threads_in_flight for endpoint in in_pool)


def test_attempts_at_a_draining_endpoint_do_not_count_against_the_pool() -> None:
    harness = make_broker(endpoint_numbers(30))
    for index in range(10):
        harness.arrive(f"r{index}", "report", patience=20 * S, estimate_ns=S)
    controller = harness.controller
    endpoint = next(candidate for candidate in controller.pool.subset if candidate.in_flight)
    before = controller.pool.limit.threads_in_flight
    change_list(harness, entry(endpoint.entry.endpoint, state=api.EndpointState.DRAINING))
    assert controller.pool.limit.threads_in_flight == before - endpoint.threads_in_flight


def test_delay_objective_of_the_pool_is_below_that_of_an_endpoint() -> None:
    """If the mean delay were at the latency objective, half of the lookups would miss it."""
    harness = make_broker(endpoint_numbers(30))
    pool = harness.controller.pool.limit
    before = pool.bound_ns
    pool.bound_was_tested = True
    pool.delays = [0.8]
    pool.end_period()
    assert pool.bound_ns < before
    assert all(
        endpoint.delay_objective == 1.0 for endpoint in harness.controller.endpoints.values()
    )


@pytest.mark.parametrize(
    ("admitted_fraction", "is_admitted"),
    [
        pytest.param(1.0, False, id="never rejected"),
        pytest.param(0.4, True, id="rejected more often"),
    ],
)
def test_class_with_a_lower_admission_rate_may_use_more_of_the_pool_bound(
    admitted_fraction: float, is_admitted: bool
) -> None:
    """Large non-idempotent requests were rejected three times as often as lookups."""
    harness = make_broker(endpoint_numbers(30))
    controller = harness.controller
    report_class = controller.admission.classes.by_name["report"]
    pool = controller.pool.limit
    harness.arrive("out", "report", patience=20 * S, estimate_ns=2 * S)
    # A report has exactly the mean work and the mean priority weight.
    controller.selector.capacity.mean_work_ns = 2.0 * S
    controller.selector.capacity.mean_priority_weight = 10.0
    pool.full_until_ns = harness.now + 99 * S
    pool.bound_ns = pool.backlog_ns * 1.5
    report_class.admission_rate = admitted_fraction
    harness.arrive("r", "report", patience=20 * S, estimate_ns=2 * S)
    assert bool(harness.sends("r")) is is_admitted
    assert (report_class.admission_rate > admitted_fraction) is is_admitted


def test_requests_over_quota_do_not_change_the_admission_rate_of_their_class() -> None:
    """Otherwise a rejected flood of requests would gain capacity for its class."""
    harness = make_broker(endpoint_numbers(30), tenants=(api.Tenant("acme", 0.0),))
    harness.controller.pool.limit.full_until_ns = harness.now + 99 * S
    harness.controller.pool.limit.bound_ns = 0.0
    for index in range(30):
        harness.arrive(f"r{index}", "glance", estimate_ns=200 * MS, tenant="acme")
    assert any(harness.answers(f"r{index}") for index in range(30))
    assert harness.controller.admission.classes.by_name["glance"].admission_rate == 1.0


def test_ejection_of_an_unused_endpoint_ends_without_a_health_check() -> None:
    """While most endpoints warm up, all brokers use all warm endpoints.

    Endpoints that were ejected in that time and left the subset later got no health check and
    stayed ejected, outside the pool's quota: 20 of 72 endpoints idled for the rest of a day.
    """
    harness = make_broker(endpoint_numbers(80), fleet_size=200, limits=LIMITS)
    controller = harness.controller
    unused = next(
        endpoint
        for endpoint in controller.endpoints.values()
        if endpoint not in controller.pool.subset
    )
    quota = controller.pool.limit.thread_quota
    controller.outlier_detector.set_ejected(harness.now, unused, True)
    assert controller.pool.limit.thread_quota < quota
    harness.pass_time(12 * S)
    assert not unused.ejected
    assert controller.pool.limit.thread_quota == pytest.approx(quota)
    assert unused.entry.endpoint not in endpoints_checked(harness)
