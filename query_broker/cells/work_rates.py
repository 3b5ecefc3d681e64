"""The rate at which each tenant brings work: an exponentially decaying mean.

Rates are in thread-seconds a second, times in integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

#: Work that came this long ago counts 1/e.
DECAY_TIME_CONSTANT_NS = 60_000_000_000
#: How many tenants have a rate; where no tenants are configured, clients name any they like.
MAX_TENANTS = 4_096


class DecayingMean(NamedTuple):
    """A mean as it stood at one time.

    Attributes:
        rate: Thread-seconds a second.
        at_ns: The time at which it had this value.
    """

    rate: float
    at_ns: int

    def value_at(self, now_ns: int) -> float:
        """Return the rate that is left of it now."""
        return self.rate * math.exp((self.at_ns - now_ns) / DECAY_TIME_CONSTANT_NS)


@dataclass(slots=True)
class WorkRates:
    """The rates of all tenants.

    Attributes:
        means: The mean of each tenant that has brought work.
        pending_work_ns: Work that came since the last `update_means`, in thread-nanoseconds.
    """

    means: dict[str, DecayingMean] = field(default_factory=dict)
    pending_work_ns: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, work_ns: int) -> None:
        """Account work in thread-nanoseconds; this runs for every request."""
        self.pending_work_ns[name] = self.pending_work_ns.get(name, 0) + work_ns

    def update_means(self, now_ns: int) -> None:
        """Take the work that came since the last call into the means."""
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
        """Return a tenant's rate in thread-seconds a second; 0 for one that is not known."""
        mean = self.means.get(name)
        return 0.0 if mean is None else mean.value_at(now_ns)
