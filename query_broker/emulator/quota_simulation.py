"""Many brokers that share limits, on a simulated clock with faults, and an auditor with the one
true clock. Pure.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from functools import partial

from ..quotas.leases import Leases, shard_of
from ..quotas.messages import HomeAsk, LeaseAsk, LeaseGrant, Promise
from ..quotas.settings import SharesTerms

MS = 1_000_000
S = 1_000 * MS
BEGIN = 1_000 * S
Body = HomeAsk | Promise | LeaseAsk | LeaseGrant
Cut = Callable[[int, int, int], bool]  # now, from, to


class SharingBroker:
    """``rate``: how fast its clock runs; it stands still until ``paused_until``."""

    def __init__(self, number: int, name: str, leases: Leases, rate: float, offset: int) -> None:
        self.number, self.name, self.leases, self.rate, self.offset = (
            number,
            name,
            leases,
            rate,
            offset,
        )
        self.up, self.paused_until, self.generation = True, 0, 0
        self.waiting: list[tuple[str, Body]] = []

    def clock(self, now: int) -> int:
        return int(now * self.rate) + self.offset


class ShareWorld:
    """``loss``: the share of messages; ``view_delay``: how long until a view follows who is there.
    The auditor looks at every lease each `LOOK`: `worst` is the most by which one limit was
    over.
    """

    LOOK = 50 * MS

    def __init__(
        self,
        count: int,
        terms: SharesTerms,
        limits: dict[str, float],
        seed: int,
        drift: float = 0.0,
        loss: float = 0.0,
        cut: Cut | None = None,
        view_delay: int = 4 * S,
    ) -> None:
        self.terms, self.limits, self.draw, self.drift = (
            terms,
            dict(limits),
            random.Random(seed),
            drift,
        )
        self.loss, self.cut, self.view_delay = loss, cut, view_delay
        self.now, self.order = BEGIN, itertools.count()
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.brokers: list[SharingBroker] = []
        self.by_name: dict[str, SharingBroker] = {}
        self.worst: dict[str, float] = dict.fromkeys(limits, 0.0)
        # lease-seconds that were wanted and valid
        self.used: dict[str, float] = dict.fromkeys(limits, 0.0)
        self.messages = 0
        self.count = count
        self.look = self.LOOK * max(1, count // 50)
        for number in range(count):
            self._make(number)
        self._views()
        self.at(self.now, self._audit)

    def _make(self, number: int) -> SharingBroker:
        generation = self.brokers[number].generation + 1 if number < len(self.brokers) else 0
        rate, offset = 1 + self.drift * self.draw.uniform(-1, 1), self.draw.randrange(1_000 * S)
        name = f"b{number}/{generation}"
        leases = Leases(
            name, self.terms, self.count, int(self.now * rate) + offset, self.draw.random
        )
        broker = SharingBroker(number, name, leases, rate, offset)
        broker.generation = generation
        broker.leases.limits = {n: v * (1 - self.terms.guaranteed) for n, v in self.limits.items()}
        if generation:
            self.brokers[number] = broker
        else:
            self.brokers.append(broker)
        self.by_name[name] = broker
        self.at(self.now + self.draw.randrange(100 * MS), lambda: self._tick(broker))
        return broker

    # --- the clock ---

    def at(self, when: int, call: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.order), call))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * S)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = end

    def _tick(self, broker: SharingBroker) -> None:
        if not broker.up:
            return
        if self.now < broker.paused_until:
            self.at(broker.paused_until, lambda: self._tick(broker))
            return
        waiting, broker.waiting = broker.waiting, []
        for sender, body in waiting:
            broker.leases.receive(broker.clock(self.now), sender, body)
        broker.leases.tick(broker.clock(self.now))
        self._flush(broker)
        self.at(self.now + 100 * MS, lambda: self._tick(broker))

    def _flush(self, broker: SharingBroker) -> None:
        out, broker.leases.out = broker.leases.out, []
        for to, body in out:
            self.messages += 1
            target = self.by_name.get(to)
            if target is None or self.draw.random() < self.loss:
                continue
            if self.cut is not None and self.cut(self.now, broker.number, target.number):
                continue
            slow = 50 if self.draw.random() < 0.05 else 1  # some overtake each other
            self.at(
                self.now + slow * self.draw.randrange(MS // 2, 3 * MS),
                partial(self._arrive, target, broker.name, body),
            )

    def _arrive(self, target: SharingBroker, sender: str, body: Body) -> None:
        if not target.up:
            return
        if self.now < target.paused_until:
            if len(target.waiting) < 200:
                target.waiting.append((sender, body))
            return
        target.leases.receive(target.clock(self.now), sender, body)
        self._flush(target)

    # --- who is there ---

    def _views(self) -> None:
        """What a membership would tell: those that are there and not cut off, some seconds late."""
        past = self.now - self.view_delay
        for broker in self.brokers:
            there = [
                b.name
                for b in self.brokers
                if b.up
                and self.now >= b.paused_until
                and (
                    b is broker
                    or self.cut is None
                    or past < BEGIN
                    or not (
                        self.cut(past, b.number, broker.number)
                        and self.cut(past, broker.number, b.number)
                    )
                )
            ]
            sure = len(there) > self.count * 2 / 3
            self.at(self.now + self.draw.randrange(S), partial(broker.leases.view, there, sure))
        self.at(self.now + S, self._views)

    # --- faults ---

    def kill(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.brokers[number].up = False

    def restart(self, number: int) -> None:
        self.brokers[number].up = False
        self._make(number)

    def pause(self, number: int, seconds: float) -> None:
        self.brokers[number].paused_until = self.now + int(seconds * S)

    def home(self, limit: str) -> SharingBroker | None:
        """Who may grant at this moment; more than one is a fault of its own."""
        held = [
            b
            for b in self.brokers
            if b.up and b.leases.authority(shard_of(limit), b.clock(self.now))
        ]
        assert len(held) < 2, f"two homes: {[b.name for b in held]}"
        return held[0] if held else None

    # --- the auditor ---

    def valid(self, limit: str) -> float:
        return sum(b.leases.amount(limit, b.clock(self.now)) for b in self.brokers if b.up)

    def _audit(self) -> None:
        for limit, whole in self.limits.items():
            valid = self.valid(limit)
            self.worst[limit] = max(self.worst[limit], valid - whole * (1 - self.terms.guaranteed))
            self.used[limit] += (
                self.look
                / S
                * sum(
                    min(b.leases.want.get(limit, 0.0), b.leases.amount(limit, b.clock(self.now)))
                    for b in self.brokers
                    if b.up
                )
            )
            self.home(limit)
        self.at(self.now + self.look, self._audit)


def trouble(world: ShareWorld, seed: int, seconds: float) -> None:
    """Faults drawn from a seed, and demand that jumps: ends and pauses of homes and of any,
    restarts, cuts.
    """
    draw, begun, count = random.Random(seed * 7 + 1), world.now, world.count
    cuts: list[tuple[int, int, frozenset[int], bool]] = []
    names = list(world.limits)

    def cut(now: int, a: int, b: int) -> bool:
        return any(
            start <= now < end and ((a in side) > (b in side) or both and (b in side) > (a in side))
            for start, end, side, both in cuts
        )

    def at_home(does: Callable[[int], None]) -> None:
        if (home := world.home(names[0])) is not None:
            does(home.number)

    def demand() -> None:
        for broker in world.brokers:
            broker.leases.want = {n: draw.choice([0.0, 1.0, 10.0, 100.0, 300.0]) for n in names}
        world.at(world.now + 2 * S, demand)

    world.cut = cut
    for _ in range(draw.randrange(4, 12)):
        when, who, span = (
            begun + int(draw.random() * seconds * S),
            draw.randrange(count),
            draw.uniform(1, 15),
        )
        match draw.randrange(6):
            case 0:
                world.at(when, partial(at_home, lambda n: world.kill([n])))
            case 1:
                world.at(when, partial(at_home, partial(world.pause, seconds=span)))
            case 2:
                world.at(when, partial(world.pause, who, span))
            case 3 | 4 as kind:
                side = frozenset(draw.sample(range(count), draw.randrange(1, count)))
                cuts.append((when, when + int(span * S), side, kind == 4))
            case 5:
                world.at(when, partial(world.restart, who))
    world.at(world.now, demand)


def audit(records: Iterable[Iterable[tuple[int, str, float, int]]], limit: str) -> float:
    """The most that leases of a limit, written down by real processes on one machine's clock, added
    up to at any moment. Of each process: when a lease changed, the limit, the amount, and until
    when it was to be used.
    """
    steps: list[tuple[int, float]] = []
    for record in records:
        mine = sorted({(at, amount, until) for at, name, amount, until in record if name == limit})
        for (at, amount, until), after in zip(mine, [*mine[1:], None], strict=True):
            end = until if after is None else min(until, after[0])
            if end > at and amount > 0:
                steps += [(at, amount), (end, -amount)]
    # what ends at a moment has ended before what begins
    steps.sort(key=lambda step: (step[0], step[1]))
    return max(itertools.accumulate((change for _, change in steps), initial=0.0))
