"""The seven rules, each with the case that its guard prevents."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from query_broker import decisions as api

from .helpers import MS, TICK, Harness, S, entry, make_settings, query_class

KEYED: dict[str, Any] = dict(effect=api.Effect.KEYED, window=3 * S)


# 1. No request is lost.


def test_hanging_attempt_is_answered_before_patience_ends() -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.UNSAFE)), entry(1))
    h.arrive("r", patience=2 * S)
    start = h.now
    h.pass_time(3 * S)
    times = [t for t, a in h.log if isinstance(a, api.Fail)]
    assert len(times) == 1 and start + S < times[0] <= start + 2 * S


def test_request_held_behind_a_key_is_answered() -> None:
    h = Harness(make_settings(query_class(in_order=True, effect=api.Effect.UNSAFE)), entry(1))
    h.arrive("first", key="k", patience=5 * S)
    h.arrive("held", key="k", patience=2 * S)
    h.pass_time(2 * S)
    assert not h.sends("held") and len(h.answers("held")) == 1
    h.pass_time(4 * S)
    assert len(h.answers("held")) == 1


def test_used_up_patience_is_answered_at_once() -> None:
    h = Harness(make_settings(query_class(in_order=True)), entry(1))
    for i, patience in enumerate((0, -5, TICK)):
        h.arrive(f"r{i}", patience=patience, key="k")
        assert len(h.answers(f"r{i}")) == 1 and not h.sends(f"r{i}")


def test_nothing_is_sent_after_the_final_answer() -> None:
    h = Harness(make_settings(), entry(1), entry(2))
    h.arrive("r", patience=S)
    h.pass_time(2 * S)
    assert len(h.answers("r")) == 1
    sends = len(h.sends("r"))
    h.end("r", api.Result.CONNECT_FAILED, finished=True)
    h.do(api.Departure("r"))
    assert len(h.sends("r")) == sends and len(h.answers("r")) == 1


def test_unknown_events_are_ignored() -> None:
    h = Harness(make_settings(), entry(1))
    assert h.do(api.Departure("nobody")) == []
    assert h.do(api.TimerFired(999)) == []
    assert h.do(api.AttemptOutcome("nobody", 0, 1, api.Result.SERVED, 1, True)) == []
    assert h.do(api.AttemptNote("nobody", 0, 1, api.NoteKind.PROGRESS, 0.5)) == []


# 2. No effect happens twice.


@pytest.mark.parametrize(
    "result", [api.Result.ERROR, api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED]
)
def test_unsafe_work_that_may_have_run_is_failed(result: api.Result) -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.UNSAFE)), entry(1), entry(2))
    h.arrive("r")
    h.end("r", result)
    assert len(h.sends("r")) == 1
    assert isinstance(h.answers("r")[0], api.Fail)


@pytest.mark.parametrize(
    "result", [api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.NOT_SENT]
)
def test_unsafe_work_that_never_ran_goes_on(result: api.Result) -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.UNSAFE)), entry(1), entry(2))
    h.arrive("r")
    h.end("r", result)
    assert len(h.sends("r")) == 2


def test_unsafe_refusal_only_when_nothing_ran() -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.UNSAFE)))
    h.arrive("r")
    assert isinstance(h.answers("r")[0], api.Refuse)


def test_keyed_repeat_only_within_the_window_of_the_first_send() -> None:
    h = Harness(make_settings(query_class(**KEYED)), entry(1), entry(2))
    h.arrive("early")
    h.now += S
    h.end("early", api.Result.ERROR)
    assert len(h.sends("early")) == 2
    h.now += 2 * S + 500 * MS  # counted from the first send, not the last
    h.end("early", api.Result.ERROR)
    assert len(h.sends("early")) == 2 and isinstance(h.answers("early")[0], api.Refuse)


@pytest.mark.parametrize("scope", [api.Scope.ZONE, api.Scope.CELL])
def test_keyed_repeat_stays_in_its_group(scope: api.Scope) -> None:
    h = Harness(make_settings(query_class(scope=scope, **KEYED)), entry(1, zone="a", cell=1))
    h.arrive("r")
    h.do(api.ListNews(api.ListKind.CHANGES, (entry(2, zone="b", cell=2),)))
    h.do(api.ListNews(api.ListKind.CHANGES, (entry(1, cell=1, state=api.EngineState.DRAINING),)))
    h.end("r", api.Result.ERROR)
    assert len(h.sends("r")) == 1
    # a refusal is only allowed where the group is all
    assert isinstance(h.answers("r")[0], api.Fail)


def test_never_two_attempts_at_once_without_leave() -> None:
    h = Harness(make_settings(), entry(1), entry(2))
    h.arrive("r", estimate=10 * MS)
    h.pass_time(4 * S)
    assert len(h.sends("r")) == 1
    assert api.Cancel("r", 0) in [a for _, a in h.log]
    h.end("r", api.Result.CANCELLED)
    assert len(h.sends("r")) == 2


# 3. Drains are kept.


@pytest.mark.parametrize("state", [api.EngineState.DRAINING, api.EngineState.GONE])
def test_no_send_once_told(state: api.EngineState) -> None:
    h = Harness(make_settings(query_class(in_order=True)), entry(1))
    h.arrive("first", key="k")
    h.arrive("held", key="k")
    h.do(api.ListNews(api.ListKind.CHANGES, (entry(1, state=state),)))
    h.now += 2 * S
    h.end("first", api.Result.CONNECT_FAILED)
    h.arrive("new")
    assert len(h.sends("first")) == 1 and not h.sends("held") and not h.sends("new")
    assert len(h.answers("held")) == 1


def test_engine_missing_from_a_full_list_is_gone() -> None:
    h = Harness(make_settings(), entry(1), entry(2))
    h.arrive("busy")
    h.do(api.ListNews(api.ListKind.FULL, ()))
    h.arrive("new")
    assert not h.sends("new")
    h.do(api.ListNews(api.ListKind.FAILED))
    h.do(api.ListNews(api.ListKind.CHANGES, (entry(1), entry(1))))
    h.arrive("again")
    assert h.sends("again")[0].engine == 1


# 4. A cold engine is not pushed over.


@pytest.mark.parametrize("fleet_size", [1, 3])
def test_cold_budget_over_any_window(fleet_size: int) -> None:
    settings = make_settings(fleet_size=fleet_size)
    h = Harness(settings, entry(1, started=99 * S))
    rules = settings.contract
    budget = rules.fall_multiple * 4 * rules.fall / fleet_size
    sent: list[tuple[int, int]] = []
    for i in range(400):
        h.arrive(f"r{i}", estimate=50 * MS)
        if h.sends(f"r{i}"):
            sent.append((h.now, 50 * MS))
            h.end(f"r{i}", api.Result.SERVED, latency=50 * MS)
        h.now += 10 * MS
    assert len(sent) > 5
    for t, _ in sent:
        within = sum(w for s, w in sent if t - rules.fall < s <= t)
        assert within <= rules.cold_from * budget  # however late its ramp
        assert (
            within * 2
            <= (rules.cold_from + (1 - rules.cold_from) * (t - 99 * S) / rules.cold) * budget
        )


def test_a_restart_is_seen_by_its_start_time() -> None:
    h = Harness(make_settings(), entry(1))
    h.do(api.ListNews(api.ListKind.CHANGES, (entry(1, started=h.now - S),)))
    h.arrive("large", estimate=20 * S, patience=99 * S)
    assert not h.sends("large")
    h.now += 10 * S
    h.arrive("later", estimate=20 * S, patience=99 * S)
    assert h.sends("later")


# 5. Order is kept.


def ordered() -> Harness:
    return Harness(
        make_settings(query_class(in_order=True, effect=api.Effect.KEYED, window=9 * S)),
        entry(1),
        entry(2),
    )


def test_one_at_a_time_in_the_order_taken() -> None:
    h = ordered()
    for name in ("a", "b", "c"):
        h.arrive(name, key="k")
    h.arrive("other", key="k2")
    assert h.sends("a") and h.sends("other") and not h.sends("b") and not h.sends("c")
    h.end("a", api.Result.SERVED)
    assert h.sends("b") and not h.sends("c")


@pytest.mark.parametrize("result", [api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED])
def test_departed_request_holds_its_key_until_outcome_and_rest(result: api.Result) -> None:
    h = ordered()
    h.arrive("a", key="k")
    h.arrive("b", key="k")
    h.do(api.Departure("a"))
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
    h.do(api.Departure("a"))
    h.end("a", api.Result.CANCELLED, finished=True)
    h.arrive("b", key="k")
    assert not h.sends("b")
    h.pass_time(300 * MS)
    assert h.sends("b")


# 6. Placement is kept.


def test_placement_at_every_attempt() -> None:
    bound = query_class("bound", only_kinds=("big",))
    h = Harness(make_settings(query_class(), bound), entry(1, kind="big"), entry(2))
    h.arrive("r", "bound")
    assert [s.engine for s in h.sends("r")] == [1]
    h.end("r", api.Result.CONNECT_FAILED)
    assert all(s.engine == 1 for s in h.sends("r"))
    h.do(api.ListNews(api.ListKind.CHANGES, (entry(1, kind="big", state=api.EngineState.GONE),)))
    h.arrive("homeless", "bound")
    assert not h.sends("homeless") and h.answers("homeless")


def test_the_budget_of_a_cold_engine_follows_its_warming() -> None:
    """Danger: a release leaves engines half warm and idle while every request is refused; but no
    window may hold more than a third of the contract of what it can do, however late the ramp
    is.
    """
    taken = []
    for age in (0, 5 * S, 9 * S):
        h = Harness(make_settings(fleet_size=2), entry(1, started=100 * S - age))
        engine, rules = h.controller.engines[1], h.controller.contract
        for i in range(2_000):
            h.arrive(f"r{i}", estimate=10 * MS)
            h.end(f"r{i}", api.Result.SERVED, latency=10 * MS) if h.sends(f"r{i}") else None
        taken.append(engine.cold_sends.at(h.now))
        assert 2 * taken[-1] <= rules.fall_multiple * engine.cores * rules.fall / 3
    assert taken[0] < taken[1] < taken[2] and taken[2] > 2 * taken[0]


# 7. Further attempts stay within their budget.


def test_attempt_budget_over_its_span() -> None:
    settings = make_settings()
    contract = dataclasses.replace(
        settings.contract, budget_window=2 * S, budget_free=1.0, budget_share=0.25
    )
    h = Harness(dataclasses.replace(settings, contract=contract), *(entry(i) for i in range(12)))
    for i in range(8):
        h.arrive(f"r{i}", estimate=10 * MS)
        h.end(f"r{i}", api.Result.ERROR)
    further = sum(len(h.sends(f"r{i}")) - 1 for i in range(8))
    assert 0 < further <= 3
    h.now += 3 * S
    h.arrive("late", estimate=10 * MS)
    h.end("late", api.Result.ERROR)
    assert len(h.sends("late")) == 2


# Settings


@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("classes", dict(classes=())),
        ("fleet_size", dict(fleet_size=0)),
        ("tick", dict(tick=0)),
        ("kind_cores", dict(kind_cores=(("box", 0),))),
    ],
)
def test_impossible_settings_name_their_key(key: str, change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=key):
        dataclasses.replace(make_settings(), **change)  # type: ignore[arg-type]


def test_impossible_class() -> None:
    with pytest.raises(ValueError, match="deadline"):
        query_class(deadline=0)


@pytest.mark.parametrize("estimate", [None, 0, -7])
def test_no_estimate_is_the_class_mean(estimate: int | None) -> None:
    h = Harness(make_settings(kind_cores=()), entry(1))
    h.arrive("r", estimate=estimate)
    assert h.sends("r") and h.backlog() > 0


def test_a_long_key_queue_is_refused_without_deep_recursion() -> None:
    """Danger: hundreds held behind one key, then no engine left: each refusal asks for the next."""
    h = Harness(make_settings(query_class(in_order=True, aim=60 * S, deadline=90 * S)), entry(1))
    for i in range(600):
        h.arrive(f"r{i}", key="k", estimate=MS, patience=80 * S)
    h.do(api.ListNews(api.ListKind.CHANGES, (entry(1, state=api.EngineState.DRAINING),)))
    h.end("r0", api.Result.SERVED)
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
    assert not h.controller._may_send(h.now, second, engine)
    h.end("a", api.Result.SERVED)
    assert len(h.sends("b")) == 1
