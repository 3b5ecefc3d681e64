"""Cancel scopes: ending a request ends its attempts, ending an attempt ends its pages, in order.
Pure.

After trio's cancel scopes: an end goes down the tree, children first, once. What ending an attempt
means depends on how far it has come: unsent it is taken back whole; sent, it is undone where
engines honour that, and watched until it is silent or has answered all the same; else it is let
run, and its answer dropped.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

MS = 1_000_000
CONFIRM = 1_000 * MS  # ns of silence after which an undone attempt counts as stopped
RESEND = 250 * MS  # ns between an `undo` and the next, while nothing shows that it was heard
MOST_RESENDS = 2


class ScopeKind(Enum):
    REQUEST = "request"
    ATTEMPT = "attempt"
    PAGE = "page"
    PROBE = "probe"


class CancelAction(Enum):
    """What ending one scope asks for."""

    TAKE_BACK = "take back"  # no byte has left
    UNDO = "undo"
    FORGET = "forget"  # no more pages are wanted
    LET_RUN = "let run"
    ANSWER = "answer"  # the request itself: its client is owed nothing more


@dataclass(slots=True)
class CancelScope:
    """One thing under way and what belongs to it. Ended once; what is added to an ended one ends at
    once.
    """

    kind: ScopeKind
    name: object
    parent: CancelScope | None = None
    children: list[CancelScope] = field(default_factory=list)
    left: bool = False  # a byte of it has left for the engine
    over: bool = False

    def open(self, kind: ScopeKind, name: object) -> CancelScope:
        child = CancelScope(kind, name, self, over=self.over)
        if not self.over:
            self.children.append(child)
        return child

    def close(self) -> None:
        """It is over by itself. What belongs to it is, too."""
        self.over = True
        for child in self.children:
            child.over = True
        self.children.clear()
        if self.parent is not None and self in self.parent.children:
            self.parent.children.remove(self)

    def end(self, honoured: bool) -> list[tuple[CancelAction, CancelScope]]:
        """What is to be done, children before their parents; nothing the second time. ``honoured``:
        engines heed an `undo`. Danger: where they do not, none may ever be sent.
        """
        if self.over:
            return []
        done = list(self._end(honoured))
        self.close()
        return done

    def _end(self, honoured: bool) -> Iterator[tuple[CancelAction, CancelScope]]:
        self.over = True
        for child in list(self.children):
            if not child.over:
                yield from child._end(honoured)
        match self.kind:
            case ScopeKind.REQUEST:
                yield CancelAction.ANSWER, self
            case ScopeKind.ATTEMPT if not self.left:
                yield CancelAction.TAKE_BACK, self
            case ScopeKind.ATTEMPT:
                yield CancelAction.UNDO if honoured else CancelAction.LET_RUN, self
            case ScopeKind.PAGE:
                yield CancelAction.FORGET, self
            case ScopeKind.PROBE:
                yield CancelAction.LET_RUN, self


class CancelOutcome(Enum):
    """What became of an undone attempt."""

    STOPPED = "stopped"  # silent for long enough
    WENT_ON = "went on"  # it answered after the undo
    LOST = "lost"  # its connection ended first


@dataclass(slots=True)
class Undone:
    at: int
    last: int
    resends: int = 0


@dataclass(slots=True)
class Undoing:
    """The undone attempts of one connection, until each is known to have stopped or gone on. They
    hold their stream for as long: an answer that crosses the `undo` must be known to be dropped.
    """

    waiting: dict[bytes, Undone] = field(default_factory=dict)

    def begin(self, id: bytes, now: int) -> None:
        self.waiting.setdefault(id, Undone(now, now))

    def answered(self, id: bytes) -> CancelOutcome | None:
        """An answer came under the id; None: it was not undone."""
        return None if self.waiting.pop(id, None) is None else CancelOutcome.WENT_ON

    def due(self, now: int) -> tuple[list[bytes], list[bytes]]:
        """Those to be undone again, and those that have stopped."""
        again, stopped = [], []
        for id, undone in list(self.waiting.items()):
            if now - undone.at >= CONFIRM:
                stopped.append(id)
                del self.waiting[id]
            elif now - undone.last >= RESEND and undone.resends < MOST_RESENDS:
                undone.resends, undone.last = undone.resends + 1, now
                again.append(id)
        return again, stopped

    def lost(self) -> int:
        """The connection has ended, and what was open on it with it."""
        count = len(self.waiting)
        self.waiting.clear()
        return count
