"""Golden values by which brokers agree, without talking, on who acts when and on what."""

from __future__ import annotations

import pytest

from query_broker.server import structured_log
from query_broker.startup import pacing

NOW_NS = 1_700_000_000_123_456_789
FLEET_SIZE = 300
CALLS_PER_S = 50.0


@pytest.mark.parametrize(
    ("request_id", "part"),
    [(b"0123456789abcdef", 0.847566675), (b"ffffffffffffffff", 0.7876538), (b"", 0.221978471)],
)
def test_sampled_requests_are_the_same_at_every_broker(request_id: bytes, part: float) -> None:
    assert not structured_log.is_sampled(request_id, part - 1e-6)
    assert structured_log.is_sampled(request_id, part + 1e-6)


@pytest.mark.parametrize(
    ("place", "draw", "at"),
    [
        (0, 0.0, 1700000004000000000),
        (7, 0.0, 1700000004140000000),
        (7, 0.5, 1700000004150000000),
        (299, 0.0, 1700000003980000000),
    ],
)
def test_slot_of_a_place_in_a_fleet(place: int, draw: float, at: int) -> None:
    assert pacing.next_slot_ns(NOW_NS, place, FLEET_SIZE, CALLS_PER_S, draw) == at


def test_health_check_slot_of_an_endpoint() -> None:
    at = pacing.health_check_slot_ns(NOW_NS, 4_000_000_001, 7, FLEET_SIZE, CALLS_PER_S)
    assert at == 1700000000160000000
