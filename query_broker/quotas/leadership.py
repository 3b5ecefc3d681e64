"""The candidate: requests the votes of a majority to lead the shards assigned to this broker.

A leader may grant leases only while it holds valid votes of more than half of the configured fleet.
Two brokers never do so at the same time: any two majorities share a voter, and a voter votes for
one candidate at a time (leases as in Gray and Cheriton 1989, terms as in Raft). Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .broker_state import BrokerState, LeaseEvent
from .messages import VoteRequest, VoteResponse
from .settings import SHARD_COUNT, expiry_wait_ns, holder_duration_ns
from .sharding import preferred_leader, shard_of
from .voting import Voter

#: A vote request is no longer open for answers once its number is further behind the latest.
MAX_OPEN_VOTE_REQUESTS = 8


class OutstandingGrant(NamedTuple):
    """A granted amount, and when the grant expires by the leader's clock."""

    amount_per_s: float
    expires_at_ns: int


@dataclass(slots=True)
class LedgerEntry:
    """The grants of one limit by the leader to one holder.

    Several grants can be outstanding, since responses may be lost: the holder may use any of them.

    Attributes:
        grants: Outstanding grants by number.
        sequence: Sequence number of the holder's latest request.
        wanted_per_s: Amount wanted by that request.
        requested_at_ns: When that request arrived.
    """

    grants: dict[int, OutstandingGrant] = field(default_factory=dict)
    sequence: int = -1
    wanted_per_s: float = 0.0
    requested_at_ns: int = 0

    def outstanding_per_s(self, now_ns: int) -> float:
        """Return the greatest amount that the holder may be using."""
        live = (grant for grant in self.grants.values() if grant.expires_at_ns > now_ns)
        return max((grant.amount_per_s for grant in live), default=0.0)

    def discard_grants_except(self, grant_id: int, now_ns: int) -> None:
        """Drop all grants except the one that the holder reports to use, if it has not expired."""
        grant = self.grants.get(grant_id)
        self.grants = {}
        if grant is not None and grant.expires_at_ns > now_ns:
            self.grants[grant_id] = grant


@dataclass(slots=True)
class Leadership:
    """One shard that this broker leads, or is a candidate for.

    Attributes:
        term: Term of the candidacy.
        votes: When each voter's vote expires by this broker's clock, by voter.
        requests_sent_ns: When each open vote request was sent, by sequence number.
        elected_at_ns: Since when this broker has been the only grantor; 0 while it is not elected.
        increases_allowed_from_ns: When all grants of the previous leader have expired; until then
            leases are renewed, but not increased.
        ledgers: Grants by limit and holder.
    """

    term: int
    votes: dict[str, int] = field(default_factory=dict)
    requests_sent_ns: dict[int, int] = field(default_factory=dict)
    elected_at_ns: int = 0
    increases_allowed_from_ns: int = 0
    ledgers: dict[str, dict[str, LedgerEntry]] = field(default_factory=dict)

    def restart(self, term: int) -> None:
        """Become a candidate without votes in a new term."""
        self.elected_at_ns = 0
        self.term = term
        self.votes.clear()
        self.requests_sent_ns.clear()


