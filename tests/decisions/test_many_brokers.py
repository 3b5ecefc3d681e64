"""Many brokers: what acts only where one broker's quota of an engine is less than one query."""

from __future__ import annotations

from typing import Any

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def many_brokers(count: int = 8, fleet: int = 100, seed: int = 7, **more: Any) -> Harness:
    classes = more.pop("classes", (query_class(deadline_ns=60 * S),))
    kinds = more.pop("kinds", ["box"])
    settings = make_settings(
        *classes, fleet_size=fleet, kind_cores=tuple((kind, 4) for kind in kinds), **more
    )
    return Harness(
        settings,
        *(entry(index, kind=kinds[index % len(kinds)]) for index in range(1, count + 1)),
        seed=seed,
    )


def fill_engines(harness: Harness, count: int) -> None:
    for index in range(count):
        harness.arrive(f"fill_engines{index}", estimate_ns=400 * MS, patience=60 * S)


def test_pool_bound_rejects_where_no_bound_of_an_engine_would() -> None:
    """With many brokers nothing is in flight on most engines, and all would be admitted."""
    harness = many_brokers()
    fill_engines(harness, 3)
    harness.controller.pool.limit.full_until_ns = harness.now + S
    harness.controller.pool.limit.bound_ns = 0.0
    harness.arrive("r", estimate_ns=400 * MS)
    assert isinstance(harness.answers("r")[0], api.Reject)


def test_pool_bound_is_not_used_with_one_broker() -> None:
    harness = many_brokers(fleet=1)
    fill_engines(harness, 3)
    harness.controller.pool.limit.full_until_ns = harness.now + S
    harness.controller.pool.limit.bound_ns = 0.0
    harness.arrive("r", estimate_ns=400 * MS)
    assert not harness.controller.pool.large_fleet
    assert harness.sends("r")


def test_pool_bound_follows_the_endpoint_list() -> None:
    harness = many_brokers(count=8)
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


def test_threads_in_flight_by_chance_are_no_crowd_but_lasting_ones_are() -> None:
    """Few threads exceed one broker's quota by chance; their mean over seconds shows it."""
    harness = many_brokers()
    fill_engines(harness, 3)
    pool = harness.controller.pool.limit
    assert pool.threads_in_flight > pool.thread_quota
    assert pool.quota_ratio(harness.now, 0) < 1
    assert pool.quota_ratio(harness.now + 20 * S, 0) > 1


def test_under_pressure_priority_weight_per_work_decides() -> None:
    """Large queries would fill the bound, and small ones of the same weight be rejected."""
    harness = many_brokers()
    fill_engines(harness, 4)
    pool = harness.controller.pool.limit
    pool.full_until_ns = harness.now + S
    pool.bound_ns = pool.backlog_ns + 1.0 * MS
    harness.arrive("small", estimate_ns=5 * MS)
    harness.arrive("large", estimate_ns=2 * S)
    assert harness.sends("small")
    assert harness.answers("large")


def test_stall_of_the_broker_is_no_engines_silence_or_delay() -> None:
    """A broker that stood still would find every engine silent and every answer late."""
    harness = many_brokers(count=2, fleet=1)
    harness.arrive("r", estimate_ns=40 * MS, patience=60 * S)
    engine = harness.controller.endpoints[harness.sends("r")[0].endpoint]
    harness.now += 3 * S  # no timer fired meanwhile
    harness.arrive("s", estimate_ns=40 * MS)
    assert not engine.ejected
    harness.end("r", api.AttemptResult.SERVED, latency=3 * S)
    assert engine.slowdown == 1.0
    assert not engine.delays


def test_overdue_idempotent_query_is_hedged_and_the_loser_is_cancelled() -> None:
    """The work ran but its answer is lost, and the engine shows no fault."""
    limits = api.Limits(cancellation=True, hedging=True, max_attempts=3)
    harness = many_brokers(count=3, fleet=1, limits=limits)
    harness.arrive("r", estimate_ns=40 * MS, patience=60 * S)
    harness.pass_time(200 * MS)
    assert len({dispatch.endpoint for dispatch in harness.sends("r")}) == 2
    assert api.CancelAttempt("r", 0) in harness.end("r", api.AttemptResult.SERVED, attempt=1)


def test_unknown_event_is_a_type_error() -> None:
    with pytest.raises(TypeError, match="str"):
        many_brokers().controller.handle(0, "hello")  # type: ignore[arg-type]


def test_failures_of_a_few_count_against_their_kind() -> None:
    """A zone or a kind may be lost at once, with too few attempts at each engine to tell."""
    harness = many_brokers(kinds=["good", "bad"])  # engines 2, 4 .. are good, 1, 3 .. are bad
    for engine in (1, 3):
        for _ in range(3):
            harness.controller.outliers.record_outcome(harness.controller.endpoints[engine], True)
    for engine in (2, 4, 2, 4, 2, 4):
        harness.controller.outliers.record_outcome(harness.controller.endpoints[engine], False)
    endpoints = []
    for index in range(60):
        harness.arrive(f"r{index}", estimate_ns=MS)
        endpoints.append(harness.sends(f"r{index}")[0].endpoint)
        harness.end(f"r{index}", api.AttemptResult.CANCELLED, finished=True)
    assert sum(endpoint % 2 for endpoint in endpoints) < len(endpoints) / 4
    # Nothing has been observed of these two.
    assert sum(endpoint in (5, 7) for endpoint in endpoints) < len(endpoints) / 8


def test_accounting_does_not_grow_with_time() -> None:
    harness = many_brokers(count=3)
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
