"""The failure detector on a simulated clock, with links and members that fail."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import pytest

from query_broker.emulator.membership_simulation import (
    BEGIN_NS,
    LinkProperty,
    Removal,
    SimulatedCluster,
    SimulatedMember,
)
from query_broker.membership.failure_detector import FailureDetector
from query_broker.membership.incarnations import CHECKPOINT_INTERVAL, IncarnationChain
from query_broker.membership.messages import Ack, Claim, Identity, Ping, Status
from query_broker.membership.settings import NS_PER_S
from query_broker.membership.timing import detection_bounds, evidence_limit_ns

from ..support.members_support import SETTINGS, make_detector

FLEET_SIZE = 24
JOIN_S = 10


def cut_between(begin_s: float, end_s: float, is_cut: Callable[[int, int], bool]) -> LinkProperty:
    """Return the loss of links that are cut for some time of the simulation."""

    def loss(now_ns: int, sender: int, receiver: int) -> float:
        is_active = begin_s * NS_PER_S <= now_ns - BEGIN_NS < end_s * NS_PER_S
        return float(is_active and is_cut(sender, receiver))

    return loss


def start_cluster(
    count: int = FLEET_SIZE, loss: LinkProperty | None = None, seed: int = 1, **more: Any
) -> SimulatedCluster:
    """Return a cluster that has run for ten seconds."""
    cluster = SimulatedCluster(count, SETTINGS, seed, loss, **more)
    cluster.run(JOIN_S)
    return cluster


def wrong_removals(cluster: SimulatedCluster) -> list[Removal]:
    """Return the removals of members that ran all the time."""
    return cluster.removals([member.detector.me for member in cluster.running_members()])


def worst_removal_s(size: int) -> float:
    """Return the bound that is printed to operators."""
    return detection_bounds(SETTINGS, size).removed.worst_s


def is_present_at_any(identity: Identity, members: Iterable[SimulatedMember]) -> bool:
    return any(identity in member.detector.present() for member in members)


# --- members that end ---


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("count", [2, 3, 10, 60])
def test_a_member_that_ends_is_removed_by_all_within_the_printed_bound(
    count: int, seed: int
) -> None:
    cluster = start_cluster(count, seed=seed)
    cluster.kill([1])
    ended_ns = cluster.now
    assert cluster.run(worst_removal_s(count), cluster.agree)
    assert not wrong_removals(cluster)
    assert all(removal.removed_at_ns > ended_ns for removal in cluster.removals())


def test_seven_in_ten_that_end_at_once_are_all_removed() -> None:
    cluster = start_cluster()
    cluster.kill(range(17))
    assert cluster.run(worst_removal_s(FLEET_SIZE), cluster.agree)
    assert not wrong_removals(cluster)


def test_members_that_restart_are_known_by_their_new_identities() -> None:
    cluster = start_cluster()
    for first in range(0, FLEET_SIZE, 2):
        restarted = (first, first + 1)
        former = [cluster.members[number].detector.me for number in restarted]
        for number in restarted:
            seeds = [(number + 5) % FLEET_SIZE, (number + 9) % FLEET_SIZE]
            cluster.restart(number, seeds)
        assert cluster.run(30, cluster.agree), first
        for identity in former:
            assert not is_present_at_any(identity, cluster.members)


def test_another_process_at_an_address_replaces_the_former_before_its_suspicion_ends() -> None:
    cluster = start_cluster(8)
    former = cluster.members[2].detector.me
    cluster.kill([2])
    cluster.run(0.5)
    successor = cluster.restart(5, [0, 1], cluster.members[2].address).detector.me
    assert successor.address == former.address
    assert successor != former
    cluster.run(5)
    assert not is_present_at_any(former, cluster.running_members())
    for member in cluster.running_members():
        assert successor in {*member.detector.present(), member.detector.me}


def test_a_leave_is_no_suspicion() -> None:
    cluster = start_cluster(8)
    left = cluster.members[2].detector.me
    cluster.leave(2)
    assert cluster.run(8, cluster.agree)
    assert not [
        change
        for member in cluster.members
        for _, change in member.changes
        if change.member == left and change.status is Status.SUSPECT
    ]


def test_a_leave_that_another_member_announces_is_rejected() -> None:
    cluster = start_cluster(8)
    cluster.leave(2)
    assert cluster.run(8, cluster.agree)
    victim = cluster.members[3].detector
    receiver = cluster.members[5].detector
    spoofed = Claim(victim.me, 0, Status.LEFT, victim.own.chain.proof(0), b"y" * 12)
    receiver.merger.merge(cluster.now, spoofed)
    cluster.members[4].detector.gossip.add(spoofed)
    cluster.run(20)
    assert cluster.agree()
    assert receiver.statistics["unproven"] >= 1


# --- faulty links ---


class LinkFault(NamedTuple):
    """What links lose, and by how much they delay."""

    loss: LinkProperty | None
    delay_ns: LinkProperty | None = None


LINK_FAULTS = {
    "a third of all messages lost": LinkFault(lambda now, sender, receiver: 0.33),
    "nine in ten of one member's lost": LinkFault(
        lambda now, sender, receiver: 0.9 * (3 in (sender, receiver))
    ),
    "one direction of a link cut": LinkFault(
        cut_between(0, 99, lambda sender, receiver: (sender, receiver) == (3, 4))
    ),
    "two of three groups cut from each other": LinkFault(
        cut_between(0, 99, lambda sender, receiver: {sender // 8, receiver // 8} == {0, 2})
    ),
    "two seconds' delay of one member's links": LinkFault(
        None, lambda now, sender, receiver: 2 * NS_PER_S * (3 in (sender, receiver))
    ),
    "two seconds' delay of all links": LinkFault(None, lambda now, sender, receiver: 2 * NS_PER_S),
    "messages overtake each other": LinkFault(
        None, lambda now, sender, receiver: (now * 7919 % 1_000) * 1_000_000
    ),
}


@pytest.mark.parametrize("fault", LINK_FAULTS.values(), ids=LINK_FAULTS)
def test_no_healthy_member_is_removed_whatever_its_links_do(fault: LinkFault) -> None:
    cluster = start_cluster(loss=fault.loss, delay_ns=fault.delay_ns)
    cluster.run(60)
    assert wrong_removals(cluster) == []


def test_a_member_that_receives_nothing_is_not_removed_and_knows_that_it_is_isolated() -> None:
    """It may be wrong about the others: it knows that, and its view is not certain."""
    deaf = 3
    cluster = start_cluster(loss=cut_between(0, 99, lambda sender, receiver: receiver == deaf))
    cluster.run(60)
    assert [removal for removal in wrong_removals(cluster) if removal.removed_by != deaf] == []
    assert cluster.members[deaf].detector.health.is_isolated(23)


@pytest.mark.parametrize("seed", range(6))
def test_suspicions_begin_anew_once_a_cut_off_member_receives_again(seed: int) -> None:
    """As its health score falls, so do its timeouts: all its suspicions would end at once."""

    def loss(now_ns: int, sender: int, receiver: int) -> float:
        elapsed_s = (now_ns - BEGIN_NS) / NS_PER_S
        if 10 <= elapsed_s < 26:
            return float(receiver == 4)
        if 26 <= elapsed_s < 60:
            return float({sender // 2, receiver // 2} == {0, 2})
        return 0.0

    cluster = start_cluster(6, loss=loss, seed=seed)
    cluster.run(50)
    receives_again_ns = BEGIN_NS + 26 * NS_PER_S
    late = [
        removal for removal in wrong_removals(cluster) if removal.removed_at_ns > receives_again_ns
    ]
    assert late == []


def test_a_member_that_no_other_hears_is_removed_and_returns() -> None:
    cluster = start_cluster(loss=cut_between(10, 50, lambda sender, receiver: sender == 3))
    others = [member for member in cluster.members if member.number != 3]
    cluster.run(40)
    assert cluster.all_have_view([member.detector.me for member in others], others)
    assert cluster.run(30, cluster.agree)


PARTITIONS: dict[str, Callable[[int], int]] = {
    "50/50": lambda number: number < 12,
    "90/10": lambda number: number < 2,
    "three ways": lambda number: number % 3,
}


@pytest.mark.parametrize("side", PARTITIONS.values(), ids=PARTITIONS)
def test_a_partition_is_detected_and_heals_without_a_storm(side: Callable[[int], int]) -> None:
    cluster = start_cluster(
        loss=cut_between(10, 70, lambda sender, receiver: side(sender) != side(receiver))
    )
    cluster.run(60)
    for member in cluster.members:
        present = {identity.address for identity in member.detector.present()}
        reachable = {
            other.address
            for other in cluster.members
            if side(other.number) == side(member.number) and other is not member
        }
        assert present >= reachable
        # Few that hear few doubt themselves first, and are slow to accuse.
        assert len(reachable) < 7 or present == reachable
    messages_before = cluster.message_count
    healed_ns = cluster.now
    assert cluster.run(60, cluster.agree)
    healing_s = (cluster.now - healed_ns) / NS_PER_S
    assert (cluster.message_count - messages_before) / FLEET_SIZE / healing_s < 20


# --- members that pause ---

PAUSES = {
    "one for 10 s": ([3], 10),
    "a third for 10 s": (range(8), 10),
    "all for 10 s": (range(FLEET_SIZE), 10),
    "two for 40 s": ([0, 1], 40),
}


@pytest.mark.parametrize(("paused", "seconds"), PAUSES.values(), ids=PAUSES)
def test_members_that_were_paused_accuse_no_other_when_they_wake(
    paused: Iterable[int], seconds: float
) -> None:
    cluster = start_cluster()
    cluster.pause(paused, seconds)
    asleep = set(paused)
    awake = [member.detector.me for member in cluster.members if member.number not in asleep]
    cluster.run(seconds + 30)
    assert cluster.removals(awake) == []
    assert cluster.agree()
    accused = Counter(
        change.member
        for member in cluster.members
        if member.number in asleep
        for _, change in member.changes
        if change.status is Status.SUSPECT
        and change.member in awake
        and member.detector.me.address in change.reason
    )
    assert not accused


# --- faulty members ---


def accuse_all(cluster: SimulatedCluster, liar: FailureDetector, second: int) -> None:
    """Have a member claim that all others are dead, each second under other names."""
    for member in cluster.members:
        accused = member.detector
        if accused is liar:
            continue
        reporter = cluster.members[(second + member.number) % len(cluster.members)]
        claim = Claim(
            accused.me,
            accused.own.incarnation,
            Status.DEAD,
            accused.own.chain.proof(accused.own.incarnation),
            accused.own.chain.leave_commitment,
            reporter.address,
        )
        liar.gossip.add(claim)


def revive(liar: FailureDetector, dead: FailureDetector, second: int) -> None:
    """Have a member claim that one that has ended is alive, and has been heard."""
    chain = dead.own.chain
    liar.gossip.add(Claim(dead.me, 3, Status.ALIVE, b"z" * 12, chain.leave_commitment))
    liar.gossip.add(
        Claim(
            dead.me,
            0,
            Status.EVIDENCE,
            chain.proof(0),
            chain.leave_commitment,
            liar.me.address,
            sequence=10**9 + second,
        )
    )


def test_a_member_that_lies_about_all_others_removes_and_revives_no_member() -> None:
    size = 12
    cluster = start_cluster(size)
    cluster.kill([5])
    dead = cluster.members[5].detector
    liar = cluster.members[4].detector
    for second in range(40):
        accuse_all(cluster, liar, second)
        revive(liar, dead, second)
        cluster.run(1)
    cluster.run(evidence_limit_ns(SETTINGS.interval_ns, size) / NS_PER_S)
    assert not wrong_removals(cluster)
    assert not is_present_at_any(dead.me, cluster.running_members())


def test_a_message_to_the_former_process_says_nothing_of_its_sender() -> None:
    """Messages replayed from before a restart would keep a dead member alive."""
    cluster = start_cluster(3)
    receiver = cluster.members[0].detector
    sender = cluster.members[1].detector
    cluster.kill([1])
    record = receiver.table.records[sender.me]
    received_ns = record.received_ns
    own_claim = sender.own.claim()
    receiver.receive(cluster.now, b"another boot", 10**6, own_claim, Ping(1, "", (own_claim,)))
    assert record.received_ns == received_ns
    assert record.sequence < 10**6
    answer = receiver.take_outgoing()[-1].message
    assert isinstance(answer, Ack)
    assert answer.responder == receiver.me


def test_members_that_have_ended_are_forgotten() -> None:
    detector = make_detector("h:1")
    for number in range(300):
        chain = IncarnationChain(b"%d" % number, CHECKPOINT_INTERVAL)
        identity = Identity(f"g{number}:1", chain.boot)
        claim = Claim(identity, 0, Status.DEAD, chain.proof(0), chain.leave_commitment)
        detector.merger.merge(BEGIN_NS, claim)
    assert len(detector.table.records) == 300
    assert detector.present() == []
    detector.tick(BEGIN_NS + 2 * SETTINGS.forget_after_ns)
    assert detector.table.records == {}
