"""The time that the broker may take for a request."""

from __future__ import annotations

from dataclasses import replace

import pytest

from query_broker.deadlines.settings import DeadlineSettings, TimeoutStart
from query_broker.dispatch.deadline_controls import DeadlineControls
from query_broker.dispatch.requests import ReceiveTimes

from ..support.helpers import MS, S

FIRST_BYTE = TimeoutStart.FIRST_BYTE
LAST_BYTE = TimeoutStart.LAST_BYTE


@pytest.mark.parametrize(
    ("timeout_start", "client_timeout_ms", "first_byte_ns", "last_byte_ns", "expected_ns"),
    [
        pytest.param(LAST_BYTE, 4_000.0, 0, 0, 3_990 * MS, id="timeout of the client"),
        pytest.param(LAST_BYTE, 90_000.0, 0, 0, 19_990 * MS, id="deadline of the class"),
        pytest.param(LAST_BYTE, 8.0, 0, 0, 6 * MS, id="at most a quarter is reserved"),
        pytest.param(LAST_BYTE, 4_000.0, 7 * S, 8 * S, 3_990 * MS, id="age does not count"),
        pytest.param(LAST_BYTE, 4_000.0, 6 * S, 7 * S, 2_990 * MS, id="its turn came late"),
        pytest.param(LAST_BYTE, 500.0, 6 * S, 7 * S, 1, id="its turn came too late"),
        pytest.param(FIRST_BYTE, 4_000.0, 7 * S, 8 * S, 2_990 * MS, id="age counts"),
        pytest.param(FIRST_BYTE, 4_000.0, 0, 0, 3_990 * MS, id="age is unknown"),
        pytest.param(FIRST_BYTE, 500.0, 7 * S, 8 * S, 1, id="no time left"),
    ],
)
def test_a_timeout_starts_at_the_configured_byte_and_is_bounded(
    timeout_start: TimeoutStart,
    client_timeout_ms: float,
    first_byte_ns: int,
    last_byte_ns: int,
    expected_ns: int,
) -> None:
    controls = DeadlineControls()
    controls.settings = replace(DeadlineSettings(), timeout_start=timeout_start)
    times = ReceiveTimes(first_byte_ns, last_byte_ns)
    assert controls.timeout_ns(client_timeout_ms, 20 * S, times, 8 * S) == expected_ns
