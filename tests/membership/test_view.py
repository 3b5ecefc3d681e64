"""The view of the group: certainty, batches, and the effective size."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.membership.messages import Identity
from query_broker.membership.settings import NS_PER_S
from query_broker.membership.views import (
    MembershipView,
    Observation,
    PlacedMember,
    ViewSettings,
    ViewTracker,
)

from .recording_observer import RecordingObserver

VIEW_SETTINGS = ViewSettings(max_lost_fraction=1 / 3, settle_ns=5 * NS_PER_S, batch_ns=NS_PER_S)


def make_tracker(configured_size: int, configured_index: int = 0) -> ViewTracker:
    return ViewTracker(configured_size, configured_index, VIEW_SETTINGS, RecordingObserver())


def placed(ordinal: int) -> PlacedMember:
    return PlacedMember(ordinal, Identity(f"h{ordinal}:1", b"%d" % ordinal))


def observe(
    tracker: ViewTracker, seconds: float, ordinals: list[int], **overrides: Any
) -> MembershipView:
    """Make a tracker observe the members with these ordinals; return its view."""
    observation = {
        "present": [placed(ordinal) for ordinal in ordinals],
        "own": placed(tracker.configured_index).identity,
        "is_cut_off": False,
        "has_joined": True,
        "is_endpoint_warming_up": False,
        "is_removal_pending": False,
        **overrides,
    }
    tracker.observe(int(seconds * NS_PER_S), Observation(**observation))
    return tracker.view


def joined_tracker(size: int, configured_index: int = 0) -> ViewTracker:
    """Return a tracker that has published a view of all configured members."""
    tracker = make_tracker(size, configured_index)
    observe(tracker, 0, list(range(size)))
    observe(tracker, 2, list(range(size)))
    return tracker


@given(st.integers(1, 60), st.lists(st.integers(0, 3), min_size=60, max_size=60))
def test_one_side_of_a_partition_at_most_is_certain_and_all_together_use_little_more(
    fleet_size: int, sides: list[int]
) -> None:
    """Otherwise an isolated minority would use the limits of the complete fleet."""
    used = 0.0
    certain = 0
    for side in set(sides[:fleet_size]):
        ordinals = [ordinal for ordinal in range(fleet_size) if sides[ordinal] == side]
        tracker = joined_tracker(fleet_size, ordinals[0])
        for second in range(3, 100):
            view = observe(tracker, second, ordinals)
        certain += view.is_certain
        used += len(ordinals) / view.effective_size
    assert certain <= 1
    assert used <= 1 + 1 / 3 + 1e-9


def observe_for(
    tracker: ViewTracker, begin: float, seconds: int, ordinals: list[int]
) -> MembershipView:
    """Observe the same members each second; return the last view."""
    for second in range(1, seconds + 1):
        view = observe(tracker, begin + second, ordinals)
    return view


def test_successive_small_losses_reduce_the_effective_size() -> None:
    tracker = joined_tracker(24)
    assert tracker.view.effective_size == 24
    for step, alive in enumerate((20, 16, 12)):
        view = observe_for(tracker, 2.0 + 60 * step, 60, list(range(alive)))
        assert (view.effective_size, view.is_certain, view.reference_size) == (alive, True, alive)


def test_a_large_loss_reduces_the_effective_size_only_once_it_is_configured() -> None:
    tracker = joined_tracker(24)
    for step, alive in enumerate((20, 16, 12)):
        observe_for(tracker, 2.0 + 60 * step, 60, list(range(alive)))
    view = observe_for(tracker, 182.0, 60, list(range(4)))
    assert (view.effective_size, view.is_certain, view.reference_size) == (24, False, 12)
    tracker.configure(4, 0)
    view = observe_for(tracker, 242.0, 10, list(range(4)))
    assert (view.effective_size, view.is_certain) == (4, True)


def test_changes_are_published_in_batches() -> None:
    tracker = joined_tracker(10)
    epoch = tracker.view.epoch
    for removed in range(5):
        observe(tracker, 3 + removed / 10, list(range(9 - removed)))
    assert tracker.view.epoch == epoch
    assert observe(tracker, 4.1, list(range(5))).epoch == epoch + 1
    assert not tracker.view.is_certain


def test_an_announced_leave_does_not_count_as_a_loss() -> None:
    tracker = joined_tracker(10)
    for left in range(5):
        tracker.record_leave()
        observe(tracker, 3 + 2 * left, list(range(9 - left)))
        observe(tracker, 4 + 2 * left, list(range(9 - left)))
    for second in range(20, 40):
        observe(tracker, second, list(range(5)))
    assert tracker.view.is_certain
    assert tracker.view.effective_size == 5


@pytest.mark.parametrize(
    ("warming_up", "smallest"),
    [(False, 4), (True, 10)],
    ids=["none warming up", "one warming up"],
)
def test_views_that_change_each_second_keep_the_effective_size_within_bounds(
    warming_up: bool, smallest: int
) -> None:
    """A size that is too small at all brokers at once overloads endpoints that are warming up."""
    draw = random.Random(4)
    tracker = make_tracker(10)
    sizes: list[int] = []
    for second in range(200):
        alive = list(range(draw.choice([1, 2, 5, 10, 30, 100])))
        sizes.append(
            observe(tracker, second, alive, is_endpoint_warming_up=warming_up).effective_size
        )
    assert min(sizes) >= smallest
    assert max(sizes) <= 40
    for second in range(200, 260):  # A view of one of 100 members stays uncertain.
        sizes.append(
            observe(tracker, second, [0], is_endpoint_warming_up=warming_up).effective_size
        )
    assert sizes[-1] == 10


def test_equal_digests_mean_equal_members() -> None:
    first = joined_tracker(3, 0)
    third = joined_tracker(3, 2)
    assert first.view.digest == third.view.digest
    assert (first.view.effective_index, third.view.effective_index) == (0, 2)
    observe(first, 3, [0, 2])
    observe(first, 5, [0, 2])
    assert first.view.digest != third.view.digest
