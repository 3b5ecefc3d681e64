"""The first reason against a hand-over."""

from __future__ import annotations

import pytest

from query_broker.deadlines.handover_checks import HandOverCheck, StopReason, reason_to_stop


@pytest.mark.parametrize(
    ("check", "reason"),
    [
        pytest.param(HandOverCheck(True, 10), None, id="nothing"),
        pytest.param(HandOverCheck(False, 10), StopReason.LEFT, id="the client has left"),
        pytest.param(HandOverCheck(True, 5), StopReason.PAST, id="the deadline is now"),
        pytest.param(HandOverCheck(True, 4), StopReason.PAST, id="the deadline has passed"),
        pytest.param(
            HandOverCheck(True, 10, disabled=True), StopReason.OUT, id="the endpoint is disabled"
        ),
        pytest.param(
            HandOverCheck(True, 10, drained_at_ns=5), StopReason.DRAINED, id="the endpoint drains"
        ),
        pytest.param(HandOverCheck(True, 10, drained_at_ns=6), None, id="the endpoint will drain"),
        pytest.param(
            HandOverCheck(True, 10, fastest_ns=6),
            StopReason.TOO_LATE,
            id="too late for the fastest answer",
        ),
        pytest.param(
            HandOverCheck(True, 10, fastest_ns=5), None, id="just in time for the fastest answer"
        ),
        # No client wants it: that says nothing of the endpoint.
        pytest.param(
            HandOverCheck(False, 4, 9, True, 1),
            StopReason.LEFT,
            id="the client has left, first of all",
        ),
    ],
)
def test_a_hand_over_check_tells_the_first_reason_against_it(
    check: HandOverCheck, reason: StopReason | None
) -> None:
    assert reason_to_stop(5, check) is reason
