"""Many members on a simulated clock, with faulty links and members that pause, end and return.

Performs no I/O: a run with the same seed is the same each time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..membership.failure_detector import FailureDetector
from ..membership.incarnations import CHECKPOINT_INTERVAL, IncarnationChain
from ..membership.member_table import MemberChange
from ..membership.messages import Claim, Identity, Message, Status
from ..membership.settings import NS_PER_S, MembershipSettings

NS_PER_MS = 1_000_000
BEGIN = 1_000 * NS_PER_S
TICKS_PER_INTERVAL = 5
CHAIN_LENGTH = 4 * CHECKPOINT_INTERVAL
MAX_QUEUED_DATAGRAMS = 200  # that wait for a paused member
LOOKS_PER_S = 10  # how often `run` looks whether its condition holds
DATAGRAM_OVERHEAD_BYTES = 80
MIN_DELAY_NS = NS_PER_MS // 2
MAX_DELAY_NS = 2 * NS_PER_MS
SYNC_DELAY_NS = 5 * NS_PER_MS
CUT_OFF_LOSS = 0.95  # a link that loses more carries no table exchange
ADDRESSES_PER_SUBNET = 250

LinkFunction = Callable[[int, int, int], float]
"""A property of a link: of the time in ns, the sender's number and the receiver's."""


class Datagram(NamedTuple):
    """A message under way."""

    recipient_boot: bytes
    sequence: int
    sender: Claim
    message: Message


class Removal(NamedTuple):
    """That one member has removed another."""

    at_ns: int
    by: int
    member: Identity


class ObservedChange(NamedTuple):
    """A change that a member's failure detector has reported."""

    at_ns: int
    change: MemberChange


class SimulatedMember:
    """A process of the cluster.

    Attributes:
        number: Its number in the cluster.
        address: Its address.
        detector: Its failure detector.
        up: It runs.
        paused_until: When it wakes, where it is paused.
        generation: Number of processes that ran under its number before.
        sequence: Sequence number of its last message.
        waiting: Datagrams that arrived while it was paused.
        changes: What its failure detector has reported.
    """

    def __init__(self, number: int, address: str, detector: FailureDetector) -> None:
        """Start running."""
        self.number = number
        self.address = address
        self.detector = detector
        self.up = True
        self.paused_until = 0
        self.generation = 0
        self.sequence = 0
        self.waiting: list[Datagram] = []
        self.changes: list[ObservedChange] = []

    def hears(self, now: int) -> bool:
        """Return whether it runs and is not paused."""
        return self.up and now >= self.paused_until


class SimulatedClock:
    """Calls functions in the order of their times.

    Attributes:
        now: The time in ns.
    """

    def __init__(self) -> None:
        """Start at `BEGIN`."""
        self.now = BEGIN
        self._order = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Call a function at a time."""
        heapq.heappush(self._events, (when, next(self._order), call))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass, and return whether the condition holds; it ends the run early."""
        end = self.now + int(seconds * NS_PER_S)
        next_look = self.now
        while self._events and self._events[0][0] <= end:
            when, _, call = heapq.heappop(self._events)
            if until is not None and when >= next_look:
                self.now = max(self.now, next_look)
                next_look = when + NS_PER_S // LOOKS_PER_S
                if until():
                    heapq.heappush(self._events, (when, -1, call))
                    return True
            self.now = when
            call()
        self.now = end
        return until is not None and until()


