"""What a controller remembers: requests, attempts and the books it counts in. Nothing here
decides.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from .settings import RequestClass


def memberships(value: float, top: int) -> list[tuple[int, float]]:
    """Levels and certainties of a value in [-1, 1] (beyond: the outermost), in triangles from -top
    to top.
    """
    position = max(-1.0, min(1.0, value)) * top
    low = math.floor(position)
    part = position - low
    return [(low, 1 - part)] if part == 0 else [(low, 1 - part), (low + 1, part)]


@dataclass(slots=True, kw_only=True)
class LoopBooks:
    """What one fuzzy loop works with, of an engine or of the pool."""

    start: float = 0.0  # thread-ns; where the bound begins
    wanted: float = 1.0  # S_t, the mean delay to be had, in aims
    thread_share: float = 0.0  # our threads past this are pressure by themselves
    bound: float = 0.0  # thread-ns
    backlog: int = 0  # thread-ns outstanding
    threads_out: int = 0
    delays: list[float] = field(default_factory=list)  # of this period, in aims
    last_error: float | None = None
    bound_used: bool = False  # something was tested against the bound in this period
    slowdown: float = 1.0  # geometric mean of latency over expected run time
    best: float = 1.0  # the lowest slowdown, drifting up
    full_until: int = 0

    def rescale(self, start: float) -> None:
        """Another start: the bound keeps its place against it."""
        self.bound, self.start = (self.bound / self.start if self.start > 0 else 1) * start, start


@dataclass(slots=True)
class Attempt:
    """One send. ``size`` is what it added to the backlog, in thread-nanoseconds."""

    number: int
    engine: int
    sent: int
    size: int
    calm: bool  # sent below pressure: its latency may teach what the query costs by itself
    trial: bool = False  # sent to an engine held to be out


@dataclass(slots=True)
class Request:
    id: str
    view: Any  # of its class, as it was when the request came; settings may change since
    deadline: int  # when the client gives up
    work: int  # expected, in thread-nanoseconds
    estimate: int | None
    data_set: int  # -1 where not told
    key: str | None  # only for classes in order
    over_share: bool
    taken: int
    memory_mb: float
    sends: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    tried: list[int] = field(default_factory=list)
    may_have_run: list[Attempt] = field(default_factory=list)
    erred: list[Any] = field(default_factory=list)  # engines that answered it with an error
    done: bool = False

    @property
    def spec(self) -> RequestClass:
        return self.view.spec  # type: ignore[no-any-return]

    def run_time(self) -> int:
        return self.work // self.spec.threads

    def aim(self) -> int:
        return self.spec.latency_objective_ns + int(self.spec.objective_stretch * self.run_time())


class TokenBucket:
    """``rate`` tokens a nanosecond, ``most`` saved up; full at the start."""

    def __init__(
        self, rate: float, most: float, now: int, before: TokenBucket | None = None
    ) -> None:
        self.rate, self.most, self.at = rate, most, now
        self.tokens: float = (
            most if before is None or not before.take(now, 0.0) else min(most, before.tokens)
        )

    def take(self, now: int, tokens: float = 1.0) -> bool:
        self.tokens, self.at = min(self.most, self.tokens + self.rate * (now - self.at)), now
        enough = self.tokens >= tokens
        self.tokens -= tokens * enough
        return enough


class SlidingSum:
    """What was added within the last ``span`` nanoseconds; nothing is kept where the span is 0."""

    def __init__(self, span: int) -> None:
        self.span, self.total = span, 0
        self.items: deque[tuple[int, int]] = deque()

    def add(self, now: int, amount: int = 1) -> None:
        if self.span > 0:
            self.items.append((now, amount))
            self.total += amount

    def at(self, now: int) -> int:
        while self.items and self.items[0][0] <= now - self.span:
            self.total -= self.items.popleft()[1]
        return self.total


class FadingMean:
    """The mean over time of a value that holds until the next is noted; the past fades over
    ``memory``.
    """

    def __init__(self, memory: int, now: int) -> None:
        self.memory, self.value, self.mean, self.at_time = memory, 0.0, 0.0, now

    def note(self, now: int, value: float) -> None:
        self.mean = self.at(now)
        self.value, self.at_time = value, now

    def at(self, now: int) -> float:
        return self.mean + (self.value - self.mean) * -math.expm1(
            (self.at_time - now) / self.memory
        )
