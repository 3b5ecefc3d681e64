"""Three members, explored: every order of deliveries, losses, repeats, silences and restarts up to
a depth.

A schedule is a list of words: `d0` delivers the first message under way, `l0` loses it, `t0`
delivers it and leaves it there to come again; `s` lets an interval pass, `j` so many in which
nothing arrives that suspicions end; `r0` ends member 0 and starts another process at its address.
`replay` plays one.
"""

from __future__ import annotations

import io
import pickle
from collections.abc import Iterator
from typing import Any

from query_broker.membership.failure_detector import Detector
from query_broker.membership.incarnations import EVERY, Chain
from query_broker.membership.messages import Claim, Identity, Message, Status
from query_broker.membership.settings import MembersTerms

S = 1_000_000_000
TERMS = MembersTerms()
REACH = 3  # messages under way that may be next: how far they overtake each other
SILENCE = 8  # intervals, by a quarter each
GONE = (Status.DEAD, Status.LEFT)


class Draw:
    """A small source of draws that is quickly copied."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def random(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 11) / (1 << 53)

    def randrange(self, most: int) -> int:
        return int(self.random() * most)

    def getrandbits(self, bits: int) -> int:
        self.random()
        return self.state >> (64 - bits)

    def choice(self, among: Any) -> Any:
        return among[self.randrange(len(among))]

    def sample(self, among: list[Any], count: int) -> list[Any]:
        left = list(among)
        return [left.pop(self.randrange(len(left))) for _ in range(count)]

    def shuffle(self, among: Any) -> None:
        items = [among.popleft() for _ in range(len(among))]
        among.extend(self.sample(items, len(items)))


CHAINS = {f"{i}/{g}": Chain(f"{i}/{g}".encode(), EVERY) for i in range(3) for g in range(8)}
NAMES = {id(chain): name for name, chain in CHAINS.items()}


class _Pickler(pickle.Pickler):
    def persistent_id(self, obj: Any) -> str | None:
        return NAMES.get(id(obj)) if isinstance(obj, Chain) else "terms" if obj is TERMS else None


class _Unpickler(pickle.Unpickler):
    def persistent_load(self, name: str) -> Any:
        return TERMS if name == "terms" else CHAINS[name]


def made(number: int, generation: int, now: int) -> Detector:
    draw: Any = Draw(number + 1 + 100 * generation)
    return Detector(f"h{number}:1", TERMS, CHAINS[f"{number}/{generation}"], draw, now, number)


class Broken(AssertionError):
    """A property does not hold; the schedule that leads there."""


class World:
    def __init__(self) -> None:
        self.now = 1_000 * S
        self.members = [made(i, 0, self.now) for i in range(3)]
        self.count, self.generation = 0, [0, 0, 0]
        self.flying: list[tuple[int, bytes, int, Claim, Message]] = []
        # what each held: incarnation, gone
        self.known: list[dict[Identity, tuple[int, bool]]] = [{}, {}, {}]
        self.highest: dict[Identity, int] = {}  # of each identity that there ever was, its own word
        for member in self.members:
            member.preload(self.members)
            member.probe_at = self.now
        self.check()

    def copy(self) -> World:
        out = io.BytesIO()
        _Pickler(out, 5).dump(self)
        out.seek(0)
        copied: World = _Unpickler(out).load()
        return copied

    def _collect(self, member: Detector) -> None:
        for to, message in member.out:
            self.count += 1
            for i, other in enumerate(self.members):
                if other.me.address == to.address:
                    self.flying.append((i, to.boot, self.count, member.own(), message))
        member.out.clear()
        member.syncs.clear()
        member.changes.clear()

    def _deliver(self, at: int) -> None:
        to, boot, count, own, message = self.flying[at]
        self.members[to].receive(self.now, boot, count, own, message)
        self._collect(self.members[to])

    def _pass(self, quarters: int) -> None:
        for _ in range(quarters):
            self.now += TERMS.interval // 4
            for member in self.members:
                member.tick(self.now)
                self._collect(member)

    def words(self) -> Iterator[str]:
        yield "s"
        yield "j"
        for i in range(min(REACH, len(self.flying))):
            yield from (f"d{i}", f"l{i}", f"t{i}")
        yield from (f"r{i}" for i in range(2) if self.generation[i] < 1)

    def play(self, word: str) -> None:
        at = int(word[1:] or 0)
        match word[0]:
            case "d":
                message = self.flying[at]
                self._deliver(at)
                self.flying.remove(message)
            case "t":
                self._deliver(at)
            case "l":
                del self.flying[at]
            case "s":
                self._pass(4)
            case "j":
                self._pass(4 * SILENCE)
                self.flying.clear()
            case "r":
                self.generation[at] += 1
                self.members[at] = made(at, self.generation[at], self.now)
                self.members[at].seeds = [
                    m.me.address for m in self.members if m is not self.members[at]
                ]
                self.known[at] = {}
        self.check()

    def check(self) -> None:
        for member in self.members:
            self.highest[member.me] = member.inc
        for i, member in enumerate(self.members):
            before = self.known[i]
            for id, peer in member.table.items():
                if peer.inc > self.highest[id]:
                    raise Broken(
                        f"{i} holds an incarnation {peer.inc} of {id.address} that never was"
                    )
                inc, gone = before.get(id, (-1, False))
                if peer.inc < inc:
                    raise Broken(
                        f"{i} went back from incarnation {inc} of {id.address} to {peer.inc}"
                    )
                if gone and peer.inc == inc and peer.status not in GONE:
                    raise Broken(
                        f"incarnation {inc} of {id.address} came back from the dead at {i}"
                    )
                before[id] = peer.inc, peer.status in GONE

    def settle(self) -> bool:
        """Once messages flow: do all hold the same view within so many intervals?"""
        for _ in range(240):
            self._pass(1)
            while self.flying:
                self._deliver(0)
                del self.flying[0]
            self.check()
            if all({*m.there(), m.me} == {o.me for o in self.members} for m in self.members):
                return True
        return False


def replay(schedule: list[str]) -> World:
    world = World()
    for word in schedule:
        world.play(word)
    return world


def explore(depth: int, settle_every: int) -> tuple[int, int]:
    """Every schedule up to the depth; one state in so many is let settle. Gives states, and how
    many settled. `Broken` with the schedule, as a list that `replay` takes.
    """
    level: list[tuple[World, list[str]]] = [(World(), [])]
    states = settled = 0
    for _ in range(depth):
        seen: set[bytes] = set()
        after: list[tuple[World, list[str]]] = []
        for world, schedule in level:
            for word in world.words():
                then, path = world.copy(), [*schedule, word]
                try:
                    then.play(word)
                    states += 1
                    if states % settle_every == 0:
                        settled += 1
                        if not then.copy().settle():
                            raise Broken("the views differ though messages flow")
                except Broken as broken:
                    raise Broken(f"{broken}: replay({path!r})") from None
                key = _key(then)
                if key not in seen:
                    seen.add(key)
                    after.append((then, path))
        level = after
    return states, settled


def _key(world: World) -> bytes:
    """Equal for states that go on alike."""
    return repr(
        (
            [
                (
                    m.inc,
                    m.me.boot,
                    m.probe_at - world.now,
                    m.health.score,
                    sorted((p.id, p.inc, p.status, p.count) for p in m.table.values()),
                    sorted((i, s.begun - world.now, len(s.by)) for i, s in m.suspicions.items()),
                    len(m.probes),
                    sorted((c.id, c.status, t) for c, t in m.gossip.waiting.values()),
                )
                for m in world.members
            ],
            [(to, type(m).__name__, own.inc) for to, _, _, own, m in world.flying],
        )
    ).encode()
