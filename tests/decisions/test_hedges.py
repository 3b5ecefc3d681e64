"""Hedges: the endpoint of the second attempt of a late request.

Known fault: if no other endpoint is eligible, the hedge goes to the engine that runs the first
attempt. The engine identifies both attempts by the id of the request alone, so that a result in
pages is answered as an error. To exclude this endpoint in the decisions costs 0.06 on the
simulator's days, so it is not done.
"""

from __future__ import annotations

import dataclasses

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def hedging_harness(*entries: api.EndpointEntry) -> Harness:
    settings = make_settings(query_class())
    limits = dataclasses.replace(settings.limits, hedging=True, cancellation=False)
    return Harness(dataclasses.replace(settings, limits=limits), *entries)


def test_a_hedge_does_not_go_to_the_endpoint_that_runs_the_first_attempt() -> None:
    harness = hedging_harness(entry(1), entry(2, state=api.EndpointState.DRAINING))
    harness.arrive("a", estimate_ns=50 * MS)
    harness.pass_time(S)
    assert [order.endpoint for order in harness.sends("a")] == [1]


def test_a_hedge_goes_to_another_endpoint() -> None:
    harness = hedging_harness(entry(1), entry(2))
    harness.arrive("a", estimate_ns=50 * MS)
    harness.pass_time(S)
    assert sorted(order.endpoint for order in harness.sends("a")) == [1, 2]


def test_a_retry_may_go_to_the_endpoint_of_an_attempt_that_has_ended() -> None:
    harness = hedging_harness(entry(1))
    harness.arrive("a", estimate_ns=50 * MS)
    harness.end("a", api.AttemptResult.NOT_SENT)
    assert [order.endpoint for order in harness.sends("a")] == [1, 1]
