"""Counters of the traffic between this process and other members."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TrafficCounters:
    """Bytes of datagrams and frames, and datagrams that were rejected by the rate limit."""

    received_bytes: int = 0
    sent_bytes: int = 0
    flooded: int = 0
