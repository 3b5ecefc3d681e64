"""The log: plain lines on standard error, rate-limited by kind."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

SPAN = 10.0
MOST = 20  # lines of one kind within a span


class Log:
    """Danger: a fault that comes with every request must not turn the log into load or fill a
    disk.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.span_end = 0.0
        self.counts: dict[str, int] = {}
        self.sink: Callable[[str, str], None] | None = None  # in place of plain lines

    def __call__(self, kind: str, text: str) -> None:
        if self.allowed(kind):
            self._print(kind, text)

    def allowed(self, kind: str) -> bool:
        """One more line of this kind; it is counted."""
        now = time.monotonic()
        if now >= self.span_end:
            for muted, count in self.counts.items():
                if count > MOST:
                    self._print(muted, f"{count - MOST} more lines in {SPAN:.0f} s were left out")
            self.counts.clear()
            self.span_end = now + SPAN
        self.counts[kind] = self.counts.get(kind, 0) + 1
        return self.counts[kind] <= MOST

    def _print(self, kind: str, text: str) -> None:
        try:
            if self.sink is not None:
                return self.sink(kind, text)
            print(f"{time.time():.3f} {self.name} {kind}: {text}", file=sys.stderr, flush=True)
        except OSError:
            pass  # nobody reads the log; that is no reason to stop serving
