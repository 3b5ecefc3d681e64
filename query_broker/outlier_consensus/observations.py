"""Evidence, not opinions: who saw what of which engine, when. A verdict is a function of it. Pure.

An engine is known by its uid and its start, so that one that is reborn begins clean. Each broker
tells its own rows alone, with a version, as counters do; a verdict needs several distinct
observers, so that one that lies, or whose own network is broken, holds out nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from .settings import VerdictTerms

MOST_ENGINES = 64  # in one broker's row: those of which it saw failures, the newest first
MOST_KEPT = 16  # outcomes of one engine
MOST_OBSERVERS = 4_096


class Engine(msgspec.Struct, array_like=True, frozen=True):
    """``boot``: ms since the epoch of its start."""

    uid: str
    boot: int


class Seen(msgspec.Struct, array_like=True, frozen=True):
    """By one observer: outcomes within the last while, and ms since the last of each kind; -1:
    none.
    """

    engine: Engine
    bad: int
    good: int
    bad_ago: int
    good_ago: int


class Report(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """One observer's row. ``age``: ms since it was written."""

    who: str
    zone: str
    version: int
    age: int
    seen: tuple[Seen, ...]


class Reports(msgspec.Struct, array_like=True, frozen=True, tag=2):
    reports: tuple[Report, ...]


class Kind(Enum):
    BAD = "bad for all"
    ZONE = "out of this zone's reach"


@dataclass(slots=True)
class Own:
    """Outcomes of one engine, as this broker met them."""

    outcomes: deque[tuple[int, bool]] = field(default_factory=lambda: deque(maxlen=MOST_KEPT))

    def seen(self, engine: Engine, now: int, age: int) -> Seen:
        recent = [(at, good) for at, good in self.outcomes if now - at < age]

        def ago(wanted: bool) -> int:
            last = max((at for at, good in recent if good is wanted), default=-1)
            return -1 if last < 0 else (now - last) // 1_000_000

        good = sum(g for _, g in recent)
        return Seen(engine, len(recent) - good, good, ago(False), ago(True))


@dataclass(slots=True)
class Verdict:
    """``by``: the observers on whom it rests; ``zone``: whom it is for, empty: all."""

    engine: Engine
    kind: Kind
    zone: str
    since: int
    until: int  # held out at least so long
    newest: int  # the newest failure that it rests on, our clock
    by: frozenset[str]
    relapses: int = 0


