"""Rule 5: the order of requests with one key. Performs no I/O."""

from __future__ import annotations

from collections import deque

from .active_settings import ActiveSettings
from .open_requests import Request


class KeyQueues:
    """The open requests of each key in the order of their arrival.

    Only the oldest may be in flight. After an attempt that may still run at its endpoint, a key
    rests for a time before its next request is dispatched.

    Attributes:
        queues: Open requests by key.
        rest_until_ns: When the rest of a key ends.
    """

    __slots__ = ("active", "queues", "rest_until_ns")

    def __init__(self, active: ActiveSettings) -> None:
        """Begin without requests."""
        self.active = active
        self.queues: dict[str, deque[Request]] = {}
        self.rest_until_ns: dict[str, int] = {}

    def append(self, key: str, request: Request) -> None:
        """Queue a request behind the others of its key."""
        self.queues.setdefault(key, deque()).append(request)

    def remove(self, key: str, request: Request) -> None:
        """Remove a request from its queue."""
        self.queues[key].remove(request)

    def rest(self, now_ns: int, key: str) -> None:
        """Let a key rest from now on, for the time of the contract."""
        self.rest_until_ns[key] = now_ns + self.active.contract.key_rest_ns

    def rests_until(self, key: str) -> int:
        """Return when the rest of a key ends, 0 where it does not rest."""
        return self.rest_until_ns.get(key, 0)

    def next_waiting(self, key: str) -> Request | None:
        """Return the oldest request of a key if it has not been dispatched."""
        queue = self.queues.get(key)
        if not queue:
            return None
        oldest = queue[0]
        return None if oldest.finished or oldest.attempts_started > 0 else oldest

    def may_dispatch(self, now_ns: int, key: str, request: Request) -> bool:
        """Whether a request is the oldest of its key and, at its first attempt, no rest remains."""
        if self.queues[key][0] is not request:
            return False
        return request.attempts_started > 0 or now_ns >= self.rests_until(key)

    def waits_too_long(self, now_ns: int, key: str, request: Request) -> bool:
        """Whether the expected wait in the queue exceeds the request's latency objective.

        In a longer queue all requests would be late.
        """
        queue = self.queues[key]
        if len(queue) <= 1:
            return False
        expected_wait_ns = sum(_remaining_time(now_ns, queued) for queued in queue)
        return request.latency_objective() < expected_wait_ns

    def discard_if_idle(self, now_ns: int, key: str) -> None:
        """Forget a key that has no requests, and its rest once it is over."""
        if self.queues.get(key):
            return
        self.queues.pop(key, None)
        if self.rests_until(key) <= now_ns:
            self.rest_until_ns.pop(key, None)


def _remaining_time(now_ns: int, request: Request) -> float:
    """Return the expected time to the answer in ns, less the age of the oldest attempt."""
    ages_ns = (now_ns - attempt.dispatched_ns for attempt in request.in_flight.values())
    oldest_age_ns = max(ages_ns, default=0)
    expected_ns = request.statistics.expected_latency(request.work_ns)
    return max(0.0, expected_ns - oldest_age_ns)
