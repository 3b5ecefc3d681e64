"""One connection to a data engine, which carries many attempts at once.

Its parts: `EngineWriter` writes, `EngineAnswers` handles answers and assembles results,
`EngineCancellations` tracks the cancelled attempts. The connection itself holds the unanswered
attempts and health checks, and ends after a malformed answer.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Protocol, cast

from ..decisions.facade import AttemptResult
from ..dispatch.requests import Attempt
from ..overriding import override
from . import engine_messages as messages
from . import resp
from .engine_answers import AnswerObserver, EngineAnswers
from .engine_cancellations import CancelObserver, EngineCancellations
from .engine_writer import EngineWriter, WriteObserver

# Request ids that a connection remembers. It carries no other attempt with a remembered id, so that
# a late answer cannot be mistaken for the answer to that attempt.
MAX_CARRIED_IDS = 64
# From an answer's first byte to its last: an incomplete answer delays all that follow it.
ANSWER_TIMEOUT_NS = 500_000_000


class EngineConnectionOwner(AnswerObserver, CancelObserver, WriteObserver, Protocol):
    """The owner of connections, which is notified of their events."""

    def connection_lost(
        self, connection: EngineConnection, reason: str, ended_by_broker: bool
    ) -> None:
        """Handle the end of a connection.

        Args:
            connection: The connection.
            reason: Why it ended, for the log.
            ended_by_broker: Whether this broker ended it, because of a malformed answer or because
                its descriptor was needed; the endpoint may be healthy.
        """

    def socket_blocked(self, connection: EngineConnection) -> None:
        """Flush this connection at the next tick: its socket currently accepts no more bytes."""

    def carried_by_other_connection(self, connection: EngineConnection, request_id: bytes) -> bool:
        """Return whether another connection recently carried this id to the same engine."""


class EngineConnection(asyncio.Protocol):
    """One connection to a data engine.

    Its states follow each other: ``retired``, ``ending``, ``closed``; each implies those before it.
    No callback raises an exception.

    Attributes:
        endpoint: Number of the endpoint.
        in_flight: Attempts that the engine has not answered, by request id; also those that no
            client waits for, which keep their stream until their answer has arrived and is dropped.
        remembered_request_ids: The request ids for which answers may still arrive, the newest last.
        health_checks: The tags of unanswered health checks.
        cancelled_ids: The request ids of cancelled attempts, each of which still has its stream.
        retired: Whether the connection takes no further attempts.
        ending: Whether this broker has closed the connection; its loss may not be reported yet.
        closed: Whether the loss of the connection has been reported.
        last_received_ns: When the last bytes were received from the engine.
        answer_started_ns: When the first byte of the currently incomplete answer was received.
    """

    def __init__(self, owner: EngineConnectionOwner, endpoint: int) -> None:
        """Create the protocol object of a connection that is being opened.

        Args:
            owner: Notified of the events of the connection.
            endpoint: Number of the endpoint.
        """
        self.owner = owner
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None
        self.parser = resp.RespParser()
        self.in_flight: dict[bytes, Attempt] = {}
        self.remembered_request_ids: dict[bytes, None] = {}
        self.health_checks: set[bytes] = set()
        now_ns = owner.now()
        self.last_received_ns = now_ns
        self.answer_started_ns = now_ns
        self.retired = False
        self.ending = False
        self.closed = False
        self.writer = EngineWriter(
            owner, partial(owner.socket_blocked, self), partial(self._end, ended_by_broker=False)
        )
        self.write_queue = self.writer.write_queue
        self.cancels_in_transit = self.writer.cancels_in_transit
        self.cancellations = EngineCancellations(owner, self.writer)
        self.cancelled_ids = self.cancellations.pending.by_id
        self.answers = EngineAnswers(
            self,
            owner,
            self.writer,
            self.cancellations,
            partial(owner.carried_by_other_connection, self),
        )

    @property
    def is_blocked(self) -> bool:
        """Whether frames wait because the socket accepted no more bytes (backpressure)."""
        return self.writer.is_blocked

    @property
    def last_sent_ns(self) -> int:
        """When something was last sent on the connection, in ns."""
        return self.writer.last_used_ns

    def is_idle(self) -> bool:
        """Return whether no attempt, cancelled attempt or health check is unanswered."""
        return not (self.in_flight or self.health_checks or self.cancelled_ids)

    def ended_by_engine(self) -> bool:
        """Return whether the engine has closed it; the transport may not have reported that yet.

        An attempt that is written after that cannot run.
        """
        return self.writer.has_ended()

    # Called by the dispatcher.

    def register(self, attempt: Attempt) -> None:
        """Register an attempt as in flight on this connection; `send` then sends it."""
        request_id = attempt.request.client_request_id
        self.in_flight[request_id] = attempt
        self.remembered_request_ids[request_id] = None
        if len(self.remembered_request_ids) > MAX_CARRIED_IDS:
            oldest = next(iter(self.remembered_request_ids))
            del self.remembered_request_ids[oldest]
            if oldest in self.in_flight:  # the id of an unanswered attempt stays remembered
                self.remembered_request_ids[oldest] = None

    def send(self, attempt: Attempt, now_ns: int) -> None:
        """Send an attempt."""
        self.writer.send(attempt, now_ns)

    def set_priority(self, attempt: Attempt, priority: int) -> None:
        """Change an attempt's priority: in the write queue, or at the engine if it has left."""
        request_id = attempt.request.client_request_id
        if not self.writer.set_priority(request_id, priority):
            now_ns = self.owner.now()
            self.writer.send_command(now_ns, messages.SET_PRIORITY, request_id, b"%d" % priority)

    def withdraw(self, attempt: Attempt) -> bool:
        """Withdraw an attempt unless its last byte has left; return whether it was withdrawn.

        The engine runs only what has arrived completely. The rest of a partly written attempt is
        never written; the connection then carries nothing more, and ends once the engine has
        answered the other attempts that it has.
        """
        request_id = attempt.request.client_request_id
        if self.writer.is_partly_written(attempt):
            self.in_flight.pop(request_id, None)
            self._stop_writing()
            return True
        if attempt.write_started or not self.writer.withdraw(request_id):
            return False
        self.in_flight.pop(request_id, None)
        return True

    def _stop_writing(self) -> None:
        """Write nothing more; give back the attempts that can't be carried on without that."""
        self.retired = True
        for attempt in self.writer.stop():
            self.in_flight.pop(attempt.request.client_request_id, None)
            self.owner.attempt_stopped(attempt, AttemptResult.NOT_SENT)
        for request_id, attempt in list(self.in_flight.items()):
            if attempt.missing_pages:  # they may not have been requested yet
                del self.in_flight[request_id]
                self.owner.attempt_stopped(attempt, AttemptResult.CANCELLED)
        if self.is_idle():
            self.close()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt of which a byte may have left.

        The attempt keeps its stream until the engine has answered it or has been silent for long
        enough.
        """
        now_ns = self.owner.now()
        request_id = attempt.request.client_request_id
        self.in_flight.pop(request_id, None)
        self.cancellations.begin(request_id, now_ns)

    def is_undelivered(self, attempt: Attempt) -> bool:
        """Return whether the engine's system has not acknowledged an attempt that was sent."""
        return self.writer.is_undelivered(attempt)

    def end_if_undelivered(self, attempt: Attempt) -> None:
        """End the connection if an attempt that nobody waits for has not been delivered yet.

        The system would go on sending its bytes, and the engine would begin it late. Other attempts
        on the connection end with it: nothing takes the bytes of one of them back.
        """
        request_id = attempt.request.client_request_id
        is_in_flight = self.in_flight.get(request_id) is attempt
        is_unanswered = is_in_flight or request_id in self.cancelled_ids
        if self.closed or not is_unanswered or not self.is_undelivered(attempt):
            return
        self.writer.discard_unsent()
        self._end("the engine takes no bytes, and nobody waits for one of its answers", True)

    def forget(self, attempt: Attempt) -> None:
        """Tell the engine that no more pages of an attempt are needed."""
        request_id = attempt.request.client_request_id
        if self.in_flight.pop(request_id, None) is not None:
            self.writer.send_command(self.owner.now(), messages.FORGET, request_id)

    def send_health_check(self, tag: bytes, command: bytes = messages.HEALTH_CHECK) -> None:
        """Send a health check; its answer has the same tag."""
        self.health_checks.add(tag)
        self.writer.send_command(self.owner.now(), command, tag)

    def flush(self) -> None:
        """Write the frames that wait, until the socket accepts no more bytes."""
        self.writer.flush()

    def check(self, now_ns: int) -> None:
        """Repeat cancellations, and end the connection if it can't be used any more.

        If nothing more is written, attempts can only be cancelled by the end of the connection.

        The connection also ends if an answer stays incomplete for too long. All later answers would
        be read as parts of the incomplete one, so no later attempt would be answered. After a stall
        of this process the rest of the answer may lie unread in the system's buffer; in that case
        the connection stays open.
        """
        if self.writer.is_stopped and self.cancels_in_transit:
            self._end("a cancellation can't be sent", ended_by_broker=True)
            return
        self.cancellations.check(now_ns)
        if not self.parser.buffer or now_ns - self.answer_started_ns <= ANSWER_TIMEOUT_NS:
            return
        was_stalled = now_ns - self.last_received_ns > ANSWER_TIMEOUT_NS
        if was_stalled and self.writer.has_input():
            return
        self._end("incomplete answer: its remaining bytes did not arrive", ended_by_broker=True)

    def give_up(self, reason: str) -> None:
        """End the connection and its attempts, for a reason that is not the engine's fault."""
        self._end(reason, ended_by_broker=True)

    def close(self) -> None:
        """End the connection; its loss is reported once the transport reports it."""
        self.retired = True
        self.ending = True
        self.writer.close()

    # Called by the transport.

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to send and to read."""
        now_ns = self.owner.now()
        self.last_received_ns = now_ns
        self.transport = cast(asyncio.Transport, transport)
        self.writer.attach(self.transport, now_ns)

    @override
    def data_received(self, data: bytes) -> None:
        """Handle the answers that are complete.

        After a malformed answer it is unknown where the next one begins: this connection ends, and
        its unanswered attempts may have run.
        """
        if self.closed:
            return
        now_ns = self.owner.now()
        self.last_received_ns = now_ns
        if not self.parser.buffer:
            self.answer_started_ns = now_ns
        try:
            for parts in self.parser.feed(data):
                self.answer_started_ns = now_ns
                self.answers.handle(parts, now_ns)
                if self.closed:
                    return
        except resp.MalformedAnswerError as error:
            self._end(f"malformed answer: {error}", ended_by_broker=True)
        except Exception as error:  # no input may raise out of a callback
            self._end(
                f"{type(error).__name__} while handling an answer: {error}", ended_by_broker=True
            )

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss, unless it was reported when this broker ended the connection."""
        self._end("closed by the engine" if exc is None else str(exc), ended_by_broker=False)

    def _end(self, reason: str, ended_by_broker: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self.retired = True
        self.parser.buffer.clear()
        self.writer.abandon()
        self.cancellations.connection_ended()
        self.close()
        self.owner.connection_lost(self, reason, ended_by_broker)
