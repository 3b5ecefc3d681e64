"""Shared limits and verdicts: leases, counters, evidence, words. No sockets, no clock but the
test's.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.emulator.quota_simulation import BEGIN, ShareWorld, audit, trouble
from query_broker.operator_config.script import OperatorFileError, run
from query_broker.outlier_consensus.observations import (
    Engine,
    Evidence,
    Kind,
    Report,
    Reports,
    Seen,
)
from query_broker.outlier_consensus.overrides import Word, Wordbook
from query_broker.outlier_consensus.settings import VerdictTerms
from query_broker.quotas import leases as lease_module
from query_broker.quotas.counters import Counters
from query_broker.quotas.fair_allocation import Forecast, water_level
from query_broker.quotas.leases import Leases, home_of
from query_broker.quotas.messages import Row, Rows
from query_broker.quotas.settings import (
    LimitTerms,
    SharesTerms,
    held_for,
    lines,
    overshoot,
    owed_for,
)

from .shares_model import Broken, explore, replay

S = 1_000_000_000
TERMS = SharesTerms(limits=(LimitTerms("a", rate=100.0), LimitTerms("f", "further", 50.0)))
LIMITS = {"a": 100.0, "b": 50.0}


# --- what is fair ---


@given(st.lists(st.floats(0, 100), min_size=1, max_size=20), st.floats(0, 500))
def test_nobody_gets_more_than_it_wants_nor_less_than_one_that_gets_more(
    wants: list[float], whole: float
) -> None:
    given_ = water_level({str(i): w for i, w in enumerate(wants)}, whole)
    assert sum(given_.values()) <= whole + 1e-6
    assert sum(given_.values()) == pytest.approx(min(whole, sum(wants)))
    top = max(given_.values())
    assert all(
        given_[str(i)] <= w + 1e-9 and (given_[str(i)] >= min(w, top) - 1e-6)
        for i, w in enumerate(wants)
    )


def test_a_forecast_rises_at_once_and_falls_slowly() -> None:
    forecast = Forecast()
    for asked in (0, 0, 100):
        forecast.second(asked)
    assert forecast.need() >= 125
    forecast.second(0)
    assert 0 < forecast.need() < 100


# --- leases ---


def world(count: int = 10, seed: int = 1, **more: Any) -> ShareWorld:
    made = ShareWorld(count, TERMS, LIMITS, seed, 0.01, **more)
    for broker in made.brokers:
        broker.leases.want = {"a": [1.0, 10.0, 100.0][broker.number % 3], "b": 10.0}
    made.run(20)
    return made


def test_uneven_traffic_is_served_from_what_others_leave() -> None:
    made = world()
    assert made.valid("a") == pytest.approx(80, rel=0.02) and made.worst["a"] <= 1e-9
    hot = made.brokers[2].leases.amount("a", made.brokers[2].clock(made.now))
    assert hot > 1.8 * 80 / 10  # one of three that want a hundred, where division gives a tenth
    for broker in made.brokers:
        broker.leases.want["a"] = 300.0 * (broker.number == 4)
    made.run(10)
    last = made.brokers[4].leases.amount("a", made.brokers[4].clock(made.now))
    assert last > 0.95 * 80


@pytest.mark.parametrize("seed", range(24))
def test_no_trouble_lends_a_token_twice_or_makes_two_homes(seed: int) -> None:
    """Kills, restarts and pauses of holders and homes, cuts in one way and both, losses, late
    messages, clocks that differ by all that is stated, views that lag by up to ten seconds.
    """
    made = ShareWorld(
        10,
        TERMS,
        LIMITS,
        seed,
        0.01,
        random.Random(seed).choice([0.0, 0.1, 0.3]),
        view_delay=random.Random(seed).choice([S // 2, 4 * S, 10 * S]),
    )
    trouble(made, seed, 50)
    made.run(60)
    assert max(made.worst.values()) <= 1e-6


@pytest.mark.parametrize(
    ("fault", "count"), [("no wait for the last home's leases", 12), ("one promise is enough", 8)]
)
def test_the_auditor_finds_what_is_wrong(
    fault: str, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A check that can't fail is none."""
    if fault == "one promise is enough":
        monkeypatch.setattr(
            Leases,
            "authority",
            lambda self, shard, now: shard in self.homes
            and any(until > now for until in self.homes[shard].promises.values()),
        )
    else:
        monkeypatch.setattr(lease_module, "owed_for", lambda span, drift: 0)
    found = 0
    for seed in range(count):
        made = ShareWorld(10, TERMS, LIMITS, seed, 0.01, 0.1)
        trouble(made, seed, 50)
        try:
            made.run(60)
        except AssertionError:
            found += 1
        else:
            found += max(made.worst.values()) > 1e-6
    assert found


