"""What a start decides: stages, call pacing, the ramp, the snapshot. No sockets, and no clock but
the test's.
"""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest

from query_broker.operator_config.script import OperatorFileError, run_script
from query_broker.startup import endpoint_snapshot, pacing
from query_broker.startup.admission_ramp import (
    MAX_RAMPS,
    AdmissionRamp,
    assumed_work,
    retry_after_ns,
)
from query_broker.startup.bounds import describe_bounds
from query_broker.startup.endpoint_snapshot import (
    EndpointSnapshot,
    EndpointSnapshotError,
    decode,
    encode,
)
from query_broker.startup.settings import StartupSettings
from query_broker.startup.stages import ListSource, Stage, StartupStages

from ..support.sockets import target_entry

NS_PER_SECOND = 1_000_000_000
SETTINGS = StartupSettings()


# --- call pacing ---


def most_calls_in_a_second(times: list[int]) -> int:
    """The calls of the busiest second, wherever it begins."""
    ordered = sorted(times)
    first = 0
    most = 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - NS_PER_SECOND:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("fleet", [1, 10, 300, 1_000])
@pytest.mark.parametrize(
    ("part", "within"), [(1.0, 0), (0.5, NS_PER_SECOND), (0.1, 30 * NS_PER_SECOND)]
)
def test_first_calls_stay_under_the_rate_whoever_starts_and_when(
    fleet: int, part: float, within: int
) -> None:
    """Without pacing, 300 brokers that start at one moment call at one moment."""
    draw = random.Random(fleet)
    started = [me for me in range(fleet) if me == 0 or draw.random() < part]
    begun = [1_796_000_000 * NS_PER_SECOND + int(draw.random() * within) for _ in started]
    calls = [
        pacing.PacedCalls(me, fleet, 50.0, draw.random).first_call_ns(now)
        for me, now in zip(started, begun, strict=True)
    ]
    assert most_calls_in_a_second(calls) <= 52
    assert all(
        0 <= at - now <= pacing.call_window_ns(fleet, 50.0)
        for at, now in zip(calls, begun, strict=True)
    )


