"""A model checker for three members: it plays every order of events up to a depth.

The events are deliveries, losses and repeats of messages, intervals, long silences and restarts. A
schedule is a list of actions, each a letter and, for most, a number:

    d0  deliver the first message under way
    l0  lose it
    t0  deliver it and leave it under way, to arrive again
    s   let an interval pass
    j   let so many intervals pass without a delivery that suspicions end
    r0  end member 0 and start another process at its address

`replay` plays a schedule.
"""

from __future__ import annotations

import io
import pickle
from collections.abc import Iterator
from typing import Any, NamedTuple

from query_broker.membership.failure_detector import FailureDetector
from query_broker.membership.incarnations import CHECKPOINT_INTERVAL, IncarnationChain
from query_broker.membership.messages import Claim, Identity, Message, Status
from query_broker.membership.settings import NS_PER_S, MembershipSettings
from query_broker.overriding import override

SETTINGS = MembershipSettings()
MEMBERS = 3
RESTARTABLE_MEMBERS = 2
MAX_RESTARTS = 1  # of one member
GENERATIONS = 8
REORDER_DEPTH = 3  # messages under way that may arrive next
SILENCE_INTERVALS = 8
TICKS_PER_INTERVAL = 4
SETTLE_TICKS = 240
ABSENT = (Status.DEAD, Status.LEFT)


