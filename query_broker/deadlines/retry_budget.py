"""A retry budget for each request class and tenant, and the time limit of an attempt.

Performs no I/O.

The decisions choose whether and where to retry; the budget only limits the number of retries, if
operators configure it. It is a token bucket that each first attempt refills by a fraction of a
token, like Finagle's retry budgets. During a widespread failure retries add at most that fraction
to the load, while occasional failures are all retried.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

#: The number of token buckets above which some are evicted.
MAX_BUCKET_COUNT = 4_096


class ClassRate(NamedTuple):
    """The tokens that a first attempt of one request class earns, and the size of the bucket."""

    class_name: str
    tokens_per_attempt: float
    burst: float


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The operators' settings of the retry budget.

    Attributes:
        tokens_per_attempt: Tokens that a first attempt earns.
        burst: The size of a bucket, in tokens.
        class_rates: Separate values of these two for some request classes.
        by_tenant: Whether each tenant has its own buckets.
        first_attempt_fraction: The fraction of the remaining time that the first attempt of an
            idempotent class gets.
        min_attempt_ns: The minimum to which the time of a first attempt is cut.
    """

    tokens_per_attempt: float = 0.2
    burst: float = 10.0
    class_rates: tuple[ClassRate, ...] = ()
    by_tenant: bool = True
    first_attempt_fraction: float = 1.0
    min_attempt_ns: int = 100_000_000

    def rate_for_class(self, class_name: str) -> ClassRate:
        """Return the values in force for a request class."""
        for rate in self.class_rates:
            if rate.class_name == class_name:
                return rate
        return ClassRate(class_name, self.tokens_per_attempt, self.burst)


class SharedRetryLimit(Protocol):
    """A limit on retries that is shared by all brokers."""

    def admit_retry(self) -> bool:
        """Return whether one more retry is within the limit, and count it."""


@dataclass(slots=True)
class RetryBudget:
    """Token buckets by class and tenant; a new bucket is full, so that retries work from the start.

    Attributes:
        settings: The tokens that a first attempt earns, and the sizes of the buckets.
        tokens: The tokens in each bucket, by class and tenant.
        refused_count: The number of retries that the budget did not allow.
        shared_limit: The limit on retries that all brokers share; None if there is none.
    """

    settings: RetryBudgetSettings
    tokens: dict[tuple[str, str], float] = field(default_factory=dict)
    refused_count: int = 0
    shared_limit: SharedRetryLimit | None = None

    def set_shared_limit(self, shared_limit: SharedRetryLimit) -> None:
        """Set a limit that all brokers share and that each retry must pass as well."""
        self.shared_limit = shared_limit

    def _bucket_key(self, class_name: str, tenant: str) -> tuple[str, str]:
        return class_name, tenant if self.settings.by_tenant else ""

    def record_first_attempt(self, class_name: str, tenant: str) -> None:
        """Add the tokens that a first attempt earns."""
        key = self._bucket_key(class_name, tenant)
        rate = self.settings.rate_for_class(class_name)
        tokens = self.tokens.get(key, rate.burst)
        self.tokens[key] = min(rate.burst, tokens + rate.tokens_per_attempt)
        # The table is bounded because clients may name any tenant if none are configured.
        if len(self.tokens) > MAX_BUCKET_COUNT:
            self._evict_buckets()

    def _evict_buckets(self) -> None:
        """Drop all full buckets, which equal new ones; if there are none, the older half."""
        full_bucket_keys = [
            key
            for key, tokens in self.tokens.items()
            if tokens >= self.settings.rate_for_class(key[0]).burst
        ]
        for key in full_bucket_keys or list(self.tokens)[: MAX_BUCKET_COUNT // 2]:
            del self.tokens[key]

    def try_spend(self, class_name: str, tenant: str) -> bool:
        """Spend a token on a retry; return False if the retry is not allowed."""
        key = self._bucket_key(class_name, tenant)
        tokens = self.tokens.get(key, self.settings.rate_for_class(class_name).burst)
        if tokens < 1 or self.shared_limit is not None and not self.shared_limit.admit_retry():
            self.refused_count += 1
            return False
        self.tokens[key] = tokens - 1
        return True

    def refund(self, class_name: str, tenant: str) -> None:
        """Return the token of a retry that was never sent."""
        key = self._bucket_key(class_name, tenant)
        self.tokens[key] = min(
            self.settings.rate_for_class(class_name).burst, self.tokens.get(key, 0.0) + 1
        )


def attempt_time_ns(
    remaining_ns: int, number: int, is_idempotent: bool, settings: RetryBudgetSettings
) -> int:
    """Return how long an attempt may take.

    An attempt of a request that must not be repeated gets all the remaining time: no retry could
    follow an early timeout, which would only lose the answer.

    Args:
        remaining_ns: The time that remains for the request.
        number: Number of the attempt, 0 for the first.
        is_idempotent: Whether the request may be repeated.
        settings: The fraction of the time that a first attempt gets, and its minimum.
    """
    fraction = settings.first_attempt_fraction
    if number or not is_idempotent or fraction >= 1:
        return remaining_ns
    return min(remaining_ns, max(settings.min_attempt_ns, int(remaining_ns * fraction)))
