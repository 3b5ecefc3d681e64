"""Rate limits of incoming datagrams, separate for present members and for other senders.

Performs no I/O.
"""

from __future__ import annotations

from ..token_bucket import TokenBucket

OTHER_DATAGRAMS_PER_S = 200
MEMBER_DATAGRAMS_PER_S = 2_000
#: Amount by which each present member raises the limit of all members together.
EXTRA_DATAGRAMS_PER_MEMBER_PER_S = 20


class DatagramRateLimiter:
    """Limits the rate of processed datagrams, depending on the sender's address.

    Attributes:
        member_addresses: Addresses of the present members.
    """

    def __init__(self, now_ns: int) -> None:
        """Start without member addresses."""
        self._members = TokenBucket.full(now_ns)
        self._others = TokenBucket.full(now_ns)
        self.member_addresses: set[str] = set()

    def admit(self, now_ns: int, address: str) -> bool:
        """Return whether a datagram from the address may be processed."""
        if address in self.member_addresses:
            extra_per_s = EXTRA_DATAGRAMS_PER_MEMBER_PER_S * len(self.member_addresses)
            return self._members.try_take(now_ns, MEMBER_DATAGRAMS_PER_S + extra_per_s)
        return self._others.try_take(now_ns, OTHER_DATAGRAMS_PER_S)
