"""Soft limits: brokers gossip the rates they use, and each derives its quota from the reports.

A report is written by its own broker alone, with a rising version; of two reports the newer
replaces the other, so that reports can be merged in any order and repeatedly (a state-based
counter, Shapiro et al. 2011). A report carries its age, to which each forwarding broker adds the
time it held the report. A broker without a recent report is assumed to use its equal share.
Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .messages import UsageReport, UsageReports
from .settings import STALE_AFTER_ROUNDS

NS_PER_MS = 1_000_000
MAX_REPORTS = 4_096
MAX_REPORTS_PER_MESSAGE = 12
MAX_LIMITS_PER_REPORT = 16
#: Number of members that receive the reports of one gossip round.
FANOUT = 3
#: A quota is at most this multiple of the broker's own use: all brokers may increase at once.
MAX_GROWTH_FACTOR = 2.0


class UsageEvent(StrEnum):
    """Counted events; the values are the keys in the operators' JSON."""

    MERGED = "rows"
    OUTDATED = "old_rows"


@dataclass(slots=True)
class ReceivedReport:
    """A report, and when it arrived by this broker's clock."""

    report: UsageReport
    received_at_ns: int

    def age_ns(self, now_ns: int) -> int:
        """Return how long ago its broker measured the rates."""
        return self.report.age_ms * NS_PER_MS + now_ns - self.received_at_ns


class SoftQuota(NamedTuple):
    """This broker's part of a soft limit, and the age of the oldest report it is computed from."""

    rate_per_s: float
    oldest_report_age_ns: int


class AddressedReports(NamedTuple):
    """Reports and the name of their recipient."""

    recipient: str
    reports: UsageReports


class UsageCounters:
    """One broker's reports on the soft limits, its own and those received.

    Attributes:
        name: Name of this broker.
        reports: Latest report by broker.
        own_rates_per_s: Rates that this broker reported in the last round, by limit.
        version: Version of this broker's last report.
        event_counts: How often each `UsageEvent` happened.
    """

    def __init__(self, name: str, gossip_interval_ns: int, draw: Callable[[], float]) -> None:
        """Start without reports.

        Args:
            name: Name of this broker.
            gossip_interval_ns: Time between two gossip rounds.
            draw: Returns a random number in [0, 1).
        """
        self.name = name
        self.gossip_interval_ns = gossip_interval_ns
        self.draw = draw
        self.reports: dict[str, ReceivedReport] = {}
        self.own_rates_per_s: dict[str, float] = {}
        self.version = 0
        self.event_counts: dict[str, int] = {event.value: 0 for event in UsageEvent}

    def next_round(
        self, now_ns: int, rates_per_s: dict[str, float], members: Collection[str]
    ) -> list[AddressedReports]:
        """Report this broker's rates, and return the messages of this gossip round."""
        self.own_rates_per_s = dict(list(rates_per_s.items())[:MAX_LIMITS_PER_REPORT])
        self.version += 1
        own_report = UsageReport(self.name, self.version, 0, tuple(self.own_rates_per_s.items()))
        self.reports[self.name] = ReceivedReport(own_report, now_ns)
        for broker in list(self.reports):
            if broker not in members and broker != self.name:
                del self.reports[broker]
        recipients = self._draw_recipients(members)
        reports = self._newest_reports(now_ns)
        return [AddressedReports(recipient, reports) for recipient in recipients]

    def _draw_recipients(self, members: Collection[str]) -> list[str]:
        others = [member for member in members if member != self.name]
        recipients: list[str] = []
        for _ in range(min(FANOUT, len(others))):
            position = int(self.draw() * len(others))
            recipients.append(others.pop(position))
        return recipients

    def _newest_reports(self, now_ns: int) -> UsageReports:
        by_age = sorted(self.reports.values(), key=lambda received: received.age_ns(now_ns))
        return UsageReports(
            tuple(
                UsageReport(
                    received.report.broker,
                    received.report.version,
                    received.age_ns(now_ns) // NS_PER_MS,
                    received.report.rates_per_s,
                )
                for received in by_age[:MAX_REPORTS_PER_MESSAGE]
            )
        )

    def receive(self, now_ns: int, batch: UsageReports, members: Collection[str]) -> None:
        """Merge reports of members; ignore those of other brokers and those out of bounds."""
        for report in batch.reports[:MAX_REPORTS_PER_MESSAGE]:
            if not self._is_acceptable(report, members):
                continue
            known = self.reports.get(report.broker)
            if known is not None and known.report.version >= report.version:
                self.event_counts[UsageEvent.OUTDATED] += 1
                continue
            if known is None and len(self.reports) >= MAX_REPORTS:
                continue
            self.reports[report.broker] = ReceivedReport(report, now_ns)
            self.event_counts[UsageEvent.MERGED] += 1

    def _is_acceptable(self, report: UsageReport, members: Collection[str]) -> bool:
        if report.broker == self.name or report.broker not in members:
            return False
        return report.age_ms >= 0 and len(report.rates_per_s) <= MAX_LIMITS_PER_REPORT

    def quota(
        self,
        now_ns: int,
        limit: str,
        limit_per_s: float,
        fleet_size: int,
        members: Collection[str],
    ) -> SoftQuota:
        """Return what this broker may use of a limit.

        The quota is at least the equal share, and at most `MAX_GROWTH_FACTOR` times the greater of
        the equal share and the broker's own use.
        """
        equal_share = limit_per_s / max(fleet_size, len(members), 1)
        used_by_others = 0.0
        oldest_age_ns = 0
        for member in members:
            if member == self.name:
                continue
            received = self.reports.get(member)
            if received is None or self._is_stale(received, now_ns):
                used_by_others += equal_share
                continue
            used_by_others += max(0.0, dict(received.report.rates_per_s).get(limit, 0.0))
            oldest_age_ns = max(oldest_age_ns, received.age_ns(now_ns))
        remaining_per_s = max(equal_share, limit_per_s - used_by_others)
        own_rate = max(equal_share, self.own_rates_per_s.get(limit, 0.0))
        return SoftQuota(min(remaining_per_s, MAX_GROWTH_FACTOR * own_rate), oldest_age_ns)

    def _is_stale(self, received: ReceivedReport, now_ns: int) -> bool:
        return received.age_ns(now_ns) > STALE_AFTER_ROUNDS * self.gossip_interval_ns

    def reported_total_per_s(self, limit: str) -> float:
        """Return the sum of the rates that all known brokers report for a limit."""
        reported_rates = (dict(known.report.rates_per_s) for known in self.reports.values())
        return sum(rates_per_s.get(limit, 0.0) for rates_per_s in reported_rates)
