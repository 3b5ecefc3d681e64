"""Suspicions: how a member is suspected, refutes the suspicion, or is removed.

SWIM's suspicion subprotocol (section 4.2) with Lifeguard's dynamic timeouts (section IV.B). In
addition, evidence that a suspect still sends messages extends the suspicion, and another member's
claim that a member is dead counts only as a confirmation. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from .detector_statistics import DetectorStatistics, Statistic
from .gossip import GossipQueue
from .local_health import LocalHealth
from .member_record import MemberRecord
from .member_table import MemberTable
from .messages import Claim, Identity, Status
from .own_member import OwnMember
from .settings import NS_PER_MS, MembershipSettings
from .timing import (
    CONFIRMATIONS_FOR_MINIMUM,
    MAX_SUSPICION_MULTIPLIER,
    evidence_limit_ns,
    suspicion_timeout_ns,
)

FALSE_SUSPICION_DECAY_INTERVALS = 60


@dataclass(slots=True)
class Suspicion:
    """An open suspicion.

    Attributes:
        opened_ns: When the suspicion began, or was last extended because messages of the suspect
            arrived at this process.
        timer_start_ns: When its timer was last started or restarted.
        reporters: Addresses of the members that have reported it.
    """

    opened_ns: int
    timer_start_ns: int
    reporters: set[str]


class SuspicionTracker:
    """Tracks open suspicions and changes the status of members accordingly.

    Attributes:
        active_suspicions: Open suspicions by member.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        table: MemberTable,
        gossip: GossipQueue,
        health: LocalHealth,
        statistics: DetectorStatistics,
    ) -> None:
        """Start without suspicions."""
        self._settings = settings
        self._own = own
        self._table = table
        self._gossip = gossip
        self._health = health
        self._statistics = statistics
        self._decay_ns = FALSE_SUSPICION_DECAY_INTERVALS * settings.interval_ns
        self.active_suspicions: dict[Identity, Suspicion] = {}

    def suspect(
        self, now_ns: int, record: MemberRecord, reporter: str, is_announced: bool = True
    ) -> None:
        """Open a suspicion, and gossip it if `is_announced`."""
        record.reporter = reporter
        self._statistics[Statistic.SUSPICIONS] += 1
        self.active_suspicions[record.identity] = Suspicion(now_ns, now_ns, {reporter})
        self._set_status(now_ns, record, Status.SUSPECT, f"suspected by {reporter}")
        if is_announced:
            self._gossip.add(record.claim(Status.SUSPECT, reporter))

    def confirm(self, record: MemberRecord, reporter: str) -> None:
        """Count an independent report of the same suspicion.

        A faulty member that reports a suspicion under many names cannot shorten it below the
        minimum, within which a live member receives and refutes it.
        """
        reporters = self.active_suspicions[record.identity].reporters
        if reporter not in reporters and len(reporters) <= CONFIRMATIONS_FOR_MINIMUM:
            reporters.add(reporter)
            self._gossip.add(record.claim(Status.SUSPECT, reporter))

    def is_reported_by(self, identity: Identity, reporter: str) -> bool:
        """Return whether the reporter is already counted for the suspicion of a suspect."""
        return reporter in self.active_suspicions[identity].reporters

    def refute(self, now_ns: int, record: MemberRecord) -> None:
        """Accept a newer incarnation of a member as proof that it is alive."""
        if record.status is not Status.ALIVE:
            was_suspect = record.status is Status.SUSPECT
            name = Statistic.FALSE_SUSPICIONS if was_suspect else Statistic.FALSE_REMOVALS
            self._statistics[name] += 1
            record.reporter = ""
            self._count_false_suspicion(now_ns, record)
            self._set_status(now_ns, record, Status.ALIVE, "is alive after all")
        self._gossip.add(record.claim(Status.ALIVE))

    def remove(self, now_ns: int, record: MemberRecord, reporter: str, reason: str = "") -> None:
        """Declare a member dead and gossip the removal."""
        record.reporter = reporter
        silent_ns = now_ns - (record.evidence_ns or record.status_since_ns)
        self._statistics[Statistic.REMOVALS] += 1
        self._statistics[Statistic.REMOVAL_MS] += max(0, silent_ns) // NS_PER_MS
        self._set_status(now_ns, record, Status.DEAD, reason or f"removed by {reporter}")
        self._gossip.add(record.claim(Status.DEAD, reporter))

    def accept_leave(self, now_ns: int, record: MemberRecord, claim: Claim) -> None:
        """Record a leave whose secret has been verified, and gossip the claim."""
        record.leave_proof = claim.leave_proof
        self._set_status(now_ns, record, Status.LEFT, "left")
        self._gossip.add(claim)

    def deadline_ns(self, identity: Identity) -> int:
        """Return when the suspicion of a suspect ends."""
        suspicion = self.active_suspicions[identity]
        interval_ns = self._settings.interval_ns
        size = self._table.size
        if self._settings.plain_swim:
            timeout_ns = suspicion_timeout_ns(interval_ns, size, CONFIRMATIONS_FOR_MINIMUM)
            return suspicion.timer_start_ns + timeout_ns
        false_suspicions = self._table.records[identity].recent_false_suspicions(
            suspicion.opened_ns, self._decay_ns
        )
        confirmations = len(suspicion.reporters) - 1
        timeout_ns = suspicion_timeout_ns(interval_ns, size, confirmations, false_suspicions)
        return suspicion.timer_start_ns + self._health.extended_ns(timeout_ns)

    def expire(self, now_ns: int) -> None:
        """Remove suspects whose time is over, or extend it if they are known to send messages."""
        for identity, suspicion in list(self.active_suspicions.items()):
            if now_ns >= self.deadline_ns(identity):
                self._resolve(now_ns, self._table.records[identity], suspicion)

    def restart_timers(self, now_ns: int) -> None:
        """Restart the timers of all suspicions.

        When the local health score falls, the timeouts shrink, and the suspicions from a time when
        this process received nothing would all expire at once.
        """
        for suspicion in self.active_suspicions.values():
            suspicion.timer_start_ns = now_ns

    def postpone(self, duration_ns: int) -> None:
        """Delay all timers by the time for which this process was paused."""
        for suspicion in self.active_suspicions.values():
            suspicion.timer_start_ns += duration_ns

    def _resolve(self, now_ns: int, record: MemberRecord, suspicion: Suspicion) -> None:
        if self._settings.plain_swim:
            self.remove(now_ns, record, self._own.identity.address)
        elif record.received_ns > suspicion.timer_start_ns:
            # Its messages arrive; that it does not receive messages is no reason to remove it.
            suspicion.timer_start_ns = now_ns
            suspicion.opened_ns = now_ns
            self._count_false_suspicion(now_ns, record)
        elif self._has_recent_evidence(now_ns, record, suspicion):
            suspicion.timer_start_ns = now_ns
            self._count_false_suspicion(now_ns, record)
        elif now_ns < self._health.recovers_at_ns:
            # This process was paused and has received nothing since.
            suspicion.timer_start_ns = now_ns
        else:
            self.remove(now_ns, record, self._own.identity.address)

    def _has_recent_evidence(self, now_ns: int, record: MemberRecord, suspicion: Suspicion) -> bool:
        """Return whether others still receive its messages; counts for a limited time only."""
        if record.evidence_ns <= suspicion.timer_start_ns:
            return False
        limit_ns = evidence_limit_ns(self._settings.interval_ns, self._table.size)
        return now_ns - suspicion.opened_ns < limit_ns

    def _count_false_suspicion(self, now_ns: int, record: MemberRecord) -> None:
        recent = record.recent_false_suspicions(now_ns, self._decay_ns)
        record.false_suspicions = min(MAX_SUSPICION_MULTIPLIER, recent + 1)
        record.false_suspicion_at_ns = now_ns

    def _set_status(self, now_ns: int, record: MemberRecord, status: Status, reason: str) -> None:
        if status is not Status.SUSPECT:
            self.active_suspicions.pop(record.identity, None)
        self._table.set_status(now_ns, record, status, reason)
