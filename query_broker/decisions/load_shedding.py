"""The fraction of requests that are rejected, and the `retry_after` derived from it.

Performs no I/O.
"""

from __future__ import annotations

from .active_settings import ActiveSettings
from .period_clock import CONTROL_PERIOD_NS


class RejectionRate:
    """Counts the arrivals and rejections of a control period.

    Attributes:
        arrival_count: Number of requests that have arrived in this period.
        rejection_count: Number of requests that have been rejected in this period.
        previous_rejected_fraction: Rejected fraction of the requests of the previous period.
    """

    __slots__ = (
        "active_settings",
        "arrival_count",
        "previous_rejected_fraction",
        "rejection_count",
    )

    def __init__(self, active_settings: ActiveSettings) -> None:
        """Start the first period."""
        self.active_settings = active_settings
        self.arrival_count = 0
        self.rejection_count = 0
        self.previous_rejected_fraction = 0.0

    def count_rejection(self) -> int:
        """Count a rejection and return its `retry_after` in nanoseconds.

        It is the rejected fraction times one period, as the design page defines; 0 if the settings
        do not allow a `retry_after`.
        """
        self.rejection_count += 1
        limits = self.active_settings.limits
        if not limits.retry_after:
            return 0
        fraction = max(self.previous_rejected_fraction, self._rejected_fraction())
        return min(int(fraction * CONTROL_PERIOD_NS), limits.max_retry_after_ns)

    def end_period(self) -> None:
        """Start the next period."""
        self.previous_rejected_fraction = self._rejected_fraction()
        self.arrival_count = 0
        self.rejection_count = 0

    def _rejected_fraction(self) -> float:
        return min(1.0, self.rejection_count / max(1, self.arrival_count))
