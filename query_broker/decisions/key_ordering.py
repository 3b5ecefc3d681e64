"""The order of requests with the same ordering key. Performs no I/O."""

from __future__ import annotations

from collections import deque

from .active_settings import ActiveSettings
from .open_requests import Request


class KeyQueues:
    """The open requests of each key in the order of their arrival.

    Only the oldest request of a key may be in flight. After an attempt that may still run at its
    endpoint, the key has a cool-down before its next request is dispatched.

    Attributes:
        queues: Open requests by key.
        cooldown_ends_ns: When the cool-down ends, by key.
    """

    __slots__ = ("active_settings", "queues", "cooldown_ends_ns")

    def __init__(self, active_settings: ActiveSettings) -> None:
        """Start without requests."""
        self.active_settings = active_settings
        self.queues: dict[str, deque[Request]] = {}
        self.cooldown_ends_ns: dict[str, int] = {}

    def append(self, key: str, request: Request) -> None:
        """Queue a request behind the others of its key."""
        self.queues.setdefault(key, deque()).append(request)

    def remove(self, key: str, request: Request) -> None:
        """Remove a request from its queue."""
        self.queues[key].remove(request)

    def start_cooldown(self, now_ns: int, key: str) -> None:
        """Start the cool-down of a key; the contract sets its duration."""
        self.cooldown_ends_ns[key] = now_ns + self.active_settings.contract.key_cooldown_ns

    def cooldown_end(self, key: str) -> int:
        """Return when the cool-down of a key ends; 0 if it has none."""
        return self.cooldown_ends_ns.get(key, 0)

    def next_waiting(self, key: str) -> Request | None:
        """Return the oldest request of a key, or None if that has been dispatched or has ended."""
        queue = self.queues.get(key)
        if not queue:
            return None
        oldest = queue[0]
        return None if oldest.finished or oldest.attempts_started > 0 else oldest

    def may_dispatch(self, now_ns: int, key: str, request: Request) -> bool:
        """Whether a request is the oldest of its key; a first attempt must await the cool-down."""
        if self.queues[key][0] is not request:
            return False
        return request.attempts_started > 0 or now_ns >= self.cooldown_end(key)

    def waits_too_long(self, now_ns: int, key: str, request: Request) -> bool:
        """Whether the expected wait in the queue exceeds the request's latency objective.

        All requests of a longer queue would be late.
        """
        queue = self.queues[key]
        if len(queue) <= 1:
            return False
        expected_wait_ns = sum(_remaining_time(now_ns, queued) for queued in queue)
        return request.latency_objective() < expected_wait_ns

    def discard_if_idle(self, now_ns: int, key: str) -> None:
        """Drop the queue of a key without requests, and its cool-down once that has ended."""
        if self.queues.get(key):
            return
        self.queues.pop(key, None)
        if self.cooldown_end(key) <= now_ns:
            self.cooldown_ends_ns.pop(key, None)


def _remaining_time(now_ns: int, request: Request) -> float:
    """Return the expected latency in ns, less the age of the oldest attempt in flight."""
    ages_ns = (now_ns - attempt.dispatched_ns for attempt in request.in_flight.values())
    oldest_age_ns = max(ages_ns, default=0)
    expected_ns = request.statistics.expected_latency(request.work_ns)
    return max(0.0, expected_ns - oldest_age_ns)
