"""A fleet of gateways that share nothing: what is harmless in one and harmful when all do it."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from typing import Any

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class

FLEET = 40
CORES = 8
CONTRACT = api.Contract(
    drain_grace_ns=S,
    warmup_initial_capacity=0.36,
    warmup_ns=12 * S,
    overload_window_ns=1_500 * MS,
    overload_multiple=2.0,
)
CLASSES = (
    query_class("glance", latency_objective_ns=S, deadline_ns=5 * S),
    query_class(
        "report",
        latency_objective_ns=1_500 * MS,
        deadline_ns=20 * S,
        priority_weight=10.0,
        threads=4,
    ),
)


def uids(count: int, seed: int = 5) -> list[int]:
    return random.Random(seed).sample(range(1 << 32), count)


def gateways(
    engines: list[int], fleet: int = FLEET, only: int | None = None, **more: Any
) -> list[Harness]:
    return [
        Harness(
            make_settings(
                *CLASSES,
                fleet_size=fleet,
                broker_index=me,
                kind_cores=(("box", CORES),),
                contract=CONTRACT,
                **more,
            ),
            *(entry(e, zone="ab"[index % 2]) for index, e in enumerate(engines)),
            seed=me,
        )
        for me in (range(fleet) if only is None else [only])
    ]


@pytest.mark.parametrize(
    ("listed", "fresh", "brokers"),
    [
        (30, 1, 40),
        (30, 15, 40),
        (30, 18, 40),
        (60, 36, 40),
        (80, 1, 200),
        (70, 40, 200),
        (30, 30, 200),
    ],
    ids=[
        "one engine",
        "a zone",
        "six in ten",
        "six in ten of sixty",
        "one of eighty",
        "over half",
        "all",
    ],
)
def test_the_sum_of_all_gateways_keeps_the_cold_budget(
    listed: int, fresh: int, brokers: int
) -> None:
    """Prevents: each judges its own part of a budget that holds for the sum; equal parts are
    under one query and leave the engine idle, parts drawn by each for itself may all be large
    at once.
    """
    engines = uids(listed)
    draw = random.Random(3)
    cold = set(engines[:fresh])
    fleet = gateways(engines, brokers)
    began = fleet[0].now
    update = api.EndpointListUpdate(
        api.ListUpdateKind.CHANGES, tuple(entry(e, started_ns=began) for e in sorted(cold))
    )
    notified_at = [began + draw.randrange(2 * S) for _ in fleet]
    sent: dict[int, list[tuple[int, int]]] = {e: [] for e in cold}
    absent = set(draw.sample(range(brokers), brokers // 10)) if brokers > FLEET else set()
    for step in range(120):
        for me, harness in enumerate(fleet):
            # some are down, requests are fewer
            if me in absent or brokers > FLEET and draw.random() > 0.4:
                continue
            harness.pass_time(began + step * 100 * MS - harness.now)
            if harness.now < notified_at[me]:
                continue
            if notified_at[me]:
                harness.do(update)
                notified_at[me] = 0
            name, work = ("report", 2 * S) if draw.random() < 0.2 else ("glance", 200 * MS)
            work = int(work * draw.uniform(0.5, 1.5))
            harness.arrive(f"r{step}", name, estimate_ns=work)
            for send in harness.sends(f"r{step}"):
                if send.endpoint in cold:
                    sent[send.endpoint].append((harness.now, work))
                harness.end(f"r{step}", api.AttemptResult.SERVED, latency=work // 4)
    for engine in cold:
        for at, _ in sent[engine]:
            part = CONTRACT.warmup_initial_capacity + (1 - CONTRACT.warmup_initial_capacity) * min(
                1.0, (at - began) / CONTRACT.warmup_ns
            )
            within = sum(
                work for when, work in sent[engine] if at - CONTRACT.overload_window_ns < when <= at
            )
            assert within <= part * CORES * CONTRACT.overload_multiple * CONTRACT.overload_window_ns
    used = sum(work for items in sent.values() for _, work in items) / len(cold) / (12 * S)
    assert (
        used > 0.3 * CONTRACT.warmup_initial_capacity * CORES
    )  # of what they can do at their start


def test_turns_on_different_engines_are_not_in_step() -> None:
    """Prevents: all fresh engines idle at the same moments, and the warm ones get everything
    then.
    """
    engines = uids(30)
    harness = gateways(engines)[0]
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES,
            tuple(entry(e, started_ns=harness.now) for e in engines[:15]),
        )
    )

    def open_now(at: int) -> int:
        return sum(
            (at + e) % (2 * CONTRACT.overload_window_ns) < CONTRACT.overload_window_ns
            for e in engines[:15]
        )

    open_counts = [open_now(harness.now + index * 100 * MS) for index in range(30)]
    assert min(open_counts) >= 3
    assert max(open_counts) <= 12
    owners = {
        e: [
            me
            for me, g in enumerate(gateways(engines))
            if g.controller.selector.balancer.slow_start.is_our_turn(
                harness.now, g.controller.endpoints[e]
            )
        ]
        for e in engines[:15]
    }
    assert all(len(mine) <= 1 for mine in owners.values())
    assert any(owners.values())


@pytest.mark.parametrize(("listed", "brokers"), [(30, 40), (60, 40), (80, 200)])
def test_each_gateway_uses_a_part_and_each_engine_is_used_by_as_many(
    listed: int, brokers: int
) -> None:
    """Prevents: 40 gateways that each meet an engine seldom each lose a query on a bad one to
    learn of it.
    """
    fleet = gateways(uids(listed), brokers)
    used = Counter(e.entry.endpoint for harness in fleet for e in harness.controller.pool.subset)
    each = {len(harness.controller.pool.subset) for harness in fleet}
    mean = sum(used.values()) / listed
    assert each == {10}
    assert len(used) == listed
    assert 0.7 * mean <= min(used.values())
    assert max(used.values()) <= 1.3 * mean


def test_an_engine_held_to_be_out_brings_one_more_into_use_and_few_others_change() -> None:
    engines = uids(30)
    harness = gateways(engines)[7]
    gateway = harness.controller
    before = [e.entry.endpoint for e in gateway.pool.subset]
    gateway.outliers.set_ejected(harness.now, gateway.pool.subset[2], True)
    assert [e.entry.endpoint for e in gateway.pool.subset][:10] == before
    assert len(gateway.pool.subset) == 11
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(engines[0], state=api.EndpointState.REMOVED),)
        )
    )
    assert len({e.entry.endpoint for e in gateway.pool.subset} & set(before)) >= 8


def test_few_gateways_use_all_engines() -> None:
    harness = gateways(uids(8), fleet=3)[1]
    assert not harness.controller.pool.large_fleet
    assert len(harness.controller.pool.subset) == 8


def test_what_vanished_with_a_zone_leaves_room_for_the_rest() -> None:
    """Prevents: attempts on engines that died in silence are out until their time is up; in the
    pool's books they shut new work out of engines that idle.
    """
    harness = gateways(uids(30))[0]
    gateway = harness.controller
    for index in range(40):
        harness.arrive(f"r{index}", "report", patience=20 * S, estimate_ns=S)
    pool = gateway.pool.limit
    before = gateway.pool.limit.threads_in_flight
    lost = [e for e in gateway.pool.subset if e.in_flight][:5]
    lost_threads = sum(e.threads_in_flight for e in lost)
    for engine in lost:
        gateway.outliers.set_ejected(harness.now, engine, True)
    assert lost_threads > 0
    assert pool.threads_in_flight == before - lost_threads
    assert pool.thread_quota == pytest.approx(1.5 * CORES * 25 / FLEET)
    number = next(a for a in lost[0].in_flight)
    harness.end(
        number[0], api.AttemptResult.TIMEOUT, attempt=number[1]
    )  # removed at last: not subtracted twice
    assert pool.threads_in_flight == sum(
        e.threads_in_flight for e in gateway.endpoints.values() if e.in_pool
    )


def test_what_drains_takes_no_room_in_the_pool() -> None:
    harness = gateways(uids(30))[0]
    for index in range(10):
        harness.arrive(f"r{index}", "report", patience=20 * S, estimate_ns=S)
    gateway = harness.controller
    engine = next(e for e in gateway.pool.subset if e.in_flight)
    before = gateway.pool.limit.threads_in_flight
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES,
            (entry(engine.entry.endpoint, state=api.EndpointState.DRAINING),),
        )
    )
    assert gateway.pool.limit.threads_in_flight == before - engine.threads_in_flight


def test_work_of_an_arrival_does_not_grow_with_the_engines() -> None:
    """A count of engines examined, not a time."""
    for listed in (30, 60, 240):
        harness = gateways(uids(listed))[3]
        assert len(harness.controller.selector.balancer.candidates(harness.now)) <= 10


PROBES = api.Limits(health_checks=True, hedging=True, max_attempts=5, max_retry_after_ns=2 * S)


def fail(harness: Harness, engine: int, times: int) -> None:
    """Queries that this engine answers with an error and another one serves."""
    for index in range(times):
        name = f"{engine}-{index}-{harness.now}"
        request = harness.controller
        for other in request.endpoints.values():
            other.entry = entry(
                other.entry.endpoint,
                state=api.EndpointState.READY
                if other.entry.endpoint == engine
                else api.EndpointState.DRAINING,
            )
        harness.arrive(name, "glance", estimate_ns=MS)
        for other in request.endpoints.values():
            other.entry = entry(other.entry.endpoint)
        assert harness.sends(name)[0].endpoint == engine
        harness.end(name, api.AttemptResult.ERROR)
        harness.end(name, api.AttemptResult.SERVED, latency=MS)


def test_an_engine_that_fails_what_others_serve_is_held_out() -> None:
    """Prevents: it fails fast, looks idle, and draws three times as much as the others."""
    harness = gateways(uids(30), limits=PROBES)[0]
    engine = harness.controller.pool.subset[0]
    fail(harness, engine.entry.endpoint, 1)
    assert not engine.ejected
    fail(harness, engine.entry.endpoint, 2)
    assert engine.ejected


def test_what_no_engine_can_read_holds_none_out() -> None:
    """Prevents: one client's statements would take out every engine."""
    harness = gateways(uids(30), limits=PROBES)[0]
    for index in range(40):
        harness.arrive(f"bad{index}", "glance", estimate_ns=MS)
        while not harness.answers(f"bad{index}"):
            harness.end(f"bad{index}", api.AttemptResult.ERROR)
    assert not any(e.ejected for e in harness.controller.endpoints.values())


