"""Operators' overrides of endpoints: they merge to the same at all brokers."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from query_broker.outlier_consensus.messages import Override
from query_broker.outlier_consensus.overrides import OverrideStore


class ConcurrentOverrides(NamedTuple):
    """Overrides by operators on both sides of a partition, and one by a broker in between.

    Attributes:
        first_store: Store of the author of the first.
        second_store: Store of the author of the second.
        first: Enables e1.
        second: Disables e1.
        later: On e2, by one who had received the first.
    """

    first_store: OverrideStore
    second_store: OverrideStore
    first: Override
    second: Override
    later: Override


@pytest.fixture
def concurrent() -> ConcurrentOverrides:
    first_store = OverrideStore("h1")
    second_store = OverrideStore("h2")
    first = first_store.set("e1", "back", 3)
    second = second_store.set("e1", "out", 3)
    third_store = OverrideStore("h3")
    third_store.merge([first], 3)
    later = third_store.set("e2", "pinned", 3)
    return ConcurrentOverrides(first_store, second_store, first, second, later)


def test_overrides_merge_to_the_same_in_any_order(concurrent: ConcurrentOverrides) -> None:
    stores = []
    for seed in range(6):
        store = OverrideStore("h9")
        overrides = [concurrent.first, concurrent.second, concurrent.later, concurrent.first]
        random.Random(seed).shuffle(overrides)
        for override in overrides:
            store.merge([override], 3)
        stores.append(store)
    assert {store.digest() for store in stores} == {stores[0].digest()}
    assert stores[0].overrides["e1"] == concurrent.second  # of equals, out
    assert all(store.superseded["e1"] == concurrent.first for store in stores)


def test_author_of_a_superseded_override_is_shown_it(concurrent: ConcurrentOverrides) -> None:
    concurrent.first_store.merge([concurrent.second], 3)
    assert concurrent.first_store.superseded["e1"] == concurrent.first


def test_override_by_one_who_knew_the_replaced_one_is_no_conflict(
    concurrent: ConcurrentOverrides,
) -> None:
    concurrent.first_store.merge([concurrent.second], 3)
    assert concurrent.first_store.set("e1", "back", 3).version == 2
    concurrent.second_store.merge(concurrent.first_store.overrides.values(), 3)
    assert concurrent.second_store.overrides["e1"].value == "back"
    assert "e1" not in concurrent.second_store.superseded


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
