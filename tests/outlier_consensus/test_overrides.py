"""Operators' overrides of endpoints: all brokers merge them to the same result."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from query_broker.outlier_consensus.messages import Override
from query_broker.outlier_consensus.overrides import OverrideStore


class ConcurrentOverrides(NamedTuple):
    """Overrides set on both sides of a partition, and a later one by a third broker.

    Attributes:
        first_store: Store of the author of the first override.
        second_store: Store of the author of the second override.
        first: Override that enables e1.
        second: Override that disables e1.
        later: Override of e2, by an author who had received the first override.
    """

    first_store: OverrideStore
    second_store: OverrideStore
    first: Override
    second: Override
    later: Override


@pytest.fixture
def concurrent_overrides() -> ConcurrentOverrides:
    first_store = OverrideStore("h1")
    second_store = OverrideStore("h2")
    first = first_store.set("e1", "back", 3)
    second = second_store.set("e1", "out", 3)
    third_store = OverrideStore("h3")
    third_store.merge([first], 3)
    later = third_store.set("e2", "pinned", 3)
    return ConcurrentOverrides(first_store, second_store, first, second, later)


def test_overrides_merge_to_the_same_result_in_any_order(
    concurrent_overrides: ConcurrentOverrides,
) -> None:
    stores = []
    for seed in range(6):
        store = OverrideStore("h9")
        overrides = [
            concurrent_overrides.first,
            concurrent_overrides.second,
            concurrent_overrides.later,
            concurrent_overrides.first,
        ]
        random.Random(seed).shuffle(overrides)
        for override in overrides:
            store.merge([override], 3)
        stores.append(store)
    assert {store.digest() for store in stores} == {stores[0].digest()}
    assert stores[0].overrides["e1"] == concurrent_overrides.second  # `out` wins at equal versions
    assert all(store.superseded["e1"] == concurrent_overrides.first for store in stores)


def test_superseded_override_is_kept_at_its_author(
    concurrent_overrides: ConcurrentOverrides,
) -> None:
    concurrent_overrides.first_store.merge([concurrent_overrides.second], 3)
    assert concurrent_overrides.first_store.superseded["e1"] == concurrent_overrides.first


def test_override_that_replaces_a_known_one_supersedes_nothing(
    concurrent_overrides: ConcurrentOverrides,
) -> None:
    concurrent_overrides.first_store.merge([concurrent_overrides.second], 3)
    assert concurrent_overrides.first_store.set("e1", "back", 3).version == 2
    concurrent_overrides.second_store.merge(concurrent_overrides.first_store.overrides.values(), 3)
    assert concurrent_overrides.second_store.overrides["e1"].value == "back"
    assert "e1" not in concurrent_overrides.second_store.superseded


def test_override_is_sent_a_bounded_number_of_times() -> None:
    store = OverrideStore("h1")
    store.set("e1", "out", 3)
    assert [len(store.next_batch(8)) for _ in range(5)] == [1, 1, 1, 0, 0]


@pytest.mark.parametrize(
    "override",
    [
        pytest.param(Override("e2", "burn", 1, "x"), id="unknown value"),
        pytest.param(Override("e3", "out", 0, "x"), id="version zero"),
    ],
)
def test_invalid_override_is_ignored(override: Override) -> None:
    assert OverrideStore("h1").merge([override], 3) == []
