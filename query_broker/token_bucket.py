"""A token bucket whose rate may differ at each use. Performs no I/O."""

from __future__ import annotations

NS_PER_S = 1_000_000_000

#: Tokens that a bucket holds at the most where its rate is below one a second.
MIN_CAPACITY_TOKENS = 1.0
#: Stands for a lower rate, so that the wait for a reserved token stays finite.
MIN_RATE_PER_S = 1e-3


class TokenBucket:
    """Holds at most the tokens of one second, or one token if the rate is lower.

    Attributes:
        tokens: The present tokens; below 0 while some that are to come have been reserved.
        refilled_at_ns: When tokens were last added.
    """

    def __init__(self, now_ns: int) -> None:
        """Start with one token."""
        self.tokens = MIN_CAPACITY_TOKENS
        self.refilled_at_ns = now_ns

    @classmethod
    def full(cls, now_ns: int) -> TokenBucket:
        """Return a bucket that holds the tokens of one second at its first use."""
        bucket = cls(now_ns - NS_PER_S)
        bucket.tokens = 0.0
        return bucket

    def try_take(self, now_ns: int, rate_per_s: float) -> bool:
        """Take a token; return False if there is none."""
        self._refill(now_ns, rate_per_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def reserve_ns(self, now_ns: int, rate_per_s: float) -> int:
        """Take a token in advance if need be; return the wait for it in nanoseconds."""
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._refill(now_ns, rate_per_s)
        self.tokens -= 1
        return max(0, int(-self.tokens / rate_per_s * NS_PER_S))

    def _refill(self, now_ns: int, rate_per_s: float) -> None:
        refilled = self.tokens + rate_per_s * (now_ns - self.refilled_at_ns) / NS_PER_S
        self.tokens = min(max(MIN_CAPACITY_TOKENS, rate_per_s), refilled)
        self.refilled_at_ns = now_ns
