"""Simulates the membership of many processes, with faulty links, pauses, crashes and restarts.

Performs no I/O and reads no system clock, so that runs with the same seed are identical.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..membership.failure_detector import FailureDetector
from ..membership.incarnations import CHECKPOINT_INTERVAL, IncarnationChain
from ..membership.member_table import MemberChange
from ..membership.messages import Claim, Identity, Message, Status
from ..membership.settings import NS_PER_S, MembershipSettings
from .event_queue import EventQueue

NS_PER_MS = 1_000_000
#: Start of the simulated clock.
BEGIN_NS = 1_000 * NS_PER_S
#: Ticks of a failure detector within one ping interval.
TICKS_PER_INTERVAL = 5
INCARNATION_CHAIN_LENGTH = 4 * CHECKPOINT_INTERVAL
#: The most datagrams that are queued for a paused member; further ones are lost.
MAX_QUEUED_DATAGRAMS = 200
#: How often `run` checks its condition, per simulated second.
CHECKS_PER_S = 10
#: Size of a datagram without its claims.
DATAGRAM_OVERHEAD_BYTES = 80
MIN_LINK_DELAY_NS = NS_PER_MS // 2
MAX_LINK_DELAY_NS = 2 * NS_PER_MS
SYNC_DELAY_NS = 5 * NS_PER_MS
#: Loss probability of a link above which table exchanges over the link fail.
MAX_SYNC_LOSS_PROBABILITY = 0.95
ADDRESSES_PER_SUBNET = 250

#: Returns a property of a link, from the time in nanoseconds and the numbers of the sender and the
#: receiver.
LinkProperty = Callable[[int, int, int], float]


class Datagram(NamedTuple):
    """A message between two members."""

    recipient_boot: bytes
    sequence: int
    sender: Claim
    message: Message


class Removal(NamedTuple):
    """The removal of a member from the view of another.

    Attributes:
        removed_at_ns: When the member was removed.
        removed_by: Number of the member whose view it was.
        member: The removed member.
    """

    removed_at_ns: int
    removed_by: int
    member: Identity


class ObservedChange(NamedTuple):
    """A change reported by a member's failure detector, and when it was reported."""

    observed_at_ns: int
    change: MemberChange


class SimulatedMember:
    """A process of the cluster.

    Attributes:
        number: The member's number in the cluster.
        address: The member's address.
        detector: The member's failure detector.
        is_running: Whether the process runs.
        paused_until_ns: When the last pause ends; 0 if the process was never paused.
        generation: Number of earlier processes with the same number.
        sequence: Sequence number of the last message sent.
        queued_datagrams: Datagrams that arrived during a pause.
        changes: The changes that the failure detector has reported.
    """

    def __init__(self, number: int, address: str, detector: FailureDetector) -> None:
        """Create a running member."""
        self.number = number
        self.address = address
        self.detector = detector
        self.is_running = True
        self.paused_until_ns = 0
        self.generation = 0
        self.sequence = 0
        self.queued_datagrams: list[Datagram] = []
        self.changes: list[ObservedChange] = []

    def can_receive(self, now_ns: int) -> bool:
        """Return whether the member runs and is not paused."""
        return self.is_running and now_ns >= self.paused_until_ns


