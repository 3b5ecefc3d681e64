"""Anti-entropy: exchanges of complete tables, and contact with unreachable members.

Gossip alone neither adds a new member to the group nor heals a partition in which both sides have
removed each other. Performs no I/O: the caller carries out the exchange (`table_exchange.py`).
"""

from __future__ import annotations

import random

from .gossip import GossipQueue
from .member_table import MemberTable
from .messages import Ack, Identity, Status
from .messenger import Messenger
from .own_member import OwnMember
from .pings import Pinger
from .settings import MembershipSettings
from .suspicion import SuspicionTracker

#: Mean time between two contacts with an unreachable member, in ping intervals.
RECONTACT_INTERVALS = 10
#: Consecutive acks with a digest other than this process's own that trigger a table exchange.
MAX_DIFFERING_DIGESTS = 4
#: Maximum number of doublings of the delay between two contacts with seeds.
MAX_SEED_BACKOFF_DOUBLINGS = 5


def _jittered_ns(draw: random.Random, mean_ns: int) -> int:
    """Return a random duration between 0.5 and 1.5 times the mean."""
    return int((0.5 + draw.random()) * mean_ns)


class SyncScheduler:
    """Decides when tables are exchanged, and with which member."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        suspicions: SuspicionTracker,
        gossip: GossipQueue,
        messenger: Messenger,
        draw: random.Random,
        now_ns: int,
    ) -> None:
        """Draw the time of the first exchange."""
        self._settings = settings
        self._table = table
        self._suspicions = suspicions
        self._gossip = gossip
        self._messenger = messenger
        self._draw = draw
        self._differing_digests = 0
        self._next_sync_ns = now_ns + _jittered_ns(draw, settings.sync_interval_ns)

    def tick(self, now_ns: int) -> None:
        """Request an exchange with a random member once it is due."""
        if now_ns < self._next_sync_ns:
            return
        self._next_sync_ns = now_ns + _jittered_ns(self._draw, self._settings.sync_interval_ns)
        addresses = [record.identity.address for record in self._table.alive_records()]
        if addresses:
            self._messenger.request_sync(self._draw.choice(addresses))

    def compare_digest(self, now_ns: int, ack: Ack) -> None:
        """Exchange tables early if digests keep differing although no gossip is in progress."""
        if ack.digest and ack.digest != self._table.digest():
            self._differing_digests += 1
        else:
            self._differing_digests = 0
        is_gossip_idle = not self._gossip.queued_claims and not self._suspicions.active_suspicions
        if self._differing_digests >= MAX_DIFFERING_DIGESTS and is_gossip_idle:
            self._differing_digests = 0
            self._next_sync_ns = min(self._next_sync_ns, now_ns)


class ContactScheduler:
    """Contacts seeds until one has answered, and periodically an unreachable member.

    Contact with an unreachable member detects that a partition has healed. Each process contacts
    one unreachable member at a time, so that the load does not grow with the number of lost ones.

    Attributes:
        seeds: Addresses of members that are usually present.
        has_joined: Whether any member has answered.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        table: MemberTable,
        pinger: Pinger,
        messenger: Messenger,
        draw: random.Random,
        now_ns: int,
    ) -> None:
        """Draw the time of the first contact; seeds are contacted at once."""
        self._settings = settings
        self._own = own
        self._table = table
        self._pinger = pinger
        self._messenger = messenger
        self._draw = draw
        self._seed_attempts = 0
        self._last_contact_id = -1
        self._next_seed_contact_ns = now_ns
        self._recontact_interval_ns = RECONTACT_INTERVALS * settings.interval_ns
        self._next_recontact_ns = now_ns + _jittered_ns(draw, self._recontact_interval_ns)
        self.seeds: list[str] = []
        self.has_joined = False

    def tick(self, now_ns: int) -> None:
        """Contact a seed or an unreachable member when it is due."""
        if self.seeds and not self.has_joined and now_ns >= self._next_seed_contact_ns:
            self._contact_seed(now_ns)
        if now_ns >= self._next_recontact_ns:
            self._recontact(now_ns)

    def record_ack(self, sender: Identity, ping_id: int) -> None:
        """Record the ack of a member; the ack of a contact ping triggers a table exchange."""
        self.has_joined = True
        if ping_id == self._last_contact_id:
            self._messenger.request_sync(sender.address)

    def _contact_seed(self, now_ns: int) -> None:
        self._seed_attempts = min(MAX_SEED_BACKOFF_DOUBLINGS, self._seed_attempts + 1)
        backoff = 0.5 + self._draw.random() * (1 << self._seed_attempts) / 4
        self._next_seed_contact_ns = now_ns + int(backoff * self._settings.interval_ns)
        self._contact(now_ns, Identity(self._draw.choice(self.seeds), b""))

    def _recontact(self, now_ns: int) -> None:
        self._next_recontact_ns = now_ns + _jittered_ns(self._draw, self._recontact_interval_ns)
        candidates = self._unreachable()
        if candidates and not self._own.has_left:
            self._contact(now_ns, self._draw.choice(candidates))

    def _unreachable(self) -> list[Identity]:
        """Return the dead members and the seeds at whose addresses no member is present."""
        present = {identity.address for identity in self._table.present()}
        dead = [
            record.identity
            for record in self._table.records.values()
            if record.status is Status.DEAD and record.identity.address not in present
        ]
        absent_seeds = [Identity(seed, b"") for seed in self.seeds if seed not in present]
        return dead + absent_seeds

    def _contact(self, now_ns: int, target: Identity) -> None:
        if target.address != self._own.identity.address:
            self._last_contact_id = self._pinger.contact(now_ns, target)
