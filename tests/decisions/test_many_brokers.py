"""Many gateways: the departures that act where one gateway's share of an engine is under one
query.
"""

from __future__ import annotations

from typing import Any

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def many(count: int = 8, fleet: int = 100, seed: int = 7, **more: Any) -> Harness:
    classes = more.pop("classes", (query_class(deadline_ns=60 * S),))
    kinds = more.pop("kinds", ["box"])
    settings = make_settings(
        *classes, fleet_size=fleet, kind_cores=tuple((k, 4) for k in kinds), **more
    )
    return Harness(
        settings,
        *(entry(index, kind=kinds[index % len(kinds)]) for index in range(1, count + 1)),
        seed=seed,
    )


def fill(harness: Harness, count: int) -> None:
    for index in range(count):
        harness.arrive(f"fill{index}", estimate_ns=400 * MS, patience=60 * S)


def test_pool_bound_refuses_where_no_engine_of_its_own_would() -> None:
    """Prevents: with many gateways nothing is outstanding on most engines, and all would be let
    in.
    """
    harness = many()
    fill(harness, 3)
    harness.controller.pool.limit.full_until_ns = harness.now + S
    harness.controller.pool.limit.bound_ns = 0.0
    harness.arrive("r", estimate_ns=400 * MS)
    assert isinstance(harness.answers("r")[0], api.Reject)


def test_pool_stands_aside_with_one_gateway() -> None:
    harness = many(fleet=1)
    fill(harness, 3)
    harness.controller.pool.limit.full_until_ns = harness.now + S
    harness.controller.pool.limit.bound_ns = 0.0
    harness.arrive("r", estimate_ns=400 * MS)
    assert not harness.controller.pool.large_fleet
    assert harness.sends("r")


def test_pool_follows_the_list() -> None:
    harness = many(count=8)
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


def test_chance_is_no_crowd_but_lasting_threads_are() -> None:
    """Prevents: few threads pass one gateway's share by chance; their mean over seconds tells."""
    harness = many()
    fill(harness, 3)
    pool = harness.controller.pool.limit
    assert pool.threads_in_flight > pool.thread_quota
    assert pool.crowding(harness.now, 0) < 1
    assert pool.crowding(harness.now + 20 * S, 0) > 1


def test_under_pressure_worth_per_work_decides() -> None:
    """Prevents: large queries fill the bound and small ones of the same worth are refused."""
    harness = many()
    fill(harness, 4)
    pool = harness.controller.pool.limit
    pool.full_until_ns = harness.now + S
    pool.bound_ns = pool.backlog_ns + 1.0 * MS
    harness.arrive("small", estimate_ns=5 * MS)
    harness.arrive("large", estimate_ns=2 * S)
    assert harness.sends("small")
    assert harness.answers("large")


def test_stall_of_the_gateway_is_no_engines_silence_or_delay() -> None:
    """Prevents: a gateway stands still, then finds every engine silent and every answer late."""
    harness = many(count=2, fleet=1)
    harness.arrive("r", estimate_ns=40 * MS, patience=60 * S)
    engine = harness.controller.endpoints[harness.sends("r")[0].endpoint]
    harness.now += 3 * S  # no timer fired meanwhile
    harness.arrive("s", estimate_ns=40 * MS)
    assert not engine.ejected
    harness.end("r", api.AttemptResult.SERVED, latency=3 * S)
    assert engine.slowdown == 1.0
    assert not engine.delays


def test_overdue_safe_query_gets_a_second_copy_and_the_loser_is_cancelled() -> None:
    """Prevents: the work ran but its answer is lost; the engine shows no sign."""
    limits = api.Limits(cancellation=True, hedging=True, max_attempts=3)
    harness = many(count=3, fleet=1, limits=limits)
    harness.arrive("r", estimate_ns=40 * MS, patience=60 * S)
    harness.pass_time(200 * MS)
    assert len({s.endpoint for s in harness.sends("r")}) == 2
    assert api.CancelAttempt("r", 0) in harness.end("r", api.AttemptResult.SERVED, attempt=1)


def test_unknown_event_is_a_type_error() -> None:
    with pytest.raises(TypeError, match="str"):
        many().controller.handle(0, "hello")  # type: ignore[arg-type]


def test_failures_of_a_few_foretell_their_kind() -> None:
    """Prevents: a room or a kind is lost at once and each engine is met too seldom to tell."""
    harness = many(kinds=["good", "bad"])  # engines 2, 4 .. are good, 1, 3 .. bad
    for engine in (1, 3):
        for _ in range(3):
            harness.controller.outliers.record(harness.controller.endpoints[engine], True)
    for engine in (2, 4, 2, 4, 2, 4):
        harness.controller.outliers.record(harness.controller.endpoints[engine], False)
    went = []
    for index in range(60):
        harness.arrive(f"r{index}", estimate_ns=MS)
        went.append(harness.sends(f"r{index}")[0].endpoint)
        harness.end(f"r{index}", api.AttemptResult.CANCELLED, finished=True)
    assert sum(engine % 2 for engine in went) < len(went) / 4
    # nothing has been seen of these two
    assert sum(engine in (5, 7) for engine in went) < len(went) / 8


def test_books_do_not_grow_with_time() -> None:
    harness = many(count=3)
    for index in range(300):
        harness.arrive(f"r{index}", estimate_ns=MS)
        for _ in harness.sends(f"r{index}"):
            harness.end(f"r{index}", api.AttemptResult.SERVED, latency=MS)
        harness.pass_time(50 * MS)
    harness.pass_time(10 * S)
    gateway = harness.controller
    assert not gateway.requests
    assert not gateway.admission.retry_budget.arrivals.items
    assert len(gateway.orders.timers) <= 1
