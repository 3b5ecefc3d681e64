"""How admission grows after a start, and what is rejected meanwhile."""

from __future__ import annotations

import pytest

from query_broker.startup.admission_ramp import (
    MAX_RAMP_DURATIONS,
    AdmissionRamp,
    assumed_work,
    retry_after_ns,
)
from query_broker.startup.settings import NS_PER_SECOND, StartupSettings

SETTINGS = StartupSettings()


@pytest.mark.parametrize(
    ("good", "bad", "within"),
    [
        pytest.param(0, 0, 8, id="no answers"),
        pytest.param(50, 0, 4, id="successes"),
        pytest.param(50, 3, 4, id="successes with a few failures"),
        pytest.param(0, 9, 8 * MAX_RAMP_DURATIONS, id="failures"),
    ],
)
def test_a_ramp_ends_sooner_with_successes_and_never_later_than_stated(
    good: int, bad: int, within: int
) -> None:
    ramp = AdmissionRamp(SETTINGS, 0)
    now = 0
    fractions = [SETTINGS.initial_fraction]
    while not ramp.is_complete():
        now += NS_PER_SECOND
        fractions.append(ramp.step(now, good, bad))
    assert now <= within * NS_PER_SECOND
    assert fractions == sorted(fractions)
    # It is never complete at once.
    assert fractions[1] <= max(2.0, ramp.growth_factor) * fractions[0] + 1e-9
    if good == bad == 0:
        assert now == within * NS_PER_SECOND


@pytest.mark.parametrize(
    ("proposed", "left", "most", "draw", "expected"),
    [
        pytest.param(NS_PER_SECOND, 0, 2 * NS_PER_SECOND, 0.9, NS_PER_SECOND, id="no ramp"),
        pytest.param(
            NS_PER_SECOND, 8 * NS_PER_SECOND, 2 * NS_PER_SECOND, 0.1, NS_PER_SECOND, id="at least"
        ),
        pytest.param(
            NS_PER_SECOND,
            8 * NS_PER_SECOND,
            5 * NS_PER_SECOND,
            0.5,
            4 * NS_PER_SECOND,
            id="half of what is left",
        ),
        pytest.param(
            NS_PER_SECOND,
            8 * NS_PER_SECOND,
            2 * NS_PER_SECOND,
            0.9,
            2 * NS_PER_SECOND,
            id="at the most",
        ),
        pytest.param(0, 8 * NS_PER_SECOND, 0, 0.9, 0, id="no advice is allowed"),
    ],
)
def test_rejections_in_the_ramp_spread_the_returns_over_it(
    proposed: int, left: int, most: int, draw: float, expected: int
) -> None:
    assert retry_after_ns(proposed, left, most, draw) == expected


def test_assumed_work_leaves_capacity_for_one_request_and_ends_with_the_ramp() -> None:
    """Where nothing may be sent no answer can come, and the ramp waits for answers."""
    assert assumed_work(0.01, 16.0, 4e9, 4) == (12, int(0.99 * 4e9))
    assert assumed_work(0.1, 0.4, 1e9, 4)[0] == 0
    assert assumed_work(1.0, 16.0, 4e9, 4) == (0, 0)
