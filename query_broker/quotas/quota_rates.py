"""This broker's quota of each limit, and the platform settings adjusted to the quotas.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol

from ..decisions.facade import Settings
from .counters import SoftQuota, UsageCounters
from .leases import LeaseManager
from .settings import LimitSettings, QuotaKind, QuotaSettings

#: A small lease reduces this broker's part of the endpoints to no less than the equal share divided
#: by this factor.
MAX_FLEET_SIZE_FACTOR = 8
#: Replaces a fraction of zero as a divisor.
MIN_WORK_FRACTION = 1e-6
#: The "work" limit is a fraction of the capacity of all endpoints, so that all of it is 1.
TOTAL_WORK_FRACTION = 1.0


class QuotaEnvironment(Protocol):
    """Current platform settings and members, as the quotas use them."""

    def platform_settings(self) -> Settings:
        """Return the platform settings in force."""

    def member_names(self) -> tuple[str, ...]:
        """Return the names of all members in the current view."""


class QuotaRates:
    """Combines leases, usage counters and platform settings into quotas.

    Attributes:
        tenant_limits: Limits of tenants by name.
        limits_by_kind: The limit of each other kind; there is at most one per kind.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        environment: QuotaEnvironment,
        leases: LeaseManager,
        counters: UsageCounters,
    ) -> None:
        """Take the collaborators.

        Args:
            settings: Settings of the shared limits.
            environment: Platform settings and members.
            leases: Determine the quotas of hard limits.
            counters: Determine the quotas of soft limits.
        """
        self.settings = settings
        self.leases = leases
        self.counters = counters
        self.environment = environment
        self.tenant_limits: dict[str, LimitSettings] = {}
        self.limits_by_kind: dict[QuotaKind, LimitSettings] = {}
        for limit in settings.limits:
            if limit.kind == QuotaKind.TENANT:
                self.tenant_limits[limit.name] = limit
            else:
                self.limits_by_kind[limit.kind] = limit

    def leased_limits(self) -> dict[str, float]:
        """Return the leased part of each hard limit, per second."""
        leased_fraction = 1 - self.settings.guaranteed_fraction
        return {
            limit.name: self.limit_per_s(limit) * leased_fraction
            for limit in self.settings.limits
            if limit.is_hard
        }

    def limit_per_s(self, limit: LimitSettings) -> float:
        """Return the rate of a limit for all brokers together."""
        if limit.rate:
            return limit.rate
        if limit.kind != QuotaKind.TENANT:
            return TOTAL_WORK_FRACTION
        tenants = self.environment.platform_settings().tenants
        quotas = (tenant.quota_per_s for tenant in tenants if tenant.name == limit.name)
        return next(quotas, 0.0)

    def quota_per_s(self, limit: LimitSettings, now_ns: int) -> float:
        """Return what this broker may use of a limit at this moment."""
        if limit.is_hard:
            guaranteed = self.leases.guaranteed_per_s(self.limit_per_s(limit))
            return guaranteed + self.leases.amount_per_s(limit.name, now_ns)
        return self.soft_quota(limit, now_ns).rate_per_s

    def soft_quota(self, limit: LimitSettings, now_ns: int) -> SoftQuota:
        """Return this broker's part of a soft limit and the age of the oldest report behind it."""
        return self.counters.quota(
            now_ns,
            limit.name,
            self.limit_per_s(limit),
            self.environment.platform_settings().fleet_size,
            self.environment.member_names(),
        )

    def hard_quotas(self, now_ns: int) -> dict[str, float]:
        """Return this broker's quota of each hard limit."""
        return {
            limit.name: self.quota_per_s(limit, now_ns)
            for limit in self.settings.limits
            if limit.is_hard
        }

    def adjust(self, settings: Settings, now_ns: int, use_work_quota: bool) -> Settings:
        """Return platform settings with leased quotas in place of equal shares.

        The decisions divide tenants' quotas by the fleet size; each quota is therefore set to this
        broker's part multiplied by the fleet size.

        Args:
            settings: Platform settings to adjust.
            now_ns: This broker's clock.
            use_work_quota: Whether the "work" limit, if any, sets the size of the fleet.
        """
        configured_size = settings.fleet_size
        fleet_size = configured_size
        broker_index = settings.broker_index
        work_limit = self.limits_by_kind.get(QuotaKind.WORK)
        if work_limit is not None and use_work_quota:
            fleet_size = self._fleet_size_for(self.quota_per_s(work_limit, now_ns))
            broker_index %= fleet_size
        tenants = []
        for tenant in settings.tenants:
            limit = self.tenant_limits.get(tenant.name)
            if limit is None:
                quota_per_s = tenant.quota_per_s / configured_size
            else:
                quota_per_s = self.quota_per_s(limit, now_ns)
            tenants.append(replace(tenant, quota_per_s=fleet_size * quota_per_s))
        return replace(
            settings, fleet_size=fleet_size, broker_index=broker_index, tenants=tuple(tenants)
        )

    def _fleet_size_for(self, work_fraction: float) -> int:
        """Return the fleet size at which the equal share is the given fraction of the work."""
        max_size = MAX_FLEET_SIZE_FACTOR * self.environment.platform_settings().fleet_size
        return max(1, min(max_size, round(1 / max(MIN_WORK_FRACTION, work_fraction))))
