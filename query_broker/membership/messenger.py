"""Outgoing messages of the failure detector, with gossip piggybacked on them.

Performs no I/O: messages are queued until the caller fetches and sends them.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from .gossip import GossipQueue
from .member_table import MemberTable
from .messages import Ack, Claim, Identity, IndirectPing, Message, Nack, Ping, Status
from .own_member import OwnMember

PING_ID_BITS = 62


class OutgoingMessage(NamedTuple):
    """A message and its recipient; an empty boot stands for any process at the address."""

    recipient: Identity
    message: Message


class Messenger:
    """Queues outgoing messages and requests for table exchanges.

    Attributes:
        outgoing: Messages that the caller has not fetched yet.
        sync_requests: Addresses of members to exchange tables with.
    """

    def __init__(
        self, own: OwnMember, table: MemberTable, gossip: GossipQueue, draw: random.Random
    ) -> None:
        """Start with nothing to send."""
        self._own = own
        self._table = table
        self._gossip = gossip
        self._draw = draw
        self.outgoing: list[OutgoingMessage] = []
        self.sync_requests: list[str] = []

    def new_ping_id(self) -> int:
        """Return a random ping id; a predictable one would let a forged ack keep a member alive."""
        return self._draw.getrandbits(PING_ID_BITS)

    def send(self, recipient: Identity, message: Message) -> None:
        """Queue a message without adding gossip."""
        self.outgoing.append(OutgoingMessage(recipient, message))

    def send_ping(self, recipient: Identity, ping_id: int, on_behalf_of: str = "") -> None:
        """Queue a ping with gossip."""
        self.send(recipient, Ping(ping_id, on_behalf_of, self._claims_for(recipient)))

    def send_indirect_ping(self, helper: Identity, ping_id: int, target: Identity) -> None:
        """Queue a request that the helper pings the target, with gossip."""
        self.send(helper, IndirectPing(ping_id, target, self._claims_for(helper)))

    def send_ack(self, recipient: Identity, ping_id: int, last_message_age_ms: int) -> None:
        """Queue the ack of a ping, with gossip."""
        digest = self._table.digest()
        claims = self._claims_for(recipient)
        self.send(recipient, Ack(ping_id, self._own.identity, last_message_age_ms, digest, claims))

    def forward_ack(self, recipient: Identity, ping_id: int, ack: Ack) -> None:
        """Queue the ack of an indirect ping for the member that requested the ping."""
        digest = self._table.digest()
        forwarded = Ack(ping_id, ack.responder, ack.last_message_age_ms, digest, ())
        self.send(recipient, forwarded)

    def send_nack(self, recipient: Identity, ping_id: int) -> None:
        """Queue the report that an indirect ping has failed."""
        self.send(recipient, Nack(ping_id))

    def request_sync(self, address: str) -> None:
        """Request that the caller exchange tables with the member at the address."""
        self.sync_requests.append(address)

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Return the messages queued since the last call."""
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def take_sync_requests(self) -> list[str]:
        """Return the addresses queued since the last call."""
        addresses = self.sync_requests
        self.sync_requests = []
        return addresses

    def _claims_for(self, recipient: Identity) -> tuple[Claim, ...]:
        """Return gossip for a recipient.

        For a suspect, the claim about itself comes first, so that it can refute the suspicion
        (Lifeguard's buddy system, section IV.C).
        """
        record = self._table.get(recipient)
        urgent: list[Claim] = []
        if record is not None and record.status in (Status.SUSPECT, Status.DEAD):
            urgent.append(record.claim())
        return self._gossip.take(self._table.size, urgent)