def probes_of(harness: Harness) -> list[tuple[int, int]]:
    return [(at, a.endpoint) for at, a in harness.log if isinstance(a, api.HealthCheck)]


def test_trials_of_many_gateways_are_probes_with_rests() -> None:
    """Prevents: queries sent for a trial keep a jammed engine jammed, and each is late for its
    client.
    """
    harness = gateways(uids(30), limits=PROBES)[0]
    engine = harness.controller.pool.subset[0]
    harness.controller.outliers.set_ejected(harness.now, engine, True)
    for step in range(300):
        harness.arrive(f"r{step}", "glance", estimate_ns=MS)
        assert all(s.endpoint != engine.entry.endpoint for s in harness.sends(f"r{step}"))
        harness.end(f"r{step}", api.AttemptResult.SERVED, latency=MS)
        before = len(probes_of(harness))
        harness.pass_time(100 * MS)
        for _ in range(len(probes_of(harness)) - before):
            harness.do(
                api.HealthCheckResult(engine.entry.endpoint, api.AttemptResult.TIMEOUT, 250 * MS)
            )
    times = [at for at, e in probes_of(harness) if e == engine.entry.endpoint]
    assert 5 <= len(times) <= 20  # in 30 s: seldom, and ever more so
    harness.do(
        api.HealthCheckResult(
            engine.entry.endpoint, api.AttemptResult.SERVED, MS, api.LoadReport(memory=0.1)
        )
    )
    assert not engine.ejected
    assert engine.in_pool


