"""Errors of invalid settings name the key; a request without an estimate has a default."""

from __future__ import annotations

import dataclasses

import pytest

from ..support.helpers import Harness, entry, make_settings, query_class


@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("classes", {"classes": ()}),
        ("fleet_size", {"fleet_size": 0}),
        ("tick", {"tick_ns": 0}),
        ("kind_cores", {"kind_cores": (("box", 0),)}),
    ],
    ids=["no class", "no broker", "no tick", "no cores"],
)
def test_error_of_invalid_settings_names_the_key(key: str, change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=key):
        dataclasses.replace(make_settings(), **change)  # type: ignore[arg-type]


def test_error_of_an_invalid_class_names_the_key() -> None:
    with pytest.raises(ValueError, match="deadline"):
        query_class(deadline_ns=0)


@pytest.mark.parametrize("estimate", [None, 0, -7], ids=["none", "zero", "negative"])
def test_request_without_an_estimate_counts_with_the_class_mean(estimate: int | None) -> None:
    harness = Harness(make_settings(kind_cores=()), entry(1))
    harness.arrive("r", estimate_ns=estimate)
    assert harness.sends("r")
    assert harness.backlog() > 0
