"""One result on its way to the client: what may still be retried, and when the engine must wait.

Performs no I/O. Nothing is kept complete: what comes is handed on as it comes, up to marks on what
the client has not read yet. Until the first byte of a result has gone to the client another attempt
can take this one's place; after it a fault ends the response so that the client can tell, and is
never retried. `wait_end_of_query` buffers a result up to a bound; past it, it flows.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MARK = b"__exception__"  # in a body: the engine itself says that the result broke
HIGH = 262_144  # bytes that the client has not read, at which the engine is paused
LOW = 65_536  # the same, at which it is resumed
MOST_BUFFERED = 1 << 20  # bytes buffered under wait_end_of_query
TAIL = 16_384  # bytes at a body's end in which the mark may stand


class RelayState(Enum):
    """How far a result has come."""

    WAITING = "waiting"  # no answer yet
    HOLDING = "holding"  # it comes, and is held back
    FLOWING = "flowing"  # a byte has gone to the client
    DONE = "done"
    BROKEN = "broken"  # the client has been shown that it is not whole


class RelayAction(Enum):
    """What the caller is to do."""

    HEAD = "head"  # send the status line and the headers
    BODY = "body"  # send these bytes as one chunk
    END = "end"  # send the last chunk
    TEAR = "tear"  # close without the last chunk: the client can tell
    PAUSE = "pause"  # read no more from the engine
    RESUME = "resume"
    ERROR = "error"  # nothing has gone out: a proper error instead


class FaultOutcome(Enum):
    """What a fault of the attempt means for the request."""

    AGAIN = "again"  # another attempt may take its place, if its class allows
    FAILED = "failed"  # the client has been shown, or is shown now
    OVER = "over"  # it was over already


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and the headers of an engine's answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Relay:
    """One result on its way; ``acts`` are to be carried out in order, and taken out by `take`."""

    wait_end: bool = False
    most_buffered: int = MOST_BUFFERED
    state: RelayState = RelayState.WAITING
    head: ResponseHead | None = None
    buffered: deque[bytes] = field(default_factory=deque)
    buffered_bytes: int = 0
    unread: int = 0  # handed to the client's side, and not gone
    paused: bool = False
    passed: int = 0
    overflowed: bool = False  # it was to be held to its end, and was too large
    tail: bytes = b""
    acts: list[tuple[RelayAction, bytes]] = field(default_factory=list)

    def take(self) -> list[tuple[RelayAction, bytes]]:
        """Return what is to be done, and forget it."""
        acts = self.acts
        self.acts = []
        return acts

    # --- from the engine ---

    def begin(self, head: ResponseHead) -> None:
        """Take the status and the headers; those of an error are no result and may be retried."""
        if self.state is RelayState.WAITING:
            self.head = head
            self.state = RelayState.HOLDING

    def data(self, piece: bytes) -> None:
        """Take bytes of the body."""
        if self.state is RelayState.HOLDING:
            self.buffered.append(piece)
            self.buffered_bytes += len(piece)
            if not self.wait_end and self.head is not None and self.head.status < 400:
                self._flow()
            elif self.buffered_bytes > self.most_buffered:
                self.overflowed = True
                self._flow()
        elif self.state is RelayState.FLOWING:
            self._pass(piece)

    def end(self) -> bool:
        """Take the end of the body; return False where the engine itself says that it broke."""
        if self.state not in (RelayState.HOLDING, RelayState.FLOWING):
            return self.state is RelayState.DONE
        if self._marked():
            self.fault()
            return False
        if self.state is RelayState.HOLDING:
            self._flow()
        self.state = RelayState.DONE
        self.acts.append((RelayAction.END, b""))
        return True

    def fault(self) -> FaultOutcome:
        """Take note that the attempt has failed, and return what that means for the request.

        It was reset, timed out, closed midway, or says itself that it broke.
        """
        if self.state in (RelayState.WAITING, RelayState.HOLDING):
            self.again()
            return FaultOutcome.AGAIN
        if self.state is RelayState.FLOWING:
            self.state = RelayState.BROKEN
            self.acts.append((RelayAction.TEAR, b""))
            return FaultOutcome.FAILED
        return FaultOutcome.OVER

    def again(self) -> None:
        """Begin anew for another attempt; nothing of this one was shown."""
        assert self.state in (
            RelayState.WAITING,
            RelayState.HOLDING,
        ), "a byte has gone to the client"
        self.state = RelayState.WAITING
        self.head = None
        self.buffered.clear()
        self.buffered_bytes = 0
        self.tail = b""
        self._resume()

    def give_up(self) -> FaultOutcome:
        """Make no further attempt: an error where nothing has gone out, else a torn end."""
        if self.state in (RelayState.WAITING, RelayState.HOLDING):
            self.again()
            self.state = RelayState.BROKEN
            self.acts.append((RelayAction.ERROR, b""))
            return FaultOutcome.FAILED
        return self.fault()

    # --- from the client ---

    def bytes_written(self, size: int) -> None:
        """Take note that so many bytes have left for the client."""
        self.unread = max(0, self.unread - size)
        if self.unread <= LOW:
            self._resume()

    def left(self) -> None:
        """Take note that the client has gone: nothing more is sent, whatever comes."""
        self.state = RelayState.BROKEN if self.state is not RelayState.DONE else RelayState.DONE
        self.buffered.clear()
        self.buffered_bytes = 0
        self.acts = [
            (act, data) for act, data in self.acts if act in (RelayAction.PAUSE, RelayAction.RESUME)
        ]
        self._resume()

    # --- within ---

    def _flow(self) -> None:
        self.state = RelayState.FLOWING
        self.acts.append((RelayAction.HEAD, b""))
        while self.buffered:
            self._pass(self.buffered.popleft())
        self.buffered_bytes = 0

    def _pass(self, piece: bytes) -> None:
        if not piece:
            return
        self.tail = (self.tail + piece)[-TAIL:] if len(piece) < TAIL else piece[-TAIL:]
        self.passed += len(piece)
        self.unread += len(piece)
        self.acts.append((RelayAction.BODY, piece))
        if self.unread > HIGH and not self.paused:
            self.paused = True
            self.acts.append((RelayAction.PAUSE, b""))

    def _resume(self) -> None:
        if self.paused:
            self.paused = False
            self.acts.append((RelayAction.RESUME, b""))

    def _marked(self) -> bool:
        """Whether the engine's mark stands near the end, on a line of its own.

        A result may contain the word anywhere else.
        """
        tail = self.tail + b"".join(self.buffered)
        return any(line.strip() == MARK for line in tail[-TAIL:].splitlines())
