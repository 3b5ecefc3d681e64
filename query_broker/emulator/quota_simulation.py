"""Simulates many brokers that share limits through leases, with faults, on a simulated clock.

The brokers' own clocks deviate from the true clock, by which an audit adds up all valid leases.
Performs no I/O.
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
#: The most messages that are queued for a paused broker; further ones are lost.
MAX_QUEUED_MESSAGES = 200
#: The probability that a message is slow, so that later messages overtake it, and the factor by
#: which its delay is multiplied.
SLOW_MESSAGE_PROBABILITY = 0.05
SLOW_MESSAGE_FACTOR = 50
#: A view is certain if more than this fraction of all brokers is reachable.
CERTAIN_FRACTION = 2 / 3

#: Returns whether a partition cuts off a message, from the time in nanoseconds and the numbers of
#: the sender and the recipient.
PartitionCheck = Callable[[int, int, int], bool]


class QueuedMessage(NamedTuple):
    """A message that arrived while the recipient was paused."""

    sender: str
    message: LeaseMessage


class SimulatedBroker:
    """A simulated broker with its own clock.

    Attributes:
        number: The number of the broker.
        name: The name of the broker, which changes with each restart.
        leases: The lease manager under simulation.
        clock_rate: The rate of the broker's clock relative to the true clock.
        clock_offset_ns: The offset of the broker's clock from the true clock.
        generation: Number of restarts.
        is_running: Whether the broker runs; False after it was killed.
        paused_until_ns: When the last pause ends, by the true clock.
        queued_messages: Messages that arrived during a pause.
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
        self.queued_messages: list[QueuedMessage] = []

    def clock_ns(self, now_ns: int) -> int:
        """Return the time of the broker's clock at a true time."""
        return int(now_ns * self.clock_rate) + self.clock_offset_ns

    def amount_per_s(self, limit: str, now_ns: int) -> float:
        """Return the rate that the broker holds of the leased part of a limit at a true time."""
        return self.leases.amount_per_s(limit, self.clock_ns(now_ns))


@dataclass(frozen=True, slots=True)
class SimulatedConditions:
    """Clock drift, message loss and view delay in a simulation.

    Attributes:
        clock_drift: The largest deviation of a clock's rate from the true rate, as a fraction.
        loss: The fraction of messages that are lost.
        view_delay_ns: How long a change of reachability takes to reach the views.
    """

    clock_drift: float = 0.0
    loss: float = 0.0
    view_delay_ns: int = 4 * NS_PER_S


IDEAL_CONDITIONS = SimulatedConditions()


class QuotaSimulation:
    """Simulated brokers, the messages between them, and an audit of their leases.

    Attributes:
        brokers: All brokers, by number.
        worst_overshoot_per_s: The most by which valid leases exceeded the leased part, by limit.
        used_amounts: The leased rates that were both wanted and valid, summed over time, by limit.
        message_count: Number of messages sent.
        is_cut: The function that decides which messages a partition cuts off; None for none.
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
            conditions: Clock drift, message loss and view delay.
        """
        self.settings = settings
        self.limits = dict(limits)
        self.draw = random.Random(seed)
        self.conditions = conditions
        self.is_cut: PartitionCheck | None = None
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

    def call_at(self, due_ns: int, callback: Callable[[], None]) -> None:
        """Schedule a call at a true time."""
        self._events.schedule(due_ns, callback)

    def run(self, seconds: float) -> None:
        """Advance the true clock by this time and make the calls that are due."""
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
        queued_messages = broker.queued_messages
        broker.queued_messages = []
        for sender, message in queued_messages:
            broker.leases.receive(broker.clock_ns(self.now_ns), sender, message)
        broker.leases.tick(broker.clock_ns(self.now_ns))
        self._send_outbox(broker)
        self.call_at(self.now_ns + TICK_NS, lambda: self._tick(broker))

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
            if len(target.queued_messages) < MAX_QUEUED_MESSAGES:
                target.queued_messages.append(QueuedMessage(sender, message))
            return
        target.leases.receive(target.clock_ns(self.now_ns), sender, message)
        self._send_outbox(target)

    def _update_views(self) -> None:
        """Set each broker's view: the running brokers that were reachable `view_delay_ns` ago."""
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

    def kill(self, numbers: Iterable[int]) -> None:
        """Stop brokers permanently."""
        for number in numbers:
            self.brokers[number].is_running = False

    def restart(self, number: int) -> None:
        """Replace a broker by a new one with a new name."""
        self.brokers[number].is_running = False
        generation = self.brokers[number].generation + 1
        self.brokers[number] = self._create(number, generation)

    def pause(self, number: int, seconds: float) -> None:
        """Pause a broker for some time; its messages are queued."""
        self.brokers[number].paused_until_ns = self.now_ns + int(seconds * NS_PER_S)

    def leader(self, limit: str) -> SimulatedBroker | None:
        """Return the broker that may grant leases of a limit now; None if there is none.

        Raises:
            AssertionError: Two brokers may grant leases of the limit.
        """
        leaders = [
            broker
            for broker in self.brokers
            if broker.is_running
            and broker.leases.has_authority(limit, broker.clock_ns(self.now_ns))
        ]
        assert len(leaders) < 2, f"two leaders: {[leader.name for leader in leaders]}"
        return leaders[0] if leaders else None

    def valid_per_s(self, limit: str) -> float:
        """Return the sum of all valid leases of a limit, per second."""
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
            self.leader(limit)  # raises if there are two leaders
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
    """A partition that cuts off messages from one side to the rest, or in both directions."""

    start_ns: int
    end_ns: int
    side: frozenset[int]
    is_bidirectional: bool

    def cuts(self, now_ns: int, sender: int, recipient: int) -> bool:
        """Return whether the partition cuts off a message."""
        if not self.start_ns <= now_ns < self.end_ns:
            return False
        if sender in self.side and recipient not in self.side:
            return True
        return self.is_bidirectional and recipient in self.side and sender not in self.side


class FaultInjector:
    """Schedules random faults and changes of demand in a simulation, from a seed."""

    def __init__(self, simulation: QuotaSimulation, seed: int) -> None:
        """Create an injector for a simulation; `schedule` schedules the faults."""
        self.simulation = simulation
        self.draw = random.Random(seed * 7 + 1)
        self.partitions: list[Partition] = []
        self.limits = list(simulation.limits)

    def schedule(self, seconds: float) -> None:
        """Schedule faults within this time, and sudden changes of demand.

        Leaders are killed and paused, any brokers are paused and restarted, and partitions cut off
        messages in one or both directions.
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
    """Return the largest sum of the leases of a limit at any time, per second.

    Args:
        records: The lease records of each process, in any order and possibly repeated; all times
            must be by the clock of one machine.
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
    # At equal times the ends of leases, which are negative, are sorted before the beginnings.
    steps.sort()
    totals = itertools.accumulate((change for _, change in steps), initial=0.0)
    return max(totals)
