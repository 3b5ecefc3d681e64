"""Usage counters of soft limits: merging of reports, and the quota derived from them."""

from __future__ import annotations

import random

import pytest

from query_broker.emulator.quota_simulation import BEGIN_NS
from query_broker.quotas.counters import UsageCounters
from query_broker.quotas.messages import UsageReport, UsageReports
from query_broker.quotas.settings import NS_PER_S

BROKERS = [f"m{number}" for number in range(4)]


@pytest.fixture
def counters() -> UsageCounters:
    """Return counters that received three reports of each other broker, twice and out of order."""
    draw = random.Random(3)
    counters = UsageCounters("m0", NS_PER_S, draw.random)
    reports = [
        UsageReport(broker, version, 0, (("f", float(10 * version)),))
        for broker in BROKERS[1:]
        for version in (1, 2, 3)
    ]
    draw.shuffle(reports)
    for report in [*reports, *reports]:
        counters.receive(BEGIN_NS, UsageReports((report,)), BROKERS)
    return counters


def test_usage_reports_merge_in_any_order(counters: UsageCounters) -> None:
    assert {known.report.version for known in counters.reports.values()} == {3}


def test_quota_is_at_least_the_equal_share(counters: UsageCounters) -> None:
    assert counters.quota(BEGIN_NS, "f", 100.0, 4, BROKERS) == (25.0, 0)  # others use 90


def test_quota_is_twice_the_own_use_until_reports_are_stale(counters: UsageCounters) -> None:
    reports = tuple(UsageReport(broker, 4, 0, (("f", 5.0),)) for broker in BROKERS[1:])
    counters.receive(BEGIN_NS, UsageReports(reports), BROKERS)
    counters.next_round(BEGIN_NS, {"f": 40.0}, BROKERS)
    assert counters.quota(BEGIN_NS, "f", 100.0, 4, BROKERS)[0] == 80.0
    later_ns = BEGIN_NS + 4 * NS_PER_S
    assert counters.quota(later_ns, "f", 100.0, 4, BROKERS)[0] == 25.0


def test_reports_of_non_members_or_with_negative_age_are_ignored(counters: UsageCounters) -> None:
    newest = tuple(UsageReport(broker, 4, 0, (("f", 5.0),)) for broker in BROKERS[1:])
    counters.receive(BEGIN_NS, UsageReports(newest), BROKERS)
    invalid = (UsageReport("stranger", 1, 0, (("f", 0.0),)), UsageReport("m1", 9, -5, ()))
    counters.receive(BEGIN_NS, UsageReports(invalid), BROKERS)
    assert "stranger" not in counters.reports
    assert counters.reports["m1"].report.version == 4
