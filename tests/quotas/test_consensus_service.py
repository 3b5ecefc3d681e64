"""The service of outlier consensus on a fake node: answers to operators, log lines, metrics.

Operators' scripts and dashboards read these texts and keys, so that they must not change.
"""

from __future__ import annotations

from typing import Any, cast

import pytest

from query_broker.decisions.facade import AttemptResult
from query_broker.outlier_consensus.service import OutlierConsensusService
from query_broker.outlier_consensus.settings import OutlierConsensusSettings
from query_broker.quotas.settings import NS_PER_S

from .fake_node import OWN_ADDRESS, FakeMembership, FakeNode, decode_answer


@pytest.mark.parametrize(
    ("call", "value"),
    [("pin", "pinned"), ("clear", "back"), ("out", "out")],
    ids=["pin", "clear", "out"],
)
def test_override_call_is_answered_listed_and_logged(
    consensus: OutlierConsensusService, node: FakeNode, call: str, value: str
) -> None:
    answer = decode_answer(consensus.handle_admin_call("POST", f"/verdicts/{call}/e1"))
    assert answer == (200, {"uid": "e1", "word": value, "version": 1}, "")
    status = decode_answer(consensus.handle_admin_call("GET", "/verdicts")).content
    assert status == {
        "verdicts": [],
        "words": [{"uid": "e1", "word": value, "version": 1, "by": OWN_ADDRESS}],
        "lost": [],
        "figures": {"verdicts": 0, "lifted": 0, "over_part": 0},
    }
    assert node.log_lines == [("operator", f"{value}: 'e1' for all brokers, version 1")]
    assert node.administrative_states.is_disabled("e1") is (value == "out")


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/verdicts", (405, "this call is a GET", "GET")),
        ("GET", "/verdicts/out/e1", (405, "this call is a POST", "POST")),
        ("POST", "/verdicts/burn/e1", (404, "no such call", "")),
        ("POST", "/verdicts/out/e1/more", (404, "no such call", "")),
        ("POST", "/verdicts/out/e9", (404, "no data engine has this id", "")),
    ],
    ids=["status by POST", "out by GET", "unknown action", "too long", "unknown endpoint"],
)
def test_invalid_consensus_call_gets_an_error_with_the_reason(
    consensus: OutlierConsensusService, method: str, path: str, expected: tuple[int, str, str]
) -> None:
    status, content, allow = decode_answer(consensus.handle_admin_call(method, path))
    assert (status, content, allow) == (expected[0], {"error": expected[1]}, expected[2])


def test_disabling_an_endpoint_at_one_broker_sets_an_override(
    consensus: OutlierConsensusService, node: FakeNode
) -> None:
    node.extensions.observers[0].endpoint_administered("e1", True)
    assert consensus.overrides.overrides["e1"].value == "out"


def test_consensus_metrics_keep_their_names_and_labels(
    consensus: OutlierConsensusService,
) -> None:
    assert consensus.metrics().decode().splitlines() == [
        "# HELP edge_proxy_verdicts Engines that shared verdicts hold out.",
        "# TYPE edge_proxy_verdicts gauge",
        "edge_proxy_verdicts 0",
        "# HELP edge_proxy_verdict_events_total Verdicts begun, lifted, or over the part.",
        "# TYPE edge_proxy_verdict_events_total counter",
        'edge_proxy_verdict_events_total{event="verdicts"} 0',
        'edge_proxy_verdict_events_total{event="lifted"} 0',
        'edge_proxy_verdict_events_total{event="over_part"} 0',
    ]


def test_ejection_and_readmission_are_logged_and_reach_the_decisions(node: FakeNode) -> None:
    settings = OutlierConsensusSettings(observers=1, failures=2, max_ejected_fraction=1.0)
    OutlierConsensusService(cast(Any, node), cast(Any, FakeMembership()), settings)
    for _ in range(2):
        node.extensions.observers[0].attempt_ended(7, AttemptResult.ERROR)
    node.run(20)
    assert node.log_lines == [
        ("verdicts", "e1: bad for all (observers: 1), ejected for at least 5 s"),
        ("verdicts", "e1: readmitted"),
    ]
    assert [event.disabled for event in node.events] == [True, False]
    # Readmitted with the time of its start, so that it does not warm up again.
    assert node.events[1].at_ns == 5 * NS_PER_S
