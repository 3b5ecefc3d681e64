"""A token bucket whose rate is given anew at each use. Performs no I/O."""

from __future__ import annotations

from .settings import NS_PER_S

MIN_CAPACITY = 1.0
MIN_RATE_PER_S = 1e-3


class TokenBucket:
    """Holds at most the tokens of one second, and at least one."""

    def __init__(self, now_ns: int) -> None:
        """Start with one token."""
        self.tokens = MIN_CAPACITY
        self.refilled_at_ns = now_ns

    def try_take(self, now_ns: int, rate_per_s: float) -> bool:
        """Take a token if there is one."""
        self._refill(now_ns, rate_per_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def reserve_ns(self, now_ns: int, rate_per_s: float) -> int:
        """Take a token, if need be one to come; return how long to wait for it, in nanoseconds."""
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._refill(now_ns, rate_per_s)
        self.tokens -= 1
        return max(0, int(-self.tokens / rate_per_s * NS_PER_S))

    def _refill(self, now_ns: int, rate_per_s: float) -> None:
        refilled = self.tokens + rate_per_s * (now_ns - self.refilled_at_ns) / NS_PER_S
        self.tokens = min(max(MIN_CAPACITY, rate_per_s), refilled)
        self.refilled_at_ns = now_ns
