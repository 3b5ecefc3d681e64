"""The record of this broker's leases, from which an auditor adds up those of all brokers.

Performs no I/O.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .leases import LeaseManager

MAX_RECORDS = 400


class LeaseRecord(NamedTuple):
    """A lease of a limit began, changed or ended; in the operators' JSON a list in this order."""

    at_ns: int
    limit: str
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
        self.records: deque[LeaseRecord] = deque(maxlen=MAX_RECORDS)
        self._last: dict[str, tuple[float, int]] = {}

    def update(self, now_ns: int) -> None:
        """Record what has changed."""
        for limit in self.leases.state.limits:
            lease = self.leases.holder.leases.get(limit)
            amount_per_s = 0.0 if lease is None else lease.amount_per_s
            expires_at_ns = now_ns if lease is None else lease.expires_at_ns
            current = (amount_per_s, expires_at_ns)
            if self._last.get(limit) != current:
                self._last[limit] = current
                self.records.append(LeaseRecord(now_ns, limit, *current))
