"""Cancel scopes: ending a request ends its attempts, ending an attempt ends its pages, in order.

Performs no I/O. After trio's cancel scopes: an end goes down the tree, children first, once. What
ending an attempt means depends on how far it has come. An attempt that was not sent is withdrawn.
One that was sent is cancelled where endpoints support that, and tracked until it counts as stopped
or has answered nevertheless; elsewhere it is left running and its answer is dropped.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

NS_PER_MS = 1_000_000
#: How long a cancelled attempt must be silent until it counts as stopped.
CONFIRMATION_NS = 1_000 * NS_PER_MS
#: How long after a cancellation it is sent again if nothing has answered it.
RESEND_INTERVAL_NS = 250 * NS_PER_MS
MAX_RESENDS = 2


class ScopeKind(Enum):
    """What a scope stands for."""

    REQUEST = "request"
    ATTEMPT = "attempt"
    PAGE = "page"
    HEALTH_CHECK = "health check"


class CancelAction(Enum):
    """What the caller has to do for a scope that has ended."""

    WITHDRAW = "withdraw"  # no byte of the attempt has been written
    CANCEL = "cancel"
    DISCARD_PAGES = "discard pages"
    LET_RUN = "let run"
    END_REQUEST = "end request"  # its client is owed nothing more


class ScopeEnd(NamedTuple):
    """A scope that has ended, and what the caller has to do for it."""

    action: CancelAction
    scope: CancelScope


@dataclass(slots=True)
class CancelScope:
    """A request, attempt, page or health check under way, and the scopes that belong to it.

    A scope ends once; what is added to a scope that has ended has ended too.

    Attributes:
        kind: What the scope stands for.
        work: The request, the attempt or what else it is, as the caller knows it.
        parent: The scope that it belongs to; None for a request.
        children: The scopes below it that have not ended.
        write_started: Whether a byte of the attempt has been written to the endpoint.
        ended: Whether the scope has ended, by itself or by `end`.
    """

    kind: ScopeKind
    work: object
    parent: CancelScope | None = None
    children: list[CancelScope] = field(default_factory=list)
    write_started: bool = False
    ended: bool = False

    def open(self, kind: ScopeKind, work: object) -> CancelScope:
        """Return a new scope below this one."""
        child = CancelScope(kind, work, self, ended=self.ended)
        if not self.ended:
            self.children.append(child)
        return child

    def close(self) -> None:
        """Close the scope because its work has ended by itself; its children close with it."""
        self.ended = True
        for child in self.children:
            child.ended = True
        self.children.clear()
        if self.parent is not None and self in self.parent.children:
            self.parent.children.remove(self)

    def end(self, cancellation_supported: bool) -> list[ScopeEnd]:
        """End the scope and return what is to be done, children before their parents.

        A second call returns nothing.

        Args:
            cancellation_supported: Whether the endpoints support cancellation (`undo` on the
                wire); where they do not, none may ever be sent.
        """
        if self.ended:
            return []
        ends = list(self._end(cancellation_supported))
        self.close()
        return ends

    def _end(self, cancellation_supported: bool) -> Iterator[ScopeEnd]:
        self.ended = True
        for child in list(self.children):
            if not child.ended:
                yield from child._end(cancellation_supported)
        yield ScopeEnd(self._end_action(cancellation_supported), self)

    def _end_action(self, cancellation_supported: bool) -> CancelAction:
        match self.kind:
            case ScopeKind.REQUEST:
                return CancelAction.END_REQUEST
            case ScopeKind.ATTEMPT if not self.write_started:
                return CancelAction.WITHDRAW
            case ScopeKind.ATTEMPT if cancellation_supported:
                return CancelAction.CANCEL
            case ScopeKind.PAGE:
                return CancelAction.DISCARD_PAGES
            case ScopeKind.ATTEMPT | ScopeKind.HEALTH_CHECK:
                return CancelAction.LET_RUN


class CancelOutcome(Enum):
    """What became of a cancelled attempt."""

    STOPPED = "stopped"  # silent for `CONFIRMATION_NS`
    ANSWERED = "answered"  # it answered after the cancellation
    CONNECTION_LOST = "connection lost"  # its connection ended first


@dataclass(slots=True)
class PendingCancel:
    """A cancellation that was sent and has no outcome yet.

    Attributes:
        first_sent_ns: When it was first sent.
        last_sent_ns: When it was last sent.
        resends: How often it was sent again.
    """

    first_sent_ns: int
    last_sent_ns: int
    resends: int = 0


class CancelCheck(NamedTuple):
    """What a check of the pending cancellations found.

    Attributes:
        to_resend: The ids whose cancellation is to be sent again.
        stopped: The ids of the attempts that count as stopped from now on.
    """

    to_resend: list[bytes]
    stopped: list[bytes]


@dataclass(slots=True)
class PendingCancels:
    """The cancelled attempts of one connection, until each has its outcome.

    An attempt holds its stream until then: an answer that crosses the cancellation must be
    recognised, so that it can be dropped.

    Attributes:
        by_id: The pending cancellations by the id of the attempt on the wire.
    """

    by_id: dict[bytes, PendingCancel] = field(default_factory=dict)

    def begin(self, request_id: bytes, now_ns: int) -> None:
        """Record that the attempt under this id is being cancelled."""
        self.by_id.setdefault(request_id, PendingCancel(now_ns, now_ns))

    def resolve_by_answer(self, request_id: bytes) -> CancelOutcome | None:
        """Record an answer under the id and return the outcome; None if it was not cancelled."""
        if self.by_id.pop(request_id, None) is None:
            return None
        return CancelOutcome.ANSWERED

    def check(self, now_ns: int) -> CancelCheck:
        """Return what is to be cancelled again and what has stopped, which is then forgotten."""
        to_resend: list[bytes] = []
        stopped: list[bytes] = []
        for request_id, pending in list(self.by_id.items()):
            if now_ns - pending.first_sent_ns >= CONFIRMATION_NS:
                stopped.append(request_id)
                del self.by_id[request_id]
            elif (
                now_ns - pending.last_sent_ns >= RESEND_INTERVAL_NS
                and pending.resends < MAX_RESENDS
            ):
                pending.resends += 1
                pending.last_sent_ns = now_ns
                to_resend.append(request_id)
        return CancelCheck(to_resend, stopped)

    def clear(self) -> int:
        """Forget all, since the connection has ended; return how many there were."""
        count = len(self.by_id)
        self.by_id.clear()
        return count
