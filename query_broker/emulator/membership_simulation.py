"""Many members on a simulated clock, with faulty links and members that pause, end and return.

Performs no I/O: a run with the same seed is the same each time.
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
#: Where the clock begins.
BEGIN_NS = 1_000 * NS_PER_S
#: Ticks of a failure detector within one ping interval.
TICKS_PER_INTERVAL = 5
INCARNATION_CHAIN_LENGTH = 4 * CHECKPOINT_INTERVAL
#: Datagrams that are queued for a paused member; more are lost.
MAX_QUEUED_DATAGRAMS = 200
#: How often `run` checks whether its condition holds.
CHECKS_PER_S = 10
#: Size of a datagram without its claims.
DATAGRAM_OVERHEAD_BYTES = 80
MIN_DELAY_NS = NS_PER_MS // 2
MAX_DELAY_NS = 2 * NS_PER_MS
SYNC_DELAY_NS = 5 * NS_PER_MS
#: A link with a greater loss probability carries no table exchange.
CUT_OFF_LOSS = 0.95
ADDRESSES_PER_SUBNET = 250

#: A property of a link, by the time in nanoseconds, the sender's number and the receiver's.
LinkProperty = Callable[[int, int, int], float]


class Datagram(NamedTuple):
    """A message between two members."""

    recipient_boot: bytes
    sequence: int
    sender: Claim
    message: Message


class Removal(NamedTuple):
    """One member has removed another from its view.

    Attributes:
        removed_at_ns: When.
        removed_by: Number of the member that removed it.
        member: The removed member.
    """

    removed_at_ns: int
    removed_by: int
    member: Identity


class ObservedChange(NamedTuple):
    """A change that a member's failure detector has reported."""

    observed_at_ns: int
    change: MemberChange


class SimulatedMember:
    """A process of the cluster.

    Attributes:
        number: Its number in the cluster.
        address: Its address.
        detector: Its failure detector.
        is_running: Whether it runs.
        paused_until_ns: When its pause ends; 0 if it was never paused.
        generation: Number of processes that ran under its number before.
        sequence: Sequence number of its last message.
        queued_datagrams: Datagrams that arrived while it was paused.
        changes: What its failure detector has reported.
    """

    def __init__(self, number: int, address: str, detector: FailureDetector) -> None:
        """Start running."""
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
        """Return whether it runs and is not paused."""
        return self.is_running and now_ns >= self.paused_until_ns


class SimulatedClock:
    """Calls functions in the order of their times.

    Attributes:
        now: The time in ns.
    """

    def __init__(self) -> None:
        """Start at `BEGIN_NS`."""
        self.now = BEGIN_NS
        self._events = EventQueue()

    def call_at(self, due_ns: int, callback: Callable[[], None]) -> None:
        """Schedule a call."""
        self._events.schedule(due_ns, callback)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass.

        Args:
            seconds: How long.
            until: A condition that ends the run early; it is checked `CHECKS_PER_S` times a second.

        Returns:
            Whether the condition holds.
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
    """Members and the links between them.

    Attributes:
        members: The processes by number; a restarted one replaces the former.
        sent_bytes: Bytes that each number has sent.
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
            seed: Seed of all random decisions.
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

    # --- time ---

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

    # --- the links ---

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
        """Send messages and exchange tables, as the member's failure detector has decided."""
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
        delay_ns = self.draw.randrange(MIN_DELAY_NS, MAX_DELAY_NS)
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
        """Exchange complete tables, as over a connection; none where either direction is cut."""
        if number is None or not self.members[number].can_receive(self.now):
            return
        if self._loss is not None:
            outbound_loss = self._loss(self.now, member.number, number)
            inbound_loss = self._loss(self.now, number, member.number)
            if max(outbound_loss, inbound_loss) > CUT_OFF_LOSS:
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

    # --- faults ---

    def kill(self, numbers: Iterable[int]) -> None:
        """End members without notice."""
        for number in numbers:
            self.members[number].is_running = False

    def pause(self, numbers: Iterable[int], seconds: float) -> None:
        """Stop members for some time, as SIGSTOP does."""
        for number in numbers:
            self.members[number].paused_until_ns = self.now + int(seconds * NS_PER_S)

    def restart(self, number: int, seeds: Iterable[int], address: str = "") -> SimulatedMember:
        """Replace a member by a new process, at the same address unless one is given."""
        self.members[number].is_running = False
        member = self._start_member(number, address or self.members[number].address)
        member.detector.contacts.seeds = [self.members[seed].address for seed in seeds]
        return member

    def leave(self, number: int) -> None:
        """Let a member announce that it leaves, and end it."""
        member = self.members[number]
        member.detector.leave()
        self._carry_out(member)
        member.is_running = False

    # --- results ---

    def running_members(self) -> list[SimulatedMember]:
        """Return the members that run."""
        return [member for member in self.members if member.is_running]

    def all_have_view(
        self,
        identities: Iterable[Identity],
        among: Iterable[SimulatedMember] | None = None,
    ) -> bool:
        """Return whether the views consist of exactly these identities.

        Each member counts as part of its own view.

        Args:
            identities: The expected view.
            among: The members whose views are compared; None stands for all that run.
        """
        wanted = set(identities)
        observers = among or self.running_members()
        return all(
            {*member.detector.present(), member.detector.me} == wanted for member in observers
        )

    def agree(self) -> bool:
        """Return whether the view of each running member is exactly all running members."""
        return self.all_have_view([member.detector.me for member in self.running_members()])

    def removals(self, identities: Iterable[Identity] | None = None) -> list[Removal]:
        """Return the removals of these members; None stands for all."""
        wanted = None if identities is None else set(identities)
        return [
            Removal(change_ns, member.number, change.member)
            for member in self.members
            for change_ns, change in member.changes
            if change.status is Status.DEAD and (wanted is None or change.member in wanted)
        ]
