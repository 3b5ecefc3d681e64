"""First contact: each listed endpoint is probed once, in a slot of this broker's own."""

from __future__ import annotations

from collections.abc import Collection

from ..decisions.facade import AttemptResult
from .dispatcher_hooks import DispatcherHooks
from .pacing import probe_slot_ns

#: In the place of a time: the endpoint has been probed.
PROBED = -1


class FirstContact:
    """Which endpoints are to be probed, and which have answered."""

    def __init__(self, hooks: DispatcherHooks, probes_per_s: float) -> None:
        """Begin with no endpoint known; the rate is of the whole fleet at one endpoint."""
        self._hooks = hooks
        self._probes_per_s = probes_per_s
        self._answered: set[int] = set()
        self._probe_at: dict[int, int] = {}

    def ended(self, endpoint: int, result: AttemptResult) -> None:
        """A health check has ended; a rejection is contact as well, silence is not."""
        if result is not AttemptResult.TIMEOUT:
            self._answered.add(endpoint)

    def probe_due(self, now: int, endpoints: Collection[int], place: int, fleet_size: int) -> None:
        """Probe the endpoints whose slots have come.

        Args:
            now: The time in nanoseconds.
            endpoints: The numbers of those that are ready.
            place: Place of this broker in the fleet.
            fleet_size: Number of brokers.
        """
        for endpoint in endpoints:
            if endpoint not in self._probe_at:
                self._probe_at[endpoint] = probe_slot_ns(
                    now, endpoint, place, fleet_size, self._probes_per_s
                )
            if 0 <= self._probe_at[endpoint] <= now:
                self._probe_at[endpoint] = PROBED
                self._hooks.health_check(now, endpoint)

    def answered_of(self, endpoints: Collection[int]) -> int:
        """Return how many of these endpoints have answered."""
        return len(self._answered.intersection(endpoints))
