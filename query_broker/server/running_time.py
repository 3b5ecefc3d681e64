"""The time in which this process runs, for timeouts that a stall must not use up."""

from __future__ import annotations

from ..timer_wheel import Clock


class RunningTime:
    """Adds up the time between successive calls, each step up to a maximum.

    A process that is stopped, or that gets no processor for a while, does nothing of what a timeout
    gives it time for. A stall therefore counts as one step, however long it was.
    """

    def __init__(self, clock: Clock, max_step_ns: int) -> None:
        """Begin at zero.

        Args:
            clock: Gives the time in Unix nanoseconds.
            max_step_ns: The most that the time between two calls counts for.
        """
        self._clock = clock
        self._max_step_ns = max_step_ns
        self._last_ns = clock.now()
        self._elapsed_ns = 0

    def elapsed_ns(self) -> int:
        """Count the time since the last call, and return the sum in nanoseconds."""
        now_ns = self._clock.now()
        self._elapsed_ns += min(now_ns - self._last_ns, self._max_step_ns)
        self._last_ns = now_ns
        return self._elapsed_ns
