"""The tenants' quotas, as token buckets. Performs no I/O."""

from __future__ import annotations

from .settings import Settings

NANOSECONDS_PER_SECOND = 1_000_000_000
# A tenant may save up this much of its quota, so that short bursts stay within the quota.
BURST_S = 2.0


class TokenBucket:
    """A token bucket that starts full.

    Args:
        rate_per_ns: Tokens a nanosecond.
        capacity: Upper limit of the tokens.
        now_ns: The time.
        previous: The bucket that this one replaces; its tokens are kept.
    """

    __slots__ = ("capacity", "rate_per_ns", "refilled_ns", "tokens")

    def __init__(
        self, rate_per_ns: float, capacity: float, now_ns: int, previous: TokenBucket | None = None
    ) -> None:
        """Fill the bucket, or take over the tokens of the previous bucket."""
        self.rate_per_ns = rate_per_ns
        self.capacity = capacity
        self.refilled_ns = now_ns
        self.tokens = capacity
        if previous is not None and previous.take(now_ns, 0.0):
            self.tokens = min(capacity, previous.tokens)

    def take(self, now_ns: int, tokens: float = 1.0) -> bool:
        """Take tokens if the bucket has enough, else none; return whether they were taken."""
        self.tokens = min(
            self.capacity, self.tokens + self.rate_per_ns * (now_ns - self.refilled_ns)
        )
        self.refilled_ns = now_ns
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True


class TenantQuotas:
    """Determines which requests exceed their tenant's quota.

    Attributes:
        buckets: Token buckets by tenant; a tenant that is not in the settings has no limit.
        accepting_processes: Number of processes of this broker that accept requests. A request
            takes this many tokens, so that all processes together stay within one quota.
    """

    __slots__ = ("accepting_processes", "buckets")

    def __init__(self) -> None:
        """Start without tenants."""
        self.buckets: dict[str, TokenBucket] = {}
        self.accepting_processes = 1

    def apply(self, now_ns: int, settings: Settings) -> None:
        """Apply the tenants of new settings; a tenant that remains keeps its tokens."""
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

        A request that is marked as a client's retry always exceeds it and takes no tokens:
        otherwise rejected requests that are sent again would take the tokens of new requests.
        """
        bucket = self.buckets.get(tenant or "")
        if bucket is None:
            return False
        return is_retry or not bucket.take(now_ns, self.accepting_processes)