@pytest.mark.parametrize(
    "name", ["home dies", "home sleeps", "half", "nine to one", "two hundred ask"]
)
def test_a_limit_through_what_breaks_it(name: str) -> None:
    made = world(200 if name == "two hundred ask" else 10)
    home = made.home("a")
    assert home is not None
    if name == "home dies":
        made.kill([home.number])
    if name == "home sleeps":
        made.pause(home.number, 12)
    if name in ("half", "nine to one"):
        small = range(5) if name == "half" else range(1)
        until = made.now + 20 * S
        made.cut = lambda now, a, b: now < until and (a in small) != (b in small)
        made.run(18)
        sides = [
            sum(
                b.leases.amount("a", b.clock(made.now))
                for b in made.brokers
                if (b.number in small) is side
            )
            for side in (True, False)
        ]
        assert sides[0] < 1e-9  # the small side, or the first half, falls to its floor
        assert sides[1] < 1e-9 if name == "half" else sides[1] > 70
    made.run(10 if name == "two hundred ask" else 40)
    assert max(made.worst.values()) <= 1e-6 and made.valid("a") > 60


def test_a_holder_that_sleeps_past_its_lease_wakes_to_none() -> None:
    made = world()
    holder = max(made.brokers, key=lambda b: b.leases.amount("a", b.clock(made.now)))
    assert holder.leases.amount("a", holder.clock(made.now)) > 10
    later = holder.clock(made.now + TERMS.lease)
    assert holder.leases.amount("a", later) == 0.0  # by its own clock, before any timer or message


def test_a_limit_that_is_halved_is_kept_once_leases_have_ended() -> None:
    made = world()
    for broker in made.brokers:
        broker.leases.limits["a"] = 40.0
    made.run(TERMS.lease / S + 2)
    assert made.valid("a") <= 40 + 1e-6


def test_more_brokers_than_the_file_says_lease_nothing() -> None:
    made = ShareWorld(10, TERMS, LIMITS, 1)
    for broker in made.brokers:
        broker.leases.fleet = 4
        broker.leases.want = {"a": 50.0}
    made.run(30)
    assert made.valid("a") == 0 and made.worst["a"] <= 0


def test_a_holder_counts_shorter_than_a_home_whatever_their_clocks_within_the_drift() -> None:
    for drift in (0.001, 0.01, 0.1):
        held, owed = held_for(4 * S, drift), owed_for(4 * S, drift)
        assert held / (1 - drift) <= 4 * S / (1 + drift) + 1
        assert owed / (1 + drift) >= 4 * S / (1 - drift) - 1
    assert (
        overshoot(TERMS, TERMS.limits[0], 100, 10)
        == 0
        < overshoot(TERMS, TERMS.limits[0], 100, 10, 0.05)
    )


def test_a_home_moves_only_with_its_own_member() -> None:
    members = tuple(f"b{i}" for i in range(20))
    before = {s: home_of(s, members) for s in range(8)}
    after = {s: home_of(s, tuple(m for m in members if m != before[0])) for s in range(8)}
    assert all(after[s] == before[s] or before[s] == before[0] for s in before)


def test_all_orders_of_three_brokers_keep_two_tokens() -> None:
    assert explore(3) > 1_000


def test_the_model_finds_leases_that_are_wrong(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        Leases,
        "amount",
        lambda self, limit, now: (
            # the holder does not look at its clock
            self.held[limit].amount if limit in self.held else 0.0
        ),
    )
    with pytest.raises(Broken, match="replay") as found:
        explore(3)
    schedule = eval(str(found.value).split("replay(", 1)[1][:-1])
    with pytest.raises(Broken):
        replay(schedule)


def test_the_record_of_real_processes_is_added_up_by_time() -> None:
    one = [(0, "a", 5.0, 100), (50, "a", 2.0, 90), (95, "a", 4.0, 200)]
    other = [(60, "a", 3.0, 80), (10, "b", 100.0, 500)]
    assert audit([one, other], "a") == 5.0 and audit([one, [(40, "a", 3.0, 80)]], "a") == 8.0


# --- counters ---


