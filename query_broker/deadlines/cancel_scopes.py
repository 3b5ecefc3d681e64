"""Cancel scopes: ending a request ends its attempts, ending an attempt ends its pages, in order.

Performs no I/O. After trio's cancel scopes: an end goes down the tree, children first, once. What
ending an attempt means depends on how far it has come: unsent, it is withdrawn; sent, it is
cancelled where endpoints honour that, and watched until it is silent or has answered all the same;
else it is let run and its answer dropped.
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
    """What a scope stands for."""

    REQUEST = "request"
    ATTEMPT = "attempt"
    PAGE = "page"
    HEALTH_CHECK = "probe"


class CancelAction(Enum):
    """What the end of one scope asks the caller to do."""

    WITHDRAW = "take back"  # no byte has left
    CANCEL = "undo"
    DISCARD_PAGES = "forget"  # no more pages are wanted
    LET_RUN = "let run"
    ANSWER = "answer"  # the request itself: its client is owed nothing more


@dataclass(slots=True)
class CancelScope:
    """One thing under way and what belongs to it.

    A scope ends once; what is added to a scope that has ended has ended too.
    """

    kind: ScopeKind
    name: object
    parent: CancelScope | None = None
    children: list[CancelScope] = field(default_factory=list)
    write_started: bool = False  # a byte of it has left for the engine
    over: bool = False

    def open(self, kind: ScopeKind, name: object) -> CancelScope:
        """Return a new scope below this one."""
        child = CancelScope(kind, name, self, over=self.over)
        if not self.over:
            self.children.append(child)
        return child

    def close(self) -> None:
        """Close the scope because its work is over by itself; its children close with it."""
        self.over = True
        for child in self.children:
            child.over = True
        self.children.clear()
        if self.parent is not None and self in self.parent.children:
            self.parent.children.remove(self)

    def end(self, honoured: bool) -> list[tuple[CancelAction, CancelScope]]:
        """End the scope and return what is to be done, children before their parents.

        The second call returns nothing. ``honoured`` says whether endpoints heed a cancellation
        (`undo` on the wire); where they do not, none may ever be sent.
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
            case ScopeKind.ATTEMPT if not self.write_started:
                yield CancelAction.WITHDRAW, self
            case ScopeKind.ATTEMPT:
                yield CancelAction.CANCEL if honoured else CancelAction.LET_RUN, self
            case ScopeKind.PAGE:
                yield CancelAction.DISCARD_PAGES, self
            case ScopeKind.HEALTH_CHECK:
                yield CancelAction.LET_RUN, self


class CancelOutcome(Enum):
    """What became of a cancelled attempt."""

    STOPPED = "stopped"  # silent for long enough
    WENT_ON = "went on"  # it answered after the undo
    LOST = "lost"  # its connection ended first


@dataclass(slots=True)
class PendingCancel:
    """A cancellation that has been asked for: when first, when last, and how often again."""

    first_sent_ns: int
    last_sent_ns: int
    resends: int = 0


@dataclass(slots=True)
class Undoing:
    """The cancelled attempts of one connection, until each is known to have stopped or gone on.

    They hold their stream for as long: an answer that crosses the cancellation must be known, so
    that it can be dropped.
    """

    waiting: dict[bytes, PendingCancel] = field(default_factory=dict)

    def begin(self, id: bytes, now: int) -> None:
        """Record that the attempt under this id is being cancelled."""
        self.waiting.setdefault(id, PendingCancel(now, now))

    def answered(self, id: bytes) -> CancelOutcome | None:
        """Take note of an answer under the id; None if it was not cancelled."""
        if self.waiting.pop(id, None) is None:
            return None
        return CancelOutcome.WENT_ON

    def due(self, now: int) -> tuple[list[bytes], list[bytes]]:
        """Return the ids to be cancelled again, and those that count as stopped."""
        again: list[bytes] = []
        stopped: list[bytes] = []
        for id, pending in list(self.waiting.items()):
            if now - pending.first_sent_ns >= CONFIRM:
                stopped.append(id)
                del self.waiting[id]
            elif now - pending.last_sent_ns >= RESEND and pending.resends < MOST_RESENDS:
                pending.resends += 1
                pending.last_sent_ns = now
                again.append(id)
        return again, stopped

    def lost(self) -> int:
        """Forget all, as the connection has ended; return how many there were."""
        count = len(self.waiting)
        self.waiting.clear()
        return count
