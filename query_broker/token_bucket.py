"""A token bucket whose rate may differ at each use. Performs no I/O."""

from __future__ import annotations

NS_PER_S = 1_000_000_000

#: Capacity of a bucket whose rate is below one token per second.
MIN_CAPACITY_TOKENS = 1.0
#: Lower bound of the rate for reservations, so that the wait for a reserved token stays finite.
MIN_RATE_PER_S = 1e-3


class TokenBucket:
    """A token bucket; its capacity is the tokens of one second, and at least one token.

    Attributes:
        tokens: The current number of tokens; negative while future tokens are reserved.
        refilled_at_ns: When tokens were last added.
    """

    def __init__(self, now_ns: int) -> None:
        """Start with one token."""
        self.tokens = MIN_CAPACITY_TOKENS
        self.refilled_at_ns = now_ns

    @classmethod
    def full(cls, now_ns: int) -> TokenBucket:
        """Return a bucket that contains the tokens of one second at its first use."""
        bucket = cls(now_ns - NS_PER_S)
        bucket.tokens = 0.0
        return bucket

    def try_take(self, now_ns: int, rate_per_s: float) -> bool:
        """Take a token; return False if none is available."""
        self._refill(now_ns, rate_per_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def reserve_ns(self, now_ns: int, rate_per_s: float) -> int:
        """Take a token, or reserve a future one; return the wait for it in nanoseconds."""
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._refill(now_ns, rate_per_s)
        self.tokens -= 1
        return max(0, int(-self.tokens / rate_per_s * NS_PER_S))

    def _refill(self, now_ns: int, rate_per_s: float) -> None:
        refilled = self.tokens + rate_per_s * (now_ns - self.refilled_at_ns) / NS_PER_S
        self.tokens = min(max(MIN_CAPACITY_TOKENS, rate_per_s), refilled)
        self.refilled_at_ns = now_ns
