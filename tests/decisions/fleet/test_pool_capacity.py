"""What a broker of a fleet counts as its quota of the pool, and which class gets it."""

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


def test_what_vanished_with_a_zone_leaves_capacity_for_the_rest() -> None:
    """Attempts on endpoints that died in silence stay in flight until their timeout.

    Accounted to the pool, they would keep new work from endpoints that idle.
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
        controller.outliers.set_ejected(harness.now, endpoint, True)
    assert lost_threads > 0
    assert pool.threads_in_flight == before - lost_threads
    assert pool.thread_quota == pytest.approx(1.5 * CORES_PER_ENDPOINT * 25 / FLEET_SIZE)
    # An attempt that ends at last is not subtracted twice.
    request_id, attempt_number = next(iter(lost[0].in_flight))
    harness.end(request_id, api.AttemptResult.TIMEOUT, attempt=attempt_number)
    in_pool = [endpoint for endpoint in controller.endpoints.values() if endpoint.in_pool]
    assert pool.threads_in_flight == sum(endpoint.threads_in_flight for endpoint in in_pool)


def test_what_drains_takes_no_capacity_of_the_pool() -> None:
    harness = make_broker(endpoint_numbers(30))
    for index in range(10):
        harness.arrive(f"r{index}", "report", patience=20 * S, estimate_ns=S)
    controller = harness.controller
    endpoint = next(candidate for candidate in controller.pool.subset if candidate.in_flight)
    before = controller.pool.limit.threads_in_flight
    change_list(harness, entry(endpoint.entry.endpoint, state=api.EndpointState.DRAINING))
    assert controller.pool.limit.threads_in_flight == before - endpoint.threads_in_flight


def test_the_pool_wants_less_delay_than_the_complete_latency_objective() -> None:
    """With the objective as the mean delay, half of the lookups would miss it."""
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
def test_a_class_that_is_rejected_more_often_sees_more_of_the_pool(
    admitted_fraction: float, is_admitted: bool
) -> None:
    """Large work that must not run twice was rejected three times as often as lookups."""
    harness = make_broker(endpoint_numbers(30))
    controller = harness.controller
    report_class = controller.admission.classes.by_name["report"]
    pool = controller.pool.limit
    harness.arrive("out", "report", patience=20 * S, estimate_ns=2 * S)
    # A report is as the mean.
    controller.selector.capacity.mean_work_ns = 2.0 * S
    controller.selector.capacity.mean_priority_weight = 10.0
    pool.full_until_ns = harness.now + 99 * S
    pool.bound_ns = pool.backlog_ns * 1.5
    report_class.admission_rate = admitted_fraction
    harness.arrive("r", "report", patience=20 * S, estimate_ns=2 * S)
    assert bool(harness.sends("r")) is is_admitted
    assert (report_class.admission_rate > admitted_fraction) is is_admitted


def test_what_is_beyond_a_tenants_quota_moves_no_class_s_quota() -> None:
    """A flood that is rejected would otherwise win capacity for its class."""
    harness = make_broker(endpoint_numbers(30), tenants=(api.Tenant("acme", 0.0),))
    harness.controller.pool.limit.full_until_ns = harness.now + 99 * S
    harness.controller.pool.limit.bound_ns = 0.0
    for index in range(30):
        harness.arrive(f"r{index}", "glance", estimate_ns=200 * MS, tenant="acme")
    assert any(harness.answers(f"r{index}") for index in range(30))
    assert harness.controller.admission.classes.by_name["glance"].admission_rate == 1.0


def test_what_is_ejected_and_used_no_more_is_not_ejected_for_good() -> None:
    """While most endpoints warm up, all brokers use all warm ones.

    Those that were ejected then stayed so, with no health check, and out of the pool's quota: 20
    of 72 endpoints idled for the rest of a day.
    """
    harness = make_broker(endpoint_numbers(80), fleet_size=200, limits=LIMITS)
    controller = harness.controller
    unused = next(
        endpoint
        for endpoint in controller.endpoints.values()
        if endpoint not in controller.pool.subset
    )
    quota = controller.pool.limit.thread_quota
    controller.outliers.set_ejected(harness.now, unused, True)
    assert controller.pool.limit.thread_quota < quota
    harness.pass_time(12 * S)
    assert not unused.ejected
    assert controller.pool.limit.thread_quota == pytest.approx(quota)
    assert unused.entry.endpoint not in endpoints_checked(harness)
