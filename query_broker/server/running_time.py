"""A stopwatch that limits how much a stall of this process counts, for use in timeouts."""

from __future__ import annotations

from ..timer_wheel import Clock


class RunningTime:
    """Adds up the time between successive calls, where each step counts up to a maximum.

    A process that is stopped, or gets no processor time, can't use the time that a timeout allows
    for its work. A stall therefore counts as one step, however long it was.
    """

    def __init__(self, clock: Clock, max_step_ns: int) -> None:
        """Start at zero.

        Args:
            clock: Gives the time in Unix nanoseconds.
            max_step_ns: The largest step; a longer time between two calls counts as this much.
        """
        self._clock = clock
        self._max_step_ns = max_step_ns
        self._last_ns = clock.now()
        self._elapsed_ns = 0

    def elapsed_ns(self) -> int:
        """Add the time since the last call, and return the sum in nanoseconds."""
        now_ns = self._clock.now()
        self._elapsed_ns += min(now_ns - self._last_ns, self._max_step_ns)
        self._last_ns = now_ns
        return self._elapsed_ns
