"""Open requests, and the statistics of the request classes.

Performs no I/O. Work is in thread-nanoseconds: run time times threads.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from .accounting import Attempt
from .concurrency_limit import LEARNING_RATE, THREADS_PER_CORE
from .settings import RequestClass
from .tracked_endpoint import TrackedEndpoint

# Quantile of (latency x threads / estimate) that corrects the estimates. It is below the median,
# since contention can only increase a latency.
BIAS_QUANTILE = 0.3
# Step of the logarithm of that quantile; small compared with the scatter of estimates.
BIAS_STEP = 0.05
# Data set of a request without one; no data set has a negative number.
NO_DATA_SET = -1


@dataclass(slots=True)
class ClassStatistics:
    """The statistics of a request class, learned from outcomes.

    Attributes:
        spec: The class as the settings describe it.
        log_bias: Natural logarithm of actual work over estimated work.
        uncontended_answer_count: Number of uncontended answers; bias and mean are learned from
            them.
        mean_work_ns: Mean work of a request, in thread-nanoseconds.
        slowdown: Geometric mean of latency over expected run time, over all endpoints.
        admission_rate: Exponentially weighted fraction of dispatched requests, among those within
            their tenants' quotas.
    """

    spec: RequestClass
    log_bias: float = 0.0
    uncontended_answer_count: int = 0
    mean_work_ns: float = 0.0
    slowdown: float = 1.0
    admission_rate: float = 1.0

    def expected_work(self, estimate_ns: int | None) -> int:
        """Return the expected work in thread-nanoseconds, at least 1.

        It is the estimate corrected by the bias. Without an estimate it is the mean of the class,
        and before the first answer half of the class's threads for its latency objective.
        """
        if estimate_ns is not None and estimate_ns > 0:
            return max(1, int(estimate_ns * math.exp(self.log_bias)))
        mean_work_ns = int(self.mean_work_ns)
        if mean_work_ns:
            return max(1, mean_work_ns)
        return max(1, self.spec.latency_objective_ns * self.spec.threads // THREADS_PER_CORE)

    def expected_latency(self, work_ns: int) -> float:
        """Return the expected time from dispatch to answer at the present slowdown, in ns."""
        return work_ns / self.spec.threads * max(1.0, self.slowdown)

    def record_uncontended_latency(self, estimate_ns: int | None, latency_ns: int) -> None:
        """Update mean and bias with the latency of an uncontended attempt."""
        work_ns = max(1, latency_ns) * self.spec.threads
        self.uncontended_answer_count += 1
        self.mean_work_ns += (work_ns - self.mean_work_ns) / min(
            self.uncontended_answer_count, 1 / LEARNING_RATE
        )
        if estimate_ns is not None and estimate_ns > 0:
            is_above = math.log(work_ns / estimate_ns) > self.log_bias
            # The first answers move the quantile faster.
            step = BIAS_STEP + 1 / (1 + self.uncontended_answer_count)
            self.log_bias += step * (BIAS_QUANTILE - (not is_above))


@dataclass(slots=True)
class Request:
    """A request from its arrival to the outcome of its last attempt.

    Attributes:
        id: The caller's id of the request.
        statistics: The statistics of its class at its arrival. New settings must not change the
            class of an open request, which determines whether the request may run twice.
        deadline_ns: When the client gives up.
        work_ns: Expected work, in thread-nanoseconds.
        estimate_ns: The client's estimate of the work, in thread-nanoseconds.
        data_set: Number of the data set that it reads or loads, or `NO_DATA_SET`.
        key: Its ordering key; None in classes that are not ordered by key.
        over_quota: Whether it exceeds its tenant's quota.
        memory_mb: Estimated memory, in megabytes.
        attempts_started: Number of attempts so far.
        in_flight: Attempts without an outcome, by number.
        tried_endpoints: Numbers of the endpoints of its attempts, in the order of dispatch.
        maybe_executed: Attempts that may have run, in the order of dispatch.
        error_endpoints: Endpoints that answered it with an error.
        finished: Whether it has its final answer or its client has left.
    """

    id: str
    statistics: ClassStatistics
    deadline_ns: int
    work_ns: int
    estimate_ns: int | None
    data_set: int
    key: str | None
    over_quota: bool
    memory_mb: float
    attempts_started: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    tried_endpoints: list[int] = field(default_factory=list)
    maybe_executed: list[Attempt] = field(default_factory=list)
    error_endpoints: list[TrackedEndpoint] = field(default_factory=list)
    finished: bool = False

    @property
    def spec(self) -> RequestClass:
        """The request's class at the arrival of the request."""
        return self.statistics.spec

    def run_time(self) -> int:
        """Return the expected run time without contention, in nanoseconds."""
        return self.work_ns // self.spec.threads

    def latency_objective(self) -> int:
        """Return the latency objective of this request, in nanoseconds."""
        spec = self.spec
        return spec.latency_objective_ns + int(spec.objective_stretch * self.run_time())


class RequestClasses:
    """The statistics of the classes in the settings, by name."""

    __slots__ = ("by_name",)

    def __init__(self) -> None:
        """Start without classes."""
        self.by_name: dict[str, ClassStatistics] = {}

    def apply(self, classes: tuple[RequestClass, ...]) -> None:
        """Apply the classes of new settings; a class that remains keeps its statistics.

        The statistics are copied: an open request keeps those of its arrival.
        """
        previous = self.by_name
        self.by_name = {}
        for spec in classes:
            statistics = previous.get(spec.name, ClassStatistics(spec))
            self.by_name[spec.name] = replace(statistics, spec=spec)
