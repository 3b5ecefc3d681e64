"""Cancel scopes: ending a request ends its attempts, ending an attempt ends its pages.

Performs no I/O. Modelled on trio's cancel scopes: ending a scope ends its whole subtree once,
children before their parents. What ending an attempt means depends on its progress. An attempt that
was not sent completely is withdrawn: endpoints run only what has arrived completely. An attempt
that was sent is cancelled if endpoints support cancellation, and is tracked until it counts as
stopped or is answered nevertheless. Otherwise it is left running and its answer is dropped.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

NS_PER_MS = 1_000_000
#: A cancelled attempt counts as stopped once it has been silent for this long.
CONFIRMATION_DELAY_NS = 1_000 * NS_PER_MS
#: A cancellation without an answer is sent again after this time.
RESEND_INTERVAL_NS = 250 * NS_PER_MS
MAX_RESEND_COUNT = 2


class ScopeKind(Enum):
    """The kind of work that a scope represents."""

    REQUEST = "request"
    ATTEMPT = "attempt"
    PAGE = "page"
    HEALTH_CHECK = "health check"


class CancelAction(Enum):
    """What the caller has to do for a scope that has ended."""

    WITHDRAW = "withdraw"  # the last byte of the attempt has not been written
    CANCEL = "cancel"
    DISCARD_PAGES = "discard pages"
    LET_RUN = "let run"
    END_REQUEST = "end request"  # the client gets nothing more


class ScopeEnd(NamedTuple):
    """A scope that has ended, and the action that the caller has to take for it."""

    action: CancelAction
    scope: CancelScope


@dataclass(slots=True)
class CancelScope:
    """A request, attempt, page or health check in progress, and the scopes that belong to it.

    A scope ends once; a scope added to one that has ended has ended from the start.

    Attributes:
        kind: The kind of work.
        work: The caller's object for the work, such as a request or an attempt.
        parent: The scope that this one belongs to; None for a request.
        children: The scopes directly below this one that have not ended.
        write_completed: Whether the last byte of the attempt has been written to the endpoint.
        ended: Whether the scope has ended, by itself or by `end`.
    """

    kind: ScopeKind
    work: object
    parent: CancelScope | None = None
    children: list[CancelScope] = field(default_factory=list)
    write_completed: bool = False
    ended: bool = False

    def open_child(self, kind: ScopeKind, work: object) -> CancelScope:
        """Return a new scope below this one."""
        child = CancelScope(kind, work, self, ended=self.ended)
        if not self.ended:
            self.children.append(child)
        return child

    def close(self) -> None:
        """Close the scope and its children, because the work has ended by itself."""
        self.ended = True
        for child in self.children:
            child.ended = True
        self.children.clear()
        if self.parent is not None and self in self.parent.children:
            self.parent.children.remove(self)

    def end(self, cancellation_supported: bool) -> list[ScopeEnd]:
        """End the scope and return the actions to take, children before their parents.

        Returns an empty list if the scope has already ended.

        Args:
            cancellation_supported: Whether the endpoints support cancellation (`undo` on the
                wire); if they do not, no cancellation may ever be sent.
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
            case ScopeKind.ATTEMPT if not self.write_completed:
                return CancelAction.WITHDRAW
            case ScopeKind.ATTEMPT if cancellation_supported:
                return CancelAction.CANCEL
            case ScopeKind.PAGE:
                return CancelAction.DISCARD_PAGES
            case ScopeKind.ATTEMPT | ScopeKind.HEALTH_CHECK:
                return CancelAction.LET_RUN


class CancelOutcome(Enum):
    """The outcome of a cancellation."""

    STOPPED = "stopped"  # the attempt was silent for `CONFIRMATION_DELAY_NS`
    ANSWERED = "answered"  # the attempt was answered after the cancellation
    CONNECTION_LOST = "connection lost"  # the connection ended first


@dataclass(slots=True)
class PendingCancel:
    """A cancellation that was sent and has no outcome yet.

    Attributes:
        first_sent_ns: When the cancellation was first sent.
        last_sent_ns: When the cancellation was last sent.
        resend_count: How often the cancellation was sent again.
    """

    first_sent_ns: int
    last_sent_ns: int
    resend_count: int = 0


class CancelCheck(NamedTuple):
    """The result of a check of the pending cancellations.

    Attributes:
        to_resend: The request ids whose cancellation is to be sent again.
        stopped: The request ids of the attempts that count as stopped from now on.
    """

    to_resend: list[bytes]
    stopped: list[bytes]


@dataclass(slots=True)
class PendingCancels:
    """The cancellations on one connection that have no outcome yet.

    A cancelled attempt holds its stream until the outcome is known: an answer that crosses the
    cancellation must be recognised, so that it can be dropped.

    Attributes:
        by_id: The pending cancellations by the request id that the attempt has on the wire.
    """

    by_id: dict[bytes, PendingCancel] = field(default_factory=dict)

    def begin(self, request_id: bytes, now_ns: int) -> None:
        """Record that the attempt with this id is being cancelled."""
        self.by_id.setdefault(request_id, PendingCancel(now_ns, now_ns))

    def resolve_by_answer(self, request_id: bytes) -> CancelOutcome | None:
        """Record an answer with this id; return the outcome, or None without a cancellation."""
        if self.by_id.pop(request_id, None) is None:
            return None
        return CancelOutcome.ANSWERED

    def check(self, now_ns: int) -> CancelCheck:
        """Return the cancellations to resend and those that are confirmed, which are removed."""
        to_resend: list[bytes] = []
        stopped: list[bytes] = []
        for request_id, pending in list(self.by_id.items()):
            if now_ns - pending.first_sent_ns >= CONFIRMATION_DELAY_NS:
                stopped.append(request_id)
                del self.by_id[request_id]
            elif (
                now_ns - pending.last_sent_ns >= RESEND_INTERVAL_NS
                and pending.resend_count < MAX_RESEND_COUNT
            ):
                pending.resend_count += 1
                pending.last_sent_ns = now_ns
                to_resend.append(request_id)
        return CancelCheck(to_resend, stopped)

    def clear(self) -> int:
        """Remove all cancellations, since the connection has ended; return their number."""
        count = len(self.by_id)
        self.by_id.clear()
        return count
