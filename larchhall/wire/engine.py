"""One connection to a data engine: sends, pages and answers of many attempts at once."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from ..facade import Result
from ..state.requests import Attempt
from . import resp

MS = 1_000_000
MOST_PAGES = 1_024
MOST_RESULT = 256_000  # bytes; what one frame to a client can hold
WORDS = {b"overload": Result.FULL, b"crashed": Result.ERROR, b"nobody": Result.NOT_SENT}
HEALTH = {b"green": Result.SERVED, b"red": Result.ERROR}


class Owner(Protocol):
    """What a connection tells of."""

    def now(self) -> int: ...

    def whole(self, attempt: Attempt, meter: str) -> None: ...

    def ended(self, attempt: Attempt, result: Result, meter: str) -> None: ...

    def probed(self, tag: bytes, result: Result, meter: str) -> None: ...

    def late(self, attempt: Attempt, meter: str) -> None: ...

    def lost(self, connection: EngineConnection, why: str) -> None: ...


class EngineConnection(asyncio.Protocol):
    """Attempts stay in ``open`` until the engine answered them, also those that nobody waits for: they hold
    their stream, and their answer must be known to be dropped."""

    def __init__(self, owner: Owner, engine: int) -> None:
        self.owner, self.engine = owner, engine
        self.transport: asyncio.Transport | None = None
        self.parser = resp.RespParser()
        self.open: dict[bytes, Attempt] = {}
        self.probes: set[bytes] = set()
        self.heard = self.used = owner.now()
        self.retired = False  # takes no further sends
        self.closed = False

    # --- from the broker ---

    def do(self, attempt: Attempt, now: int) -> None:
        """Danger: the class and the statement go on as they came; only our own fields are written anew."""
        request = attempt.request
        fields: dict[str, object] = {"cls": request.route.decode(),
                                     "limit": max(1, (attempt.until - now) // MS)}
        if request.reserve > 0:
            fields["reserve"] = request.reserve
        if request.level is not None:
            fields["level"] = request.level
        attempt.written = True
        self._write(now, b"do", request.trace, resp.write_pairs(fields), request.statement)

    def bump(self, attempt: Attempt, level: int) -> None:
        self._write(self.owner.now(), b"bump", attempt.request.trace, b"%d" % level)

    def undo(self, attempt: Attempt) -> None:
        self._write(self.owner.now(), b"undo", attempt.request.trace)

    def probe(self, tag: bytes, word: bytes = b"top") -> None:
        self.probes.add(tag)
        self._write(self.owner.now(), word, tag)

    def _write(self, now: int, *parts: bytes) -> None:
        self.used = now
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(resp.encode(*parts))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # --- from the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.heard = self.used = self.owner.now()

    def data_received(self, data: bytes) -> None:
        """Danger: a malformed answer leaves the place of the next one unknown: this connection ends, and
        what was open on it may have run."""
        self.heard = self.owner.now()
        try:
            for parts in self.parser.feed(data):
                if self.closed:
                    return
                self._answer(parts)
        except resp.BadAnswer as error:
            self._drop(f"malformed answer: {error}")
        except Exception as error:  # no input may raise out of a callback
            self._drop(f"{type(error).__name__} while reading: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        self._drop("closed by the engine" if exc is None else str(exc))

    def _drop(self, why: str) -> None:
        if not self.closed:
            self.closed = self.retired = True
            self.close()
            self.owner.lost(self, why)

    def _answer(self, parts: list[bytes]) -> None:
        if len(parts) != 4:
            raise resp.BadAnswer(f"{len(parts)} parts in place of 4")
        tag, word, raw_fields, body = parts
        fields = resp.read_pairs(raw_fields)
        meter = fields.get("meter", "")
        if tag in self.probes and word in HEALTH:
            self.probes.discard(tag)
            self.owner.probed(tag, HEALTH[word], meter)
            return
        attempt = self.open.get(tag)
        if word == b"served":
            self._served(tag, attempt, fields, body, meter)
        elif word == b"rows":
            self._page(tag, attempt, fields, body, meter)
        elif word in WORDS:
            if attempt is not None:
                # A page that its engine lost also ends here: it may have run, and is no short result.
                result = Result.ERROR if attempt.pages else WORDS[word]
                self._over(tag, attempt, result, meter)
        else:
            raise resp.BadAnswer(f"unknown word {word[:40]!r}")

    def _over(self, tag: bytes, attempt: Attempt, result: Result, meter: str) -> None:
        del self.open[tag]
        if attempt.reported:
            self.owner.late(attempt, meter)
        else:
            self.owner.ended(attempt, result, meter)

    def _served(self, tag: bytes, attempt: Attempt | None, fields: dict[str, str], body: bytes,
                meter: str) -> None:
        chunks = _count(fields.get("chunks", "1"), "chunks")
        if attempt is None or attempt.pages:
            return  # a second answer
        if len(body) > MOST_RESULT:
            raise resp.BadAnswer("a result larger than an answer can hold")
        if not attempt.wanted():
            # Answered elsewhere, timed out, or the client left: the pages behind this one are not wanted.
            if chunks > 1:
                self._write(self.heard, b"forget", tag)
            self._over(tag, attempt, Result.SERVED, meter)
            return
        attempt.answered = self.heard
        attempt.pages = [body, *([None] * (chunks - 1))]
        attempt.missing = max(0, chunks - 1)
        if attempt.missing == 0:
            del self.open[tag]
            self.owner.whole(attempt, meter)
        elif self.transport is not None:
            self.used = self.heard
            self.transport.write(b"".join(resp.encode(b"page", tag, b"%d" % n) for n in range(1, chunks)))

    def _page(self, tag: bytes, attempt: Attempt | None, fields: dict[str, str], body: bytes,
              meter: str) -> None:
        at = _count(fields.get("at", ""), "at")
        if attempt is None or not attempt.pages or not 0 < at < len(attempt.pages):
            if attempt is not None and not attempt.reported:
                raise resp.BadAnswer(f"page {at} was not asked for")
            return
        if not attempt.wanted():
            self._write(self.heard, b"forget", tag)
            self._over(tag, attempt, Result.SERVED, meter)
            return
        if attempt.pages[at] is None:
            attempt.pages[at] = body
            attempt.missing -= 1
        if sum(len(page) for page in attempt.pages if page is not None) > MOST_RESULT:
            raise resp.BadAnswer("a result larger than an answer can hold")
        if attempt.missing == 0:
            del self.open[tag]
            self._write(self.heard, b"forget", tag)
            self.owner.whole(attempt, meter)


def _count(text: str, name: str) -> int:
    if not text.isdecimal() or int(text) > MOST_PAGES:
        raise resp.BadAnswer(f"{name}: {text[:20]!r} is no count up to {MOST_PAGES}")
    return int(text)
