"""The log: plain text lines on standard error, with a rate limit for each kind of line."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from typing import Protocol

# Length of the window within which the lines of each kind are counted.
RATE_LIMIT_WINDOW_S = 10.0
# Lines of one kind that are written in one window; the number of suppressed ones is logged after
# the window.
MAX_LINES_PER_KIND = 20


class LogWriter(Protocol):
    """Writes lines to the log."""

    def __call__(self, kind: str, text: str, /) -> None:
        """Write one line; ``kind`` names the part of the program that the line concerns."""


class Log:
    """Writes at most `MAX_LINES_PER_KIND` lines of each kind in a window of `RATE_LIMIT_WINDOW_S`.

    A fault that occurs with every request must neither slow the broker down nor fill a disk.

    Attributes:
        sink: Receives the lines instead of standard error, if set.
    """

    def __init__(self, name: str) -> None:
        """Create a log whose lines carry the name of this broker."""
        self.name = name
        self.sink: LogWriter | None = None
        self._window_end_s = 0.0
        self._counts: dict[str, int] = {}

    def __call__(self, kind: str, text: str) -> None:
        """Write a line, unless the limit for its kind is reached in this window."""
        if self.allowed(kind):
            self._write_line(kind, text)

    def allowed(self, kind: str) -> bool:
        """Count one more line of this kind; return whether the line may be written."""
        now_s = time.monotonic()
        if now_s >= self._window_end_s:
            self._write_suppressed_counts()
            self._counts.clear()
            self._window_end_s = now_s + RATE_LIMIT_WINDOW_S
        self._counts[kind] = self._counts.get(kind, 0) + 1
        return self._counts[kind] <= MAX_LINES_PER_KIND

    def _write_suppressed_counts(self) -> None:
        for kind, count in self._counts.items():
            if count > MAX_LINES_PER_KIND:
                self._write_line(
                    kind,
                    f"{count - MAX_LINES_PER_KIND} more lines in "
                    f"{RATE_LIMIT_WINDOW_S:.0f} s were suppressed",
                )

    def _write_line(self, kind: str, text: str) -> None:
        # The broker keeps serving when the log cannot be written.
        with suppress(OSError):
            if self.sink is not None:
                self.sink(kind, text)
                return
            print(f"{time.time():.3f} {self.name} {kind}: {text}", file=sys.stderr, flush=True)
