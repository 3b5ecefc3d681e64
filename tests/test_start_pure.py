"""What a start decides: stages, paces, the ramp, the last list. No sockets, no clock but the
test's.
"""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest

from query_broker.operator_config.script import OperatorFileError, run_script
from query_broker.startup import endpoint_snapshot as lastlist
from query_broker.startup import pacing as paces
from query_broker.startup.admission_ramp import MOST, Ramp, assumed, pause
from query_broker.startup.bounds import lines
from query_broker.startup.endpoint_snapshot import BadList, LastList, decode, encode
from query_broker.startup.settings import StartupSettings
from query_broker.startup.stages import Source, Stage, Start

from .sockets import target_entry

S = 1_000_000_000
TERMS = StartupSettings()


# --- paces ---


def calls_in_any_window(times: list[int], span: int) -> int:
    ordered, first, most = sorted(times), 0, 0
    for i, at in enumerate(ordered):
        while ordered[first] <= at - span:
            first += 1
        most = max(most, i - first + 1)
    return most


@pytest.mark.parametrize("fleet", [1, 10, 300, 1_000])
@pytest.mark.parametrize(("part", "within"), [(1.0, 0), (0.5, S), (0.1, 30 * S)])
def test_first_calls_stay_under_the_rate_whoever_starts_and_when(
    fleet: int, part: float, within: int
) -> None:
    """Danger: 300 brokers that start at one moment call at one moment."""
    draw = random.Random(fleet)
    started = [me for me in range(fleet) if me == 0 or draw.random() < part]
    begun = [1_796_000_000 * S + int(draw.random() * within) for _ in started]
    calls = [
        paces.Calls(me, fleet, 50.0, draw.random).first(now)
        for me, now in zip(started, begun, strict=True)
    ]
    assert calls_in_any_window(calls, S) <= 52
    assert all(
        0 <= at - now <= paces.window(fleet, 50.0) for at, now in zip(calls, begun, strict=True)
    )


