"""The clock of a process, and a timer wheel with coarse ticks.

The wheel performs no I/O and reads no clock: its caller says what time it is. All times are Unix
nanoseconds, all durations nanoseconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol


class Clock:
    """Unix nanoseconds that never step: the monotonic clock, anchored to Unix time once."""

    def __init__(self) -> None:
        """Anchor the clock to the present Unix time."""
        self.anchor = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the time in Unix nanoseconds."""
        return time.monotonic_ns() + self.anchor


class Timer:
    """One call that is due at a tick.

    Attributes:
        due_tick: The tick of the wheel at which it fires.
        call: What is called then.
    """

    __slots__ = ("call", "due_tick")

    def __init__(self, due_tick: int, call: Callable[[], None]) -> None:
        """Made by `TimerWheel.at` alone."""
        self.due_tick = due_tick
        self.call = call

    def cancel(self) -> None:
        """Make the timer do nothing when it is due; harmless if it has fired."""
        self.call = _nothing


def _nothing() -> None:
    """Do nothing: what a cancelled timer calls."""


class TimerWheelOwner(Protocol):
    """Advances a timer wheel, and rests until the tick that `idle_ns` has named."""

    def wake(self) -> None:
        """Called when a timer has been set that is due before that tick."""


class TimerWheel:
    """Timers in slots by tick.

    A timer never fires early, and at most one tick (and the caller's lag) late. The timers of one
    tick fire in the order in which they were set.

    Attributes:
        tick_ns: The length of a tick.
    """

    #: Slots of the wheel. With ticks of 5 ms it turns once in 5 s; a timer that is due later is
    #: looked at once a turn.
    SLOTS = 1_024

    def __init__(self, tick_ns: int, now_ns: int) -> None:
        """Make an empty wheel whose tick 0 is ``now_ns``."""
        self.tick_ns = tick_ns
        self._owner: TimerWheelOwner | None = None
        self._origin_ns = now_ns
        self._current_tick = 0
        self._slots: list[list[Timer]] = [[] for _ in range(self.SLOTS)]
        self._wake_tick = 0  # the tick at which the owner calls `advance` next

    def set_owner(self, owner: TimerWheelOwner) -> None:
        """Register who advances the wheel, before its first rest."""
        self._owner = owner

    def set_timer(self, when: int, call: Callable[[], None]) -> Timer:
        """Set a timer for the first tick at or after ``when``, the next one at the earliest."""
        # The double negation rounds up.
        due_tick = max(self._current_tick + 1, -((self._origin_ns - when) // self.tick_ns))
        timer = Timer(due_tick, call)
        self._slots[due_tick % self.SLOTS].append(timer)
        if due_tick < self._wake_tick:
            self._wake_tick = due_tick
            if self._owner is not None:
                self._owner.wake()
        return timer

    def wake_next_tick(self) -> None:
        """Make the next tick come: something waits for it that isn't a timer."""
        self.set_timer(0, lambda: None)

    def idle_ns(self, now_ns: int, longest_ns: int) -> int:
        """Return for how long nothing is due: ``longest_ns`` at most, one tick at least.

        A wheel that turned at every tick would wake an idle broker 200 times a second.
        """
        last_tick = max(
            self._current_tick + 1, (now_ns + longest_ns - self._origin_ns) // self.tick_ns
        )
        self._wake_tick = last_tick
        for tick in range(self._current_tick + 1, last_tick):
            if self._is_due(tick):
                self._wake_tick = tick
                break
        return self.ns_until_wake(now_ns)

    def ns_until_wake(self, now_ns: int) -> int:
        """Return the time that is left to the tick which `idle_ns` has named."""
        return max(0, self._origin_ns + self._wake_tick * self.tick_ns - now_ns)

    def advance(self, now_ns: int) -> None:
        """Fire what is due, tick by tick.

        Each slot is emptied before its timers fire, since their calls may set new ones.
        """
        target_tick = (now_ns - self._origin_ns) // self.tick_ns
        while self._current_tick < target_tick:
            self._current_tick += 1
            index = self._current_tick % self.SLOTS
            if self._slots[index]:
                self._fire(index)

    def _is_due(self, tick: int) -> bool:
        slot = self._slots[tick % self.SLOTS]
        # Most slots are empty, and `idle_ns` looks at fifty of them whenever the broker falls idle.
        return bool(slot) and any(
            timer.due_tick <= tick and timer.call is not _nothing for timer in slot
        )

    def _fire(self, index: int) -> None:
        current_tick = self._current_tick
        timers = self._slots[index]
        self._slots[index] = [
            timer
            for timer in timers
            if timer.due_tick > current_tick and timer.call is not _nothing
        ]
        for position, timer in enumerate(timers):
            if timer.due_tick > current_tick:
                continue
            try:
                timer.call()
            except Exception:
                self._postpone(timers[position + 1 :])
                raise

    def _postpone(self, timers: list[Timer]) -> None:
        """Let timers fire at the next tick, since the call of one before them has raised.

        An attempt whose timeout was lost would never end.
        """
        next_tick = self._current_tick + 1
        for timer in timers:
            if timer.due_tick < next_tick:
                timer.due_tick = next_tick
                self._slots[next_tick % self.SLOTS].append(timer)
