"""The holder: requests leases ahead of need and knows what this broker may use.

A lease begins for the holder when the request is sent, and lasts for less time than for the
grantor. The holder checks the expiry by its own clock at each use: after a pause of the process, a
lease that has expired is not used. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .broker_state import BrokerState, LeaseEvent
from .lease_grantor import MAX_DEMANDS_PER_MESSAGE
from .messages import Grant, LeaseDemand, LeaseRequest, LeaseResponse
from .settings import holder_duration_ns
from .sharding import shard_of
from .voting import Voter

#: Sent as the wanted amount to return the lease.
RETURNED_AMOUNT = -1.0
#: Replaces the sequence number of a request that has been answered.
NO_SEQUENCE = -1


@dataclass(slots=True)
class Lease:
    """A lease of this broker.

    Attributes:
        amount_per_s: The amount that may be used.
        expires_at_ns: When the lease expires, by this broker's clock.
        grant_id: Number of the grant.
        leader_term: Term of the leader that granted it.
    """

    amount_per_s: float
    expires_at_ns: int
    grant_id: int
    leader_term: int


class PendingRequest(NamedTuple):
    """The latest request for a limit; its sequence is `NO_SEQUENCE` once answered."""

    sequence: int
    sent_at_ns: int


NEVER_REQUESTED = PendingRequest(NO_SEQUENCE, 0)


class AddressedRequest(NamedTuple):
    """A lease request and the name of the leader it is sent to."""

    leader: str
    request: LeaseRequest


class LeaseHolder:
    """Keeps this broker's leases.

    Attributes:
        leases: Lease by limit.
        wanted_per_s: The amount needed beyond the guaranteed part, by limit.
        always_requested_limits: Limits whose unused capacity is requested even without demand.
        pending_requests: Latest request by limit.
    """

    def __init__(self, state: BrokerState, voter: Voter) -> None:
        """Start without leases.

        Args:
            state: State shared with the other roles.
            voter: This broker's voter, which knows the terms of the shards.
        """
        self.state = state
        self.voter = voter
        self.leases: dict[str, Lease] = {}
        self.wanted_per_s: dict[str, float] = {}
        self.always_requested_limits: frozenset[str] = frozenset()
        self.pending_requests: dict[str, PendingRequest] = {}

    def live_lease(self, limit: str, now_ns: int) -> Lease | None:
        """Return the lease of a limit if it has not expired."""
        lease = self.leases.get(limit)
        if lease is None or now_ns >= lease.expires_at_ns:
            return None
        return lease

    def amount_per_s(self, limit: str, now_ns: int) -> float:
        """Return the amount of a limit's leased part that may be used at this moment."""
        lease = self.leases.get(limit)
        if lease is None or now_ns >= lease.expires_at_ns:
            return 0.0
        return lease.amount_per_s

    def first_expiry_ns(self, now_ns: int) -> int:
        """Return when the first live lease expires; 0 if there is none."""
        expiries = (lease.expires_at_ns for lease in self.leases.values())
        return min((expiry for expiry in expiries if expiry > now_ns), default=0)

    def accept(self, response: LeaseResponse) -> None:
        """Accept the grants of a response that answer the latest request for their limit."""
        settings = self.state.settings
        duration_ns = holder_duration_ns(settings.lease_ns, settings.clock_drift)
        for grant in response.grants:
            request = self.pending_requests.get(grant.limit, NEVER_REQUESTED)
            if request.sequence == response.sequence:
                self._accept_grant(grant, request, duration_ns)

    def _accept_grant(self, grant: Grant, request: PendingRequest, duration_ns: int) -> None:
        shard = shard_of(grant.limit)
        if grant.leader_term < self.voter.highest_term(shard):
            return
        self.voter.observe_term(shard, grant.leader_term)
        # Each request is answered by one grant at most: a duplicated response is ignored.
        self.pending_requests[grant.limit] = PendingRequest(NO_SEQUENCE, request.sent_at_ns)
        self.leases[grant.limit] = Lease(
            grant.amount_per_s,
            request.sent_at_ns + duration_ns,
            grant.grant_id,
            grant.leader_term,
        )

    def requests(self, now_ns: int) -> list[AddressedRequest]:
        """Return the requests that are due."""
        demands_by_leader: dict[str, list[LeaseDemand]] = {}
        for limit in self.state.limits:
            leader = self.state.leader_of(limit)
            if not leader:
                continue
            demand = self._demand(limit, now_ns)
            if demand is not None:
                demands_by_leader.setdefault(leader, []).append(demand)
        requests: list[AddressedRequest] = []
        for leader, demands in demands_by_leader.items():
            for start in range(0, len(demands), MAX_DEMANDS_PER_MESSAGE):
                batch = demands[start : start + MAX_DEMANDS_PER_MESSAGE]
                requests.append(AddressedRequest(leader, self._request(now_ns, batch)))
        return requests

    def _request(self, now_ns: int, demands: list[LeaseDemand]) -> LeaseRequest:
        sequence = self.state.next_sequence()
        for demand in demands:
            self.pending_requests[demand.limit] = PendingRequest(sequence, now_ns)
        self.state.event_counts[LeaseEvent.REQUESTED] += len(demands)
        return LeaseRequest(sequence, tuple(demands))

    def _demand(self, limit: str, now_ns: int) -> LeaseDemand | None:
        lease = self.live_lease(limit, now_ns)
        wanted_per_s = self.wanted_per_s.get(limit, 0.0)
        leader_term = self.voter.confirmed_term(shard_of(limit))
        if wanted_per_s <= 0 and limit not in self.always_requested_limits:
            if lease is None:
                return None
            lease.expires_at_ns = now_ns  # The lease is returned and no longer used.
            return LeaseDemand(limit, RETURNED_AMOUNT, 0.0, 0, leader_term)
        if lease is None:
            return LeaseDemand(limit, wanted_per_s, 0.0, 0, leader_term)
        return LeaseDemand(limit, wanted_per_s, lease.amount_per_s, lease.grant_id, leader_term)

    def discard_expired(self, now_ns: int) -> None:
        """Remove expired leases."""
        for limit, lease in list(self.leases.items()):
            if now_ns >= lease.expires_at_ns:
                del self.leases[limit]
                if lease.amount_per_s > 0:
                    self.state.event_counts[LeaseEvent.EXPIRED] += 1