# the fleet is 300: a third, right, and three times
@pytest.mark.parametrize("told", [100, 300, 900])
def test_a_fleet_size_that_is_wrong_by_three_costs_three_times_at_the_most(told: int) -> None:
    draw = random.Random(told)
    calls = [paces.Calls(me, told, 50.0, draw.random).first(0) for me in range(300)]
    assert calls_in_any_window(calls, S) <= 52 * max(1, 300 // told)


def test_a_fleet_that_fails_together_stays_under_the_rate_and_asks_less_and_less() -> None:
    draw = random.Random(5)
    times: list[int] = []
    for me in range(300):
        calls = paces.Calls(me, 300, 50.0, draw.random)
        now = calls.first(int(draw.random() * S))
        while now < 120 * S:
            times.append(now)
            now = calls.again(now)
    assert calls_in_any_window(times, S) <= 52
    late = [t for t in times if t > 60 * S]
    assert len(late) / 60 < 30
    alone, now, waits = paces.Calls(0, 1, 50.0, draw.random), 0, []
    for _ in range(60):
        waits.append(alone.again(now) - now)
        now += waits[-1]
    assert max(waits) <= 6 * paces.LEAST_WINDOW  # one broker alone is back at once
    alone.succeeded()
    assert alone.failed == 0


def test_probes_of_one_engine_and_of_one_broker_are_both_spread() -> None:
    engines = [random.Random(7).randrange(1 << 32) + i for i in range(40)]
    of_engine = [paces.probe_at(me, engines[0], me, 300, 20.0) for me in range(300)]
    of_broker = [paces.probe_at(0, e, 3, 300, 20.0) for e in engines]
    assert calls_in_any_window(of_engine, S) <= 22 and len(set(of_broker)) == len(engines)


@pytest.mark.parametrize("rate", [1.0, 20.0, 5_000.0])
def test_a_gate_lets_through_its_rate_and_saves_up_a_second_at_the_most(rate: float) -> None:
    gate, passed, now = paces.Gate(rate, 0), list[int](), 0
    for now in range(0, 20 * S, S // 1_000):
        if not 5 * S < now < 15 * S:  # nobody comes in between
            passed += [now] * gate.free(now)
    assert calls_in_any_window(passed, S) <= 2 * rate + 1
    assert len([t for t in passed if t < 5 * S]) >= min(0.9 * 5 * rate, 4_000)


# --- the ramp ---


@pytest.mark.parametrize(
    ("good", "bad", "within"), [(0, 0, 8), (50, 0, 4), (50, 3, 4), (0, 9, 8 * MOST)]
)
def test_a_ramp_ends_sooner_with_good_news_and_never_later_than_stated(
    good: int, bad: int, within: int
) -> None:
    ramp, now, shares = Ramp(TERMS, 0), 0, [TERMS.floor]
    while not ramp.over():
        now += S
        shares.append(ramp.period(now, good, bad))
    assert now <= within * S and shares == sorted(shares)
    assert shares[1] <= max(2.0, ramp.step) * shares[0] + 1e-9  # never whole at once
    if good == bad == 0:
        assert now == within * S


@pytest.mark.parametrize(
    ("told", "left", "most", "draw", "then"),
    [
        (S, 0, 2 * S, 0.9, S),
        (S, 8 * S, 2 * S, 0.1, S),
        (S, 8 * S, 5 * S, 0.5, 4 * S),
        (S, 8 * S, 2 * S, 0.9, 2 * S),
        (0, 8 * S, 0, 0.9, 0),
    ],
)  # the last: no advice is allowed
def test_a_refusal_in_the_ramp_spreads_returns_over_it(
    told: int, left: int, most: int, draw: float, then: int
) -> None:
    assert pause(told, left, most, draw) == then


def test_what_is_assumed_leaves_room_for_one_query_and_ends_with_the_ramp() -> None:
    """Danger: where nothing may be sent no news can come, and the ramp waits for it."""
    assert assumed(0.01, 16.0, 4e9, 4) == (12, int(0.99 * 4e9))
    assert assumed(0.1, 0.4, 1e9, 4)[0] == 0
    assert assumed(1.0, 16.0, 4e9, 4) == (0, 0)


# --- the stages ---


def test_a_start_with_everything_at_hand() -> None:
    start = Start(TERMS, 0)
    start.settings_read(1, None)
    assert not start.ready()
    start.list_told(S, Source.BUS, 8)
    start.heard_of(S + 5, 3, 8)
    assert not start.ready()
    start.heard_of(S + 9, 4, 8)
    assert start.ready() and start.confirmed()
    start.ramped(9 * S, 0.5)
    start.ramped(10 * S, 1.0)
    assert start.told(11 * S)["stage"] == "full"
    assert [p.stage for p in start.passed] == [
        Stage.SETTINGS,
        Stage.LIST,
        Stage.CONTACT,
        Stage.RAMP,
    ]


def test_engines_that_never_answer_and_a_list_without_engines_hold_nobody_up() -> None:
    for listed in (8, 0):
        start = Start(TERMS, 0)
        start.settings_read(0, None)
        start.list_told(0, Source.KNOWN, listed)
        start.heard_of(TERMS.contact_wait - 1, 0, listed)
        assert not start.ready()
        start.heard_of(TERMS.contact_wait, 0, listed)
        assert start.ready() and "time-out" in start.passed[-1].why


def test_without_the_bus_the_last_list_serves_and_without_both_nothing_does() -> None:
    start = Start(TERMS, 0)
    start.settings_read(0, 60 * S)
    assert not start.wants_disk(TERMS.list_wait - 1) and start.wants_disk(TERMS.list_wait)
    start.list_told(TERMS.list_wait, Source.DISK, 3)
    start.heard_of(TERMS.list_wait, 3, 3)
    assert start.ready() and not start.confirmed()
    start.list_told(40 * S, Source.BUS, 3)
    assert start.confirmed()
    bare = Start(TERMS, 0)
    bare.settings_read(0, None)
    for now in range(0, 4_000 * S, 50 * S):
        bare.tick(now)
        assert not bare.ready() and not bare.wants_disk(now) and bare.waits_for() == "the bus"


def test_no_order_of_events_leads_back_or_is_ready_without_a_list() -> None:
    """All orders of six events of a start, with a second or a time-out between them."""
    order = list(Stage)

    def happen(start: Start, what: str, now: int) -> None:
        match what:
            case "known":
                start.list_told(now, Source.KNOWN, 4)
            case "bus":
                start.list_told(now, Source.BUS, 4)
            case "disk":
                if start.wants_disk(now):
                    start.list_told(now, Source.DISK, 4)
            case "heard":
                start.heard_of(now, 4, 4)
            case "full":
                start.ramped(now, 1.0)
            case "skip":
                start.skip(now, "beside")

    for events in itertools.permutations(["known", "bus", "disk", "heard", "full", "skip"]):
        for step in (S, 11 * S):
            start, now = Start(TERMS, 0), 0
            start.settings_read(0, S)
            for what in events:
                now += step
                before, surer = order.index(start.stage), start.source.value
                happen(start, what, now)
                assert order.index(start.stage) >= before and start.source.value >= surer
                assert not start.ready() or start.source is not Source.NONE
                start.told(now)
            assert sum(p.took for p in start.passed) <= now


# --- the last list ---

KEPT = LastList("atlanta", 41, 1_000 * S, (target_entry("s-1", 9090), target_entry("s-2", 9091)))


def test_a_last_list_is_read_as_it_was_written_and_tells_the_bus_s_words() -> None:
    kept = decode(encode(KEPT), "atlanta", 1_060 * S, 3_600 * S)
    assert kept == KEPT and kept.event()["topology"]["all"] is True


def test_one_cut_at_any_byte_or_altered_at_any_byte_is_never_acted_on() -> None:
    text = encode(KEPT)
    for at in range(len(text) - 1):
        with pytest.raises(BadList):
            decode(text[:at], "atlanta", 1_060 * S, 3_600 * S)
    for at in range(len(text) - 1):
        altered = text[:at] + chr(ord(text[at]) ^ 1) + text[at + 1 :]
        with pytest.raises(BadList):
            decode(altered, "atlanta", 1_060 * S, 3_600 * S)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (dict(installation="mombasa"), "installation"),
        (dict(now=5_000 * S), "old"),
        (dict(now=900 * S), "clock"),
    ],
)
def test_a_foreign_an_old_and_a_future_list_are_named(change: dict[str, Any], why: str) -> None:
    given: dict[str, Any] = {
        "installation": "atlanta",
        "now": 1_060 * S,
        "most_age": 3_600 * S,
        **change,
    }
    with pytest.raises(BadList, match=why):
        decode(encode(KEPT), **given)


def test_a_newer_format_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lastlist, "FORMAT", 2)
    text = encode(KEPT)
    monkeypatch.undo()
    with pytest.raises(BadList, match="format 2"):
        decode(text, "atlanta", 1_060 * S, 3_600 * S)


# --- the operators' word ---


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("start(list_connects = 0)", "start.list_connects"),
        ("start(floor = 0)", "start.floor"),
        ("start(floor = 2)", "start.floor"),
        ("start(ramp = -1)", "start.ramp"),
        ("start(rmap = 1)", "start"),
        ('start(last_list = "list")', "start.last_list"),
        ("start()\nstart()", "start"),
        ("start(accepts = 0)", "start.accepts"),
        ("start(engine_connects = True)", "start.engine_connects"),
    ],
)
def test_a_bad_word_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError) as fault:
        run_script("ops.star", text, lambda: False)
    assert f": {key}: " in str(fault.value)


def test_what_follows_for_this_fleet_is_told() -> None:
    told = lines(StartupSettings(last_list="/x"), 7, 300)
    assert "place 7 of 300" in told[0] and "at 0.14 s of each" in told[0] and "6.00 s" in told[0]
    assert any("time-out ends this stage" in line for line in told) and "/x" in told[-1]
