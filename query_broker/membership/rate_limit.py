"""Rate limits of incoming datagrams, apart for members and for strangers.

Performs no I/O.
"""

from __future__ import annotations

from .settings import NS_PER_S

STRANGERS_PER_S = 200
MEMBERS_PER_S = 2_000
EXTRA_PER_MEMBER_PER_S = 20


class TokenBucket:
    """A token bucket that holds at the most one second's tokens."""

    def __init__(self, now_ns: int) -> None:
        """Start full."""
        self._tokens = 0.0
        self._filled_at_ns = now_ns - NS_PER_S

    def take(self, now_ns: int, rate_per_s: float) -> bool:
        """Take a token; return False if there is none."""
        added = rate_per_s * (now_ns - self._filled_at_ns) / NS_PER_S
        self._tokens = min(rate_per_s, self._tokens + added)
        self._filled_at_ns = now_ns
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DatagramRateLimiter:
    """Limits how many datagrams are looked at, by the address they come from.

    Attributes:
        member_addresses: Addresses of the present members.
    """

    def __init__(self, now_ns: int) -> None:
        """Start without known members."""
        self._members = TokenBucket(now_ns)
        self._strangers = TokenBucket(now_ns)
        self.member_addresses: set[str] = set()

    def admit(self, now_ns: int, address: str) -> bool:
        """Return whether a datagram from the address is looked at."""
        if address in self.member_addresses:
            extra = EXTRA_PER_MEMBER_PER_S * len(self.member_addresses)
            return self._members.take(now_ns, MEMBERS_PER_S + extra)
        return self._strangers.take(now_ns, STRANGERS_PER_S)
