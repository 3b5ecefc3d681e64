"""The grantor: divides limits among their holders while this broker leads the limits' shards.

A new leader does not know the grants of its predecessor. It renews the leases that holders report,
provided that they know it as the elected leader, and increases no lease until all earlier ones have
expired. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

from .broker_state import BrokerState, LeaseEvent
from .fair_allocation import max_min_fair
from .leadership import LeaderElection, Leadership, LedgerEntry, OutstandingGrant
from .messages import Grant, LeaseDemand, LeaseRequest, LeaseResponse
from .sharding import shard_of

MAX_DEMANDS_PER_MESSAGE = 12
#: Differences between amounts below this are rounding errors.
ROUNDING_ERROR_PER_S = 1e-9
#: The first grant number is drawn at random below this.
FIRST_GRANT_ID_BOUND = 1 << 40


class LeaseGrantor:
    """Answers lease requests.

    Attributes:
        caps_per_s: The operators' cap on a holder's lease, by limit and holder.
    """

    def __init__(
        self, state: BrokerState, election: LeaderElection, draw: Callable[[], float]
    ) -> None:
        """Start with a random grant number.

        Args:
            state: State shared with the other roles.
            election: Knows which shards this broker leads.
            draw: Returns a random number in [0, 1); called once.
        """
        self.state = state
        self.election = election
        self.caps_per_s: dict[tuple[str, str], float] = {}
        # If numbers started at 1, another leader's grant could be mistaken for this broker's.
        self.last_grant_id = 1 + int(draw() * FIRST_GRANT_ID_BOUND)

    def answer(self, now_ns: int, holder: str, request: LeaseRequest) -> LeaseResponse | None:
        """Return the grants for a request, or None if nothing can be granted."""
        grants: list[Grant] = []
        for demand in request.demands[:MAX_DEMANDS_PER_MESSAGE]:
            grant = self._grant(now_ns, holder, request.sequence, demand)
            if grant is not None:
                grants.append(grant)
        if not grants:
            return None
        return LeaseResponse(request.sequence, tuple(grants))

    def outstanding_per_s(self, limit: str, now_ns: int) -> dict[str, float]:
        """Return the outstanding amount of a limit by holder."""
        return {
            holder: entry.outstanding_per_s(now_ns)
            for leadership in self.election.leaderships.values()
            for holder, entry in leadership.ledgers.get(limit, {}).items()
        }

    def _grant(self, now_ns: int, holder: str, sequence: int, demand: LeaseDemand) -> Grant | None:
        shard = shard_of(demand.limit)
        leadership = self.election.leaderships.get(shard)
        capacity = self.state.limits.get(demand.limit)
        if leadership is None or capacity is None or not leadership.elected_at_ns:
            return None
        if not self.election.has_authority(shard, now_ns):
            return None
        ledger = leadership.ledgers.setdefault(demand.limit, {})
        entry = ledger.setdefault(holder, LedgerEntry())
        if sequence <= entry.sequence:
            return None  # A delayed older request is no longer what its holder wants.
        entry.sequence = sequence
        entry.wanted_per_s = demand.wanted_per_s
        entry.requested_at_ns = now_ns
        others = (other for name, other in ledger.items() if name != holder)
        available_per_s = capacity - sum(other.outstanding_per_s(now_ns) for other in others)
        if now_ns < leadership.increases_allowed_from_ns:
            amount = self._renewed_amount(now_ns, leadership, entry, demand, available_per_s)
        else:
            amount = self._fair_amount(now_ns, ledger, holder, demand, available_per_s)
        if amount is None:
            return None
        # The holder accepts only the grant for its latest request: all earlier grants except the
        # one it uses are void.
        entry.discard_grants_except(demand.grant_id, now_ns)
        self.last_grant_id += 1
        expires_at_ns = now_ns + self.state.settings.lease_ns
        entry.grants[self.last_grant_id] = OutstandingGrant(amount, expires_at_ns)
        self.state.event_counts[LeaseEvent.GRANTED] += 1
        return Grant(demand.limit, amount, self.last_grant_id, leadership.term)

    def _renewed_amount(
        self,
        now_ns: int,
        leadership: Leadership,
        entry: LedgerEntry,
        demand: LeaseDemand,
        available_per_s: float,
    ) -> float | None:
        """Return what a new leader may grant; None if it may not answer this holder yet.

        The leases that holders report were granted by the previous leader, and their sum is within
        the limit; none is increased.
        """
        if demand.leader_term != leadership.term:
            return None if demand.leased_per_s > 0 else 0.0
        current_per_s = entry.outstanding_per_s(now_ns)
        if demand.grant_id:
            current_per_s = max(demand.leased_per_s, current_per_s)
        retained_per_s = current_per_s if demand.wanted_per_s >= 0 else 0.0
        wanted_per_s = max(demand.wanted_per_s, retained_per_s)
        return max(0.0, min(wanted_per_s, current_per_s, available_per_s))

    def _fair_amount(
        self,
        now_ns: int,
        ledger: dict[str, LedgerEntry],
        holder: str,
        demand: LeaseDemand,
        available_per_s: float,
    ) -> float:
        capacity = self.state.limits[demand.limit]
        allocation = max_min_fair(self._recent_demands(now_ns, demand.limit, ledger), capacity)
        level = allocation.get(holder, 0.0)
        is_capped = (demand.limit, holder) in self.caps_per_s
        if demand.wanted_per_s >= 0 and not is_capped:
            # Unused capacity is divided equally, so that a sudden rise in demand has some until the
            # next request.
            unused_per_s = capacity - sum(allocation.values())
            level += unused_per_s / max(len(self.state.members), len(allocation))
        amount = min(level, available_per_s)
        if amount < level - ROUNDING_ERROR_PER_S:
            self.state.event_counts[LeaseEvent.REDUCED] += 1
        return max(0.0, amount)

    def _recent_demands(
        self, now_ns: int, limit: str, ledger: dict[str, LedgerEntry]
    ) -> dict[str, float]:
        """Return each holder's demand of the last lease duration, limited to its cap."""
        demands: dict[str, float] = {}
        for holder, entry in ledger.items():
            if now_ns - entry.requested_at_ns >= self.state.settings.lease_ns:
                continue
            cap_per_s = self.caps_per_s.get((limit, holder), entry.wanted_per_s)
            demands[holder] = max(0.0, min(entry.wanted_per_s, cap_per_s))
        return demands
