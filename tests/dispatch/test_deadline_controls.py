"""Timeouts of requests, with the time that they have spent before."""

from __future__ import annotations

from dataclasses import replace

import pytest

from query_broker.deadlines.settings import DeadlineSettings, TimeoutStart
from query_broker.dispatch.deadline_controls import DeadlineControls

from ..support.helpers import MS, S

FIRST_BYTE = TimeoutStart.FIRST_BYTE
LAST_BYTE = TimeoutStart.LAST_BYTE


@pytest.mark.parametrize(
    ("timeout_start", "client_timeout_ms", "received_ns", "expected_ns"),
    [
        pytest.param(LAST_BYTE, 4_000.0, 0, 3_990 * MS, id="stated"),
        pytest.param(LAST_BYTE, 90_000.0, 0, 19_990 * MS, id="deadline of the class"),
        pytest.param(LAST_BYTE, 8.0, 0, 6 * MS, id="short: a quarter at the most is reserved"),
        pytest.param(LAST_BYTE, 4_000.0, 7 * S, 3_990 * MS, id="age does not count"),
        pytest.param(FIRST_BYTE, 4_000.0, 7 * S, 2_990 * MS, id="age counts"),
        pytest.param(FIRST_BYTE, 4_000.0, 0, 3_990 * MS, id="age is not known"),
        pytest.param(FIRST_BYTE, 500.0, 7 * S, 1, id="nothing is left"),
    ],
)
def test_the_timeout_of_a_request_counts_from_its_first_or_last_sending(
    timeout_start: TimeoutStart, client_timeout_ms: float, received_ns: int, expected_ns: int
) -> None:
    controls = DeadlineControls()
    controls.settings = replace(DeadlineSettings(), timeout_start=timeout_start)
    assert controls.timeout_ns(client_timeout_ms, 20 * S, received_ns, 8 * S) == expected_ns
