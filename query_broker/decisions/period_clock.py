"""The control period, and the detection of stalls of this process.

Performs no I/O and reads no clock: the time of each event is the caller's.
"""

from __future__ import annotations

# Control period of the paper's controller; also the unit of `retry_after`.
PERIOD_NS = 1_000_000_000
# A period timer that is later than this shows a stall of this process; usual delays are shorter.
STALL_NS = PERIOD_NS // 4


class PeriodClock:
    """Records when the period ends and when a stall of this process was last detected.

    Attributes:
        period_due_ns: When the present period ends.
        stalled_at_ns: Time of the last event that came after a stall, or -1. Endpoints must not be
            judged by answers that this process did not read in time.
    """

    __slots__ = ("period_due_ns", "stalled_at_ns")

    def __init__(self, now_ns: int) -> None:
        """Begin the first period."""
        self.period_due_ns = now_ns + PERIOD_NS
        self.stalled_at_ns = -1

    def observe(self, now_ns: int) -> None:
        """Record the time of an event; it shows a stall where the period timer is far overdue."""
        if now_ns > self.period_due_ns + STALL_NS:
            self.stalled_at_ns = now_ns

    def start_period(self, now_ns: int) -> None:
        """Begin the next period."""
        self.period_due_ns = now_ns + PERIOD_NS
