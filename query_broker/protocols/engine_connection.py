"""One connection to a data engine, which carries many attempts at once.

Its parts: `EngineWriter` writes, `EngineAnswers` takes answers and assembles results,
`EngineCancellations` knows the cancelled attempts. The connection itself knows what is open on it,
and ends when the engine's bytes cannot be trusted any more.
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


class Owner(AnswerObserver, CancelObserver, WriteObserver, Protocol):
    """Who has opened the connection, and is notified of all that happens on it."""

    def connection_lost(self, connection: EngineConnection, why: str, spoilt: bool) -> None:
        """Take note that a connection has ended.

        ``spoilt``: it is we who ended it, since its bytes could not be trusted any more, or had to
        give it up.
        """

    def socket_blocked(self, connection: EngineConnection) -> None:
        """Flush this connection at the next tick: its socket takes no more for now."""

    def carried_elsewhere(self, connection: EngineConnection, trace: bytes) -> bool:
        """Return whether the same id has lately gone to the same engine elsewhere too."""


class EngineConnection(asyncio.Protocol):
    """One connection to a data engine.

    Its life goes one way: ``retired``, ``ending``, ``closed``; each implies those before it.
    Nothing raises out of a callback.

    Attributes:
        in_flight: Attempts until the engine has answered them, also those that nobody waits for:
            they hold their stream, and their answer must be known to be dropped.
        carried: The request ids under which something may still come, the newest last.
        health_checks: The tags of health checks.
        cancelled: The ids of cancelled attempts.
        retired: It takes no further attempts.
        ending: It was closed by us, its loss not reported yet.
        closed: Its loss has been reported.
        last_received_ns: When the engine's last bytes came.
    """

    def __init__(self, owner: Owner, engine: int) -> None:
        """Take whom to notify, and the number of the endpoint."""
        self.owner = owner
        self.endpoint = engine
        self.transport: asyncio.Transport | None = None
        self.parser = resp.RespParser()
        self.in_flight: dict[bytes, Attempt] = {}
        self.carried: dict[bytes, None] = {}
        self.health_checks: set[bytes] = set()
        now = owner.now()
        self.last_received_ns = now
        self.answer_begun_ns = now  # when the answer that is incomplete now began
        self.retired = False
        self.ending = False
        self.closed = False
        self.writer = EngineWriter(
            owner, partial(owner.socket_blocked, self), partial(self._end, spoilt=False)
        )
        self.write_queue = self.writer.write_queue
        self.cancels_in_transit = self.writer.cancels_in_transit
        self.cancellations = EngineCancellations(owner, self.writer)
        self.cancelled = self.cancellations.undoing.waiting
        self.answers = EngineAnswers(
            self, owner, self.writer, self.cancellations, partial(owner.carried_elsewhere, self)
        )

    # --- what is open on it ---

    @property
    def jammed(self) -> bool:
        """Whether its socket took no more, and frames wait."""
        return self.writer.jammed

    @property
    def last_sent_ns(self) -> int:
        """When something was last sent on it, in ns."""
        return self.writer.last_used_ns

    def is_idle(self) -> bool:
        """Return whether nothing is open on it, and nothing of it is waited for."""
        return not (self.in_flight or self.health_checks or self.cancelled)

    def ended_by_engine(self) -> bool:
        """Return whether its end has come, perhaps unread as yet.

        What would be written now cannot run.
        """
        return self.writer.has_ended()

    # --- from the dispatcher ---

    def carry(self, attempt: Attempt) -> None:
        """Take an attempt, which `do` then sends."""
        request_id = attempt.request.client_request_id
        self.in_flight[request_id] = attempt
        self.carried[request_id] = None
        if len(self.carried) > MAX_CARRIED_IDS:
            oldest = next(iter(self.carried))
            del self.carried[oldest]
            if oldest in self.in_flight:  # one that is still open there stays
                self.carried[oldest] = None

    def send(self, attempt: Attempt, now: int) -> None:
        """Send an attempt."""
        self.writer.send(attempt, now)

    def raise_priority(self, attempt: Attempt, level: int) -> None:
        """Give an attempt another priority, here or at the engine."""
        request_id = attempt.request.client_request_id
        if not self.writer.raise_priority(request_id, level):
            now = self.owner.now()
            self.writer.send_command(now, messages.RAISE_PRIORITY, request_id, b"%d" % level)

    def withdraw(self, attempt: Attempt) -> bool:
        """Take an attempt back; return whether no byte of it has left, so that none will."""
        request_id = attempt.request.client_request_id
        if attempt.write_started or not self.writer.withdraw(request_id):
            return False
        self.in_flight.pop(request_id, None)
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt of which a byte may have left; it holds its stream for a while."""
        now = self.owner.now()
        request_id = attempt.request.client_request_id
        self.in_flight.pop(request_id, None)
        self.cancellations.begin(request_id, now)

    def forget(self, attempt: Attempt) -> None:
        """Tell the engine that no more pages of an attempt are wanted."""
        request_id = attempt.request.client_request_id
        if self.in_flight.pop(request_id, None) is not None:
            self.writer.send_command(self.owner.now(), messages.FORGET, request_id)

    def send_health_check(self, tag: bytes, command: bytes = messages.HEALTH_CHECK) -> None:
        """Send a health check; its answer comes under the same tag."""
        self.health_checks.add(tag)
        self.writer.send_command(self.owner.now(), command, tag)

    def flush(self) -> None:
        """Write what waits, until the socket takes no more."""
        self.writer.flush()

    def check(self, now: int) -> None:
        """Repeat cancellations, and end the connection if an answer stopped short on it.

        Such an answer swallows all answers behind it, and what is sent there later is never heard
        of again. Where this process stood still, its rest lies here unread.
        """
        self.cancellations.check(now)
        if not self.parser.buffer or now - self.answer_begun_ns <= ANSWER_TIMEOUT_NS:
            return
        stood_still = now - self.last_received_ns > ANSWER_TIMEOUT_NS
        if stood_still and self.writer.has_input():
            return
        self._end("an answer stopped short", spoilt=True)

    def give_up(self, why: str) -> None:
        """End it with all that is open there; no fault of the engine's."""
        self._end(why, spoilt=True)

    def close(self) -> None:
        """End it; its loss is reported once the transport says so."""
        self.retired = True
        self.ending = True
        self.writer.close()

    # --- from the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to send and to read."""
        now = self.owner.now()
        self.last_received_ns = now
        self.transport = cast(asyncio.Transport, transport)
        self.writer.attach(self.transport, now)

    def data_received(self, data: bytes) -> None:
        """Take the answers that are complete.

        A malformed answer leaves the place of the next one unknown: this connection ends, and what
        was open on it may have run.
        """
        if self.closed:
            return
        now = self.owner.now()
        self.last_received_ns = now
        if not self.parser.buffer:
            self.answer_begun_ns = now
        try:
            for parts in self.parser.feed(data):
                self.answer_begun_ns = now
                self.answers.take(parts, now)
                if self.closed:
                    return
        except resp.MalformedAnswerError as error:
            self._end(f"malformed answer: {error}", spoilt=True)
        except Exception as error:  # no input may raise out of a callback
            self._end(f"{type(error).__name__} while reading: {error}", spoilt=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss, unless it was reported as we ended the connection."""
        self._end("closed by the engine" if exc is None else str(exc), spoilt=False)

    def _end(self, why: str, spoilt: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self.retired = True
        self.parser.buffer.clear()
        self.writer.abandon()
        self.cancellations.connection_ended()
        self.close()
        self.owner.connection_lost(self, why, spoilt)
