"""Which cell each engine belongs to: pinned, or by weighted rendezvous hashing within the cells'
bounds.

Engines keep their seat for as long as the list names them and the map does not move them: one that
joins or leaves moves no other. Bounds count ready engines alone. Danger: were draining ones
counted, every rolling deploy would push the successors into other cells while their forerunners
still hold the seats.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .model import Cell, CellMap, rendezvous


@dataclass(frozen=True, slots=True)
class Seen:
    """An engine as the list tells of it."""

    uid: str
    zone: str
    model: str
    ready: bool  # it is no draining one


@dataclass(frozen=True, slots=True)
class Change:
    """An engine's seat has changed; None: it has, or had, none."""

    uid: str
    before: str | None
    after: str | None


class Placement:
    """``seats`` by uid; None is an engine for which no cell has room."""

    def __init__(self, map: CellMap) -> None:
        self.map = map
        self.seen: dict[str, Seen] = {}
        self.seats: dict[str, str | None] = {}

    def of(self, uid: str) -> str | None:
        return self.seats.get(uid)

    def size(self, cell: str) -> int:
        """Its ready engines."""
        return sum(seat == cell and self.seen[uid].ready for uid, seat in self.seats.items())

    def learn(self, engines: Iterable[Seen], gone: Iterable[str] = ()) -> list[Change]:
        """News of the list. Newcomers are seated in the order in which they are told, since the
        same news must give the same seats at every broker; the unseated get what has become
        free.
        """
        changes = []
        for uid in gone:
            if uid in self.seats:
                changes.append(Change(uid, self.seats.pop(uid), None))
                del self.seen[uid]
        fresh = []
        for engine in engines:
            self.seen[engine.uid] = engine
            if engine.uid not in self.seats:
                fresh.append(engine.uid)
        waiting = [uid for uid, seat in self.seats.items() if seat is None]
        for uid in [*waiting, *fresh]:
            before = self.seats.get(uid)
            self.seats[uid] = seat = self._choose(self.seen[uid])
            if seat != before:
                changes.append(Change(uid, before, seat))
        return changes

    def take(self, map: CellMap) -> list[Change]:
        """A new map: engines stay where it lets them; others are seated anew, in the list's
        order.
        """
        before, self.map = dict(self.seats), map
        names = {c.name for c in map.cells}
        for uid, seat in before.items():
            pinned = self._pinned(self.seen[uid])
            if seat not in names or (pinned is not None and pinned != seat):
                self.seats[uid] = None
        for cell in map.cells:  # a bound that has come down: those that it suits least go first
            held = [
                uid
                for uid, seat in self.seats.items()
                if seat == cell.name
                and self.seen[uid].ready
                and self._pinned(self.seen[uid]) is None
            ]
            excess = self.size(cell.name) - cell.most if cell.most else 0
            for uid in sorted(held, key=lambda u: -rendezvous(cell.name, u, cell.weight))[
                : max(0, excess)
            ]:
                self.seats[uid] = None
        self._fill_short()
        for uid in before:
            if self.seats[uid] is None:
                self.seats[uid] = self._choose(self.seen[uid])
        return [
            Change(uid, seat, self.seats[uid])
            for uid, seat in before.items()
            if seat != self.seats[uid]
        ]

    def adopt(self, seats: dict[str, str | None]) -> list[Change]:
        """The seats that another process of this broker holds: after an upgrade no engine changes
        cells.
        """
        names = {c.name for c in self.map.cells}
        changes = [
            Change(uid, self.seats[uid], seat)
            for uid, seat in seats.items()
            if uid in self.seats
            and seat in names
            and self.seats[uid] != seat
            and self._pinned(self.seen[uid]) in (None, seat)
        ]
        for change in changes:
            self.seats[change.uid] = change.after
        return changes

    def _fill_short(self) -> None:
        """A new map alone may take engines from cells that have more than their least."""
        for cell in self.map.cells:
            while (size := self.size(cell.name)) < cell.least:
                sizes = {c.name: self.size(c.name) for c in self.map.cells}
                spare = {c.name for c in self.map.cells if sizes[c.name] > max(c.least, size + 1)}
                able = [
                    u
                    for u, s in self.seats.items()
                    if self.seen[u].ready
                    and (s is None or s in spare)
                    and self._pinned(self.seen[u]) is None
                ]
                if not able:
                    break
                self.seats[min(able, key=lambda u: (rendezvous(cell.name, u, 1.0), u))] = cell.name

    def _pinned(self, engine: Seen) -> str | None:
        for key, value in (
            ("engines", engine.uid),
            ("zones", engine.zone),
            ("models", engine.model),
        ):
            for cell in self.map.cells:
                if value in getattr(cell, key):
                    return cell.name
        return None

    def _choose(self, engine: Seen) -> str | None:
        """Pinned; else the cell that lacks most of its least; else by hash where there is room."""
        if (pinned := self._pinned(engine)) is not None:
            return pinned
        sizes = {c.name: 0 for c in self.map.cells}
        for uid, seat in self.seats.items():
            if seat is not None and self.seen[uid].ready and seat in sizes:
                sizes[seat] += 1

        def lack(cell: Cell) -> float:
            return max(0.0, 1 - sizes[cell.name] / cell.least) if cell.least else 0.0

        able = [c for c in self.map.cells if not c.most or sizes[c.name] < c.most]
        if not able:
            return None
        return min(
            able, key=lambda c: (-lack(c), rendezvous(c.name, engine.uid, c.weight), c.name)
        ).name
