"""The growth of the admission after a start, and the backoff of rejections during it."""

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
    ("successes", "failures", "max_duration_s"),
    [
        pytest.param(0, 0, 8, id="no answers"),
        pytest.param(50, 0, 4, id="successes"),
        pytest.param(50, 3, 4, id="successes with a few failures"),
        pytest.param(0, 9, 8 * MAX_RAMP_DURATIONS, id="failures"),
    ],
)
def test_ramp_ends_sooner_with_successes_and_always_within_its_bound(
    successes: int, failures: int, max_duration_s: int
) -> None:
    ramp = AdmissionRamp(SETTINGS, 0)
    now_ns = 0
    fractions = [SETTINGS.initial_fraction]
    while not ramp.is_complete():
        now_ns += NS_PER_SECOND
        fractions.append(ramp.step(now_ns, successes, failures))
    assert now_ns <= max_duration_s * NS_PER_SECOND
    assert fractions == sorted(fractions)
    # The first step does not complete the admission.
    assert fractions[1] <= max(2.0, ramp.growth_factor) * fractions[0] + 1e-9
    if successes == failures == 0:
        assert now_ns == max_duration_s * NS_PER_SECOND


@pytest.mark.parametrize(
    ("proposed_ns", "remaining_ns", "max_ns", "random_fraction", "expected_ns"),
    [
        pytest.param(NS_PER_SECOND, 0, 2 * NS_PER_SECOND, 0.9, NS_PER_SECOND, id="ramp has ended"),
        pytest.param(
            NS_PER_SECOND,
            8 * NS_PER_SECOND,
            2 * NS_PER_SECOND,
            0.1,
            NS_PER_SECOND,
            id="proposed one is longer",
        ),
        pytest.param(
            NS_PER_SECOND,
            8 * NS_PER_SECOND,
            5 * NS_PER_SECOND,
            0.5,
            4 * NS_PER_SECOND,
            id="half of the remaining time",
        ),
        pytest.param(
            NS_PER_SECOND,
            8 * NS_PER_SECOND,
            2 * NS_PER_SECOND,
            0.9,
            2 * NS_PER_SECOND,
            id="longest one is shorter",
        ),
        pytest.param(0, 8 * NS_PER_SECOND, 0, 0.9, 0, id="no backoff is allowed"),
    ],
)
def test_backoff_during_the_ramp_is_random_between_the_proposed_and_the_longest_one(
    proposed_ns: int, remaining_ns: int, max_ns: int, random_fraction: float, expected_ns: int
) -> None:
    assert retry_after_ns(proposed_ns, remaining_ns, max_ns, random_fraction) == expected_ns


def test_assumed_work_leaves_capacity_for_one_request_and_ends_with_the_ramp() -> None:
    """Without capacity for one request no answer would arrive, and the ramp would not grow."""
    assert assumed_work(0.01, 16.0, 4e9, 4) == (12, int(0.99 * 4e9))
    assert assumed_work(0.1, 0.4, 1e9, 4)[0] == 0
    assert assumed_work(1.0, 16.0, 4e9, 4) == (0, 0)
