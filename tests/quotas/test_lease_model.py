"""Model checking of leases over all orders of events, and the audit of lease records."""

from __future__ import annotations

import ast

import pytest

from query_broker.emulator.quota_simulation import max_concurrent_leases_per_s
from query_broker.quotas.lease_log import LeaseRecord
from query_broker.quotas.leases import LeaseManager

from ..support.quota_model import PropertyViolatedError, explore, replay


def test_no_order_of_events_among_three_brokers_exceeds_the_limit() -> None:
    assert explore(3) > 1_000


def test_model_checker_finds_a_holder_that_ignores_its_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def amount_per_s(self: LeaseManager, limit: str, now_ns: int) -> float:
        lease = self.holder.leases.get(limit)
        return 0.0 if lease is None else lease.amount_per_s

    monkeypatch.setattr(LeaseManager, "amount_per_s", amount_per_s)
    with pytest.raises(PropertyViolatedError, match="replay") as violation:
        explore(3)
    schedule = ast.literal_eval(str(violation.value).split("replay(", 1)[1][:-1])
    with pytest.raises(PropertyViolatedError):
        replay(schedule)


@pytest.mark.parametrize(
    ("other_record", "max_leased_per_s"),
    [
        pytest.param(
            [LeaseRecord(60, "a", 3.0, 80), LeaseRecord(10, "b", 100.0, 500)],
            5.0,
            id="after the first was reduced",
        ),
        pytest.param([LeaseRecord(40, "a", 3.0, 80)], 8.0, id="while the first is in force"),
    ],
)
def test_lease_records_of_processes_are_summed_over_time(
    other_record: list[LeaseRecord], max_leased_per_s: float
) -> None:
    record = [
        LeaseRecord(0, "a", 5.0, 100),
        LeaseRecord(50, "a", 2.0, 90),
        LeaseRecord(95, "a", 4.0, 200),
    ]
    assert max_concurrent_leases_per_s([record, other_record], "a") == max_leased_per_s