class LeaderElection:
    """Seeks and keeps the leadership of the shards that the view assigns to this broker.

    Attributes:
        leaderships: Leadership or candidacy by shard.
    """

    def __init__(self, state: BrokerState, voter: Voter) -> None:
        """Start without any candidacy.

        Args:
            state: State shared with the other roles.
            voter: This broker's own voter, whose vote is requested first.
        """
        self.state = state
        self.voter = voter
        self.leaderships: dict[int, Leadership] = {}

    def has_authority(self, shard: int, now_ns: int) -> bool:
        """Return whether this broker alone may grant leases in a shard at this moment.

        No broker may while there are more members than the configured fleet size: two candidates
        could then each have the votes of more than half of the configured fleet.
        """
        leadership = self.leaderships.get(shard)
        if leadership is None or len(self.state.members) > self.state.fleet_size:
            return False
        valid_votes = sum(expires_at_ns > now_ns for expires_at_ns in leadership.votes.values())
        return valid_votes * 2 > self.state.fleet_size

    def count_votes(self, now_ns: int, voter: str, response: VoteResponse) -> None:
        """Count the votes in the answer to a vote request."""
        for shard, term in response.rejected_shards:
            leadership = self.leaderships.get(shard)
            if leadership is None or term <= leadership.term:
                continue
            if not self.has_authority(shard, now_ns):
                leadership.restart(term + 1)
        settings = self.state.settings
        vote_duration_ns = holder_duration_ns(settings.vote_ns, settings.clock_drift)
        for shard in response.granted_shards:
            leadership = self.leaderships.get(shard)
            if leadership is None:
                continue
            sent_at_ns = leadership.requests_sent_ns.get(response.sequence)
            if sent_at_ns is None:
                continue
            expires_at_ns = sent_at_ns + vote_duration_ns
            leadership.votes[voter] = max(leadership.votes.get(voter, 0), expires_at_ns)
        self.update(now_ns)

    def update(self, now_ns: int) -> None:
        """Begin or end leaderships according to the votes that are valid now.

        After a lapse of its authority, however short, this broker needs a new term and an empty
        ledger: another broker may have been the leader in the meantime.
        """
        settings = self.state.settings
        for shard, leadership in self.leaderships.items():
            if self.has_authority(shard, now_ns):
                if not leadership.elected_at_ns:
                    leadership.elected_at_ns = now_ns
                    leadership.ledgers = {}
                    wait_ns = expiry_wait_ns(settings.lease_ns, settings.clock_drift)
                    leadership.increases_allowed_from_ns = now_ns + wait_ns
            elif leadership.elected_at_ns:
                leadership.restart(leadership.term + 1)
                self.state.event_counts[LeaseEvent.LEADERSHIP_LOST] += 1

    def request_votes(self, now_ns: int) -> None:
        """Request the votes of all members in the shards assigned to this broker."""
        assigned = self._assigned_shards()
        for shard in list(self.leaderships):
            if shard not in assigned and not self.has_authority(shard, now_ns):
                del self.leaderships[shard]
        for shard in assigned:
            if shard not in self.leaderships:
                self.leaderships[shard] = Leadership(self.voter.highest_term(shard) + 1)
        if not assigned:
            return
        sequence = self.state.next_sequence()
        candidacies = tuple(self._record_candidacy(now_ns, shard, sequence) for shard in assigned)
        request = VoteRequest(sequence, candidacies)
        own_vote = self.voter.answer(now_ns, self.state.name, request)
        self.count_votes(now_ns, self.state.name, own_vote)
        for member in self.state.members:
            if member != self.state.name:
                self.state.send(member, request)

    def _assigned_shards(self) -> list[int]:
        """Return the shards with limits that the view, if certain, assigns to this broker."""
        if not self.state.is_view_certain:
            return []
        used_shards = {shard_of(limit) for limit in self.state.limits}
        return [
            shard
            for shard in range(SHARD_COUNT)
            if shard in used_shards
            and preferred_leader(shard, self.state.members) == self.state.name
        ]

    def _record_candidacy(self, now_ns: int, shard: int, sequence: int) -> tuple[int, int, bool]:
        """Record a vote request for a shard, and return its entry for the `VoteRequest`."""
        leadership = self.leaderships[shard]
        requests_sent_ns = leadership.requests_sent_ns
        requests_sent_ns[sequence] = now_ns
        oldest_open = sequence - MAX_OPEN_VOTE_REQUESTS
        for outdated in [number for number in requests_sent_ns if number < oldest_open]:
            del requests_sent_ns[outdated]
        return shard, leadership.term, bool(leadership.elected_at_ns)
