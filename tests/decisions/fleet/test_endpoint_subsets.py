"""The subset of the endpoints that each broker of a fleet uses."""

from __future__ import annotations

from collections import Counter

import pytest

from query_broker import decisions as api

from ...support.helpers import Harness, entry
from .fleet_brokers import (
    change_list,
    endpoint_numbers,
    make_broker,
    make_fleet,
)


def subset_of(broker: Harness) -> list[int]:
    """Return the numbers of the endpoints that this broker uses."""
    return [endpoint.entry.endpoint for endpoint in broker.controller.pool.subset]


@pytest.mark.parametrize(
    ("listed", "brokers"),
    [(30, 40), (60, 40), (80, 200)],
    ids=["30 endpoints", "60 endpoints", "80 endpoints and 200 brokers"],
)
def test_each_broker_uses_a_subset_and_all_endpoints_are_used_evenly(
    listed: int, brokers: int
) -> None:
    """If all brokers used all endpoints, each broker would lose a request at every outlier."""
    fleet = make_fleet(endpoint_numbers(listed), brokers)
    used = Counter(number for broker in fleet for number in subset_of(broker))
    subset_sizes = {len(subset_of(broker)) for broker in fleet}
    mean = sum(used.values()) / listed
    assert subset_sizes == {10}
    assert len(used) == listed
    assert 0.7 * mean <= min(used.values())
    assert max(used.values()) <= 1.3 * mean


def test_ejection_adds_one_endpoint_to_the_subset_and_removal_changes_few() -> None:
    endpoints = endpoint_numbers(30)
    harness = make_broker(endpoints, index=7)
    controller = harness.controller
    before = subset_of(harness)
    controller.outlier_detector.set_ejected(harness.now, controller.pool.subset[2], True)
    assert subset_of(harness)[:10] == before
    assert len(subset_of(harness)) == 11
    change_list(harness, entry(endpoints[0], state=api.EndpointState.REMOVED))
    assert len(set(subset_of(harness)) & set(before)) >= 8


def test_brokers_of_a_small_fleet_use_all_endpoints() -> None:
    harness = make_broker(endpoint_numbers(8), index=1, fleet_size=3)
    assert not harness.controller.pool.large_fleet
    assert len(harness.controller.pool.subset) == 8


@pytest.mark.parametrize("listed", [30, 60, 240])
def test_candidates_for_a_request_do_not_grow_with_the_endpoint_list(listed: int) -> None:
    """The test counts the endpoints that are examined for a request; it measures no time."""
    harness = make_broker(endpoint_numbers(listed), index=3)
    assert len(harness.controller.selector.balancer.candidates(harness.now)) <= 10
