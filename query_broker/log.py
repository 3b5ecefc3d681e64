"""The log: plain lines on standard error, limited by kind."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from typing import Protocol

# Time over which the lines of a kind are counted.
SPAN_S = 10.0
# Lines of one kind that are written within a span; the number of the others is logged after it.
MAX_LINES_PER_KIND = 20


class LogWriter(Protocol):
    """Writes lines to the log."""

    def __call__(self, kind: str, text: str, /) -> None:
        """Write one line under a kind, the part of the program that it is about."""


class Log:
    """Writes lines, at most so many of each kind within a span of time.

    A fault that occurs with every request must neither slow the broker down nor fill a disk.

    Attributes:
        sink: Takes the lines in place of standard error, where set.
    """

    def __init__(self, name: str) -> None:
        """Write lines under the name of this broker."""
        self.name = name
        self.sink: LogWriter | None = None
        self._span_end_s = 0.0
        self._counts: dict[str, int] = {}

    def __call__(self, kind: str, text: str) -> None:
        """Write a line, unless too many of its kind were written in this span."""
        if self.allowed(kind):
            self._print(kind, text)

    def allowed(self, kind: str) -> bool:
        """Count one more line of this kind; return whether it may be written."""
        now_s = time.monotonic()
        if now_s >= self._span_end_s:
            self._print_omitted()
            self._counts.clear()
            self._span_end_s = now_s + SPAN_S
        self._counts[kind] = self._counts.get(kind, 0) + 1
        return self._counts[kind] <= MAX_LINES_PER_KIND

    def _print_omitted(self) -> None:
        for kind, count in self._counts.items():
            if count > MAX_LINES_PER_KIND:
                self._print(
                    kind, f"{count - MAX_LINES_PER_KIND} more lines in {SPAN_S:.0f} s were left out"
                )

    def _print(self, kind: str, text: str) -> None:
        # A log that cannot be written is no reason to stop serving.
        with suppress(OSError):
            if self.sink is not None:
                self.sink(kind, text)
                return
            print(f"{time.time():.3f} {self.name} {kind}: {text}", file=sys.stderr, flush=True)
