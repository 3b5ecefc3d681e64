"""How much of its share a broker admits after a start, and what it takes for left by the dead.
Pure.

A broker that died may have left a full share of work at each engine, and one that starts knows
nothing of it. So the share that is not open yet is booked as if another process of ours had it out
there: the module bounds what it sends as ever, and decides alone. The open part grows evenly
without news, doubles a second with good news (slow start), and holds while the news is bad; it is
whole after `MOST` ramps whatever the news, since the module's own bounds hold from then on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .settings import StartupSettings

S = 1_000_000_000
PERIOD = S
GOOD = 2.0  # times the share, in a period with good news alone
BAD_PART = 0.1  # of a period's answers: more errors than that is bad news
MOST = 4  # ramps


@dataclass(slots=True)
class Ramp:
    terms: StartupSettings
    begun: int
    share: float = 0.0
    at: int = 0
    held: int = 0  # periods in which the news was bad

    def __post_init__(self) -> None:
        self.share, self.at = self.terms.floor, self.begun

    @property
    def step(self) -> float:
        """The growth of one period without news: from the floor to the whole within the ramp."""
        return float((1 / max(self.terms.floor, 1e-3)) ** (PERIOD / max(PERIOD, self.terms.ramp)))

    def period(self, now: int, good: int, bad: int) -> float:
        """The share from now on. ``good``, ``bad``: answers and failures since the last period."""
        if now - self.at < PERIOD:
            return self.share
        self.at = now
        if bad > BAD_PART * (good + bad):
            self.held += 1
        else:
            self.share *= max(GOOD, self.step) if good else self.step
        if now - self.begun >= MOST * self.terms.ramp:
            self.share = 1.0
        self.share = 1.0 if self.share > 1 - 1e-9 else self.share
        return self.share

    def over(self) -> bool:
        return self.share >= 1.0


def assumed(share: float, threads: float, bound: float, widest: int) -> tuple[int, int]:
    """What is booked as left at one engine: threads and backlog. Danger: where the open part is
    less than one query nothing would ever be sent, and no news could come: room for one is always
    left.
    """
    open_threads = max(float(widest), share * threads)
    return max(0, math.floor(threads - open_threads)), max(0, int(bound * (1 - share)))


def pause(told: int, left: int, most: int, draw: float) -> int:
    """How long a refused client is told to stay away, ns, with ``left`` of the ramp to go: what the
    module says, or a draw from 0 to 1 over what is left if that is longer. Danger: all that were
    refused in its first second would be back in its second.
    """
    return told if most <= 0 else max(told, min(most, int(draw * left)))
