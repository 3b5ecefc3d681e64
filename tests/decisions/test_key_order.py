"""Requests with one ordering key run one at a time, in the order of arrival."""

from __future__ import annotations

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class
from .harness_steps import change_list


def ordered_harness() -> Harness:
    return Harness(
        make_settings(
            query_class(
                ordered_by_key=True, effect=api.Effect.IDEMPOTENCY_KEY, idempotency_window_ns=9 * S
            )
        ),
        entry(1),
        entry(2),
    )


def test_requests_of_a_key_run_one_at_a_time_in_the_order_admitted() -> None:
    harness = ordered_harness()
    for name in ("a", "b", "c"):
        harness.arrive(name, key="k")
    harness.arrive("other", key="k2")
    assert harness.sends("a")
    assert harness.sends("other")
    assert not harness.sends("b")
    assert not harness.sends("c")
    harness.end("a", api.AttemptResult.SERVED)
    assert harness.sends("b")
    assert not harness.sends("c")


@pytest.mark.parametrize(
    "result", [api.AttemptResult.TIMEOUT, api.AttemptResult.RESET, api.AttemptResult.CANCELLED]
)
def test_abandoned_request_blocks_its_key_until_its_outcome_and_the_cooldown(
    result: api.AttemptResult,
) -> None:
    harness = ordered_harness()
    harness.arrive("a", key="k")
    harness.arrive("b", key="k")
    harness.do(api.RequestAbandoned("a"))
    assert not harness.sends("b")
    harness.end("a", result, finished=True)
    assert not harness.sends("b")
    harness.pass_time(299 * MS)
    assert not harness.sends("b")
    harness.pass_time(2 * MS)
    assert harness.sends("b")


def test_cooldown_also_applies_to_a_key_without_queued_requests() -> None:
    harness = ordered_harness()
    harness.arrive("a", key="k")
    harness.do(api.RequestAbandoned("a"))
    harness.end("a", api.AttemptResult.CANCELLED, finished=True)
    harness.arrive("b", key="k")
    assert not harness.sends("b")
    harness.pass_time(300 * MS)
    assert harness.sends("b")


def test_a_long_key_queue_is_rejected_without_deep_recursion() -> None:
    """With hundreds of queued requests of a key and no endpoint left, each rejection leads to the
    next one.
    """
    harness = Harness(
        make_settings(
            query_class(ordered_by_key=True, latency_objective_ns=60 * S, deadline_ns=90 * S)
        ),
        entry(1),
    )
    for index in range(600):
        harness.arrive(f"r{index}", key="k", estimate_ns=MS, patience=80 * S)
    change_list(harness, entry(1, state=api.EndpointState.DRAINING))
    harness.end("r0", api.AttemptResult.SERVED)
    assert len(harness.sends("r0")) == 1
    assert all(
        len(harness.answers(f"r{index}")) == 1 and not harness.sends(f"r{index}")
        for index in range(1, 600)
    )


def test_only_the_oldest_request_of_a_key_is_eligible() -> None:
    """Admission dispatches only the oldest request of a key, but the check of eligibility must not
    depend on its caller.
    """
    harness = ordered_harness()
    harness.arrive("a", key="k")
    harness.arrive("b", key="k")
    second = harness.controller.requests["b"]
    endpoint = harness.controller.endpoints[2]
    assert not harness.controller.selector.eligibility.allows(harness.now, second, endpoint)
    harness.end("a", api.AttemptResult.SERVED)
    assert len(harness.sends("b")) == 1
