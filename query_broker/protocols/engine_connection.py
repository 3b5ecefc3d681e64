"""One connection to a data engine: sends, pages and answers of many attempts at once."""

from __future__ import annotations

import asyncio
import math
import os
import re
import socket
from typing import Protocol, cast

from ..deadlines.cancel_scopes import CancelOutcome, Undoing
from ..deadlines.write_queue import CONTROL, Frame, WriteQueue
from ..decisions.facade import AttemptResult, ProgressKind
from ..dispatch.requests import Attempt
from . import resp
from .socket_state import has_ended, has_input

MS = 1_000_000
MOST_PAGES = 1_024
NOTSENT_LOWAT = getattr(socket, "TCP_NOTSENT_LOWAT", 25)
UNSENT = 16_384  # bytes that may lie unsent in the system's buffer
MOST_RESULT = 48_000  # bytes
CARRIED = 64  # ids that a connection knows to have carried
PART = 500 * MS  # ns in which an answer that has begun must be whole
# three text columns and a line end each
ROWS = re.compile(rb"(?:[^\t\n\0]*\t[^\t\n\0]*\t[^\t\n\0]*\n)*")
WORDS = {
    b"overload": AttemptResult.FULL,
    b"crashed": AttemptResult.ERROR,
    b"nobody": AttemptResult.NOT_SENT,
}
TOLD = {
    "pct": ProgressKind.PROGRESS,
    "overflow": ProgressKind.SPILLING,
    "queued": ProgressKind.WAITING,
}
HEALTH = {b"green": AttemptResult.SERVED, b"red": AttemptResult.ERROR}


