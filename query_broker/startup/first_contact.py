"""Initial health checks: this broker checks each listed endpoint once, in its time slot."""

from __future__ import annotations

from collections.abc import Collection

from ..decisions.facade import AttemptResult
from .dispatcher_hooks import DispatcherHooks
from .pacing import health_check_slot_ns

#: Replaces the time slot of an endpoint whose health check has been started.
STARTED = -1


class InitialHealthChecks:
    """Starts the initial health checks, and tracks which endpoints have answered."""

    def __init__(self, hooks: DispatcherHooks, checks_per_s: float) -> None:
        """Begin without endpoints.

        Args:
            hooks: Starts the health checks.
            checks_per_s: Health checks of one endpoint per second, by the whole fleet.
        """
        self._hooks = hooks
        self._checks_per_s = checks_per_s
        self._answered: set[int] = set()
        self._slots_ns: dict[int, int] = {}

    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Record the end of a health check: a rejection counts as an answer, a timeout does not."""
        if result is not AttemptResult.TIMEOUT:
            self._answered.add(endpoint)

    def start_due(
        self, now_ns: int, endpoints: Collection[int], broker_index: int, fleet_size: int
    ) -> None:
        """Start the health checks of the endpoints whose time slot has come.

        Args:
            now_ns: The time in nanoseconds.
            endpoints: The numbers of the ready endpoints.
            broker_index: Index of this broker in the fleet.
            fleet_size: Number of brokers.
        """
        for endpoint in endpoints:
            if endpoint not in self._slots_ns:
                self._slots_ns[endpoint] = health_check_slot_ns(
                    now_ns, endpoint, broker_index, fleet_size, self._checks_per_s
                )
            if 0 <= self._slots_ns[endpoint] <= now_ns:
                self._slots_ns[endpoint] = STARTED
                self._hooks.start_health_check(now_ns, endpoint)

    def count_answered(self, endpoints: Collection[int]) -> int:
        """Return how many of these endpoints have answered."""
        return len(self._answered.intersection(endpoints))
