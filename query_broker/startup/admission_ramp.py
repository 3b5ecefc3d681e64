"""The admission ramp: how much a broker admits after a start. Performs no I/O.

A broker that died may have left all the work it may send at each endpoint, and one that starts
knows nothing of it. So the part of the admission that is not open yet is booked as if another
process of this broker had it in flight: the decisions bound what is sent as ever, and decide alone.
The open part grows evenly without answers, doubles each second with successes (slow start), and
holds while too many answers are failures. It is complete after ``MAX_RAMPS`` ramps whatever the
answers, since the bounds of the decisions hold from then on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from .settings import NS_PER_SECOND, StartupSettings

#: Time between two steps of the ramp: long enough for answers to come in.
PERIOD_NS = NS_PER_SECOND

#: Growth of the open part in a period with successes: slow start doubles.
GROWTH_WITH_SUCCESSES = 2.0

#: Part of a period's answers above which failures hold the ramp.
MAX_FAILED_FRACTION = 0.1

#: Ramps after which the admission is complete whatever the answers.
MAX_RAMPS = 4

#: Least open part that the growth is computed from, so that it stays finite.
MIN_INITIAL_FRACTION = 1e-3

#: Error of repeated products: a part this near to 1 is complete.
ROUNDING = 1e-9


@dataclass(slots=True)
class AdmissionRamp:
    """The part of the admission that is open, stepped once a period.

    Attributes:
        settings: The settings of the start.
        begun_ns: When the ramp began, in nanoseconds.
        open_fraction: The open part, from 0 to 1; never falls.
        stepped_at_ns: When the last step was taken, in nanoseconds.
    """

    settings: StartupSettings
    begun_ns: int
    open_fraction: float = 0.0
    stepped_at_ns: int = 0

    def __post_init__(self) -> None:
        """Begin with the initial part."""
        self.open_fraction = self.settings.initial_fraction
        self.stepped_at_ns = self.begun_ns

    @property
    def growth(self) -> float:
        """The growth of a period without answers: from the initial part to all in one ramp."""
        initial = max(self.settings.initial_fraction, MIN_INITIAL_FRACTION)
        ramps_per_period = PERIOD_NS / max(PERIOD_NS, self.settings.ramp_ns)
        return float((1 / initial) ** ramps_per_period)

    def step(self, now: int, good: int, bad: int) -> float:
        """Take a step if a period is over, and return the open part from now on.

        Args:
            now: The time in nanoseconds.
            good: Answers since the last step.
            bad: Failures since the last step.
        """
        if now - self.stepped_at_ns < PERIOD_NS:
            return self.open_fraction
        self.stepped_at_ns = now
        if bad <= MAX_FAILED_FRACTION * (good + bad):
            self.open_fraction *= max(GROWTH_WITH_SUCCESSES, self.growth) if good else self.growth
        overdue = now - self.begun_ns >= MAX_RAMPS * self.settings.ramp_ns
        if overdue or self.open_fraction > 1 - ROUNDING:
            self.open_fraction = 1.0
        return self.open_fraction

    def complete(self) -> bool:
        """Whether all of the admission is open."""
        return self.open_fraction >= 1.0


class AssumedWork(NamedTuple):
    """Work that is booked at one endpoint as left by the broker's former process."""

    threads: int
    backlog: int


def assumed_work(open_fraction: float, threads: float, bound: float, widest: int) -> AssumedWork:
    """Return what is booked at one endpoint while only a part of the admission is open.

    Capacity for one request is always left: where the open part is less than that nothing would
    ever be sent, no answer could come, and the ramp waits for answers.

    Args:
        open_fraction: The open part, from 0 to 1.
        threads: Threads of the endpoint that this broker may use.
        bound: Backlog that it may leave there.
        widest: Threads of the widest class of requests.
    """
    open_threads = max(float(widest), open_fraction * threads)
    return AssumedWork(
        threads=max(0, math.floor(threads - open_threads)),
        backlog=max(0, int(bound * (1 - open_fraction))),
    )


def retry_after_ns(proposed_ns: int, left_ns: int, max_ns: int, draw: float) -> int:
    """Return how long a rejected client is told to stay away, in nanoseconds.

    All clients that were rejected in the first second of a ramp would otherwise be back in its
    second one.

    Args:
        proposed_ns: What the decisions say; the answer is never less.
        left_ns: What is left of the ramp.
        max_ns: The longest advice that is allowed; 0 for none.
        draw: A random number from 0 to 1.
    """
    if max_ns <= 0:
        return proposed_ns
    return max(proposed_ns, min(max_ns, int(draw * left_ns)))
