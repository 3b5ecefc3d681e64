"""No request has a double effect, and retries stay within their budget."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class
from .harness_steps import change_list, non_idempotent_harness

KEYED: dict[str, Any] = {"effect": api.Effect.IDEMPOTENCY_KEY, "idempotency_window_ns": 3 * S}


@pytest.mark.parametrize(
    "result",
    [
        api.AttemptResult.ERROR,
        api.AttemptResult.TIMEOUT,
        api.AttemptResult.RESET,
        api.AttemptResult.CANCELLED,
    ],
)
def test_non_idempotent_request_that_may_have_run_fails(result: api.AttemptResult) -> None:
    harness = non_idempotent_harness(entry(1), entry(2))
    harness.arrive("r")
    harness.end("r", result)
    assert len(harness.sends("r")) == 1
    assert isinstance(harness.answers("r")[0], api.Fail)


@pytest.mark.parametrize(
    "result", [api.AttemptResult.FULL, api.AttemptResult.CONNECT_FAILED, api.AttemptResult.NOT_SENT]
)
def test_non_idempotent_request_that_did_not_run_is_retried(result: api.AttemptResult) -> None:
    harness = non_idempotent_harness(entry(1), entry(2))
    harness.arrive("r")
    harness.end("r", result)
    assert len(harness.sends("r")) == 2


def test_non_idempotent_request_without_an_attempt_is_rejected() -> None:
    harness = non_idempotent_harness()
    harness.arrive("r")
    assert isinstance(harness.answers("r")[0], api.Reject)


def test_retry_with_a_key_is_dispatched_only_within_the_window_of_the_first_attempt() -> None:
    harness = Harness(make_settings(query_class(**KEYED)), entry(1), entry(2))
    harness.arrive("early")
    harness.now += S
    harness.end("early", api.AttemptResult.ERROR)
    assert len(harness.sends("early")) == 2
    harness.now += 2 * S + 500 * MS  # the window is counted from the first dispatch, not the last
    harness.end("early", api.AttemptResult.ERROR)
    assert len(harness.sends("early")) == 2
    assert isinstance(harness.answers("early")[0], api.Reject)


@pytest.mark.parametrize("scope", [api.IdempotencyScope.ZONE, api.IdempotencyScope.CELL])
def test_retry_with_a_key_stays_in_its_idempotency_scope(scope: api.IdempotencyScope) -> None:
    harness = Harness(
        make_settings(query_class(idempotency_scope=scope, **KEYED)), entry(1, zone="a", cell=1)
    )
    harness.arrive("r")
    change_list(harness, entry(2, zone="b", cell=2))
    change_list(harness, entry(1, cell=1, state=api.EndpointState.DRAINING))
    harness.end("r", api.AttemptResult.ERROR)
    assert len(harness.sends("r")) == 1
    # A rejection is only allowed with the scope ALL.
    assert isinstance(harness.answers("r")[0], api.Fail)


def test_no_two_attempts_run_at_once_without_hedging() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("r", estimate_ns=10 * MS)
    harness.pass_time(4 * S)
    assert len(harness.sends("r")) == 1
    assert api.CancelAttempt("r", 0) in [order for _, order in harness.log]
    harness.end("r", api.AttemptResult.CANCELLED)
    assert len(harness.sends("r")) == 2


def test_retries_stay_within_the_budget_of_a_window() -> None:
    settings = make_settings()
    contract = dataclasses.replace(
        settings.contract,
        retry_budget_window_ns=2 * S,
        retry_budget_free=1.0,
        retry_budget_ratio=0.25,
    )
    harness = Harness(
        dataclasses.replace(settings, contract=contract), *(entry(index) for index in range(12))
    )
    for index in range(8):
        harness.arrive(f"r{index}", estimate_ns=10 * MS)
        harness.end(f"r{index}", api.AttemptResult.ERROR)
    retries = sum(len(harness.sends(f"r{index}")) - 1 for index in range(8))
    assert 0 < retries <= 3
    harness.now += 3 * S
    harness.arrive("late", estimate_ns=10 * MS)
    harness.end("late", api.AttemptResult.ERROR)
    assert len(harness.sends("late")) == 2
