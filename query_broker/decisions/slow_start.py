"""Rule 4: slow start of endpoints that have just started. Performs no I/O."""

from __future__ import annotations

from .active_settings import ActiveSettings
from .concurrency_limit import THREADS_PER_CORE
from .endpoint_pool import EndpointPool
from .tracked_endpoint import TrackedEndpoint

# Divides the budget of an endpoint in warm-up: estimates may be too low by this factor.
ESTIMATE_SAFETY = 3.0
# The same for a complete turn in a large fleet, over which the errors of estimates average out.
TURN_ESTIMATE_SAFETY = 1.5
# Windows of the contract in a turn. In the last of them no broker dispatches, so that no window of
# the contract overlaps two turns.
WINDOWS_PER_TURN = 4


class SlowStart:
    """Limits what is dispatched to endpoints in warm-up.

    An endpoint that gets more work than its contract allows while it warms up fails and does not
    recover. Each broker uses its part of the budget in any window; in a large fleet, where that
    part is less than a request, brokers take turns and use the full budget.
    """

    __slots__ = ("active", "pool")

    def __init__(self, active: ActiveSettings, pool: EndpointPool) -> None:
        """Take the collaborators."""
        self.active = active
        self.pool = pool

    def capacity_fraction(self, now_ns: int, endpoint: TrackedEndpoint) -> float:
        """Return the assumed fraction of an endpoint's capacity, 1 after its warm-up.

        The shape of the ramp is not known; a quadratic one errs on the low side.
        """
        contract = self.active.contract
        remaining_fraction = max(0, endpoint.warmup_ends_ns - now_ns) / max(1, contract.warmup_ns)
        ramp = max(0.0, 1 - remaining_fraction) ** 2
        initial_capacity = contract.warmup_initial_capacity
        return initial_capacity + (1 - initial_capacity) * ramp

    def is_our_turn(self, now_ns: int, endpoint: TrackedEndpoint) -> bool:
        """Whether this broker may use an endpoint in warm-up now, in a large fleet."""
        window_ns = self.active.contract.overload_window_ns
        settings = self.active.settings
        turn_owners = self.pool.turn_owners
        number = endpoint.entry.endpoint
        # The number of the endpoint is added, so that not all endpoints change turns at once.
        turn, time_in_turn = divmod(now_ns + number, WINDOWS_PER_TURN * window_ns)
        place = (turn * turn_owners + number - settings.broker_index) % settings.fleet_size
        return time_in_turn < (WINDOWS_PER_TURN - 1) * window_ns and place < turn_owners

    def allows(self, now_ns: int, endpoint: TrackedEndpoint, work_ns: int) -> bool:
        """Whether an amount of work, in thread-nanoseconds, stays within the warm-up's budget."""
        contract = self.active.contract
        if now_ns >= endpoint.warmup_ends_ns or contract.overload_window_ns <= 0:
            return True
        budget_ns = (
            endpoint.cores
            * contract.overload_window_ns
            * contract.overload_multiple
            * self.capacity_fraction(now_ns, endpoint)
        )
        if self.pool.large_fleet:
            is_our_turn = self.is_our_turn(now_ns, endpoint)
            fraction = is_our_turn / TURN_ESTIMATE_SAFETY / self.pool.turn_owners
        else:
            fraction = 1 / ESTIMATE_SAFETY / self.active.settings.fleet_size
        used_ns = endpoint.warmup_work.at(now_ns) + endpoint.co_process_work.warmup_ns
        return used_ns + work_ns <= budget_ns * fraction

    def fits_in_turn(self, now_ns: int, endpoint: TrackedEndpoint, threads: int) -> bool:
        """Whether an endpoint in warm-up has capacity for a request in our turn.

        The usual quota would waste the turn, in which no other brokers use the endpoint.
        """
        if endpoint.backlog_ns == 0:
            return True
        capacity = THREADS_PER_CORE * endpoint.cores * self.capacity_fraction(now_ns, endpoint)
        return endpoint.threads_in_flight + threads <= capacity / self.pool.turn_owners
