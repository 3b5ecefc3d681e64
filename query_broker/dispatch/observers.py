"""Observers of the dispatcher, and policies that change its behaviour.

An observer overrides the methods that it needs; those of the base class do nothing. Adjusters,
metrics sources and the `retry_after` policy are objects that implement their protocol. A dispatcher
without registrations only iterates over empty collections.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from ..decisions.facade import AttemptResult, Settings
from .requests import ActiveRequest
from .validation import ParsedRequest


class RequestEnding(Enum):
    """How a request ended for its client; the values appear in log lines."""

    SUCCESS = "success"
    OVERLOAD = "overload"
    ERROR = "error"
    ABANDONED = "left"  # its client cancelled it or disconnected before the answer


class DispatchObserver:
    """Observes requests, attempts, health checks and administrative changes.

    Observers are called synchronously, in the order of their registration. Their methods must
    neither block nor raise.
    """

    def request_arrived(self, parsed: ParsedRequest, now_ns: int) -> None:
        """Called when a valid request has arrived, before the decisions get their event."""

    def request_ended(self, request: ActiveRequest, ending: RequestEnding) -> None:
        """Called when a request gets its final answer, or when its client abandons it."""

    def attempt_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Called when an attempt has ended, before the decisions get their event."""

    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Called when a health check has ended, after the decisions got their event."""

    def endpoint_administered(self, uid: str, disabled: bool) -> None:
        """Called when an operator has disabled or re-enabled an endpoint in this process."""


class SettingsAdjuster(Protocol):
    """Replaces parts of the settings read from files, before the decisions get them."""

    def adjust(self, settings: Settings, /) -> Settings:
        """Return the settings with the values that this adjuster replaces."""


class RetryAfterPolicy(Protocol):
    """Replaces the `retry_after` of a rejection."""

    def retry_after_ns(self, original_ns: int, /) -> int:
        """Return how long the client is asked to wait, given the value from the decisions."""


class MetricsSource(Protocol):
    """Adds lines to the metrics page."""

    def metrics(self) -> bytes:
        """Return lines of the Prometheus text format."""


class DispatchExtensions:
    """The observers and policies that are registered at one dispatcher.

    Attributes:
        observers: In the order of registration. A tuple, so that an observer may be removed while
            the observers are being called.
        retry_after_policy: None if rejections carry the `retry_after` of the decisions.
    """

    def __init__(self) -> None:
        """Start without registrations."""
        self.observers: tuple[DispatchObserver, ...] = ()
        self.retry_after_policy: RetryAfterPolicy | None = None
        self._settings_adjusters: list[SettingsAdjuster] = []
        self._metrics_sources: list[MetricsSource] = []

    def add_observer(self, observer: DispatchObserver) -> None:
        """Register an observer, which is called after the present ones."""
        self.observers = (*self.observers, observer)

    def remove_observer(self, observer: DispatchObserver) -> None:
        """Remove an observer; does nothing if it is not registered."""
        self.observers = tuple(other for other in self.observers if other is not observer)

    def set_retry_after_policy(self, policy: RetryAfterPolicy | None) -> None:
        """Set the policy that replaces the `retry_after` of rejections; None removes it."""
        self.retry_after_policy = policy

    def add_settings_adjuster(self, adjuster: SettingsAdjuster) -> None:
        """Register an adjuster, which is applied after the present ones."""
        self._settings_adjusters.append(adjuster)

    def add_metrics_source(self, source: MetricsSource) -> None:
        """Register a source; its lines follow those of the dispatcher and the present sources."""
        self._metrics_sources.append(source)

    def adjust_settings(self, settings: Settings) -> Settings:
        """Return the settings after applying all adjusters."""
        for adjuster in self._settings_adjusters:
            settings = adjuster.adjust(settings)
        return settings

    def metrics_text(self) -> bytes:
        """Return the lines of all metrics sources."""
        return b"".join(source.metrics() for source in self._metrics_sources)
