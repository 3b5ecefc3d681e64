"""Engines that answer nothing, are out of reach, or ran past what is plausible."""

from __future__ import annotations

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def two_engines() -> Harness:
    return Harness(make_settings(query_class(deadline_ns=60 * S)), entry(1), entry(2))


def drive(harness: Harness, count: int, silent: int, prefix: str = "r") -> list[int]:
    """Send queries 50 ms apart; only the engine that is not silent answers. Returns where they
    went.
    """
    went = []
    for index in range(count):
        name = f"{prefix}{index}"
        harness.arrive(name, estimate_ns=40 * MS, patience=60 * S)
        for send in harness.sends(name):
            went.append(send.endpoint)
            if send.endpoint != silent:
                harness.end(name, api.AttemptResult.SERVED, latency=40 * MS)
        harness.pass_time(50 * MS)
    return went


def test_silent_engine_gets_single_trials_only() -> None:
    """Prevents: an engine takes work and answers nothing; without a judgement half of all work
    goes there.
    """
    harness = two_engines()
    drive(harness, 20, silent=1)
    later = drive(harness, 100, silent=1, prefix="s")
    assert harness.controller.endpoints[1].ejected
    assert later.count(1) <= 5


def test_one_answer_is_the_way_back() -> None:
    harness = two_engines()
    went = drive(harness, 40, silent=1)
    assert harness.controller.endpoints[1].ejected
    harness.end(f"r{went.index(1)}", api.AttemptResult.SERVED, latency=2 * S)
    assert not harness.controller.endpoints[1].ejected


def test_never_judge_all_engines_unfit() -> None:
    harness = two_engines()
    for engine in harness.controller.endpoints.values():
        engine.ejected = True
        engine.next_trial_ns = harness.now + 99 * S
    harness.arrive("r", estimate_ns=MS)
    assert harness.sends("r")


def test_refused_connection_is_a_quick_sign() -> None:
    harness = two_engines()
    harness.arrive("r", estimate_ns=40 * MS)
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    first, second = (s.endpoint for s in harness.sends("r"))
    assert first != second
    assert harness.controller.endpoints[first].ejected


def test_one_reset_excludes_no_engine_a_second_soon_after_does() -> None:
    """Prevents: connections are reset for many reasons; each would cost the pool an engine for
    a second.
    """
    harness = Harness(make_settings(), entry(1))
    harness.arrive("a", estimate_ns=40 * MS)
    harness.arrive("b", estimate_ns=40 * MS)
    harness.end("a", api.AttemptResult.RESET, attempt=0)
    assert not harness.controller.endpoints[1].ejected
    harness.end("b", api.AttemptResult.RESET, attempt=0)
    assert harness.controller.endpoints[1].ejected


def test_errors_weigh_in_the_draw_and_hold_no_engine_out() -> None:
    """Prevents: an engine that fails fast looks idle and draws nearly all; held out, its good
    half is lost.
    """
    harness = two_engines()
    bad = harness.controller.endpoints[1]
    for index in range(200):
        harness.arrive(f"r{index}", estimate_ns=40 * MS)
        errs = harness.sends(f"r{index}")[-1].endpoint == 1 and index % 3 > 0
        harness.end(f"r{index}", api.AttemptResult.ERROR if errs else api.AttemptResult.SERVED)
        if errs:
            assert [s.endpoint for s in harness.sends(f"r{index}")] == [
                1,
                2,
            ]  # never again where it erred
            harness.end(f"r{index}", api.AttemptResult.SERVED)
    first = [harness.sends(f"r{index}")[0].endpoint for index in range(100, 200)].count(1)
    assert 0 < first < 25
    assert bad.error_rate > 0.3
    assert not bad.ejected


def test_what_no_engine_can_read_makes_none_look_worse_than_the_others() -> None:
    """Prevents: what a client sends and no engine can read would make every engine look as if
    it failed.
    """
    harness = two_engines()
    for index in range(20):
        harness.arrive(f"bad{index}", estimate_ns=40 * MS)
        while not harness.answers(f"bad{index}"):
            harness.end(f"bad{index}", api.AttemptResult.ERROR)
        assert len(harness.sends(f"bad{index}")) == 2  # a second error ends it
    one, other = harness.controller.endpoints.values()
    assert one.failure_rate == other.failure_rate == 0.0
    assert abs(one.error_rate - other.error_rate) < 1e-9


