"""Shared limits: fair allocation, leases, usage counters, settings; on a simulated clock."""

from __future__ import annotations

import ast
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.emulator.quota_simulation import (
    BEGIN_NS,
    FaultInjector,
    QuotaSimulation,
    SimulatedConditions,
    max_concurrent_leases_per_s,
)
from query_broker.operator_config.script import OperatorFileError, run_script
from query_broker.quotas import leadership, voting
from query_broker.quotas.counters import UsageCounters
from query_broker.quotas.fair_allocation import DemandForecast, max_min_fair
from query_broker.quotas.leadership import LeaderElection
from query_broker.quotas.lease_log import LeaseRecord
from query_broker.quotas.leases import LeaseManager
from query_broker.quotas.messages import UsageReport, UsageReports
from query_broker.quotas.settings import (
    NS_PER_S,
    LimitSettings,
    QuotaKind,
    QuotaSettings,
    describe_bounds,
    expiry_wait_ns,
    holder_duration_ns,
    max_overshoot_per_s,
)
from query_broker.quotas.sharding import preferred_leader

from ..support.quota_model import PropertyViolatedError, explore, replay

SETTINGS = QuotaSettings(
    limits=(
        LimitSettings("a", rate=100.0),
        LimitSettings("f", QuotaKind.RETRIES, 50.0),
    )
)
LIMITS = {"a": 100.0, "b": 50.0}
LEASED_PER_S = 80.0  # of limit "a", without the guaranteed fifth
ROUNDING_ERROR = 1e-6


# --- fair allocation ---


@given(st.lists(st.floats(0, 100), min_size=1, max_size=20), st.floats(0, 500))
def test_allocation_meets_demands_up_to_a_common_level(
    demands: list[float], capacity: float
) -> None:
    allocation = max_min_fair(
        {str(position): demand for position, demand in enumerate(demands)}, capacity
    )
    assert sum(allocation.values()) <= capacity + 1e-6
    assert sum(allocation.values()) == pytest.approx(min(capacity, sum(demands)))
    level = max(allocation.values())
    for position, demand in enumerate(demands):
        allocated = allocation[str(position)]
        assert allocated <= demand + 1e-9
        assert allocated >= min(demand, level) - 1e-6


def test_forecast_rises_at_once_and_falls_slowly() -> None:
    forecast = DemandForecast()
    for demand_per_s in (0, 0, 100):
        forecast.record(demand_per_s)
    assert forecast.predicted_per_s() >= 125
    forecast.record(0)
    assert 0 < forecast.predicted_per_s() < 100


# --- leases ---


def settled_simulation(count: int = 10) -> QuotaSimulation:
    """Return brokers with uneven demand for "a", after leaders were elected and have granted."""
    simulation = QuotaSimulation(count, SETTINGS, LIMITS, 1, SimulatedConditions(0.01))
    for broker in simulation.brokers:
        demand = [1.0, 10.0, 100.0][broker.number % 3]
        broker.leases.holder.wanted_per_s = {"a": demand, "b": 10.0}
    simulation.run(20)
    return simulation


@pytest.fixture
def simulation() -> QuotaSimulation:
    return settled_simulation()


def faulty_simulation(seed: int, conditions: SimulatedConditions) -> QuotaSimulation:
    simulation = QuotaSimulation(10, SETTINGS, LIMITS, seed, conditions)
    FaultInjector(simulation, seed).schedule(50)
    return simulation


def test_uneven_demand_is_met_from_what_others_leave(simulation: QuotaSimulation) -> None:
    assert simulation.valid_per_s("a") == pytest.approx(LEASED_PER_S, rel=0.02)
    assert simulation.worst_overshoot_per_s["a"] <= 1e-9
    # One of three that want a hundred, where an even division gives a tenth.
    busy = simulation.brokers[2].amount_per_s("a", simulation.now_ns)
    assert busy > 1.8 * LEASED_PER_S / 10


