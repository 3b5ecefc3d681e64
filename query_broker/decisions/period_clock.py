"""The control period, and the detection of stalls of this process.

Performs no I/O and reads no clock: the caller passes the time of each event.
"""

from __future__ import annotations

# Control period of the fuzzy controller; `retry_after` is a fraction of it.
CONTROL_PERIOD_NS = 1_000_000_000
# A period timer that is late by more than this shows a stall of this process; usual delays are
# shorter.
STALL_THRESHOLD_NS = CONTROL_PERIOD_NS // 4


class PeriodClock:
    """Records when the control period ends and when a stall of this process was last detected.

    Attributes:
        period_due_ns: When the present period ends.
        last_stall_ns: When the last event that showed a stall was handled, or -1. Answers that this
            process did not read in time are no evidence against an endpoint.
    """

    __slots__ = ("period_due_ns", "last_stall_ns")

    def __init__(self, now_ns: int) -> None:
        """Start the first period."""
        self.period_due_ns = now_ns + CONTROL_PERIOD_NS
        self.last_stall_ns = -1

    def detect_stall(self, now_ns: int) -> None:
        """Record a stall if the period timer is far overdue at the time of an event."""
        if now_ns > self.period_due_ns + STALL_THRESHOLD_NS:
            self.last_stall_ns = now_ns

    def start_period(self, now_ns: int) -> None:
        """Start the next period."""
        self.period_due_ns = now_ns + CONTROL_PERIOD_NS
