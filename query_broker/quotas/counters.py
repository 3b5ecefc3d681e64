"""Soft limits: each broker counts for itself, tells its own rates on, and goes by what all told.
Pure.

A row is written by its broker alone, with a version that rises: the newer one of two replaces the
other, so that rows merge in any order, twice or never (a state-based counter, Shapiro et al. 2011).
Each carries its age, which grows on the way; one that is too old counts as unknown, and its broker
as if it used its even part.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from .messages import Row, Rows
from .settings import STALE_ROUNDS

MOST_ROWS = 4_096
MOST_TOLD = 12  # rows in one message
MOST_RATES = 16  # limits in one row
FANOUT = 3
GROWTH = 2.0  # times what one used, from one telling to the next: not all may jump at once


@dataclass(slots=True)
class Known:
    row: Row
    learned: int

    def age(self, now: int) -> int:
        """Nanoseconds."""
        return self.row.age * 1_000_000 + now - self.learned


class Counters:
    """``rates``: what this broker used in the last round, a second, by limit."""

    def __init__(self, me: str, told: int, draw: Callable[[], float]) -> None:
        self.me, self.told, self.draw = me, told, draw
        self.rows: dict[str, Known] = {}
        self.rates: dict[str, float] = {}
        self.allowed: dict[str, float] = {}
        self.version = 0
        self.figures = {"rows": 0, "old_rows": 0}

    def round(
        self, now: int, rates: dict[str, float], members: Collection[str]
    ) -> list[tuple[str, Rows]]:
        """Once a `told`: our own row, and some of the others' newest, to a few."""
        self.rates = dict(list(rates.items())[:MOST_RATES])
        self.version += 1
        self.rows[self.me] = Known(Row(self.me, self.version, 0, tuple(self.rates.items())), now)
        for gone in [w for w in self.rows if w not in members and w != self.me]:
            del self.rows[gone]
        others = [m for m in members if m != self.me]
        picked = [
            others.pop(int(self.draw() * len(others))) for _ in range(min(FANOUT, len(others)))
        ]
        freshest = sorted(self.rows.values(), key=lambda k: k.age(now))[:MOST_TOLD]
        rows = tuple(
            Row(k.row.who, k.row.version, k.age(now) // 1_000_000, k.row.rates) for k in freshest
        )
        return [(to, Rows(rows)) for to in picked]

    def receive(self, now: int, told: Rows, members: Collection[str]) -> None:
        for row in told.rows[:MOST_TOLD]:
            before = self.rows.get(row.who)
            if (
                row.who == self.me
                or row.who not in members
                or row.age < 0
                or len(row.rates) > MOST_RATES
            ):
                continue
            if before is not None and before.row.version >= row.version:
                self.figures["old_rows"] += 1
                continue
            if before is None and len(self.rows) >= MOST_ROWS:
                continue
            self.rows[row.who] = Known(row, now)
            self.figures["rows"] += 1

    def may(
        self, now: int, limit: str, whole: float, fleet: int, members: Collection[str]
    ) -> tuple[float, int]:
        """What we may use, a second, and how old what it rests on is, ns. Never under the even part
        of the size in the file, never more than so many times what we used or that part.
        """
        even = whole / max(fleet, len(members), 1)
        others, oldest = 0.0, 0
        for who in members:
            if who == self.me:
                continue
            known = self.rows.get(who)
            if known is None or known.age(now) > STALE_ROUNDS * self.told:
                others += even
                continue
            others += max(0.0, dict(known.row.rates).get(limit, 0.0))
            oldest = max(oldest, known.age(now))
        left = max(even, whole - others)
        free = min(left, GROWTH * max(even, self.rates.get(limit, 0.0)))
        self.allowed[limit] = free
        return free, oldest
