"""Counters of the traffic between this process and other members."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TrafficCounters:
    """Traffic since the start of the process.

    Attributes:
        received_bytes: Bytes of received datagrams and frames.
        sent_bytes: Bytes of sent datagrams and frames.
        rate_limited_datagrams: Datagrams that were rejected by the rate limit.
    """

    received_bytes: int = 0
    sent_bytes: int = 0
    rate_limited_datagrams: int = 0
