"""Retries: a budget for each class and tenant, and the time that an attempt gets.

Performs no I/O.

The decisions choose whether and where to try again; this gate only bounds how often, where
operators say so. A token bucket whose refill is a share of first attempts (as Finagle's retry
budgets): trouble everywhere then adds at most that share to the load, while a few failures in calm
times are all retried.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

MOST_KEPT = 4_096


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The operators' settings of the retry budget.

    ``tokens_per_attempt`` are earned by each first attempt, ``burst`` tokens are kept at the most;
    both by class where ``classes`` names one. ``first``: the part of the remaining time that the
    first attempt of an idempotent class gets.
    """

    tokens_per_attempt: float = 0.2
    burst: float = 10.0
    classes: tuple[tuple[str, float, float], ...] = ()
    by_tenant: bool = True
    first: float = 1.0
    least: int = 100_000_000  # ns; no attempt is cut shorter than that

    def of(self, route: str) -> tuple[float, float]:
        """Return the tokens per first attempt and the burst of a request class."""
        for name, tokens_per_attempt, burst in self.classes:
            if name == route:
                return tokens_per_attempt, burst
        return self.tokens_per_attempt, self.burst


class RetryGate(Protocol):
    """A limit on retries that all brokers share."""

    def admit_retry(self) -> bool:
        """Return whether one more retry is within the limit, and count it."""


@dataclass(slots=True)
class RetryBudget:
    """Tokens by class and tenant; a new bucket is full, so that a start is not held back.

    ``gate`` is asked besides, where brokers share a limit on retries.
    """

    settings: RetryBudgetSettings
    tokens: dict[tuple[str, str], float] = field(default_factory=dict)
    refused: int = 0
    gate: RetryGate | None = None

    def set_gate(self, gate: RetryGate) -> None:
        """Register a limit that brokers share, which each retry must pass as well."""
        self.gate = gate

    def _key(self, route: str, tenant: str) -> tuple[str, str]:
        return route, tenant if self.settings.by_tenant else ""

    def record_first_attempt(self, route: str, tenant: str) -> None:
        """Earn part of a token, as a first attempt has been sent."""
        key = self._key(route, tenant)
        earned, burst = self.settings.of(route)
        self.tokens[key] = min(burst, self.tokens.get(key, burst) + earned)
        # Where no tenants are set, clients name any they like: the table is bounded.
        if len(self.tokens) > MOST_KEPT:
            self._evict()

    def _evict(self) -> None:
        """Drop the full buckets, which say nothing; else the older half."""
        full = [key for key, left in self.tokens.items() if left >= self.settings.of(key[0])[1]]
        for key in full or list(self.tokens)[: MOST_KEPT // 2]:
            del self.tokens[key]

    def try_spend(self, route: str, tenant: str) -> bool:
        """Return whether one more attempt may be made, and pay for it."""
        key = self._key(route, tenant)
        left = self.tokens.get(key, self.settings.of(route)[1])
        if left < 1 or self.gate is not None and not self.gate.admit_retry():
            self.refused += 1
            return False
        self.tokens[key] = left - 1
        return True

    def refund(self, route: str, tenant: str) -> None:
        """Return the token of an attempt that never left."""
        key = self._key(route, tenant)
        self.tokens[key] = min(self.settings.of(route)[1], self.tokens.get(key, 0.0) + 1)


def attempt_time(remaining: int, number: int, repeatable: bool, terms: RetryBudgetSettings) -> int:
    """Return how long an attempt may take, in nanoseconds.

    What may not be repeated gains nothing from being cut short and would lose its answer: it gets
    all the time there is.
    """
    if number or not repeatable or terms.first >= 1:
        return remaining
    return min(remaining, max(terms.least, int(remaining * terms.first)))
