"""Attempts, sliding sums and exponentially weighted means: the accounting of the decisions.

Performs no I/O. Times and durations are integer nanoseconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class Attempt:
    """One dispatch of a request to an endpoint.

    Attributes:
        number: Number among the request's attempts, from 0.
        endpoint: Number of the endpoint.
        dispatched_ns: When it was dispatched.
        backlog_ns: The work that it added to the endpoint's backlog, in thread-nanoseconds.
        uncontended: Whether it was dispatched without pressure, so that its latency is the run time
            without contention.
        is_trial: Whether it was dispatched to an ejected endpoint.
    """

    number: int
    endpoint: int
    dispatched_ns: int
    backlog_ns: int
    uncontended: bool
    is_trial: bool = False


class SlidingSum:
    """Sum of the amounts added within the last ``span_ns``; always 0 if the span is 0.

    Attributes:
        additions: The time in nanoseconds and the amount of each addition within the span.
        span_ns: The span.
        total: Sum of the amounts in ``additions``.
    """

    __slots__ = ("additions", "span_ns", "total")

    def __init__(self, span_ns: int) -> None:
        """Create an empty sum."""
        self.span_ns = span_ns
        self.total = 0
        self.additions: deque[tuple[int, int]] = deque()

    def add(self, now_ns: int, amount: int = 1) -> None:
        """Add an amount at a time that is not earlier than that of the previous addition."""
        if self.span_ns > 0:
            self.additions.append((now_ns, amount))
            self.total += amount

    def sum_at(self, now_ns: int) -> int:
        """Return the sum at a time, and drop the amounts that are older than the span."""
        while self.additions and self.additions[0][0] <= now_ns - self.span_ns:
            self.total -= self.additions.popleft()[1]
        return self.total


class DecayingMean:
    """Exponentially weighted mean over time of a value that holds until the next one is recorded.

    Attributes:
        mean: The mean at ``recorded_ns``.
        time_constant_ns: Time constant of the exponential decay.
        recorded_ns: When the current value was recorded.
        value: The current value.
    """

    __slots__ = ("mean", "time_constant_ns", "recorded_ns", "value")

    def __init__(self, time_constant_ns: int, now_ns: int) -> None:
        """Start with a value and a mean of 0."""
        self.time_constant_ns = time_constant_ns
        self.value = 0.0
        self.mean = 0.0
        self.recorded_ns = now_ns

    def record(self, now_ns: int, value: float) -> None:
        """Record a new current value."""
        self.mean = self.mean_at(now_ns)
        self.value = value
        self.recorded_ns = now_ns

    def mean_at(self, now_ns: int) -> float:
        """Return the mean at a time that is not earlier than that of the last value."""
        weight = -math.expm1((self.recorded_ns - now_ns) / self.time_constant_ns)
        return self.mean + (self.value - self.mean) * weight
