"""Open requests and their attempts. Nothing here decides, and nothing here knows a client's
protocol.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ..deadlines.cancel_scopes import CancelScope, ScopeKind
from ..decisions.facade import ProgressKind
from ..timer_wheel import Timer


class Client(Protocol):
    """Whoever waits for a request: a connection of any client protocol."""

    def served(self, stream: int, body: bytes) -> None: ...

    def rejected(self, stream: int, pause_ms: int) -> None: ...

    def failed(self, stream: int, reason: str) -> None: ...


class AttemptConnection(Protocol):
    """A connection to an engine, as far as an attempt knows it."""

    in_flight: dict[bytes, Attempt]
    cancels_in_transit: set[bytes]  # undone, and the engine can't have heard of it yet

    def raise_priority(self, attempt: Attempt, level: int) -> None: ...

    def withdraw(self, attempt: Attempt) -> bool:
        """True: no byte of it has left, and none will."""

    def cancel(self, attempt: Attempt) -> None: ...

    def forget(self, attempt: Attempt) -> None: ...


@dataclass(slots=True)
class ActiveRequest:
    id: str  # ours; a trace is the client's word and may come twice
    client_request_id: bytes
    class_name: bytes
    statement: bytes
    client: Client | None  # None once it is answered or nobody waits
    stream: int
    deadline_ns: int
    tenant: str = ""
    received_ns: int = 0  # when its first byte was read
    accepted_ns: int = 0
    abandoned: bool = False  # its client has gone before its answer
    closing: bool = False  # it gets its final answer now: nothing more is sent for it
    # whether its client still waits can't be heard: nothing further begins for it
    client_unreadable: bool = False
    priority: int | None = None
    memory_mb: int = 0
    idempotency_key: str | None = None
    # those that have not been reported as ended
    attempts: dict[int, Attempt] = field(default_factory=dict)

    def scope(self) -> CancelScope:
        """All that is under way for it. Made when it is to be ended: most requests end by
        themselves.
        """
        made = CancelScope(ScopeKind.REQUEST, self)
        for attempt in self.attempts.values():
            if not attempt.concluded:
                attempt.scope(made)
        return made


@dataclass(slots=True)
class Attempt:
    """One send. It outlives its report: an answer that comes later is known by it, and dropped."""

    request: ActiveRequest
    number: int
    endpoint: int
    dispatched_ns: int
    deadline_ns: int  # how long the broker waits for it
    latest_start_ns: int  # when its first byte must have left
    timer: Timer | None = None
    connection: AttemptConnection | None = None
    budgeted: bool = False  # out of the budget for further attempts
    concluded: bool = False  # taken back, undone or given up by us; its report follows
    write_started: bool = False  # a byte of it has left for the engine, so that it may have run
    assigned_ns: int = 0  # when it was given its connection
    written_ns: int = 0  # when its last byte left
    reported: bool = False
    pages: list[bytes | None] = field(default_factory=list)
    missing: int = 0
    answered_ns: int = 0  # when page 0 came
    progress_ns: dict[ProgressKind, int] = field(
        default_factory=dict
    )  # when the last of each was taken
    report_after_ns: int = 0  # its end is not told before: the engine may not have heard of it yet

    def scope(self, parent: CancelScope) -> CancelScope:
        """It, and what belongs to it, below the request's scope."""
        made = parent.open(ScopeKind.ATTEMPT, self)
        made.left = self.write_started
        if self.missing:
            made.open(ScopeKind.PAGE, self)
        return made

    def wanted(self) -> bool:
        """Somebody still waits for its result."""
        return not self.reported and self.request.client is not None
