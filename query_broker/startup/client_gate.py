"""Rate limit on reading from new client connections, until all of the admission is open.

A front end that reconnects to this broker sends all requests that it has queued, on many
connections at once. Reading all of them at once would delay every answer.
"""

from __future__ import annotations

from ..protocols.client_connection import ClientConnection
from .pacing import RateLimiter


class ClientGate:
    """Defers reading from new clients, and resumes it in the order in which they connected."""

    def __init__(self, limiter: RateLimiter) -> None:
        """Begin without clients; ``limiter`` sets how many new clients are read per second."""
        self._limiter = limiter
        self._deferred: dict[ClientConnection, None] = {}  # an ordered set

    def connected(self, client: ClientConnection, now_ns: int) -> None:
        """Read from a new client at once, or defer reading from it."""
        if not self._deferred and self._limiter.try_acquire(now_ns):
            return
        client.defer_reading()
        self._deferred[client] = None

    def release_due(self, now_ns: int) -> None:
        """Resume reading from as many deferred clients as the rate allows now."""
        while self._deferred and self._limiter.try_acquire(now_ns):
            self._release_next()

    def release_all(self) -> None:
        """Resume reading from all deferred clients."""
        while self._deferred:
            self._release_next()

    def _release_next(self) -> None:
        client = next(iter(self._deferred))
        del self._deferred[client]
        client.resume_reading()
