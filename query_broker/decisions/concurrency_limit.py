"""The bound on outstanding work, of one endpoint and of the pool of all endpoints.

In each control period k a fuzzy controller moves the bound, as the design page defines:
d_t(k) = d_t(k-1) + step(error of the mean delay, change of that error).
The bound limits admission only under pressure. Backlogs and bounds are in thread-nanoseconds,
delays in multiples of the latency objective of the request's class. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..overriding import override
from .accounting import DecayingMean
from .fuzzy_control import fuzzy_step

# The initial bound is this many threads a core for the longest latency objective; from the design
# page.
THREADS_PER_CORE = 2
# Half width of the fuzzy universe of the error, in latency objectives; from the design page.
ERROR_HALF_WIDTH = 0.5
# Upper limit of the bound, as a multiple of the initial bound; from the design page.
MAX_BOUND_MULTIPLE = 4
# Largest step of one period, as a fraction of that upper limit; from the design page.
MAX_STEP_FRACTION = 1 / 8
# In a period without feedback the bound moves this fraction of the way back to the initial bound.
EMPTY_PERIOD_STEP_FRACTION = 1 / 8
# A slowdown above this multiple of the best slowdown counts as pressure.
PRESSURE_SLOWDOWN_RATIO = 2.0
# The bound is divided by (threads in flight / thread quota) to this power once the quota is
# exceeded: delays show an overload too late.
OVER_QUOTA_EXPONENT = 4
# Weight of one answer in the means of slowdown and work: about the last ten answers count.
LEARNING_RATE = 0.1
# In each period the best slowdown rises by this fraction of its distance to the slowdown, so that
# one unusually fast answer does not count for ever.
BEST_SLOWDOWN_DRIFT_FRACTION = 0.01


@dataclass(slots=True, kw_only=True)
class ConcurrencyLimit:
    """A fuzzy control loop for the bound on this broker's outstanding work.

    Attributes:
        initial_bound_ns: The initial value of the bound, in thread-nanoseconds.
        delay_objective: The target S_t of the mean delay in the paper, in latency objectives.
        thread_quota: This broker's quota of threads; more threads in flight count as pressure.
        bound_ns: The bound d_t(k), in thread-nanoseconds.
        backlog_ns: Outstanding work, in thread-nanoseconds.
        threads_in_flight: Threads of the outstanding work.
        delays: Delays of this period, in latency objectives.
        last_error: The error of the previous period, or None if that had no feedback.
        bound_was_tested: Whether a request was tested against the bound in this period.
        slowdown: Geometric mean of latency over expected run time.
        best_slowdown: The lowest slowdown; it rises slowly towards the present slowdown.
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
    bound_was_tested: bool = False
    slowdown: float = 1.0
    best_slowdown: float = 1.0
    full_until_ns: int = 0

    def rescale(self, initial_bound: float) -> None:
        """Set another initial bound; the bound keeps its ratio to the initial bound."""
        ratio = self.bound_ns / self.initial_bound_ns if self.initial_bound_ns > 0 else 1
        self.bound_ns = ratio * initial_bound
        self.initial_bound_ns = initial_bound

    def quota_ratio(self, now_ns: int, extra_threads: int) -> float:
        """Return this broker's threads in flight plus ``extra_threads``, divided by the quota."""
        return (self.threads_in_flight + extra_threads) / self.thread_quota

    def is_under_pressure(self, now_ns: int) -> bool:
        """Whether answers, a rejection or the threads in flight show pressure.

        Answers show an overload only after it has begun, so the threads in flight count as well.
        """
        return (
            self.slowdown > PRESSURE_SLOWDOWN_RATIO * self.best_slowdown
            or now_ns < self.full_until_ns
            or self.quota_ratio(now_ns, 0) > 1
        )

    def fits(self, now_ns: int, backlog_ns: int, threads: int, bound_factor: float) -> bool:
        """Whether a request passes the admission test.

        Without pressure or without outstanding work every request fits. Otherwise the backlog with
        the request must not exceed the bound.

        Args:
            now_ns: The time.
            backlog_ns: The work that the request would add to the backlog, in thread-nanoseconds.
            threads: Threads of the request.
            bound_factor: Factor of the bound for this request.
        """
        if self.backlog_ns == 0:
            return True
        quota_ratio = self.quota_ratio(now_ns, threads)
        if not (quota_ratio > 1 or self.is_under_pressure(now_ns)):
            return True
        self.bound_was_tested = True
        bound_divisor = max(1.0, quota_ratio) ** OVER_QUOTA_EXPONENT
        return self.backlog_ns + backlog_ns <= self.bound_ns * bound_factor / bound_divisor

    def update_slowdown(self, latency_ratio: float) -> None:
        """Update the slowdown with the ratio of a latency to the expected run time.

        The mean is geometric: estimates scatter, and in an arithmetic mean the few estimates that
        are far too low would make every endpoint look slow.
        """
        self.slowdown *= (latency_ratio / self.slowdown) ** LEARNING_RATE
        self.best_slowdown = max(1.0, min(self.best_slowdown, self.slowdown))

    def end_period(self) -> None:
        """Move the bound by the fuzzy step of this period and start the next period.

        If no request was tested against the bound, the bound moves back towards its initial value:
        otherwise low delays would raise it to its upper limit, and the next surge of requests would
        be admitted in full.
        """
        self.best_slowdown += BEST_SLOWDOWN_DRIFT_FRACTION * (self.slowdown - self.best_slowdown)
        if self.delays and self.bound_was_tested:
            self._step()
        else:
            self.bound_ns += EMPTY_PERIOD_STEP_FRACTION * (self.initial_bound_ns - self.bound_ns)
            self.last_error = None
        self.bound_was_tested = False
        self.delays = []

    def _step(self) -> None:
        error = self.delay_objective - sum(self.delays) / len(self.delays)
        change = 0.0 if self.last_error is None else error - self.last_error
        max_step = MAX_STEP_FRACTION * MAX_BOUND_MULTIPLE * self.initial_bound_ns
        bound = self.bound_ns + fuzzy_step(
            error / ERROR_HALF_WIDTH, change / ERROR_HALF_WIDTH, max_step
        )
        self.bound_ns = max(0.0, min(MAX_BOUND_MULTIPLE * self.initial_bound_ns, bound))
        self.last_error = error


@dataclass(slots=True, kw_only=True)
class PoolConcurrencyLimit(ConcurrencyLimit):
    """The bound over all endpoints together.

    A broker of a large fleet has few threads in flight, and their number often exceeds the quota by
    chance; so their mean over some seconds is compared with the quota.

    Attributes:
        mean_threads: Exponentially weighted mean of the threads in flight.
    """

    mean_threads: DecayingMean

    @override
    def quota_ratio(self, now_ns: int, extra_threads: int) -> float:
        """Return the mean of the threads in flight, divided by the quota."""
        return self.mean_threads.mean_at(now_ns) / self.thread_quota
