"""Leases under crashes, pauses, lost messages and partitions, on a simulated clock."""

from __future__ import annotations

import random
from typing import Any

import pytest

from query_broker.emulator.quota_simulation import (
    FaultInjector,
    QuotaSimulation,
    SimulatedConditions,
)
from query_broker.quotas import leadership, voting
from query_broker.quotas.leadership import LeaderElection
from query_broker.quotas.settings import (
    NS_PER_S,
    LimitSettings,
    QuotaKind,
    QuotaSettings,
    expiry_wait_ns,
    holder_duration_ns,
    max_overshoot_per_s,
)
from query_broker.quotas.sharding import preferred_leader

SETTINGS = QuotaSettings(
    limits=(
        LimitSettings("a", rate=100.0),
        LimitSettings("f", QuotaKind.RETRIES, 50.0),
    )
)
LIMITS = {"a": 100.0, "b": 50.0}
LEASED_PER_S = 80.0  # the leased part of limit "a": a fifth of it is guaranteed
ROUNDING_ERROR = 1e-6


def simulation_with_leases(count: int = 10) -> QuotaSimulation:
    """Return brokers with unequal demand for "a" that already have leases."""
    simulation = QuotaSimulation(count, SETTINGS, LIMITS, 1, SimulatedConditions(0.01))
    for broker in simulation.brokers:
        demand = [1.0, 10.0, 100.0][broker.number % 3]
        broker.leases.holder.wanted_per_s = {"a": demand, "b": 10.0}
    simulation.run(20)
    return simulation


@pytest.fixture
def simulation() -> QuotaSimulation:
    return simulation_with_leases()


def faulty_simulation(seed: int, conditions: SimulatedConditions) -> QuotaSimulation:
    simulation = QuotaSimulation(10, SETTINGS, LIMITS, seed, conditions)
    FaultInjector(simulation, seed).schedule(50)
    return simulation


def test_whole_limit_is_leased_and_busy_holders_get_more(simulation: QuotaSimulation) -> None:
    assert simulation.valid_per_s("a") == pytest.approx(LEASED_PER_S, rel=0.02)
    assert simulation.worst_overshoot_per_s["a"] <= 1e-9
    # One of the three brokers that want 100; its equal share would be a tenth.
    busy_amount = simulation.brokers[2].amount_per_s("a", simulation.now_ns)
    assert busy_amount > 1.8 * LEASED_PER_S / 10


def test_only_broker_with_demand_gets_nearly_all_of_the_limit(simulation: QuotaSimulation) -> None:
    for broker in simulation.brokers:
        broker.leases.holder.wanted_per_s["a"] = 300.0 * (broker.number == 4)
    simulation.run(10)
    amount = simulation.brokers[4].amount_per_s("a", simulation.now_ns)
    assert amount > 0.95 * LEASED_PER_S


@pytest.mark.parametrize("seed", range(24))
def test_faults_never_exceed_the_limit_or_elect_two_leaders(seed: int) -> None:
    """Faults: killed, restarted and paused holders and leaders, partitions in one direction and in
    both, lost and late messages, the maximum clock drift, and views delayed by up to 10 s.
    """
    loss = random.Random(seed).choice([0.0, 0.1, 0.3])
    view_delay_ns = random.Random(seed).choice([NS_PER_S // 2, 4 * NS_PER_S, 10 * NS_PER_S])
    simulation = faulty_simulation(seed, SimulatedConditions(0.01, loss, view_delay_ns))
    simulation.run(60)
    assert max(simulation.worst_overshoot_per_s.values()) <= ROUNDING_ERROR


def skip_expiry_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Break the wait of voters and new leaders for the expiry of earlier votes and leases."""
    for module in (voting, leadership):
        monkeypatch.setattr(module, "expiry_wait_ns", lambda duration_ns, clock_drift: 0)


def elect_by_single_vote(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a broker grant leases with a single vote instead of a majority."""

    def has_authority(self: LeaderElection, shard: int, now_ns: int) -> bool:
        if shard not in self.leaderships:
            return False
        votes = self.leaderships[shard].votes
        return any(expires_at_ns > now_ns for expires_at_ns in votes.values())

    monkeypatch.setattr(LeaderElection, "has_authority", has_authority)


@pytest.mark.parametrize(
    ("break_protocol", "seeds"),
    [
        pytest.param(skip_expiry_waits, 12, id="no wait for the last leader's leases"),
        pytest.param(elect_by_single_vote, 8, id="one vote is enough"),
    ],
)
def test_auditor_finds_a_broken_protocol(
    break_protocol: Any, seeds: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an audit that passes whatever the protocol does."""
    break_protocol(monkeypatch)
    violation_count = 0
    for seed in range(seeds):
        simulation = faulty_simulation(seed, SimulatedConditions(0.01, 0.1))
        try:
            simulation.run(60)
        except AssertionError:
            violation_count += 1
        else:
            violation_count += max(simulation.worst_overshoot_per_s.values()) > ROUNDING_ERROR
    assert violation_count


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
    assert on_minority_side < 1e-9  # only the guaranteed part is left
    if others_have_majority:
        assert on_other_side > 70
    else:
        assert on_other_side < 1e-9
    simulation.run(40)
    assert_respected_and_in_use(simulation)


def test_limit_is_respected_and_used_by_two_hundred_holders() -> None:
    simulation = simulation_with_leases(200)
    assert simulation.leader("a") is not None
    simulation.run(10)
    assert_respected_and_in_use(simulation)


def test_lease_has_expired_after_a_pause_as_long_as_the_lease(simulation: QuotaSimulation) -> None:
    now_ns = simulation.now_ns
    holder = max(simulation.brokers, key=lambda broker: broker.amount_per_s("a", now_ns))
    assert holder.amount_per_s("a", now_ns) > 10
    # The expiry depends only on its own clock, not on a timer or a message.
    assert holder.amount_per_s("a", now_ns + SETTINGS.lease_ns) == 0.0


def test_halved_limit_is_respected_once_leases_have_expired(simulation: QuotaSimulation) -> None:
    for broker in simulation.brokers:
        broker.leases.state.limits["a"] = 40.0
    simulation.run(SETTINGS.lease_ns / NS_PER_S + 2)
    assert simulation.valid_per_s("a") <= 40 + ROUNDING_ERROR


def test_nothing_is_leased_to_more_brokers_than_the_fleet_size() -> None:
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
