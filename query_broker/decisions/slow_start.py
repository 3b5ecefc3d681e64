"""Slow start of endpoints whose process has just started. Performs no I/O."""

from __future__ import annotations

from .active_settings import ActiveSettings
from .concurrency_limit import THREADS_PER_CORE
from .endpoint_pool import EndpointPool
from .tracked_endpoint import TrackedEndpoint

# The work budget of an endpoint in warm-up is divided by this: estimates may be too low by this
# factor.
ESTIMATE_SAFETY_FACTOR = 3.0
# The same for a turn in a large fleet, in which the errors of many estimates average out.
TURN_ESTIMATE_SAFETY_FACTOR = 1.5
# Length of a turn in overload windows of the contract. No broker dispatches in the last window of a
# turn, so that no overload window contains work of two turns.
WINDOWS_PER_TURN = 4


class SlowStart:
    """Limits the work that is dispatched to endpoints in warm-up.

    An endpoint that gets more work than the contract allows during its warm-up fails and does not
    recover. In a small fleet each broker uses its share of the budget of each window. In a large
    fleet that share is less than one request, so the brokers take turns with the full budget.
    """

    __slots__ = ("active_settings", "pool")

    def __init__(self, active_settings: ActiveSettings, pool: EndpointPool) -> None:
        """Store the collaborators."""
        self.active_settings = active_settings
        self.pool = pool

    def capacity_fraction(self, now_ns: int, endpoint: TrackedEndpoint) -> float:
        """Return the assumed available fraction of an endpoint's capacity; 1 after its warm-up.

        The true shape of the ramp is not known; a quadratic one underestimates the capacity.
        """
        contract = self.active_settings.contract
        remaining_fraction = max(0, endpoint.warmup_ends_ns - now_ns) / max(1, contract.warmup_ns)
        ramp = max(0.0, 1 - remaining_fraction) ** 2
        initial_capacity = contract.warmup_initial_capacity
        return initial_capacity + (1 - initial_capacity) * ramp

    def has_turn(self, now_ns: int, endpoint: TrackedEndpoint) -> bool:
        """Whether this broker has its turn at an endpoint in warm-up now, in a large fleet."""
        window_ns = self.active_settings.contract.overload_window_ns
        settings = self.active_settings.settings
        brokers_per_turn = self.pool.brokers_per_turn
        number = endpoint.entry.endpoint
        # The endpoint number shifts the start, so that the turns of all endpoints do not coincide.
        turn, time_in_turn = divmod(now_ns + number, WINDOWS_PER_TURN * window_ns)
        position = (turn * brokers_per_turn + number - settings.broker_index) % settings.fleet_size
        return time_in_turn < (WINDOWS_PER_TURN - 1) * window_ns and position < brokers_per_turn

    def allows(self, now_ns: int, endpoint: TrackedEndpoint, work_ns: int) -> bool:
        """Whether an amount of work, in thread-nanoseconds, stays within the warm-up budget."""
        contract = self.active_settings.contract
        if now_ns >= endpoint.warmup_ends_ns or contract.overload_window_ns <= 0:
            return True
        budget_ns = (
            endpoint.cores
            * contract.overload_window_ns
            * contract.overload_multiple
            * self.capacity_fraction(now_ns, endpoint)
        )
        if self.pool.large_fleet:
            has_turn = self.has_turn(now_ns, endpoint)
            fraction = has_turn / TURN_ESTIMATE_SAFETY_FACTOR / self.pool.brokers_per_turn
        else:
            fraction = 1 / ESTIMATE_SAFETY_FACTOR / self.active_settings.settings.fleet_size
        used_ns = endpoint.warmup_work.sum_at(now_ns) + endpoint.peer_process_work.warmup_ns
        return used_ns + work_ns <= budget_ns * fraction

    def fits_in_turn(self, now_ns: int, endpoint: TrackedEndpoint, threads: int) -> bool:
        """Whether an endpoint in warm-up has capacity for a request in this broker's turn.

        The quota of the endpoint does not apply: it would waste the turn, in which only few brokers
        use the endpoint.
        """
        if endpoint.backlog_ns == 0:
            return True
        capacity = THREADS_PER_CORE * endpoint.cores * self.capacity_fraction(now_ns, endpoint)
        return endpoint.threads_in_flight + threads <= capacity / self.pool.brokers_per_turn
