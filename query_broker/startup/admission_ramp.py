"""The admission ramp: which part of its capacity a broker admits after a start. Performs no I/O.

A former process of the broker may have left as much work at each endpoint as the bound allows, and
the new process has no record of that work. So the closed part of the admission is accounted as
outstanding work of another process of this broker, and the bounds of the decisions hold without
any change. The open part grows by a constant factor while there are no answers, doubles each second
with successes (slow start), and does not grow while too many answers are failures. The admission
is complete after ``MAX_RAMP_DURATIONS`` times the duration of the ramp, regardless of the answers,
since the bounds of the decisions hold from then on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from .settings import NS_PER_SECOND, StartupSettings

#: Time between two steps of the ramp, long enough for answers to arrive.
STEP_PERIOD_NS = NS_PER_SECOND

#: Factor by which the open part grows in a step with successes (slow start).
GROWTH_FACTOR_WITH_SUCCESSES = 2.0

#: Failed fraction of the answers since the last step above which the open part does not grow.
MAX_FAILED_FRACTION = 0.1

#: Multiple of the ramp's duration after which the admission is complete regardless of the answers.
MAX_RAMP_DURATIONS = 4

#: Smallest initial part from which the growth factor is computed, so that the factor stays finite.
MIN_INITIAL_FRACTION = 1e-3

#: Rounding error of the repeated multiplication: an open part this close to 1 counts as 1.
ROUNDING_TOLERANCE = 1e-9


@dataclass(slots=True)
class AdmissionRamp:
    """The open part of the admission, which grows step by step.

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
        """Open the initial part."""
        self.open_fraction = self.settings.initial_fraction
        self.stepped_at_ns = self.started_ns

    @property
    def growth_factor(self) -> float:
        """The factor of a step without answers: opens everything within the ramp's duration."""
        initial = max(self.settings.initial_fraction, MIN_INITIAL_FRACTION)
        ramp_fraction_per_step = STEP_PERIOD_NS / max(STEP_PERIOD_NS, self.settings.ramp_ns)
        return float((1 / initial) ** ramp_fraction_per_step)

    def step(self, now_ns: int, successes: int, failures: int) -> float:
        """Take a step if ``STEP_PERIOD_NS`` has passed, and return the open part.

        Args:
            now_ns: The time in nanoseconds.
            successes: Successful answers since the last step.
            failures: Failed answers since the last step.
        """
        if now_ns - self.stepped_at_ns < STEP_PERIOD_NS:
            return self.open_fraction
        self.stepped_at_ns = now_ns
        if failures <= MAX_FAILED_FRACTION * (successes + failures):
            growth_factor = self.growth_factor
            if successes:
                growth_factor = max(GROWTH_FACTOR_WITH_SUCCESSES, growth_factor)
            self.open_fraction *= growth_factor
        is_overdue = now_ns - self.started_ns >= MAX_RAMP_DURATIONS * self.settings.ramp_ns
        if is_overdue or self.open_fraction > 1 - ROUNDING_TOLERANCE:
            self.open_fraction = 1.0
        return self.open_fraction

    def is_complete(self) -> bool:
        """Whether all of the admission is open."""
        return self.open_fraction >= 1.0


class AssumedWork(NamedTuple):
    """Work at one endpoint that a former process of the broker is assumed to have left there.

    Attributes:
        threads: Threads that the former process is assumed to use.
        backlog: Work that the former process is assumed to have queued, in the unit of the
            decisions' backlog bound.
    """

    threads: int
    backlog: int


def assumed_work(
    open_fraction: float, threads: float, max_backlog: float, max_request_threads: int
) -> AssumedWork:
    """Return the work to account at one endpoint while only a part of the admission is open.

    Capacity for one request always remains. Otherwise no request would be sent and no answer would
    arrive, so the ramp, which depends on answers, would not grow.

    Args:
        open_fraction: The open part, from 0 to 1.
        threads: Threads of the endpoint that this broker may use.
        max_backlog: Backlog that this broker may have at the endpoint.
        max_request_threads: Threads of the request class that uses the most threads.
    """
    open_threads = max(float(max_request_threads), open_fraction * threads)
    return AssumedWork(
        threads=max(0, math.floor(threads - open_threads)),
        backlog=max(0, int(max_backlog * (1 - open_fraction))),
    )


def retry_after_ns(proposed_ns: int, remaining_ns: int, max_ns: int, random_fraction: float) -> int:
    """Return the backoff that a rejected client is asked for, in nanoseconds.

    The backoff is random, so that the clients that were rejected in the first second of a ramp do
    not all retry in the next second.

    Args:
        proposed_ns: Backoff that the decisions propose; the result is never shorter.
        remaining_ns: Time until the end of the ramp.
        max_ns: The longest backoff that is allowed; 0 keeps the proposed one.
        random_fraction: A random number from 0 to 1.
    """
    if max_ns <= 0:
        return proposed_ns
    return max(proposed_ns, min(max_ns, int(random_fraction * remaining_ns)))
