"""Settings of the shared limits, as the operators' file declares them, and the bounds they imply.

A fraction of every hard limit is guaranteed: it is divided equally by the configured fleet size,
and each broker may use its part without any communication, and so in any network partition. The
rest is leased. All durations are in nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

NS_PER_S = 1_000_000_000
#: Each limit belongs to one of these shards, and each shard has its own leader.
SHARD_COUNT = 8
#: Renewals of a lease by its holder, and of a vote by the leader, within its duration.
RENEWALS_PER_PERIOD = 4
#: A usage report older than this many gossip intervals is treated as missing.
STALE_AFTER_ROUNDS = 3


class QuotaKind(StrEnum):
    """What a limit applies to; the values are those in the operators' file."""

    TENANT = "tenant"
    WORK = "work"
    RETRIES = "further"
    CONNECTS = "connects"


QUOTA_KINDS = tuple(kind.value for kind in QuotaKind)
HARD_KINDS = frozenset({QuotaKind.TENANT, QuotaKind.WORK})


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """One limit that all brokers share.

    Attributes:
        name: Unique name; of a tenant's limit the name of the tenant.
        kind: What is limited.
        rate: Rate of all brokers together, per second; 0 takes it from the platform settings (the
            tenant's quota, or the threads of the endpoints). The field has the operators' name,
            under which the evaluated file passes it on.
    """

    name: str
    kind: QuotaKind = QuotaKind.TENANT
    rate: float = 0.0

    @property
    def is_hard(self) -> bool:
        """Whether the limit is enforced by leases, and so never exceeded."""
        return self.kind in HARD_KINDS


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """How limits are shared.

    Attributes:
        lease_ns: How long a lease lasts.
        vote_ns: How long a vote binds the broker that cast it; a leader grants only while it holds
            the votes of a majority.
        clock_drift: The most by which a clock's rate may differ from the true one, as a fraction.
        guaranteed_fraction: The part of each hard limit that is divided equally and never leased.
        gossip_interval_ns: Time between two gossip rounds on the soft limits.
        limits: The limits, in the order of the operators' file.
    """

    lease_ns: int = 4 * NS_PER_S
    vote_ns: int = 6 * NS_PER_S
    clock_drift: float = 0.01
    guaranteed_fraction: float = 0.2
    gossip_interval_ns: int = NS_PER_S
    limits: tuple[LimitSettings, ...] = ()


def holder_duration_ns(duration_ns: int, clock_drift: float) -> int:
    """Return how long the receiver of a lease or vote may rely on it by its own clock.

    For the receiver, the lease or vote expires before it expires for the broker that granted it,
    even if the receiver's clock is slow by the drift and the other broker's clock is fast by it.
    """
    return int(duration_ns * (1 - clock_drift) / (1 + clock_drift))


def expiry_wait_ns(duration_ns: int, clock_drift: float) -> int:
    """Return how long to wait, by this broker's clock, until another's grant has surely expired."""
    return int(duration_ns * (1 + clock_drift) / (1 - clock_drift))


def max_overshoot_per_s(
    settings: QuotaSettings,
    limit: LimitSettings,
    rate_per_s: float,
    fleet_size: int,
    actual_drift: float = 0.0,
) -> float:
    """Return by how much all brokers together can exceed a limit, per second.

    A hard limit is never exceeded while clocks keep within the configured drift. Beyond that drift,
    a holder can use a lease after the leader considers it expired: for that fraction of the lease
    duration the leased part can be in use twice. A soft limit is exceeded if all brokers increase
    their use at once, before any has received the others' reports.
    """
    if limit.is_hard:
        excess_drift = max(0.0, actual_drift - settings.clock_drift)
        return rate_per_s * (1 - settings.guaranteed_fraction) * min(1.0, 2 * excess_drift)
    return rate_per_s * (fleet_size - 1) / fleet_size


def max_staleness_s(settings: QuotaSettings, limit: LimitSettings) -> float:
    """Return how old the information behind a broker's quota can be, in seconds."""
    if limit.is_hard:
        return settings.lease_ns / NS_PER_S
    return STALE_AFTER_ROUNDS * settings.gossip_interval_ns / NS_PER_S


def describe_bounds(settings: QuotaSettings, fleet_size: int) -> Iterable[str]:
    """Yield the lines that `check-config` prints on the shared limits."""
    fraction = settings.guaranteed_fraction
    vote_s = holder_duration_ns(settings.vote_ns, settings.clock_drift) / NS_PER_S
    takeover_s = (settings.vote_ns + settings.lease_ns) / NS_PER_S
    yield (
        f"limits: {len(settings.limits)}, leases of {settings.lease_ns / NS_PER_S:g} s, "
        f"{fraction:.0%} guaranteed: each of {fleet_size} brokers {fraction / fleet_size:.4f} of a "
        "limit without any contact"
    )
    yield (
        f"limits: a home grants for {vote_s:.2f} s after more than half of {fleet_size} have "
        f"agreed; another takes over within {takeover_s:g} s; until then leases are renewed, not "
        "raised"
    )
    for limit in settings.limits:
        yield _describe_limit(settings, limit, fleet_size)


def _describe_limit(settings: QuotaSettings, limit: LimitSettings, fleet_size: int) -> str:
    rate = f"{limit.rate:g} a second" if limit.rate else "as the settings have it"
    if limit.is_hard:
        overshoot = f"0 while clocks differ by less than {settings.clock_drift:.1%}"
    else:
        fraction = max_overshoot_per_s(settings, limit, 1.0, fleet_size)
        overshoot = f"{fraction:.2f} of it, once, in a cut or a jump"
    return (
        f"limits: {limit.name} ({limit.kind}): {rate}; what is acted on is "
        f"{max_staleness_s(settings, limit):g} s old at the most; over by {overshoot}"
    )
