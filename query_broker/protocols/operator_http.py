"""A connection of the operators' HTTP, with one call on it."""

from __future__ import annotations

import asyncio
import traceback
from typing import Protocol, cast

import httptools

from ..timer_wheel import Timer, TimerWheel
from .operator_answers import HttpAnswer, OperatorCallError, encode_answer, text_answer
from .operator_calls import OperatorActions, answer_call

# Size of the request line and the headers together.
MAX_HEAD_BYTES = 8_192
# Size of a body; no call needs any.
MAX_BODY_BYTES = 16_384
# From connecting to the end of the connection, answered or not: few descriptors are reserved for
# operators' calls.
CALL_TIMEOUT_NS = 800_000_000


class Operations(OperatorActions, Protocol):
    """What a connection needs of the side that has opened the address."""

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

    Nothing raises out of a callback.

    Attributes:
        url: The request's target as far as it has come.
        received_bytes: All bytes that have come.
        header_bytes: Size of the complete headers.
        body_bytes: Size of the body as far as it has come.
        headers_complete: Whether only a body may follow.
        answered: Whether the answer has been written; what comes later is read and dropped.
        timer: Ends the connection.
    """

    def __init__(self, operations: Operations) -> None:
        """Make the protocol of a connection that is being accepted."""
        self.operations = operations
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.received_bytes = 0
        self.header_bytes = 0
        self.body_bytes = 0
        self.headers_complete = False
        self.answered = False
        self.timer: Timer | None = None

    # --- from the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the connection.

        Callers that send nothing, or an incomplete call, must not hold descriptors.
        """
        self.transport = cast(asyncio.Transport, transport)
        due_ns = self.operations.now() + CALL_TIMEOUT_NS
        self.timer = self.operations.timer_wheel.set_timer(due_ns, self._out_of_time)
        self.operations.admit(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser, and answer a call that cannot be read."""
        if self.answered:
            return  # read on, so that no reset destroys the answer on its way
        try:
            self.received_bytes += len(data)
            self.parser.feed_data(data)
            # The parser reports complete headers only: an endless one would not be counted.
            self._check_head(0 if self.headers_complete else self.received_bytes)
        except httptools.HttpParserUpgrade:
            pass  # the call is complete; nothing else is spoken here
        except OperatorCallError as error:
            self._write(error.answer())
        except httptools.HttpParserCallbackError as error:
            # The parser wraps what our own callbacks raise.
            self._answer_callback_error(error.__context__)
        except httptools.HttpParserError:
            self._write(text_answer(400, "this is no call in HTTP/1.1"))
        except Exception as error:  # no input may raise out of a callback
            self._answer_callback_error(error)

    def _answer_callback_error(self, error: BaseException | None) -> None:
        """Answer a call that cannot be carried out, or one in which the program has a fault.

        A fault is not the caller's: answered with 400 and not logged, it would be looked for at the
        caller.
        """
        if isinstance(error, OperatorCallError):
            self._write(error.answer())
            return
        self.operations.log("fault", "".join(traceback.format_exception(error)))
        self._write(text_answer(500, "internal error"))

    def eof_received(self) -> bool:
        """Answer an incomplete call; a caller may end its side and still get the answer."""
        if not self.answered:
            self._write(text_answer(400, "the call is not whole"))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection's timer and its place among the operators' connections."""
        self.transport = None
        self.answered = True
        if self.timer is not None:
            self.timer.cancel()
        self.operations.release(self)

    def _out_of_time(self) -> None:
        if not self.answered and self.received_bytes:
            self._write(text_answer(408, "no whole call in time"))
            self.close()
        else:
            self.drop()

    # --- from the parser ---

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header against the bound."""
        self.header_bytes += len(name) + len(value)
        self._check_head(len(self.url) + self.header_bytes)

    def _check_head(self, size_bytes: int) -> None:
        if size_bytes > MAX_HEAD_BYTES and not self.answered:
            text = "the head is too long"
            raise OperatorCallError(431, text)

    def on_headers_complete(self) -> None:
        """Record that only a body may follow."""
        self.headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Count a part of the body against the bound."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            text = "no call needs such a body"
            raise OperatorCallError(413, text)

    def on_message_complete(self) -> None:
        """Carry out the call."""
        if not self.answered:
            method = self.parser.get_method().decode()
            self._write(answer_call(self.operations, method, self._path()))

    def _path(self) -> str:
        try:
            return str(httptools.parse_url(self.url).path, "utf-8")
        except (httptools.HttpParserError, UnicodeDecodeError, TypeError):
            text = "the path cannot be read"
            raise OperatorCallError(400, text) from None

    # --- to the caller ---

    def _write(self, answer: HttpAnswer) -> None:
        """Write one complete answer; only the first one is written.

        Only our side is ended: to close a socket with bytes unread would destroy the answer.
        """
        if self.transport is None or self.answered:
            return
        self.answered = True
        self.transport.write(encode_answer(answer))
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """End the connection after what has been written."""
        if self.transport is not None:
            self.transport.close()

    def drop(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()