# the fleet is 300: a third, right, and three times
@pytest.mark.parametrize("configured", [100, 300, 900])
def test_a_fleet_size_that_is_wrong_by_three_costs_three_times_at_the_most(
    configured: int,
) -> None:
    draw = random.Random(configured)
    calls = [
        pacing.PacedCalls(me, configured, 50.0, draw.random).first_call_ns(0) for me in range(300)
    ]
    assert most_calls_in_a_second(calls) <= 52 * max(1, 300 // configured)


def test_a_fleet_that_fails_together_stays_under_the_rate_and_calls_less_and_less() -> None:
    draw = random.Random(5)
    times: list[int] = []
    for me in range(300):
        calls = pacing.PacedCalls(me, 300, 50.0, draw.random)
        now = calls.first_call_ns(int(draw.random() * NS_PER_SECOND))
        while now < 120 * NS_PER_SECOND:
            times.append(now)
            now = calls.retry_ns(now)
    assert most_calls_in_a_second(times) <= 52
    late = [at for at in times if at > 60 * NS_PER_SECOND]
    assert len(late) / 60 < 30
    alone = pacing.PacedCalls(0, 1, 50.0, draw.random)
    now = 0
    waits = []
    for _ in range(60):
        waits.append(alone.retry_ns(now) - now)
        now += waits[-1]
    assert max(waits) <= 6 * pacing.MIN_WINDOW_NS  # one broker alone is back at once
    alone.succeeded()
    assert alone.failure_count == 0


def test_probes_of_one_endpoint_and_of_one_broker_are_both_spread() -> None:
    first = random.Random(7).randrange(1 << 32)
    endpoints = range(first, first + 40)
    of_endpoint = [pacing.probe_slot_ns(place, first, place, 300, 20.0) for place in range(300)]
    of_broker = [pacing.probe_slot_ns(0, endpoint, 3, 300, 20.0) for endpoint in endpoints]
    assert most_calls_in_a_second(of_endpoint) <= 22
    assert len(set(of_broker)) == len(endpoints)


@pytest.mark.parametrize("rate", [1.0, 20.0, 5_000.0])
def test_a_rate_limiter_admits_its_rate_and_saves_up_a_second_at_the_most(rate: float) -> None:
    limiter = pacing.RateLimiter(rate, 0)
    passed: list[int] = []
    for now in range(0, 20 * NS_PER_SECOND, NS_PER_SECOND // 1_000):
        if not 5 * NS_PER_SECOND < now < 15 * NS_PER_SECOND:  # none comes in between
            passed += [now] * limiter.try_acquire(now)
    assert most_calls_in_a_second(passed) <= 2 * rate + 1
    assert len([at for at in passed if at < 5 * NS_PER_SECOND]) >= min(0.9 * 5 * rate, 4_000)


# --- the ramp ---


@pytest.mark.parametrize(
    ("good", "bad", "within"), [(0, 0, 8), (50, 0, 4), (50, 3, 4), (0, 9, 8 * MAX_RAMPS)]
)
def test_a_ramp_ends_sooner_with_successes_and_never_later_than_stated(
    good: int, bad: int, within: int
) -> None:
    ramp = AdmissionRamp(SETTINGS, 0)
    now = 0
    fractions = [SETTINGS.initial_fraction]
    while not ramp.is_complete():
        now += NS_PER_SECOND
        fractions.append(ramp.step(now, good, bad))
    assert now <= within * NS_PER_SECOND
    assert fractions == sorted(fractions)
    # never complete at once
    assert fractions[1] <= max(2.0, ramp.growth) * fractions[0] + 1e-9
    if good == bad == 0:
        assert now == within * NS_PER_SECOND


@pytest.mark.parametrize(
    ("proposed", "left", "most", "draw", "expected"),
    [
        (NS_PER_SECOND, 0, 2 * NS_PER_SECOND, 0.9, NS_PER_SECOND),
        (NS_PER_SECOND, 8 * NS_PER_SECOND, 2 * NS_PER_SECOND, 0.1, NS_PER_SECOND),
        (NS_PER_SECOND, 8 * NS_PER_SECOND, 5 * NS_PER_SECOND, 0.5, 4 * NS_PER_SECOND),
        (NS_PER_SECOND, 8 * NS_PER_SECOND, 2 * NS_PER_SECOND, 0.9, 2 * NS_PER_SECOND),
        (0, 8 * NS_PER_SECOND, 0, 0.9, 0),
    ],
)  # the last: no advice is allowed
def test_rejections_in_the_ramp_spread_the_returns_over_it(
    proposed: int, left: int, most: int, draw: float, expected: int
) -> None:
    assert retry_after_ns(proposed, left, most, draw) == expected


def test_assumed_work_leaves_capacity_for_one_request_and_ends_with_the_ramp() -> None:
    """Where nothing may be sent no answer can come, and the ramp waits for answers."""
    assert assumed_work(0.01, 16.0, 4e9, 4) == (12, int(0.99 * 4e9))
    assert assumed_work(0.1, 0.4, 1e9, 4)[0] == 0
    assert assumed_work(1.0, 16.0, 4e9, 4) == (0, 0)


# --- the stages ---


def test_a_start_with_everything_at_hand() -> None:
    stages = StartupStages(SETTINGS, 0)
    stages.settings_read(1, None)
    assert not stages.ready()
    stages.list_received(NS_PER_SECOND, ListSource.BUS, 8)
    stages.endpoints_contacted(NS_PER_SECOND + 5, 3, 8)
    assert not stages.ready()
    stages.endpoints_contacted(NS_PER_SECOND + 9, 4, 8)
    assert stages.ready()
    assert stages.confirmed()
    stages.ramp_advanced(9 * NS_PER_SECOND, 0.5)
    stages.ramp_advanced(10 * NS_PER_SECOND, 1.0)
    assert stages.status(11 * NS_PER_SECOND)["stage"] == "full"
    assert [completed.stage for completed in stages.completed] == [
        Stage.SETTINGS,
        Stage.LIST,
        Stage.CONTACT,
        Stage.RAMP,
    ]


def test_silent_endpoints_and_a_list_without_endpoints_delay_no_start() -> None:
    for listed in (8, 0):
        stages = StartupStages(SETTINGS, 0)
        stages.settings_read(0, None)
        stages.list_received(0, ListSource.KNOWN, listed)
        stages.endpoints_contacted(SETTINGS.contact_wait_ns - 1, 0, listed)
        assert not stages.ready()
        stages.endpoints_contacted(SETTINGS.contact_wait_ns, 0, listed)
        assert stages.ready()
        assert "time-out" in stages.completed[-1].reason


def test_without_the_discovery_service_the_snapshot_serves_and_without_both_nothing_does() -> None:
    stages = StartupStages(SETTINGS, 0)
    stages.settings_read(0, 60 * NS_PER_SECOND)
    assert not stages.snapshot_due(SETTINGS.list_wait_ns - 1)
    assert stages.snapshot_due(SETTINGS.list_wait_ns)
    stages.list_received(SETTINGS.list_wait_ns, ListSource.DISK, 3)
    stages.endpoints_contacted(SETTINGS.list_wait_ns, 3, 3)
    assert stages.ready()
    assert not stages.confirmed()
    stages.list_received(40 * NS_PER_SECOND, ListSource.BUS, 3)
    assert stages.confirmed()
    bare = StartupStages(SETTINGS, 0)
    bare.settings_read(0, None)
    for now in range(0, 4_000 * NS_PER_SECOND, 50 * NS_PER_SECOND):
        bare.tick(now)
        assert not bare.ready()
        assert not bare.snapshot_due(now)
        assert bare.waits_for() == "the bus"


def test_no_order_of_events_leads_back_or_is_ready_without_a_list() -> None:  # noqa: C901  # one scenario, told in order
    """All orders of six events of a start, with a second or a time-out between them."""
    order = list(Stage)

    def happen(stages: StartupStages, what: str, now: int) -> None:
        match what:
            case "known":
                stages.list_received(now, ListSource.KNOWN, 4)
            case "bus":
                stages.list_received(now, ListSource.BUS, 4)
            case "disk":
                if stages.snapshot_due(now):
                    stages.list_received(now, ListSource.DISK, 4)
            case "contact":
                stages.endpoints_contacted(now, 4, 4)
            case "full":
                stages.ramp_advanced(now, 1.0)
            case "skip":
                stages.skip(now, "beside")

    for events in itertools.permutations(["known", "bus", "disk", "contact", "full", "skip"]):
        for step in (NS_PER_SECOND, 11 * NS_PER_SECOND):
            stages = StartupStages(SETTINGS, 0)
            now = 0
            stages.settings_read(0, NS_PER_SECOND)
            for what in events:
                now += step
                stage_before = order.index(stages.stage)
                source_before = stages.source.value
                happen(stages, what, now)
                assert order.index(stages.stage) >= stage_before
                assert stages.source.value >= source_before
                assert not stages.ready() or stages.source is not ListSource.NONE
                stages.status(now)
            assert sum(completed.duration_ns for completed in stages.completed) <= now


# --- the endpoint snapshot ---

SNAPSHOT = EndpointSnapshot(
    "atlanta", 41, 1_000 * NS_PER_SECOND, (target_entry("s-1", 9090), target_entry("s-2", 9091))
)


def test_a_snapshot_is_read_as_it_was_written_and_is_a_watch_event() -> None:
    read = decode(encode(SNAPSHOT), "atlanta", 1_060 * NS_PER_SECOND, 3_600 * NS_PER_SECOND)
    assert read == SNAPSHOT
    assert read.event()["topology"]["all"] is True


def test_one_cut_at_any_byte_or_altered_at_any_byte_is_never_acted_on() -> None:
    text = encode(SNAPSHOT)
    for at in range(len(text) - 1):
        with pytest.raises(EndpointSnapshotError):
            decode(text[:at], "atlanta", 1_060 * NS_PER_SECOND, 3_600 * NS_PER_SECOND)
    for at in range(len(text) - 1):
        altered = text[:at] + chr(ord(text[at]) ^ 1) + text[at + 1 :]
        with pytest.raises(EndpointSnapshotError):
            decode(altered, "atlanta", 1_060 * NS_PER_SECOND, 3_600 * NS_PER_SECOND)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"installation": "mombasa"}, "installation"),
        ({"now": 5_000 * NS_PER_SECOND}, "old"),
        ({"now": 900 * NS_PER_SECOND}, "clock"),
    ],
)
def test_a_foreign_an_old_and_a_future_snapshot_are_named(change: dict[str, Any], why: str) -> None:
    given: dict[str, Any] = {
        "installation": "atlanta",
        "now": 1_060 * NS_PER_SECOND,
        "max_age_ns": 3_600 * NS_PER_SECOND,
        **change,
    }
    with pytest.raises(EndpointSnapshotError, match=why):
        decode(encode(SNAPSHOT), **given)


def test_a_newer_format_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_snapshot, "FORMAT_VERSION", 2)
    text = encode(SNAPSHOT)
    monkeypatch.undo()
    with pytest.raises(EndpointSnapshotError, match="format 2"):
        decode(text, "atlanta", 1_060 * NS_PER_SECOND, 3_600 * NS_PER_SECOND)


# --- the operators' directive ---


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
def test_a_bad_argument_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError) as fault:
        run_script("ops.star", text, lambda: False)
    assert f": {key}: " in str(fault.value)


def test_the_lines_of_check_config_name_the_windows_of_this_fleet() -> None:
    text = describe_bounds(StartupSettings(snapshot_path="/x"), 7, 300)
    assert "place 7 of 300" in text[0]
    assert "at 0.14 s of each" in text[0]
    assert "6.00 s" in text[0]
    assert any("time-out ends this stage" in line for line in text)
    assert "/x" in text[-1]
