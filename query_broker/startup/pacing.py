"""Call pacing: when a broker may call on what all brokers share. Performs no I/O.

Brokers that start together cannot communicate, but each knows its place in the fleet, the fleet's
size and the time. The clock is cut into windows of fleet / rate seconds, and each place has a slot
of its own in every window: no second ever has more calls than the rate plus two, whatever subset
starts and when, and however often they fail. A draw within the slot spreads brokers whose clocks
agree. After a failure the broker skips windows by full jitter, uniform below a count that doubles:
a service that is down is called less and less.
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


def call_window_ns(fleet_size: int, calls_per_s: float) -> int:
    """Return the time in which each broker of the fleet may call once, in nanoseconds."""
    return max(MIN_WINDOW_NS, int(max(1, fleet_size) / calls_per_s * NS_PER_SECOND))


def next_slot_ns(now_ns: int, place: int, fleet_size: int, calls_per_s: float, draw: float) -> int:
    """Return the first moment from now on that lies in the slot of a place.

    Args:
        now_ns: Unix time in nanoseconds, as is the answer.
        place: Place of the broker in the fleet; places past its end count modulo its size.
        fleet_size: Number of brokers.
        calls_per_s: Calls of the whole fleet.
        draw: Position within the slot, from 0 to 1.
    """
    window_ns = call_window_ns(fleet_size, calls_per_s)
    window_start_ns = now_ns - now_ns % window_ns
    offset_ns = int((place % max(1, fleet_size) + draw) / calls_per_s * NS_PER_SECOND)
    slot_ns = window_start_ns + offset_ns
    return slot_ns if slot_ns >= now_ns else slot_ns + window_ns


@dataclass(slots=True)
class PacedCalls:
    """The calls of one broker on one service.

    Attributes:
        place: Place of the broker in the fleet.
        fleet_size: Number of brokers.
        calls_per_s: Calls of the whole fleet.
        draw: Returns a random number from 0 to 1.
        failure_count: Calls that failed since the last success.
    """

    place: int
    fleet_size: int
    calls_per_s: float
    draw: Callable[[], float]
    failure_count: int = 0

    def first_call_ns(self, now_ns: int) -> int:
        """Return when to call for the first time, in Unix nanoseconds."""
        return self._next_slot_ns(now_ns)

    def retry_ns(self, now_ns: int) -> int:
        """Count a call that failed, and return when to call again, in Unix nanoseconds."""
        self.failure_count += 1
        possible_skips = min(MAX_SKIPPED_WINDOWS, 1 << min(self.failure_count, MAX_DOUBLINGS))
        skipped_windows = int(self.draw() * possible_skips)
        window_ns = call_window_ns(self.fleet_size, self.calls_per_s)
        slot_ns = self._next_slot_ns(now_ns)
        # What is left of the present slot would be a second call in the same window.
        if slot_ns - now_ns < window_ns // 2:
            skipped_windows += 1
        return slot_ns + skipped_windows * window_ns

    def succeeded(self) -> None:
        """Count a call that succeeded: the next failure is the first again."""
        self.failure_count = 0

    def _next_slot_ns(self, now_ns: int) -> int:
        return next_slot_ns(now_ns, self.place, self.fleet_size, self.calls_per_s, self.draw())


@dataclass(slots=True)
class RateLimiter:
    """Admits so many a second, one after the other.

    Attributes:
        rate_per_s: How many a second.
        next_admission_ns: When the next one is admitted, in nanoseconds.
    """

    rate_per_s: float
    next_admission_ns: int

    def try_acquire(self, now_ns: int) -> bool:
        """Return whether one may pass, and count it if so.

        What was not used is saved up for a second at most.
        """
        if now_ns < self.next_admission_ns:
            return False
        earliest_ns = max(self.next_admission_ns, now_ns - NS_PER_SECOND)
        self.next_admission_ns = earliest_ns + int(NS_PER_SECOND / self.rate_per_s)
        return True


def backoff_timeout_ns(failure_count: int, min_timeout_ns: int, max_timeout_ns: int) -> int:
    """Return how long one call may take after so many failures, in nanoseconds.

    A service that is slow under the load of a complete fleet gets more time for each call, not more
    calls.
    """
    return min(max_timeout_ns, min_timeout_ns << min(failure_count, MAX_DOUBLINGS))


def probe_slot_ns(
    now_ns: int, endpoint: int, place: int, fleet_size: int, probes_per_s: float
) -> int:
    """Return when the broker of a place probes an endpoint, in Unix nanoseconds.

    Places are rotated by the endpoint's number: the probes of many endpoints by one broker are
    spread as well as those of one endpoint by many brokers.

    Args:
        now_ns: Unix time in nanoseconds.
        endpoint: Number of the endpoint.
        place: Place of the broker in the fleet.
        fleet_size: Number of brokers.
        probes_per_s: Probes of one endpoint by the whole fleet.
    """
    return next_slot_ns(now_ns, place + endpoint, fleet_size, probes_per_s, 0.0)