def test_rests_of_many_gateways_are_not_in_step() -> None:
    fleet = gateways(uids(30), limits=PROBES)
    due = set()
    for harness in fleet:
        engine = harness.controller.pool.subset[0]
        engine.failure_rate = 0.6
        harness.controller.outliers.set_ejected(harness.now, engine, True)
        due.add(engine.next_trial_ns - harness.now)
    assert len(due) == len(fleet)
    assert max(due) - min(due) > 3 * S


def test_few_gateways_try_by_query_and_send_no_probe() -> None:
    harness = gateways(uids(4), fleet=2, limits=PROBES)[0]
    engine = harness.controller.pool.subset[0]
    harness.controller.outliers.set_ejected(harness.now, engine, True)
    harness.pass_time(9 * S)
    for index in range(60):
        harness.arrive(f"r{index}", "glance", estimate_ns=MS)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=MS)
    assert not probes_of(harness)
    assert not engine.ejected


def test_a_turn_is_not_cut_short_by_the_usual_share() -> None:
    """Prevents: a broker's share of a warm engine is a query or two; a turn is all of what the
    engine has, and no more: who sent all that the contract allows would jam it.
    """
    engines = uids(30)
    harness = gateways(engines)[0]
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, tuple(entry(e, started_ns=harness.now) for e in engines)
        )
    )
    gateway = harness.controller
    while not any(
        gateway.selector.balancer.slow_start.is_our_turn(harness.now, e)
        for e in gateway.pool.warming
    ):
        harness.pass_time(50 * MS)
    engine = next(
        e
        for e in gateway.pool.warming
        if gateway.selector.balancer.slow_start.is_our_turn(harness.now, e)
    )
    for index in range(60):
        harness.arrive(f"r{index}", "glance", estimate_ns=200 * MS)
    assert engine.thread_quota < engine.threads_in_flight <= 2 * CORES


