"""Paces the connection attempts of this broker to the discovery service."""

from __future__ import annotations

from typing import Protocol

from ..discovery.watch_client import CONNECT_TIMEOUT_S, SERVICE_SILENCE_LIMIT_NS
from ..timer_wheel import Clock
from .pacing import CallSchedule, backoff_timeout_ns
from .settings import NS_PER_SECOND

#: Upper limit of the connect timeout. The timeout doubles with each failed or lost connection until
#: the service next sends or confirms the endpoint list.
MAX_CONNECT_TIMEOUT_NS = 8 * NS_PER_SECOND

#: Upper limit of the silence after which another connection is opened. The allowed silence doubles
#: in the same way.
MAX_SILENCE_NS = 16 * NS_PER_SECOND


class ConfirmationListener(Protocol):
    """Is notified when the endpoint list of this broker is current."""

    def confirmed(self) -> None:
        """Record that the discovery service has no newer endpoint list than this broker."""


class DiscoveryPace:
    """Implements ``ReconnectPacing`` for a fleet whose brokers all start at once.

    Each broker has time slots of its own for connection attempts, by its index in the fleet (see
    `pacing`). The first attempt is made in the next of them; each later one first skips a random
    number of them.

    Attributes:
        first_wait_s: Seconds until the first connection attempt.
    """

    def __init__(self, calls: CallSchedule, clock: Clock, listener: ConfirmationListener) -> None:
        """Choose the time of the first connection attempt.

        Args:
            calls: Schedules the connection attempts of this broker.
            clock: The clock of the node.
            listener: Is notified when the list is confirmed.
        """
        self._calls = calls
        self._clock = clock
        self._listener = listener
        now_ns = clock.now()
        self.first_wait_s = (calls.first_call_ns(now_ns) - now_ns) / NS_PER_SECOND

    def resize(self, broker_index: int, fleet_size: int) -> None:
        """Set the index of this broker and the size of the fleet."""
        self._calls.broker_index = broker_index
        self._calls.fleet_size = fleet_size

    def next_wait_s(self) -> float:
        """Count a failed or lost connection; return the seconds until the next attempt."""
        now_ns = self._clock.now()
        return (self._calls.retry_ns(now_ns) - now_ns) / NS_PER_SECOND

    def connect_timeout_s(self) -> float:
        """Return the connect timeout in seconds."""
        min_timeout_ns = int(CONNECT_TIMEOUT_S * NS_PER_SECOND)
        timeout_ns = backoff_timeout_ns(
            self._calls.failure_count, min_timeout_ns, MAX_CONNECT_TIMEOUT_NS
        )
        return timeout_ns / NS_PER_SECOND

    def silence_limit_ns(self) -> int:
        """Return the silence, in nanoseconds, after which another connection is opened."""
        return backoff_timeout_ns(
            self._calls.failure_count, SERVICE_SILENCE_LIMIT_NS, MAX_SILENCE_NS
        )

    def list_confirmed(self) -> None:
        """Record that the discovery service has sent or confirmed this broker's endpoint list."""
        self._calls.succeeded()
        self._listener.confirmed()
