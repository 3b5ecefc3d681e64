"""The first reason against a hand-over."""

from __future__ import annotations

import pytest

from query_broker.deadlines.handover_checks import HandOverState, StopReason, reason_to_stop


@pytest.mark.parametrize(
    ("check", "reason"),
    [
        pytest.param(HandOverState(True, 10), None, id="nothing"),
        pytest.param(HandOverState(False, 10), StopReason.CLIENT_LEFT, id="the client has left"),
        pytest.param(HandOverState(True, 5), StopReason.DEADLINE_PASSED, id="the deadline is now"),
        pytest.param(
            HandOverState(True, 4), StopReason.DEADLINE_PASSED, id="the deadline has passed"
        ),
        pytest.param(
            HandOverState(True, 10, disabled=True),
            StopReason.ENDPOINT_DISABLED,
            id="the endpoint is disabled",
        ),
        pytest.param(
            HandOverState(True, 10, draining_since_ns=5),
            StopReason.ENDPOINT_DRAINING,
            id="the endpoint drains",
        ),
        pytest.param(
            HandOverState(True, 10, draining_since_ns=6), None, id="the endpoint will drain"
        ),
        pytest.param(
            HandOverState(True, 10, min_latency_ns=6),
            StopReason.INSUFFICIENT_TIME,
            id="too late for the fastest answer",
        ),
        pytest.param(
            HandOverState(True, 10, min_latency_ns=5),
            None,
            id="just in time for the fastest answer",
        ),
        # No client wants it: that says nothing of the endpoint.
        pytest.param(
            HandOverState(False, 4, 9, True, 1),
            StopReason.CLIENT_LEFT,
            id="the client has left, first of all",
        ),
    ],
)
def test_a_hand_over_check_tells_the_first_reason_against_it(
    check: HandOverState, reason: StopReason | None
) -> None:
    assert reason_to_stop(5, check) is reason