def test_rows_merge_in_any_order_and_what_is_old_counts_as_even() -> None:
    names = [f"m{i}" for i in range(4)]
    draw = random.Random(3)
    mine = Counters("m0", S, draw.random)
    rows = [Row(n, v, 0, (("f", float(10 * v)),)) for n in names[1:] for v in (1, 2, 3)]
    draw.shuffle(rows)
    for row in [*rows, *rows]:
        mine.receive(BEGIN, Rows((row,)), names)
    assert {k.row.version for k in mine.rows.values()} == {3}
    # 90 are used: our even part is ours still
    assert mine.may(BEGIN, "f", 100.0, 4, names) == (25.0, 0)
    mine.receive(BEGIN, Rows(tuple(Row(n, 4, 0, (("f", 5.0),)) for n in names[1:])), names)
    mine.round(BEGIN, {"f": 40.0}, names)
    # twice what we used, of what others leave
    assert mine.may(BEGIN, "f", 100.0, 4, names)[0] == 80.0
    assert mine.may(BEGIN + 4 * S, "f", 100.0, 4, names)[0] == 25.0  # nobody has been heard
    mine.receive(BEGIN, Rows((Row("stranger", 1, 0, (("f", 0.0),)), Row("m1", 9, -5, ()))), names)
    assert "stranger" not in mine.rows and mine.rows["m1"].row.version == 4


# --- evidence ---

TERMS_V = VerdictTerms(observers=3, failures=2)
BAD = Engine("e1", 5)


def row(
    who: str,
    zone: str,
    bad: int,
    good: int,
    bad_ago: int = 100,
    good_ago: int = -1,
    version: int = 1,
) -> Report:
    return Report(who, zone, version, 0, (Seen(BAD, bad, good, bad_ago, good_ago),))


NAMES = [f"{z}{i}" for z in "xy" for i in range(5)]
LIST = {Engine(f"e{i}", 5): "x" if i < 5 else "y" for i in range(10)}


@pytest.mark.parametrize(
    ("rows", "zone", "kind"),
    [
        ([("x0", 3, 0), ("x1", 3, 0), ("y1", 2, 0)], "x", Kind.BAD),
        ([("x0", 3, 0), ("x1", 3, 0)], "x", None),  # two of three
        ([("x0", 1, 0), ("x1", 1, 0), ("x2", 1, 0)], "x", None),  # once each
        ([("x0", 3, 0), ("x1", 3, 0), ("x2", 3, 0), ("y0", 0, 5), ("y1", 0, 5)], "x", Kind.ZONE),
        ([("x0", 3, 0), ("x1", 3, 0), ("x2", 3, 0), ("y0", 0, 5), ("y1", 0, 5)], "y", None),
        # some here reach it
        ([("x0", 3, 0), ("x1", 3, 0), ("x2", 3, 0), ("x3", 0, 5), ("x4", 0, 5)], "x", None),
        ([("z9", 3, 0), ("z8", 3, 0), ("z7", 3, 0)], "x", None),
    ],
)  # none of them is a member
def test_a_verdict_needs_distinct_observers_and_tells_bad_from_out_of_reach(
    rows: list[tuple[str, int, int]], zone: str, kind: Kind | None
) -> None:
    evidence = Evidence("y4", zone, TERMS_V)
    evidence.receive(
        BEGIN,
        Reports(tuple(row(w, w[0], b, g, 100 if b else -1, 50 if g else -1) for w, b, g in rows)),
        NAMES,
    )
    begun, _ = evidence.judge(BEGIN, NAMES, LIST)
    assert [v.kind for v in begun] == ([kind] if kind is not None else [])


def test_one_that_says_that_all_are_bad_holds_out_nothing() -> None:
    evidence = Evidence("y4", "y", TERMS_V)
    for version in range(1, 50):
        evidence.receive(
            BEGIN,
            Reports((Report("x0", "x", version, 0, tuple(Seen(e, 9, 0, 10, -1) for e in LIST)),)),
            NAMES,
        )
    assert evidence.judge(BEGIN, NAMES, LIST) == ([], [])


