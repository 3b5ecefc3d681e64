"""Engines that answer nothing, are out of reach, or ran past what is plausible."""

from __future__ import annotations

from query_broker import decisions as api

from .helpers import MS, Harness, S, entry, make_settings, query_class


def two_engines() -> Harness:
    return Harness(make_settings(query_class(deadline_ns=60 * S)), entry(1), entry(2))


def drive(h: Harness, count: int, silent: int, prefix: str = "r") -> list[int]:
    """Send queries 50 ms apart; only the engine that is not silent answers. Returns where they
    went.
    """
    went = []
    for i in range(count):
        name = f"{prefix}{i}"
        h.arrive(name, estimate_ns=40 * MS, patience=60 * S)
        for send in h.sends(name):
            went.append(send.endpoint)
            if send.endpoint != silent:
                h.end(name, api.AttemptResult.SERVED, latency=40 * MS)
        h.pass_time(50 * MS)
    return went


def test_silent_engine_gets_single_trials_only() -> None:
    """Danger: an engine takes work and answers nothing; without a judgement half of all work goes
    there.
    """
    h = two_engines()
    drive(h, 20, silent=1)
    later = drive(h, 100, silent=1, prefix="s")
    assert h.controller.engines[1].suspect
    assert later.count(1) <= 5


def test_one_answer_is_the_way_back() -> None:
    h = two_engines()
    went = drive(h, 40, silent=1)
    assert h.controller.engines[1].suspect
    h.end(f"r{went.index(1)}", api.AttemptResult.SERVED, latency=2 * S)
    assert not h.controller.engines[1].suspect


def test_never_judge_all_engines_unfit() -> None:
    h = two_engines()
    for engine in h.controller.engines.values():
        engine.suspect, engine.next_trial = True, h.now + 99 * S
    h.arrive("r", estimate_ns=MS)
    assert h.sends("r")


def test_refused_connection_is_a_quick_sign() -> None:
    h = two_engines()
    h.arrive("r", estimate_ns=40 * MS)
    h.end("r", api.AttemptResult.CONNECT_FAILED)
    first, second = (s.endpoint for s in h.sends("r"))
    assert first != second and h.controller.engines[first].suspect


def test_one_reset_excludes_no_engine_a_second_soon_after_does() -> None:
    """Danger: connections are reset for many reasons; each would cost the pool an engine for a
    second.
    """
    h = Harness(make_settings(), entry(1))
    h.arrive("a", estimate_ns=40 * MS)
    h.arrive("b", estimate_ns=40 * MS)
    h.end("a", api.AttemptResult.RESET, attempt=0)
    assert not h.controller.engines[1].suspect
    h.end("b", api.AttemptResult.RESET, attempt=0)
    assert h.controller.engines[1].suspect


def test_errors_weigh_in_the_draw_and_hold_no_engine_out() -> None:
    """Danger: an engine that fails fast looks idle and draws nearly all; held out, its good half is
    lost.
    """
    h = two_engines()
    bad = h.controller.engines[1]
    for i in range(200):
        h.arrive(f"r{i}", estimate_ns=40 * MS)
        errs = h.sends(f"r{i}")[-1].endpoint == 1 and i % 3 > 0
        h.end(f"r{i}", api.AttemptResult.ERROR if errs else api.AttemptResult.SERVED)
        if errs:
            assert [s.endpoint for s in h.sends(f"r{i}")] == [1, 2]  # never again where it erred
            h.end(f"r{i}", api.AttemptResult.SERVED)
    first = [h.sends(f"r{i}")[0].endpoint for i in range(100, 200)].count(1)
    assert 0 < first < 25 and bad.error_rate > 0.3 and not bad.suspect


def test_what_no_engine_can_read_makes_none_look_worse_than_the_others() -> None:
    """Danger: what a client sends and no engine can read would make every engine look as if it
    failed.
    """
    h = two_engines()
    for i in range(20):
        h.arrive(f"bad{i}", estimate_ns=40 * MS)
        while not h.answers(f"bad{i}"):
            h.end(f"bad{i}", api.AttemptResult.ERROR)
        assert len(h.sends(f"bad{i}")) == 2  # a second error ends it
    one, other = h.controller.engines.values()
    assert one.failures == other.failures == 0.0 and abs(one.error_rate - other.error_rate) < 1e-9


