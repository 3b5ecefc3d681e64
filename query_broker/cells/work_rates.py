"""How much work each tenant brings: a mean that fades, in thread-seconds a second. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

SPAN = 60_000_000_000  # ns; what came so long ago counts 1/e
MOST = 4_096  # tenants whose rate is kept


@dataclass(slots=True)
class Rates:
    held: dict[str, tuple[float, int]] = field(default_factory=dict)
    new: dict[str, int] = field(default_factory=dict)  # work that came since the last `fold`

    def add(self, name: str, work: int) -> None:
        """``work`` in thread-nanoseconds. On every request's path: only booked."""
        self.new[name] = self.new.get(name, 0) + work

    def fold(self, now: int) -> None:
        """Now and then: what has come goes into the means."""
        new, self.new = self.new, {}
        for name, work in new.items():
            self._fold(name, work, now)

    def _fold(self, name: str, work: int, now: int) -> None:
        rate, at = self.held.get(name, (0.0, now))
        self.held[name] = rate * math.exp((at - now) / SPAN) + work / SPAN, now
        if len(self.held) > MOST:  # danger: where no tenants are set, clients name any they like
            kept = sorted(self.held, key=lambda n: -self.at(n, now))[: MOST // 2]
            self.held = {n: self.held[n] for n in kept}

    def at(self, name: str, now: int) -> float:
        rate, at = self.held.get(name, (0.0, now))
        return rate * math.exp((at - now) / SPAN)
