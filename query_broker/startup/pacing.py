"""Call pacing: when a broker may call on what all brokers share. Performs no I/O.

Brokers that start together can't talk, but each knows its place in the fleet, the fleet's size and
the time. The clock is cut into windows of fleet / rate seconds, and each place has a slot of its
own in every window: no second ever holds more calls than the rate and two, whatever subset starts
and when, and however often they fail. A draw within the slot spreads brokers whose clocks agree.
A call that fails skips windows by full jitter, uniform below a count that doubles: a service that
is down is called less and less.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .settings import NS_PER_SECOND

#: One broker alone does not call more often than once in this time.
MIN_WINDOW_NS = NS_PER_SECOND // 5

#: Windows that a failed call skips at most: after an outage each broker is back within five.
MAX_SKIPPED_WINDOWS = 4

#: Failures after which nothing doubles any more, so that no number grows without bound.
MAX_DOUBLINGS = 20


def call_window_ns(fleet: int, rate: float) -> int:
    """Return the time in which each broker of the fleet may call once, in nanoseconds."""
    return max(MIN_WINDOW_NS, int(max(1, fleet) / rate * NS_PER_SECOND))


def next_slot_ns(now: int, place: int, fleet: int, rate: float, draw: float) -> int:
    """Return the first moment from now on that lies in the slot of a place.

    Args:
        now: Unix time in nanoseconds, as is the answer.
        place: Place of the broker in the fleet; places past its end count modulo its size.
        fleet: Number of brokers.
        rate: Calls a second of the whole fleet.
        draw: Where in the slot, from 0 to 1.
    """
    window_ns = call_window_ns(fleet, rate)
    window_start = now - now % window_ns
    at = window_start + int((place % max(1, fleet) + draw) / rate * NS_PER_SECOND)
    return at if at >= now else at + window_ns


@dataclass(slots=True)
class PacedCalls:
    """The calls of one broker on one service.

    Attributes:
        place: Place of the broker in the fleet.
        fleet_size: Number of brokers.
        rate: Calls a second of the whole fleet.
        draw: Returns a random number from 0 to 1.
        failed: Calls that failed since the last success.
    """

    place: int
    fleet_size: int
    rate: float
    draw: Callable[[], float]
    failed: int = 0

    def first_at(self, now: int) -> int:
        """Return when to call for the first time, in Unix nanoseconds."""
        return self._slot(now)

    def retry_at(self, now: int) -> int:
        """Count a call that failed, and return when to call again, in Unix nanoseconds."""
        self.failed += 1
        possible_skips = min(MAX_SKIPPED_WINDOWS, 1 << min(self.failed, MAX_DOUBLINGS))
        skipped = int(self.draw() * possible_skips)
        window_ns = call_window_ns(self.fleet_size, self.rate)
        at = self._slot(now)
        # What is left of the present slot would be a second call in the same window.
        if at - now < window_ns // 2:
            skipped += 1
        return at + skipped * window_ns

    def succeeded(self) -> None:
        """Count a call that succeeded: the next failure is the first again."""
        self.failed = 0

    def _slot(self, now: int) -> int:
        return next_slot_ns(now, self.place, self.fleet_size, self.rate, self.draw())


@dataclass(slots=True)
class RateLimiter:
    """Admits so many a second, one after the other.

    Attributes:
        rate: How many a second.
        next_at: When the next one is admitted, in nanoseconds.
    """

    rate: float
    next_at: int

    def try_acquire(self, now: int) -> bool:
        """Return whether one may pass, and count it if so.

        What was not used is saved up for a second at most.
        """
        if now < self.next_at:
            return False
        self.next_at = max(self.next_at, now - NS_PER_SECOND) + int(NS_PER_SECOND / self.rate)
        return True


def backoff_timeout_ns(failed: int, least_ns: int, most_ns: int) -> int:
    """Return how long one call may take after so many failures, in nanoseconds.

    A service that is slow under a whole fleet is waited for longer each time, not called more
    often.
    """
    return min(most_ns, least_ns << min(failed, MAX_DOUBLINGS))


def probe_slot_ns(now: int, engine: int, me: int, fleet: int, rate: float) -> int:
    """Return when the broker of a place probes an endpoint, in Unix nanoseconds.

    Places are rotated by the endpoint's number: the probes of many endpoints by one broker are
    spread as well as those of one endpoint by many brokers.
    """
    return next_slot_ns(now, me + engine, fleet, rate, 0.0)