class SimulatedClock:
    """A simulated clock that makes scheduled calls in the order of their times.

    Attributes:
        now: The current time in ns.
    """

    def __init__(self) -> None:
        """Create a clock at `BEGIN_NS` without scheduled calls."""
        self.now = BEGIN_NS
        self._events = EventQueue()

    def call_at(self, due_ns: int, callback: Callable[[], None]) -> None:
        """Schedule a call."""
        self._events.schedule(due_ns, callback)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance the clock and make the calls that are due.

        Args:
            seconds: The simulated time to run for.
            until: A condition that ends the run early, checked `CHECKS_PER_S` times per simulated
                second.

        Returns:
            Whether the condition holds; False without one.
        """
        end_ns = self.now + int(seconds * NS_PER_S)
        next_check_ns = self.now
        while self._events.has_due(end_ns):
            due_ns = self._events.next_due_ns()
            if until is not None and due_ns >= next_check_ns:
                self.now = max(self.now, next_check_ns)
                next_check_ns = due_ns + NS_PER_S // CHECKS_PER_S
                if until():
                    return True
            event = self._events.pop()
            self.now = event.due_ns
            event.callback()
        self.now = end_ns
        return until is not None and until()


class SimulatedCluster(SimulatedClock):
    """Simulated members and the links between them.

    Attributes:
        members: The members, by number; after a restart only the new process is listed.
        sent_bytes: The bytes sent by each member, by number.
        message_count: Number of datagrams sent.
    """

    def __init__(
        self,
        count: int,
        settings: MembershipSettings,
        seed: int,
        loss: LinkProperty | None = None,
        delay_ns: LinkProperty | None = None,
        joined: bool = True,
    ) -> None:
        """Start the members.

        Args:
            count: Number of members.
            settings: Settings of all members.
            seed: Seed of all random numbers.
            loss: Probability that a link loses a datagram.
            delay_ns: Additional delay of a link in one direction.
            joined: Whether they know each other from the start.
        """
        super().__init__()
        self.settings = settings
        self.draw = random.Random(seed)
        self.members: list[SimulatedMember] = []
        self.sent_bytes: Counter[int] = Counter()
        self.message_count = 0
        self._loss = loss
        self._delay_ns = delay_ns
        self._number_at: dict[str, int] = {}
        for number in range(count):
            self._start_member(number)
        if joined:
            detectors = [member.detector for member in self.members]
            for detector in detectors:
                detector.preload(detectors)

    def _start_member(self, number: int, address: str = "") -> SimulatedMember:
        if not address:
            subnet, host = divmod(number, ADDRESSES_PER_SUBNET)
            address = f"10.0.{subnet}.{host}:7000"
        chain = IncarnationChain(self.draw.randbytes(16), INCARNATION_CHAIN_LENGTH)
        draw = random.Random(self.draw.getrandbits(60))
        detector = FailureDetector(address, self.settings, chain, draw, self.now, number)
        member = SimulatedMember(number, address, detector)
        if number < len(self.members):
            member.generation = self.members[number].generation + 1
            self.members[number] = member
        else:
            self.members.append(member)
        self._number_at[address] = number
        phase_ns = int(self.draw.random() * self.settings.interval_ns / TICKS_PER_INTERVAL)
        self._schedule_tick(member, self.now + phase_ns)
        return member

    def _schedule_tick(self, member: SimulatedMember, due_ns: int) -> None:
        self.call_at(due_ns, lambda: self._tick(member, due_ns))

    def _tick(self, member: SimulatedMember, due_ns: int) -> None:
        if not member.is_running:
            return
        if self.now < member.paused_until_ns:
            self.call_at(member.paused_until_ns, lambda: self._tick(member, due_ns))
            return
        if member.queued_datagrams and not self.draw.randrange(2):
            # A process that resumes may read before its timers fire.
            self._receive_queued(member)
        member.detector.tick(self.now, self.now - due_ns)
        self._receive_queued(member)
        self._carry_out(member)
        self._schedule_tick(member, self.now + self.settings.interval_ns // TICKS_PER_INTERVAL)

    def _receive_queued(self, member: SimulatedMember) -> None:
        datagrams = member.queued_datagrams
        member.queued_datagrams = []
        for datagram in datagrams:
            self._receive(member, datagram)

    def _receive(self, member: SimulatedMember, datagram: Datagram) -> None:
        member.detector.receive(
            self.now,
            datagram.recipient_boot,
            datagram.sequence,
            datagram.sender,
            datagram.message,
        )

    def _carry_out(self, member: SimulatedMember) -> None:
        """Send the messages and start the table exchanges that the failure detector requests."""
        own_claim = member.detector.own.claim()
        for recipient, message in member.detector.take_outgoing():
            member.sequence += 1
            datagram = Datagram(recipient.boot, member.sequence, own_claim, message)
            self._send(member, recipient.address, datagram)
        for address in member.detector.take_sync_requests():
            self._sync(member, self._number_at.get(address))
        changes = member.detector.take_changes()
        member.changes += [ObservedChange(self.now, change) for change in changes]

    def _send(self, member: SimulatedMember, address: str, datagram: Datagram) -> None:
        claims: tuple[Claim, ...] = getattr(datagram.message, "claims", ())
        claims_bytes = sum(claim.max_encoded_bytes() for claim in claims)
        self.message_count += 1
        self.sent_bytes[member.number] += DATAGRAM_OVERHEAD_BYTES + claims_bytes
        receiver = self._number_at.get(address)
        if receiver is None:
            return
        if self._is_lost(member.number, receiver):
            return
        delay_ns = self.draw.randrange(MIN_LINK_DELAY_NS, MAX_LINK_DELAY_NS)
        if self._delay_ns is not None:
            delay_ns += int(self._delay_ns(self.now, member.number, receiver))
        self.call_at(self.now + delay_ns, lambda: self._arrive(receiver, datagram))

    def _is_lost(self, sender: int, receiver: int) -> bool:
        if self._loss is None:
            return False
        return self.draw.random() < self._loss(self.now, sender, receiver)

    def _arrive(self, receiver: int, datagram: Datagram) -> None:
        member = self.members[receiver]
        if not member.is_running:
            return
        if self.now < member.paused_until_ns:
            if len(member.queued_datagrams) < MAX_QUEUED_DATAGRAMS:
                member.queued_datagrams.append(datagram)
            return
        self._receive(member, datagram)
        self._carry_out(member)

    def _sync(self, member: SimulatedMember, number: int | None) -> None:
        """Exchange full tables, as over a connection; fails if either direction loses too much."""
        if number is None or not self.members[number].can_receive(self.now):
            return
        if self._loss is not None:
            outbound_loss = self._loss(self.now, member.number, number)
            inbound_loss = self._loss(self.now, number, member.number)
            if max(outbound_loss, inbound_loss) > MAX_SYNC_LOSS_PROBABILITY:
                return
        other = self.members[number]
        own_claims = member.detector.claims()
        other_claims = other.detector.claims()
        self.sent_bytes[member.number] += sum(claim.max_encoded_bytes() for claim in own_claims)
        self.sent_bytes[number] += sum(claim.max_encoded_bytes() for claim in other_claims)

        def arrive() -> None:
            self._merge_table(member, other_claims)
            self._merge_table(other, own_claims)

        self.call_at(self.now + SYNC_DELAY_NS, arrive)

    def _merge_table(self, member: SimulatedMember, claims: tuple[Claim, ...]) -> None:
        if member.can_receive(self.now):
            member.detector.merge_table(self.now, claims)
            self._carry_out(member)

    def kill(self, numbers: Iterable[int]) -> None:
        """Stop members without a leave announcement."""
        for number in numbers:
            self.members[number].is_running = False

    def pause(self, numbers: Iterable[int], seconds: float) -> None:
        """Pause members for some time, as SIGSTOP does."""
        for number in numbers:
            self.members[number].paused_until_ns = self.now + int(seconds * NS_PER_S)

    def restart(self, number: int, seeds: Iterable[int], address: str = "") -> SimulatedMember:
        """Replace a member by a new process, at the same address unless another is given."""
        self.members[number].is_running = False
        member = self._start_member(number, address or self.members[number].address)
        member.detector.contacts.seeds = [self.members[seed].address for seed in seeds]
        return member

    def leave(self, number: int) -> None:
        """Make a member announce that it leaves, then stop it."""
        member = self.members[number]
        member.detector.leave()
        self._carry_out(member)
        member.is_running = False

    def running_members(self) -> list[SimulatedMember]:
        """Return the running members."""
        return [member for member in self.members if member.is_running]

    def all_have_view(
        self,
        identities: Iterable[Identity],
        among: Iterable[SimulatedMember] | None = None,
    ) -> bool:
        """Return whether the views consist of exactly these identities.

        Each member is part of its own view.

        Args:
            identities: The expected view.
            among: The members whose views are compared; None means all running members.
        """
        wanted = set(identities)
        observers = among or self.running_members()
        return all(
            {*member.detector.present(), member.detector.me} == wanted for member in observers
        )

    def agree(self) -> bool:
        """Return whether the view of each running member is the set of all running members."""
        return self.all_have_view([member.detector.me for member in self.running_members()])

    def removals(self, identities: Iterable[Identity] | None = None) -> list[Removal]:
        """Return the removals of these members; None means of all members."""
        wanted = None if identities is None else set(identities)
        return [
            Removal(change_ns, member.number, change.member)
            for member in self.members
            for change_ns, change in member.changes
            if change.status is Status.DEAD and (wanted is None or change.member in wanted)
        ]
