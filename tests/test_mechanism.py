"""The fuzzy step against the paper, the bound, the backlog and the admission test."""

from __future__ import annotations

import pytest

from query_broker import decisions as api
from query_broker.decisions.concurrency_limit import CEILING_MULTIPLE, LARGEST_STEP_FRACTION
from query_broker.decisions.fuzzy_control import fuzzy_step, memberships, output_level

from .helpers import MS, Harness, S, entry, make_settings, query_class

NAMES = "NVL NL NM NS ZE PS PM PL PVL".split()
TABLE_2 = """
NVL NVL NVL NL NL NL NM NS ZE
NVL NVL NL NL NL NM NS ZE PS
NVL NL NL NL NM NS ZE PS PM
NL NL NL NM NS ZE PS PM PL
NL NL NM NS ZE PS PM PL PL
NL NM NS ZE PS PM PL PL PVL
NM NS ZE PS PM PL PL PVL PVL
NS ZE PS PM PL PL PVL PVL PVL
ZE PS PM PL PL PVL PVL PVL PVL
"""


def test_rule_base_is_table_2() -> None:
    rows = [line.split() for line in TABLE_2.strip().splitlines()]
    for e, row in enumerate(rows):
        for c, name in enumerate(row):
            assert NAMES[output_level(e - 4, c - 4) + 4] == name, (NAMES[e], NAMES[c])


def test_paper_example() -> None:
    """Section 5.1: e = -0.2 s and change = -0.4 s over +-1 s give -57.15, centres up to 100."""
    assert dict(memberships(-0.2, 4)) == pytest.approx({-1: 0.8, 0: 0.2})
    assert dict(memberships(-0.4, 4)) == pytest.approx({-2: 0.6, -1: 0.4})
    assert [
        output_level(-1, -2),
        output_level(-1, -1),
        output_level(0, -2),
        output_level(0, -1),
    ] == [-3, -2, -2, -1]
    assert fuzzy_step(-0.2, -0.4, 100.0) == pytest.approx(-57.15, abs=0.01)


def test_memberships_saturate() -> None:
    assert memberships(5.0, 4) == [(4, 1.0)]
    assert memberships(-5.0, 4) == [(-4, 1.0)]


def one_engine(**changes: object) -> tuple[Harness, api.Settings]:
    settings = make_settings(**changes)
    return Harness(settings, entry(1)), settings


def test_bound_is_clamped_and_steps_as_designed() -> None:
    h, settings = one_engine()
    engine = h.controller.engines[1]
    start = 2 * 4 * settings.classes[0].latency_objective_ns
    assert engine.bound == start
    engine.bound_used, engine.delays = True, [0.1]
    h.pass_time(S)
    # PVL with ZE gives PL
    assert engine.bound - start == pytest.approx(
        start * CEILING_MULTIPLE * LARGEST_STEP_FRACTION * 3 / 4
    )
    for _ in range(20):
        engine.bound_used, engine.delays = True, [0.1]
        h.pass_time(S)
    assert engine.bound == CEILING_MULTIPLE * start
    for _ in range(40):
        engine.bound_used, engine.delays = True, [9.0]
        h.pass_time(S)
    assert engine.bound == 0.0


@pytest.mark.parametrize("factor", [0.0, 4.0])
def test_empty_period_steps_toward_the_start(factor: float) -> None:
    h, _ = one_engine()
    engine = h.controller.engines[1]
    start = engine.bound
    engine.bound = factor * start
    h.pass_time(S)
    assert abs(engine.bound - start) < abs(factor * start - start)


def test_quiet_periods_do_not_wind_the_bound_up() -> None:
    """Danger: good delays without pressure would raise the bound to its ceiling before a traffic
    jump.
    """
    h, _ = one_engine()
    engine = h.controller.engines[1]
    start = engine.bound
    for _ in range(5):
        engine.delays = [0.1]
        h.pass_time(S)
    assert engine.bound == start


@pytest.mark.parametrize("result", list(api.AttemptResult))
def test_backlog_enters_once_and_leaves_once(result: api.AttemptResult) -> None:
    h, _ = one_engine()
    h.arrive("r", estimate_ns=80 * MS)
    assert h.backlog() == 80 * MS
    h.end("r", result)
    while not h.answers("r") and result is not api.AttemptResult.SERVED and len(h.sends("r")) < 4:
        h.end("r", result)
    if h.controller.engines[1].in_flight:
        h.end("r", api.AttemptResult.SERVED)
    assert h.backlog() == 0


def test_backlog_after_departure_and_repeated_outcome() -> None:
    h, _ = one_engine()
    h.arrive("r", estimate_ns=80 * MS)
    actions = h.do(api.RequestAbandoned("r"))
    assert api.CancelAttempt("r", 0) in actions
    h.end("r", api.AttemptResult.CANCELLED)
    h.end("r", api.AttemptResult.CANCELLED)
    assert h.backlog() == 0
    assert not h.answers("r")


def crowd(h: Harness, count: int, estimate: int) -> None:
    for i in range(count):
        h.arrive(f"c{i}", estimate_ns=estimate)


def test_fits_and_misfits() -> None:
    h, _ = one_engine()
    crowd(h, 6, estimate=100 * MS)
    engine = h.controller.engines[1]
    engine.full_until = h.now + S
    h.arrive("fits", estimate_ns=100 * MS)
    assert h.sends("fits")
    h.arrive("misfit", estimate_ns=60 * S, patience=99 * S)
    (answer,) = h.answers("misfit")
    # one of eight arrivals refused
    assert isinstance(answer, api.Reject) and answer.retry_after_ns == S // 8
    engine.full_until = 0
    h.arrive("no pressure", estimate_ns=60 * S, patience=99 * S)
    assert h.sends("no pressure")


