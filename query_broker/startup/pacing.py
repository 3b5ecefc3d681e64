"""When a broker may call on what all brokers share. Pure.

Brokers that start together can't talk, but each knows its place `me`, the size of the fleet and the
time. The clock is cut into windows of fleet / rate seconds, and each place has a slot of its own in
every window: so that no second ever holds more calls than the rate and two, whatever subset starts
and when, and however often they fail. A draw within the slot takes the edge off clocks that agree.
What fails skips windows by full jitter (uniform below a count that doubles): a service that is down
hears less and less.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

S = 1_000_000_000
LEAST_WINDOW = S // 5  # one broker alone does not ask more often than that
MOST_SKIPPED = 4  # windows


def window(fleet: int, rate: float) -> int:
    """Nanoseconds in which each of the fleet may call once."""
    return max(LEAST_WINDOW, int(max(1, fleet) / rate * S))


def slot(now: int, place: int, fleet: int, rate: float, draw: float) -> int:
    """The first moment from now on, in Unix nanoseconds, that lies in this place's slot; ``draw``
    from 0 to 1.
    """
    whole = window(fleet, rate)
    at = now - now % whole + int((place % max(1, fleet) + draw) / rate * S)
    return at if at >= now else at + whole


@dataclass(slots=True)
class Calls:
    """One broker's calls on one service."""

    me: int
    fleet: int
    rate: float
    draw: Callable[[], float]
    failed: int = 0

    def first(self, now: int) -> int:
        return slot(now, self.me, self.fleet, self.rate, self.draw())

    def again(self, now: int) -> int:
        """After a call that failed. Danger: the rest of the present slot would be a second call in
        it.
        """
        self.failed += 1
        skipped = int(self.draw() * min(MOST_SKIPPED, 1 << min(self.failed, 20)))
        whole = window(self.fleet, self.rate)
        at = slot(now, self.me, self.fleet, self.rate, self.draw())
        return at + (skipped + (at - now < whole // 2)) * whole

    def succeeded(self) -> None:
        self.failed = 0


@dataclass(slots=True)
class Gate:
    """How many new ones a second are let through, one after the other."""

    rate: float
    next_at: int

    def free(self, now: int) -> bool:
        """True: one may pass, and it is counted. What was not used in the last second is lost."""
        if now < self.next_at:
            return False
        self.next_at = max(self.next_at, now - S) + int(S / self.rate)
        return True


def time_out(failed: int, least: int, most: int) -> int:
    """How long one call may take: a service that is slow under a whole fleet is waited for longer
    each time, not asked more often.
    """
    return min(most, least << min(failed, 20))


def probe_at(now: int, engine: int, me: int, fleet: int, rate: float) -> int:
    """When the broker of this place probes this engine: places are turned by the engine's number,
    so that one broker's probes of many engines are spread as well as many brokers' of one.
    """
    return slot(now, me + engine, fleet, rate, 0.0)
