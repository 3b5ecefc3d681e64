"""Simulates many brokers that share limits, on a simulated clock with faults.

An auditor with the one true clock adds up all leases. Performs no I/O.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from ..quotas.lease_log import LeaseRecord
from ..quotas.leases import LeaseManager
from ..quotas.messages import LeaseMessage
from ..quotas.settings import QuotaSettings
from .event_queue import EventQueue

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
BEGIN_NS = 1_000 * NS_PER_S
TICK_NS = 100 * NS_PER_MS
AUDIT_INTERVAL_NS = 50 * NS_PER_MS
VIEW_INTERVAL_NS = NS_PER_S
DEMAND_INTERVAL_NS = 2 * NS_PER_S
DEMANDS_PER_S = (0.0, 1.0, 10.0, 100.0, 300.0)
MAX_CLOCK_OFFSET_NS = 1_000 * NS_PER_S
#: Messages that a paused broker finds when it resumes; more are lost.
MAX_WAITING_MESSAGES = 200
#: A message is slow, and is overtaken by others, with this probability and by this factor.
SLOW_MESSAGE_PROBABILITY = 0.05
SLOW_MESSAGE_FACTOR = 50
#: A view is certain if more than this fraction of all brokers is reachable.
CERTAIN_FRACTION = 2 / 3

#: Returns whether a message is lost to a partition, by the time in nanoseconds, the sender's number
#: and the recipient's.
PartitionFunction = Callable[[int, int, int], bool]


class WaitingMessage(NamedTuple):
    """A message that arrived while its recipient was paused."""

    sender: str
    message: LeaseMessage


class SimulatedBroker:
    """One broker with a clock of its own.

    Attributes:
        number: Its place among the brokers.
        name: Its name, another one after each restart.
        leases: What is simulated.
        clock_rate: How fast its clock runs.
        clock_offset_ns: By how much its clock is ahead of the true one.
        generation: How often it was restarted.
        is_running: False once it was killed.
        paused_until_ns: Until when, by the true clock, it is paused.
        waiting: Messages that arrived while it was paused.
    """

    def __init__(
        self,
        number: int,
        generation: int,
        leases: LeaseManager,
        clock_rate: float,
        clock_offset_ns: int,
    ) -> None:
        """Create a running broker."""
        self.number = number
        self.name = leases.state.name
        self.leases = leases
        self.clock_rate = clock_rate
        self.clock_offset_ns = clock_offset_ns
        self.generation = generation
        self.is_running = True
        self.paused_until_ns = 0
        self.waiting: list[WaitingMessage] = []

    def clock_ns(self, now_ns: int) -> int:
        """Return what its clock shows at a true time."""
        return int(now_ns * self.clock_rate) + self.clock_offset_ns

    def amount_per_s(self, limit: str, now_ns: int) -> float:
        """Return what it may use of the leased part of a limit at a true time."""
        return self.leases.amount_per_s(limit, self.clock_ns(now_ns))


@dataclass(frozen=True, slots=True)
class SimulatedConditions:
    """What the brokers have to cope with.

    Attributes:
        clock_drift: By how much the clocks' rates differ at most from the true one, as a fraction.
        loss: Fraction of messages that are lost.
        view_delay_ns: How long until the views follow who is reachable.
    """

    clock_drift: float = 0.0
    loss: float = 0.0
    view_delay_ns: int = 4 * NS_PER_S


IDEAL_CONDITIONS = SimulatedConditions()


class QuotaSimulation:
    """Brokers, the messages between them, and the auditor.

    Attributes:
        brokers: All brokers by number.
        worst_overshoot_per_s: The most by which the leases of a limit exceeded its leased part.
        used_amounts: Sum over time of the leased rates that were both wanted and valid, by limit.
        message_count: Number of messages sent.
        is_cut: Returns which messages are lost to a partition; None for none.
        now_ns: The true time.
    """

    def __init__(
        self,
        count: int,
        settings: QuotaSettings,
        limits: dict[str, float],
        seed: int,
        conditions: SimulatedConditions = IDEAL_CONDITIONS,
    ) -> None:
        """Create the brokers.

        Args:
            count: Number of brokers.
            settings: Settings of the shared limits.
            limits: Rate of each hard limit, per second.
            seed: Seed of all random draws.
            conditions: Clock drift, losses and delays.
        """
        self.settings = settings
        self.limits = dict(limits)
        self.draw = random.Random(seed)
        self.conditions = conditions
        self.is_cut: PartitionFunction | None = None
        self.now_ns = BEGIN_NS
        self._events = EventQueue()
        self.brokers: list[SimulatedBroker] = []
        self.brokers_by_name: dict[str, SimulatedBroker] = {}
        self.worst_overshoot_per_s: dict[str, float] = dict.fromkeys(limits, 0.0)
        self.used_amounts: dict[str, float] = dict.fromkeys(limits, 0.0)
        self.message_count = 0
        self.broker_count = count
        self.audit_interval_ns = AUDIT_INTERVAL_NS * max(1, count // 50)
        for number in range(count):
            self.brokers.append(self._create(number, 0))
        self._update_views()
        self.call_at(self.now_ns, self._audit)

    def _create(self, number: int, generation: int) -> SimulatedBroker:
        clock_rate = 1 + self.conditions.clock_drift * self.draw.uniform(-1, 1)
        clock_offset_ns = self.draw.randrange(MAX_CLOCK_OFFSET_NS)
        leases = LeaseManager(
            f"b{number}/{generation}",
            self.settings,
            self.broker_count,
            int(self.now_ns * clock_rate) + clock_offset_ns,
            self.draw.random,
        )
        leased_fraction = 1 - self.settings.guaranteed_fraction
        leases.state.limits = {
            limit: rate_per_s * leased_fraction for limit, rate_per_s in self.limits.items()
        }
        broker = SimulatedBroker(number, generation, leases, clock_rate, clock_offset_ns)
        self.brokers_by_name[broker.name] = broker
        self.call_at(self.now_ns + self.draw.randrange(TICK_NS), lambda: self._tick(broker))
        return broker

    # --- the clock ---

    def call_at(self, due_ns: int, callback: Callable[[], None]) -> None:
        """Schedule a call at a true time."""
        self._events.schedule(due_ns, callback)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end_ns = self.now_ns + int(seconds * NS_PER_S)
        while self._events.has_due(end_ns):
            event = self._events.pop()
            self.now_ns = event.due_ns
            event.callback()
        self.now_ns = end_ns

    def _tick(self, broker: SimulatedBroker) -> None:
        if not broker.is_running:
            return
        if self.now_ns < broker.paused_until_ns:
            self.call_at(broker.paused_until_ns, lambda: self._tick(broker))
            return
        waiting = broker.waiting
        broker.waiting = []
        for sender, message in waiting:
            broker.leases.receive(broker.clock_ns(self.now_ns), sender, message)
        broker.leases.tick(broker.clock_ns(self.now_ns))
        self._send_outbox(broker)
        self.call_at(self.now_ns + TICK_NS, lambda: self._tick(broker))

    # --- messages ---

    def _send_outbox(self, broker: SimulatedBroker) -> None:
        outbox = list(broker.leases.outbox)
        broker.leases.outbox.clear()
        for recipient, message in outbox:
            self.message_count += 1
            target = self.brokers_by_name.get(recipient)
            if target is None or self.draw.random() < self.conditions.loss:
                continue
            if self.is_cut is not None and self.is_cut(self.now_ns, broker.number, target.number):
                continue
            factor = SLOW_MESSAGE_FACTOR if self.draw.random() < SLOW_MESSAGE_PROBABILITY else 1
            delay_ns = factor * self.draw.randrange(NS_PER_MS // 2, 3 * NS_PER_MS)
            self.call_at(
                self.now_ns + delay_ns, partial(self._deliver, target, broker.name, message)
            )

    def _deliver(self, target: SimulatedBroker, sender: str, message: LeaseMessage) -> None:
        if not target.is_running:
            return
        if self.now_ns < target.paused_until_ns:
            if len(target.waiting) < MAX_WAITING_MESSAGES:
                target.waiting.append(WaitingMessage(sender, message))
            return
        target.leases.receive(target.clock_ns(self.now_ns), sender, message)
        self._send_outbox(target)

    # --- views of the membership ---

    def _update_views(self) -> None:
        """Give each broker a view of those that run and were reachable some seconds ago."""
        for broker in self.brokers:
            reachable = [
                other.name
                for other in self.brokers
                if other.is_running
                and self.now_ns >= other.paused_until_ns
                and self._was_reachable(broker, other)
            ]
            is_certain = len(reachable) > self.broker_count * CERTAIN_FRACTION
            due_ns = self.now_ns + self.draw.randrange(VIEW_INTERVAL_NS)
            self.call_at(due_ns, partial(broker.leases.set_view, reachable, is_certain))
        self.call_at(self.now_ns + VIEW_INTERVAL_NS, self._update_views)

    def _was_reachable(self, broker: SimulatedBroker, other: SimulatedBroker) -> bool:
        past_ns = self.now_ns - self.conditions.view_delay_ns
        if other is broker or self.is_cut is None or past_ns < BEGIN_NS:
            return True
        is_cut_there = self.is_cut(past_ns, other.number, broker.number)
        return not (is_cut_there and self.is_cut(past_ns, broker.number, other.number))

    # --- faults ---

    def kill(self, numbers: Iterable[int]) -> None:
        """End brokers for good."""
        for number in numbers:
            self.brokers[number].is_running = False

    def restart(self, number: int) -> None:
        """End a broker and start it under a new name."""
        self.brokers[number].is_running = False
        generation = self.brokers[number].generation + 1
        self.brokers[number] = self._create(number, generation)

    def pause(self, number: int, seconds: float) -> None:
        """Stop a broker for a while; its messages wait."""
        self.brokers[number].paused_until_ns = self.now_ns + int(seconds * NS_PER_S)

    def leader(self, limit: str) -> SimulatedBroker | None:
        """Return the broker that may grant leases of a limit at this moment.

        Raises:
            AssertionError: Two brokers may.
        """
        leaders = [
            broker
            for broker in self.brokers
            if broker.is_running
            and broker.leases.has_authority(limit, broker.clock_ns(self.now_ns))
        ]
        assert len(leaders) < 2, f"two leaders: {[leader.name for leader in leaders]}"
        return leaders[0] if leaders else None

    # --- the auditor ---

    def valid_per_s(self, limit: str) -> float:
        """Return the sum of all valid leases of a limit."""
        return sum(
            broker.amount_per_s(limit, self.now_ns) for broker in self.brokers if broker.is_running
        )

    def _audit(self) -> None:
        for limit, rate_per_s in self.limits.items():
            leased_per_s = rate_per_s * (1 - self.settings.guaranteed_fraction)
            overshoot = self.valid_per_s(limit) - leased_per_s
            worst = self.worst_overshoot_per_s[limit]
            self.worst_overshoot_per_s[limit] = max(worst, overshoot)
            self.used_amounts[limit] += self.audit_interval_ns / NS_PER_S * self._used_per_s(limit)
            self.leader(limit)  # raises if there are two
        self.call_at(self.now_ns + self.audit_interval_ns, self._audit)

    def _used_per_s(self, limit: str) -> float:
        return sum(
            min(
                broker.leases.holder.wanted_per_s.get(limit, 0.0),
                broker.amount_per_s(limit, self.now_ns),
            )
            for broker in self.brokers
            if broker.is_running
        )


class Partition(NamedTuple):
    """Cuts messages between one side and the rest, from the side outwards or both ways."""

    start_ns: int
    end_ns: int
    side: frozenset[int]
    both_ways: bool

    def cuts(self, now_ns: int, sender: int, recipient: int) -> bool:
        """Return whether a message is cut off."""
        if not self.start_ns <= now_ns < self.end_ns:
            return False
        if sender in self.side and recipient not in self.side:
            return True
        return self.both_ways and recipient in self.side and sender not in self.side


class FaultInjector:
    """Draws faults and demand from a seed and schedules them in a simulation."""

    def __init__(self, simulation: QuotaSimulation, seed: int) -> None:
        """Take the simulation; nothing is scheduled yet."""
        self.simulation = simulation
        self.draw = random.Random(seed * 7 + 1)
        self.partitions: list[Partition] = []
        self.limits = list(simulation.limits)

    def schedule(self, seconds: float) -> None:
        """Schedule faults within the next seconds, and demand that changes suddenly.

        Leaders and others are killed, paused and restarted; partitions cut one way or both ways.
        """
        simulation = self.simulation
        begin_ns = simulation.now_ns
        simulation.is_cut = self._is_cut
        for _ in range(self.draw.randrange(4, 12)):
            self._schedule_fault(begin_ns, seconds)
        simulation.call_at(simulation.now_ns, self._change_demand)

    def _is_cut(self, now_ns: int, sender: int, recipient: int) -> bool:
        return any(partition.cuts(now_ns, sender, recipient) for partition in self.partitions)

    def _schedule_fault(self, begin_ns: int, seconds: float) -> None:
        simulation = self.simulation
        due_ns = begin_ns + int(self.draw.random() * seconds * NS_PER_S)
        number = self.draw.randrange(simulation.broker_count)
        duration_s = self.draw.uniform(1, 15)
        match self.draw.randrange(6):
            case 0:
                simulation.call_at(due_ns, self._kill_leader)
            case 1:
                simulation.call_at(due_ns, partial(self._pause_leader, duration_s))
            case 2:
                simulation.call_at(due_ns, partial(simulation.pause, number, duration_s))
            case 3 | 4 as kind:
                size = self.draw.randrange(1, simulation.broker_count)
                side = frozenset(self.draw.sample(range(simulation.broker_count), size))
                end_ns = due_ns + int(duration_s * NS_PER_S)
                self.partitions.append(Partition(due_ns, end_ns, side, kind == 4))
            case 5:
                simulation.call_at(due_ns, partial(simulation.restart, number))

    def _kill_leader(self) -> None:
        leader = self.simulation.leader(self.limits[0])
        if leader is not None:
            self.simulation.kill([leader.number])

    def _pause_leader(self, seconds: float) -> None:
        leader = self.simulation.leader(self.limits[0])
        if leader is not None:
            self.simulation.pause(leader.number, seconds)

    def _change_demand(self) -> None:
        for broker in self.simulation.brokers:
            broker.leases.holder.wanted_per_s = {
                limit: self.draw.choice(DEMANDS_PER_S) for limit in self.limits
            }
        self.simulation.call_at(self.simulation.now_ns + DEMAND_INTERVAL_NS, self._change_demand)


def max_concurrent_leases_per_s(records: Iterable[Iterable[LeaseRecord]], limit: str) -> float:
    """Return the most that leases of a limit added up to at any moment.

    Args:
        records: Of each process its record of leases, in any order and with repeated entries, all
            by the clock of one machine.
        limit: Name of the limit.
    """
    steps: list[tuple[int, float]] = []
    for record in records:
        changes = sorted({change for change in record if change.limit == limit})
        for change, following in itertools.zip_longest(changes, changes[1:]):
            end_ns = change.expires_at_ns
            if following is not None:
                end_ns = min(end_ns, following.changed_at_ns)
            if end_ns > change.changed_at_ns and change.amount_per_s > 0:
                steps.append((change.changed_at_ns, change.amount_per_s))
                steps.append((end_ns, -change.amount_per_s))
    # At equal times the ends, which are negative, come before the beginnings.
    steps.sort()
    totals = itertools.accumulate((change for _, change in steps), initial=0.0)
    return max(totals)
