"""The clock of a process, and a timer wheel with coarse ticks.

The wheel performs no I/O and reads no clock: its caller passes the current time. All times are Unix
nanoseconds, all durations nanoseconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol


class Clock:
    """A monotonic clock in Unix nanoseconds: its offset to Unix time is read once, at the start."""

    def __init__(self) -> None:
        """Read the offset between the monotonic clock and Unix time."""
        self.unix_offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the time in Unix nanoseconds."""
        return time.monotonic_ns() + self.unix_offset_ns


class Timer:
    """One callback that is due at a tick.

    Attributes:
        due_tick: The tick of the wheel at which the timer fires.
        callback: Called when the timer fires.
    """

    __slots__ = ("callback", "due_tick")

    def __init__(self, due_tick: int, callback: Callable[[], None]) -> None:
        """Create a timer; only `TimerWheel.set_timer` does this."""
        self.due_tick = due_tick
        self.callback = callback

    def cancel(self) -> None:
        """Prevent the callback; does nothing if the timer has fired."""
        self.callback = _do_nothing


def _do_nothing() -> None:
    """Do nothing: the callback of a cancelled timer."""


class TimerWheelOwner(Protocol):
    """Advances a timer wheel, and sleeps for the time that `TimerWheel.idle_ns` returns."""

    def wake(self) -> None:
        """Called when a timer is set that is due before the owner would wake."""


class TimerWheel:
    """Timers in slots by tick.

    A timer never fires early. It fires at most one tick late, plus the delay of the caller. The
    timers of one tick fire in the order in which they were set.

    Attributes:
        tick_ns: The length of a tick.
    """

    #: Number of slots. With ticks of 5 ms one revolution takes 5 s; a timer that is due later stays
    #: in its slot and is checked once per revolution.
    SLOTS = 1_024

    def __init__(self, tick_ns: int, now_ns: int) -> None:
        """Create an empty wheel whose tick 0 is at ``now_ns``."""
        self.tick_ns = tick_ns
        self._owner: TimerWheelOwner | None = None
        self._origin_ns = now_ns
        self._current_tick = 0
        self._slots: list[list[Timer]] = [[] for _ in range(self.SLOTS)]
        self._wake_tick = 0  # the tick at which the owner calls `advance` next

    def set_owner(self, owner: TimerWheelOwner) -> None:
        """Register the owner that advances the wheel, before the owner first sleeps."""
        self._owner = owner

    def set_timer(self, due_ns: int, callback: Callable[[], None]) -> Timer:
        """Set a timer for the first tick at or after ``due_ns``, at the earliest the next tick."""
        # The double negation rounds up.
        due_tick = max(self._current_tick + 1, -((self._origin_ns - due_ns) // self.tick_ns))
        timer = Timer(due_tick, callback)
        self._slots[due_tick % self.SLOTS].append(timer)
        if due_tick < self._wake_tick:
            self._wake_tick = due_tick
            if self._owner is not None:
                self._owner.wake()
        return timer

    def wake_next_tick(self) -> None:
        """Make the owner wake for the next tick, for work that is not a timer."""
        self.set_timer(0, lambda: None)

    def idle_ns(self, now_ns: int, max_idle_ns: int) -> int:
        """Return how long no timer is due: ``max_idle_ns`` at most, one tick at least.

        Advancing the wheel at every tick would wake an idle broker 200 times a second.
        """
        last_tick = max(
            self._current_tick + 1, (now_ns + max_idle_ns - self._origin_ns) // self.tick_ns
        )
        self._wake_tick = last_tick
        for tick in range(self._current_tick + 1, last_tick):
            if self._is_due(tick):
                self._wake_tick = tick
                break
        return self.ns_until_wake(now_ns)

    def ns_until_wake(self, now_ns: int) -> int:
        """Return the time until the owner must wake, as set by `idle_ns` and later timers."""
        return max(0, self._origin_ns + self._wake_tick * self.tick_ns - now_ns)

    def advance(self, now_ns: int) -> None:
        """Fire the timers that are due, tick by tick.

        Timers that are due leave their slot before they fire, since their callbacks may set new
        timers.
        """
        target_tick = (now_ns - self._origin_ns) // self.tick_ns
        while self._current_tick < target_tick:
            self._current_tick += 1
            index = self._current_tick % self.SLOTS
            if self._slots[index]:
                self._fire(index)

    def _is_due(self, tick: int) -> bool:
        slot = self._slots[tick % self.SLOTS]
        # Most slots are empty, and `idle_ns` checks fifty of them each time the broker goes idle.
        return bool(slot) and any(
            timer.due_tick <= tick and timer.callback is not _do_nothing for timer in slot
        )

    def _fire(self, index: int) -> None:
        current_tick = self._current_tick
        timers = self._slots[index]
        self._slots[index] = [
            timer
            for timer in timers
            if timer.due_tick > current_tick and timer.callback is not _do_nothing
        ]
        for position, timer in enumerate(timers):
            if timer.due_tick > current_tick:
                continue
            try:
                timer.callback()
            except Exception:
                self._postpone(timers[position + 1 :])
                raise

    def _postpone(self, timers: list[Timer]) -> None:
        """Move timers to the next tick, since the callback of an earlier one has raised.

        If the timers were dropped, an attempt whose timeout is among them would never end.
        """
        next_tick = self._current_tick + 1
        for timer in timers:
            if timer.due_tick < next_tick:
                timer.due_tick = next_tick
                self._slots[next_tick % self.SLOTS].append(timer)
