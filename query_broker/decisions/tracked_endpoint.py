"""The state that this broker tracks of one endpoint: list entry, load, health, outstanding work.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..overriding import override
from .accounting import Attempt, SlidingSum
from .concurrency_limit import THREADS_PER_CORE, ConcurrencyLimit
from .events import EndpointEntry, LoadReport, OutstandingWork

# A reported utilisation, memory or disk fraction above this counts as pressure.
BUSY_UTILISATION = 0.9
# The outstanding work of the broker's other processes at an endpoint that they do not mention.
NO_OUTSTANDING_WORK = OutstandingWork(0, 0, 0)


@dataclass(slots=True, kw_only=True)
class TrackedEndpoint(ConcurrencyLimit):
    """An endpoint of the list, with the control loop for this broker's work at it.

    Attributes:
        entry: Its last entry in the endpoint list.
        cores: Number of its cores, from its kind or its weight.
        in_flight: Attempts without an outcome, by request id and attempt number.
        failure_rate: Exponentially weighted fraction of failed connections among its outcomes.
        error_rate: Exponentially weighted fraction of errors among its answers.
        load_report: Its last load report.
        threads_since_report: Threads dispatched to it since that report.
        warmup_ends_ns: When its warm-up ends, in ns.
        warmup_work: Work dispatched to it during its warm-up, over the contract's overload window.
        last_activity_ns: When it last answered or reported progress, or got an attempt while it had
            none in flight.
        peer_process_work: Outstanding work of the broker's other processes at it; included in
            `backlog_ns` and `threads_in_flight`.
        process_started_ns: When its process started; earlier attempts went to another process.
        ejected: Whether it is ejected as an outlier.
        in_pool: Whether its work counts against the limit of the pool.
        next_trial_ns: When it may next get a trial if it is ejected or full, in ns.
        health_check_requested_ns: When a health check was last ordered, in ns.
    """

    entry: EndpointEntry
    cores: int
    in_flight: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    failure_rate: float = 0.0
    error_rate: float = 0.0
    load_report: LoadReport | None = None
    threads_since_report: int = 0
    warmup_ends_ns: int = 0
    warmup_work: SlidingSum
    last_activity_ns: int = 0
    peer_process_work: OutstandingWork = NO_OUTSTANDING_WORK
    process_started_ns: int = 0
    ejected: bool = False
    in_pool: bool = False
    next_trial_ns: int = 0
    health_check_requested_ns: int = 0

    def utilisation(self) -> float:
        """Return the highest utilisation of any resource in its load report; 0 without a report.

        A queue for memory counts as full utilisation, since all memory is granted.
        """
        report = self.load_report
        if report is None:
            return 0.0
        return max(
            report.utilisation or 0.0,
            report.memory or 0.0,
            report.disk or 0.0,
            min(1.0, report.queue or 0.0),
            (report.inflight or 0.0) / THREADS_PER_CORE / self.cores,
        )

    def load(self) -> float:
        """Return the load in threads a core.

        It is the reported load plus the threads dispatched since, but no less than the threads that
        this broker has in flight.
        """
        if self.load_report is None:
            return self.threads_in_flight / self.cores
        reported_threads = self.utilisation() * self.cores + self.threads_since_report
        return max(self.threads_in_flight, reported_threads) / self.cores

    def backlog_of(self, work_ns: int) -> int:
        """Return the thread-nanoseconds that an amount of work takes at the present slowdown."""
        return int(work_ns * max(1.0, self.slowdown))

    @override
    def is_under_pressure(self, now_ns: int) -> bool:
        """Whether its load report, answers, a rejection or the threads in flight show pressure."""
        # super() fails here: with slots=True the dataclass decorator creates a new class.
        return self.utilisation() > BUSY_UTILISATION or ConcurrencyLimit.is_under_pressure(
            self, now_ns
        )

    def update_load_report(self, report: LoadReport) -> None:
        """Replace the load report."""
        self.load_report = report
        self.threads_since_report = 0
