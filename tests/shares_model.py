"""Three brokers and a limit of two tokens, explored: every order of deliveries, losses, repeats,
crashes, pauses and views that differ, up to a depth.

Words of a schedule: `d0` delivers the first message under way, `l0` loses it, `t0` delivers it and
keeps it to come again; `s` lets an eighth of a lease pass for all, `S` a whole one in which nothing
arrives; `r0` ends broker 0 and starts it anew; `p0` makes it sleep through the next ten steps, with
all that comes; `v0` turns its view to the other two, and back. `replay` plays one.
"""

from __future__ import annotations

import copy
import itertools
from collections.abc import Iterator

from query_broker.quotas.leases import Leases, home_of, shard_of
from query_broker.quotas.messages import HomeAsk, LeaseAsk, LeaseGrant, Promise
from query_broker.quotas.settings import SharesTerms

S = 1_000_000_000
TERMS = SharesTerms(lease=4 * S, promise=8 * S, drift=0.01, guaranteed=0.2)
LIMIT, TOKENS = "a", 2.0
REACH = 3
STEP = TERMS.lease // 8
SLEEP = 10  # steps: past the end of any lease


class Broken(AssertionError):
    """A property does not hold; the schedule that leads there."""


class World:
    def __init__(self) -> None:
        self.now = 1_000 * S
        self.rates = (0.991, 1.009, 1.0)
        self.names = ["b0/0", "b1/0", "b2/0"]
        self.brokers = [self._make(i) for i in range(3)]
        self.flying: list[tuple[str, str, HomeAsk | Promise | LeaseAsk | LeaseGrant]] = []
        self.asleep = [0, 0, 0]
        self.turned = [False] * 3
        self.restarts = 0
        for broker in self.brokers:
            broker.silent_until = 0
        for _ in range(20):  # until there is a home that has granted
            self._pass(STEP)
            while self.flying:
                self._deliver(self.flying.pop(0))
        assert self.valid() > 0

    def _make(self, i: int) -> Leases:
        made = Leases(self.names[i], TERMS, 3, self.clock(i), (0.1 * i).__pos__)
        made.limits = {LIMIT: TOKENS}
        made.want = {LIMIT: 1.0 + i % 2}
        made.view(self.names, True)
        return made

    def clock(self, i: int) -> int:
        return int(self.now * self.rates[i])

    def copy(self) -> World:
        return copy.deepcopy(self)

    def _collect(self, i: int) -> None:
        out, self.brokers[i].out = self.brokers[i].out, []
        self.flying += [(self.names[i], to, body) for to, body in out]

    def _deliver(self, message: tuple[str, str, HomeAsk | Promise | LeaseAsk | LeaseGrant]) -> None:
        sender, to, body = message
        if to in self.names and not self.asleep[i := self.names.index(to)]:
            self.brokers[i].receive(self.clock(i), sender, body)
            self._collect(i)

    def _pass(self, span: int) -> None:
        self.now += span
        for i in range(3):
            if self.asleep[i]:
                self.asleep[i] -= 1
                continue
            self.brokers[i].tick(self.clock(i))
            self._collect(i)

    def words(self) -> Iterator[str]:
        yield "s"
        yield "S"
        for i in range(min(REACH, len(self.flying))):
            yield from (f"d{i}", f"l{i}", f"t{i}")
        for i in range(3):
            if self.restarts < 2:
                yield f"r{i}"
            if not self.asleep[i]:
                yield f"p{i}"
            yield f"v{i}"

    def play(self, word: str) -> None:
        at = int(word[1:] or 0)
        match word[0]:
            case "d":
                self._deliver(self.flying.pop(at))
            case "t":
                self._deliver(self.flying[at])
            case "l":
                del self.flying[at]
            case "s":
                self._pass(STEP)
            case "S":
                for _ in range(8):
                    self._pass(STEP)
                    self.check()
                self.flying.clear()
            case "r":
                self.restarts += 1
                self.names[at] = f"b{at}/{self.restarts}"
                self.brokers[at] = self._make(at)
                for i, broker in enumerate(self.brokers):
                    if not self.turned[i]:
                        broker.view(self.names, True)
            case "p":
                self.asleep[at] = SLEEP
            case "v":
                self.turned[at] = not self.turned[at]
                home = home_of(shard_of(LIMIT), tuple(self.names))
                self.brokers[at].view(
                    [n for n in self.names if n != home or not self.turned[at]], True
                )
        self.check()

    def valid(self) -> float:
        return sum(b.amount(LIMIT, self.clock(i)) for i, b in enumerate(self.brokers))

    def check(self) -> None:
        if self.valid() > TOKENS + 1e-9:
            raise Broken(f"{self.valid()} of {TOKENS} tokens are out")
        homes = [
            b.me for i, b in enumerate(self.brokers) if b.authority(shard_of(LIMIT), self.clock(i))
        ]
        if len(homes) > 1:
            raise Broken(f"{homes} may grant")


def replay(schedule: list[str]) -> World:
    world = World()
    for word in schedule:
        world.play(word)
    return world


def explore(depth: int) -> int:
    """Every schedule up to the depth; gives how many states were seen. `Broken` with the
    schedule.
    """
    level: list[tuple[World, list[str]]] = [(World(), [])]
    states = 0
    for _, last in zip(range(depth), itertools.chain([False] * (depth - 1), [True]), strict=True):
        seen: set[str] = set()
        after: list[tuple[World, list[str]]] = []
        for world, schedule in level:
            for word in world.words():
                then, path = world.copy(), [*schedule, word]
                try:
                    then.play(word)
                except Broken as broken:
                    raise Broken(f"{broken}: replay({path!r})") from None
                states += 1
                if not last and (key := _key(then)) not in seen:
                    seen.add(key)
                    after.append((then, path))
        level = after
    return states


def _key(world: World) -> str:
    return repr(
        (
            world.now,
            world.asleep,
            world.turned,
            world.names,
            world.flying,
            [(b.promised, b.held, b.asking, b.homes, b.confirmed) for b in world.brokers],
        )
    )
