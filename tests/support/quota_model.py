"""A model checker: three brokers and a limit of two tokens, every order of events up to a depth.

Events are deliveries, losses and repeats of messages, crashes, pauses, and views that differ. Each
is an `Action`; a schedule is written as text, so that a failure can be replayed:

* ``d0`` delivers the first message under way, ``l0`` loses it, ``t0`` delivers it and keeps it to
  arrive again;
* ``s`` lets an eighth of a lease pass for all, ``S`` a whole one in which nothing arrives;
* ``r0`` ends broker 0 and starts it anew; ``p0`` makes it sleep through the next ten steps, with
  all that arrives; ``v0`` turns its view to the other two, and back.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import NamedTuple

from query_broker.quotas.leases import LeaseManager
from query_broker.quotas.messages import LeaseMessage
from query_broker.quotas.settings import NS_PER_S, QuotaSettings
from query_broker.quotas.sharding import preferred_leader, shard_of

SETTINGS = QuotaSettings(
    lease_ns=4 * NS_PER_S, vote_ns=8 * NS_PER_S, clock_drift=0.01, guaranteed_fraction=0.2
)
LIMIT = "a"
TOKENS = 2.0
BROKERS = 3
REACHABLE_MESSAGES = 3
STEPS_PER_LEASE = 8
STEP_NS = SETTINGS.lease_ns // STEPS_PER_LEASE
SLEEP_STEPS = 10  # past the end of any lease
MAX_RESTARTS = 2
WARM_UP_STEPS = 20


class PropertyViolatedError(AssertionError):
    """A property does not hold; the text has the schedule that leads there."""


class MessageInFlight(NamedTuple):
    """A message under way."""

    sender: str
    recipient: str
    message: LeaseMessage


class ModelState:
    """Three brokers and the messages between them."""

    def __init__(self) -> None:
        """Let a leader be elected and grant the tokens."""
        self.now_ns = 1_000 * NS_PER_S
        self.clock_rates = (0.991, 1.009, 1.0)
        self.names = ["b0/0", "b1/0", "b2/0"]
        self.brokers = [self._create(number) for number in range(BROKERS)]
        self.in_flight: list[MessageInFlight] = []
        self.sleeping_steps = [0] * BROKERS
        self.has_turned_view = [False] * BROKERS
        self.restarts = 0
        for broker in self.brokers:
            broker.voter.silent_until_ns = 0
        for _ in range(WARM_UP_STEPS):
            self._pass(STEP_NS)
            while self.in_flight:
                self._deliver(self.in_flight.pop(0))
        assert self.valid_per_s() > 0

    def _create(self, number: int) -> LeaseManager:
        draw = (0.1 * number).__pos__
        now_ns = self.clock_ns(number)
        broker = LeaseManager(self.names[number], SETTINGS, BROKERS, now_ns, draw)
        broker.state.limits = {LIMIT: TOKENS}
        broker.holder.wanted_per_s = {LIMIT: 1.0 + number % 2}
        broker.set_view(self.names, True)
        return broker

    def clock_ns(self, number: int) -> int:
        """Return what a broker's clock shows."""
        return int(self.now_ns * self.clock_rates[number])

    def copy(self) -> ModelState:
        """Return an independent copy."""
        return copy.deepcopy(self)

    def _collect(self, number: int) -> None:
        outbox = self.brokers[number].outbox
        for recipient, message in outbox:
            self.in_flight.append(MessageInFlight(self.names[number], recipient, message))
        outbox.clear()

    def _deliver(self, arriving: MessageInFlight) -> None:
        if arriving.recipient not in self.names:
            return
        number = self.names.index(arriving.recipient)
        if self.sleeping_steps[number]:
            return
        now_ns = self.clock_ns(number)
        self.brokers[number].receive(now_ns, arriving.sender, arriving.message)
        self._collect(number)

    def _pass(self, duration_ns: int) -> None:
        self.now_ns += duration_ns
        for number in range(BROKERS):
            if self.sleeping_steps[number]:
                self.sleeping_steps[number] -= 1
                continue
            self.brokers[number].tick(self.clock_ns(number))
            self._collect(number)

    def actions(self) -> Iterator[str]:
        """Yield all that can happen next."""
        yield "s"
        yield "S"
        for position in range(min(REACHABLE_MESSAGES, len(self.in_flight))):
            yield f"d{position}"
            yield f"l{position}"
            yield f"t{position}"
        for number in range(BROKERS):
            if self.restarts < MAX_RESTARTS:
                yield f"r{number}"
            if not self.sleeping_steps[number]:
                yield f"p{number}"
            yield f"v{number}"

    def play(self, action: str) -> None:
        """Let one thing happen, and check the properties.

        Raises:
            PropertyViolatedError: A property does not hold any more.
        """
        argument = int(action[1:] or 0)
        match action[0]:
            case "d":
                self._deliver(self.in_flight.pop(argument))
            case "t":
                self._deliver(self.in_flight[argument])
            case "l":
                del self.in_flight[argument]
            case "s":
                self._pass(STEP_NS)
            case "S":
                self._pass_silent_lease()
            case "r":
                self._restart(argument)
            case "p":
                self.sleeping_steps[argument] = SLEEP_STEPS
            case "v":
                self._turn_view(argument)
        self.check()

    def _pass_silent_lease(self) -> None:
        for _ in range(STEPS_PER_LEASE):
            self._pass(STEP_NS)
            self.check()
        self.in_flight.clear()

    def _restart(self, number: int) -> None:
        self.restarts += 1
        self.names[number] = f"b{number}/{self.restarts}"
        self.brokers[number] = self._create(number)
        for other, broker in enumerate(self.brokers):
            if not self.has_turned_view[other]:
                broker.set_view(self.names, True)

    def _turn_view(self, number: int) -> None:
        self.has_turned_view[number] = not self.has_turned_view[number]
        members = list(self.names)
        if self.has_turned_view[number]:
            members.remove(preferred_leader(shard_of(LIMIT), tuple(self.names)))
        self.brokers[number].set_view(members, True)

    def valid_per_s(self) -> float:
        """Return the sum of all valid leases."""
        return sum(
            broker.amount_per_s(LIMIT, self.clock_ns(number))
            for number, broker in enumerate(self.brokers)
        )

    def check(self) -> None:
        """Check that no token is leased twice and no two brokers may grant.

        Raises:
            PropertyViolatedError: One of them does not hold.
        """
        if self.valid_per_s() > TOKENS + 1e-9:
            raise PropertyViolatedError(f"{self.valid_per_s()} of {TOKENS} tokens are leased")
        leaders = [
            broker.state.name
            for number, broker in enumerate(self.brokers)
            if broker.has_authority(LIMIT, self.clock_ns(number))
        ]
        if len(leaders) > 1:
            raise PropertyViolatedError(f"{leaders} may grant")

    def key(self) -> str:
        """Return a text that is equal for states that behave alike."""
        roles = [
            (
                broker.voter.votes,
                broker.holder.leases,
                broker.holder.pending_requests,
                broker.election.leaderships,
                broker.voter.confirmed_terms,
            )
            for broker in self.brokers
        ]
        return repr(
            (
                self.now_ns,
                self.sleeping_steps,
                self.has_turned_view,
                self.names,
                self.in_flight,
                roles,
            )
        )