class Evidence:
    def __init__(self, me: str, zone: str, terms: VerdictTerms) -> None:
        self.me, self.zone, self.terms = me, zone, terms
        self.own: dict[Engine, Own] = {}
        self.watched: dict[Engine, int] = {}  # of which somebody told a failure, and when we heard
        self.reports: dict[str, tuple[Report, int]] = {}  # observer: its row, when we learned it
        self.verdicts: dict[Engine, Verdict] = {}
        self.relapses: dict[Engine, tuple[int, int]] = {}  # how often held out, when last
        self.version = 0
        self.figures = {"verdicts": 0, "lifted": 0, "over_part": 0}

    # --- what is seen and told ---

    def outcome(self, now: int, engine: Engine, good: bool) -> None:
        own = self.own.get(engine)
        if own is None:
            if good and engine not in self.watched:
                return  # nobody needs to know of what is well, until somebody says that it is not
            if len(self.own) >= 4 * MOST_ENGINES:
                self.own.pop(next(iter(self.own)))
            own = self.own[engine] = Own()
        own.outcomes.append((now, good))

    def report(self, now: int) -> Report:
        """Our own row, and at the same time what others would be told of us."""
        for engine in [e for e, o in self.own.items() if now - o.outcomes[-1][0] > self.terms.age]:
            del self.own[engine]
        for engine in [e for e, at in self.watched.items() if now - at > self.terms.age]:
            del self.watched[engine]
        self.version += 1
        seen = sorted(
            (o.seen(e, now, self.terms.age) for e, o in self.own.items()),
            key=lambda s: (s.bad_ago < 0, s.bad_ago),
        )[:MOST_ENGINES]
        mine = Report(self.me, self.zone, self.version, 0, tuple(seen))
        self.reports[self.me] = mine, now
        return mine

    def told(self, now: int, most: int) -> list[Report]:
        """The newest rows that say anything, ours first, with their ages."""
        rows = sorted(
            self.reports.values(), key=lambda r: (r[0].who != self.me, r[0].age - r[1] // 1_000_000)
        )
        return [
            msgspec.structs.replace(r, age=r.age + (now - at) // 1_000_000)
            for r, at in rows
            if r.seen or r.who == self.me
        ][:most]

    def receive(self, now: int, reports: Reports, members: Collection[str]) -> None:
        for report in reports.reports:
            before = self.reports.get(report.who)
            if (
                report.who == self.me
                or report.who not in members
                or len(report.seen) > MOST_ENGINES
                or report.age < 0
                or before is None
                and len(self.reports) >= MOST_OBSERVERS
                or before is not None
                and before[0].version >= report.version
            ):
                continue
            self.reports[report.who] = report, now
            for seen in report.seen:
                if seen.bad and len(self.watched) < 4 * MOST_ENGINES:
                    self.watched[seen.engine] = now

    # --- the verdict ---

    def _views(
        self, now: int, members: Collection[str]
    ) -> dict[Engine, dict[str, tuple[str, bool, int]]]:
        """Of each engine: observer, its zone, whether it holds it for bad, and when the newest
        proof was.
        """
        found: dict[Engine, dict[str, tuple[str, bool, int]]] = {}
        for who, (report, learned) in list(self.reports.items()):
            if who not in members and who != self.me:
                del self.reports[who]
                continue
            age = report.age * 1_000_000 + now - learned
            for seen in report.seen:
                bad_at = now - age - seen.bad_ago * 1_000_000 if seen.bad_ago >= 0 else -1
                good_at = now - age - seen.good_ago * 1_000_000 if seen.good_ago >= 0 else -1
                newest = max(bad_at, good_at)
                if newest < 0 or now - newest > self.terms.age:
                    continue
                bad = seen.bad >= self.terms.failures and seen.bad > seen.good and bad_at > good_at
                if bad or good_at > bad_at:
                    found.setdefault(seen.engine, {})[who] = report.zone, bad, newest
        return found

    def judge(
        self, now: int, members: Collection[str], engines: Mapping[Engine, str]
    ) -> tuple[list[Verdict], list[Engine]]:
        """``engines``: those listed, and their zones. Gives the verdicts that begin, and what is
        let in again.
        """
        views = self._views(now, members)
        lifted = [
            e
            for e, v in self.verdicts.items()
            if e not in engines or self._lifts(now, v, views.get(e, {}))
        ]
        for engine in lifted:
            del self.verdicts[engine]
            self.figures["lifted"] += 1
        begun = []
        for engine, seen in sorted(
            views.items(), key=lambda item: min(at for _, _, at in item[1].values())
        ):
            if engine in self.verdicts or engine not in engines or engine in lifted:
                continue
            verdict = self._verdict(now, engine, seen)
            if verdict is None:
                continue
            zone = engines[engine]
            out = sum(engines.get(e) == zone for e in self.verdicts)
            whole = sum(z == zone for z in engines.values())
            if out + 1 > max(self.terms.part * whole, 0):
                self.figures["over_part"] += 1
                continue
            self.verdicts[engine] = verdict
            self.relapses[engine] = verdict.relapses + 1, now
            self.figures["verdicts"] += 1
            begun.append(verdict)
        self.relapses = {
            e: r for e, r in self.relapses.items() if now - r[1] < 10 * self.terms.most_hold
        }
        return begun, lifted

    def _verdict(
        self, now: int, engine: Engine, seen: Mapping[str, tuple[str, bool, int]]
    ) -> Verdict | None:
        bad = {who: view for who, view in seen.items() if view[1]}
        good = {who: view for who, view in seen.items() if not view[1]}
        if len(bad) < self.terms.observers:
            return None
        kind, zone, by = Kind.BAD, "", bad
        if len(good) * 2 > len(bad):
            # Some reach it well. If those are all of other zones than ours, it is ours that is cut
            # off.
            here = {w: v for w, v in bad.items() if v[0] == self.zone}
            if len(here) < self.terms.observers or any(v[0] == self.zone for v in good.values()):
                return None
            kind, zone, by = Kind.ZONE, self.zone, here
        relapses = self.relapses.get(engine, (0, 0))[0]
        hold = min(self.terms.most_hold, self.terms.hold << min(10, relapses))
        newest = max(v[2] for v in by.values())
        return Verdict(engine, kind, zone, now, now + hold, newest, frozenset(by), relapses)

    def _lifts(self, now: int, verdict: Verdict, seen: Mapping[str, tuple[str, bool, int]]) -> bool:
        """By fewer and fresher proofs than it took; or because nothing bad was seen of it any
        more.
        """
        if now < verdict.until:
            return False
        fresher = sum(
            not bad and at > verdict.newest and (not verdict.zone or zone == verdict.zone)
            for zone, bad, at in seen.values()
        )
        still = any(bad and at > verdict.newest for _, bad, at in seen.values())
        return fresher >= (self.terms.observers + 1) // 2 or (
            not still and now - verdict.newest > self.terms.age
        )
