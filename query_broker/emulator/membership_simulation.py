"""Many members on a simulated clock, with links that lose, delay and cut, and members that pause,
end and come back. Pure: a run of a seed is the same each time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

from ..membership.failure_detector import Change, Detector
from ..membership.incarnations import EVERY, Chain
from ..membership.messages import Claim, Identity, Message, Status
from ..membership.settings import MembersTerms

MS = 1_000_000
S = 1_000 * MS
BEGIN = 1_000 * S
PARTS = 5  # ticks of a member in an interval
HELD = 200  # datagrams that wait for a member that stands still
Lost = Callable[[int, int, int], float]  # now, from, to: the share of datagrams that are lost


class SimMember:
    def __init__(self, number: int, address: str, detector: Detector) -> None:
        self.number, self.address, self.detector = number, address, detector
        self.up, self.paused_until, self.generation = True, 0, 0
        self.count = 0
        self.waiting: list[tuple[int, tuple[bytes, Claim, Message]]] = []
        self.seen: list[tuple[int, Change]] = []


class MemberWorld:
    """``lost``: who loses what; ``delay``: ns one way, as ``lost`` takes its words."""

    def __init__(
        self,
        count: int,
        terms: MembersTerms,
        seed: int,
        lost: Lost | None = None,
        delay: Lost | None = None,
        joined: bool = True,
    ) -> None:
        self.terms, self.draw = terms, random.Random(seed)
        self.now, self.order = BEGIN, itertools.count()
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.lost, self.delay = lost, delay
        self.sent: Counter[int] = Counter()
        self.messages = 0
        self.members: list[SimMember] = []
        self.by_address: dict[str, int] = {}
        for i in range(count):
            self._make(i)
        if joined:
            detectors = [m.detector for m in self.members]
            for d in detectors:
                d.preload(detectors)

    def _chain(self) -> Chain:
        return Chain(self.draw.randbytes(16), EVERY * 4)

    def _make(self, number: int, address: str = "") -> SimMember:
        address = address or f"10.0.{number // 250}.{number % 250}:7000"
        detector = Detector(
            address,
            self.terms,
            self._chain(),
            random.Random(self.draw.getrandbits(60)),
            self.now,
            number,
        )
        member = SimMember(number, address, detector)
        if number < len(self.members):
            member.generation = self.members[number].generation + 1
            self.members[number] = member
        else:
            self.members.append(member)
        self.by_address[address] = number
        self._tick_later(member, self.now + int(self.draw.random() * self.terms.interval / PARTS))
        return member

    # --- the clock ---

    def at(self, when: int, call: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.order), call))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """So many seconds on, or until something is so, looked at ten times a second."""
        end, look = self.now + int(seconds * S), self.now
        while self.heap and self.heap[0][0] <= end:
            when, _, call = heapq.heappop(self.heap)
            if until is not None and when >= look:
                self.now, look = max(self.now, look), when + S // 10
                if until():
                    heapq.heappush(self.heap, (when, -1, call))
                    return True
            self.now = when
            call()
        self.now = end
        return until is not None and until()

    def _tick_later(self, member: SimMember, when: int) -> None:
        self.at(when, lambda: self._tick(member, when))

    def _tick(self, member: SimMember, when: int) -> None:
        if not member.up:
            return
        if self.now < member.paused_until:
            self.at(member.paused_until, lambda: self._tick(member, when))
            return
        if member.waiting and not self.draw.randrange(2):
            self._read(member)  # a process that wakes may read first, or look at its timers
        member.detector.tick(self.now, self.now - when)
        self._read(member)
        self._flush(member)
        self._tick_later(member, self.now + self.terms.interval // PARTS)

    def _read(self, member: SimMember) -> None:
        waiting, member.waiting = member.waiting, []
        for count, (boot, own, message) in waiting:
            member.detector.receive(self.now, boot, count, own, message)

    def _flush(self, member: SimMember) -> None:
        d = member.detector
        own = d.own()
        out, d.out = d.out, []
        for id, message in out:
            to = self.by_address.get(id.address)
            self.messages += 1
            self.sent[member.number] += 80 + sum(c.size() for c in getattr(message, "claims", ()))
            member.count += 1
            if to is not None:
                self._pass(member, to, id.boot, member.count, own, message)
        syncs, d.syncs = d.syncs, []
        for address in syncs:
            self._sync(member, self.by_address.get(address))
        changes, d.changes = d.changes, []
        member.seen += [(self.now, c) for c in changes]

    def _pass(
        self, member: SimMember, to: int, boot: bytes, count: int, own: Claim, message: Message
    ) -> None:
        if self.lost is not None and self.draw.random() < self.lost(self.now, member.number, to):
            return
        wait = self.draw.randrange(MS // 2, 2 * MS)
        if self.delay is not None:
            wait += int(self.delay(self.now, member.number, to))
        self.at(self.now + wait, lambda: self._arrive(to, boot, count, own, message))

    def _arrive(self, to: int, boot: bytes, count: int, own: Claim, message: Message) -> None:
        member = self.members[to]
        if not member.up:
            return
        if self.now < member.paused_until:
            if len(member.waiting) < HELD:
                member.waiting.append((count, (boot, own, message)))
            return
        member.detector.receive(self.now, boot, count, own, message)
        self._flush(member)

    def _sync(self, member: SimMember, to: int | None) -> None:
        """Both tables, whole, as over a connection: where either way is cut, none."""
        if to is None or not self.members[to].up or self.now < self.members[to].paused_until:
            return
        ways = ((member.number, to), (to, member.number))
        if self.lost is not None and max(self.lost(self.now, *way) for way in ways) > 0.95:
            return
        other = self.members[to]
        ours, theirs = member.detector.told(), other.detector.told()
        self.sent[member.number] += sum(c.size() for c in ours)
        self.sent[to] += sum(c.size() for c in theirs)

        def arrive() -> None:
            for m, claims in ((member, theirs), (other, ours)):
                if m.up and self.now >= m.paused_until:
                    m.detector.merge_table(self.now, claims)
                    self._flush(m)

        self.at(self.now + 5 * MS, arrive)

    # --- faults ---

    def kill(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.members[number].up = False

    def pause(self, numbers: Iterable[int], seconds: float) -> None:
        for number in numbers:
            self.members[number].paused_until = self.now + int(seconds * S)

    def restart(self, number: int, seeds: Iterable[int], address: str = "") -> SimMember:
        """Another process, at the same address if no other is named."""
        self.members[number].up = False
        member = self._make(number, address or self.members[number].address)
        member.detector.seeds = [self.members[s].address for s in seeds]
        return member

    def leave(self, number: int) -> None:
        member = self.members[number]
        member.detector.leave(self.now)
        self._flush(member)
        member.up = False

    # --- what came of it ---

    def living(self) -> list[SimMember]:
        return [m for m in self.members if m.up]

    def all_hold(self, ids: Iterable[Identity], among: Iterable[SimMember] | None = None) -> bool:
        """All of them, those that live else, hold just these, with or without themselves."""
        wanted = set(ids)
        return all({*m.detector.there(), m.detector.me} == wanted for m in (among or self.living()))

    def agree(self) -> bool:
        return self.all_hold([m.detector.me for m in self.living()])

    def removals(self, of: Iterable[Identity] | None = None) -> list[tuple[int, int, Identity]]:
        """When, by whom, whom."""
        wanted = None if of is None else set(of)
        return [
            (at, m.number, c.id)
            for m in self.members
            for at, c in m.seen
            if c.status is Status.DEAD and (wanted is None or c.id in wanted)
        ]
