"""Call pacing: when a broker may call a service that all brokers share. Performs no I/O.

Brokers that start together cannot communicate, but each knows its index in the fleet, the fleet's
size and the time. Time is divided into windows of fleet size / rate seconds, and each broker has
one slot in every window. So no second has more calls than the rate plus two, regardless of which
brokers start, when they start and how often their calls fail. A random position within the slot
spreads the calls further. After a failure the broker skips a random number of windows (full
jitter) below a limit that doubles with each failure, so that an unavailable service is called less
often.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .settings import NS_PER_SECOND

#: Shortest window; limits how often a broker of a small fleet calls.
MIN_WINDOW_NS = NS_PER_SECOND // 5

#: Limit on the windows skipped after a failure: each broker reconnects within five windows.
MAX_SKIPPED_WINDOWS = 4

#: Failures after which delays and timeouts no longer double, so that no number grows unbounded.
MAX_DOUBLINGS = 20


def call_window_ns(fleet_size: int, calls_per_s: float) -> int:
    """Return the time in which each broker of the fleet may call once, in nanoseconds."""
    return max(MIN_WINDOW_NS, int(max(1, fleet_size) / calls_per_s * NS_PER_SECOND))


def next_slot_ns(
    now_ns: int, slot_index: int, fleet_size: int, calls_per_s: float, random_fraction: float
) -> int:
    """Return the first time from now on that lies in a slot.

    Args:
        now_ns: Unix time in nanoseconds, as is the result.
        slot_index: Index of the slot in a window, taken modulo the fleet size.
        fleet_size: Number of brokers.
        calls_per_s: Calls of the whole fleet per second.
        random_fraction: Position within the slot, from 0 to 1.
    """
    window_ns = call_window_ns(fleet_size, calls_per_s)
    window_start_ns = now_ns - now_ns % window_ns
    offset_ns = int(
        (slot_index % max(1, fleet_size) + random_fraction) / calls_per_s * NS_PER_SECOND
    )
    slot_ns = window_start_ns + offset_ns
    return slot_ns if slot_ns >= now_ns else slot_ns + window_ns


@dataclass(slots=True)
class CallSchedule:
    """Schedules the calls of one broker to one service.

    Attributes:
        broker_index: Index of the broker in the fleet.
        fleet_size: Number of brokers.
        calls_per_s: Calls of the whole fleet per second.
        draw_fraction: Returns a random number from 0 to 1.
        failure_count: Calls that failed since the last success.
    """

    broker_index: int
    fleet_size: int
    calls_per_s: float
    draw_fraction: Callable[[], float]
    failure_count: int = 0

    def first_call_ns(self, now_ns: int) -> int:
        """Return the time of the first call, in Unix nanoseconds."""
        return self._next_slot_ns(now_ns)

    def retry_ns(self, now_ns: int) -> int:
        """Count a failed call, and return the time of the next call, in Unix nanoseconds."""
        self.failure_count += 1
        skip_limit = min(MAX_SKIPPED_WINDOWS, 1 << min(self.failure_count, MAX_DOUBLINGS))
        skipped_windows = int(self.draw_fraction() * skip_limit)
        window_ns = call_window_ns(self.fleet_size, self.calls_per_s)
        slot_ns = self._next_slot_ns(now_ns)
        # A call in the rest of the present slot would be a second call in the same window.
        if slot_ns - now_ns < window_ns // 2:
            skipped_windows += 1
        return slot_ns + skipped_windows * window_ns

    def succeeded(self) -> None:
        """Record a successful call, which resets the count of failures."""
        self.failure_count = 0

    def _next_slot_ns(self, now_ns: int) -> int:
        return next_slot_ns(
            now_ns, self.broker_index, self.fleet_size, self.calls_per_s, self.draw_fraction()
        )


@dataclass(slots=True)
class RateLimiter:
    """Limits admissions to a rate, evenly spaced.

    Attributes:
        rate_per_s: Admissions per second.
        next_admission_ns: Time of the next admission, in nanoseconds.
    """

    rate_per_s: float
    next_admission_ns: int

    def try_acquire(self, now_ns: int) -> bool:
        """Return whether an admission is allowed now, and count it if so.

        Unused admissions accumulate for at most one second.
        """
        if now_ns < self.next_admission_ns:
            return False
        earliest_ns = max(self.next_admission_ns, now_ns - NS_PER_SECOND)
        self.next_admission_ns = earliest_ns + int(NS_PER_SECOND / self.rate_per_s)
        return True


def backoff_timeout_ns(failure_count: int, min_timeout_ns: int, max_timeout_ns: int) -> int:
    """Return the timeout of a call after a number of failures, in nanoseconds.

    A service that is slow under the load of the whole fleet is given more time for each call
    instead of receiving more calls.
    """
    return min(max_timeout_ns, min_timeout_ns << min(failure_count, MAX_DOUBLINGS))


def health_check_slot_ns(
    now_ns: int, endpoint: int, broker_index: int, fleet_size: int, probes_per_s: float
) -> int:
    """Return when a broker sends its health check to an endpoint, in Unix nanoseconds.

    The slots are rotated by the endpoint's number, which spreads the health checks of one broker to
    many endpoints as well as those of many brokers to one endpoint.

    Args:
        now_ns: Unix time in nanoseconds.
        endpoint: Number of the endpoint.
        broker_index: Index of the broker in the fleet.
        fleet_size: Number of brokers.
        probes_per_s: Health checks of one endpoint per second, by the whole fleet.
    """
    return next_slot_ns(now_ns, broker_index + endpoint, fleet_size, probes_per_s, 0.0)
