"""Pings of this process, direct and indirect (SWIM, section 3.1).

If a ping is not acked in time, indirect pings through helpers and a second direct ping follow
before it counts as failed. Performs no I/O.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from .local_health import LocalHealth
from .member_record import HelperResult, MemberRecord
from .member_table import MemberTable
from .messages import Identity, Status
from .messenger import Messenger
from .own_member import OwnMember
from .round_trip import RoundTripEstimator, default_timeout_ns
from .settings import MembershipSettings
from .suspicion import SuspicionTracker
from .timing import HELPER_COUNT

MAX_PENDING_PINGS = 16
MAX_HELPER_ROUNDS = 2
MIN_TIMEOUTS_UNTIL_FAILURE = 3
#: Maximum number of points that a ping without any nack adds to the health score.
MAX_NO_NACK_PENALTY_POINTS = 2


class SentPing(NamedTuple):
    """The target and the time of a ping."""

    target: Identity
    sent_ns: int


@dataclass(slots=True)
class PendingPing:
    """A ping that waits for its ack.

    Attributes:
        target: The member that was pinged.
        sent_ns: When it was sent.
        ack_timeout_ns: How long to wait for an ack before helpers are requested.
        next_indirect_ns: When indirect pings are requested next.
        fail_at_ns: When the ping counts as failed.
        helpers: Addresses of the helpers that were requested.
        helper_rounds: How often indirect pings were requested.
        nacks: Number of helpers that reported no ack of the target.
    """

    target: Identity
    sent_ns: int
    ack_timeout_ns: int
    next_indirect_ns: int
    fail_at_ns: int
    helpers: set[str] = field(default_factory=set)
    helper_rounds: int = 0
    nacks: int = 0


class Pinger:
    """Sends pings, and suspects members whose pings fail.

    Attributes:
        pending: Pings that wait for an ack, by ping id.
        overall_round_trip: Estimate of the round-trip time over all members.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        table: MemberTable,
        suspicions: SuspicionTracker,
        health: LocalHealth,
        messenger: Messenger,
        overall_round_trip: RoundTripEstimator,
        draw: random.Random,
    ) -> None:
        """Start without pending pings."""
        self._settings = settings
        self._own = own
        self._table = table
        self._suspicions = suspicions
        self._health = health
        self._messenger = messenger
        self._draw = draw
        # Failed pings and contact pings: they have no timeout, but a late ack is still accepted.
        self._untimed_pings: dict[int, SentPing] = {}
        self.overall_round_trip = overall_round_trip
        self.pending: dict[int, PendingPing] = {}

    def start(self, now_ns: int, target: Identity) -> None:
        """Ping a known member unless a ping of it, or too many pings, are pending."""
        pinged = [ping.target for ping in self.pending.values()]
        if target in pinged or len(pinged) >= MAX_PENDING_PINGS:
            return
        timeout_ns = self._ack_timeout_ns(self._table.records[target])
        fail_after_ns = max(
            self._health.extended_ns(self._settings.interval_ns),
            MIN_TIMEOUTS_UNTIL_FAILURE * timeout_ns,
        )
        ping_id = self._messenger.new_ping_id()
        self.pending[ping_id] = PendingPing(
            target, now_ns, timeout_ns, now_ns + timeout_ns, now_ns + fail_after_ns
        )
        self._messenger.send_ping(target, ping_id)

    def contact(self, now_ns: int, target: Identity) -> int:
        """Ping the process at the target's address; return the ping id.

        A missing ack leads to no suspicion; an ack names the process at the address.
        """
        ping_id = self._messenger.new_ping_id()
        self._untimed_pings[ping_id] = SentPing(target, now_ns)
        self._messenger.send_ping(target, ping_id)
        return ping_id

    def complete(self, ping_id: int) -> SentPing | None:
        """Return and forget the ping with this id; None if it is unknown."""
        ping = self.pending.pop(ping_id, None)
        if ping is None:
            return self._untimed_pings.pop(ping_id, None)
        return SentPing(ping.target, ping.sent_ns)

    def record_nack(self, now_ns: int, helper: Identity, ping_id: int) -> None:
        """Record that a helper has received no ack of the target of a ping."""
        ping = self.pending.get(ping_id)
        if ping is None:
            return
        ping.nacks += 1
        record = self._table.get(ping.target)
        if record is not None:
            record.record_helper_result(helper.address, HelperResult(False, now_ns))

    def advance(self, now_ns: int) -> None:
        """Request indirect pings where acks are overdue, and process pings that have failed."""
        for ping_id, ping in list(self.pending.items()):
            if now_ns >= ping.fail_at_ns:
                self._fail(now_ns, ping_id, ping)
            elif now_ns >= ping.next_indirect_ns:
                self._request_indirect_pings(now_ns, ping_id, ping)

    def cancel_all(self) -> None:
        """Forget all pending pings."""
        self.pending.clear()

    def _ack_timeout_ns(self, record: MemberRecord) -> int:
        interval_ns = self._settings.interval_ns
        if self._settings.plain_swim:
            return default_timeout_ns(interval_ns)
        timeout_ns = record.round_trip.timeout_ns(interval_ns, self.overall_round_trip)
        return self._health.extended_ns(timeout_ns)

    def _request_indirect_pings(self, now_ns: int, ping_id: int, ping: PendingPing) -> None:
        ping.helper_rounds += 1
        plain_swim = self._settings.plain_swim
        if plain_swim or ping.helper_rounds >= MAX_HELPER_ROUNDS:
            ping.next_indirect_ns = ping.fail_at_ns
        else:
            ping.next_indirect_ns = now_ns + ping.ack_timeout_ns
        if not plain_swim:
            # On a link that loses one datagram in three, a second ping costs less than a false
            # suspicion.
            self._messenger.send_ping(ping.target, ping_id)
        candidates = self._helper_candidates(ping)
        for helper in self._draw.sample(candidates, min(HELPER_COUNT, len(candidates))):
            ping.helpers.add(helper.address)
            self._messenger.send_indirect_ping(helper, ping_id, ping.target)

    def _helper_candidates(self, ping: PendingPing) -> list[Identity]:
        return [
            record.identity
            for record in self._table.alive_records()
            if record.identity != ping.target and record.identity.address not in ping.helpers
        ]

    def _fail(self, now_ns: int, ping_id: int, ping: PendingPing) -> None:
        del self.pending[ping_id]
        self._keep_for_late_ack(ping_id, ping)
        record = self._table.get(ping.target)
        if record is None or not record.is_present():
            return
        if not self._settings.plain_swim:
            self._update_own_health(ping)
            has_acked_since = ping.sent_ns <= record.acked_indirectly_ns
            if now_ns < self._health.recovers_at_ns or has_acked_since:
                return
        self._report_suspicion(now_ns, record)

    def _keep_for_late_ack(self, ping_id: int, ping: PendingPing) -> None:
        self._untimed_pings[ping_id] = SentPing(ping.target, ping.sent_ns)
        while len(self._untimed_pings) > MAX_PENDING_PINGS:
            oldest = next(iter(self._untimed_pings))
            del self._untimed_pings[oldest]

    def _update_own_health(self, ping: PendingPing) -> None:
        """Raise the health score if no helper has answered either."""
        if ping.nacks:
            self._health.failed_pings = 0
        elif ping.helpers:
            self._health.failed_pings += 1
            self._health.penalize(min(MAX_NO_NACK_PENALTY_POINTS, len(ping.helpers)))

    def _report_suspicion(self, now_ns: int, record: MemberRecord) -> None:
        own_address = self._own.identity.address
        if record.status is Status.ALIVE:
            # An isolated process would suspect all members, so it does not gossip its suspicions.
            is_isolated = self._health.is_isolated(len(self._table.records))
            self._suspicions.suspect(now_ns, record, own_address, is_announced=not is_isolated)
        elif not self._suspicions.is_reported_by(record.identity, own_address):
            self._suspicions.confirm(record, own_address)
