"""First contact: each listed endpoint is probed once, in a slot of this broker's own."""

from __future__ import annotations

from collections.abc import Collection

from ..decisions.facade import AttemptResult
from .dispatcher_hooks import DispatcherHooks
from .pacing import probe_slot_ns

#: In place of a slot: the endpoint has been probed.
PROBED = -1


class FirstContact:
    """Which endpoints are to be probed, and which have answered."""

    def __init__(self, hooks: DispatcherHooks, probes_per_s: float) -> None:
        """Begin without endpoints.

        Args:
            hooks: Starts the health checks.
            probes_per_s: Probes of one endpoint by the whole fleet.
        """
        self._hooks = hooks
        self._probes_per_s = probes_per_s
        self._answered: set[int] = set()
        self._probe_slots_ns: dict[int, int] = {}

    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Note the end of a health check: a rejection counts as an answer, a timeout does not."""
        if result is not AttemptResult.TIMEOUT:
            self._answered.add(endpoint)

    def probe_due(
        self, now_ns: int, endpoints: Collection[int], place: int, fleet_size: int
    ) -> None:
        """Probe the endpoints whose slots have come.

        Args:
            now_ns: The time in nanoseconds.
            endpoints: The numbers of those that are ready.
            place: Place of this broker in the fleet.
            fleet_size: Number of brokers.
        """
        for endpoint in endpoints:
            if endpoint not in self._probe_slots_ns:
                self._probe_slots_ns[endpoint] = probe_slot_ns(
                    now_ns, endpoint, place, fleet_size, self._probes_per_s
                )
            if 0 <= self._probe_slots_ns[endpoint] <= now_ns:
                self._probe_slots_ns[endpoint] = PROBED
                self._hooks.health_check(now_ns, endpoint)

    def count_answered(self, endpoints: Collection[int]) -> int:
        """Return how many of these endpoints have answered."""
        return len(self._answered.intersection(endpoints))
