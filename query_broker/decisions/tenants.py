"""The tenants' quotas, as token buckets. Performs no I/O."""

from __future__ import annotations

from .settings import Settings

NANOSECONDS_PER_SECOND = 1_000_000_000
# Seconds of its quota that a tenant may accumulate, so that short bursts stay within the quota.
BURST_S = 2.0


class TokenBucket:
    """A token bucket that is full at the start.

    Args:
        rate: Tokens a nanosecond.
        capacity: Upper bound of the tokens.
        now_ns: The time.
        previous: The bucket that this one replaces; its tokens are kept.
    """

    __slots__ = ("capacity", "rate", "refilled_ns", "tokens")

    def __init__(
        self, rate: float, capacity: float, now_ns: int, previous: TokenBucket | None = None
    ) -> None:
        """Fill the bucket, or keep the tokens of its predecessor."""
        self.rate = rate
        self.capacity = capacity
        self.refilled_ns = now_ns
        self.tokens = capacity
        if previous is not None and previous.take(now_ns, 0.0):
            self.tokens = min(capacity, previous.tokens)

    def take(self, now_ns: int, tokens: float = 1.0) -> bool:
        """Take tokens if there are enough of them, else none; returns whether they were taken."""
        self.tokens = min(self.capacity, self.tokens + self.rate * (now_ns - self.refilled_ns))
        self.refilled_ns = now_ns
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True


class TenantQuotas:
    """Determines which requests exceed their tenant's quota.

    Attributes:
        buckets: By tenant; a tenant that is not in the settings has no limit.
        accepting_processes: Processes of this broker that accept requests; each of their requests
            takes as many tokens, so that together they keep to one quota.
    """

    __slots__ = ("accepting_processes", "buckets")

    def __init__(self) -> None:
        """Begin without tenants."""
        self.buckets: dict[str, TokenBucket] = {}
        self.accepting_processes = 1

    def apply(self, now_ns: int, settings: Settings) -> None:
        """Apply the tenants of other settings; those that remain keep their tokens."""
        previous = self.buckets
        self.buckets = {}
        for tenant in settings.tenants:
            rate_per_s = tenant.quota_per_s / settings.fleet_size
            self.buckets[tenant.name] = TokenBucket(
                rate_per_s / NANOSECONDS_PER_SECOND,
                rate_per_s * BURST_S,
                now_ns,
                previous.get(tenant.name),
            )

    def is_exceeded(self, now_ns: int, tenant: str | None, is_retry: bool) -> bool:
        """Take the tokens of a request and return whether it exceeds the quota of its tenant.

        A request that is marked as a client's retry always does, and takes no tokens: rejected
        traffic that comes back would take them from new requests.
        """
        bucket = self.buckets.get(tenant or "")
        if bucket is None:
            return False
        return is_retry or not bucket.take(now_ns, self.accepting_processes)