def test_only_broker_with_demand_gets_nearly_all_of_the_limit(simulation: QuotaSimulation) -> None:
    for broker in simulation.brokers:
        broker.leases.holder.wanted_per_s["a"] = 300.0 * (broker.number == 4)
    simulation.run(10)
    amount = simulation.brokers[4].amount_per_s("a", simulation.now_ns)
    assert amount > 0.95 * LEASED_PER_S


@pytest.mark.parametrize("seed", range(24))
def test_no_fault_leases_a_token_twice_or_elects_two_leaders(seed: int) -> None:
    """Kills, restarts and pauses of holders and leaders, partitions one way and both ways, losses,
    late messages, clocks that differ by all that is allowed, views that lag by up to ten seconds.
    """
    loss = random.Random(seed).choice([0.0, 0.1, 0.3])
    view_delay_ns = random.Random(seed).choice([NS_PER_S // 2, 4 * NS_PER_S, 10 * NS_PER_S])
    simulation = faulty_simulation(seed, SimulatedConditions(0.01, loss, view_delay_ns))
    simulation.run(60)
    assert max(simulation.worst_overshoot_per_s.values()) <= ROUNDING_ERROR


def does_not_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let neither voters nor new leaders wait until what was granted before has expired."""
    for module in (voting, leadership):
        monkeypatch.setattr(module, "expiry_wait_ns", lambda duration_ns, clock_drift: 0)


def one_vote_is_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a broker grant with a single vote in place of a majority."""

    def has_authority(self: LeaderElection, shard: int, now_ns: int) -> bool:
        if shard not in self.leaderships:
            return False
        votes = self.leaderships[shard].votes
        return any(expires_at_ns > now_ns for expires_at_ns in votes.values())

    monkeypatch.setattr(LeaderElection, "has_authority", has_authority)


@pytest.mark.parametrize(
    ("break_protocol", "seeds"),
    [
        pytest.param(does_not_wait, 12, id="no wait for the last leader's leases"),
        pytest.param(one_vote_is_enough, 8, id="one vote is enough"),
    ],
)
def test_auditor_finds_a_broken_protocol(
    break_protocol: Any, seeds: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A check that cannot fail proves nothing."""
    break_protocol(monkeypatch)
    found = 0
    for seed in range(seeds):
        simulation = faulty_simulation(seed, SimulatedConditions(0.01, 0.1))
        try:
            simulation.run(60)
        except AssertionError:
            found += 1
        else:
            found += max(simulation.worst_overshoot_per_s.values()) > ROUNDING_ERROR
    assert found


def assert_respected_and_in_use(simulation: QuotaSimulation) -> None:
    assert max(simulation.worst_overshoot_per_s.values()) <= ROUNDING_ERROR
    assert simulation.valid_per_s("a") > 60


def kill_leader(simulation: QuotaSimulation, leader: int) -> None:
    simulation.kill([leader])


def pause_leader(simulation: QuotaSimulation, leader: int) -> None:
    simulation.pause(leader, 12)


@pytest.mark.parametrize("inject", [kill_leader, pause_leader], ids=["killed", "paused"])
def test_limit_is_respected_and_used_after_its_leader_fails(
    inject: Any, simulation: QuotaSimulation
) -> None:
    leader = simulation.leader("a")
    assert leader is not None
    inject(simulation, leader.number)
    simulation.run(40)
    assert_respected_and_in_use(simulation)


@pytest.mark.parametrize(
    ("minority", "others_have_majority"),
    [
        pytest.param(range(5), False, id="two halves"),
        pytest.param(range(1), True, id="one against nine"),
    ],
)
def test_only_a_majority_grants_during_a_partition(
    minority: range, others_have_majority: bool, simulation: QuotaSimulation
) -> None:
    assert simulation.leader("a") is not None
    until_ns = simulation.now_ns + 20 * NS_PER_S
    simulation.is_cut = lambda now_ns, sender, recipient: (
        now_ns < until_ns and (sender in minority) != (recipient in minority)
    )
    simulation.run(18)
    amounts = [broker.amount_per_s("a", simulation.now_ns) for broker in simulation.brokers]
    on_minority_side = sum(amounts[number] for number in minority)
    on_other_side = sum(amounts[number] for number in range(10) if number not in minority)
    assert on_minority_side < 1e-9  # falls to its guaranteed part
    if others_have_majority:
        assert on_other_side > 70
    else:
        assert on_other_side < 1e-9
    simulation.run(40)
    assert_respected_and_in_use(simulation)


def test_limit_is_respected_and_used_by_two_hundred_holders() -> None:
    simulation = settled_simulation(200)
    assert simulation.leader("a") is not None
    simulation.run(10)
    assert_respected_and_in_use(simulation)


def test_holder_paused_past_its_lease_wakes_to_none(simulation: QuotaSimulation) -> None:
    now_ns = simulation.now_ns
    holder = max(simulation.brokers, key=lambda broker: broker.amount_per_s("a", now_ns))
    assert holder.amount_per_s("a", now_ns) > 10
    # By its own clock, before any timer or message.
    assert holder.amount_per_s("a", now_ns + SETTINGS.lease_ns) == 0.0


def test_halved_limit_is_respected_once_leases_have_expired(simulation: QuotaSimulation) -> None:
    for broker in simulation.brokers:
        broker.leases.state.limits["a"] = 40.0
    simulation.run(SETTINGS.lease_ns / NS_PER_S + 2)
    assert simulation.valid_per_s("a") <= 40 + ROUNDING_ERROR


def test_nothing_is_leased_with_more_brokers_than_the_fleet_size() -> None:
    simulation = QuotaSimulation(10, SETTINGS, LIMITS, 1)
    for broker in simulation.brokers:
        broker.leases.state.fleet_size = 4
        broker.leases.holder.wanted_per_s = {"a": 50.0}
    simulation.run(30)
    assert simulation.valid_per_s("a") == 0
    assert simulation.worst_overshoot_per_s["a"] <= 0


@pytest.mark.parametrize("drift", [0.001, 0.01, 0.1])
def test_holder_relies_on_a_lease_for_less_time_than_the_leader(drift: float) -> None:
    lease_ns = 4 * NS_PER_S
    assert holder_duration_ns(lease_ns, drift) / (1 - drift) <= lease_ns / (1 + drift) + 1
    assert expiry_wait_ns(lease_ns, drift) / (1 + drift) >= lease_ns / (1 - drift) - 1


def test_hard_limit_is_exceeded_only_beyond_the_allowed_clock_drift() -> None:
    hard_limit = SETTINGS.limits[0]
    assert max_overshoot_per_s(SETTINGS, hard_limit, 100, 10) == 0
    assert max_overshoot_per_s(SETTINGS, hard_limit, 100, 10, 0.05) > 0


def test_shards_of_remaining_members_keep_their_leader() -> None:
    members = tuple(f"b{number}" for number in range(20))
    before = {shard: preferred_leader(shard, members) for shard in range(8)}
    remaining = tuple(member for member in members if member != before[0])
    after = {shard: preferred_leader(shard, remaining) for shard in range(8)}
    assert all(after[shard] == before[shard] or before[shard] == before[0] for shard in before)


# --- the model checker ---


def test_every_order_of_events_among_three_brokers_keeps_two_tokens() -> None:
    assert explore(3) > 1_000


def test_model_checker_finds_a_holder_that_ignores_its_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def amount_per_s(self: LeaseManager, limit: str, now_ns: int) -> float:
        lease = self.holder.leases.get(limit)
        return 0.0 if lease is None else lease.amount_per_s

    monkeypatch.setattr(LeaseManager, "amount_per_s", amount_per_s)
    with pytest.raises(PropertyViolatedError, match="replay") as violation:
        explore(3)
    schedule = ast.literal_eval(str(violation.value).split("replay(", 1)[1][:-1])
    with pytest.raises(PropertyViolatedError):
        replay(schedule)


@pytest.mark.parametrize(
    ("other_record", "most_per_s"),
    [
        pytest.param(
            [LeaseRecord(60, "a", 3.0, 80), LeaseRecord(10, "b", 100.0, 500)],
            5.0,
            id="after the first was reduced",
        ),
        pytest.param([LeaseRecord(40, "a", 3.0, 80)], 8.0, id="while the first is in force"),
    ],
)
def test_records_of_processes_are_added_up_by_time(
    other_record: list[LeaseRecord], most_per_s: float
) -> None:
    record = [
        LeaseRecord(0, "a", 5.0, 100),
        LeaseRecord(50, "a", 2.0, 90),
        LeaseRecord(95, "a", 4.0, 200),
    ]
    assert max_concurrent_leases_per_s([record, other_record], "a") == most_per_s


# --- usage counters ---

BROKERS = [f"m{number}" for number in range(4)]


@pytest.fixture
def counters() -> UsageCounters:
    """Return counters that received three reports of each other broker, shuffled and twice."""
    draw = random.Random(3)
    counters = UsageCounters("m0", NS_PER_S, draw.random)
    reports = [
        UsageReport(broker, version, 0, (("f", float(10 * version)),))
        for broker in BROKERS[1:]
        for version in (1, 2, 3)
    ]
    draw.shuffle(reports)
    for report in [*reports, *reports]:
        counters.receive(BEGIN_NS, UsageReports((report,)), BROKERS)
    return counters


def test_usage_reports_merge_in_any_order(counters: UsageCounters) -> None:
    assert {known.report.version for known in counters.reports.values()} == {3}


def test_even_part_is_ours_whatever_others_use(counters: UsageCounters) -> None:
    assert counters.quota(BEGIN_NS, "f", 100.0, 4, BROKERS) == (25.0, 0)  # others use 90


def test_quota_is_twice_the_own_use_until_reports_are_stale(counters: UsageCounters) -> None:
    reports = tuple(UsageReport(broker, 4, 0, (("f", 5.0),)) for broker in BROKERS[1:])
    counters.receive(BEGIN_NS, UsageReports(reports), BROKERS)
    counters.next_round(BEGIN_NS, {"f": 40.0}, BROKERS)
    assert counters.quota(BEGIN_NS, "f", 100.0, 4, BROKERS)[0] == 80.0
    later_ns = BEGIN_NS + 4 * NS_PER_S
    assert counters.quota(later_ns, "f", 100.0, 4, BROKERS)[0] == 25.0


def test_reports_of_strangers_or_of_negative_age_are_ignored(counters: UsageCounters) -> None:
    newest = tuple(UsageReport(broker, 4, 0, (("f", 5.0),)) for broker in BROKERS[1:])
    counters.receive(BEGIN_NS, UsageReports(newest), BROKERS)
    invalid = (UsageReport("stranger", 1, 0, (("f", 0.0),)), UsageReport("m1", 9, -5, ()))
    counters.receive(BEGIN_NS, UsageReports(invalid), BROKERS)
    assert "stranger" not in counters.reports
    assert counters.reports["m1"].report.version == 4


# --- the operators' file ---

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
    ids=[
        "limit without members",
        "verdicts without members",
        "limit twice",
        "unknown kind",
        "retries without a rate",
        "work with a rate",
        "no drift",
        "no lease",
        "nothing guaranteed",
        "one observer",
        "more than all of a zone",
    ],
)
def test_invalid_directive_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError) as error:
        run_script("ops.star", text, lambda: False)
    assert f": {key}: " in str(error.value)


def test_check_config_describes_the_bounds_of_each_limit() -> None:
    text = "\n".join(describe_bounds(SETTINGS, 24))
    assert "0 while clocks differ by less than 1.0%" in text
    assert "0.96 of it, once" in text