def test_the_pool_wants_less_delay_than_the_whole_aim() -> None:
    """Prevents: lookups worth nothing after their aim; with the aim as their mean delay, half
    come late.
    """
    harness = gateways(uids(30))[0]
    pool = harness.controller.pool.limit
    before = pool.bound_ns
    pool.bound_used = True
    pool.delays = [0.8]
    pool.end_period()
    assert pool.bound_ns < before
    assert all(e.delay_objective == 1.0 for e in harness.controller.endpoints.values())


def test_a_zone_goes_silent_and_comes_back_cold() -> None:
    """One final answer for each request, no unsafe one sent twice; the zone is found out, then in
    use.
    """
    classes = (
        *CLASSES,
        query_class(
            "load",
            latency_objective_ns=3 * S,
            deadline_ns=25 * S,
            threads=2,
            effect=api.Effect.NON_IDEMPOTENT,
        ),
    )
    engines = uids(30)
    harness = Harness(
        make_settings(
            *classes,
            fleet_size=FLEET,
            broker_index=3,
            kind_cores=(("box", CORES),),
            contract=CONTRACT,
            limits=PROBES,
        ),
        *(entry(e, zone="ab"[index % 2]) for index, e in enumerate(engines)),
    )
    draw = random.Random(9)
    kinds = dict[str, str]()
    served = set[str]()
    zone = set(engines[1::2])
    ends: dict[tuple[str, int], tuple[int, api.AttemptResult]] = {}
    for step in range(420):
        if step < 380:
            kinds[f"r{step}"] = draw.choice(["glance", "glance", "report", "load"])
            harness.arrive(f"r{step}", kinds[f"r{step}"], patience=5 * S, estimate_ns=300 * MS)
        for name in kinds:
            for number, send in enumerate(harness.sends(name)):
                silent = send.endpoint in zone and step < 200
                ends.setdefault(
                    (name, number),
                    (step + 50, api.AttemptResult.TIMEOUT)
                    if silent
                    else (step + 3, api.AttemptResult.SERVED),
                )
        for (name, number), (due, result) in list(ends.items()):
            if due == step:
                if result is api.AttemptResult.SERVED and not harness.answers(name):
                    served.add(name)
                harness.end(
                    name,
                    result,
                    attempt=number,
                    latency=300 * MS,
                    finished=name in served or bool(harness.answers(name)),
                )
        harness.pass_time(100 * MS)
        if step == 199:
            out = [e for e in harness.controller.pool.subset if e.entry.endpoint in zone]
            assert out
            assert all(e.ejected for e in out)
            harness.do(
                api.EndpointListUpdate(
                    api.ListUpdateKind.CHANGES,
                    tuple(entry(e, zone="b", started_ns=harness.now) for e in sorted(zone)),
                )
            )
            assert not any(harness.controller.endpoints[e].ejected for e in zone)
    assert sum(result is api.AttemptResult.TIMEOUT for _, result in ends.values()) >= 3
    assert not harness.controller.requests
    for name, kind in kinds.items():
        assert len(harness.answers(name)) + (name in served) == 1
        assert kind != "load" or len(harness.sends(name)) <= 1
    assert any(
        a.endpoint in zone for at, a in harness.log if isinstance(a, api.Dispatch) and at > 122 * S
    )


