"""One result on its way to the client: whether it may be retried, and when the engine must pause.

Performs no I/O. A result is streamed: each piece is passed on as it comes, and the engine is paused
while the client has too much left to read. Until the first byte of a result has gone to the client
another attempt can replace this one; after it a fault ends the response so that the client can
tell, and is never retried. `wait_end_of_query` buffers a result up to a bound, past which it is
streamed as well.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

#: A line with which the engine itself says at the end of a body that the result is incomplete.
EXCEPTION_MARKER = b"__exception__"
#: With more unread bytes than this at the client the engine is paused.
PAUSE_ABOVE_BYTES = 262_144
#: With no more unread bytes than this it is resumed.
RESUME_AT_BYTES = 65_536
#: How much is buffered under `wait_end_of_query`.
MAX_BUFFERED_BYTES = 1 << 20
#: The part of a body's end in which the marker may stand.
TAIL_BYTES = 16_384
#: From this HTTP status on an answer is an error and no result.
FIRST_ERROR_STATUS = 400


class RelayState(Enum):
    """How far a result has come."""

    WAITING = "waiting"  # no answer yet
    BUFFERING = "buffering"  # it arrives, and nothing has been passed on
    STREAMING = "streaming"  # a byte has gone to the client
    DONE = "done"
    BROKEN = "broken"  # the client can tell that the result is incomplete


class RelayAction(Enum):
    """What the caller has to do."""

    SEND_HEAD = "send head"  # the status line and the headers
    SEND_BODY = "send body"  # the bytes of the step, as one chunk
    SEND_END = "send end"  # the last chunk
    ABORT = "abort"  # close without the last chunk, by which the client can tell
    PAUSE = "pause"  # read no more from the engine
    RESUME = "resume"
    SEND_ERROR = "send error"  # nothing has been sent: an error in place of a result


class RelayStep(NamedTuple):
    """One action for the caller.

    Attributes:
        action: What is to be done.
        data: The bytes to send; empty for all actions but `SEND_BODY`.
    """

    action: RelayAction
    data: bytes


class FaultOutcome(Enum):
    """What a fault of the attempt means for the request."""

    RETRY = "retry"  # another attempt may replace it, if the request class allows that
    FAILED = "failed"  # the client can tell, or will from the next steps
    ALREADY_ENDED = "already ended"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and the headers of an engine's answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Relay:
    """One result on its way.

    Attributes:
        wait_for_end: Whether the client has asked for the result in one piece.
        max_buffered_bytes: How much of it is buffered before it is streamed all the same.
        state: How far the result has come.
        head: The head of the engine's answer; None before it.
        buffered: The pieces of the body that have not been passed on.
        buffered_bytes: Their size.
        unread_bytes: What was passed on and has not left for the client.
        paused: Whether the engine is paused.
        passed_bytes: What was passed on altogether.
        overflowed: Whether the result was too large to be buffered to its end.
        tail: The last bytes that were passed on.
        steps: What the caller has to do, in order; `take_steps` takes it out.
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
        """Return what the caller has to do now, and forget it."""
        steps = self.steps
        self.steps = []
        return steps

    # --- from the engine ---

    def head_received(self, head: ResponseHead) -> None:
        """Take the status and the headers; those of an error are no result and may be retried."""
        if self.state is RelayState.WAITING:
            self.head = head
            self.state = RelayState.BUFFERING

    def body_received(self, piece: bytes) -> None:
        """Take bytes of the body."""
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
        """Take the end of the body; return False where the result is not complete."""
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
        """Note that the attempt has failed and return what that means for the request.

        It was reset, timed out, was closed midway, or says itself that it is incomplete.
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
        """Wait for another attempt; the client must not have got a byte of this one."""
        can_restart = self.state in (RelayState.WAITING, RelayState.BUFFERING)
        assert can_restart, "a byte has gone to the client"
        self.state = RelayState.WAITING
        self.head = None
        self._drop_buffered()
        self.tail = b""
        self._resume_engine()

    def give_up(self) -> FaultOutcome:
        """End without another attempt: by an error if nothing was sent, else by an abort."""
        if self.state in (RelayState.WAITING, RelayState.BUFFERING):
            self.restart()
            self.state = RelayState.BROKEN
            self._add_step(RelayAction.SEND_ERROR)
            return FaultOutcome.FAILED
        return self.attempt_failed()

    # --- from the client ---

    def bytes_written(self, size_bytes: int) -> None:
        """Note that so many bytes have left for the client."""
        self.unread_bytes = max(0, self.unread_bytes - size_bytes)
        if self.unread_bytes <= RESUME_AT_BYTES:
            self._resume_engine()

    def client_left(self) -> None:
        """Note that the client has left: nothing more is sent, whatever comes."""
        if self.state is not RelayState.DONE:
            self.state = RelayState.BROKEN
        self._drop_buffered()
        for_engine = (RelayAction.PAUSE, RelayAction.RESUME)
        self.steps = [step for step in self.steps if step.action in for_engine]
        self._resume_engine()

    # --- internal ---

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
        """Return whether the marker stands near the end, on a line of its own.

        A result may contain its text anywhere else.
        """
        tail = self.tail + b"".join(self.buffered)
        return any(line.strip() == EXCEPTION_MARKER for line in tail[-TAIL_BYTES:].splitlines())
