"""Health of this process itself: how reliable its observations of others are.

Implements Lifeguard's local health multiplier (section IV.A): to a process that is slow or cut off,
all other members appear dead. Signs of a fault of this process raise the score, and acks lower it.
The timeouts and suspicions of this process are extended in proportion. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from .settings import NS_PER_S

MAX_SCORE = 8
RECOVERY_INTERVALS = 5
#: Score, or number of consecutive failed pings, from which own observations are unreliable.
UNRELIABLE_THRESHOLD = 3
PAUSE_PENALTY_POINTS = 2
MIN_PAUSE_NS = NS_PER_S // 4
#: Consecutive failed pings from which this process is considered isolated.
ISOLATION_FAILED_PINGS = 3


@dataclass(slots=True)
class LocalHealth:
    """The health score of this process.

    Attributes:
        interval_ns: Time between two pings.
        score: 0 when healthy, up to `MAX_SCORE`.
        failed_pings: Consecutive pings that neither the target nor a helper answered.
        recovers_at_ns: End of the time after a pause in which this process suspects and removes no
            member; an ack ends it early.
        pause_count: How often this process has paused.
    """

    interval_ns: int
    score: int = 0
    failed_pings: int = 0
    recovers_at_ns: int = 0
    pause_count: int = 0

    def penalize(self, points: int = 1) -> None:
        """Raise the score, up to its maximum."""
        self.score = min(MAX_SCORE, self.score + points)

    def record_ack(self) -> bool:
        """Lower the score after an ack; return whether own observations were unreliable until now.

        If so, open suspicions may be due to a fault of this process.
        """
        was_unreliable = (
            self.score >= UNRELIABLE_THRESHOLD
            or self.failed_pings >= UNRELIABLE_THRESHOLD
            or self.recovers_at_ns > 0
        )
        self.score = max(0, self.score - 1)
        self.failed_pings = 0
        self.recovers_at_ns = 0
        return was_unreliable

    def record_lateness(self, now_ns: int, late_ns: int) -> bool:
        """Record how late this process's timer fired; return whether the process was paused.

        When a paused process resumes, its timeouts for all other members have expired, although
        these may have answered; it must not act on such timeouts.
        """
        if late_ns < max(self.interval_ns // 2, MIN_PAUSE_NS):
            return False
        self.penalize(PAUSE_PENALTY_POINTS)
        self.recovers_at_ns = now_ns + RECOVERY_INTERVALS * self.extended_ns(self.interval_ns)
        self.pause_count += 1
        return True

    def is_isolated(self, other_members: int) -> bool:
        """Return whether no member answers, which indicates a fault of this process."""
        return self.failed_pings >= min(ISOLATION_FAILED_PINGS, other_members) > 1

    def extended_ns(self, duration_ns: int) -> int:
        """Return a timeout extended in proportion to the score."""
        return duration_ns * (1 + self.score)