class Path(NamedTuple):
    """A state and the schedule that leads there."""

    state: ModelState
    schedule: list[str]

    def extended(self, action: str) -> Path:
        """Return the path one action further.

        Raises:
            PropertyViolatedError: A property does not hold there.
        """
        state = self.state.copy()
        schedule = [*self.schedule, action]
        try:
            state.play(action)
        except PropertyViolatedError as violation:
            raise PropertyViolatedError(f"{violation}: replay({schedule!r})") from None
        return Path(state, schedule)


def replay(schedule: list[str]) -> ModelState:
    """Play a schedule from the beginning.

    Raises:
        PropertyViolatedError: A property does not hold on the way.
    """
    state = ModelState()
    for action in schedule:
        state.play(action)
    return state


def explore(depth: int) -> int:
    """Play every schedule up to a depth; return how many states were checked.

    Raises:
        PropertyViolatedError: A property does not hold; the text has the schedule.
    """
    paths = [Path(ModelState(), [])]
    checked = 0
    for level in range(depth):
        is_last = level == depth - 1
        seen: set[str] = set()
        following: list[Path] = []
        for path in paths:
            for action in path.state.actions():
                extended = path.extended(action)
                checked += 1
                if is_last:
                    continue
                key = extended.state.key()
                if key not in seen:
                    seen.add(key)
                    following.append(extended)
        paths = following
    return checked
