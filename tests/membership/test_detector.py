"""The failure detector on a simulated clock, with faulty links and members."""

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
    """Return the loss of links that are cut for a period of the simulation."""

    def loss(now_ns: int, sender: int, receiver: int) -> float:
        is_active = begin_s * NS_PER_S <= now_ns - BEGIN_NS < end_s * NS_PER_S
        return float(is_active and is_cut(sender, receiver))

    return loss


def start_cluster(
    count: int = FLEET_SIZE, loss: LinkProperty | None = None, seed: int = 1, **options: Any
) -> SimulatedCluster:
    """Return a cluster that has run for `JOIN_S` seconds."""
    cluster = SimulatedCluster(count, SETTINGS, seed, loss, **options)
    cluster.run(JOIN_S)
    return cluster


def false_removals(cluster: SimulatedCluster) -> list[Removal]:
    """Return the removals of members that ran all the time."""
    return cluster.removals([member.detector.me for member in cluster.running_members()])


def worst_removal_s(size: int) -> float:
    """Return the printed worst-case time until all members have removed an ended one."""
    return detection_bounds(SETTINGS, size).removed.worst_s


def is_present_at_any(identity: Identity, members: Iterable[SimulatedMember]) -> bool:
    return any(identity in member.detector.present() for member in members)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("count", [2, 3, 10, 60])
def test_a_member_that_ends_is_removed_by_all_within_the_printed_bound(
    count: int, seed: int
) -> None:
    cluster = start_cluster(count, seed=seed)
    cluster.kill([1])
    ended_ns = cluster.now
    assert cluster.run(worst_removal_s(count), cluster.agree)
    assert not false_removals(cluster)
    assert all(removal.removed_at_ns > ended_ns for removal in cluster.removals())


def test_17_of_24_members_that_end_at_once_are_all_removed() -> None:
    cluster = start_cluster()
    cluster.kill(range(17))
    assert cluster.run(worst_removal_s(FLEET_SIZE), cluster.agree)
    assert not false_removals(cluster)


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


def test_a_new_process_at_an_address_replaces_the_former_before_a_suspicion_expires() -> None:
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


def test_a_member_that_leaves_is_not_suspected() -> None:
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


class LinkFault(NamedTuple):
    """The loss and the delay of links."""

    loss: LinkProperty | None
    delay_ns: LinkProperty | None = None


LINK_FAULTS = {
    "a third of all messages lost": LinkFault(lambda now, sender, receiver: 0.33),
    "nine in ten messages of one member lost": LinkFault(
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
def test_no_running_member_is_removed_on_faulty_links(fault: LinkFault) -> None:
    cluster = start_cluster(loss=fault.loss, delay_ns=fault.delay_ns)
    cluster.run(60)
    assert false_removals(cluster) == []


def test_a_member_that_receives_nothing_is_not_removed_and_detects_its_isolation() -> None:
    """Its own removals of others are ignored, as its isolation makes its view uncertain."""
    isolated = 3
    cluster = start_cluster(loss=cut_between(0, 99, lambda sender, receiver: receiver == isolated))
    cluster.run(60)
    assert [removal for removal in false_removals(cluster) if removal.removed_by != isolated] == []
    assert cluster.members[isolated].detector.health.is_isolated(23)


@pytest.mark.parametrize("seed", range(6))
def test_suspicion_timers_restart_once_a_cut_off_member_receives_again(seed: int) -> None:
    """Otherwise its timeouts shrink with its health score, and all suspicions expire at once."""

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
    late_removals = [
        removal for removal in false_removals(cluster) if removal.removed_at_ns > receives_again_ns
    ]
    assert late_removals == []


def test_a_member_whose_messages_are_lost_is_removed_and_returns() -> None:
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
def test_a_partition_is_detected_and_heals_without_a_message_storm(
    side: Callable[[int], int],
) -> None:
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
        # In a small side, raised health scores extend the timeouts and delay removals.
        assert len(reachable) < 7 or present == reachable
    messages_before = cluster.message_count
    healed_ns = cluster.now
    assert cluster.run(60, cluster.agree)
    healing_s = (cluster.now - healed_ns) / NS_PER_S
    assert (cluster.message_count - messages_before) / FLEET_SIZE / healing_s < 20


PAUSES = {
    "one for 10 s": ([3], 10),
    "a third for 10 s": (range(8), 10),
    "all for 10 s": (range(FLEET_SIZE), 10),
    "two for 40 s": ([0, 1], 40),
}


@pytest.mark.parametrize(("paused", "seconds"), PAUSES.values(), ids=PAUSES)
def test_members_that_resume_after_a_pause_suspect_no_running_member(
    paused: Iterable[int], seconds: float
) -> None:
    cluster = start_cluster()
    cluster.pause(paused, seconds)
    paused_numbers = set(paused)
    running = [
        member.detector.me for member in cluster.members if member.number not in paused_numbers
    ]
    cluster.run(seconds + 30)
    assert cluster.removals(running) == []
    assert cluster.agree()
    suspected_by_paused = Counter(
        change.member
        for member in cluster.members
        if member.number in paused_numbers
        for _, change in member.changes
        if change.status is Status.SUSPECT
        and change.member in running
        and member.detector.me.address in change.reason
    )
    assert not suspected_by_paused


def claim_all_dead(cluster: SimulatedCluster, faulty: FailureDetector, second: int) -> None:
    """Make a member claim that all others are dead, each second with other reporters."""
    for member in cluster.members:
        accused = member.detector
        if accused is faulty:
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
        faulty.gossip.add(claim)


def claim_alive(faulty: FailureDetector, dead: FailureDetector, second: int) -> None:
    """Make a member claim that an ended one is alive, and gossip evidence of its messages."""
    chain = dead.own.chain
    faulty.gossip.add(Claim(dead.me, 3, Status.ALIVE, b"z" * 12, chain.leave_commitment))
    faulty.gossip.add(
        Claim(
            dead.me,
            0,
            Status.EVIDENCE,
            chain.proof(0),
            chain.leave_commitment,
            faulty.me.address,
            sequence=10**9 + second,
        )
    )


def test_false_claims_by_one_member_remove_and_revive_no_other() -> None:
    size = 12
    cluster = start_cluster(size)
    cluster.kill([5])
    dead = cluster.members[5].detector
    faulty = cluster.members[4].detector
    for second in range(40):
        claim_all_dead(cluster, faulty, second)
        claim_alive(faulty, dead, second)
        cluster.run(1)
    cluster.run(evidence_limit_ns(SETTINGS.interval_ns, size) / NS_PER_S)
    assert not false_removals(cluster)
    assert not is_present_at_any(dead.me, cluster.running_members())


def test_a_message_to_a_former_process_does_not_count_as_received() -> None:
    """Otherwise replayed messages from before a restart would keep a dead member alive."""
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


def test_dead_members_are_forgotten() -> None:
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