def test_own_threads_past_two_a_core_are_pressure() -> None:
    """Danger: a jam shows in delays only after it; the thread count shows it before."""
    h, _ = one_engine()
    crowd(h, 40, estimate=300 * MS)
    taken = sum(1 for i in range(40) if h.sends(f"c{i}"))
    assert 8 <= taken < 16


def test_nothing_outstanding_admits_whatever_the_bound() -> None:
    h, _ = one_engine()
    h.controller.engines[1].bound = 0.0
    h.controller.engines[1].full_until = h.now + S
    h.arrive("r", estimate_ns=60 * S, patience=99 * S)
    assert h.sends("r")


@pytest.mark.parametrize("entries", [(), (entry(1, state=api.EndpointState.DRAINING),)])
def test_no_engine_is_refused_at_once(entries: tuple[api.EndpointEntry, ...]) -> None:
    h = Harness(make_settings(), *entries)
    h.arrive("r")
    assert isinstance(h.answers("r")[0], api.Reject)


def test_estimates_learn_from_calm_sends_only() -> None:
    """Danger: a jam's latencies make every query look large, its aim too, and the bound stays
    open.
    """
    h, _ = one_engine()
    view = h.controller.admission.classes.by_name["short"]
    crowd(h, 8, estimate=100 * MS)
    for i in range(8):
        h.end(f"c{i}", api.AttemptResult.SERVED, latency=4 * S)
    calm = view.answers
    assert 0 < calm < 8


def test_over_share_traffic_is_refused_first_under_pressure() -> None:
    h, _ = one_engine(tenants=(api.Tenant("x", 2.0), api.Tenant("y", 2.0)))
    engine = h.controller.engines[1]
    for i in range(8):
        h.arrive(f"x{i}", tenant="x", estimate_ns=200 * MS)
    engine.full_until = h.now + S
    h.arrive("more x", tenant="x", estimate_ns=200 * MS)
    h.arrive("first y", tenant="y", estimate_ns=200 * MS)
    assert not h.sends("more x") and h.sends("first y")


def test_slow_and_failing_engines_draw_less() -> None:
    h = Harness(make_settings(), entry(1), entry(2))
    h.controller.engines[1].failures = 0.9
    for i in range(40):
        h.arrive(f"r{i}", estimate_ns=10 * MS)
        h.end(f"r{i}", api.AttemptResult.SERVED, latency=10 * MS)
    assert sum(h.sends(f"r{i}")[0].endpoint == 2 for i in range(40)) > 35


def test_loads_keep_apart_from_readers() -> None:
    """Danger: a load stops the readers of its data set on its engine."""
    load = query_class("load", is_load=True)
    reader = query_class("short", blocked_by_loads=True)
    h = Harness(make_settings(reader, load), *(entry(i) for i in range(6)))
    where: dict[str, list[int]] = {"load": [], "short": []}
    for i in range(160):
        name = "load" if i % 2 else "short"
        h.arrive(f"r{i}", name, data_set=3, estimate_ns=10 * MS)
        where[name].append(h.sends(f"r{i}")[0].endpoint)
        h.end(f"r{i}", api.AttemptResult.SERVED, latency=10 * MS)
    homes = sorted(set(where["load"]), key=where["load"].count)[-2:]
    assert sum(e in homes for e in where["load"]) > 56
    assert sum(e in homes for e in where["short"]) < 18


def test_readers_avoid_an_engine_where_our_load_runs() -> None:
    load = query_class("load", is_load=True)
    reader = query_class("short", blocked_by_loads=True)
    h = Harness(make_settings(reader, load), entry(1), entry(2))
    h.arrive("load", "load", data_set=3, estimate_ns=10 * MS)
    for i in range(20):
        h.arrive(f"r{i}", data_set=3, estimate_ns=10 * MS)
        h.end(f"r{i}", api.AttemptResult.SERVED, latency=10 * MS)
    assert sum(h.sends(f"r{i}")[0].endpoint == h.sends("load")[0].endpoint for i in range(20)) < 6


def test_classes_need_a_known_name() -> None:
    h = Harness(make_settings(query_class("short")), entry(1))
    with pytest.raises(ValueError, match="class_name"):
        h.arrive("r", "unheard")


def test_marked_retries_take_no_tokens_of_the_share() -> None:
    """Danger: refused excess comes back and takes the tokens of new requests within the share."""
    h, _ = one_engine(tenants=(api.Tenant("x", 4.0),))
    for i in range(30):
        h.arrive(f"again{i}", tenant="x", estimate_ns=MS, is_retry=True)
    h.arrive("new", tenant="x", estimate_ns=MS)
    assert h.controller.requests["again0"].over_share
    assert not h.controller.requests["new"].over_share


def test_grants_of_queries_that_fit_by_estimate_leave_room_for_each_other() -> None:
    """Danger: a pool of engines whose memory is granted twice over makes every second query
    spill.
    """
    h = Harness(make_settings(memory_grants=True), entry(1))
    h.arrive("r", estimate_ns=MS, memory_mb=100.0)
    granted = [a.memory_mb for _, a in h.log if isinstance(a, api.DispatchOptions)]
    assert len(granted) == 1 and 100.0 < granted[0] <= 130.0
