"""Retries: a budget for each class and tenant, and the time that an attempt gets.

Performs no I/O.

The decisions choose whether and where to try again; this gate only bounds how often, where
operators say so. A token bucket whose refill is a share of first attempts (as Finagle's retry
budgets): trouble everywhere then adds at most that share to the load, while a few failures in calm
times are all retried.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

#: Buckets that are kept.
MAX_BUCKETS = 4_096


class ClassRate(NamedTuple):
    """What first attempts of one request class earn, and how many of these tokens are kept."""

    class_name: str
    tokens_per_attempt: float
    burst: float


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The operators' settings of the retry budget.

    Attributes:
        tokens_per_attempt: Tokens that a first attempt earns.
        burst: Tokens that are kept at the most.
        class_rates: Both for the request classes that have values of their own.
        by_tenant: Whether each tenant has tokens of its own.
        first_attempt_fraction: The part of the remaining time that the first attempt of an
            idempotent class gets.
        min_attempt_ns: No attempt is cut shorter than that.
    """

    tokens_per_attempt: float = 0.2
    burst: float = 10.0
    class_rates: tuple[ClassRate, ...] = ()
    by_tenant: bool = True
    first_attempt_fraction: float = 1.0
    min_attempt_ns: int = 100_000_000

    def rate_of(self, class_name: str) -> ClassRate:
        """Return what counts for a request class."""
        for rate in self.class_rates:
            if rate.class_name == class_name:
                return rate
        return ClassRate(class_name, self.tokens_per_attempt, self.burst)


class RetryGate(Protocol):
    """A limit on retries that all brokers share."""

    def admit_retry(self) -> bool:
        """Return whether one more retry is within the limit, and count it."""


@dataclass(slots=True)
class RetryBudget:
    """Tokens by class and tenant; a new bucket is full, so that a start is not held back.

    Attributes:
        settings: What a first attempt earns.
        tokens: The tokens by class and tenant.
        refused: Retries that the budget did not allow.
        gate: Where brokers share a limit on retries, what each retry must pass as well.
    """

    settings: RetryBudgetSettings
    tokens: dict[tuple[str, str], float] = field(default_factory=dict)
    refused: int = 0
    gate: RetryGate | None = None

    def set_gate(self, gate: RetryGate) -> None:
        """Register a limit that brokers share, which each retry must pass as well."""
        self.gate = gate

    def _key(self, class_name: str, tenant: str) -> tuple[str, str]:
        return class_name, tenant if self.settings.by_tenant else ""

    def record_first_attempt(self, class_name: str, tenant: str) -> None:
        """Earn part of a token, as a first attempt has been sent."""
        key = self._key(class_name, tenant)
        rate = self.settings.rate_of(class_name)
        tokens = self.tokens.get(key, rate.burst)
        self.tokens[key] = min(rate.burst, tokens + rate.tokens_per_attempt)
        # Where no tenants are set, clients name any they like: the table is bounded.
        if len(self.tokens) > MAX_BUCKETS:
            self._evict()

    def _evict(self) -> None:
        """Drop the full buckets, which say nothing; else the older half."""
        full = [
            key
            for key, tokens in self.tokens.items()
            if tokens >= self.settings.rate_of(key[0]).burst
        ]
        for key in full or list(self.tokens)[: MAX_BUCKETS // 2]:
            del self.tokens[key]

    def try_spend(self, class_name: str, tenant: str) -> bool:
        """Return whether one more attempt may be made, and pay for it."""
        key = self._key(class_name, tenant)
        tokens = self.tokens.get(key, self.settings.rate_of(class_name).burst)
        if tokens < 1 or self.gate is not None and not self.gate.admit_retry():
            self.refused += 1
            return False
        self.tokens[key] = tokens - 1
        return True

    def refund(self, class_name: str, tenant: str) -> None:
        """Return the token of an attempt that never left."""
        key = self._key(class_name, tenant)
        self.tokens[key] = min(
            self.settings.rate_of(class_name).burst, self.tokens.get(key, 0.0) + 1
        )


def attempt_time_ns(
    remaining_ns: int, number: int, is_idempotent: bool, settings: RetryBudgetSettings
) -> int:
    """Return how long an attempt may take.

    What may not be repeated gains nothing from being cut short and would lose its answer: it gets
    all the time there is.

    Args:
        remaining_ns: The time that is left to the request.
        number: Number of the attempt, 0 for the first.
        is_idempotent: Whether the request may be repeated.
        settings: The part of the time that a first attempt gets.
    """
    fraction = settings.first_attempt_fraction
    if number or not is_idempotent or fraction >= 1:
        return remaining_ns
    return min(remaining_ns, max(settings.min_attempt_ns, int(remaining_ns * fraction)))
