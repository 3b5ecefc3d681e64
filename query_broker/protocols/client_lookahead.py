"""Cancellations that lie behind frames which wait for their turn. Performs no I/O.

A client that stops waiting says so behind all that it requested before. While that waits for its
turn, or for answers to be read, attempts would begin for nobody.
"""

from __future__ import annotations

from . import client_frames as frames
from .client_requests import MOST_OPEN, OpenRequests

# Frames that are looked at in one turn.
MOST_SKIMMED = 2_048
# Requests whose cancellation is known before they are taken.
MOST_AHEAD = 4 * MOST_OPEN


class CancellationLookahead:
    """Searches the frames that wait in a parser for cancellations.

    ``waiting`` has the streams of requests that wait there, ``cancelled`` those of them that nobody
    waits for any more.
    """

    def __init__(self, parser: frames.FrameParser, requests: OpenRequests) -> None:
        """Take where frames wait, and the requests that have been taken already."""
        self.parser = parser
        self.requests = requests
        self.waiting: set[int] = set()
        self.cancelled: set[int] = set()

    def scan(self) -> None:
        """Look at frames that have not been looked at before."""
        for head in self.parser.skim(MOST_SKIMMED):
            if head.type == frames.REQUEST:
                if len(self.waiting) < MOST_AHEAD:
                    self.waiting.add(head.stream)
            elif head.type == frames.ABANDON:
                self._cancel(head.stream)

    def _cancel(self, stream: int) -> None:
        if stream in self.requests.open:
            self.requests.cancel(stream)
        elif stream in self.waiting:
            self.cancelled.add(stream)

    def clear(self) -> None:
        """Forget the streams: no frame waits any more."""
        self.waiting.clear()
        self.cancelled.clear()