class SimulatedCluster(SimulatedClock):
    """Members and the links between them.

    Attributes:
        members: The processes; one that was restarted stands in place of the former.
        sent_bytes: Bytes that each number has sent.
        messages: Number of datagrams sent.
    """

    def __init__(
        self,
        count: int,
        settings: MembershipSettings,
        seed: int,
        loss: LinkFunction | None = None,
        delay_ns: LinkFunction | None = None,
        joined: bool = True,
    ) -> None:
        """Start the members.

        Args:
            count: Number of members.
            settings: Settings of all members.
            seed: Seed of all random decisions.
            loss: Probability that a link loses a datagram.
            delay_ns: Additional delay of a link in one direction.
            joined: They know each other from the start.
        """
        super().__init__()
        self.settings = settings
        self.draw = random.Random(seed)
        self.members: list[SimulatedMember] = []
        self.sent_bytes: Counter[int] = Counter()
        self.messages = 0
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
        chain = IncarnationChain(self.draw.randbytes(16), CHAIN_LENGTH)
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

    def _schedule_tick(self, member: SimulatedMember, when: int) -> None:
        self.at(when, lambda: self._tick(member, when))

    def _tick(self, member: SimulatedMember, when: int) -> None:
        if not member.up:
            return
        if self.now < member.paused_until:
            self.at(member.paused_until, lambda: self._tick(member, when))
            return
        if member.waiting and not self.draw.randrange(2):
            self._read_waiting(member)  # A process that wakes may read before its timers fire.
        member.detector.tick(self.now, self.now - when)
        self._read_waiting(member)
        self._carry_out(member)
        self._schedule_tick(member, self.now + self.settings.interval_ns // TICKS_PER_INTERVAL)

    # --- the links ---

    def _read_waiting(self, member: SimulatedMember) -> None:
        waiting = member.waiting
        member.waiting = []
        for datagram in waiting:
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
        self.messages += 1
        self.sent_bytes[member.number] += DATAGRAM_OVERHEAD_BYTES + claims_bytes
        receiver = self._number_at.get(address)
        if receiver is None:
            return
        if self._is_lost(member.number, receiver):
            return
        delay_ns = self.draw.randrange(MIN_DELAY_NS, MAX_DELAY_NS)
        if self._delay_ns is not None:
            delay_ns += int(self._delay_ns(self.now, member.number, receiver))
        self.at(self.now + delay_ns, lambda: self._arrive(receiver, datagram))

    def _is_lost(self, sender: int, receiver: int) -> bool:
        if self._loss is None:
            return False
        return self.draw.random() < self._loss(self.now, sender, receiver)

    def _arrive(self, receiver: int, datagram: Datagram) -> None:
        member = self.members[receiver]
        if not member.up:
            return
        if self.now < member.paused_until:
            if len(member.waiting) < MAX_QUEUED_DATAGRAMS:
                member.waiting.append(datagram)
            return
        self._receive(member, datagram)
        self._carry_out(member)

    def _sync(self, member: SimulatedMember, number: int | None) -> None:
        """Exchange complete tables, as over a connection; none where either direction is cut."""
        if number is None or not self.members[number].hears(self.now):
            return
        if self._loss is not None:
            there = self._loss(self.now, member.number, number)
            back = self._loss(self.now, number, member.number)
            if max(there, back) > CUT_OFF_LOSS:
                return
        other = self.members[number]
        own_claims = member.detector.claims()
        other_claims = other.detector.claims()
        self.sent_bytes[member.number] += sum(claim.max_encoded_bytes() for claim in own_claims)
        self.sent_bytes[number] += sum(claim.max_encoded_bytes() for claim in other_claims)

        def arrive() -> None:
            self._merge_table(member, other_claims)
            self._merge_table(other, own_claims)

        self.at(self.now + SYNC_DELAY_NS, arrive)

    def _merge_table(self, member: SimulatedMember, claims: tuple[Claim, ...]) -> None:
        if member.hears(self.now):
            member.detector.merge_table(self.now, claims)
            self._carry_out(member)

    # --- faults ---

    def kill(self, numbers: Iterable[int]) -> None:
        """End members without notice."""
        for number in numbers:
            self.members[number].up = False

    def pause(self, numbers: Iterable[int], seconds: float) -> None:
        """Stop members for some time, as SIGSTOP does."""
        for number in numbers:
            self.members[number].paused_until = self.now + int(seconds * NS_PER_S)

    def restart(self, number: int, seeds: Iterable[int], address: str = "") -> SimulatedMember:
        """Start another process, at the same address unless one is given."""
        self.members[number].up = False
        member = self._start_member(number, address or self.members[number].address)
        member.detector.contacts.seeds = [self.members[seed].address for seed in seeds]
        return member

    def leave(self, number: int) -> None:
        """Have a member announce its leave and end."""
        member = self.members[number]
        member.detector.leave()
        self._carry_out(member)
        member.up = False

    # --- results ---

    def living(self) -> list[SimulatedMember]:
        """Return the members that run."""
        return [member for member in self.members if member.up]

    def all_hold(
        self,
        identities: Iterable[Identity],
        among: Iterable[SimulatedMember] | None = None,
    ) -> bool:
        """Return whether the views of some members, else of all that run, are just these.

        Each counts as part of its own view.
        """
        wanted = set(identities)
        observers = among or self.living()
        return all(
            {*member.detector.present(), member.detector.me} == wanted for member in observers
        )

    def agree(self) -> bool:
        """Return whether all members that run hold just each other to be present."""
        return self.all_hold([member.detector.me for member in self.living()])

    def removals(self, of: Iterable[Identity] | None = None) -> list[Removal]:
        """Return the removals of some members, else of all."""
        wanted = None if of is None else set(of)
        return [
            Removal(at_ns, member.number, change.member)
            for member in self.members
            for at_ns, change in member.changes
            if change.status is Status.DEAD and (wanted is None or change.member in wanted)
        ]
