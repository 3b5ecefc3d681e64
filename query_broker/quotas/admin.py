"""Operators' HTTP calls on shared limits: `/limits`, `/limits/record`, recall and lend.

Performs no I/O. The keys of the JSON are read by `cli/limits.py` and by operators' scripts: "ours"
is this broker's quota, "home" the leader of the limit's shard, and "floor" the guaranteed part.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from ..protocols.json_answers import error_answer, json_answer, wrong_method_answer
from ..protocols.operator_answers import HttpAnswer
from ..timer_wheel import Clock
from .demand_tracker import DemandTracker
from .lease_log import LeaseLog
from .quota_rates import QuotaRates
from .settings import NS_PER_S, LimitSettings, max_staleness_s

PATH = "limits"
MAX_ECHOED_AMOUNT_LENGTH = 40
MAX_ECHOED_ADDRESS_LENGTH = 60


def address_of(member: str) -> str:
    """Return the address in a member's name (address/incarnation)."""
    return member.split("/")[0]


class QuotaAdmin:
    """Answers operators' calls on shared limits."""

    def __init__(
        self,
        rates: QuotaRates,
        tracker: DemandTracker,
        lease_log: LeaseLog,
        clock: Clock,
        own_address: str,
    ) -> None:
        """Take the sources of the answers.

        Args:
            rates: Quotas of this broker, with its leases and counters.
            tracker: Demand and overshoot of each limit.
            lease_log: Record of leases.
            clock: This broker's clock.
            own_address: This broker's address in the membership.
        """
        self.rates = rates
        self.leases = rates.leases
        self.tracker = tracker
        self.lease_log = lease_log
        self.clock = clock
        self.own_address = own_address

    def handle_admin_call(self, method: str, path: str) -> HttpAnswer | None:
        """Answer a call; return None if its path does not belong to the shared limits.

        Raises:
            ValueError: A POST to `/limits/` names no action; the connection answers it with 400.
        """
        parts = path.strip("/").split("/")
        if parts[0] != PATH:
            return None
        if path in ("/limits", "/limits/record"):
            if method != "GET":
                return wrong_method_answer("GET")
            content = self.status() if path == "/limits" else list(self.lease_log.records)
            return json_answer(content)
        if method != "POST":
            return wrong_method_answer("POST")
        action, *arguments = parts[1:]
        match (action, *arguments):
            case ("recall", limit, address) if limit in self.leases.state.limits:
                return self._set_cap(limit, address, 0.0)
            case ("lend", limit, address, amount) if limit in self.leases.state.limits:
                return self._lend(limit, address, amount)
        return error_answer(HTTPStatus.NOT_FOUND, "no such call, or no such limit")

    def _lend(self, limit: str, address: str, amount: str) -> HttpAnswer:
        try:
            cap_per_s = max(0.0, float(amount))
        except ValueError:
            reason = f"{amount[:MAX_ECHOED_AMOUNT_LENGTH]!r} is no amount"
            return error_answer(HTTPStatus.BAD_REQUEST, reason)
        return self._set_cap(limit, address, cap_per_s)

    def _set_cap(self, limit: str, address: str, cap_per_s: float) -> HttpAnswer:
        """Cap the lease of one holder; only the leader of the limit's shard accepts this call."""
        members = self.rates.environment.member_names()
        holder = next((name for name in members if name.startswith(f"{address}/")), "")
        if not holder:
            reason = f"{address[:MAX_ECHOED_ADDRESS_LENGTH]} is no member"
            return error_answer(HTTPStatus.NOT_FOUND, reason)
        leader = self.leases.state.leader_of(limit)
        if leader != self.leases.state.name:
            reason = f"the home of {limit} is {address_of(leader)}: say it there"
            return error_answer(HTTPStatus.CONFLICT, reason)
        self.leases.grantor.caps_per_s[limit, holder] = cap_per_s
        return json_answer({"limit": limit, "holder": address, "at_most": cap_per_s})

    def status(self) -> dict[str, Any]:
        """Return the state of all limits as JSON."""
        now_ns = self.clock.now()
        event_counts = {
            **self.leases.state.event_counts,
            **self.rates.counters.event_counts,
        }
        return {
            "me": self.own_address,
            "limits": [self._limit_status(limit, now_ns) for limit in self.rates.settings.limits],
            "breaches": self.tracker.breaches,
            "figures": event_counts,
        }

    def _limit_status(self, limit: LimitSettings, now_ns: int) -> dict[str, Any]:
        status: dict[str, Any] = {
            "name": limit.name,
            "kind": limit.kind,
            "hard": limit.is_hard,
            "whole": self.rates.limit_per_s(limit),
            "ours": round(self.rates.quota_per_s(limit, now_ns), 6),
            "asked": round(self.tracker.forecasts[limit.name].last_demand_per_s, 6),
            "stale_s": max_staleness_s(self.rates.settings, limit),
            "overshoot_promised": self.tracker.overshoot_bound_per_s(limit),
        }
        if limit.is_hard:
            return status | self._hard_status(limit, now_ns)
        return status | self._soft_status(limit, now_ns)

    def _hard_status(self, limit: LimitSettings, now_ns: int) -> dict[str, Any]:
        lease = self.leases.holder.live_lease(limit.name, now_ns)
        leader = self.leases.state.leader_of(limit.name)
        remaining_ns = 0 if lease is None else lease.expires_at_ns - now_ns
        status: dict[str, Any] = {
            "floor": self.leases.guaranteed_per_s(self.rates.limit_per_s(limit)),
            "held": 0.0 if lease is None else lease.amount_per_s,
            "left_s": round(remaining_ns / NS_PER_S, 2),
            "want": round(self.leases.holder.wanted_per_s.get(limit.name, 0.0), 6),
            "home": address_of(leader),
            "floor_in_force": lease is None,
        }
        if leader == self.leases.state.name:
            granted_per_s = self.leases.grantor.outstanding_per_s(limit.name, now_ns)
            status["lent"] = {
                address_of(holder): round(amount, 6) for holder, amount in granted_per_s.items()
            }
        return status

    def _soft_status(self, limit: LimitSettings, now_ns: int) -> dict[str, Any]:
        oldest_report_age_ns = self.rates.soft_quota(limit, now_ns).oldest_report_age_ns
        worst_overshoot = self.tracker.worst_overshoot_per_s.get(limit.name, 0.0)
        return {
            "age_s": round(oldest_report_age_ns / NS_PER_S, 2),
            "overshoot_seen": round(worst_overshoot, 3),
        }