class CopyableRandom:
    """A small pseudo-random generator that is copied quickly."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def random(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 11) / (1 << 53)

    def randrange(self, stop: int) -> int:
        return int(self.random() * stop)

    def getrandbits(self, bits: int) -> int:
        self.random()
        return self.state >> (64 - bits)

    def choice(self, population: Any) -> Any:
        return population[self.randrange(len(population))]

    def sample(self, population: list[Any], count: int) -> list[Any]:
        remaining = list(population)
        return [remaining.pop(self.randrange(len(remaining))) for _ in range(count)]

    def shuffle(self, items: Any) -> None:
        taken = [items.popleft() for _ in range(len(items))]
        items.extend(self.sample(taken, len(taken)))


def make_chains() -> dict[str, IncarnationChain]:
    """Return a chain for each member and generation."""
    names = [f"{number}/{gen}" for number in range(MEMBERS) for gen in range(GENERATIONS)]
    return {name: IncarnationChain(name.encode(), CHECKPOINT_INTERVAL) for name in names}


CHAINS = make_chains()
CHAIN_NAMES = {id(chain): name for name, chain in CHAINS.items()}
SETTINGS_NAME = "settings"


class _Pickler(pickle.Pickler):
    """Leaves out what no event changes."""

    @override
    def persistent_id(self, obj: Any) -> str | None:
        if obj is SETTINGS:
            return SETTINGS_NAME
        return CHAIN_NAMES.get(id(obj)) if isinstance(obj, IncarnationChain) else None


class _Unpickler(pickle.Unpickler):
    @override
    def persistent_load(self, name: str) -> Any:
        return SETTINGS if name == SETTINGS_NAME else CHAINS[name]


def make_detector(number: int, generation: int, now_ns: int) -> FailureDetector:
    draw: Any = CopyableRandom(number + 1 + 100 * generation)
    chain = CHAINS[f"{number}/{generation}"]
    return FailureDetector(f"h{number}:1", SETTINGS, chain, draw, now_ns, number)


class PropertyViolationError(AssertionError):
    """A property does not hold; the text gives the schedule that leads there."""


class MessageUnderWay(NamedTuple):
    """A message that has not been delivered or lost."""

    receiver: int
    recipient_boot: bytes
    sequence: int
    sender: Claim
    message: Message


class HeldStatus(NamedTuple):
    """What a member last held about an identity."""

    incarnation: int
    is_absent: bool


NEVER_HELD = HeldStatus(-1, False)


class ModelCluster:
    """Three members and the messages between them."""

    def __init__(self) -> None:
        self.now_ns = 1_000 * NS_PER_S
        self.members = [make_detector(number, 0, self.now_ns) for number in range(MEMBERS)]
        self.sequence = 0
        self.restarts = [0] * RESTARTABLE_MEMBERS
        self.under_way: list[MessageUnderWay] = []
        self.held: list[dict[Identity, HeldStatus]] = [{} for _ in range(MEMBERS)]
        #: The highest incarnation that each identity has issued itself.
        self.issued: dict[Identity, int] = {}
        for member in self.members:
            member.preload(self.members)
            member.next_ping_ns = self.now_ns
        self.check()

    def copy(self) -> ModelCluster:
        buffer = io.BytesIO()
        _Pickler(buffer, 5).dump(self)
        buffer.seek(0)
        copied: ModelCluster = _Unpickler(buffer).load()
        return copied

    def _collect(self, member: FailureDetector) -> None:
        """Put a member's messages under way."""
        for recipient, message in member.take_outgoing():
            self.sequence += 1
            for number, other in enumerate(self.members):
                if other.me.address == recipient.address:
                    self.under_way.append(
                        MessageUnderWay(
                            number, recipient.boot, self.sequence, member.own.claim(), message
                        )
                    )
        member.take_sync_requests()
        member.take_changes()

    def _deliver(self, position: int) -> None:
        receiver, boot, sequence, sender, message = self.under_way[position]
        self.members[receiver].receive(self.now_ns, boot, sequence, sender, message)
        self._collect(self.members[receiver])

    def _pass_ticks(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now_ns += SETTINGS.interval_ns // TICKS_PER_INTERVAL
            for member in self.members:
                member.tick(self.now_ns)
                self._collect(member)

    def actions(self) -> Iterator[str]:
        """Yield the actions that are possible now."""
        yield "s"
        yield "j"
        for position in range(min(REORDER_DEPTH, len(self.under_way))):
            yield f"d{position}"
            yield f"l{position}"
            yield f"t{position}"
        for number, restarts in enumerate(self.restarts):
            if restarts < MAX_RESTARTS:
                yield f"r{number}"

    def play(self, action: str) -> None:
        """Play one action and check the properties."""
        number = int(action[1:] or 0)
        match action[0]:
            case "d":
                message = self.under_way[number]
                self._deliver(number)
                self.under_way.remove(message)
            case "t":
                self._deliver(number)
            case "l":
                del self.under_way[number]
            case "s":
                self._pass_ticks(TICKS_PER_INTERVAL)
            case "j":
                self._pass_ticks(TICKS_PER_INTERVAL * SILENCE_INTERVALS)
                self.under_way.clear()
            case "r":
                self._restart(number)
        self.check()

    def _restart(self, number: int) -> None:
        self.restarts[number] += 1
        started = make_detector(number, self.restarts[number], self.now_ns)
        self.members[number] = started
        started.contacts.seeds = [
            member.me.address for member in self.members if member is not started
        ]
        self.held[number] = {}

    def check(self) -> None:
        """Raise `PropertyViolationError` if a member believes what no owner has said."""
        for member in self.members:
            self.issued[member.me] = member.own.incarnation
        for number, member in enumerate(self.members):
            for identity, record in member.table.records.items():
                found = HeldStatus(record.incarnation, record.status in ABSENT)
                self._check_record(number, identity, found)
                self.held[number][identity] = found

    def _check_record(self, number: int, identity: Identity, found: HeldStatus) -> None:
        before = self.held[number].get(identity, NEVER_HELD)
        if found.incarnation > self.issued[identity]:
            raise PropertyViolationError(
                f"{number} holds an incarnation {found.incarnation} of {identity.address} that "
                "never was"
            )
        if found.incarnation < before.incarnation:
            raise PropertyViolationError(
                f"{number} went back from incarnation {before.incarnation} of {identity.address} "
                f"to {found.incarnation}"
            )
        is_same_incarnation = found.incarnation == before.incarnation
        if before.is_absent and is_same_incarnation and not found.is_absent:
            raise PropertyViolationError(
                f"incarnation {before.incarnation} of {identity.address} came back from the dead "
                f"at {number}"
            )

    def settle(self) -> bool:
        """Let all messages arrive; return whether all members come to hold the same view."""
        for _ in range(SETTLE_TICKS):
            self._pass_ticks(1)
            while self.under_way:
                self._deliver(0)
                del self.under_way[0]
            self.check()
            if self._agree():
                return True
        return False

    def _agree(self) -> bool:
        everybody = {member.me for member in self.members}
        return all({*member.present(), member.me} == everybody for member in self.members)

    def state_key(self) -> bytes:
        """Return equal keys for states that go on alike."""
        members = [self._member_key(member) for member in self.members]
        under_way = [
            (sent.receiver, type(sent.message).__name__, sent.sender.incarnation)
            for sent in self.under_way
        ]
        return repr((members, under_way)).encode()

    def _member_key(self, member: FailureDetector) -> tuple[Any, ...]:
        records = member.table.records.values()
        suspicions = member.suspicions.active_suspicions.items()
        waiting = member.gossip.queued_claims.values()
        return (
            member.own.incarnation,
            member.me.boot,
            member.next_ping_ns - self.now_ns,
            member.health.score,
            sorted(
                (held.identity, held.incarnation, held.status, held.sequence) for held in records
            ),
            sorted(
                (identity, suspicion.timer_start_ns - self.now_ns, len(suspicion.reporters))
                for identity, suspicion in suspicions
            ),
            len(member.pinger.pending),
            sorted((claim.member, claim.status, sent) for claim, sent in waiting),
        )


def replay(schedule: list[str]) -> ModelCluster:
    """Play a schedule from the start."""
    cluster = ModelCluster()
    for action in schedule:
        cluster.play(action)
    return cluster


class Exploration(NamedTuple):
    """How many states were reached, and how many of them were let settle."""

    states: int
    settled: int


class _Explorer:
    """Breadth-first search; of states that go on alike, one is followed."""

    def __init__(self, settle_every: int) -> None:
        self.settle_every = settle_every
        self.states = 0
        self.settled = 0

    def step(self, cluster: ModelCluster, schedule: list[str]) -> ModelCluster:
        """Play the last action of a schedule on a copy of the state before it."""
        after = cluster.copy()
        try:
            after.play(schedule[-1])
            self.states += 1
            if self.states % self.settle_every == 0:
                self._check_settles(after.copy())
        except PropertyViolationError as violation:
            raise PropertyViolationError(f"{violation}: replay({schedule!r})") from None
        return after

    def _check_settles(self, cluster: ModelCluster) -> None:
        self.settled += 1
        if not cluster.settle():
            raise PropertyViolationError("the views differ though messages flow")


def explore(depth: int, settle_every: int) -> Exploration:
    """Play every schedule up to a depth, and let one state in `settle_every` settle.

    Raises:
        PropertyViolationError: A property does not hold; the text gives a schedule for `replay`.
    """
    explorer = _Explorer(settle_every)
    level: list[tuple[ModelCluster, list[str]]] = [(ModelCluster(), [])]
    for _ in range(depth):
        seen: set[bytes] = set()
        following: list[tuple[ModelCluster, list[str]]] = []
        for cluster, schedule in level:
            for action in cluster.actions():
                path = [*schedule, action]
                after = explorer.step(cluster, path)
                key = after.state_key()
                if key not in seen:
                    seen.add(key)
                    following.append((after, path))
        level = following
    return Exploration(explorer.states, explorer.settled)
