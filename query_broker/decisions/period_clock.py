"""The control period, and the detection of times at which this process stood still.

Performs no I/O and reads no clock: the time of each event is the caller's.
"""

from __future__ import annotations

# The paper's controller runs once a second; the unit of `retry_after` as well.
PERIOD_NS = 1_000_000_000
# A period timer that is this late shows that this process stood still; usual delays are shorter.
STALL_NS = PERIOD_NS // 4


class PeriodClock:
    """Knows when the period ends and when a stall of this process was last noticed.

    Attributes:
        stalled_at_ns: Time of the last event that came after a stall, or -1. Endpoints must not be
            judged by what this process did not read in time.
    """

    __slots__ = ("period_due_ns", "stalled_at_ns")

    def __init__(self, now: int) -> None:
        """Begin the first period."""
        self.period_due_ns = now + PERIOD_NS
        self.stalled_at_ns = -1

    def observe(self, now: int) -> None:
        """Note the time of an event; it is a stall where the period timer is far overdue."""
        if now > self.period_due_ns + STALL_NS:
            self.stalled_at_ns = now

    def start_period(self, now: int) -> None:
        """Begin the next period."""
        self.period_due_ns = now + PERIOD_NS
