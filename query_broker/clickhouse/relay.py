"""One result on its way through: what may still be repeated, what is held, when the engine has to
wait. Pure.

Nothing is kept whole: what comes is handed on as it comes, up to marks on what the client has not
read yet. Until the first byte of a result has gone to the client another attempt can take this
one's place; after it a fault ends the response so that the client can tell, and is never repeated.
`wait_end_of_query` holds a result back, up to a bound: past it, it is told and flows.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MARK = b"__exception__"  # in a body: the engine itself says that the result broke
HIGH, LOW = 262_144, 65_536  # bytes that the client has not read
MOST_HELD = 1 << 20  # bytes held back under wait_end_of_query
TAIL = 16_384  # bytes at a body's end in which the mark may stand


class State(Enum):
    WAITING = "waiting"  # no answer yet
    HOLDING = "holding"  # it comes, and is held back
    FLOWING = "flowing"  # a byte has gone to the client
    DONE = "done"
    BROKEN = "broken"  # the client has been shown that it is not whole


class Act(Enum):
    HEAD = "head"  # send the status line and the headers
    BODY = "body"  # send these bytes as one chunk
    END = "end"  # send the last chunk
    TEAR = "tear"  # close without the last chunk: the client can tell
    PAUSE = "pause"  # read no more from the engine
    RESUME = "resume"
    ERROR = "error"  # nothing has gone out: a proper error instead


class Fate(Enum):
    """What a fault of the attempt means for the request."""

    AGAIN = "again"  # another attempt may take its place, if its class allows
    FAILED = "failed"  # the client has been shown, or is shown now
    OVER = "over"  # it was over already


@dataclass(frozen=True, slots=True)
class Head:
    status: int
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Relay:
    """``acts`` are to be carried out in order, and taken out by `take`."""

    wait_end: bool = False
    most_held: int = MOST_HELD
    state: State = State.WAITING
    head: Head | None = None
    held: deque[bytes] = field(default_factory=deque)
    held_bytes: int = 0
    unread: int = 0  # handed to the client's side, and not gone
    paused: bool = False
    passed: int = 0
    overflowed: bool = False  # it was to be held to its end, and was too large
    tail: bytes = b""
    acts: list[tuple[Act, bytes]] = field(default_factory=list)

    def take(self) -> list[tuple[Act, bytes]]:
        acts, self.acts = self.acts, []
        return acts

    # --- from the engine ---

    def begin(self, head: Head) -> None:
        """Its status and headers are here. Danger: an error's head is no result: it may still be
        repeated.
        """
        if self.state is State.WAITING:
            self.head, self.state = head, State.HOLDING

    def data(self, piece: bytes) -> None:
        if self.state is State.HOLDING:
            self.held.append(piece)
            self.held_bytes += len(piece)
            if not self.wait_end and self.head is not None and self.head.status < 400:
                self._flow()
            elif self.held_bytes > self.most_held:
                self.overflowed = True
                self._flow()
        elif self.state is State.FLOWING:
            self._pass(piece)

    def end(self) -> bool:
        """The engine has told its result to the end. False: it says itself that it broke."""
        if self.state not in (State.HOLDING, State.FLOWING):
            return self.state is State.DONE
        if self._marked():
            self.fault()
            return False
        if self.state is State.HOLDING:
            self._flow()
        self.state = State.DONE
        self.acts.append((Act.END, b""))
        return True

    def fault(self) -> Fate:
        """The attempt has come to nothing: reset, timed out, closed midway, or broken by its own
        word.
        """
        if self.state in (State.WAITING, State.HOLDING):
            self.again()
            return Fate.AGAIN
        if self.state is State.FLOWING:
            self.state = State.BROKEN
            self.acts.append((Act.TEAR, b""))
            return Fate.FAILED
        return Fate.OVER

    def again(self) -> None:
        """Another attempt takes the place of this one: nothing of it was shown."""
        assert self.state in (State.WAITING, State.HOLDING), "a byte has gone to the client"
        self.state, self.head = State.WAITING, None
        self.held.clear()
        self.held_bytes, self.tail = 0, b""
        self._resume()

    def give_up(self) -> Fate:
        """No further attempt: an error where nothing has gone out, else a torn end."""
        if self.state in (State.WAITING, State.HOLDING):
            self.again()
            self.state = State.BROKEN
            self.acts.append((Act.ERROR, b""))
            return Fate.FAILED
        return self.fault()

    # --- from the client ---

    def gone(self, size: int) -> None:
        """So many bytes have left for the client."""
        self.unread = max(0, self.unread - size)
        if self.unread <= LOW:
            self._resume()

    def left(self) -> None:
        """The client has gone: nothing more is sent, whatever comes."""
        self.state = State.BROKEN if self.state is not State.DONE else State.DONE
        self.held.clear()
        self.held_bytes = 0
        self.acts = [(act, data) for act, data in self.acts if act in (Act.PAUSE, Act.RESUME)]
        self._resume()

    # --- within ---

    def _flow(self) -> None:
        self.state = State.FLOWING
        self.acts.append((Act.HEAD, b""))
        while self.held:
            self._pass(self.held.popleft())
        self.held_bytes = 0

    def _pass(self, piece: bytes) -> None:
        if not piece:
            return
        self.tail = (self.tail + piece)[-TAIL:] if len(piece) < TAIL else piece[-TAIL:]
        self.passed += len(piece)
        self.unread += len(piece)
        self.acts.append((Act.BODY, piece))
        if self.unread > HIGH and not self.paused:
            self.paused = True
            self.acts.append((Act.PAUSE, b""))

    def _resume(self) -> None:
        if self.paused:
            self.paused = False
            self.acts.append((Act.RESUME, b""))

    def _marked(self) -> bool:
        """Danger: a result may hold the word anywhere; only near its end, on a line of its own, it
        tells.
        """
        tail = self.tail + b"".join(self.held)
        return any(line.strip() == MARK for line in tail[-TAIL:].splitlines())