def test_unsafe_work_keeps_away_from_an_engine_that_errs() -> None:
    """Prevents: an error there may have run: it is lost, where safe work goes on elsewhere."""
    load = query_class("load", effect=api.Effect.NON_IDEMPOTENT)
    harness = Harness(make_settings(query_class(), load), entry(1), entry(2))
    harness.controller.endpoints[1].error_rate = 0.5
    went: dict[str, int] = {}
    for name in ("short", "load"):
        for index in range(300):
            harness.arrive(f"{name}{index}", name, estimate_ns=10 * MS)
            went[name] = went.get(name, 0) + (harness.sends(f"{name}{index}")[0].endpoint == 1)
            harness.end(f"{name}{index}", api.AttemptResult.CANCELLED, finished=True)
    assert went["load"] < went["short"] / 3


def test_what_is_refused_at_once_moves_no_mean_and_is_not_kept() -> None:
    """Prevents: a client's figure of 10^7 ms moved the mean work, and with it every bound:
    engines jammed.
    """
    harness = two_engines()
    before = (
        harness.controller.selector.capacity.mean_work_ns,
        harness.controller.selector.capacity.mean_priority_weight,
        len(harness.controller.orders.timers),
    )
    for index in range(50):
        harness.arrive(f"r{index}", estimate_ns=10_000 * S)
        assert isinstance(harness.answers(f"r{index}")[0], api.Reject)
    assert (
        harness.controller.selector.capacity.mean_work_ns,
        harness.controller.selector.capacity.mean_priority_weight,
        len(harness.controller.orders.timers),
    ) == before
    assert not harness.controller.requests


def test_books_of_data_sets_are_bounded() -> None:
    load = query_class(is_load=True, deadline_ns=60 * S)
    harness = Harness(
        make_settings(load, query_class("reader", blocked_by_loads=True)), entry(1), entry(2)
    )
    for index in range(3_000):
        harness.arrive(f"r{index}", estimate_ns=MS, data_set=index)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=MS)
    assert len(harness.controller.affinity.ranks) <= 1_001
    assert not harness.controller.affinity.loads_in_flight


def test_unsafe_work_is_no_trial() -> None:
    harness = Harness(
        make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1), entry(2)
    )
    harness.controller.endpoints[1].ejected = True
    for index in range(20):
        harness.arrive(f"r{index}", estimate_ns=MS)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=MS)
    assert all(harness.sends(f"r{index}")[0].endpoint == 2 for index in range(20))


def test_a_note_is_a_sign_of_life() -> None:
    harness = Harness(make_settings(), entry(1))
    harness.arrive("r", estimate_ns=2 * S)
    harness.now += 2 * S
    assert harness.do(api.AttemptProgress("r", 0, 1, api.ProgressKind.PROGRESS, 0.1)) == []
    assert harness.controller.endpoints[1].last_activity_ns == harness.now


def test_no_cancel_where_it_is_not_heeded() -> None:
    limits = api.Limits(cancellation=False, max_attempts=4)
    harness = Harness(make_settings(limits=limits), entry(1), entry(2))
    harness.arrive("r", estimate_ns=2 * S)
    harness.now += S
    harness.do(
        api.AttemptProgress("r", 0, harness.sends("r")[0].endpoint, api.ProgressKind.PROGRESS, 0.1)
    )
    harness.pass_time(9 * S)
    assert not [a for _, a in harness.log if isinstance(a, api.CancelAttempt)]


def test_key_queue_longer_than_the_aim_is_refused_at_once() -> None:
    """Prevents: a hot key's queue makes all of it late and sends the last with no time left."""
    harness = Harness(make_settings(query_class(ordered_by_key=True, deadline_ns=60 * S)), entry(1))
    for index in range(6):
        harness.arrive(f"r{index}", key="k", estimate_ns=200 * MS, patience=60 * S)
    assert harness.sends("r0")
    assert not harness.answers("r1")
    assert isinstance(harness.answers("r5")[0], api.Reject)


def test_full_engine_with_nothing_of_ours_is_tried_once_a_second() -> None:
    """Prevents: it admits, turns away and is asked again without end, which feeds the jam."""
    harness = Harness(make_settings(), entry(1))
    for index in range(50):
        harness.arrive(f"r{index}", estimate_ns=MS)
        for _ in harness.sends(f"r{index}"):
            harness.end(f"r{index}", api.AttemptResult.FULL)
        harness.pass_time(20 * MS)
    assert 1 <= sum(len(harness.sends(f"r{index}")) for index in range(50)) <= 2
    assert all(len(harness.answers(f"r{index}")) == 1 for index in range(50))
