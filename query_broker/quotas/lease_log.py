"""The record of this broker's leases, from which an auditor sums the leases of all brokers.

Performs no I/O.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .leases import LeaseManager

MAX_LEASE_RECORDS = 400


class LeaseRecord(NamedTuple):
    """The start, change or end of a lease; in the operators' JSON a list in this order.

    Attributes:
        changed_at_ns: When the lease changed, by this broker's clock.
        limit: Name of the limit.
        amount_per_s: The amount that may be used from then on.
        expires_at_ns: When the lease expires, by this broker's clock.
    """

    changed_at_ns: int
    limit: str
    amount_per_s: float
    expires_at_ns: int


class LeaseState(NamedTuple):
    """The amount and the expiry of a lease, as recorded last."""

    amount_per_s: float
    expires_at_ns: int


class LeaseLog:
    """Keeps the latest changes of leases.

    Attributes:
        records: The changes, oldest first.
    """

    def __init__(self, leases: LeaseManager) -> None:
        """Start with an empty record of the given leases."""
        self.leases = leases
        self.records: deque[LeaseRecord] = deque(maxlen=MAX_LEASE_RECORDS)
        self._last_states: dict[str, LeaseState] = {}

    def update(self, now_ns: int) -> None:
        """Record the leases that have changed."""
        for limit in self.leases.state.limits:
            lease = self.leases.holder.leases.get(limit)
            amount_per_s = 0.0 if lease is None else lease.amount_per_s
            expires_at_ns = now_ns if lease is None else lease.expires_at_ns
            current = LeaseState(amount_per_s, expires_at_ns)
            if self._last_states.get(limit) != current:
                self._last_states[limit] = current
                self.records.append(LeaseRecord(now_ns, limit, *current))
