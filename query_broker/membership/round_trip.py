"""Estimates of round-trip times and the ack timeouts derived from them, as in TCP (RFC 6298).

Performs no I/O. Times are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .settings import NS_PER_S

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4
#: Allowance for the delay that the ticks of this process add to an ack.
TICK_SLACK_NS = 20_000_000
MAX_TIMEOUT_NS = 6 * NS_PER_S


def default_timeout_ns(interval_ns: int) -> int:
    """Return the ack timeout while no round trip has been measured."""
    return interval_ns * 2 // 5


@dataclass(slots=True)
class RoundTripEstimator:
    """Smoothed mean and deviation of a round-trip time; 0 until the first measurement."""

    mean_ns: float = 0.0
    deviation_ns: float = 0.0

    def record(self, elapsed_ns: int) -> None:
        """Add a measured round trip."""
        if not self.mean_ns:
            self.mean_ns = float(elapsed_ns)
            self.deviation_ns = elapsed_ns / 2
            return
        error_ns = abs(elapsed_ns - self.mean_ns)
        self.deviation_ns += DEVIATION_GAIN * (error_ns - self.deviation_ns)
        self.mean_ns += MEAN_GAIN * (elapsed_ns - self.mean_ns)

    def timeout_ns(self, interval_ns: int, overall: RoundTripEstimator | None = None) -> int:
        """Return how long to wait for an ack.

        Args:
            interval_ns: Time between two pings.
            overall: Estimate over all members, used until this member has been measured.
        """
        if self.mean_ns:
            estimate_ns = self.mean_ns + DEVIATION_FACTOR * self.deviation_ns + TICK_SLACK_NS
            return int(min(MAX_TIMEOUT_NS, max(interval_ns // 5, estimate_ns)))
        if overall is None:
            return default_timeout_ns(interval_ns)
        return max(default_timeout_ns(interval_ns), overall.timeout_ns(interval_ns))
