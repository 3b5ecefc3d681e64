"""The seven rules, each with the case that its guard prevents."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, TICK, Harness, S, entry, make_settings, query_class

KEYED: dict[str, Any] = {"effect": api.Effect.IDEMPOTENCY_KEY, "idempotency_window_ns": 3 * S}


# 1. No request is lost.


def test_hanging_attempt_is_answered_before_patience_ends() -> None:
    harness = Harness(make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1))
    harness.arrive("r", patience=2 * S)
    start = harness.now
    harness.pass_time(3 * S)
    times = [t for t, a in harness.log if isinstance(a, api.Fail)]
    assert len(times) == 1
    assert start + S < times[0] <= start + 2 * S


def test_request_held_behind_a_key_is_answered() -> None:
    harness = Harness(
        make_settings(query_class(ordered_by_key=True, effect=api.Effect.NON_IDEMPOTENT)), entry(1)
    )
    harness.arrive("first", key="k", patience=5 * S)
    harness.arrive("held", key="k", patience=2 * S)
    harness.pass_time(2 * S)
    assert not harness.sends("held")
    assert len(harness.answers("held")) == 1
    harness.pass_time(4 * S)
    assert len(harness.answers("held")) == 1


def test_used_up_patience_is_answered_at_once() -> None:
    harness = Harness(make_settings(query_class(ordered_by_key=True)), entry(1))
    for index, patience in enumerate((0, -5, TICK)):
        harness.arrive(f"r{index}", patience=patience, key="k")
        assert len(harness.answers(f"r{index}")) == 1
        assert not harness.sends(f"r{index}")


def test_nothing_is_sent_after_the_final_answer() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("r", patience=S)
    harness.pass_time(2 * S)
    assert len(harness.answers("r")) == 1
    sends = len(harness.sends("r"))
    harness.end("r", api.AttemptResult.CONNECT_FAILED, finished=True)
    harness.do(api.RequestAbandoned("r"))
    assert len(harness.sends("r")) == sends
    assert len(harness.answers("r")) == 1


def test_unknown_events_are_ignored() -> None:
    harness = Harness(make_settings(), entry(1))
    assert harness.do(api.RequestAbandoned("nobody")) == []
    assert harness.do(api.TimerFired(999)) == []
    assert harness.do(api.AttemptEnded("nobody", 0, 1, api.AttemptResult.SERVED, 1, True)) == []
    assert harness.do(api.AttemptProgress("nobody", 0, 1, api.ProgressKind.PROGRESS, 0.5)) == []


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
    harness = Harness(
        make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1), entry(2)
    )
    harness.arrive("r")
    harness.end("r", result)
    assert len(harness.sends("r")) == 1
    assert isinstance(harness.answers("r")[0], api.Fail)


@pytest.mark.parametrize(
    "result", [api.AttemptResult.FULL, api.AttemptResult.CONNECT_FAILED, api.AttemptResult.NOT_SENT]
)
def test_unsafe_work_that_never_ran_goes_on(result: api.AttemptResult) -> None:
    harness = Harness(
        make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1), entry(2)
    )
    harness.arrive("r")
    harness.end("r", result)
    assert len(harness.sends("r")) == 2


def test_unsafe_refusal_only_when_nothing_ran() -> None:
    harness = Harness(make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)))
    harness.arrive("r")
    assert isinstance(harness.answers("r")[0], api.Reject)


def test_keyed_repeat_only_within_the_window_of_the_first_send() -> None:
    harness = Harness(make_settings(query_class(**KEYED)), entry(1), entry(2))
    harness.arrive("early")
    harness.now += S
    harness.end("early", api.AttemptResult.ERROR)
    assert len(harness.sends("early")) == 2
    harness.now += 2 * S + 500 * MS  # counted from the first send, not the last
    harness.end("early", api.AttemptResult.ERROR)
    assert len(harness.sends("early")) == 2
    assert isinstance(harness.answers("early")[0], api.Reject)


@pytest.mark.parametrize("scope", [api.IdempotencyScope.ZONE, api.IdempotencyScope.CELL])
def test_keyed_repeat_stays_in_its_group(scope: api.IdempotencyScope) -> None:
    harness = Harness(
        make_settings(query_class(idempotency_scope=scope, **KEYED)), entry(1, zone="a", cell=1)
    )
    harness.arrive("r")
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (entry(2, zone="b", cell=2),)))
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(1, cell=1, state=api.EndpointState.DRAINING),)
        )
    )
    harness.end("r", api.AttemptResult.ERROR)
    assert len(harness.sends("r")) == 1
    # a refusal is only allowed where the group is all
    assert isinstance(harness.answers("r")[0], api.Fail)


def test_never_two_attempts_at_once_without_leave() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("r", estimate_ns=10 * MS)
    harness.pass_time(4 * S)
    assert len(harness.sends("r")) == 1
    assert api.CancelAttempt("r", 0) in [a for _, a in harness.log]
    harness.end("r", api.AttemptResult.CANCELLED)
    assert len(harness.sends("r")) == 2


# 3. Drains are kept.


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_no_send_once_told(state: api.EndpointState) -> None:
    harness = Harness(make_settings(query_class(ordered_by_key=True)), entry(1))
    harness.arrive("first", key="k")
    harness.arrive("held", key="k")
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (entry(1, state=state),)))
    harness.now += 2 * S
    harness.end("first", api.AttemptResult.CONNECT_FAILED)
    harness.arrive("new")
    assert len(harness.sends("first")) == 1
    assert not harness.sends("held")
    assert not harness.sends("new")
    assert len(harness.answers("held")) == 1


def test_engine_missing_from_a_full_list_is_gone() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("busy")
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.FULL, ()))
    harness.arrive("new")
    assert not harness.sends("new")
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.FAILED))
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (entry(1), entry(1))))
    harness.arrive("again")
    assert harness.sends("again")[0].endpoint == 1


# 4. A cold engine is not pushed over.


@pytest.mark.parametrize("fleet_size", [1, 3])
def test_cold_budget_over_any_window(fleet_size: int) -> None:
    settings = make_settings(fleet_size=fleet_size)
    harness = Harness(settings, entry(1, started_ns=99 * S))
    rules = settings.contract
    budget = rules.overload_multiple * 4 * rules.overload_window_ns / fleet_size
    sent: list[tuple[int, int]] = []
    for index in range(400):
        harness.arrive(f"r{index}", estimate_ns=50 * MS)
        if harness.sends(f"r{index}"):
            sent.append((harness.now, 50 * MS))
            harness.end(f"r{index}", api.AttemptResult.SERVED, latency=50 * MS)
        harness.now += 10 * MS
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
    harness = Harness(make_settings(), entry(1))
    harness.do(
        api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (entry(1, started_ns=harness.now - S),))
    )
    harness.arrive("large", estimate_ns=20 * S, patience=99 * S)
    assert not harness.sends("large")
    harness.now += 10 * S
    harness.arrive("later", estimate_ns=20 * S, patience=99 * S)
    assert harness.sends("later")


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
    harness = ordered()
    for name in ("a", "b", "c"):
        harness.arrive(name, key="k")
    harness.arrive("other", key="k2")
    assert harness.sends("a")
    assert harness.sends("other")
    assert not harness.sends("b")
    assert not harness.sends("c")
    harness.end("a", api.AttemptResult.SERVED)
    assert harness.sends("b")
    assert not harness.sends("c")


@pytest.mark.parametrize(
    "result", [api.AttemptResult.TIMEOUT, api.AttemptResult.RESET, api.AttemptResult.CANCELLED]
)
def test_departed_request_holds_its_key_until_outcome_and_rest(result: api.AttemptResult) -> None:
    harness = ordered()
    harness.arrive("a", key="k")
    harness.arrive("b", key="k")
    harness.do(api.RequestAbandoned("a"))
    assert not harness.sends("b")
    harness.end("a", result, finished=True)
    assert not harness.sends("b")
    harness.pass_time(299 * MS)
    assert not harness.sends("b")
    harness.pass_time(2 * MS)
    assert harness.sends("b")


def test_a_key_left_empty_still_rests() -> None:
    harness = ordered()
    harness.arrive("a", key="k")
    harness.do(api.RequestAbandoned("a"))
    harness.end("a", api.AttemptResult.CANCELLED, finished=True)
    harness.arrive("b", key="k")
    assert not harness.sends("b")
    harness.pass_time(300 * MS)
    assert harness.sends("b")


# 6. Placement is kept.


def test_placement_at_every_attempt() -> None:
    bound = query_class("bound", allowed_kinds=("big",))
    harness = Harness(make_settings(query_class(), bound), entry(1, kind="big"), entry(2))
    harness.arrive("r", "bound")
    assert [s.endpoint for s in harness.sends("r")] == [1]
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    assert all(s.endpoint == 1 for s in harness.sends("r"))
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(1, kind="big", state=api.EndpointState.REMOVED),)
        )
    )
    harness.arrive("homeless", "bound")
    assert not harness.sends("homeless")
    assert harness.answers("homeless")


def test_the_budget_of_a_cold_engine_follows_its_warming() -> None:
    """Prevents: a release leaves engines half warm and idle while every request is refused; but
    no window may hold more than a third of the contract of what it can do, however late the
    ramp is.
    """
    taken = []
    for age in (0, 5 * S, 9 * S):
        harness = Harness(make_settings(fleet_size=2), entry(1, started_ns=100 * S - age))
        engine = harness.controller.endpoints[1]
        rules = harness.controller.active.contract
        for index in range(2_000):
            harness.arrive(f"r{index}", estimate_ns=10 * MS)
            if harness.sends(f"r{index}"):
                harness.end(f"r{index}", api.AttemptResult.SERVED, latency=10 * MS)
        taken.append(engine.warmup_work.at(harness.now))
        assert (
            2 * taken[-1] <= rules.overload_multiple * engine.cores * rules.overload_window_ns / 3
        )
    assert taken[0] < taken[1] < taken[2]
    assert taken[2] > 2 * taken[0]


# 7. Further attempts stay within their budget.


def test_attempt_budget_over_its_span() -> None:
    settings = make_settings()
    contract = dataclasses.replace(
        settings.contract,
        retry_budget_window_ns=2 * S,
        retry_budget_free=1.0,
        retry_budget_ratio=0.25,
    )
    harness = Harness(
        dataclasses.replace(settings, contract=contract), *(entry(index) for index in range(12))
    )
    for index in range(8):
        harness.arrive(f"r{index}", estimate_ns=10 * MS)
        harness.end(f"r{index}", api.AttemptResult.ERROR)
    retries = sum(len(harness.sends(f"r{index}")) - 1 for index in range(8))
    assert 0 < retries <= 3
    harness.now += 3 * S
    harness.arrive("late", estimate_ns=10 * MS)
    harness.end("late", api.AttemptResult.ERROR)
    assert len(harness.sends("late")) == 2


# Settings


@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("classes", {"classes": ()}),
        ("fleet_size", {"fleet_size": 0}),
        ("tick", {"tick_ns": 0}),
        ("kind_cores", {"kind_cores": (("box", 0),)}),
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
    harness = Harness(make_settings(kind_cores=()), entry(1))
    harness.arrive("r", estimate_ns=estimate)
    assert harness.sends("r")
    assert harness.backlog() > 0


def test_a_long_key_queue_is_refused_without_deep_recursion() -> None:
    """Prevents: hundreds held behind one key, then no engine left: each refusal asks for the
    next.
    """
    harness = Harness(
        make_settings(
            query_class(ordered_by_key=True, latency_objective_ns=60 * S, deadline_ns=90 * S)
        ),
        entry(1),
    )
    for index in range(600):
        harness.arrive(f"r{index}", key="k", estimate_ns=MS, patience=80 * S)
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(1, state=api.EndpointState.DRAINING),)
        )
    )
    harness.end("r0", api.AttemptResult.SERVED)
    assert len(harness.sends("r0")) == 1
    assert all(
        len(harness.answers(f"r{index}")) == 1 and not harness.sends(f"r{index}")
        for index in range(1, 600)
    )


def test_the_send_path_itself_keeps_the_order() -> None:
    """The queue serves its head only; the gate must refuse the others even if something else
    asks.
    """
    harness = ordered()
    harness.arrive("a", key="k")
    harness.arrive("b", key="k")
    second = harness.controller.requests["b"]
    engine = harness.controller.endpoints[2]
    assert not harness.controller.selector.eligibility.allows(harness.now, second, engine)
    harness.end("a", api.AttemptResult.SERVED)
    assert len(harness.sends("b")) == 1