@pytest.mark.parametrize("count", [0, 1, 500])
def test_a_whole_list_of_any_length_in_mid_service(count: int) -> None:
    harness = gateways(uids(30))[0]
    harness.arrive("open", "report", patience=20 * S, estimate_ns=S)
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.FULL, tuple(entry(e) for e in uids(count, seed=8))
        )
    )
    harness.pass_time(2 * S)
    went = harness.sends("open")[0].endpoint
    for index in range(50):
        harness.arrive(f"r{index}", "glance", estimate_ns=MS)
        assert all(
            s.endpoint != went or went in uids(count, seed=8) for s in harness.sends(f"r{index}")
        )
        assert harness.sends(f"r{index}") or isinstance(harness.answers(f"r{index}")[0], api.Reject)
    harness.end("open", api.AttemptResult.SERVED)
    assert not harness.answers("open")


def test_a_class_that_is_refused_more_often_sees_more_of_the_pool() -> None:
    """Prevents: large work that must not run twice was refused three times as often as lookups."""
    for share, goes in ((1.0, False), (0.4, True)):
        harness = gateways(uids(30))[0]
        view = harness.controller.admission.classes.by_name["report"]
        pool = harness.controller.pool.limit
        harness.arrive("out", "report", patience=20 * S, estimate_ns=2 * S)
        # a report is as the mean
        harness.controller.selector.capacity.mean_work_ns = 2.0 * S
        harness.controller.selector.capacity.mean_priority_weight = 10.0
        pool.full_until_ns = harness.now + 99 * S
        pool.bound_ns = pool.backlog_ns * 1.5
        view.admitted = share
        harness.arrive("r", "report", patience=20 * S, estimate_ns=2 * S)
        assert bool(harness.sends("r")) is goes
        assert (view.admitted > share) is goes


def test_what_is_beyond_a_tenants_share_moves_no_class_s_share() -> None:
    """Prevents: a flood that is refused would win room for its class."""
    harness = gateways(uids(30), tenants=(api.Tenant("acme", 0.0),))[0]
    harness.controller.pool.limit.full_until_ns = harness.now + 99 * S
    harness.controller.pool.limit.bound_ns = 0.0
    for index in range(30):
        harness.arrive(f"r{index}", "glance", estimate_ns=200 * MS, tenant="acme")
    assert any(harness.answers(f"r{index}") for index in range(30))
    assert harness.controller.admission.classes.by_name["glance"].admitted == 1.0


