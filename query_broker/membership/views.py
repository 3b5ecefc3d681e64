"""The view that the rest of the program reads: who is there, how sure that is, and the size to go
by. Pure.

Three numbers must not be mixed up: `alive`, what we hold to be there; whether that is *certain*;
and `told`, what limits are divided by. A cut looks like a mass kill from both its sides. So a view
is certain only while more than 1 - `part` of those who were there last still are; with `part` below
one half no two sides of a cut can both be certain, and all sides together take 1 + part of a limit
at the most: the certain one the whole, the others, less than `part` of all, their share of the size
as it was.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from .member_table import digest
from .messages import Identity

S = 1_000_000_000
LEAST_PART = 1 / 3  # of the size in the file: fewer are never gone by, whatever the view says
MOST_TIMES = 4  # of it: more are never gone by
CALM = 6  # settles that a smaller view must stay certain until it is what losses are measured by


@dataclass(frozen=True, slots=True)
class View:
    """``members``: in the order of their places; equal digests, equal views. ``told``, ``place``:
    what limits are divided by, and ours among them.
    """

    epoch: int
    members: tuple[Identity, ...]
    digest: bytes
    certain: bool
    alive: int
    reference: int
    told: int
    place: int
    why: str


@dataclass(slots=True)
class Views:
    """``configured``, ``me``: as the file has them. ``changed`` is called with a batch of changes,
    never for each by itself.
    """

    configured: int
    me: int
    part: float
    settle: int
    batch: int
    changed: Callable[[View, tuple[Identity, ...], tuple[Identity, ...]], None]
    view: View = View(0, (), b"", False, 1, 1, 1, 0, "nobody has been heard yet")
    reference: int = 0
    pending_since: int = 0
    wanted: int = 0  # the smaller size that has to stand
    wanted_since: int = 0
    certain_since: int = 0

    def __post_init__(self) -> None:
        self.reference = self.configured
        self.view = View(
            0, (), b"", False, 1, self.configured, self.configured, self.me, self.view.why
        )

    def configure(self, configured: int, me: int) -> None:
        """SIGHUP: a size that is told anew is what losses are measured by from now on."""
        if configured != self.configured:
            self.reference = configured
        self.configured, self.me = configured, me

    def left(self) -> None:
        """One went by its own word: that is no loss."""
        self.reference = max(1, self.reference - 1)

    def look(
        self,
        now: int,
        there: Iterable[tuple[int, Identity]],
        own: Identity,
        cut_off: bool,
        joined: bool,
        cold: bool,
        unsettled: bool,
    ) -> None:
        """``there``: places and identities, ours among them. ``unsettled``: somebody's removal is
        due at any moment, so that a batch waits for it.
        """
        members = tuple(id for _, id in sorted(there))
        alive = len(members)
        self.reference = max(self.reference, alive)
        certain = joined and not cut_off and alive > (1 - self.part) * self.reference
        why = (
            "certain"
            if certain
            else "we hear nobody"
            if cut_off or not joined
            else f"{alive} of {self.reference} are there: more than {self.part:.0%} are lost"
        )
        if certain and not self.certain_since:
            self.certain_since = now
        elif not certain:
            self.certain_since = 0
        if certain and now - self.certain_since >= CALM * self.settle:
            self.reference, self.certain_since = alive, now
        told, place = self._told(now, alive, certain, cold, members, own)
        same = members == self.view.members
        if same and (certain, told, place) == (self.view.certain, self.view.told, self.view.place):
            self.pending_since = 0
            self.view = replace(self.view, reference=self.reference, why=why)
            return
        if not same:
            self.pending_since = self.pending_since or now
            waited = now - self.pending_since
            if waited < (4 if unsettled else 1) * self.batch and self.view.certain >= certain:
                return
        self.pending_since = 0
        before = self.view
        self.view = View(
            before.epoch + (not same),
            members,
            digest(list(members)),
            certain,
            alive,
            self.reference,
            told,
            place,
            why,
        )
        self.changed(
            self.view,
            tuple(set(members) - set(before.members)),
            tuple(set(before.members) - set(members)),
        )

    def _told(
        self,
        now: int,
        alive: int,
        certain: bool,
        cold: bool,
        members: tuple[Identity, ...],
        own: Identity,
    ) -> tuple[int, int]:
        """Danger: a size that is too small makes every share too large. So it is gone by only while
        the view is certain, has stood, and no engine is cold: a cold one that all push at once
        falls over.
        """
        size = min(
            MOST_TIMES * self.configured, max(alive, math.ceil(LEAST_PART * self.configured))
        )
        if not certain or cold:
            size = max(size, self.configured)
        now_told = self.view.told
        if size >= now_told:
            self.wanted = 0
        else:
            if not self.wanted or size > self.wanted:
                self.wanted, self.wanted_since = size, now  # the largest of late is what has stood
            if now - self.wanted_since < self.settle:
                size = now_told
            else:
                size, self.wanted = self.wanted, 0
        if not certain or cold or own not in members or size < alive:
            return size, self.me % size
        return size, members.index(own) % size
