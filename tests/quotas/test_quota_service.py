"""The service of shared limits on a fake node: answers to operators, log lines and metrics.

Operators' scripts and dashboards read these texts and keys, so that they must not change.
"""

from __future__ import annotations

from typing import Any, cast

import pytest

from query_broker.outlier_consensus.service import OutlierConsensusService
from query_broker.quotas.service import QuotaService

from .fake_node import OWN_ADDRESS, OWN_NAME, FakeNode, decode_answer


def test_limits_status_has_the_keys_that_operators_read(quotas: QuotaService) -> None:
    status, content, _ = decode_answer(quotas.handle_admin_call("GET", "/limits"))
    assert status == 200
    assert list(content) == ["me", "limits", "breaches", "figures"]
    assert content["me"] == OWN_ADDRESS
    assert list(content["figures"]) == [
        "asked",
        "granted",
        "refused",
        "homes_lost",
        "ended",
        "rows",
        "old_rows",
    ]
    hard, soft = content["limits"]
    common = ["name", "kind", "hard", "whole", "ours", "asked", "stale_s", "overshoot_promised"]
    hard_keys = ["floor", "held", "left_s", "want", "home", "floor_in_force", "lent"]
    assert list(hard) == [*common, *hard_keys]
    assert list(soft) == [*common, "age_s", "overshoot_seen"]


def test_sole_member_leases_all_but_the_guaranteed_part(quotas: QuotaService) -> None:
    content = decode_answer(quotas.handle_admin_call("GET", "/limits")).content
    limit = content["limits"][0]
    assert limit["home"] == OWN_ADDRESS
    assert limit["floor"] == 20.0
    assert limit["held"] == pytest.approx(80.0)
    assert limit["ours"] == pytest.approx(100.0)
    assert limit["lent"] == {OWN_ADDRESS: pytest.approx(80.0)}
    assert limit["floor_in_force"] is False


def test_lease_record_is_a_list_of_changes(quotas: QuotaService) -> None:
    content = decode_answer(quotas.handle_admin_call("GET", "/limits/record")).content
    at_ns, limit, amount_per_s, expires_at_ns = content[-1]
    assert limit == "acme"
    assert amount_per_s == pytest.approx(80.0)
    assert at_ns < expires_at_ns


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/limits", (405, "this call is a GET", "GET")),
        ("PUT", "/limits/record", (405, "this call is a GET", "GET")),
        ("GET", "/limits/recall/acme/x", (405, "this call is a POST", "POST")),
        ("POST", "/limits/recall/none/x", (404, "no such call, or no such limit", "")),
        ("POST", "/limits/recall/again/x", (404, "no such call, or no such limit", "")),
        ("POST", "/limits/lend/acme/x", (404, "no such call, or no such limit", "")),
        ("POST", "/limits/recall/acme/10.0.0.9:1", (404, "10.0.0.9:1 is no member", "")),
        (
            "POST",
            f"/limits/lend/acme/{OWN_ADDRESS}/much",
            (400, "'much' is no amount", ""),
        ),
    ],
    ids=[
        "status by POST",
        "record by PUT",
        "recall by GET",
        "unknown limit",
        "soft limit",
        "lend without amount",
        "no member",
        "no amount",
    ],
)
def test_invalid_limits_call_gets_an_error_with_the_reason(
    quotas: QuotaService, method: str, path: str, expected: tuple[int, str, str]
) -> None:
    status, content, allow = decode_answer(quotas.handle_admin_call(method, path))
    assert (status, content, allow) == (expected[0], {"error": expected[1]}, expected[2])


@pytest.mark.parametrize(
    ("call", "at_most"),
    [
        (f"/limits/recall/acme/{OWN_ADDRESS}", 0.0),
        (f"/limits/lend/acme/{OWN_ADDRESS}/12.5", 12.5),
        (f"/limits/lend/acme/{OWN_ADDRESS}/-3", 0.0),
    ],
    ids=["recall", "lend", "lend a negative amount"],
)
def test_cap_is_confirmed_and_limits_what_is_granted(
    quotas: QuotaService, node: FakeNode, call: str, at_most: float
) -> None:
    status, content, _ = decode_answer(quotas.handle_admin_call("POST", call))
    assert (status, content) == (
        200,
        {"limit": "acme", "holder": OWN_ADDRESS, "at_most": at_most},
    )
    node.run(2)
    assert quotas.leases.amount_per_s("acme", node.now_ns) <= at_most


def test_cap_is_rejected_by_a_broker_that_does_not_lead(quotas: QuotaService) -> None:
    quotas.leases.set_view(("10.0.0.9:7000/bb",), True)
    call = f"/limits/recall/acme/{OWN_ADDRESS}"
    status, content, _ = decode_answer(quotas.handle_admin_call("POST", call))
    assert status == 409
    assert content == {"error": "the home of acme is 10.0.0.9:7000: say it there"}


def test_post_without_an_action_raises_value_error(quotas: QuotaService) -> None:
    with pytest.raises(ValueError, match="not enough values"):
        quotas.handle_admin_call("POST", "/limits/")


def test_call_of_another_service_is_not_answered(
    quotas: QuotaService, consensus: OutlierConsensusService
) -> None:
    assert quotas.handle_admin_call("GET", "/verdicts") is None
    assert consensus.handle_admin_call("GET", "/limits") is None


def test_limit_metrics_keep_their_names_and_labels(quotas: QuotaService) -> None:
    lines = quotas.metrics().decode().splitlines()
    samples = [line.rpartition(" ")[0] for line in lines if not line.startswith("#")]
    gauges = ["ours", "asked", "held", "overshoot_promised", "overshoot_seen"]
    events = ["asked", "granted", "refused", "homes_lost", "ended", "breaches"]
    assert samples == [
        *(
            f'edge_proxy_limit_{gauge}{{limit="{limit}"}}'
            for gauge in gauges
            for limit in ("acme", "again")
        ),
        *(f'edge_proxy_limit_events_total{{event="{event}"}}' for event in events),
    ]
    assert "# HELP edge_proxy_limit_held What of it is leased." in lines
    assert "# TYPE edge_proxy_limit_events_total counter" in lines


def test_exceeded_soft_limit_is_counted_and_logged(quotas: QuotaService, node: FakeNode) -> None:
    quotas.counters.next_round(node.now_ns, {"again": 60.0}, (OWN_NAME,))
    node.run(1)
    assert quotas.tracker.breaches == 1
    expected = (
        "again: 60.0/s admitted, 30.0/s over the limit, beyond the allowed overshoot of 0.0/s"
    )
    assert ("limits", expected) in node.log_lines


def test_exception_in_a_tick_is_logged_and_ticks_continue(
    quotas: QuotaService, node: FakeNode
) -> None:
    cast(Any, quotas.membership).views = None
    node.run(0.5)
    fault = "limits: AttributeError: 'NoneType' object has no attribute 'view'"
    assert node.log_lines == [("fault", fault), ("fault", fault)]
