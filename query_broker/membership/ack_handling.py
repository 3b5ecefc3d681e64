"""Handling of acks: they update the pinged member, the sender and the local health.

Performs no I/O.
"""

from __future__ import annotations

from .anti_entropy import ContactScheduler, SyncScheduler
from .local_health import LocalHealth
from .member_record import HelperResult, MemberRecord
from .member_table import MemberTable
from .messages import Ack, Identity
from .own_member import OwnMember
from .ping_relay import PingRelay
from .pings import Pinger, SentPing
from .reachability import RECENT_INTERVALS
from .settings import NS_PER_MS, MembershipSettings
from .suspicion import SuspicionTracker


class AckHandler:
    """Processes the acks of direct and indirect pings."""

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        table: MemberTable,
        health: LocalHealth,
        suspicions: SuspicionTracker,
        pinger: Pinger,
        relay: PingRelay,
        contacts: ContactScheduler,
        syncs: SyncScheduler,
    ) -> None:
        """Keep the collaborators."""
        self._own = own
        self._table = table
        self._health = health
        self._suspicions = suspicions
        self._pinger = pinger
        self._relay = relay
        self._contacts = contacts
        self._syncs = syncs
        self._recent_ms = RECENT_INTERVALS * settings.interval_ns // NS_PER_MS

    def handle(self, now_ns: int, sender: Identity, ack: Ack) -> None:
        """Process an ack; the caller has merged its gossip."""
        if self._relay.forward_ack(ack):
            return
        ping = self._pinger.complete(ack.ping_id)
        if ping is None:
            return
        if self._health.record_ack():
            self._suspicions.restart_timers(now_ns)
        self._contacts.record_ack(sender, ack.ping_id)
        if ack.responder == ping.target:
            self._record_ack(now_ns, sender, ping, ack)
        elif ack.responder.address == ping.target.address:
            self._remove_replaced_member(now_ns, ping.target)

    def _remove_replaced_member(self, now_ns: int, target: Identity) -> None:
        """Remove a member at whose address another process has answered."""
        record = self._table.get(target)
        if record is not None and record.is_present():
            reason = f"{target.address} now belongs to another process"
            self._suspicions.remove(now_ns, record, self._own.identity.address, reason)

    def _record_ack(self, now_ns: int, sender: Identity, ping: SentPing, ack: Ack) -> None:
        record = self._table.get(ping.target)
        if record is None:
            return
        if sender == ping.target:
            self._record_direct_ack(now_ns, record, now_ns - ping.sent_ns)
            self._syncs.compare_digest(now_ns, ack)
        else:
            self._record_indirect_ack(now_ns, record, sender, ack)

    def _record_direct_ack(self, now_ns: int, record: MemberRecord, round_trip_ns: int) -> None:
        record.acked_ns = now_ns
        record.round_trip.record(round_trip_ns)
        self._pinger.overall_round_trip.record(round_trip_ns)

    def _record_indirect_ack(
        self, now_ns: int, record: MemberRecord, helper: Identity, ack: Ack
    ) -> None:
        record.acked_indirectly_ns = now_ns
        record.evidence_ns = max(record.evidence_ns, now_ns)
        record.record_helper_result(helper.address, HelperResult(True, now_ns))
        if 0 <= ack.last_message_age_ms <= self._recent_ms:
            record.hears_us_ns = now_ns
