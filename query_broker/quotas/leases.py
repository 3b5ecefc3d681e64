"""Hard limits by leases: the promises that make one broker the home of a shard, what the home
grants, what
each holds. Pure; `now` is this broker's own clock, which may run fast or slow by the stated drift.

Three duties, all in every broker:

* **Promiser**: agrees to one home of a shard at a time, for a while. One that has just started
  agrees to none
until
  whatever it promised before it died has ended.
* **Home**: grants only while more than half of the fleet (by the size in the file) has agreed. Two
  homes
never
  both have that: two halves share a broker, and its promises follow one another (Gray and
  Cheriton's leases,
  1989; the terms are those of Raft). A new home does not know what the last one granted: what
  holders show
  it, dated after it became the only home, it renews; it raises nothing until all that the last one
  granted
  has ended.
* **Holder**: counts a lease from when it asked, shorter than the home does, and looks at its own
  clock at
each use:
  one that was paused wakes to a lease that has ended.

So the sum of what is valid never passes the limit, whatever is lost, late, twice, cut or restarted,
while
clocks keep the stated drift.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import lru_cache

from .fair_allocation import water_level
from .messages import Granted, HomeAsk, LeaseAsk, LeaseGrant, Promise, Want
from .settings import ASKS, SHARDS, SharesTerms, held_for, owed_for

MOST_LIMITS = 4_096
MOST_WANTS = 12  # in one message
LEAST = 1e-9


@lru_cache(MOST_LIMITS)
def shard_of(limit: str) -> int:
    return hashlib.blake2b(limit.encode(), digest_size=2).digest()[0] % SHARDS


@lru_cache(256)
def home_of(shard: int, members: tuple[str, ...]) -> str:
    """Rendezvous: the same for all that hold the same view; one that goes moves its own shards
    alone.
    """

    def draw(member: str) -> bytes:
        return hashlib.blake2b(f"{shard}/{member}".encode(), digest_size=8).digest()

    return max(members, key=draw, default="")


@dataclass(slots=True)
class Entry:
    """What a home has out with one holder, by grant: any of those that have not ended may be what
    it goes by.
    """

    grants: dict[int, tuple[float, int]] = field(default_factory=dict)  # grant: amount, end
    seq: int = -1
    want: float = 0.0
    wanted: int = 0

    def out(self, now: int) -> float:
        return max((amount for amount, end in self.grants.values() if end > now), default=0.0)


@dataclass(slots=True)
class Home:
    """One shard that we are home of, or try to be."""

    term: int
    promises: dict[str, int] = field(default_factory=dict)  # who: until when, by our clock
    asked: dict[int, int] = field(default_factory=dict)  # seq: when it was sent
    since: int = 0  # we alone grant, from then on; 0: not yet
    raises_at: int = 0  # what the last home granted has ended
    books: dict[str, dict[str, Entry]] = field(default_factory=dict)  # limit: holder: entry


@dataclass(slots=True)
class Lease:
    amount: float
    until: int
    grant: int
    term: int


class Leases:
    """``out``: messages, and to whom. ``limits``: the leased part of each hard limit."""

    def __init__(
        self,
        me: str,
        terms: SharesTerms,
        fleet: int,
        now: int,
        draw: Callable[[], float] = lambda: 0.5,
    ) -> None:
        self.me, self.terms, self.fleet, self.draw = me, terms, fleet, draw
        self.limits: dict[str, float] = {}
        self.members: tuple[str, ...] = ()
        self.certain = False
        self.out: list[tuple[str, HomeAsk | Promise | LeaseAsk | LeaseGrant]] = []
        self.promised: dict[int, tuple[str, int, int]] = {}  # shard: home, term, until
        self.silent_until = now + owed_for(terms.promise, terms.drift)
        self.homes: dict[int, Home] = {}
        self.held: dict[str, Lease] = {}
        self.terms_seen: dict[int, int] = {}  # shard: the highest
        self.confirmed: dict[int, int] = {}  # shard: the term in which its home is held
        self.want: dict[str, float] = {}
        self.spare: set[str] = set()  # limits of which we take what others leave, also without need
        self.asking: dict[str, tuple[int, int]] = {}  # limit: seq of the last ask, when
        self.seq = 0
        # danger: another home's number would pass for one of ours
        self.grant = 1 + int(draw() * (1 << 40))
        self.home_at = self.ask_at = now
        self.figures = {"asked": 0, "granted": 0, "refused": 0, "homes_lost": 0, "ended": 0}
        # limit, holder: what operators have recalled it to
        self.caps: dict[tuple[str, str], float] = {}

    # --- what others read ---

    def amount(self, limit: str, now: int) -> float:
        """What of the leased part is ours to use at this moment."""
        lease = self.held.get(limit)
        return lease.amount if lease is not None and now < lease.until else 0.0

    def floor(self, whole: float) -> float:
        """What is ours without a word from anybody."""
        return whole * self.terms.guaranteed / self.fleet

    def ends(self, now: int) -> int:
        """When the first of our leases ends."""
        return min((le.until for le in self.held.values() if le.until > now), default=0)

    def authority(self, shard: int, now: int) -> bool:
        """Danger: where more brokers are there than the file says, two homes may each have half of
        its number.
        """
        home = self.homes.get(shard)
        if home is None or len(self.members) > self.fleet:
            return False
        return sum(until > now for until in home.promises.values()) * 2 > self.fleet

    def view(self, members: Sequence[str], certain: bool) -> None:
        self.members, self.certain = tuple(members), certain

    def home(self, limit: str) -> str:
        return home_of(shard_of(limit), self.members)

    # --- promises ---

    def _promise(self, now: int, home: str, ask: HomeAsk) -> Promise:
        agreed, in_the_way = list[int](), list[tuple[int, int]]()
        for shard, term, held in ask.shards[:SHARDS]:
            if not 0 <= shard < SHARDS:
                continue
            before = self.promised.get(shard)
            free = before is None or now >= before[2] or before[0] == home and term >= before[1]
            if now < self.silent_until or not free or term < self.terms_seen.get(shard, 0):
                in_the_way.append((shard, self.terms_seen.get(shard, 0)))
                continue
            self.terms_seen[shard] = term
            self.promised[shard] = home, term, now + self.terms.promise
            if held:
                self.confirmed[shard] = term
            agreed.append(shard)
        return Promise(ask.seq, tuple(agreed), tuple(in_the_way))

    def _promised(self, now: int, who: str, promise: Promise) -> None:
        for shard, term in promise.terms:
            home = self.homes.get(shard)
            if home is not None and term > home.term and not self.authority(shard, now):
                home.term, home.since = term + 1, 0
                home.promises.clear()
                home.asked.clear()
        for shard in promise.agreed:
            home = self.homes.get(shard)
            if home is None or (sent := home.asked.get(promise.seq)) is None:
                continue
            until = sent + held_for(self.terms.promise, self.terms.drift)
            home.promises[who] = max(home.promises.get(who, 0), until)
        self._rule(now)

    def _rule(self, now: int) -> None:
        """Who we are the only home of. Danger: authority that lapsed for a moment may have been
        another's meanwhile: it begins anew, in a new term, with nothing known.
        """
        for shard, home in self.homes.items():
            if self.authority(shard, now):
                if not home.since:
                    home.since, home.books = now, {}
                    home.raises_at = now + owed_for(self.terms.lease, self.terms.drift)
            elif home.since:
                home.since, home.term = 0, home.term + 1
                home.promises.clear()
                home.asked.clear()
                self.figures["homes_lost"] += 1

    def _seek(self, now: int) -> None:
        """Ask all members to agree to us where the view says that we are home."""
        mine = {
            s
            for s in range(SHARDS)
            if self.certain
            and home_of(s, self.members) == self.me
            and any(shard_of(name) == s for name in self.limits)
        }
        for shard in list(self.homes):
            if shard not in mine and not self.authority(shard, now):
                del self.homes[shard]
        for shard in mine:
            if shard not in self.homes:
                self.homes[shard] = Home(self.terms_seen.get(shard, 0) + 1)
        if not mine:
            return
        self.seq += 1
        shards = []
        for shard in sorted(mine):
            home = self.homes[shard]
            home.asked[self.seq] = now
            for old in [s for s in home.asked if s < self.seq - 8]:
                del home.asked[old]
            shards.append((shard, home.term, bool(home.since)))
        ask = HomeAsk(self.seq, tuple(shards))
        self._promised(now, self.me, self._promise(now, self.me, ask))
        self.out += [(m, ask) for m in self.members if m != self.me]

    # --- grants ---

    def _lend(self, now: int, holder: str, ask: LeaseAsk) -> None:
        given = []
        for want in ask.wants[:MOST_WANTS]:
            home = self.homes.get(shard_of(want.limit))
            whole = self.limits.get(want.limit)
            if home is None or whole is None or not home.since:
                continue
            if not self.authority(shard_of(want.limit), now):
                continue
            book = home.books.setdefault(want.limit, {})
            entry = book.setdefault(holder, Entry())
            if ask.seq <= entry.seq:
                continue  # an older ask that was late: what it says of its holder is no more so
            entry.seq, entry.want, entry.wanted = ask.seq, want.want, now
            amount = self._amount(now, home, book, holder, want, whole)
            if amount is None:
                continue
            # It takes no grant but the one for its last ask: all others but that which it goes by
            # are void.
            entry.grants = {g: v for g, v in entry.grants.items() if g == want.grant and v[1] > now}
            self.grant += 1
            entry.grants[self.grant] = (amount, now + self.terms.lease)
            given.append(Granted(want.limit, amount, self.grant, home.term))
            self.figures["granted"] += 1
        if given:
            self.out.append((holder, LeaseGrant(ask.seq, tuple(given))))

    def _amount(
        self, now: int, home: Home, book: dict[str, Entry], holder: str, want: Want, whole: float
    ) -> float | None:
        """None: nothing may be said to this one yet."""
        others = sum(e.out(now) for h, e in book.items() if h != holder)
        mine = book[holder]
        if now < home.raises_at:
            # What it shows is of the last home, and all shown together is within the limit; no more
            # is given.
            if want.term != home.term:
                return None if want.held > 0 else 0.0
            shown = max(want.held, mine.out(now)) if want.grant else mine.out(now)
            return max(
                0.0, min(max(want.want, shown if want.want >= 0 else 0.0), shown, whole - others)
            )
        fresh = {
            h: min(e.want, self.caps.get((want.limit, h), e.want))
            for h, e in book.items()
            if now - e.wanted < self.terms.lease
        }
        levels = water_level({h: max(0.0, w) for h, w in fresh.items()}, whole)
        level = levels.get(holder, 0.0)
        if want.want >= 0 and (want.limit, holder) not in self.caps:
            # What nobody needs now, evenly: traffic that jumps meets something until the next ask.
            level += (whole - sum(levels.values())) / max(len(self.members), len(levels))
        amount = min(level, whole - others)
        if amount < level - LEAST:
            self.figures["refused"] += 1
        return max(0.0, amount)

    def _take(self, now: int, home: str, grant: LeaseGrant) -> None:
        for given in grant.granted:
            shard = shard_of(given.limit)
            seq, sent = self.asking.get(given.limit, (-1, 0))
            if grant.seq != seq or given.term < self.terms_seen.get(shard, 0):
                continue
            self.terms_seen[shard] = given.term
            self.asking[given.limit] = -1, sent  # one grant for one ask
            self.held[given.limit] = Lease(
                given.amount,
                sent + held_for(self.terms.lease, self.terms.drift),
                given.grant,
                given.term,
            )

    def _ask(self, now: int) -> None:
        """Ahead of need: each quarter of a lease, and at once for what is wanted and not held."""
        by_home: dict[str, list[Want]] = {}
        for limit in self.limits:
            home = self.home(limit)
            if not home:
                continue
            shard, lease = shard_of(limit), self.held.get(limit)
            live = lease is not None and now < lease.until
            want = self.want.get(limit, 0.0)
            idle = want <= 0 and limit not in self.spare
            if not live and idle:
                continue
            held, number = (lease.amount, lease.grant) if live and lease is not None else (0.0, 0)
            if idle and lease is not None:
                lease.until = now  # it is given back: from this moment it is not used
                want, held, number = -1.0, 0.0, 0
            by_home.setdefault(home, []).append(
                Want(limit, want, held, number, self.confirmed.get(shard, -1))
            )
        for home, wants in by_home.items():
            for at in range(0, len(wants), MOST_WANTS):
                part = wants[at : at + MOST_WANTS]
                self.seq += 1
                for one in part:
                    self.asking[one.limit] = self.seq, now
                self.figures["asked"] += len(part)
                ask = LeaseAsk(self.seq, tuple(part))
                if home == self.me:
                    self._lend(now, self.me, ask)
                else:
                    self.out.append((home, ask))
        for to, message in [m for m in self.out if m[0] == self.me]:
            self.out.remove((to, message))
            if isinstance(message, LeaseGrant):
                self._take(now, self.me, message)

    # --- from outside ---

    def receive(
        self, now: int, sender: str, message: HomeAsk | Promise | LeaseAsk | LeaseGrant
    ) -> None:
        match message:
            case HomeAsk():
                self.out.append((sender, self._promise(now, sender, message)))
            case Promise():
                self._promised(now, sender, message)
            case LeaseAsk():
                self._rule(now)
                self._lend(now, sender, message)
            case LeaseGrant():
                self._take(now, sender, message)

    def hurry(self, now: int) -> None:
        """More is needed than we hold."""
        self.ask_at = min(self.ask_at, now)

    def tick(self, now: int) -> None:
        self._rule(now)
        if now >= self.home_at:
            self.home_at = now + self.terms.promise // ASKS
            self._seek(now)
        if now >= self.ask_at:
            self.ask_at = now + self.terms.lease // ASKS
            self._ask(now)
        for limit, lease in list(self.held.items()):
            if now >= lease.until:
                del self.held[limit]
                self.figures["ended"] += lease.amount > 0
