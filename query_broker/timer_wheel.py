"""One clock and one timer wheel with coarse ticks."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Unix nanoseconds that never step: the monotonic clock, anchored to Unix time once."""

    def __init__(self) -> None:
        self.anchor = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self.anchor


class Timer:
    __slots__ = ("due", "call")

    def __init__(self, due: int, call: Callable[[], None]) -> None:
        self.due, self.call = due, call

    def cancel(self) -> None:
        self.call = _nothing


def _nothing() -> None:
    pass


class TimerWheel:
    """Timers in slots by tick. A timer never fires early and at most one tick (and the caller's
    lag) late.
    """

    SLOTS = 1_024

    def __init__(self, tick: int, now: int) -> None:
        self.tick_ns, self.origin, self.current = tick, now, 0
        self.slots: list[list[Timer]] = [[] for _ in range(self.SLOTS)]
        self.rests_until = 0  # the tick at which `advance` is called next
        self.sooner: Callable[[], None] = _nothing  # called where a timer falls due before that

    def at(self, when: int, call: Callable[[], None]) -> Timer:
        due = max(self.current + 1, -((self.origin - when) // self.tick_ns))
        timer = Timer(due, call)
        self.slots[due % self.SLOTS].append(timer)
        if due < self.rests_until:
            self.rests_until = due
            self.sooner()
        return timer

    def soon(self) -> None:
        """Something waits for the next tick that is no timer."""
        self.at(0, lambda: None)

    def rest(self, now: int, longest: int) -> int:
        """How long, in nanoseconds, nothing falls due: `longest` at the most, a tick at the least.
        Danger: a wheel that turns at every tick wakes an idle broker 200 times a second.
        """
        most = max(self.current + 1, (now + longest - self.origin) // self.tick_ns)
        self.rests_until = next(
            (
                t
                for t in range(self.current + 1, most)
                if any(
                    timer.due <= t and timer.call is not _nothing
                    for timer in self.slots[t % self.SLOTS]
                )
            ),
            most,
        )
        return self.until(now)

    def until(self, now: int) -> int:
        """Nanoseconds to the tick that is rested for."""
        return max(0, self.origin + self.rests_until * self.tick_ns - now)

    def advance(self, now: int) -> None:
        """Fire what is due, tick by tick. Each slot is taken out first: calls may add timers."""
        target = (now - self.origin) // self.tick_ns
        while self.current < target:
            self.current += 1
            index = self.current % self.SLOTS
            if not self.slots[index]:
                continue
            timers, self.slots[index] = self.slots[index], []
            later = [t for t in timers if t.due > self.current and t.call is not _nothing]
            self.slots[index].extend(later)
            for timer in timers:
                if timer.due <= self.current:
                    timer.call()
