"""One connection to a data engine, which carries many attempts at once.

Its parts: `EngineWriter` writes, `EngineAnswers` handles answers and assembles results,
`EngineCancellations` tracks the cancelled attempts. The connection itself holds what is open on it,
and ends after a malformed answer.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Protocol, cast

from ..dispatch.requests import Attempt
from . import engine_messages as messages
from . import resp
from .engine_answers import AnswerObserver, EngineAnswers
from .engine_cancellations import CancelObserver, EngineCancellations
from .engine_writer import EngineWriter, WriteObserver

# Request ids that a connection remembers: as long as it does, it carries no other attempt under the
# same id, and a late answer cannot be taken for that attempt's.
MAX_CARRIED_IDS = 64
# From an answer's first byte to its last: an answer that stops short holds up all that follow it.
ANSWER_TIMEOUT_NS = 500_000_000


class EngineConnectionOwner(AnswerObserver, CancelObserver, WriteObserver, Protocol):
    """The owner of connections: is notified of all that happens on them."""

    def connection_lost(
        self, connection: EngineConnection, reason: str, ended_by_broker: bool
    ) -> None:
        """Handle the end of a connection.

        Args:
            connection: The connection.
            reason: Why it ended, for the log.
            ended_by_broker: Whether this broker ended it, because of a malformed answer or because
                its descriptor was needed; the endpoint may be well.
        """

    def socket_blocked(self, connection: EngineConnection) -> None:
        """Flush this connection at the next tick: its socket accepts no more bytes for now."""

    def carried_elsewhere(self, connection: EngineConnection, request_id: bytes) -> bool:
        """Return whether another connection has lately carried this id to the same engine."""


class EngineConnection(asyncio.Protocol):
    """One connection to a data engine.

    Its states follow each other: ``retired``, ``ending``, ``closed``; each implies those before it.
    Nothing raises out of a callback.

    Attributes:
        endpoint: Number of the endpoint.
        in_flight: Attempts that the engine has not answered, by request id; also those that no
            client waits for, which hold their stream until their answer has come and is dropped.
        carried_ids: The request ids under which something may still come, the newest last.
        health_checks: The tags of health checks.
        cancelled_ids: The request ids of cancelled attempts, each of which still holds its stream.
        retired: It takes no further attempts.
        ending: This broker has closed it; its loss may not have been reported yet.
        closed: Its loss has been reported.
        last_received_ns: When the engine's last bytes came.
        answer_begun_ns: When the first byte of the answer that is incomplete now came.
    """

    def __init__(self, owner: EngineConnectionOwner, endpoint: int) -> None:
        """Make the protocol of a connection that is being opened.

        Args:
            owner: Notified of all that happens on the connection.
            endpoint: Number of the endpoint.
        """
        self.owner = owner
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None
        self.parser = resp.RespParser()
        self.in_flight: dict[bytes, Attempt] = {}
        self.carried_ids: dict[bytes, None] = {}
        self.health_checks: set[bytes] = set()
        now_ns = owner.now()
        self.last_received_ns = now_ns
        self.answer_begun_ns = now_ns
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
            self, owner, self.writer, self.cancellations, partial(owner.carried_elsewhere, self)
        )

    # --- what is open on it ---

    @property
    def is_blocked(self) -> bool:
        """Whether frames wait because its socket accepted no more bytes (backpressure)."""
        return self.writer.is_blocked

    @property
    def last_sent_ns(self) -> int:
        """When something was last sent on it, in ns."""
        return self.writer.last_used_ns

    def is_idle(self) -> bool:
        """Return whether nothing is open on it."""
        return not (self.in_flight or self.health_checks or self.cancelled_ids)

    def ended_by_engine(self) -> bool:
        """Return whether the engine has closed it; the transport may not have reported that yet.

        What would be written now cannot run.
        """
        return self.writer.has_ended()

    # --- from the dispatcher ---

    def register(self, attempt: Attempt) -> None:
        """Register an attempt as in flight here; `send` then sends it."""
        request_id = attempt.request.client_request_id
        self.in_flight[request_id] = attempt
        self.carried_ids[request_id] = None
        if len(self.carried_ids) > MAX_CARRIED_IDS:
            oldest = next(iter(self.carried_ids))
            del self.carried_ids[oldest]
            if oldest in self.in_flight:  # an attempt that is still open keeps its id here
                self.carried_ids[oldest] = None

    def send(self, attempt: Attempt, now_ns: int) -> None:
        """Send an attempt."""
        self.writer.send(attempt, now_ns)

    def raise_priority(self, attempt: Attempt, level: int) -> None:
        """Give an attempt another priority: in the write queue, or at the engine if it has left."""
        request_id = attempt.request.client_request_id
        if not self.writer.raise_priority(request_id, level):
            now_ns = self.owner.now()
            self.writer.send_command(now_ns, messages.RAISE_PRIORITY, request_id, b"%d" % level)

    def withdraw(self, attempt: Attempt) -> bool:
        """Take an attempt back; return whether no byte of it has left, so that none will."""
        request_id = attempt.request.client_request_id
        if attempt.write_started or not self.writer.withdraw(request_id):
            return False
        self.in_flight.pop(request_id, None)
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt of which a byte may have left.

        It holds its stream until the engine has answered it or has been silent for long enough.
        """
        now_ns = self.owner.now()
        request_id = attempt.request.client_request_id
        self.in_flight.pop(request_id, None)
        self.cancellations.begin(request_id, now_ns)

    def forget(self, attempt: Attempt) -> None:
        """Tell the engine that no more pages of an attempt are wanted."""
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
        """Repeat cancellations, and end the connection if an answer stopped short on it.

        All later answers would be read as parts of it, so that nothing that is sent later would be
        answered. After a stall of this process the rest of the answer may lie unread in the
        system's buffer: then the connection stays.
        """
        self.cancellations.check(now_ns)
        if not self.parser.buffer or now_ns - self.answer_begun_ns <= ANSWER_TIMEOUT_NS:
            return
        was_stalled = now_ns - self.last_received_ns > ANSWER_TIMEOUT_NS
        if was_stalled and self.writer.has_input():
            return
        self._end("an answer stopped short", ended_by_broker=True)

    def give_up(self, reason: str) -> None:
        """End it with all that is open on it, for a reason that is no fault of the engine."""
        self._end(reason, ended_by_broker=True)

    def close(self) -> None:
        """End it; its loss is reported once the transport reports it."""
        self.retired = True
        self.ending = True
        self.writer.close()

    # --- from the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to send and to read."""
        now_ns = self.owner.now()
        self.last_received_ns = now_ns
        self.transport = cast(asyncio.Transport, transport)
        self.writer.attach(self.transport, now_ns)

    def data_received(self, data: bytes) -> None:
        """Take the answers that are complete.

        A malformed answer leaves the place of the next one unknown: this connection ends, and what
        was open on it may have run.
        """
        if self.closed:
            return
        now_ns = self.owner.now()
        self.last_received_ns = now_ns
        if not self.parser.buffer:
            self.answer_begun_ns = now_ns
        try:
            for parts in self.parser.feed(data):
                self.answer_begun_ns = now_ns
                self.answers.take(parts, now_ns)
                if self.closed:
                    return
        except resp.MalformedAnswerError as error:
            self._end(f"malformed answer: {error}", ended_by_broker=True)
        except Exception as error:  # no input may raise out of a callback
            self._end(f"{type(error).__name__} while reading: {error}", ended_by_broker=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss, unless it was reported as we ended the connection."""
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
