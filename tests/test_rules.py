"""The seven rules, each with the case that its guard prevents."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from query_broker import decisions as api

from .helpers import MS, TICK, Harness, S, entry, make_settings, query_class

KEYED: dict[str, Any] = dict(effect=api.Effect.IDEMPOTENCY_KEY, idempotency_window_ns=3 * S)


# 1. No request is lost.


def test_hanging_attempt_is_answered_before_patience_ends() -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1))
    h.arrive("r", patience=2 * S)
    start = h.now
    h.pass_time(3 * S)
    times = [t for t, a in h.log if isinstance(a, api.Fail)]
    assert len(times) == 1 and start + S < times[0] <= start + 2 * S


def test_request_held_behind_a_key_is_answered() -> None:
    h = Harness(
        make_settings(query_class(ordered_by_key=True, effect=api.Effect.NON_IDEMPOTENT)), entry(1)
    )
    h.arrive("first", key="k", patience=5 * S)
    h.arrive("held", key="k", patience=2 * S)
    h.pass_time(2 * S)
    assert not h.sends("held") and len(h.answers("held")) == 1
    h.pass_time(4 * S)
    assert len(h.answers("held")) == 1


def test_used_up_patience_is_answered_at_once() -> None:
    h = Harness(make_settings(query_class(ordered_by_key=True)), entry(1))
    for i, patience in enumerate((0, -5, TICK)):
        h.arrive(f"r{i}", patience=patience, key="k")
        assert len(h.answers(f"r{i}")) == 1 and not h.sends(f"r{i}")


def test_nothing_is_sent_after_the_final_answer() -> None:
    h = Harness(make_settings(), entry(1), entry(2))
    h.arrive("r", patience=S)
    h.pass_time(2 * S)
    assert len(h.answers("r")) == 1
    sends = len(h.sends("r"))
    h.end("r", api.AttemptResult.CONNECT_FAILED, finished=True)
    h.do(api.RequestAbandoned("r"))
    assert len(h.sends("r")) == sends and len(h.answers("r")) == 1


def test_unknown_events_are_ignored() -> None:
    h = Harness(make_settings(), entry(1))
    assert h.do(api.RequestAbandoned("nobody")) == []
    assert h.do(api.TimerFired(999)) == []
    assert h.do(api.AttemptEnded("nobody", 0, 1, api.AttemptResult.SERVED, 1, True)) == []
    assert h.do(api.AttemptProgress("nobody", 0, 1, api.ProgressKind.PROGRESS, 0.5)) == []


# 2. No effect happens twice.


@pytest.mark.parametrize(
    "result",
    [
        api.AttemptResult.ERROR,
        api.AttemptResult.TIMEOUT,
        api.AttemptResult.RESET,
        api.AttemptResult.CANCELLED,
    ],
)
def test_unsafe_work_that_may_have_run_is_failed(result: api.AttemptResult) -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1), entry(2))
    h.arrive("r")
    h.end("r", result)
    assert len(h.sends("r")) == 1
    assert isinstance(h.answers("r")[0], api.Fail)


@pytest.mark.parametrize(
    "result", [api.AttemptResult.FULL, api.AttemptResult.CONNECT_FAILED, api.AttemptResult.NOT_SENT]
)
def test_unsafe_work_that_never_ran_goes_on(result: api.AttemptResult) -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1), entry(2))
    h.arrive("r")
    h.end("r", result)
    assert len(h.sends("r")) == 2


def test_unsafe_refusal_only_when_nothing_ran() -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)))
    h.arrive("r")
    assert isinstance(h.answers("r")[0], api.Reject)


def test_keyed_repeat_only_within_the_window_of_the_first_send() -> None:
    h = Harness(make_settings(query_class(**KEYED)), entry(1), entry(2))
    h.arrive("early")
    h.now += S
    h.end("early", api.AttemptResult.ERROR)
    assert len(h.sends("early")) == 2
    h.now += 2 * S + 500 * MS  # counted from the first send, not the last
    h.end("early", api.AttemptResult.ERROR)
    assert len(h.sends("early")) == 2 and isinstance(h.answers("early")[0], api.Reject)


@pytest.mark.parametrize("scope", [api.IdempotencyScope.ZONE, api.IdempotencyScope.CELL])
def test_keyed_repeat_stays_in_its_group(scope: api.IdempotencyScope) -> None:
    h = Harness(
        make_settings(query_class(idempotency_scope=scope, **KEYED)), entry(1, zone="a", cell=1)
    )
    h.arrive("r")
    h.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (entry(2, zone="b", cell=2),)))
    h.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(1, cell=1, state=api.EndpointState.DRAINING),)
        )
    )
    h.end("r", api.AttemptResult.ERROR)
    assert len(h.sends("r")) == 1
    # a refusal is only allowed where the group is all
    assert isinstance(h.answers("r")[0], api.Fail)


def test_never_two_attempts_at_once_without_leave() -> None:
    h = Harness(make_settings(), entry(1), entry(2))
    h.arrive("r", estimate_ns=10 * MS)
    h.pass_time(4 * S)
    assert len(h.sends("r")) == 1
    assert api.CancelAttempt("r", 0) in [a for _, a in h.log]
    h.end("r", api.AttemptResult.CANCELLED)
    assert len(h.sends("r")) == 2


# 3. Drains are kept.


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_no_send_once_told(state: api.EndpointState) -> None:
    h = Harness(make_settings(query_class(ordered_by_key=True)), entry(1))
    h.arrive("first", key="k")
    h.arrive("held", key="k")
    h.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (entry(1, state=state),)))
    h.now += 2 * S
    h.end("first", api.AttemptResult.CONNECT_FAILED)
    h.arrive("new")
    assert len(h.sends("first")) == 1 and not h.sends("held") and not h.sends("new")
    assert len(h.answers("held")) == 1


def test_engine_missing_from_a_full_list_is_gone() -> None:
    h = Harness(make_settings(), entry(1), entry(2))
    h.arrive("busy")
    h.do(api.EndpointListUpdate(api.ListUpdateKind.FULL, ()))
    h.arrive("new")
    assert not h.sends("new")
    h.do(api.EndpointListUpdate(api.ListUpdateKind.FAILED))
    h.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (entry(1), entry(1))))
    h.arrive("again")
    assert h.sends("again")[0].endpoint == 1


# 4. A cold engine is not pushed over.


@pytest.mark.parametrize("fleet_size", [1, 3])
def test_cold_budget_over_any_window(fleet_size: int) -> None:
    settings = make_settings(fleet_size=fleet_size)
    h = Harness(settings, entry(1, started_ns=99 * S))
    rules = settings.contract
    budget = rules.overload_multiple * 4 * rules.overload_window_ns / fleet_size
    sent: list[tuple[int, int]] = []
    for i in range(400):
        h.arrive(f"r{i}", estimate_ns=50 * MS)
        if h.sends(f"r{i}"):
            sent.append((h.now, 50 * MS))
            h.end(f"r{i}", api.AttemptResult.SERVED, latency=50 * MS)
        h.now += 10 * MS
    assert len(sent) > 5
    for t, _ in sent:
        within = sum(w for s, w in sent if t - rules.overload_window_ns < s <= t)
        assert within <= rules.warmup_initial_capacity * budget  # however late its ramp
        assert (
            within * 2
            <= (
                rules.warmup_initial_capacity
                + (1 - rules.warmup_initial_capacity) * (t - 99 * S) / rules.warmup_ns
            )
            * budget
        )


def test_a_restart_is_seen_by_its_start_time() -> None:
    h = Harness(make_settings(), entry(1))
    h.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (entry(1, started_ns=h.now - S),)))
    h.arrive("large", estimate_ns=20 * S, patience=99 * S)
    assert not h.sends("large")
    h.now += 10 * S
    h.arrive("later", estimate_ns=20 * S, patience=99 * S)
    assert h.sends("later")


# 5. Order is kept.


def ordered() -> Harness:
    return Harness(
        make_settings(
            query_class(
                ordered_by_key=True, effect=api.Effect.IDEMPOTENCY_KEY, idempotency_window_ns=9 * S
            )
        ),
        entry(1),
        entry(2),
    )


def test_one_at_a_time_in_the_order_taken() -> None:
    h = ordered()
    for name in ("a", "b", "c"):
        h.arrive(name, key="k")
    h.arrive("other", key="k2")
    assert h.sends("a") and h.sends("other") and not h.sends("b") and not h.sends("c")
    h.end("a", api.AttemptResult.SERVED)
    assert h.sends("b") and not h.sends("c")


@pytest.mark.parametrize(
    "result", [api.AttemptResult.TIMEOUT, api.AttemptResult.RESET, api.AttemptResult.CANCELLED]
)
def test_departed_request_holds_its_key_until_outcome_and_rest(result: api.AttemptResult) -> None:
    h = ordered()
    h.arrive("a", key="k")
    h.arrive("b", key="k")
    h.do(api.RequestAbandoned("a"))
    assert not h.sends("b")
    h.end("a", result, finished=True)
    assert not h.sends("b")
    h.pass_time(299 * MS)
    assert not h.sends("b")
    h.pass_time(2 * MS)
    assert h.sends("b")


def test_a_key_left_empty_still_rests() -> None:
    h = ordered()
    h.arrive("a", key="k")
    h.do(api.RequestAbandoned("a"))
    h.end("a", api.AttemptResult.CANCELLED, finished=True)
    h.arrive("b", key="k")
    assert not h.sends("b")
    h.pass_time(300 * MS)
    assert h.sends("b")


# 6. Placement is kept.


def test_placement_at_every_attempt() -> None:
    bound = query_class("bound", allowed_kinds=("big",))
    h = Harness(make_settings(query_class(), bound), entry(1, kind="big"), entry(2))
    h.arrive("r", "bound")
    assert [s.endpoint for s in h.sends("r")] == [1]
    h.end("r", api.AttemptResult.CONNECT_FAILED)
    assert all(s.endpoint == 1 for s in h.sends("r"))
    h.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(1, kind="big", state=api.EndpointState.REMOVED),)
        )
    )
    h.arrive("homeless", "bound")
    assert not h.sends("homeless") and h.answers("homeless")


def test_the_budget_of_a_cold_engine_follows_its_warming() -> None:
    """Danger: a release leaves engines half warm and idle while every request is refused; but no
    window may hold more than a third of the contract of what it can do, however late the ramp
    is.
    """
    taken = []
    for age in (0, 5 * S, 9 * S):
        h = Harness(make_settings(fleet_size=2), entry(1, started_ns=100 * S - age))
        engine, rules = h.controller.engines[1], h.controller.active.contract
        for i in range(2_000):
            h.arrive(f"r{i}", estimate_ns=10 * MS)
            h.end(f"r{i}", api.AttemptResult.SERVED, latency=10 * MS) if h.sends(f"r{i}") else None
        taken.append(engine.warmup_work.at(h.now))
        assert (
            2 * taken[-1] <= rules.overload_multiple * engine.cores * rules.overload_window_ns / 3
        )
    assert taken[0] < taken[1] < taken[2] and taken[2] > 2 * taken[0]


# 7. Further attempts stay within their budget.


def test_attempt_budget_over_its_span() -> None:
    settings = make_settings()
    contract = dataclasses.replace(
        settings.contract,
        retry_budget_window_ns=2 * S,
        retry_budget_free=1.0,
        retry_budget_ratio=0.25,
    )
    h = Harness(dataclasses.replace(settings, contract=contract), *(entry(i) for i in range(12)))
    for i in range(8):
        h.arrive(f"r{i}", estimate_ns=10 * MS)
        h.end(f"r{i}", api.AttemptResult.ERROR)
    further = sum(len(h.sends(f"r{i}")) - 1 for i in range(8))
    assert 0 < further <= 3
    h.now += 3 * S
    h.arrive("late", estimate_ns=10 * MS)
    h.end("late", api.AttemptResult.ERROR)
    assert len(h.sends("late")) == 2


# Settings


@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("classes", dict(classes=())),
        ("fleet_size", dict(fleet_size=0)),
        ("tick", dict(tick_ns=0)),
        ("kind_cores", dict(kind_cores=(("box", 0),))),
    ],
)
def test_impossible_settings_name_their_key(key: str, change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=key):
        dataclasses.replace(make_settings(), **change)  # type: ignore[arg-type]


def test_impossible_class() -> None:
    with pytest.raises(ValueError, match="deadline"):
        query_class(deadline_ns=0)


@pytest.mark.parametrize("estimate", [None, 0, -7])
def test_no_estimate_is_the_class_mean(estimate: int | None) -> None:
    h = Harness(make_settings(kind_cores=()), entry(1))
    h.arrive("r", estimate_ns=estimate)
    assert h.sends("r") and h.backlog() > 0


def test_a_long_key_queue_is_refused_without_deep_recursion() -> None:
    """Danger: hundreds held behind one key, then no engine left: each refusal asks for the next."""
    h = Harness(
        make_settings(
            query_class(ordered_by_key=True, latency_objective_ns=60 * S, deadline_ns=90 * S)
        ),
        entry(1),
    )
    for i in range(600):
        h.arrive(f"r{i}", key="k", estimate_ns=MS, patience=80 * S)
    h.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(1, state=api.EndpointState.DRAINING),)
        )
    )
    h.end("r0", api.AttemptResult.SERVED)
    assert len(h.sends("r0")) == 1
    assert all(len(h.answers(f"r{i}")) == 1 and not h.sends(f"r{i}") for i in range(1, 600))


def test_the_send_path_itself_keeps_the_order() -> None:
    """The queue serves its head only; the gate must refuse the others even if something else
    asks.
    """
    h = ordered()
    h.arrive("a", key="k")
    h.arrive("b", key="k")
    second, engine = h.controller.requests["b"], h.controller.engines[2]
    assert not h.controller.selector.eligibility.allows(h.now, second, engine)
    h.end("a", api.AttemptResult.SERVED)
    assert len(h.sends("b")) == 1
