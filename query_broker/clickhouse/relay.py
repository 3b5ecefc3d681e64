"""Relays a result from an engine to the client, with backpressure, and decides on retries.

Performs no I/O. A result is streamed: each piece is forwarded when it arrives, and reading from the
engine is paused while too many bytes have not been sent to the client. Until the first byte of the
result is sent, another attempt can replace this one. After that a fault is never retried: it aborts
the response, so that the client can detect the incomplete result. With `wait_end_of_query` a result
is buffered up to a limit, beyond which it is streamed as well.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

#: The line by which an engine marks, at the end of a body, that the result is incomplete.
EXCEPTION_MARKER = b"__exception__"
#: The engine is paused when more bytes than this have not been sent to the client.
PAUSE_ABOVE_BYTES = 262_144
#: The engine is resumed when at most this many bytes have not been sent to the client.
RESUME_AT_BYTES = 65_536
#: The default limit on the bytes buffered under `wait_end_of_query`.
MAX_BUFFERED_BYTES = 1 << 20
#: The marker is searched for in this many bytes at the end of a body.
TAIL_BYTES = 16_384
#: Responses with this HTTP status or a higher one are errors.
FIRST_ERROR_STATUS = 400


class RelayState(Enum):
    """The progress of a result."""

    WAITING = "waiting"  # no response of the engine yet
    BUFFERING = "buffering"  # the response arrives, and nothing has been forwarded
    STREAMING = "streaming"  # the response is being forwarded to the client
    DONE = "done"
    BROKEN = "broken"  # ended without a complete result


class RelayAction(Enum):
    """What the caller must do."""

    SEND_HEAD = "send head"  # the status line and the headers
    SEND_BODY = "send body"  # the bytes of the step, as one chunk
    SEND_END = "send end"  # the last chunk
    ABORT = "abort"  # close without the last chunk, so that the client detects it
    PAUSE = "pause"  # stop reading from the engine
    RESUME = "resume"
    SEND_ERROR = "send error"  # an error in place of a result, of which nothing was sent


class RelayStep(NamedTuple):
    """One action for the caller.

    Attributes:
        action: What the caller must do.
        data: The bytes to send; empty for all actions but `SEND_BODY`.
    """

    action: RelayAction
    data: bytes


class FaultOutcome(Enum):
    """The consequence of a failed attempt for the request."""

    RETRY = "retry"  # another attempt may follow, if the request class allows it
    FAILED = "failed"  # the next steps show the failure to the client
    ALREADY_ENDED = "already ended"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and the headers of an engine's response."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Relay:
    """The state of one result that is relayed.

    Attributes:
        wait_for_end: Whether the client asked for the complete result to be buffered first.
        max_buffered_bytes: The most bytes to buffer before the result is streamed nevertheless.
        state: The progress of the result.
        head: The head of the engine's response; None before it arrived.
        buffered: The pieces of the body that have not been forwarded.
        buffered_bytes: The size of the buffered pieces.
        unread_bytes: The bytes that were forwarded but not yet sent to the client.
        paused: Whether reading from the engine is paused.
        passed_bytes: The bytes forwarded so far.
        overflowed: Whether the result exceeded `max_buffered_bytes`.
        tail: The last bytes that were forwarded.
        steps: The pending steps for the caller, in order; `take_steps` removes them.
    """

    wait_for_end: bool = False
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    state: RelayState = RelayState.WAITING
    head: ResponseHead | None = None
    buffered: deque[bytes] = field(default_factory=deque)
    buffered_bytes: int = 0
    unread_bytes: int = 0
    paused: bool = False
    passed_bytes: int = 0
    overflowed: bool = False
    tail: bytes = b""
    steps: list[RelayStep] = field(default_factory=list)

    def take_steps(self) -> list[RelayStep]:
        """Remove and return the pending steps for the caller."""
        steps = self.steps
        self.steps = []
        return steps

    def head_received(self, head: ResponseHead) -> None:
        """Handle the head of the engine's response; an error response may still be retried."""
        if self.state is RelayState.WAITING:
            self.head = head
            self.state = RelayState.BUFFERING

    def body_received(self, piece: bytes) -> None:
        """Handle a piece of the body."""
        if self.state is RelayState.STREAMING:
            self._pass_on(piece)
        elif self.state is RelayState.BUFFERING:
            self._buffer(piece)

    def _buffer(self, piece: bytes) -> None:
        self.buffered.append(piece)
        self.buffered_bytes += len(piece)
        is_result = self.head is not None and self.head.status < FIRST_ERROR_STATUS
        if is_result and not self.wait_for_end:
            self._start_streaming()
        elif self.buffered_bytes > self.max_buffered_bytes:
            self.overflowed = True
            self._start_streaming()

    def body_ended(self) -> bool:
        """Handle the end of the body; return whether the result is complete."""
        if self.state not in (RelayState.BUFFERING, RelayState.STREAMING):
            return self.state is RelayState.DONE
        if self._has_exception_marker():
            self.attempt_failed()
            return False
        if self.state is RelayState.BUFFERING:
            self._start_streaming()
        self.state = RelayState.DONE
        self._add_step(RelayAction.SEND_END)
        return True

    def attempt_failed(self) -> FaultOutcome:
        """Handle a failed attempt and return the consequence for the request.

        An attempt fails by a reset, a timeout, a premature end of the connection, or an exception
        marker at the end of its result.
        """
        if self.state in (RelayState.WAITING, RelayState.BUFFERING):
            self.restart()
            return FaultOutcome.RETRY
        if self.state is RelayState.STREAMING:
            self.state = RelayState.BROKEN
            self._add_step(RelayAction.ABORT)
            return FaultOutcome.FAILED
        return FaultOutcome.ALREADY_ENDED

    def restart(self) -> None:
        """Wait for another attempt; nothing of this one may have been sent to the client."""
        can_restart = self.state in (RelayState.WAITING, RelayState.BUFFERING)
        assert can_restart, "a byte was already sent to the client"
        self.state = RelayState.WAITING
        self.head = None
        self._drop_buffered()
        self.tail = b""
        self._resume_engine()

    def give_up(self) -> FaultOutcome:
        """End without another attempt: with an error if nothing was sent, else with an abort."""
        if self.state in (RelayState.WAITING, RelayState.BUFFERING):
            self.restart()
            self.state = RelayState.BROKEN
            self._add_step(RelayAction.SEND_ERROR)
            return FaultOutcome.FAILED
        return self.attempt_failed()

    def bytes_written(self, size_bytes: int) -> None:
        """Handle the sending of this many bytes to the client."""
        self.unread_bytes = max(0, self.unread_bytes - size_bytes)
        if self.unread_bytes <= RESUME_AT_BYTES:
            self._resume_engine()

    def client_left(self) -> None:
        """Handle the disconnection of the client: nothing more is sent to it."""
        if self.state is not RelayState.DONE:
            self.state = RelayState.BROKEN
        self._drop_buffered()
        engine_actions = (RelayAction.PAUSE, RelayAction.RESUME)
        self.steps = [step for step in self.steps if step.action in engine_actions]
        self._resume_engine()

    def _add_step(self, action: RelayAction, data: bytes = b"") -> None:
        self.steps.append(RelayStep(action, data))

    def _drop_buffered(self) -> None:
        self.buffered.clear()
        self.buffered_bytes = 0

    def _start_streaming(self) -> None:
        self.state = RelayState.STREAMING
        self._add_step(RelayAction.SEND_HEAD)
        while self.buffered:
            self._pass_on(self.buffered.popleft())
        self.buffered_bytes = 0

    def _pass_on(self, piece: bytes) -> None:
        if not piece:
            return
        if len(piece) < TAIL_BYTES:
            self.tail = (self.tail + piece)[-TAIL_BYTES:]
        else:
            self.tail = piece[-TAIL_BYTES:]
        self.passed_bytes += len(piece)
        self.unread_bytes += len(piece)
        self._add_step(RelayAction.SEND_BODY, piece)
        if self.unread_bytes > PAUSE_ABOVE_BYTES and not self.paused:
            self.paused = True
            self._add_step(RelayAction.PAUSE)

    def _resume_engine(self) -> None:
        if self.paused:
            self.paused = False
            self._add_step(RelayAction.RESUME)

    def _has_exception_marker(self) -> bool:
        """Return whether a line near the end of the body consists of the exception marker.

        Elsewhere, such as within a row, the text of the marker is part of the result.
        """
        tail = self.tail + b"".join(self.buffered)
        return any(line.strip() == EXCEPTION_MARKER for line in tail[-TAIL_BYTES:].splitlines())
