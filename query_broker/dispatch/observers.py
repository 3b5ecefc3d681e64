"""What other parts register at the dispatcher: observers, and policies that change its work.

An observer implements the methods it needs; the base class does nothing. Adjusters and metrics
sources are registered as the objects that have the method; the policy is one callable. Without any,
requests pass empty tuples.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from ..decisions.facade import AttemptResult, Settings
from .requests import ActiveRequest
from .validation import ParsedRequest


class RequestEnding(Enum):
    """How a request ended for its client; the values stand in the log lines."""

    SUCCESS = "success"
    OVERLOAD = "overload"
    ERROR = "error"
    ABANDONED = "left"  # its client cancelled it or disconnected before the answer


class DispatchObserver:
    """Observes requests, attempts, health checks and administrative changes.

    Methods are called in the order of registration, within the dispatcher's own call: they must not
    block, nor raise.
    """

    def request_arrived(self, parsed: ParsedRequest, now_ns: int) -> None:
        """Called when a valid request has come, before the decisions get their event."""

    def request_ended(self, request: ActiveRequest, ending: RequestEnding) -> None:
        """Called when a request gets its final answer, or when its client abandons it."""

    def attempt_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Called when an attempt has ended, before the decisions get their event."""

    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Called when a health check has ended, after the decisions got their event."""

    def endpoint_administered(self, uid: str, disabled: bool) -> None:
        """Called when an operator has disabled or re-enabled an endpoint at this process."""


class SettingsAdjuster(Protocol):
    """Replaces parts of the settings of the files, before the decisions get them."""

    def adjust(self, settings: Settings, /) -> Settings:
        """Return the settings with this part's values."""


class RetryAfterPolicy(Protocol):
    """Replaces the `retry_after` of a rejection."""

    def retry_after_ns(self, decided_ns: int, /) -> int:
        """Return the pause that the client is asked to keep, given the decided one."""


class MetricsSource(Protocol):
    """Adds lines to the metrics page."""

    def metrics(self) -> bytes:
        """Return lines of the Prometheus text format."""


class DispatchExtensions:
    """All that is registered at one dispatcher.

    Attributes:
        observers: In the order of registration. A tuple, so that an observer may leave while the
            others are called.
        retry_after_policy: None where rejections state the decided pause.
    """

    def __init__(self) -> None:
        """Begin with nothing registered."""
        self.observers: tuple[DispatchObserver, ...] = ()
        self.retry_after_policy: RetryAfterPolicy | None = None
        self._settings_adjusters: list[SettingsAdjuster] = []
        self._metrics_sources: list[MetricsSource] = []

    def add_observer(self, observer: DispatchObserver) -> None:
        """Register an observer after the present ones."""
        self.observers = (*self.observers, observer)

    def remove_observer(self, observer: DispatchObserver) -> None:
        """Remove an observer; nothing happens where it is not registered."""
        self.observers = tuple(other for other in self.observers if other is not observer)

    def set_retry_after_policy(self, policy: RetryAfterPolicy | None) -> None:
        """Register what replaces the `retry_after` of rejections; None removes it."""
        self.retry_after_policy = policy

    def add_settings_adjuster(self, adjuster: SettingsAdjuster) -> None:
        """Register an adjuster, which gets the settings after those that are there."""
        self._settings_adjusters.append(adjuster)

    def add_metrics_source(self, source: MetricsSource) -> None:
        """Register a source, whose lines follow the dispatcher's own and those that are there."""
        self._metrics_sources.append(source)

    def adjusted(self, settings: Settings) -> Settings:
        """Return the settings after all adjusters."""
        for adjuster in self._settings_adjusters:
            settings = adjuster.adjust(settings)
        return settings

    def metrics_text(self) -> bytes:
        """Return the lines of all metrics sources."""
        return b"".join(source.metrics() for source in self._metrics_sources)
