"""Open requests, their attempts, and the interfaces of connections to clients and endpoints.

Independent of client protocols. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ..deadlines.cancel_scopes import CancelScope, ScopeKind
from ..decisions.facade import ProgressKind
from ..timer_wheel import Timer


class Client(Protocol):
    """The sender of a request: a connection of any client protocol.

    Each request gets exactly one of the three answers. ``stream`` is the client's number for the
    request on its connection.
    """

    def served(self, stream: int, body: bytes) -> None:
        """Answer with the complete result."""

    def rejected(self, stream: int, retry_after_ms: int) -> None:
        """Answer that the request has not run and that the client may retry after this time."""

    def failed(self, stream: int, reason: str) -> None:
        """Answer that the request has failed; it may have run."""

    def unread_bytes(self) -> int:
        """Return the size of the answers that wait for the client to read them."""


class AttemptConnection(Protocol):
    """The members of a connection to an endpoint that attempts use.

    Attributes:
        in_flight: Unanswered attempts, by the client's request id.
        cancels_in_transit: Request ids whose cancellation can't have reached the endpoint yet.
    """

    in_flight: dict[bytes, Attempt]
    cancels_in_transit: set[bytes]

    def set_priority(self, attempt: Attempt, priority: int) -> None:
        """Give the attempt another priority level."""

    def withdraw(self, attempt: Attempt) -> bool:
        """Withdraw the attempt; return False if its last byte has been sent, so that it may run."""

    def cancel(self, attempt: Attempt) -> None:
        """Tell the endpoint to stop the attempt."""

    def is_undelivered(self, attempt: Attempt) -> bool:
        """Return whether an attempt that was sent has not arrived at the endpoint's system."""

    def end_if_undelivered(self, attempt: Attempt) -> None:
        """End the connection if this attempt, which nobody waits for, has not arrived completely.

        The other attempts on the connection end with it.
        """

    def forget(self, attempt: Attempt) -> None:
        """Tell the endpoint that no more pages of the result are wanted."""


class ReceiveTimes(NamedTuple):
    """When a request was received, in Unix nanoseconds; 0 if that is not known.

    Attributes:
        first_byte_ns: When its first byte was read.
        last_byte_ns: When its last byte was read. It may have waited for its turn since then.
    """

    first_byte_ns: int = 0
    last_byte_ns: int = 0


NO_RECEIVE_TIMES = ReceiveTimes()


@dataclass(slots=True)
class ActiveRequest:
    """A request that has been admitted.

    Times are Unix nanoseconds.

    Attributes:
        id: The broker's id, which is unique.
        client_request_id: The client's id, which several open requests may share.
        class_name: The request class.
        statement: The statement, passed on unread.
        client: Gets the answer; None once the request is answered or abandoned.
        stream: The client's number for the request on its connection.
        deadline_ns: When the answer must have been sent.
        tenant: The tenant, empty if the client named none.
        received_ns: When the first byte of the request was read.
        accepted_ns: When the request was admitted.
        abandoned: The client has cancelled the request or disconnected before the answer.
        closing: The request is getting its final answer: no more attempts are dispatched.
        cancellations_unread: The broker would not read a cancellation by the client, so no more
            attempts are dispatched.
        priority: Priority level set by the decisions; None before their first order.
        memory_mb: Memory granted by the decisions, in megabytes.
        idempotency_key: The client's idempotency key, None if it sent none.
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
    cancellations_unread: bool = False
    priority: int | None = None
    memory_mb: int = 0
    idempotency_key: str | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)

    def scope(self) -> CancelScope:
        """Return the cancel scope of the request, with its attempts below it.

        The scope is only created to end the request early, since most requests end by themselves.
        """
        scope = CancelScope(ScopeKind.REQUEST, self)
        for attempt in self.attempts.values():
            if not attempt.stopped_by_broker:
                attempt.scope(scope)
        return scope


@dataclass(slots=True)
class Attempt:
    """One dispatch of a request to an endpoint.

    An attempt stays in flight at its connection after its end was reported, so that a late answer
    is recognised and dropped. Times are Unix nanoseconds, 0 while they are not known.

    Attributes:
        request: The request.
        number: The number of the attempt among those of the request, from 0.
        endpoint: Number of the endpoint.
        dispatched_ns: When the attempt was ordered.
        deadline_ns: When the broker stops waiting for the answer.
        latest_start_ns: When the attempt must have begun, which is when its last byte arrives.
        timer: Ends the attempt when its time is up.
        start_timer: Withdraws the attempt at ``latest_start_ns``, if that is before its deadline.
        connection: The connection that the attempt was assigned to; None while it waits for one.
        holds_retry_token: A token of the retry budget has been spent on the attempt.
        stopped_by_broker: The broker has stopped waiting for the attempt, for example after a
            cancellation or a timeout; the report follows.
        write_started: A byte has been sent to the endpoint.
        assigned_ns: When the attempt was assigned to its connection.
        written_ns: When the last byte was sent; from then on the attempt may run.
        sent_bytes: Number of bytes that had been sent on the connection then.
        reported: The end of the attempt has been reported to the decisions.
        pages: Pages of the result, None while they are missing.
        missing_pages: How many pages are missing.
        answered_ns: When the first page arrived.
        progress_ns: When the last progress note of each kind was reported.
        report_after_ns: Earliest time for the report of the end: until then a cancellation may not
            have reached the endpoint.
    """

    request: ActiveRequest
    number: int
    endpoint: int
    dispatched_ns: int
    deadline_ns: int
    latest_start_ns: int
    timer: Timer | None = None
    start_timer: Timer | None = None
    connection: AttemptConnection | None = None
    holds_retry_token: bool = False
    stopped_by_broker: bool = False
    write_started: bool = False
    assigned_ns: int = 0
    written_ns: int = 0
    sent_bytes: int = 0
    reported: bool = False
    pages: list[bytes | None] = field(default_factory=list)
    missing_pages: int = 0
    answered_ns: int = 0
    progress_ns: dict[ProgressKind, int] = field(default_factory=dict)
    report_after_ns: int = 0

    def scope(self, parent: CancelScope) -> CancelScope:
        """Return the cancel scope of the attempt and its missing pages, below its request's."""
        scope = parent.open_child(ScopeKind.ATTEMPT, self)
        scope.write_completed = self.written_ns > 0
        if self.missing_pages:
            scope.open_child(ScopeKind.PAGE, self)
        return scope

    def is_wanted(self) -> bool:
        """Return whether a client still waits for the result."""
        return not self.reported and self.request.client is not None
