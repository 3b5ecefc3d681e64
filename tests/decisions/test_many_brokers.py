"""Behaviour in a large fleet, where a broker's quota of an endpoint is less than one request."""

from __future__ import annotations

from typing import Any

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def fleet_harness(
    endpoint_count: int = 8, fleet_size: int = 100, seed: int = 7, **more: Any
) -> Harness:
    classes = more.pop("classes", (query_class(deadline_ns=60 * S),))
    kinds = more.pop("kinds", ["box"])
    settings = make_settings(
        *classes, fleet_size=fleet_size, kind_cores=tuple((kind, 4) for kind in kinds), **more
    )
    return Harness(
        settings,
        *(entry(index, kind=kinds[index % len(kinds)]) for index in range(1, endpoint_count + 1)),
        seed=seed,
    )


def start_requests(harness: Harness, count: int) -> None:
    for index in range(count):
        harness.arrive(f"open{index}", estimate_ns=400 * MS, patience=60 * S)


def test_pool_bound_rejects_a_request_that_fits_the_bound_of_every_endpoint() -> None:
    """A broker of a large fleet has no attempt at most endpoints; their bounds admit anything."""
    harness = fleet_harness()
    start_requests(harness, 3)
    harness.controller.pool.limit.full_until_ns = harness.now + S
    harness.controller.pool.limit.bound_ns = 0.0
    harness.arrive("r", estimate_ns=400 * MS)
    assert isinstance(harness.answers("r")[0], api.Reject)


def test_pool_bound_is_not_used_with_one_broker() -> None:
    harness = fleet_harness(fleet_size=1)
    start_requests(harness, 3)
    harness.controller.pool.limit.full_until_ns = harness.now + S
    harness.controller.pool.limit.bound_ns = 0.0
    harness.arrive("r", estimate_ns=400 * MS)
    assert not harness.controller.pool.large_fleet
    assert harness.sends("r")


def test_pool_bound_follows_the_endpoint_list() -> None:
    harness = fleet_harness(endpoint_count=8)
    before = harness.controller.pool.limit.initial_bound_ns
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(1, state=api.EndpointState.REMOVED),)
        )
    )
    assert harness.controller.pool.limit.initial_bound_ns == pytest.approx(before * 7 / 8)
    assert harness.controller.pool.limit.bound_ns == pytest.approx(
        harness.controller.pool.limit.initial_bound_ns
    )


def test_pool_quota_is_compared_with_the_mean_of_the_threads_in_flight() -> None:
    """A few threads exceed the quota by chance; only their mean over seconds shows an excess."""
    harness = fleet_harness()
    start_requests(harness, 3)
    pool = harness.controller.pool.limit
    assert pool.threads_in_flight > pool.thread_quota
    assert pool.quota_ratio(harness.now, 0) < 1
    assert pool.quota_ratio(harness.now + 20 * S, 0) > 1


def test_under_pressure_requests_are_admitted_by_priority_weight_per_work() -> None:
    """Otherwise large requests would use up the bound, and small ones of the same weight would be
    rejected.
    """
    harness = fleet_harness()
    start_requests(harness, 4)
    pool = harness.controller.pool.limit
    pool.full_until_ns = harness.now + S
    pool.bound_ns = pool.backlog_ns + 1.0 * MS
    harness.arrive("small", estimate_ns=5 * MS)
    harness.arrive("large", estimate_ns=2 * S)
    assert harness.sends("small")
    assert harness.answers("large")


def test_stall_of_the_broker_does_not_count_against_an_endpoint() -> None:
    """After a stall every endpoint seems not to answer and every answer seems late."""
    harness = fleet_harness(endpoint_count=2, fleet_size=1)
    harness.arrive("r", estimate_ns=40 * MS, patience=60 * S)
    endpoint = harness.controller.endpoints[harness.sends("r")[0].endpoint]
    harness.now += 3 * S  # no timer fired meanwhile
    harness.arrive("s", estimate_ns=40 * MS)
    assert not endpoint.ejected
    harness.end("r", api.AttemptResult.SERVED, latency=3 * S)
    assert endpoint.slowdown == 1.0
    assert not endpoint.delays


def test_overdue_idempotent_request_is_hedged_and_the_slower_attempt_cancelled() -> None:
    """The request ran but its answer was lost, and the endpoint shows no fault."""
    limits = api.Limits(cancellation=True, hedging=True, max_attempts=3)
    harness = fleet_harness(endpoint_count=3, fleet_size=1, limits=limits)
    harness.arrive("r", estimate_ns=40 * MS, patience=60 * S)
    harness.pass_time(200 * MS)
    assert len({dispatch.endpoint for dispatch in harness.sends("r")}) == 2
    assert api.CancelAttempt("r", 0) in harness.end("r", api.AttemptResult.SERVED, attempt=1)


def test_unknown_event_is_a_type_error() -> None:
    with pytest.raises(TypeError, match="str"):
        fleet_harness().controller.handle(0, "hello")  # type: ignore[arg-type]


def test_failures_of_some_endpoints_lower_the_share_of_their_kind() -> None:
    """A zone or kind may fail as a whole, with too few attempts at each endpoint to show it."""
    # Endpoints 2, 4, ... are of the kind "good", endpoints 1, 3, ... of the kind "bad".
    harness = fleet_harness(kinds=["good", "bad"])
    for number in (1, 3):
        for _ in range(3):
            harness.controller.outlier_detector.record_outcome(
                harness.controller.endpoints[number], True
            )
    for number in (2, 4, 2, 4, 2, 4):
        harness.controller.outlier_detector.record_outcome(
            harness.controller.endpoints[number], False
        )
    endpoints = []
    for index in range(60):
        harness.arrive(f"r{index}", estimate_ns=MS)
        endpoints.append(harness.sends(f"r{index}")[0].endpoint)
        harness.end(f"r{index}", api.AttemptResult.CANCELLED, finished=True)
    assert sum(endpoint % 2 for endpoint in endpoints) < len(endpoints) / 4
    # These two have had no outcome.
    assert sum(endpoint in (5, 7) for endpoint in endpoints) < len(endpoints) / 8


def test_accounting_does_not_grow_with_time() -> None:
    harness = fleet_harness(endpoint_count=3)
    for index in range(300):
        harness.arrive(f"r{index}", estimate_ns=MS)
        for _ in harness.sends(f"r{index}"):
            harness.end(f"r{index}", api.AttemptResult.SERVED, latency=MS)
        harness.pass_time(50 * MS)
    harness.pass_time(10 * S)
    controller = harness.controller
    assert not controller.requests
    assert not controller.admission.retry_budget.arrivals.additions
    assert len(controller.orders.timers) <= 1
