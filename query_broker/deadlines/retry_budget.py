"""Further attempts: a budget for each class and tenant, and the time that an attempt gets. Pure.

The decisions choose whether and where to try again; this gate only bounds how often, where
operators say so. A token bucket whose refill is a share of first attempts (as Finagle's retry
budgets): trouble everywhere then adds at most that share to the load, while a few failures in calm
times are all retried.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

MOST_KEPT = 4_096


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """``share`` of a token for each first attempt, ``burst`` tokens at the most; per class where
    named. ``first``: the part of the remaining time that a safe class's first attempt gets.
    """

    share: float = 0.2
    burst: float = 10.0
    classes: tuple[tuple[str, float, float], ...] = ()
    by_tenant: bool = True
    first: float = 1.0
    least: int = 100_000_000  # ns; no attempt is cut shorter than that

    def of(self, route: str) -> tuple[float, float]:
        for name, share, burst in self.classes:
            if name == route:
                return share, burst
        return self.share, self.burst


@dataclass(slots=True)
class RetryBudget:
    """Tokens by class and tenant. New ones begin full: a start must not look like trouble."""

    terms: RetryBudgetSettings
    tokens: dict[tuple[str, str], float] = field(default_factory=dict)
    refused: int = 0
    gate: Callable[[], bool] | None = None  # asked besides, where brokers share such a limit

    def _key(self, route: str, tenant: str) -> tuple[str, str]:
        return route, tenant if self.terms.by_tenant else ""

    def first(self, route: str, tenant: str) -> None:
        """A first attempt has been sent."""
        key = self._key(route, tenant)
        share, burst = self.terms.of(route)
        self.tokens[key] = min(burst, self.tokens.get(key, burst) + share)
        # danger: where no tenants are set, clients name any they like
        if len(self.tokens) > MOST_KEPT:
            full = [k for k, t in self.tokens.items() if t >= self.terms.of(k[0])[1]]
            for gone in full or list(self.tokens)[: MOST_KEPT // 2]:
                del self.tokens[gone]

    def further(self, route: str, tenant: str) -> bool:
        """Whether one more attempt may be made; it is paid for at once."""
        key = self._key(route, tenant)
        left = self.tokens.get(key, self.terms.of(route)[1])
        if left < 1 or self.gate is not None and not self.gate():
            self.refused += 1
            return False
        self.tokens[key] = left - 1
        return True

    def back(self, route: str, tenant: str) -> None:
        """It never left: its token goes back."""
        key = self._key(route, tenant)
        self.tokens[key] = min(self.terms.of(route)[1], self.tokens.get(key, 0.0) + 1)


def attempt_time(remaining: int, number: int, repeatable: bool, terms: RetryBudgetSettings) -> int:
    """How long an attempt may take. Danger: what may not be repeated gains nothing from being cut
    short, and loses its answer: it gets all the time there is.
    """
    if number or not repeatable or terms.first >= 1:
        return remaining
    return min(remaining, max(terms.least, int(remaining * terms.first)))
