"""The failure detector: turns received messages and ticks into messages and member changes.

Pings in random order, indirect pings and gossip piggybacked on both come from SWIM (Das, Gupta,
Motivala, DSN 2002). Suspicion timeouts that shrink with confirmations, the local health score and
notifying a suspect first come from Lifeguard (Dadgar, Phillips, Currey, DSN 2018). This module adds
incarnations and leaves that only their owner can prove, evidence from other members for a suspect
that sends but does not receive, claims of removals that count only as confirmations, and the
recovery of a process that was paused. Performs no I/O; the caller supplies the time in nanoseconds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .ack_handling import AckHandler
from .anti_entropy import ContactScheduler, SyncScheduler
from .claim_merge import ClaimMerger
from .detector_statistics import DetectorStatistics
from .gossip import GossipQueue
from .incarnations import CHAIN_LENGTH, IncarnationChain
from .local_health import LocalHealth
from .member_record import MemberRecord
from .member_table import MemberChange, MemberTable
from .messages import Ack, Claim, Identity, IndirectPing, Message, Nack, Ping, Status
from .messenger import Messenger, OutgoingMessage
from .own_member import OwnMember
from .ping_relay import PingRelay
from .pings import Pinger
from .round_trip import RoundTripEstimator
from .settings import NS_PER_MS, MembershipSettings
from .suspicion import SuspicionTracker
from .timing import HELPER_COUNT

#: Mean number of additional pings that a suspect receives per interval from the whole group.
EXTRA_SUSPECT_PINGS_PER_INTERVAL = 4.0
LEAVE_RECIPIENT_COUNT = 2 * HELPER_COUNT
#: Number of checks for expired records within `forget_after_ns`.
FORGET_CHECKS_PER_PERIOD = 4
#: Sent instead of an age if no message has arrived.
UNKNOWN_AGE_MS = -1


class FailureDetector:
    """One member's view of the group.

    The caller passes in messages (`receive`) and the time (`tick`), then fetches the results and
    carries them out: `take_outgoing`, `take_sync_requests`, `take_changes`.

    Attributes:
        settings: Settings of the membership.
        draw: Source of all random decisions.
        own: This process as a member.
        table: The other members.
        gossip: Claims that are queued to be sent.
        health: Score of how reliable this process's own observations are.
        suspicions: Open suspicions.
        pinger: Pings in progress.
        contacts: Contact with seeds and unreachable members.
        messenger: Outgoing messages.
        merger: Merges claims into the table.
        statistics: Counters, keyed by the values of `Statistic`.
    """

    def __init__(
        self,
        address: str,
        settings: MembershipSettings,
        chain: IncarnationChain,
        draw: random.Random,
        now_ns: int,
        ordinal: int = 0,
        zone: str = "",
        max_protocol: int = 1,
    ) -> None:
        """Start with an empty table, as a member at the given address."""
        self.settings = settings
        self.draw = draw
        self.own = OwnMember(address, chain, ordinal, zone, max_protocol)
        self.table = MemberTable(self.own, draw)
        self.gossip = GossipQueue()
        self.health = LocalHealth(settings.interval_ns)
        self.statistics = DetectorStatistics()
        self.messenger = Messenger(self.own, self.table, self.gossip, draw)
        self.suspicions = SuspicionTracker(
            settings, self.own, self.table, self.gossip, self.health, self.statistics
        )
        self.merger = ClaimMerger(
            settings,
            self.own,
            self.table,
            self.suspicions,
            self.gossip,
            self.health,
            self.statistics,
        )
        self._start_schedules(now_ns)

    def _start_schedules(self, now_ns: int) -> None:
        """Create the periodic parts; their order fixes the random draws of a seeded run."""
        settings = self.settings
        overall_round_trip = RoundTripEstimator()
        self._relay = PingRelay(settings, self.own, self.table, self.messenger, overall_round_trip)
        self.pinger = Pinger(
            settings,
            self.own,
            self.table,
            self.suspicions,
            self.health,
            self.messenger,
            overall_round_trip,
            self.draw,
        )
        self.next_ping_ns = now_ns + int(self.draw.random() * settings.interval_ns)
        self._syncs = SyncScheduler(
            settings, self.table, self.suspicions, self.gossip, self.messenger, self.draw, now_ns
        )
        self.contacts = ContactScheduler(
            settings, self.own, self.table, self.pinger, self.messenger, self.draw, now_ns
        )
        self._next_forget_ns = now_ns + settings.forget_after_ns // FORGET_CHECKS_PER_PERIOD
        self._acks = AckHandler(
            settings,
            self.own,
            self.table,
            self.health,
            self.suspicions,
            self.pinger,
            self._relay,
            self.contacts,
            self._syncs,
        )

    @property
    def me(self) -> Identity:
        """The identity of this process."""
        return self.own.identity

    def present(self) -> list[Identity]:
        """Return the other members that are alive or suspected."""
        return self.table.present()

    def claims(self) -> tuple[Claim, ...]:
        """Return the complete table, this process first."""
        return (self.own.claim(), *(record.claim() for record in self.table.records.values()))

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Return the messages to send since the last call."""
        return self.messenger.take_outgoing()

    def take_sync_requests(self) -> list[str]:
        """Return the addresses queued for a table exchange since the last call."""
        return self.messenger.take_sync_requests()

    def take_changes(self) -> list[MemberChange]:
        """Return the status changes of members since the last call."""
        return self.table.take_changes()

    def preload(self, others: Iterable[FailureDetector]) -> None:
        """Start with all others known as alive; for simulations."""
        self.table.preload(other.own.claim() for other in others if other is not self)
        self.contacts.has_joined = True

    def receive(
        self, now_ns: int, recipient_boot: bytes, sequence: int, sender: Claim, message: Message
    ) -> None:
        """Process a message.

        Args:
            now_ns: The present time.
            recipient_boot: Boot identifier of the process that the message is addressed to.
            sequence: The sender's sequence number; the caller has already rejected replays.
            sender: The sender's claim about itself.
            message: The message.
        """
        if sender.member == self.me or self.own.has_left:
            return
        if recipient_boot != self.me.boot:
            self._receive_misaddressed(now_ns, sender, message)
            return
        self.merger.merge(now_ns, sender)
        record = self.table.get(sender.member)
        if record is None:
            return  # The table is full, or the sender's claim is not proven.
        self._record_message(now_ns, record, sequence)
        self._handle(now_ns, sender.member, message)

    def merge_table(self, now_ns: int, claims: Iterable[Claim]) -> None:
        """Merge another member's complete table."""
        self.merger.merge_all(now_ns, claims, CHAIN_LENGTH)
        if self.present():
            self.contacts.has_joined = True

    def leave(self) -> None:
        """Announce the leave of this process to some members, which spread it by gossip."""
        if self.own.has_left:
            return
        self.own.mark_left()
        self.table.invalidate_digest()
        present = self.present()
        for recipient in self.draw.sample(present, min(LEAVE_RECIPIENT_COUNT, len(present))):
            ping_id = self.messenger.new_ping_id()
            self.messenger.send(recipient, Ping(ping_id, "", (self.own.claim(),)))

    def tick(self, now_ns: int, late_ns: int = 0) -> None:
        """Run the periodic work.

        Args:
            now_ns: The present time.
            late_ns: How much later than planned the caller's timer fired.
        """
        if not self.settings.plain_swim and self.health.record_lateness(now_ns, late_ns):
            self.pinger.cancel_all()
            self._relay.cancel_all()
            self.suspicions.postpone(late_ns)
        self._relay.expire(now_ns)
        self.pinger.advance(now_ns)
        self.suspicions.expire(now_ns)
        if now_ns >= self.next_ping_ns:
            self._start_pings(now_ns)
        self.contacts.tick(now_ns)
        self._syncs.tick(now_ns)
        self._forget_absent(now_ns)

    def _receive_misaddressed(self, now_ns: int, sender: Claim, message: Message) -> None:
        """Process a message that is addressed to an earlier process at this address.

        The message may be very old. A ping is answered with the identity of this process, and its
        claims are accepted only as far as they carry their own proof.
        """
        if not isinstance(message, Ping):
            return
        self.merger.merge(now_ns, sender)
        self.merger.merge_all(now_ns, message.claims)
        self.messenger.send_ack(sender.member, message.ping_id, UNKNOWN_AGE_MS)

    def _record_message(self, now_ns: int, record: MemberRecord, sequence: int) -> None:
        record.received_ns = now_ns
        if sequence <= record.sequence:
            return
        record.sequence = sequence
        record.evidence_ns = now_ns
        if record.status is Status.SUSPECT and not self.settings.plain_swim:
            self.gossip.add(record.claim(Status.EVIDENCE, self.me.address))

    def _handle(self, now_ns: int, sender: Identity, message: Message) -> None:
        match message:
            case Ping():
                self.merger.merge_all(now_ns, message.claims)
                age_ms = self._last_message_age_ms(now_ns, message.on_behalf_of)
                self.messenger.send_ack(sender, message.ping_id, age_ms)
            case IndirectPing():
                self.merger.merge_all(now_ns, message.claims)
                self._relay.start(now_ns, sender, message.ping_id, message.target)
            case Ack():
                self.merger.merge_all(now_ns, message.claims)
                self._acks.handle(now_ns, sender, message)
            case Nack():
                self.pinger.record_nack(now_ns, sender, message.ping_id)

    def _last_message_age_ms(self, now_ns: int, address: str) -> int:
        """Return how long ago a message from an address arrived; -1 if none has."""
        if not address:
            return UNKNOWN_AGE_MS
        received_ns = max(
            (
                record.received_ns
                for record in self.table.records.values()
                if record.identity.address == address
            ),
            default=0,
        )
        return (now_ns - received_ns) // NS_PER_MS if received_ns else UNKNOWN_AGE_MS

    def _start_pings(self, now_ns: int) -> None:
        """Ping the next member, and each suspect with a small probability.

        Unlike timeouts, the interval is not extended by the local health score: the pings of a
        process that receives nothing still show the others that it is alive.
        """
        self.next_ping_ns = now_ns + self.settings.interval_ns
        target = self.table.next_to_ping()
        if target is not None:
            self.pinger.start(now_ns, target)
        if self.settings.plain_swim:
            return
        for suspect in list(self.suspicions.active_suspicions):
            if self.draw.random() < EXTRA_SUSPECT_PINGS_PER_INTERVAL / self.table.size:
                self.pinger.start(now_ns, suspect)

    def _forget_absent(self, now_ns: int) -> None:
        if now_ns < self._next_forget_ns:
            return
        self._next_forget_ns = now_ns + self.settings.forget_after_ns // FORGET_CHECKS_PER_PERIOD
        self.table.forget_older_than(now_ns, self.settings.forget_after_ns)
