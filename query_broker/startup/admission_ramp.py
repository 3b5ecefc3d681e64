"""The admission ramp: how much a broker admits after a start. Performs no I/O.

A broker that died may have left as much work at each endpoint as it may send there, and the one
that starts has no record of it. So the part of the admission that is not open yet is accounted as
work in flight of another process of this broker: the bounds of the decisions then hold without any
change. The open part grows evenly without answers, doubles each second with successes (slow start),
and holds while too many answers are failures. It is complete after ``MAX_RAMPS`` ramps whatever the
answers, since the bounds of the decisions hold from then on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from .settings import NS_PER_SECOND, StartupSettings

#: Time between two steps of the ramp: long enough for answers to come in.
STEP_PERIOD_NS = NS_PER_SECOND

#: Growth of the open part in a period with successes: slow start doubles.
GROWTH_WITH_SUCCESSES = 2.0

#: Part of a period's answers above which failures hold the ramp.
MAX_FAILED_FRACTION = 0.1

#: Ramps after which the admission is complete whatever the answers.
MAX_RAMPS = 4

#: Smallest open part that the growth is computed from, so that it stays finite.
MIN_INITIAL_FRACTION = 1e-3

#: Error of repeated products: a part this near to 1 is complete.
ROUNDING = 1e-9


@dataclass(slots=True)
class AdmissionRamp:
    """The part of the admission that is open, which grows step by step.

    Attributes:
        settings: The settings of the start.
        started_ns: When the ramp began, in nanoseconds.
        open_fraction: The open part, from 0 to 1; never falls.
        stepped_at_ns: When the last step was taken, in nanoseconds.
    """

    settings: StartupSettings
    started_ns: int
    open_fraction: float = 0.0
    stepped_at_ns: int = 0

    def __post_init__(self) -> None:
        """Begin with the initial part."""
        self.open_fraction = self.settings.initial_fraction
        self.stepped_at_ns = self.started_ns

    @property
    def growth(self) -> float:
        """The growth of a period without answers: from the initial part to all in one ramp."""
        initial = max(self.settings.initial_fraction, MIN_INITIAL_FRACTION)
        ramps_per_period = STEP_PERIOD_NS / max(STEP_PERIOD_NS, self.settings.ramp_ns)
        return float((1 / initial) ** ramps_per_period)

    def step(self, now_ns: int, successes: int, failures: int) -> float:
        """Take a step if a period is over, and return the open part from now on.

        Args:
            now_ns: The time in nanoseconds.
            successes: Successful answers since the last step.
            failures: Failed answers since the last step.
        """
        if now_ns - self.stepped_at_ns < STEP_PERIOD_NS:
            return self.open_fraction
        self.stepped_at_ns = now_ns
        if failures <= MAX_FAILED_FRACTION * (successes + failures):
            growth = self.growth
            if successes:
                growth = max(GROWTH_WITH_SUCCESSES, growth)
            self.open_fraction *= growth
        overdue = now_ns - self.started_ns >= MAX_RAMPS * self.settings.ramp_ns
        if overdue or self.open_fraction > 1 - ROUNDING:
            self.open_fraction = 1.0
        return self.open_fraction

    def is_complete(self) -> bool:
        """Whether all of the admission is open."""
        return self.open_fraction >= 1.0


class AssumedWork(NamedTuple):
    """Work that is accounted at one endpoint as left there by the broker's former process.

    Attributes:
        threads: Threads that the former process is assumed to use.
        backlog: Work that it is assumed to have queued, in the unit of the decisions' backlog
            bound.
    """

    threads: int
    backlog: int


def assumed_work(
    open_fraction: float, threads: float, max_backlog: float, max_request_threads: int
) -> AssumedWork:
    """Return what is accounted at one endpoint while only a part of the admission is open.

    Capacity for one request always remains. Without it no request would be sent, no answer could
    come, and the ramp, which waits for answers, would not grow.

    Args:
        open_fraction: The open part, from 0 to 1.
        threads: Threads of the endpoint that this broker may use.
        max_backlog: Backlog that it may have there.
        max_request_threads: Threads of the request class that uses the most.
    """
    open_threads = max(float(max_request_threads), open_fraction * threads)
    return AssumedWork(
        threads=max(0, math.floor(threads - open_threads)),
        backlog=max(0, int(max_backlog * (1 - open_fraction))),
    )


def retry_after_ns(proposed_ns: int, remaining_ns: int, max_ns: int, draw: float) -> int:
    """Return the backoff that a rejected client is asked for, in nanoseconds.

    Otherwise all clients that were rejected in the first second of a ramp would retry in its second
    one.

    Args:
        proposed_ns: Backoff that the decisions propose; the answer is never less.
        remaining_ns: Time until the end of the ramp.
        max_ns: The longest backoff that is allowed; 0 keeps the proposed one.
        draw: A random number from 0 to 1.
    """
    if max_ns <= 0:
        return proposed_ns
    return max(proposed_ns, min(max_ns, int(draw * remaining_ns)))
