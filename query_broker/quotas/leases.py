"""Hard limits by leases: one broker's roles in granting and holding them.

Every broker has three roles: the voter (`voting.py`), the leader of a shard, which must be elected
(`leadership.py`) and grants leases (`lease_grantor.py`), and the holder (`lease_holder.py`). While
all clocks keep within the configured drift, the sum of all valid leases never exceeds the limit:
neither lost, delayed or duplicated messages nor network partitions or restarts change that.

Performs no I/O. All times are this broker's own clock in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .broker_state import BrokerState
from .leadership import LeaderElection
from .lease_grantor import LeaseGrantor
from .lease_holder import LeaseHolder
from .messages import LeaseMessage, LeaseRequest, LeaseResponse, VoteRequest, VoteResponse
from .settings import RENEWALS_PER_PERIOD, QuotaSettings
from .sharding import shard_of
from .voting import Voter


def _constant_draw() -> float:
    return 0.5


class LeaseManager:
    """Connects the roles of one broker and runs their timers.

    Attributes:
        state: State shared by the roles: name, limits, view, outbox, event counts.
        outbox: The state's outbox.
        voter: Votes for leaders.
        election: Gains and keeps the leadership of shards.
        grantor: Grants leases in the shards that this broker leads.
        holder: Holds this broker's leases.
    """

    def __init__(
        self,
        name: str,
        settings: QuotaSettings,
        fleet_size: int,
        now_ns: int,
        draw: Callable[[], float] = _constant_draw,
    ) -> None:
        """Start without a view, limits or leases.

        Args:
            name: Name of this broker in the membership.
            settings: Settings of the shared limits.
            fleet_size: Number of brokers according to the platform settings.
            now_ns: This broker's clock.
            draw: Returns a random number in [0, 1); called once.
        """
        self.state = BrokerState(name, settings, fleet_size)
        self.outbox = self.state.outbox
        self.voter = Voter(settings, now_ns)
        self.election = LeaderElection(self.state, self.voter)
        self.grantor = LeaseGrantor(self.state, self.election, draw)
        self.holder = LeaseHolder(self.state, self.voter)
        self.next_vote_request_ns = now_ns
        self.next_lease_request_ns = now_ns

    def amount_per_s(self, limit: str, now_ns: int) -> float:
        """Return the amount of a limit's leased part that this broker may use at this moment."""
        return self.holder.amount_per_s(limit, now_ns)

    def guaranteed_per_s(self, rate_per_s: float) -> float:
        """Return this broker's guaranteed part of a rate, usable without any communication."""
        return rate_per_s * self.state.settings.guaranteed_fraction / self.state.fleet_size

    def has_authority(self, limit: str, now_ns: int) -> bool:
        """Return whether this broker alone may grant leases of a limit at this moment."""
        return self.election.has_authority(shard_of(limit), now_ns)

    def set_view(self, members: Sequence[str], is_certain: bool) -> None:
        """Set the members, and whether the membership considers the view reliable."""
        self.state.members = tuple(members)
        self.state.is_view_certain = is_certain

    def receive(self, now_ns: int, sender: str, message: LeaseMessage) -> None:
        """Handle a message of another broker; put answers into the outbox."""
        match message:
            case VoteRequest():
                self.state.send(sender, self.voter.answer(now_ns, sender, message))
            case VoteResponse():
                self.election.count_votes(now_ns, sender, message)
            case LeaseRequest():
                self.election.update(now_ns)
                response = self.grantor.answer(now_ns, sender, message)
                if response is not None:
                    self.state.send(sender, response)
            case LeaseResponse():
                self.holder.accept(message)

    def request_at_next_tick(self, now_ns: int) -> None:
        """Request leases at the next tick, because the demand exceeds the leases."""
        self.next_lease_request_ns = min(self.next_lease_request_ns, now_ns)

    def tick(self, now_ns: int) -> None:
        """Run the timers that are due; to be called several times a second."""
        settings = self.state.settings
        self.election.update(now_ns)
        if now_ns >= self.next_vote_request_ns:
            self.next_vote_request_ns = now_ns + settings.vote_ns // RENEWALS_PER_PERIOD
            self.election.request_votes(now_ns)
        if now_ns >= self.next_lease_request_ns:
            self.next_lease_request_ns = now_ns + settings.lease_ns // RENEWALS_PER_PERIOD
            self._request_leases(now_ns)
        self.holder.discard_expired(now_ns)

    def _request_leases(self, now_ns: int) -> None:
        for leader, request in self.holder.requests(now_ns):
            if leader != self.state.name:
                self.state.send(leader, request)
                continue
            response = self.grantor.answer(now_ns, leader, request)
            if response is not None:
                self.holder.accept(response)
