"""The pace at which this broker calls on the discovery service."""

from __future__ import annotations

from typing import Protocol

from ..discovery.watch_client import CONNECT_TIMEOUT_S, SILENCE_LIMIT_NS
from ..timer_wheel import Clock
from .pacing import PacedCalls, backoff_timeout_ns
from .settings import NS_PER_SECOND

#: Longest time in which a connection has to come up, after many failures.
MAX_CONNECT_TIMEOUT_NS = 8 * NS_PER_SECOND

#: Longest silence after which a connection is given up, after many failures.
MAX_SILENCE_NS = 16 * NS_PER_SECOND


class ConfirmationListener(Protocol):
    """Is notified when the discovery service has nothing newer than this broker."""

    def confirmed(self) -> None:
        """The endpoint list is the one that the discovery service has."""


class DiscoveryPace:
    """Implements ``ReconnectPacing``: by the place in the fleet, then by full jitter.

    Attributes:
        first_wait_s: Seconds until the first call.
    """

    def __init__(self, calls: PacedCalls, clock: Clock, listener: ConfirmationListener) -> None:
        """Draw the slot of the first call.

        Args:
            calls: Decides when this broker calls.
            clock: Gives the time.
            listener: Is notified when the list is confirmed.
        """
        self._calls = calls
        self._clock = clock
        self._listener = listener
        now_ns = clock.now()
        self.first_wait_s = (calls.first_call_ns(now_ns) - now_ns) / NS_PER_SECOND

    def resize(self, place: int, fleet_size: int) -> None:
        """Set the place of this broker and the size of the fleet."""
        self._calls.place = place
        self._calls.fleet_size = fleet_size

    def next_wait_s(self) -> float:
        """Return the seconds to the next call, after one that failed."""
        now_ns = self._clock.now()
        return (self._calls.retry_ns(now_ns) - now_ns) / NS_PER_SECOND

    def connect_timeout_s(self) -> float:
        """Return the seconds in which a connection has to come up."""
        min_timeout_ns = int(CONNECT_TIMEOUT_S * NS_PER_SECOND)
        timeout_ns = backoff_timeout_ns(
            self._calls.failure_count, min_timeout_ns, MAX_CONNECT_TIMEOUT_NS
        )
        return timeout_ns / NS_PER_SECOND

    def silence_limit_ns(self) -> int:
        """Return the nanoseconds of silence after which a connection is given up."""
        return backoff_timeout_ns(self._calls.failure_count, SILENCE_LIMIT_NS, MAX_SILENCE_NS)

    def list_confirmed(self) -> None:
        """The service has sent, or confirmed, what it has up to now."""
        self._calls.succeeded()
        self._listener.confirmed()
