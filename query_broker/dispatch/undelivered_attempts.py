"""Attempts that nobody waits for and that the system has taken, but not delivered yet.

An endpoint that hangs or is cut off takes no bytes. The end of an attempt that was sent to it may
then lie in this system's send buffer, and would reach the endpoint, and begin the attempt, when the
endpoint goes on.
"""

from __future__ import annotations

from functools import partial

from ..timer_wheel import Clock, TimerWheel
from .requests import Attempt, AttemptConnection

# Bytes that are on their way arrive within this time. An attempt may begin 100 ms after its client
# has gone at the latest.
DELIVERY_TIME_NS = 70_000_000


class UndeliveredAttempts:
    """Ends connections on which an attempt that nobody waits for has not been delivered."""

    def __init__(self, clock: Clock, timer_wheel: TimerWheel) -> None:
        """Store the clock and the timers that the checks use."""
        self._clock = clock
        self._timer_wheel = timer_wheel

    def check_later(self, attempt: Attempt, connection: AttemptConnection) -> None:
        """Keep an attempt that has been sent from beginning if it is not delivered in time."""
        if attempt.pages or not connection.is_undelivered(attempt):
            return
        self._timer_wheel.set_timer(
            self._clock.now() + DELIVERY_TIME_NS,
            partial(connection.end_if_undelivered, attempt),
        )
