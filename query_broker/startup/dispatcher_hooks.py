"""All that a start changes in the dispatcher, in one place, so that its end undoes it."""

from __future__ import annotations

from abc import abstractmethod

from ..decisions.facade import CoProcessLoad, OutstandingWork
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.observers import DispatchObserver, RetryAfterPolicy, SettingsAdjuster
from .admission_ramp import assumed_work


class StartupObserver(DispatchObserver):
    """What the dispatcher asks of a start, beside what it notifies it of."""

    @abstractmethod
    def metrics(self) -> bytes:
        """Return lines for the metrics."""

    @abstractmethod
    def connect_delay_ns(self, endpoint: int) -> int:
        """Return how long a new connection to this endpoint has to wait, in nanoseconds."""


class DispatcherHooks:
    """Registers a start with the dispatcher, and ends its influence when all is open."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Remember how connections are shared in service."""
        self._dispatcher = dispatcher
        self._own_connections_in_service = dispatcher.pools.dedicated_connections

    def register(self, observer: StartupObserver) -> None:
        """Register the observer of a start."""
        self._dispatcher.add_observer(observer)
        self._dispatcher.extensions.add_metrics_source(observer)
        self._dispatcher.pools.connect_pacing = observer.connect_delay_ns

    def register_adjuster(self, adjuster: SettingsAdjuster) -> None:
        """Let the decisions go by settings that this part changes, from now on."""
        self._dispatcher.extensions.add_settings_adjuster(adjuster)
        self._dispatcher.refresh_settings()

    def begin_ramp(self, policy: RetryAfterPolicy) -> None:
        """Let this policy widen the pause that rejections advise."""
        self._dispatcher.extensions.retry_after_policy = policy

    def reuse_connections(self) -> None:
        """Let attempts share connections to endpoints, until the ramp has ended.

        A connection for each attempt, from every broker at once, is more handshakes than requests.
        """
        self._dispatcher.pools.dedicated_connections = False

    def end_ramp(self) -> None:
        """Serve as if there had been no start."""
        self._dispatcher.pools.dedicated_connections = self._own_connections_in_service
        self._dispatcher.pools.connect_pacing = None
        self._dispatcher.extensions.retry_after_policy = None

    def health_check(self, now: int, endpoint: int) -> None:
        """Begin a health check of an endpoint."""
        self._dispatcher.health_checks.start(now, endpoint)

    def book_assumed_work(self, open_fraction: float) -> None:
        """Book what is not open as the work of another process of this broker."""
        outstanding: dict[int, OutstandingWork] = {}
        if open_fraction < 1:
            facade = self._dispatcher.facade
            widest = facade.widest_request_threads()
            for endpoint, (threads, bound) in facade.quotas_and_bounds().items():
                work = assumed_work(open_fraction, threads, bound, widest)
                outstanding[endpoint] = OutstandingWork(work.threads, work.backlog, 0)
        self._dispatcher.report_event(CoProcessLoad(outstanding, 1))
