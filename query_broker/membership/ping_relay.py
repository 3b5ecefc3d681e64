"""Indirect pings that this process sends as a helper (SWIM, section 3.1).

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from .member_table import MemberTable
from .messages import Ack, Identity
from .messenger import Messenger
from .own_member import OwnMember
from .round_trip import RoundTripEstimator, default_timeout_ns
from .settings import MembershipSettings

MAX_RELAYED_PINGS = 16


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping on behalf of another member.

    Attributes:
        requester: The member that requested it.
        ping_id: The requester's ping id.
        expires_at_ns: When the requester is sent a nack.
    """

    requester: Identity
    ping_id: int
    expires_at_ns: int


class PingRelay:
    """Relays indirect pings and their acks."""

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        table: MemberTable,
        messenger: Messenger,
        overall_round_trip: RoundTripEstimator,
    ) -> None:
        """Start without relayed pings."""
        self._settings = settings
        self._own = own
        self._table = table
        self._messenger = messenger
        self._overall_round_trip = overall_round_trip
        self._relayed: dict[int, RelayedPing] = {}

    def start(self, now_ns: int, requester: Identity, ping_id: int, target: Identity) -> None:
        """Ping the target for the requester, unless too many such pings are in progress."""
        if len(self._relayed) >= MAX_RELAYED_PINGS or target == self._own.identity:
            return
        own_ping_id = self._messenger.new_ping_id()
        expires_at_ns = now_ns + self._timeout_ns(target)
        self._relayed[own_ping_id] = RelayedPing(requester, ping_id, expires_at_ns)
        self._messenger.send_ping(target, own_ping_id, requester.address)

    def forward_ack(self, ack: Ack) -> bool:
        """Forward an ack to the requester of its ping; return False if no relayed ping matches."""
        relayed = self._relayed.pop(ack.ping_id, None)
        if relayed is None:
            return False
        self._messenger.forward_ack(relayed.requester, relayed.ping_id, ack)
        return True

    def expire(self, now_ns: int) -> None:
        """Send nacks to the requesters of the relayed pings that have expired."""
        for own_ping_id, relayed in list(self._relayed.items()):
            if now_ns >= relayed.expires_at_ns:
                del self._relayed[own_ping_id]
                self._messenger.send_nack(relayed.requester, relayed.ping_id)

    def cancel_all(self) -> None:
        """Forget all relayed pings."""
        self._relayed.clear()

    def _timeout_ns(self, target: Identity) -> int:
        interval_ns = self._settings.interval_ns
        record = self._table.get(target)
        estimator = self._overall_round_trip if record is None else record.round_trip
        timeout_ns = estimator.timeout_ns(interval_ns, self._overall_round_trip)
        return max(timeout_ns, default_timeout_ns(interval_ns))
