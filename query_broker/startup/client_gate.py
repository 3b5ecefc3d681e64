"""New clients are read one after the other until all of the admission is open.

A front end that finds this broker again hands it all that it holds back, on many connections at
once: those that are read at once would keep the others from their answers.
"""

from __future__ import annotations

from ..protocols.client_connection import ClientConnection
from .pacing import RateLimiter


class ClientGate:
    """Clients that are connected and not read yet, in their order."""

    def __init__(self, limiter: RateLimiter) -> None:
        """Begin with no client."""
        self._limiter = limiter
        self._waiting: dict[ClientConnection, None] = {}  # in the place of a set, for its order

    def connected(self, client: ClientConnection, now: int) -> None:
        """Read a new client at once, or when its turn comes."""
        if not self._waiting and self._limiter.try_acquire(now):
            return
        client.defer_reading()
        self._waiting[client] = None

    def release_due(self, now: int) -> None:
        """Read the clients whose turn has come."""
        while self._waiting and self._limiter.try_acquire(now):
            self._release_next()

    def release_all(self) -> None:
        """Read all clients that wait."""
        while self._waiting:
            self._release_next()

    def _release_next(self) -> None:
        client = next(iter(self._waiting))
        del self._waiting[client]
        client.resume_reading()
