"""Golden values of the hashes that place tenants and endpoints, the same at every broker."""

from __future__ import annotations

from typing import Any, cast

import pytest

from query_broker.cells import model, placement
from query_broker.decisions.data_set_affinity import DataSetAffinity
from query_broker.endpoints.endpoint_table import EndpointTable

from .cells import CELL_MAP


@pytest.mark.parametrize(
    ("tenant", "request_class", "data_set", "subject"),
    [
        ("acme", "glance", 0, "acme#56"),
        ("acme", "load", 0, "acme#49"),
        ("data", "glance", 7, "data#26"),
        ("data", "glance", 8, "data#16"),
        ("bolt", "glance", 7, "bolt"),
        ("other", "glance", 7, "other"),
    ],
)
def test_subject_of_a_request(tenant: str, request_class: str, data_set: int, subject: str) -> None:
    assert CELL_MAP.subject(tenant, request_class, data_set) == subject


@pytest.mark.parametrize(
    ("cell", "key", "weight", "cost"),
    [
        ("a", "s-1", 1.0, 2.6993623416434165),
        ("a", "s-1", 2.0, 1.3496811708217082),
        ("b", "s-1", 1.0, 0.4113384773130511),
        ("zürich", "acme#7", 0.5, 7.9383107611600074),
    ],
)
def test_rendezvous_cost(cell: str, key: str, weight: float, cost: float) -> None:
    assert model.rendezvous(cell, key, weight) == pytest.approx(cost, rel=1e-14, abs=0)


def test_home_of_each_part_of_a_tenant_with_several_cells() -> None:
    homes = "".join(CELL_MAP.home(f"acme#{part}") for part in range(model.BUCKETS))
    assert homes == "ababcaacaaaabbaaabbccbbaaabaaccabcaabcabbacaabacaacaacabbcacbccc"


@pytest.mark.parametrize(("subject", "home"), [("bolt", "b"), ("other", "c")])
def test_home_of_a_tenant_with_one_cell(subject: str, home: str) -> None:
    assert CELL_MAP.home(subject) == home


def endpoint(number: int) -> placement.PlacedEndpoint:
    """Return a ready endpoint; every fourth one, from the third on, runs in zone b."""
    zone = "zone-b" if number % 4 == 2 else "zone-a"
    return placement.PlacedEndpoint(f"s-{number}", zone, "m-0", True)


def test_cells_of_twelve_endpoints() -> None:
    seats = placement.Placement(CELL_MAP)
    seats.apply_list_update(endpoint(number) for number in range(12))
    assert seats.seats == {
        "s-0": "a",
        "s-1": "a",
        "s-2": "b",
        "s-3": "c",
        "s-4": "a",
        "s-5": "a",
        "s-6": "b",
        "s-7": "b",
        "s-8": "c",
        "s-9": "b",
        "s-10": "b",
        "s-11": "b",
    }


@pytest.mark.parametrize(
    ("uid", "number"),
    [("s-1", 3977715312), ("s-2", 3855517240), ("pod-7f9c/zürich", 1996978082), ("", 309448485)],
)
def test_number_of_an_endpoint(uid: str, number: int) -> None:
    assert EndpointTable().number(uid) == number


@pytest.mark.parametrize(
    ("data_set", "order"),
    [
        pytest.param(0, [3, 4000000001, 2, 1, 4], id="data set 0"),
        pytest.param(7, [2, 1, 4, 4000000001, 3], id="data set 7"),
        pytest.param(4000000000, [4000000001, 4, 1, 3, 2], id="data set 4000000000"),
    ],
)
def test_order_of_endpoints_for_a_data_set(data_set: int, order: list[int]) -> None:
    """Each broker dispatches a data set's requests to the first endpoints of this order."""
    affinity = DataSetAffinity(cast(Any, None), dict.fromkeys((1, 2, 3, 4, 4_000_000_001)))
    rank = affinity.rank(data_set, 1)
    assert list(affinity.ranks[data_set]) == order
    assert rank == order.index(1) / 5
