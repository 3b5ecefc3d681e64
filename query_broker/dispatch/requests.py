"""Open requests, their attempts, and the interfaces of the connections at both ends.

Independent of the clients' protocols. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ..deadlines.cancel_scopes import CancelScope, ScopeKind
from ..decisions.facade import ProgressKind
from ..timer_wheel import Timer


class Client(Protocol):
    """The sender of a request: a connection of any client protocol.

    Each request gets exactly one of the three answers. ``stream`` is the client's number of the
    request on its connection.
    """

    def served(self, stream: int, body: bytes) -> None:
        """Answer with the complete result."""

    def rejected(self, stream: int, retry_after_ms: int) -> None:
        """Answer that nothing has run, and that the client may retry after this time."""

    def failed(self, stream: int, reason: str) -> None:
        """Answer that the request has failed, and may have run."""

    def unread_bytes(self) -> int:
        """Return the size of the answers that wait for the client to read them."""


class AttemptConnection(Protocol):
    """A connection to an endpoint, as far as an attempt knows it.

    Attributes:
        in_flight: Attempts that are not answered, by the client's request id.
        cancels_in_transit: Request ids whose cancellation can't have reached the endpoint yet.
    """

    in_flight: dict[bytes, Attempt]
    cancels_in_transit: set[bytes]

    def raise_priority(self, attempt: Attempt, level: int) -> None:
        """Give the attempt another priority level."""

    def withdraw(self, attempt: Attempt) -> bool:
        """Withdraw the attempt; return whether no byte of it has left, so that none will."""

    def cancel(self, attempt: Attempt) -> None:
        """Tell the endpoint to stop the attempt."""

    def forget(self, attempt: Attempt) -> None:
        """Tell the endpoint that no more pages of the attempt are wanted."""


@dataclass(slots=True)
class ActiveRequest:
    """A request that has been admitted.

    Times are Unix nanoseconds.

    Attributes:
        id: The broker's id. The client's may come twice.
        client_request_id: The client's id.
        class_name: The request class.
        statement: The statement, passed on unread.
        client: Gets the answer; None once it is answered or abandoned.
        stream: The client's number of the request on its connection.
        deadline_ns: When its answer must be on its way.
        tenant: The tenant, empty where the client named none.
        received_ns: When its first byte was read.
        accepted_ns: When it was admitted.
        abandoned: Its client has cancelled it or disconnected before the answer.
        closing: It gets its final answer now: no attempt is dispatched for it any more.
        client_unreadable: A cancellation by its client would not be read: no further attempt
            begins.
        priority: Level that the decisions gave it; None before the first order.
        memory_mb: Memory that the decisions gave it, in megabytes.
        idempotency_key: The client's idempotency key, None where it gave none.
        attempts: Attempts whose end has not been reported, by number.
    """

    id: str
    client_request_id: bytes
    class_name: bytes
    statement: bytes
    client: Client | None
    stream: int
    deadline_ns: int
    tenant: str = ""
    received_ns: int = 0
    accepted_ns: int = 0
    abandoned: bool = False
    closing: bool = False
    client_unreadable: bool = False
    priority: int | None = None
    memory_mb: int = 0
    idempotency_key: str | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)

    def scope(self) -> CancelScope:
        """Return the scope of all that is under way for it.

        Made only when it is to be ended, since most requests end by themselves.
        """
        scope = CancelScope(ScopeKind.REQUEST, self)
        for attempt in self.attempts.values():
            if not attempt.concluded:
                attempt.scope(scope)
        return scope


@dataclass(slots=True)
class Attempt:
    """One dispatch of a request to an endpoint.

    It stays in flight at its connection after its report, so that a later answer is recognised and
    dropped. Times are Unix nanoseconds, 0 while they are not known.

    Attributes:
        request: The request.
        number: Its number among the attempts of the request, from 0.
        endpoint: Number of the endpoint.
        dispatched_ns: When it was ordered.
        deadline_ns: When the broker stops waiting for its answer.
        latest_start_ns: When its first byte must have left.
        timer: Ends it when it runs out of time.
        connection: The connection that it was assigned; None while it waits for one.
        holds_retry_token: A token of the retry budget has been spent on it.
        concluded: Withdrawn, cancelled or given up by the broker; its report follows.
        write_started: A byte of it has left for the endpoint, so that it may have run.
        assigned_ns: When it got its connection.
        written_ns: When its last byte left.
        reported: Its end has been reported to the decisions.
        pages: Pages of its result, None while they are missing.
        missing_pages: How many pages are missing.
        answered_ns: When the first page came.
        progress_ns: When the last progress note of each kind was reported.
        report_after_ns: Its end is not reported before this: its cancellation may not have reached
            the endpoint yet.
    """

    request: ActiveRequest
    number: int
    endpoint: int
    dispatched_ns: int
    deadline_ns: int
    latest_start_ns: int
    timer: Timer | None = None
    connection: AttemptConnection | None = None
    holds_retry_token: bool = False
    concluded: bool = False
    write_started: bool = False
    assigned_ns: int = 0
    written_ns: int = 0
    reported: bool = False
    pages: list[bytes | None] = field(default_factory=list)
    missing_pages: int = 0
    answered_ns: int = 0
    progress_ns: dict[ProgressKind, int] = field(default_factory=dict)
    report_after_ns: int = 0

    def scope(self, parent: CancelScope) -> CancelScope:
        """Return its scope, with that of its missing pages, below the scope of its request."""
        scope = parent.open(ScopeKind.ATTEMPT, self)
        scope.write_started = self.write_started
        if self.missing_pages:
            scope.open(ScopeKind.PAGE, self)
        return scope

    def is_wanted(self) -> bool:
        """Return whether a client still waits for its result."""
        return not self.reported and self.request.client is not None
