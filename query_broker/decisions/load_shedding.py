"""The fraction of requests that are rejected, and the `retry_after` that follows from it.

Performs no I/O.
"""

from __future__ import annotations

from .active_settings import ActiveSettings
from .period_clock import PERIOD_NS


class RejectionRate:
    """Counts arrivals and rejections of a period.

    Attributes:
        arrivals: Requests that have arrived in this period.
        rejections: Requests that have been rejected in this period.
        last_fraction: Fraction of the requests that were rejected in the period before.
    """

    __slots__ = ("active", "arrivals", "last_fraction", "rejections")

    def __init__(self, active: ActiveSettings) -> None:
        """Begin the first period."""
        self.active = active
        self.arrivals = 0
        self.rejections = 0
        self.last_fraction = 0.0

    def reject(self) -> int:
        """Count a rejection and return its `retry_after` in nanoseconds.

        It is the rejected fraction times one period, as on the design page; 0 where the settings
        allow none.
        """
        self.rejections += 1
        limits = self.active.limits
        if not limits.retry_after:
            return 0
        fraction = max(self.last_fraction, self._fraction())
        return min(int(fraction * PERIOD_NS), limits.max_retry_after_ns)

    def end_period(self) -> None:
        """Begin the next period."""
        self.last_fraction = self._fraction()
        self.arrivals = 0
        self.rejections = 0

    def _fraction(self) -> float:
        return min(1.0, self.rejections / max(1, self.arrivals))
