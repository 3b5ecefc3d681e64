"""Search for cancellations among the frames that wait for their turn. Performs no I/O.

A cancellation arrives after all earlier requests. While these requests wait for their turn, or for
the client to read its answers, attempts would begin for requests that are cancelled already.
"""

from __future__ import annotations

from . import client_frames as frames
from .client_requests import MAX_OPEN_REQUESTS, OpenRequests

# Most frames that one scan examines.
MAX_SKIMMED_FRAMES = 2_048
# Most requests whose cancellation is recognised before they are submitted.
MAX_WAITING_STREAMS = 4 * MAX_OPEN_REQUESTS


class CancellationLookahead:
    """Searches the frames that wait in a parser for cancellations.

    Attributes:
        waiting_streams: Streams of the requests that wait in the parser.
        cancelled_streams: Streams of the waiting requests that the client has cancelled.
    """

    def __init__(self, parser: frames.FrameParser, requests: OpenRequests) -> None:
        """Search the frames in ``parser``; ``requests`` are those already submitted."""
        self.parser = parser
        self.requests = requests
        self.waiting_streams: set[int] = set()
        self.cancelled_streams: set[int] = set()

    def scan(self) -> None:
        """Examine the frames that have not been examined before."""
        for head in self.parser.skim(MAX_SKIMMED_FRAMES):
            if head.type == frames.REQUEST:
                if len(self.waiting_streams) < MAX_WAITING_STREAMS:
                    self.waiting_streams.add(head.stream)
            elif head.type == frames.ABANDON:
                self._cancel(head.stream)

    def _cancel(self, stream: int) -> None:
        if stream in self.requests.by_stream:
            self.requests.cancel(stream)
        elif stream in self.waiting_streams:
            self.cancelled_streams.add(stream)

    def clear(self) -> None:
        """Forget the streams, since no frame waits any more."""
        self.waiting_streams.clear()
        self.cancelled_streams.clear()