def test_engines_with_full_tables_are_asked_seldom_while_others_have_places() -> None:
    """Prevents: a refused connect of each of 40 brokers for each request keeps the tables full."""
    engines = uids(30)
    harness = gateways(engines, limits=PROBES)[0]
    full = set(engines[::2])
    asked = 0
    for index in range(100):
        name = f"r{index}"
        harness.arrive(name, "glance", estimate_ns=MS)
        while harness.sends(name)[-1].endpoint in full:
            asked += 1
            harness.end(name, api.AttemptResult.CONNECT_FAILED)
        harness.end(name, api.AttemptResult.SERVED, latency=MS)
        harness.pass_time(100 * MS)
    assert 0 < asked <= len(full)  # once each: from then on they are tried by probes


def test_a_full_engine_is_held_out_and_asked_before_it_gets_more() -> None:
    """Prevents: 50 brokers that each have nothing out there send one query each, again and
    again.
    """
    harness = gateways(uids(80), 200, limits=PROBES)[0]
    harness.arrive("r0", "glance", estimate_ns=MS)
    engine = harness.controller.endpoints[harness.sends("r0")[0].endpoint]
    harness.end("r0", api.AttemptResult.FULL)
    assert engine.ejected
    assert harness.sends("r0")[-1].endpoint != engine.entry.endpoint
    harness.do(
        api.HealthCheckResult(
            engine.entry.endpoint, api.AttemptResult.SERVED, MS, api.LoadReport(inflight=30.0)
        )
    )
    assert engine.ejected  # it lives, and is jammed
    harness.do(
        api.HealthCheckResult(
            engine.entry.endpoint, api.AttemptResult.SERVED, MS, api.LoadReport(inflight=3.0)
        )
    )
    assert not engine.ejected
    assert engine.in_pool


def test_an_engine_whose_answer_is_overdue_is_asked_for_its_load() -> None:
    """Prevents: an unsafe query that a jammed engine took is never answered, and the next ones
    follow it.
    """
    classes = (
        *CLASSES,
        query_class(
            "load",
            latency_objective_ns=3 * S,
            deadline_ns=25 * S,
            threads=2,
            effect=api.Effect.NON_IDEMPOTENT,
        ),
    )
    harness = Harness(
        make_settings(
            *classes, fleet_size=200, kind_cores=(("box", CORES),), contract=CONTRACT, limits=PROBES
        ),
        *(entry(e, zone="ab"[e % 2]) for e in uids(80)),
    )
    harness.arrive("r0", "load", patience=25 * S, estimate_ns=200 * MS)
    engine = harness.controller.endpoints[harness.sends("r0")[0].endpoint]
    harness.pass_time(3 * S)
    assert [e for _, e in probes_of(harness)] == [engine.entry.endpoint]
    harness.do(
        api.HealthCheckResult(
            engine.entry.endpoint, api.AttemptResult.SERVED, MS, api.LoadReport(inflight=30.0)
        )
    )
    assert engine.ejected
    assert len(harness.sends("r0")) == 1


def test_an_answer_that_was_late_does_not_clear_a_jammed_engine() -> None:
    harness = gateways(uids(80), 200, limits=PROBES)[0]
    harness.arrive("r0", "glance", patience=20 * S, estimate_ns=100 * MS)
    engine = harness.controller.endpoints[harness.sends("r0")[0].endpoint]
    harness.do(
        api.HealthCheckResult(
            engine.entry.endpoint, api.AttemptResult.SERVED, MS, api.LoadReport(inflight=30.0)
        )
    )
    harness.pass_time(250 * MS)
    harness.end("r0", api.AttemptResult.SERVED, latency=5 * S)
    assert engine.ejected


