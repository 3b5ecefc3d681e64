"""Many gateways: the departures that act where one gateway's share of an engine is under one
query.
"""

from __future__ import annotations

from typing import Any

import pytest

from query_broker import decisions as api

from .helpers import MS, Harness, S, entry, make_settings, query_class


def many(count: int = 8, fleet: int = 100, seed: int = 7, **more: Any) -> Harness:
    classes = more.pop("classes", (query_class(deadline_ns=60 * S),))
    kinds = more.pop("kinds", ["box"])
    settings = make_settings(
        *classes, fleet_size=fleet, kind_cores=tuple((k, 4) for k in kinds), **more
    )
    return Harness(
        settings, *(entry(i, kind=kinds[i % len(kinds)]) for i in range(1, count + 1)), seed=seed
    )


def fill(h: Harness, count: int) -> None:
    for i in range(count):
        h.arrive(f"fill{i}", estimate_ns=400 * MS, patience=60 * S)


def test_pool_bound_refuses_where_no_engine_of_its_own_would() -> None:
    """Danger: with many gateways nothing is outstanding on most engines, and all would be let
    in.
    """
    h = many()
    fill(h, 3)
    h.controller.pool.limit.full_until = h.now + S
    h.controller.pool.limit.bound = 0.0
    h.arrive("r", estimate_ns=400 * MS)
    assert isinstance(h.answers("r")[0], api.Reject)


def test_pool_stands_aside_with_one_gateway() -> None:
    h = many(fleet=1)
    fill(h, 3)
    h.controller.pool.limit.full_until = h.now + S
    h.controller.pool.limit.bound = 0.0
    h.arrive("r", estimate_ns=400 * MS)
    assert not h.controller.pool.large_fleet and h.sends("r")


def test_pool_follows_the_list() -> None:
    h = many(count=8)
    before = h.controller.pool.limit.initial_bound
    h.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(1, state=api.EndpointState.REMOVED),)
        )
    )
    assert h.controller.pool.limit.initial_bound == pytest.approx(before * 7 / 8)
    assert h.controller.pool.limit.bound == pytest.approx(h.controller.pool.limit.initial_bound)


def test_chance_is_no_crowd_but_lasting_threads_are() -> None:
    """Danger: few threads pass one gateway's share by chance; their mean over seconds tells."""
    h = many()
    fill(h, 3)
    pool = h.controller.pool.limit
    assert pool.threads_out > pool.thread_quota and pool.crowding(h.now, 0) < 1
    assert pool.crowding(h.now + 20 * S, 0) > 1


def test_under_pressure_worth_per_work_decides() -> None:
    """Danger: large queries fill the bound and small ones of the same worth are refused."""
    h = many()
    fill(h, 4)
    pool = h.controller.pool.limit
    pool.full_until, pool.bound = h.now + S, pool.backlog + 1.0 * MS
    h.arrive("small", estimate_ns=5 * MS)
    h.arrive("large", estimate_ns=2 * S)
    assert h.sends("small") and h.answers("large")


def test_stall_of_the_gateway_is_no_engines_silence_or_delay() -> None:
    """Danger: a gateway stands still, then finds every engine silent and every answer late."""
    h = many(count=2, fleet=1)
    h.arrive("r", estimate_ns=40 * MS, patience=60 * S)
    engine = h.controller.engines[h.sends("r")[0].endpoint]
    h.now += 3 * S  # no timer fired meanwhile
    h.arrive("s", estimate_ns=40 * MS)
    assert not engine.suspect
    h.end("r", api.AttemptResult.SERVED, latency=3 * S)
    assert engine.slowdown == 1.0 and not engine.delays


def test_overdue_safe_query_gets_a_second_copy_and_the_loser_is_cancelled() -> None:
    """Danger: the work ran but its answer is lost; the engine shows no sign."""
    limits = api.Limits(cancellation=True, hedging=True, max_attempts=3)
    h = many(count=3, fleet=1, limits=limits)
    h.arrive("r", estimate_ns=40 * MS, patience=60 * S)
    h.pass_time(200 * MS)
    assert len({s.endpoint for s in h.sends("r")}) == 2
    assert api.CancelAttempt("r", 0) in h.end("r", api.AttemptResult.SERVED, attempt=1)


def test_unknown_event_is_a_type_error() -> None:
    with pytest.raises(TypeError, match="str"):
        many().controller.handle(0, "hello")  # type: ignore[arg-type]


def test_failures_of_a_few_foretell_their_kind() -> None:
    """Danger: a room or a kind is lost at once and each engine is met too seldom to tell."""
    h = many(kinds=["good", "bad"])  # engines 2, 4 .. are good, 1, 3 .. bad
    for engine in (1, 3):
        for _ in range(3):
            h.controller.outliers.record(h.controller.engines[engine], True)
    for engine in (2, 4, 2, 4, 2, 4):
        h.controller.outliers.record(h.controller.engines[engine], False)
    went = []
    for i in range(60):
        h.arrive(f"r{i}", estimate_ns=MS)
        went.append(h.sends(f"r{i}")[0].endpoint)
        h.end(f"r{i}", api.AttemptResult.CANCELLED, finished=True)
    assert sum(engine % 2 for engine in went) < len(went) / 4
    # nothing has been seen of these two
    assert sum(engine in (5, 7) for engine in went) < len(went) / 8


def test_books_do_not_grow_with_time() -> None:
    h = many(count=3)
    for i in range(300):
        h.arrive(f"r{i}", estimate_ns=MS)
        for _ in h.sends(f"r{i}"):
            h.end(f"r{i}", api.AttemptResult.SERVED, latency=MS)
        h.pass_time(50 * MS)
    h.pass_time(10 * S)
    gateway = h.controller
    assert (
        not gateway.requests
        and not gateway.admission.retry_budget.arrivals.items
        and len(gateway.orders.timers) <= 1
    )
