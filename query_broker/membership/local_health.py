"""How far we may trust our own senses, and how long each peer takes to answer. Pure.

Lifeguard's local health multiplier: a process that answers late, or whose network is cut, sees
everybody else as dead. What makes us doubt ourselves raises a score, what reassures us lowers it,
and all our time-outs and the suspicions that we hold grow with it.
"""

from __future__ import annotations

from dataclasses import dataclass

S = 1_000_000_000
MOST = 8
RECOVER = 5  # intervals
DOUBTFUL = 3
GAIN, VARIANCE_GAIN = 0.125, 0.25  # of a round trip's mean and deviation, as TCP's
SLACK = 20_000_000  # ns that our own ticks take
MOST_TIME_OUT = 6 * S


@dataclass(slots=True)
class Health:
    interval: int
    score: int = 0
    failed: int = 0  # probes in turn without any word back
    recovers_at: int = 0  # we stood still; until then we accuse nobody, unless we hear an answer
    pauses: int = 0

    def doubt(self, by: int = 1) -> None:
        self.score = min(MOST, self.score + by)

    def reassured(self) -> bool:
        """An answer. True: until now we had reason to doubt ourselves, and what we hold against
        others is of that time.
        """
        doubtful = self.score >= DOUBTFUL or self.failed >= DOUBTFUL or self.recovers_at > 0
        self.score, self.failed, self.recovers_at = max(0, self.score - 1), 0, 0
        return doubtful

    def stood_still(self, now: int, late: int) -> bool:
        """Our own timer was so much late. Danger: one that was paused wakes to time-outs of
        everybody else.
        """
        if late < max(self.interval // 2, S // 4):
            return False
        self.doubt(2)
        self.recovers_at, self.pauses = now + RECOVER * self.slowed(self.interval), self.pauses + 1
        return True

    def isolated(self, others: int) -> bool:
        """Nobody answers at all: it is more likely us."""
        return self.failed >= min(3, others) > 1

    def slowed(self, span: int) -> int:
        return span * (1 + self.score)


@dataclass(slots=True)
class RoundTrip:
    """Of one peer, ns; 0: not known yet."""

    mean: float = 0.0
    deviation: float = 0.0

    def learn(self, took: int) -> None:
        if not self.mean:
            self.mean, self.deviation = float(took), took / 2
            return
        self.deviation += VARIANCE_GAIN * (abs(took - self.mean) - self.deviation)
        self.mean += GAIN * (took - self.mean)

    def time_out(self, interval: int, usual: RoundTrip | None = None) -> int:
        """``usual``: that of all peers, for one that is not known yet."""
        if not self.mean:
            return (
                interval * 2 // 5
                if usual is None
                else max(interval * 2 // 5, usual.time_out(interval))
            )
        return int(min(MOST_TIME_OUT, max(interval // 5, self.mean + 4 * self.deviation + SLACK)))