def test_what_is_held_out_and_used_no_more_is_not_held_out_for_good() -> None:
    """Prevents: while most engines are cold all brokers use all warm ones; those that were held
    out then stayed so, never asked, and out of the pool's share: 20 of 72 engines idled for the
    rest of a day.
    """
    harness = gateways(uids(80), 200, limits=PROBES)[0]
    gateway = harness.controller
    far = next(e for e in gateway.endpoints.values() if e not in gateway.pool.subset)
    share = gateway.pool.limit.thread_quota
    gateway.outliers.set_ejected(harness.now, far, True)
    assert gateway.pool.limit.thread_quota < share
    harness.pass_time(12 * S)
    assert not far.ejected
    assert gateway.pool.limit.thread_quota == pytest.approx(share)
    assert far.entry.endpoint not in {e for _, e in probes_of(harness)}


def test_reports_are_not_kept_while_sends_add_up_on_them() -> None:
    harness = gateways(uids(80), 200, limits=PROBES)[0]
    engine = harness.controller.pool.subset[0]
    harness.do(
        api.HealthCheckResult(
            engine.entry.endpoint, api.AttemptResult.SERVED, MS, api.LoadReport(memory=0.9)
        )
    )
    assert engine.load() > 0.8
    harness.pass_time(2 * S)
    assert engine.load() == 0.0


def test_seven_in_ten_brokers_return_with_empty_books_and_engines_stay_in_hand() -> None:
    """Prevents: they know nothing of what the dead have running, all start at the same bound
    and at one moment. Engines share their cores among all threads; what a dead broker sent runs
    on.
    """
    engines = uids(80)
    draw = random.Random(4)
    fleet = gateways(engines, 200, limits=PROBES)
    read = [0] * 200
    threads_by_endpoint: Counter[int] = Counter()
    ends: list[tuple[int, int, int, Harness, api.Dispatch, int, int]] = []
    sums = list[int]()
    peaks = list[int]()
    began = fleet[0].now
    count = 0
    kill = 80
    for step in range(150):
        if step == kill:
            for me in draw.sample(range(200), 140):
                fleet[me] = gateways(engines, 200, only=me, limits=PROBES)[0]
                read[me] = 0
        now = began + step * 100 * MS
        while ends and ends[0][0] <= now:
            _, _, threads, harness, send, number, sent = heapq.heappop(ends)
            threads_by_endpoint[send.endpoint] -= threads
            if harness in fleet:
                harness.end(
                    send.request_id, api.AttemptResult.SERVED, attempt=number, latency=now - sent
                )
        for me, harness in enumerate(fleet):
            harness.pass_time(now - harness.now)
            if draw.random() < 0.25:
                name, work = ("report", 2 * S) if draw.random() < 0.15 else ("glance", 200 * MS)
                harness.arrive(
                    f"{step}", name, patience=20 * S, estimate_ns=int(work * draw.uniform(0.5, 1.5))
                )
            for _, action in harness.log[read[me] :]:
                if isinstance(action, api.Dispatch):
                    request = harness.controller.requests[action.request_id]
                    threads = request.spec.threads
                    threads_by_endpoint[action.endpoint] += threads
                    crowd = max(1.0, threads_by_endpoint[action.endpoint] / CORES)
                    count += 1
                    heapq.heappush(
                        ends,
                        (
                            now + int(request.run_time() * crowd),
                            count,
                            threads,
                            harness,
                            action,
                            harness.sends(action.request_id).index(action),
                            now,
                        ),
                    )
            read[me] = len(harness.log)
        sums.append(sum(threads_by_endpoint.values()))
        peaks.append(max(threads_by_endpoint.values()))
    usual = sum(sums[60:kill]) / (kill - 60)
    assert 0.2 * 80 * CORES < usual < 80 * CORES  # there is load, and no overload
    assert max(sums[kill:]) < 1.5 * usual  # nor any when they return
    assert max(peaks[kill:]) < 4 * CORES
    assert sum(sums[-20:]) / 20 < 1.2 * usual  # five seconds later it is as before
