"""Open requests and their attempts. Nothing here decides, and nothing here knows a client's
protocol.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ..deadlines.cancel_scopes import Kind, Scope
from ..decisions.facade import NoteKind
from ..timer_wheel import Timer


class Client(Protocol):
    """Whoever waits for a request: a connection of any client protocol."""

    def served(self, stream: int, body: bytes) -> None: ...

    def refused(self, stream: int, pause_ms: int) -> None: ...

    def failed(self, stream: int, reason: str) -> None: ...


class Carrier(Protocol):
    """A connection to an engine, as far as an attempt knows it."""

    open: dict[bytes, Attempt]
    undo_waits: set[bytes]  # undone, and the engine can't have heard of it yet

    def bump(self, attempt: Attempt, level: int) -> None: ...

    def take_back(self, attempt: Attempt) -> bool:
        """True: no byte of it has left, and none will."""

    def undo(self, attempt: Attempt) -> None: ...

    def forget(self, attempt: Attempt) -> None: ...


@dataclass(slots=True)
class OpenRequest:
    id: str  # ours; a trace is the client's word and may come twice
    trace: bytes
    route: bytes
    statement: bytes
    client: Client | None  # None once it is answered or nobody waits
    stream: int
    deadline: int
    customer: str = ""
    came: int = 0  # when its first byte was read
    taken: int = 0
    left: bool = False  # its client has gone before its answer
    given_up: bool = False  # it gets its final answer now: nothing more is sent for it
    # whether its client still waits can't be heard: nothing further begins for it
    unheard: bool = False
    level: int | None = None
    reserve: int = 0
    nonce: str | None = None
    # those that have not been reported as ended
    attempts: dict[int, Attempt] = field(default_factory=dict)

    def scope(self) -> Scope:
        """All that is under way for it. Made when it is to be ended: most requests end by
        themselves.
        """
        made = Scope(Kind.REQUEST, self)
        for attempt in self.attempts.values():
            if not attempt.ended:
                attempt.scope(made)
        return made


@dataclass(slots=True)
class Attempt:
    """One send. It outlives its report: an answer that comes later is known by it, and dropped."""

    request: OpenRequest
    number: int
    engine: int
    sent: int
    until: int  # how long the broker waits for it
    latest: int  # when its first byte must have left
    timer: Timer | None = None
    connection: Carrier | None = None
    paid: bool = False  # out of the budget for further attempts
    ended: bool = False  # taken back, undone or given up by us; its report follows
    written: bool = False  # a byte of it has left for the engine, so that it may have run
    put: int = 0  # when it was given its connection
    gone: int = 0  # when its last byte left
    reported: bool = False
    pages: list[bytes | None] = field(default_factory=list)
    missing: int = 0
    answered: int = 0  # when page 0 came
    notes: dict[NoteKind, int] = field(default_factory=dict)  # when the last of each was taken
    quiet_until: int = 0  # its end is not told before: the engine may not have heard of it yet

    def scope(self, parent: Scope) -> Scope:
        """It, and what belongs to it, below the request's scope."""
        made = parent.open(Kind.ATTEMPT, self)
        made.left = self.written
        if self.missing:
            made.open(Kind.PAGE, self)
        return made

    def wanted(self) -> bool:
        """Somebody still waits for its result."""
        return not self.reported and self.request.client is not None
