"""The reasons to stop an attempt at a hand-over, in their order."""

from __future__ import annotations

import pytest

from query_broker.deadlines.handover_checks import HandOverState, StopReason, reason_to_stop


@pytest.mark.parametrize(
    ("state", "reason"),
    [
        pytest.param(HandOverState(True, 10), None, id="no reason"),
        pytest.param(HandOverState(False, 10), StopReason.CLIENT_LEFT, id="the client has left"),
        pytest.param(HandOverState(True, 5), StopReason.DEADLINE_PASSED, id="the deadline is now"),
        pytest.param(
            HandOverState(True, 4), StopReason.DEADLINE_PASSED, id="the deadline has passed"
        ),
        pytest.param(
            HandOverState(True, 10, endpoint_disabled=True),
            StopReason.ENDPOINT_DISABLED,
            id="the endpoint is disabled",
        ),
        pytest.param(
            HandOverState(True, 10, draining_since_ns=5),
            StopReason.ENDPOINT_DRAINING,
            id="the endpoint is draining",
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
        # A client that has left says nothing about the endpoint, so this reason comes first.
        pytest.param(
            HandOverState(False, 4, 9, True, 1),
            StopReason.CLIENT_LEFT,
            id="the client has left, among other reasons",
        ),
    ],
)
def test_a_hand_over_check_returns_the_first_reason_to_stop(
    state: HandOverState, reason: StopReason | None
) -> None:
    assert reason_to_stop(5, state) is reason
