"""The grantor: divides limits among their holders while this broker leads the limits' shards.

A new leader does not know what the previous one granted. It renews what holders show it, if dated
after it became the only leader, and raises nothing until all earlier leases have expired. Performs
no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

from .broker_state import BrokerState, LeaseEvent
from .fair_allocation import max_min_fair
from .leadership import LeaderElection, Leadership, LedgerEntry, OutstandingGrant
from .messages import Grant, LeaseDemand, LeaseRequest, LeaseResponse
from .sharding import shard_of

MAX_DEMANDS_PER_MESSAGE = 12
#: Differences of amounts below this are rounding errors.
ROUNDING_ERROR_PER_S = 1e-9
#: Grant numbers start at random below this.
FIRST_GRANT_ID_BOUND = 1 << 40


class LeaseGrantor:
    """Answers lease requests.

    Attributes:
        caps_per_s: By limit and holder, the most that operators let the holder have.
    """

    def __init__(
        self, state: BrokerState, election: LeaderElection, draw: Callable[[], float]
    ) -> None:
        """Start with grant numbers from a random one.

        Args:
            state: State shared with the other roles.
            election: Tells which shards this broker leads.
            draw: Returns a random number in [0, 1); called once.
        """
        self.state = state
        self.election = election
        self.caps_per_s: dict[tuple[str, str], float] = {}
        # If numbers began at 1, a grant of another leader could pass for one of ours.
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
        """Return by holder what is granted of a limit."""
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
            return None  # An older request that arrived late no longer describes its holder.
        entry.sequence = sequence
        entry.wanted_per_s = demand.wanted_per_s
        entry.requested_at_ns = now_ns
        others = (other for name, other in ledger.items() if name != holder)
        available = capacity - sum(other.outstanding_per_s(now_ns) for other in others)
        if now_ns < leadership.raises_from_ns:
            amount = self._renewed_amount(now_ns, leadership, entry, demand, available)
        else:
            amount = self._fair_amount(now_ns, ledger, holder, demand, available)
        if amount is None:
            return None
        # The holder accepts only the grant for its last request: all others but the one it uses
        # are void.
        entry.discard_except(demand.grant_id, now_ns)
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

        What the holders show was granted by the previous leader and is within the limit in sum;
        nothing is raised.
        """
        if demand.leader_term != leadership.term:
            return None if demand.leased_per_s > 0 else 0.0
        shown = entry.outstanding_per_s(now_ns)
        if demand.grant_id:
            shown = max(demand.leased_per_s, shown)
        retained = shown if demand.wanted_per_s >= 0 else 0.0
        wanted = max(demand.wanted_per_s, retained)
        return max(0.0, min(wanted, shown, available_per_s))

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
            # What no holder needs is divided evenly: a sudden rise finds some of it until the
            # next request.
            unused = capacity - sum(allocation.values())
            level += unused / max(len(self.state.members), len(allocation))
        amount = min(level, available_per_s)
        if amount < level - ROUNDING_ERROR_PER_S:
            self.state.event_counts[LeaseEvent.REDUCED] += 1
        return max(0.0, amount)

    def _recent_demands(
        self, now_ns: int, limit: str, ledger: dict[str, LedgerEntry]
    ) -> dict[str, float]:
        """Return by holder what was wanted within the last lease, within the operators' caps."""
        demands: dict[str, float] = {}
        for holder, entry in ledger.items():
            if now_ns - entry.requested_at_ns >= self.state.settings.lease_ns:
                continue
            cap = self.caps_per_s.get((limit, holder), entry.wanted_per_s)
            demands[holder] = max(0.0, min(entry.wanted_per_s, cap))
        return demands
