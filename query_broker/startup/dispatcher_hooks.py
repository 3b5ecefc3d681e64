"""Changes of a start to the dispatcher, and their reversal when the ramp has ended."""

from __future__ import annotations

from abc import abstractmethod

from ..decisions.facade import OutstandingWork, PeerProcessLoad
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.observers import DispatchObserver, RetryAfterPolicy, SettingsAdjuster
from .admission_ramp import assumed_work


class StartupObserver(DispatchObserver):
    """An observer of the dispatcher that also provides metrics and paces new connections."""

    @abstractmethod
    def metrics(self) -> bytes:
        """Return lines for the metrics."""

    @abstractmethod
    def connect_delay_ns(self, endpoint: int) -> int:
        """Return how long a new connection to this endpoint has to wait, in nanoseconds."""


class DispatcherHooks:
    """Registers a start with the dispatcher, and undoes its changes when the ramp has ended."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Store whether attempts have dedicated connections, to restore it after the ramp."""
        self._dispatcher = dispatcher
        self._dedicated_connections_after_ramp = dispatcher.pools.dedicated_connections

    def register(self, observer: StartupObserver) -> None:
        """Register the observer of a start."""
        self._dispatcher.add_observer(observer)
        self._dispatcher.extensions.add_metrics_source(observer)
        self._dispatcher.pools.set_connect_pacing(observer)

    def register_adjuster(self, adjuster: SettingsAdjuster) -> None:
        """Let ``adjuster`` adjust the settings of the decisions from now on."""
        self._dispatcher.extensions.add_settings_adjuster(adjuster)
        self._dispatcher.refresh_settings()

    def begin_ramp(self, policy: RetryAfterPolicy) -> None:
        """Let ``policy`` lengthen the backoff of rejections."""
        self._dispatcher.extensions.set_retry_after_policy(policy)

    def share_connections(self) -> None:
        """Let attempts share connections to endpoints until the ramp has ended.

        While all brokers start at once, dedicated connections would make endpoints handle more
        handshakes than requests.
        """
        self._dispatcher.pools.dedicated_connections = False

    def end_ramp(self) -> None:
        """Undo the changes of the start."""
        self._dispatcher.pools.dedicated_connections = self._dedicated_connections_after_ramp
        self._dispatcher.pools.set_connect_pacing(None)
        self._dispatcher.extensions.set_retry_after_policy(None)

    def start_health_check(self, now_ns: int, endpoint: int) -> None:
        """Start a health check of an endpoint."""
        self._dispatcher.health_checks.start(now_ns, endpoint)

    def account_assumed_work(self, open_fraction: float) -> None:
        """Account the closed part as outstanding work of another process of this broker."""
        outstanding: dict[int, OutstandingWork] = {}
        if open_fraction < 1:
            facade = self._dispatcher.facade
            max_request_threads = facade.max_request_threads()
            for endpoint, (threads, max_backlog) in facade.quotas_and_bounds().items():
                work = assumed_work(open_fraction, threads, max_backlog, max_request_threads)
                outstanding[endpoint] = OutstandingWork(work.threads, work.backlog, 0)
        self._dispatcher.report_event(PeerProcessLoad(outstanding, 1))
