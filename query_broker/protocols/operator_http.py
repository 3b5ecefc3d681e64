"""The operators' HTTP calls, one a connection. What a call does is told by `Operations`."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast
from urllib.parse import unquote_to_bytes

import httptools

from ..timer_wheel import Timer, TimerWheel

MOST_HEAD = 8_192  # bytes of the request line and the headers
MOST_BODY = 16_384  # bytes; no call needs any
PATIENCE = 800_000_000  # ns from connecting to the end of the connection, answered or not
TEXT = "text/plain; charset=utf-8"
METRICS = "text/plain; version=0.0.4; charset=utf-8"
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
DISABLE, ENABLE = "/data-engines/disable/", "/data-engines/enable/"


class Operations(Protocol):
    """What the calls ask for."""

    wheel: TimerWheel

    def now(self) -> int: ...

    def ready(self) -> bool: ...

    def metrics(self) -> bytes: ...

    def set_engine(self, uid: str, out: bool) -> bool: ...

    def other(self, method: str, path: str) -> tuple[int, bytes, str, str] | None:
        """Status, body, kind and allowed method of a call that is not the daemon's own; None: no
        such.
        """

    def came(self, caller: OperatorConnection) -> None: ...

    def went(self, caller: OperatorConnection) -> None: ...

    def log(self, kind: str, text: str) -> None: ...


class Answer(Exception):
    """The call cannot be done: the status says why."""

    def __init__(self, status: int, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.status, self.allow = status, allow


class OperatorConnection(asyncio.Protocol):
    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.size = self.head = self.body = 0
        self.headed = self.answered = False
        self.timer: Timer | None = None

    # --- from the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Danger: callers that say nothing, or half a call, must neither pile up nor stay."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.operations.wheel.at(self.operations.now() + PATIENCE, self._out_of_time)
        self.operations.came(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # read on, so that no reset destroys the answer on its way
        try:
            self.size += len(data)
            self.parser.feed_data(data)
            # danger: one header without end tells nothing
            self._check_head(0 if self.headed else self.size)
        except httptools.HttpParserUpgrade:
            pass  # the call is whole; nothing else is spoken here
        except Answer as answer:
            self._write(answer.status, str(answer), allow=answer.allow)
        except httptools.HttpParserError as error:
            # The parser wraps what our own callbacks raise.
            cause = error.__context__
            if isinstance(cause, Answer):
                self._write(cause.status, str(cause), allow=cause.allow)
            else:
                self._write(400, "this is no call in HTTP/1.1")
        except Exception as error:  # no input may raise out of a callback
            self.operations.log("operator", f"{type(error).__name__}: {error}")
            self._write(500, "internal error")

    def eof_received(self) -> bool:
        """A caller may end its side first and still wait for the answer."""
        if not self.answered:
            self._write(400, "the call is not whole")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport, self.answered = None, True
        if self.timer is not None:
            self.timer.cancel()
        self.operations.went(self)

    def _out_of_time(self) -> None:
        if not self.answered and self.size:
            self._write(408, "no whole call in time")
            self.close()
        else:
            self.drop()

    # --- from the parser ---

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head += len(name) + len(value)
        self._check_head(len(self.url) + self.head)

    def _check_head(self, size: int) -> None:
        if size > MOST_HEAD and not self.answered:
            raise Answer(431, "the head is too long")

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        self.body += len(body)
        if self.body > MOST_BODY:
            raise Answer(413, "no call needs such a body")

    def on_message_complete(self) -> None:
        if not self.answered:
            self._call(self.parser.get_method().decode(), self._path())

    def _path(self) -> str:
        try:
            return str(httptools.parse_url(self.url).path, "utf-8")
        except (httptools.HttpParserError, UnicodeDecodeError, TypeError):
            raise Answer(400, "the path cannot be read") from None

    def _call(self, method: str, path: str) -> None:
        if (other := self.operations.other(method, path)) is not None:
            return self._write(*other)
        engine = path.startswith((DISABLE, ENABLE))
        if not engine and path not in ("/ready", "/metrics"):
            raise Answer(404, "no such call")
        if method != (wanted := "POST" if engine else "GET"):
            raise Answer(405, f"this call is a {wanted}", allow=wanted)
        if path == "/metrics":
            self._write(200, self.operations.metrics(), METRICS)
        elif not self.operations.ready() and not engine:
            raise Answer(503, "not ready")
        elif not engine:
            self._write(200, "ready")
        else:
            try:
                uid = unquote_to_bytes(path[path.index("/", 14) + 1 :]).decode()
            except UnicodeDecodeError:
                raise Answer(400, "the id is no text") from None
            if not self.operations.set_engine(uid, out=path.startswith(DISABLE)):
                raise Answer(404, "no data engine has this id")
            self._write(200, "done")

    # --- to the caller ---

    def _write(self, status: int, text: str | bytes, kind: str = TEXT, allow: str = "") -> None:
        """One whole answer. Only our side is ended: to close over unread bytes would destroy it."""
        if self.transport is None or self.answered:
            return
        self.answered = True
        body = text if isinstance(text, bytes) else f"{text}\n".encode()
        head = [
            f"HTTP/1.1 {status} {REASONS[status]}",
            f"Content-Type: {kind}",
            f"Content-Length: {len(body)}",
            "Connection: close",
            *([f"Allow: {allow}"] if allow else []),
        ]
        self.transport.write("\r\n".join([*head, "", ""]).encode() + body)
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()
