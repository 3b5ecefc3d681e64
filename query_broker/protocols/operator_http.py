"""A connection of the admin API over HTTP, which carries one call."""

from __future__ import annotations

import asyncio
import traceback
from typing import Protocol, cast

import httptools

from ..overriding import override
from ..timer_wheel import Timer, TimerWheel
from .operator_answers import HttpAnswer, OperatorCallError, encode_answer, text_answer
from .operator_calls import OperatorActions, answer_call

# Limit of the request line and the headers together.
MAX_HEAD_BYTES = 8_192
# Limit of the body; no call needs one.
MAX_BODY_BYTES = 16_384
# From the start of the connection to its end, answered or not: only a few descriptors are reserved
# for the admin API.
CALL_TIMEOUT_NS = 800_000_000


class OperatorHost(OperatorActions, Protocol):
    """The host that has opened the address of the admin API."""

    timer_wheel: TimerWheel

    def now(self) -> int:
        """Return the time in ns."""

    def admit(self, caller: OperatorConnection) -> None:
        """Register a new connection."""

    def release(self, caller: OperatorConnection) -> None:
        """Remove a connection that has ended."""

    def log(self, kind: str, text: str) -> None:
        """Write a log line."""


class OperatorConnection(asyncio.Protocol):
    """One connection: reads one call, answers it, and ends.

    No callback raises an exception.

    Attributes:
        url: The received part of the request target.
        received_bytes: Number of all received bytes.
        header_bytes: Size of the complete headers.
        body_bytes: Size of the received part of the body.
        headers_complete: Whether only a body may follow.
        answered: Whether the answer has been written; later input is read and dropped.
        timer: Ends the connection after `CALL_TIMEOUT_NS`.
    """

    def __init__(self, host: OperatorHost) -> None:
        """Create the protocol object of a connection that is being accepted."""
        self.host = host
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.received_bytes = 0
        self.header_bytes = 0
        self.body_bytes = 0
        self.headers_complete = False
        self.answered = False
        self.timer: Timer | None = None

    # Called by the transport.

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the connection.

        Callers that send nothing, or an incomplete call, must not hold descriptors.
        """
        self.transport = cast(asyncio.Transport, transport)
        due_ns = self.host.now() + CALL_TIMEOUT_NS
        self.timer = self.host.timer_wheel.set_timer(due_ns, self._on_timeout)
        self.host.admit(self)

    @override
    def data_received(self, data: bytes) -> None:
        """Feed the parser, and answer a call that cannot be read."""
        if self.answered:
            return  # the input is still read: a reset could destroy the answer in transit
        try:
            self.received_bytes += len(data)
            self.parser.feed_data(data)
            # The parser reports only complete headers, so an endless header would not be counted.
            self._check_head(0 if self.headers_complete else self.received_bytes)
        except httptools.HttpParserUpgrade:
            pass  # the call is complete; upgrades to another protocol are not supported
        except OperatorCallError as error:
            self._write(error.answer())
        except httptools.HttpParserCallbackError as error:
            # The parser wraps the exceptions of the callbacks in this class.
            self._answer_callback_error(error.__context__)
        except httptools.HttpParserError:
            self._write(text_answer(400, "this is no call in HTTP/1.1"))
        except Exception as error:  # no input may raise out of a callback
            self._answer_callback_error(error)

    def _answer_callback_error(self, error: BaseException | None) -> None:
        """Answer a call that cannot be carried out, or whose handling raised an unexpected error.

        An unexpected error is logged and answered with 500: with 400, its cause would be sought in
        the call.
        """
        if isinstance(error, OperatorCallError):
            self._write(error.answer())
            return
        self.host.log("fault", "".join(traceback.format_exception(error)))
        self._write(text_answer(500, "internal error"))

    @override
    def eof_received(self) -> bool:
        """Answer an incomplete call; a caller that half-closes still gets its answer."""
        if not self.answered:
            self._write(text_answer(400, "the call is not whole"))
        return False

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer, and release the connection's slot at the host."""
        self.transport = None
        self.answered = True
        if self.timer is not None:
            self.timer.cancel()
        self.host.release(self)

    def _on_timeout(self) -> None:
        if not self.answered and self.received_bytes:
            self._write(text_answer(408, "no whole call in time"))
            self.close()
        else:
            self.drop()

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header against `MAX_HEAD_BYTES`."""
        self.header_bytes += len(name) + len(value)
        self._check_head(len(self.url) + self.header_bytes)

    def _check_head(self, size_bytes: int) -> None:
        if size_bytes > MAX_HEAD_BYTES and not self.answered:
            text = "the head is too long"
            raise OperatorCallError(431, text)

    def on_headers_complete(self) -> None:
        """Record that the headers are complete, so that only a body may follow."""
        self.headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Count a part of the body against `MAX_BODY_BYTES`."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            text = "no call needs such a body"
            raise OperatorCallError(413, text)

    def on_message_complete(self) -> None:
        """Carry out the call."""
        if not self.answered:
            method = self.parser.get_method().decode()
            self._write(answer_call(self.host, method, self._path()))

    def _path(self) -> str:
        try:
            return str(httptools.parse_url(self.url).path, "utf-8")
        except (httptools.HttpParserError, UnicodeDecodeError, TypeError):
            text = "the path cannot be read"
            raise OperatorCallError(400, text) from None

    def _write(self, answer: HttpAnswer) -> None:
        """Write one complete answer, unless one has been written.

        The connection is only half-closed: closing a socket with unread bytes resets the
        connection, and the caller could lose the answer.
        """
        if self.transport is None or self.answered:
            return
        self.answered = True
        self.transport.write(encode_answer(answer))
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """End the connection after the written data has been sent."""
        if self.transport is not None:
            self.transport.close()

    def drop(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()