class Owner(Protocol):
    """What a connection tells of."""

    def now(self) -> int: ...

    def whole(self, attempt: Attempt, meter: str) -> None: ...

    def ended(self, attempt: Attempt, result: AttemptResult, meter: str) -> None: ...

    def noted(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None: ...

    def probed(self, tag: bytes, result: AttemptResult, meter: str) -> None: ...

    def late(self, attempt: Attempt, meter: str) -> None: ...

    def lost(self, connection: EngineConnection, why: str, spoilt: bool) -> None: ...

    def written(self, attempt: Attempt) -> None:
        """Its last byte has left."""

    def written_at_once(self) -> None:
        """An attempt has left whole as it was put here."""

    def may_go(self, attempt: Attempt) -> bool:
        """Asked before its first byte leaves. False: it is taken back, and never ran."""

    def stuck(self, connection: EngineConnection) -> None:
        """The socket takes no more for now: to be flushed again at the next tick."""

    def undone(self, outcome: CancelOutcome, count: int) -> None:
        """What became of attempts that were undone."""

    def twice(self, connection: EngineConnection, trace: bytes) -> bool:
        """The same id went to the same engine on another connection too, of late."""


class EngineConnection(asyncio.Protocol):
    """Attempts stay in ``open`` until the engine answered them, also those that nobody waits for:
    they hold their stream, and their answer must be known to be dropped.
    """

    def __init__(self, owner: Owner, engine: int) -> None:
        self.owner, self.endpoint = owner, engine
        self.transport: asyncio.Transport | None = None
        self.parser = resp.RespParser()
        self.in_flight: dict[bytes, Attempt] = {}
        # ids under which something may still come, the newest last
        self.carried: dict[bytes, None] = {}
        self.probes: set[bytes] = set()
        self.heard = self.used = self.begun = owner.now()
        self.retired = False  # takes no further sends
        self.ending = False  # closed by us, its loss not told yet
        self.closed = False
        self.fd = -1
        self.write_queue = WriteQueue(self._leave, self._begun, self._gone)
        self.undoing = Undoing()
        self.cancelled = self.undoing.waiting
        self.jammed = False  # its socket took no more, and frames wait
        self.cancels_in_transit: set[bytes] = (
            set()
        )  # undone, and the engine can't have heard of it yet

    def quiet(self) -> bool:
        """Nothing is open on it, and nothing of it is waited for."""
        return not (self.in_flight or self.probes or self.cancelled)

    # --- the outbox ---

    def _leave(self, frame: Frame) -> tuple[bytes, ...] | None:
        if not isinstance(frame.about, Attempt):
            return frame.pieces
        return (
            self._pieces(frame.about, self.owner.now()) if self.owner.may_go(frame.about) else None
        )

    def _begun(self, about: object) -> None:
        if isinstance(about, Attempt):
            about.write_started = True

    def _gone(self, about: object) -> None:
        if isinstance(about, Attempt):
            self.owner.written(about)
        elif isinstance(about, bytes):
            self.cancels_in_transit.discard(about)

    def ended_by_engine(self) -> bool:
        """Its end has come, and is not read yet: what would be written now can't run."""
        return self.fd >= 0 and has_ended(self.fd)

    def flush(self) -> None:
        """Write until the socket takes no more. Danger: what the transport's own buffer holds can't
        be taken back: it is given nothing; how much has left is known to the byte.
        """
        outbox = self.write_queue
        # Danger: the number of a descriptor that has been closed is soon another connection's.
        while (
            self.fd >= 0
            and self.transport is not None
            and not self.transport.is_closing()
            and (pieces := outbox.next())
        ):
            try:
                wrote = os.writev(self.fd, pieces)
            except BlockingIOError:
                wrote = 0
            except OSError as error:
                self._drop(str(error), spoilt=False)
                return
            if not outbox.wrote(wrote):
                self.jammed = True
                self.owner.stuck(self)
                return
        self.jammed = False

    def withdraw(self, attempt: Attempt) -> bool:
        """True: no byte of it has left, and none will."""
        if attempt.write_started or not self.write_queue.take_back(
            attempt.request.client_request_id
        ):
            return False
        self.in_flight.pop(attempt.request.client_request_id, None)
        return True

    # --- from the broker ---

    def carry(self, attempt: Attempt) -> None:
        trace = attempt.request.client_request_id
        self.in_flight[trace] = attempt
        self.carried[trace] = None
        if len(self.carried) > CARRIED:  # the oldest; one that is still open there stays
            old = next(iter(self.carried))
            del self.carried[old]
            if old in self.in_flight:
                self.carried[old] = None

    def do(self, attempt: Attempt, now: int) -> None:
        request, pieces = attempt.request, self._pieces(attempt, now)
        if (
            len(pieces) == 1
            and self.fd >= 0
            and not self.jammed
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            # The ordinary path: it has just been decided on, and leaves whole.
            try:
                wrote = os.write(self.fd, pieces[0])
            except OSError:
                wrote = 0  # told, or tried again, below
            if wrote:
                self._begun(attempt)
            if wrote == len(pieces[0]):
                self.used = attempt.written_ns = now
                self.owner.written_at_once()
                return
            pieces = (pieces[0][wrote:],)
        self._put(
            now,
            attempt,
            request.client_request_id,
            1 if request.priority is None else request.priority,
            pieces,
            attempt.write_started,
        )

    def _pieces(self, attempt: Attempt, now: int) -> tuple[bytes, ...]:
        """Danger: class, key and statement go on as they came; only our own fields are written
        anew.
        """
        request = attempt.request
        fields: dict[str, object] = {
            "cls": request.class_name.decode(),
            "limit": max(1, (attempt.deadline_ns - now) // MS),
        }
        if request.idempotency_key is not None:
            fields["nonce"] = request.idempotency_key
        if request.memory_mb > 0:
            fields["reserve"] = request.memory_mb
        if request.priority is not None:
            fields["level"] = request.priority
        return resp.pieces(
            b"do", request.client_request_id, resp.write_pairs(fields), request.statement
        )

    def raise_priority(self, attempt: Attempt, level: int) -> None:
        if not self.write_queue.raise_level(attempt.request.client_request_id, level):
            self._write(self.owner.now(), b"bump", attempt.request.client_request_id, b"%d" % level)

    def cancel(self, attempt: Attempt) -> None:
        """Its stream is held until it has been silent for long enough, or has answered all the
        same.
        """
        now = self.owner.now()
        self.in_flight.pop(attempt.request.client_request_id, None)
        self.undoing.begin(attempt.request.client_request_id, now)
        if self.transport is not None and not self.transport.is_closing():
            self.cancels_in_transit.add(attempt.request.client_request_id)
            self._put(
                now,
                attempt.request.client_request_id,
                None,
                CONTROL,
                resp.pieces(b"undo", attempt.request.client_request_id),
            )

    def forget(self, attempt: Attempt) -> None:
        """No more pages of it are wanted."""
        if self.in_flight.pop(attempt.request.client_request_id, None) is not None:
            self._write(self.owner.now(), b"forget", attempt.request.client_request_id)

    def probe(self, tag: bytes, word: bytes = b"top") -> None:
        self.probes.add(tag)
        self._write(self.owner.now(), word, tag)

    def _write(self, now: int, *parts: bytes) -> None:
        self._put(now, None, None, CONTROL, resp.pieces(*parts))

    def _put(
        self,
        now: int,
        about: object,
        key: bytes | None,
        level: int,
        pieces: tuple[bytes, ...],
        begun: bool = False,
    ) -> None:
        self.used = now
        if self.transport is not None and not self.transport.is_closing():
            if self.write_queue.put(
                Frame(pieces, key, level, sum(map(len, pieces)), about, begun=begun)
            ):
                self.flush()

    def give_up(self, why: str) -> None:
        """End it with all that is open there; no fault of the engine's."""
        self._drop(why, spoilt=True)

    def close(self) -> None:
        self.retired = self.ending = True
        self.fd = -1
        if self.transport is not None:
            self.transport.abort()

    # --- from the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.heard = self.used = self.owner.now()
        held = transport.get_extra_info("socket")
        self.fd = held.fileno()
        try:  # what lies unsent in the system's buffer can't be taken back either
            held.setsockopt(socket.IPPROTO_TCP, NOTSENT_LOWAT, UNSENT)
        except OSError:
            pass  # no system like that: its buffer is somewhat larger, and all else as it is

    def data_received(self, data: bytes) -> None:
        """Danger: a malformed answer leaves the place of the next one unknown: this connection
        ends, and what was open on it may have run.
        """
        if self.closed:
            return
        self.heard = self.owner.now()
        if not self.parser.buffer:
            self.begun = self.heard
        try:
            for parts in self.parser.feed(data):
                self.begun = self.heard
                self._answer(parts)
                if self.closed:
                    return
        except resp.BadAnswer as error:
            self._drop(f"malformed answer: {error}", spoilt=True)
        except Exception as error:  # no input may raise out of a callback
            self._drop(f"{type(error).__name__} while reading: {error}", spoilt=True)

    def check(self, now: int) -> None:
        """Danger: an answer that stops short on an open connection swallows all answers behind it,
        and what is sent there later is never heard of again. Where we stood still, its rest lies
        here unread.
        """
        again, stopped = self.undoing.due(now)
        for trace in again:
            self._write(now, b"undo", trace)
        if stopped:
            self.owner.undone(CancelOutcome.STOPPED, len(stopped))
        if (
            self.parser.buffer
            and now - self.begun > PART
            and not (now - self.heard > PART and self.fd >= 0 and has_input(self.fd))
        ):
            self._drop("an answer stopped short", spoilt=True)

    def connection_lost(self, exc: Exception | None) -> None:
        self._drop("closed by the engine" if exc is None else str(exc), spoilt=False)

    def _drop(self, why: str, spoilt: bool) -> None:
        if not self.closed:
            self.closed = self.retired = True
            self.fd = -1
            self.parser.buffer.clear()
            self.write_queue.abandon()
            self.cancels_in_transit.clear()  # its end gives up all that was open there
            if lost := self.undoing.lost():
                self.owner.undone(CancelOutcome.LOST, lost)
            self.close()
            self.owner.lost(self, why, spoilt)

    def _answer(self, parts: list[bytes]) -> None:
        if len(parts) != 4:
            raise resp.BadAnswer(f"{len(parts)} parts in place of 4")
        tag, word, raw_fields, body = parts
        if word == b"update":
            self._note(tag, raw_fields)
            return
        fields = resp.read_pairs(raw_fields)
        meter = fields.get("meter", "")
        if word in HEALTH:
            if tag in self.probes:
                self.probes.discard(tag)
                self.owner.probed(tag, HEALTH[word], meter)
        elif word not in WORDS and word not in (b"served", b"rows"):
            raise resp.BadAnswer(f"unknown word {word[:40]!r}")
        elif (attempt := self.in_flight.get(tag)) is None:
            # A second copy, or more than was asked for: it belongs to nothing that is open here. Or
            # it crossed the `undo`.
            if (outcome := self.undoing.answered(tag)) is not None:
                self.owner.undone(outcome, 1)
            return
        elif word == b"served":
            self._served(tag, attempt, fields, body, meter)
        elif word == b"rows":
            self._page(tag, attempt, fields, body, meter)
        else:
            # A page that its engine lost also ends here: it may have run, and is no short result.
            self._over(tag, attempt, AttemptResult.ERROR if attempt.pages else WORDS[word], meter)

    def _note(self, tag: bytes, raw_fields: bytes) -> None:
        """Danger: the frame is whole, so that nothing behind it is lost: a note that can't be read,
        or of an attempt that is over or undone, ends nothing.
        """
        attempt = self.in_flight.get(tag)
        if attempt is None or attempt.reported:
            return
        try:
            fields = resp.read_pairs(raw_fields)
            kind, amount = TOLD.get(fields.get("tell", "")), float(fields.get("amount", "0"))
        except (resp.BadAnswer, ValueError):
            return
        if kind is not None and math.isfinite(amount):
            self.owner.noted(attempt, kind, amount)

    def _over(self, tag: bytes, attempt: Attempt, result: AttemptResult, meter: str) -> None:
        del self.in_flight[tag]
        if attempt.reported:
            self.owner.late(attempt, meter)
        else:
            self.owner.ended(attempt, result, meter)

    def _served(
        self, tag: bytes, attempt: Attempt, fields: dict[str, str], body: bytes, meter: str
    ) -> None:
        if attempt.pages:
            return  # a second copy
        chunks = _count(fields.get("chunks", "1"), "chunks")
        _check_rows(body)
        if not attempt.wanted():
            # Answered elsewhere, timed out, or the client left: the pages behind this one are not
            # wanted.
            if chunks > 1:
                self._write(self.heard, b"forget", tag)
            self._over(tag, attempt, AttemptResult.SERVED, meter)
            return
        attempt.answered_ns = self.heard
        attempt.pages = [body, *([None] * (chunks - 1))]
        attempt.missing = max(0, chunks - 1)
        if attempt.missing == 0:
            del self.in_flight[tag]
            self.owner.whole(attempt, meter)
        elif self.owner.twice(self, tag):
            self._mixed(tag, attempt, meter)
        else:
            for n in range(1, chunks):
                self._write(self.heard, b"page", tag, b"%d" % n)

    def _page(
        self, tag: bytes, attempt: Attempt, fields: dict[str, str], body: bytes, meter: str
    ) -> None:
        at = _count(fields.get("at", ""), "at")
        if not attempt.pages or not 0 < at < len(attempt.pages):
            if not attempt.reported:
                raise resp.BadAnswer(f"page {at} was not asked for")
            return
        _check_rows(body)
        if not attempt.wanted():
            self._write(self.heard, b"forget", tag)
            self._over(tag, attempt, AttemptResult.SERVED, meter)
            return
        if attempt.pages[at] is None:
            attempt.pages[at] = body
            attempt.missing -= 1
        if sum(len(page) for page in attempt.pages if page is not None) > MOST_RESULT:
            raise resp.BadAnswer("a result larger than an answer can hold")
        if attempt.missing == 0:
            if self.owner.twice(self, tag):
                return self._mixed(tag, attempt, meter)
            del self.in_flight[tag]
            self._write(self.heard, b"forget", tag)
            self.owner.whole(attempt, meter)

    def _mixed(self, tag: bytes, attempt: Attempt, meter: str) -> None:
        """Danger: the engine runs, or has run, another query under this id, and knows pages by the
        id alone: those that it gives may be of either, also when the other one has just been
        answered.
        """
        self._write(self.heard, b"forget", tag)
        attempt.pages = []
        self._over(tag, attempt, AttemptResult.ERROR, meter)


def _check_rows(page: bytes) -> None:
    """Danger: noise in a good frame would be served as a result."""
    try:
        page.decode()
    except UnicodeDecodeError:
        raise resp.BadAnswer("a page that is no text") from None
    if ROWS.fullmatch(page) is None:
        raise resp.BadAnswer("a page that is no rows of three columns")


def _count(text: str, name: str) -> int:
    if not text.isdecimal() or int(text) > MOST_PAGES:
        raise resp.BadAnswer(f"{name}: {text[:20]!r} is no count up to {MOST_PAGES}")
    return int(text)
