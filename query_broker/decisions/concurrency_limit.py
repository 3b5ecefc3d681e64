"""The bound on outstanding work, of one endpoint and of the pool of all endpoints.

The bound is that of the design page: d_t(k) = d_t(k-1) + fuzzy step of the error of the mean delay
and its change. It limits admission only under pressure. Backlogs and bounds are in
thread-nanoseconds, delays in latency objectives of the request's class. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .accounting import FadingMean
from .fuzzy_control import fuzzy_step

# The design page starts the bound at two threads a core for the longest latency objective.
THREADS_PER_CORE = 2
# Half width of the fuzzy universe of the error, in latency objectives; from the design page.
HALF_SPAN = 0.5
# Ceiling of the bound in multiples of its start; from the design page.
CEILING_MULTIPLE = 4
# Largest step of one period as a fraction of the ceiling; from the design page.
LARGEST_STEP_FRACTION = 1 / 8
# Fraction of its distance to the start that the bound moves back in a period without feedback.
EMPTY_PERIOD_STEP = 1 / 8
# Slowdown against the endpoint's own best that counts as pressure ("latency far above its best").
PRESSURE_SLOWDOWN = 2.0
# Exponent with which the bound shrinks once our threads exceed our quota: delays show
# an overload late.
CROWDING_EXPONENT = 4
# Weight of one answer in a geometric mean of slowdowns: the last ten answers count.
LEARNING_RATE = 0.1
# Fraction of the gap by which the best slowdown rises each period, so that an outlier is forgotten.
BEST_SLOWDOWN_DRIFT = 0.01


@dataclass(slots=True, kw_only=True)
class ConcurrencyLimit:
    """A fuzzy control loop: the bound on this broker's outstanding work, and its state.

    Attributes:
        initial_bound_ns: Where the bound begins, in thread-nanoseconds.
        delay_objective: The wanted mean delay S_t of the paper, in latency objectives.
        thread_quota: More threads of ours than this count as pressure.
        bound_ns: The bound d_t(k), in thread-nanoseconds.
        backlog_ns: Outstanding work, in thread-nanoseconds.
        threads_in_flight: Threads of the outstanding work.
        delays: Delays of this period, in latency objectives.
        last_error: The error of the period before, or None where it had no feedback.
        bound_used: Whether a request was tested against the bound in this period.
        slowdown: Geometric mean of latency over expected run time.
        best_slowdown: The lowest slowdown, drifting up.
        full_until_ns: Until when a rejection for lack of capacity counts as pressure, in ns.
    """

    initial_bound_ns: float = 0.0
    delay_objective: float = 1.0
    thread_quota: float = 0.0
    bound_ns: float = 0.0
    backlog_ns: int = 0
    threads_in_flight: int = 0
    delays: list[float] = field(default_factory=list)
    last_error: float | None = None
    bound_used: bool = False
    slowdown: float = 1.0
    best_slowdown: float = 1.0
    full_until_ns: int = 0

    def rescale(self, initial_bound: float) -> None:
        """Set another start; the bound keeps its ratio to it."""
        ratio = self.bound_ns / self.initial_bound_ns if self.initial_bound_ns > 0 else 1
        self.bound_ns = ratio * initial_bound
        self.initial_bound_ns = initial_bound

    def crowding(self, now_ns: int, extra_threads: int) -> float:
        """Return our threads, with so many more, as a multiple of our quota."""
        return (self.threads_in_flight + extra_threads) / self.thread_quota

    def is_pressed(self, now_ns: int) -> bool:
        """Whether answers, a rejection or our own threads show pressure.

        Answers show an overload only after it; so our own threads count as well.
        """
        return (
            self.slowdown > PRESSURE_SLOWDOWN * self.best_slowdown
            or now_ns < self.full_until_ns
            or self.crowding(now_ns, 0) > 1
        )

    def fits(self, now_ns: int, backlog_ns: int, threads: int, bound_factor: float) -> bool:
        """Apply the design's admission test to a request.

        Without pressure, or with nothing outstanding, everything fits; else backlog and request
        together must not exceed the bound.

        Args:
            now_ns: The time.
            backlog_ns: What the request would add to the backlog, in thread-nanoseconds.
            threads: Its threads.
            bound_factor: What the bound is multiplied by for this request.
        """
        if self.backlog_ns == 0:
            return True
        crowding = self.crowding(now_ns, threads)
        if not (crowding > 1 or self.is_pressed(now_ns)):
            return True
        self.bound_used = True
        shrinkage = max(1.0, crowding) ** CROWDING_EXPONENT
        return self.backlog_ns + backlog_ns <= self.bound_ns * bound_factor / shrinkage

    def learn(self, ratio: float) -> None:
        """Update the slowdown with the ratio of a latency to its expectation.

        The mean is geometric: estimates scatter, and in an arithmetic mean the few that are far too
        low would make every endpoint look slow.
        """
        self.slowdown *= (ratio / self.slowdown) ** LEARNING_RATE
        self.best_slowdown = max(1.0, min(self.best_slowdown, self.slowdown))

    def end_period(self) -> None:
        """Move the bound by the fuzzy step of this period and begin the next.

        A period in which no request was tested against the bound moves it back towards its start:
        otherwise low delays would raise it to its ceiling, and the next surge would be admitted.
        """
        self.best_slowdown += BEST_SLOWDOWN_DRIFT * (self.slowdown - self.best_slowdown)
        if self.delays and self.bound_used:
            self._step()
        else:
            self.bound_ns += EMPTY_PERIOD_STEP * (self.initial_bound_ns - self.bound_ns)
            self.last_error = None
        self.bound_used = False
        self.delays = []

    def _step(self) -> None:
        error = self.delay_objective - sum(self.delays) / len(self.delays)
        change = 0.0 if self.last_error is None else error - self.last_error
        largest_step = LARGEST_STEP_FRACTION * CEILING_MULTIPLE * self.initial_bound_ns
        bound = self.bound_ns + fuzzy_step(error / HALF_SPAN, change / HALF_SPAN, largest_step)
        self.bound_ns = max(0.0, min(CEILING_MULTIPLE * self.initial_bound_ns, bound))
        self.last_error = error


@dataclass(slots=True, kw_only=True)
class PoolConcurrencyLimit(ConcurrencyLimit):
    """The bound over all endpoints together.

    A broker of a large fleet has few threads in flight, whose number exceeds its quota by chance;
    so the mean over some seconds is compared with the quota.

    Attributes:
        mean_threads: Fading mean of the threads in flight.
    """

    mean_threads: FadingMean

    def crowding(self, now_ns: int, extra_threads: int) -> float:
        """Return the mean of our threads as a multiple of our quota."""
        return self.mean_threads.at(now_ns) / self.thread_quota
