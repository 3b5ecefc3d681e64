"""Attempts, sliding sums and fading means: the accounting of the decisions.

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
        number: Place among the request's attempts, from 0.
        endpoint: Number of the endpoint.
        dispatched_ns: When it was dispatched.
        backlog_ns: What it added to the endpoint's backlog, in thread-nanoseconds.
        uncontended: Dispatched without pressure, so that its latency shows what the request costs
            by itself.
        is_trial: Dispatched to an ejected endpoint.
    """

    number: int
    endpoint: int
    dispatched_ns: int
    backlog_ns: int
    uncontended: bool
    is_trial: bool = False


class SlidingSum:
    """Sum of the amounts added within the last ``span_ns``; with a span of 0 it stays 0.

    Attributes:
        items: The time in nanoseconds and the amount of each addition within the span.
        span_ns: The span.
        total: Sum of the amounts in ``items``.
    """

    __slots__ = ("items", "span_ns", "total")

    def __init__(self, span_ns: int) -> None:
        """Begin with nothing."""
        self.span_ns = span_ns
        self.total = 0
        self.items: deque[tuple[int, int]] = deque()

    def add(self, now_ns: int, amount: int = 1) -> None:
        """Add an amount at a time that is not before that of the last one."""
        if self.span_ns > 0:
            self.items.append((now_ns, amount))
            self.total += amount

    def at(self, now_ns: int) -> int:
        """Return the sum at a time, and forget the amounts that are older than the span."""
        while self.items and self.items[0][0] <= now_ns - self.span_ns:
            self.total -= self.items.popleft()[1]
        return self.total


class FadingMean:
    """Mean over time of a value that holds until the next is recorded.

    Attributes:
        mean: The mean at ``recorded_ns``.
        memory_ns: Time constant with which the past fades exponentially.
        recorded_ns: When the value was recorded.
        value: The value that holds since then.
    """

    __slots__ = ("mean", "memory_ns", "recorded_ns", "value")

    def __init__(self, memory_ns: int, now_ns: int) -> None:
        """Begin with a value and a mean of 0."""
        self.memory_ns = memory_ns
        self.value = 0.0
        self.mean = 0.0
        self.recorded_ns = now_ns

    def record(self, now_ns: int, value: float) -> None:
        """Record the value that holds from now on."""
        self.mean = self.at(now_ns)
        self.value = value
        self.recorded_ns = now_ns

    def at(self, now_ns: int) -> float:
        """Return the mean at a time that is not before that of the last value."""
        weight = -math.expm1((self.recorded_ns - now_ns) / self.memory_ns)
        return self.mean + (self.value - self.mean) * weight
