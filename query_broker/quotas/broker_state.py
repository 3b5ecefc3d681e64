"""State shared by the lease roles of one broker. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from .messages import LeaseMessage
from .settings import QuotaSettings
from .sharding import preferred_leader, shard_of


class LeaseEvent(StrEnum):
    """Counted events; the values are the labels in the metrics and in the operators' JSON."""

    REQUESTED = "asked"
    GRANTED = "granted"
    REDUCED = (
        "refused"  # granted less than the fair share, because other holders still use the rest
    )
    LEADERSHIP_LOST = "homes_lost"
    EXPIRED = "ended"


class OutgoingMessage(NamedTuple):
    """A message and the name of its recipient."""

    recipient: str
    message: LeaseMessage


@dataclass(slots=True)
class BrokerState:
    """State shared by the voter, the candidate, the grantor and the holder of one broker.

    Attributes:
        name: Name of this broker in the membership.
        settings: Settings of the shared limits.
        fleet_size: Number of brokers according to the platform settings; a majority is more than
            half of it, however many are reachable.
        limits: The leased part of each hard limit, per second.
        members: Names of the members in the current view.
        is_view_certain: Whether the membership considers the view reliable.
        outbox: Messages to send; cleared once they are sent.
        event_counts: How often each `LeaseEvent` happened.
        last_sequence: Number of the latest request; vote and lease requests share one sequence.
    """

    name: str
    settings: QuotaSettings
    fleet_size: int
    limits: dict[str, float] = field(default_factory=dict)
    members: tuple[str, ...] = ()
    is_view_certain: bool = False
    outbox: list[OutgoingMessage] = field(default_factory=list)
    event_counts: dict[str, int] = field(
        default_factory=lambda: {event.value: 0 for event in LeaseEvent}
    )
    last_sequence: int = 0

    def next_sequence(self) -> int:
        """Return the number for a new request."""
        self.last_sequence += 1
        return self.last_sequence

    def send(self, recipient: str, message: LeaseMessage) -> None:
        """Put a message into the outbox."""
        self.outbox.append(OutgoingMessage(recipient, message))

    def leader_of(self, limit: str) -> str:
        """Return the member that should lead the limit's shard; empty without members."""
        return preferred_leader(shard_of(limit), self.members)
