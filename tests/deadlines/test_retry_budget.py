"""The number of retries that a budget allows, and the time that a first attempt gets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.deadlines import retry_budget
from query_broker.deadlines.retry_budget import (
    ClassRate,
    RetryBudget,
    RetryBudgetSettings,
    attempt_time_ns,
)

MS = 1_000_000


def test_a_budget_allows_a_fraction_of_first_attempts_and_a_burst() -> None:
    budget = RetryBudget(
        RetryBudgetSettings(
            tokens_per_attempt=0.2, burst=3.0, class_rates=(ClassRate("load", 0.0, 1.0),)
        )
    )
    assert [budget.try_spend("glance", "x") for _ in range(4)] == [True, True, True, False]
    assert budget.try_spend("glance", "y")  # another tenant has its own bucket
    for _ in range(5):
        budget.record_first_attempt("glance", "x")
    assert budget.try_spend("glance", "x")
    assert not budget.try_spend("glance", "x")
    assert budget.refused_count == 2
    budget.refund("glance", "x")  # as if the retry was never sent
    assert budget.try_spend("glance", "x")
    assert budget.try_spend("load", "x")
    assert not budget.try_spend("load", "x")


def test_a_budget_can_be_shared_by_all_tenants() -> None:
    budget = RetryBudget(RetryBudgetSettings(burst=1.0, by_tenant=False))
    assert budget.try_spend("glance", "x")
    assert not budget.try_spend("glance", "y")


@given(st.lists(st.booleans(), max_size=300), st.floats(0, 1), st.floats(1, 20))
def test_no_more_retries_than_the_terms_allow(
    steps: list[bool], fraction: float, burst: float
) -> None:
    budget = RetryBudget(RetryBudgetSettings(fraction, burst))
    first_attempts = 0
    retries = 0
    for is_first in steps:
        if is_first:
            budget.record_first_attempt("glance", "x")
            first_attempts += 1
        else:
            retries += budget.try_spend("glance", "x")
        assert retries <= burst + fraction * first_attempts + 1e-6


def test_the_number_of_token_buckets_is_bounded() -> None:
    budget = RetryBudget(RetryBudgetSettings())
    for number in range(3 * retry_budget.MAX_BUCKET_COUNT):
        budget.try_spend("glance", f"t{number}")
        budget.record_first_attempt("glance", f"t{number}")
    assert len(budget.tokens) <= retry_budget.MAX_BUCKET_COUNT + 1


@pytest.mark.parametrize(
    ("number", "idempotent", "fraction", "expected_ms"),
    [
        pytest.param(0, True, 0.5, 500, id="half of the time"),
        pytest.param(1, True, 0.5, 1_000, id="a retry"),
        pytest.param(0, False, 0.5, 1_000, id="not idempotent"),
        pytest.param(0, True, 1.0, 1_000, id="all of the time"),
        pytest.param(0, True, 0.01, 100, id="minimum"),
    ],
)
def test_only_a_first_attempt_that_can_be_retried_is_cut_short(
    number: int, idempotent: bool, fraction: float, expected_ms: int
) -> None:
    settings = RetryBudgetSettings(first_attempt_fraction=fraction)
    assert attempt_time_ns(1_000 * MS, number, idempotent, settings) == expected_ms * MS
    assert attempt_time_ns(50 * MS, number, idempotent, settings) <= 50 * MS