def test_unsafe_work_keeps_away_from_an_engine_that_errs() -> None:
    """Danger: an error there may have run: it is lost, where safe work goes on elsewhere."""
    load = query_class("load", effect=api.Effect.NON_IDEMPOTENT)
    h = Harness(make_settings(query_class(), load), entry(1), entry(2))
    h.controller.engines[1].error_rate = 0.5
    went: dict[str, int] = {}
    for name in ("short", "load"):
        for i in range(300):
            h.arrive(f"{name}{i}", name, estimate_ns=10 * MS)
            went[name] = went.get(name, 0) + (h.sends(f"{name}{i}")[0].endpoint == 1)
            h.end(f"{name}{i}", api.AttemptResult.CANCELLED, finished=True)
    assert went["load"] < went["short"] / 3


def test_what_is_refused_at_once_moves_no_mean_and_is_not_kept() -> None:
    """Danger: a client's figure of 10^7 ms moved the mean work, and with it every bound: engines
    jammed.
    """
    h = two_engines()
    before = (
        h.controller.selector.capacity.mean_work_ns,
        h.controller.selector.capacity.mean_priority_weight,
        len(h.controller.orders.timers),
    )
    for i in range(50):
        h.arrive(f"r{i}", estimate_ns=10_000 * S)
        assert isinstance(h.answers(f"r{i}")[0], api.Reject)
    assert (
        h.controller.selector.capacity.mean_work_ns,
        h.controller.selector.capacity.mean_priority_weight,
        len(h.controller.orders.timers),
    ) == before
    assert not h.controller.requests


def test_books_of_data_sets_are_bounded() -> None:
    load = query_class(is_load=True, deadline_ns=60 * S)
    h = Harness(
        make_settings(load, query_class("reader", blocked_by_loads=True)), entry(1), entry(2)
    )
    for i in range(3_000):
        h.arrive(f"r{i}", estimate_ns=MS, data_set=i)
        h.end(f"r{i}", api.AttemptResult.SERVED, latency=MS)
    assert len(h.controller.affinity.ranks) <= 1_001 and not h.controller.affinity.loads_in_flight


def test_unsafe_work_is_no_trial() -> None:
    h = Harness(make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1), entry(2))
    h.controller.engines[1].suspect = True
    for i in range(20):
        h.arrive(f"r{i}", estimate_ns=MS)
        h.end(f"r{i}", api.AttemptResult.SERVED, latency=MS)
    assert all(h.sends(f"r{i}")[0].endpoint == 2 for i in range(20))


def test_a_note_is_a_sign_of_life() -> None:
    h = Harness(make_settings(), entry(1))
    h.arrive("r", estimate_ns=2 * S)
    h.now += 2 * S
    assert h.do(api.AttemptProgress("r", 0, 1, api.ProgressKind.PROGRESS, 0.1)) == []
    assert h.controller.engines[1].last_activity_ns == h.now


def test_no_cancel_where_it_is_not_heeded() -> None:
    limits = api.Limits(cancellation=False, max_attempts=4)
    h = Harness(make_settings(limits=limits), entry(1), entry(2))
    h.arrive("r", estimate_ns=2 * S)
    h.now += S
    h.do(api.AttemptProgress("r", 0, h.sends("r")[0].endpoint, api.ProgressKind.PROGRESS, 0.1))
    h.pass_time(9 * S)
    assert not [a for _, a in h.log if isinstance(a, api.CancelAttempt)]


def test_key_queue_longer_than_the_aim_is_refused_at_once() -> None:
    """Danger: a hot key's queue makes all of it late and sends the last with no time left."""
    h = Harness(make_settings(query_class(ordered_by_key=True, deadline_ns=60 * S)), entry(1))
    for i in range(6):
        h.arrive(f"r{i}", key="k", estimate_ns=200 * MS, patience=60 * S)
    assert h.sends("r0") and not h.answers("r1")
    assert isinstance(h.answers("r5")[0], api.Reject)


def test_full_engine_with_nothing_of_ours_is_tried_once_a_second() -> None:
    """Danger: it admits, turns away and is asked again without end, which feeds the jam."""
    h = Harness(make_settings(), entry(1))
    for i in range(50):
        h.arrive(f"r{i}", estimate_ns=MS)
        for _ in h.sends(f"r{i}"):
            h.end(f"r{i}", api.AttemptResult.FULL)
        h.pass_time(20 * MS)
    assert 1 <= sum(len(h.sends(f"r{i}")) for i in range(50)) <= 2
    assert all(len(h.answers(f"r{i}")) == 1 for i in range(50))