def test_of_a_zone_no_more_than_the_part_is_held_out_and_a_reborn_engine_begins_clean() -> None:
    evidence = Evidence("y4", "y", TERMS_V)
    for who in ("x0", "x1", "y0"):
        evidence.receive(
            BEGIN,
            Reports((Report(who, who[0], 1, 0, tuple(Seen(e, 3, 0, 100, -1) for e in LIST)),)),
            NAMES,
        )
    begun, _ = evidence.judge(BEGIN, NAMES, LIST)
    assert sorted(LIST[v.engine] for v in begun) == ["x", "y"]  # 0.3 of five: one of each zone
    reborn = {Engine(e.uid, 9): z for e, z in LIST.items()}
    assert evidence.judge(BEGIN + S, NAMES, reborn)[1] == [v.engine for v in begun]
    assert not evidence.verdicts


def test_it_is_undone_by_fewer_and_fresher_proofs_and_lasts_longer_with_each_relapse() -> None:
    evidence, now, version, holds = (
        Evidence("y4", "y", replace(TERMS_V, age=60 * S)),
        BEGIN,
        0,
        list[int](),
    )
    for _ in range(3):
        version += 1
        evidence.receive(
            now,
            Reports(tuple(row(w, "x", 3, 0, 100, version=version) for w in ("x0", "x1", "x2"))),
            NAMES,
        )
        (verdict,), _ = evidence.judge(now, NAMES, LIST)
        holds.append(verdict.until - verdict.since)
        now, version = verdict.until + S, version + 1
        one = row("x0", "x", 3, 4, 5_000, 10, version=version)
        evidence.receive(now, Reports((one,)), NAMES)
        assert evidence.judge(now, NAMES, LIST)[1] == []  # one of two
        evidence.receive(now, Reports((row("x1", "x", 3, 4, 5_000, 10, version=version),)), NAMES)
        assert evidence.judge(now, NAMES, LIST)[1] == [BAD]
        now += 65 * S  # what was seen is too old by now
    assert holds == [5 * S, 10 * S, 20 * S]


# --- words ---


def test_words_come_to_the_same_in_any_order_and_the_loser_is_kept() -> None:
    """Two operators, on both sides of a cut, and one who heard the first."""
    one, other = Wordbook("h1"), Wordbook("h2")
    first, second = one.say("e1", "back", 3), other.say("e1", "out", 3)
    third = Wordbook("h3")
    third.hear([first], 3)
    later = third.say("e2", "pinned", 3)
    books = []
    for seed in range(6):
        book, words = Wordbook("h9"), [first, second, later, first]
        random.Random(seed).shuffle(words)
        for word in words:
            book.hear([word], 3)
        books.append(book)
    assert {b.digest() for b in books} == {books[0].digest()}
    # of equals, out
    assert books[0].words["e1"] == second and all(b.lost["e1"] == first for b in books)
    one.hear([second], 3)
    assert one.lost["e1"] == first and one.say("e1", "back", 3).version == 2
    other.hear(one.words.values(), 3)
    assert other.words["e1"].value == "back" and "e1" not in other.lost  # it had heard: no conflict


def test_news_is_told_a_bounded_number_of_times_and_bad_words_are_none() -> None:
    book = Wordbook("h1")
    book.say("e1", "out", 3)
    assert [len(book.told(8)) for _ in range(5)] == [1, 1, 1, 0, 0]
    assert book.hear([Word("e2", "burn", 1, "x"), Word("e3", "out", 0, "x")], 3) == []


# --- the operators' words ---

MEMBERS = 'members(address = "127.0.0.1:1", key_file = "/k", installation = "x")\n'


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('limit("a")', "limit"),
        ("verdicts()", "verdicts"),
        (MEMBERS + 'limit("a")\nlimit("a")', "limit.name"),
        (MEMBERS + 'limit("a", kind = "odd")', "limit.kind"),
        (MEMBERS + 'limit("f", kind = "further")', "limit.rate"),
        (MEMBERS + 'limit("w", kind = "work", rate = 1)', "limit.rate"),
        (MEMBERS + "limits(drift = 0)", "limits.drift"),
        (MEMBERS + "limits(lease = 0)", "limits.lease"),
        (MEMBERS + "limits(guaranteed = 0)", "limits.guaranteed"),
        (MEMBERS + "verdicts(observers = 1)", "verdicts.observers"),
        (MEMBERS + "verdicts(part = 2)", "verdicts.part"),
    ],
)
def test_a_bad_word_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError) as fault:
        run("ops.star", text, lambda: False)
    assert f": {key}: " in str(fault.value)


def test_bounds_are_told_by_limit() -> None:
    told = "\n".join(lines(TERMS, 24))
    assert "0 while clocks differ by less than 1.0%" in told and "0.96 of it, once" in told
