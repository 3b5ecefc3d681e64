"""Measures the demand on each limit once a second, and detects exceeded soft limits.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .fair_allocation import DemandForecast
from .quota_rates import QuotaRates
from .settings import NS_PER_S, LimitSettings, QuotaKind, max_overshoot_per_s

#: An overshoot that exceeds its bound by less than this is a rounding error.
ROUNDING_ERROR_PER_S = 1e-9


class Breach(NamedTuple):
    """A soft limit was exceeded by more than the bound on its overshoot; rates are per second."""

    limit: str
    total_per_s: float
    overshoot_per_s: float
    bound_per_s: float


class DemandTracker:
    """Counts the demand on each limit and forecasts it.

    Attributes:
        forecasts: Forecast by limit.
        admitted_per_s: Rate admitted in the last second, by limit.
        worst_overshoot_per_s: Largest observed overshoot of each soft limit, by limit.
        breaches: How often a soft limit was exceeded by more than its bound.
    """

    def __init__(self, rates: QuotaRates, now_ns: int) -> None:
        """Start counting.

        Args:
            rates: Quotas of this broker; the demand determines which leases it requests.
            now_ns: This broker's clock.
        """
        self.rates = rates
        self.forecasts = {limit.name: DemandForecast() for limit in rates.settings.limits}
        self.admitted_per_s: dict[str, float] = {}
        self.worst_overshoot_per_s: dict[str, float] = {}
        self.breaches = 0
        self._demand: dict[str, float] = {}
        self._second_began_at_ns = now_ns

    def count(self, limit: str, amount: float = 1.0) -> None:
        """Count demand on a limit, whether admitted or not."""
        self._demand[limit] = self._demand.get(limit, 0.0) + amount

    def update(self, now_ns: int, available_cores: Callable[[], int]) -> list[Breach]:
        """Measure the demand and check for overshoot, if a second has passed.

        Args:
            now_ns: This broker's clock.
            available_cores: Returns the cores of all ready endpoints.

        Returns:
            The soft limits that were exceeded by more than their bounds.
        """
        elapsed_ns = now_ns - self._second_began_at_ns
        if elapsed_ns < NS_PER_S:
            return []
        self._second_began_at_ns = now_ns
        elapsed_s = elapsed_ns / NS_PER_S
        cores = max(1, available_cores())
        breaches: list[Breach] = []
        for limit in self.rates.settings.limits:
            demand_per_s = self._demand.pop(limit.name, 0.0) / elapsed_s
            if limit.kind == QuotaKind.WORK:
                demand_per_s /= cores
            self.forecasts[limit.name].record(demand_per_s)
            quota_per_s = self.rates.quota_per_s(limit, now_ns)
            self.admitted_per_s[limit.name] = min(demand_per_s, quota_per_s)
            if limit.is_hard:
                self._update_wanted_amount(limit, now_ns)
                continue
            breach = self._check_overshoot(limit)
            if breach is not None:
                breaches.append(breach)
        return breaches

    def _update_wanted_amount(self, limit: LimitSettings, now_ns: int) -> None:
        leases = self.rates.leases
        guaranteed = leases.guaranteed_per_s(self.rates.limit_per_s(limit))
        needed = self.forecasts[limit.name].predicted_demand_per_s() - guaranteed
        leases.holder.wanted_per_s[limit.name] = max(0.0, needed)
        if needed > leases.amount_per_s(limit.name, now_ns):
            leases.request_at_next_tick(now_ns)

    def _check_overshoot(self, limit: LimitSettings) -> Breach | None:
        limit_per_s = self.rates.limit_per_s(limit)
        total = self.rates.counters.reported_total_per_s(limit.name)
        overshoot = total - limit_per_s
        worst = self.worst_overshoot_per_s.get(limit.name, 0.0)
        self.worst_overshoot_per_s[limit.name] = max(worst, overshoot)
        overshoot_bound = self.overshoot_bound_per_s(limit)
        if overshoot <= overshoot_bound + ROUNDING_ERROR_PER_S:
            return None
        self.breaches += 1
        return Breach(limit.name, total, overshoot, overshoot_bound)

    def overshoot_bound_per_s(self, limit: LimitSettings) -> float:
        """Return the most by which all brokers together can exceed a limit."""
        fleet_size = self.rates.leases.state.fleet_size
        limit_per_s = self.rates.limit_per_s(limit)
        return max_overshoot_per_s(self.rates.settings, limit, limit_per_s, fleet_size)
