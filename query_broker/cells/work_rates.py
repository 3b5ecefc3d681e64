"""The rate of work of each tenant, as an exponentially decaying mean.

Rates are in thread-seconds a second, times in integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

#: The time constant of the decay: work this old counts 1/e.
DECAY_TIME_CONSTANT_NS = 60_000_000_000
#: The maximum number of tenants with a rate, bounded because clients may send any tenant name if no
#: tenants are configured.
MAX_TENANTS = 4_096


class DecayingMean(NamedTuple):
    """A decaying mean.

    Attributes:
        rate: The rate at ``at_ns``, in thread-seconds a second.
        at_ns: The time of the last update.
    """

    rate: float
    at_ns: int

    def value_at(self, now_ns: int) -> float:
        """Return the rate after the decay until now."""
        return self.rate * math.exp((self.at_ns - now_ns) / DECAY_TIME_CONSTANT_NS)


@dataclass(slots=True)
class WorkRates:
    """The rates of all tenants.

    Attributes:
        means: The mean of each tenant that has had work.
        pending_work_ns: The work since the last `update_means`, in thread-nanoseconds.
    """

    means: dict[str, DecayingMean] = field(default_factory=dict)
    pending_work_ns: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, work_ns: int) -> None:
        """Add work in thread-nanoseconds; runs for every request."""
        self.pending_work_ns[name] = self.pending_work_ns.get(name, 0) + work_ns

    def update_means(self, now_ns: int) -> None:
        """Include the work since the last call in the means."""
        pending_work_ns = self.pending_work_ns
        self.pending_work_ns = {}
        for name, work_ns in pending_work_ns.items():
            rate = self.rate_at(name, now_ns) + work_ns / DECAY_TIME_CONSTANT_NS
            self.means[name] = DecayingMean(rate, now_ns)
            if len(self.means) > MAX_TENANTS:
                self._drop_smallest(now_ns)

    def _drop_smallest(self, now_ns: int) -> None:
        by_rate = sorted(self.means, key=lambda name: -self.rate_at(name, now_ns))
        self.means = {name: self.means[name] for name in by_rate[: MAX_TENANTS // 2]}

    def rate_at(self, name: str, now_ns: int) -> float:
        """Return a tenant's rate in thread-seconds a second; 0 for an unknown tenant."""
        mean = self.means.get(name)
        return 0.0 if mean is None else mean.value_at(now_ns)
