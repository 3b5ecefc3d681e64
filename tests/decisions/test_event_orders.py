"""Exhaustive orders of events: a request must keep the rules of its deployment in each of them."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Any

import pytest

from ..support.deployments import ALL
from .dispatcher_harness import DispatcherHarness
from .occurrences import Occurrence, apply_occurrence

EventOrder = tuple[Occurrence, ...]

#: These are tried in every order. The review of an attempt cancels it.
PERMUTED = (
    Occurrence.DEADLINE_PASSED,
    Occurrence.ATTEMPT_REVIEWED,
    Occurrence.FIRST_ATTEMPT_SERVED,
    Occurrence.CONNECTION_RESET,
    Occurrence.PROGRESS,
    Occurrence.ENGINES_DRAINING,
    Occurrence.CLIENT_LEFT,
)
REPEATABLE = (
    Occurrence.TICK,
    Occurrence.ATTEMPT_REVIEWED,
    Occurrence.CLIENT_LEFT,
    Occurrence.ENGINES_DRAINING,
    Occurrence.SOCKETS_WRITABLE,
    Occurrence.SERVED,
    Occurrence.CRASHED,
    Occurrence.OVERLOADED,
    Occurrence.PROGRESS,
    Occurrence.CONNECTION_RESET,
    Occurrence.PROTOCOL_ERROR,
    Occurrence.SOCKET_BLOCKED,
)
#: After these even a non-idempotent request may be dispatched again.
NEVER_EXECUTED = {
    Occurrence.OVERLOADED,
    Occurrence.SOCKET_BLOCKED,
    Occurrence.ENGINES_DRAINING,
}


def orders_of_events(deployment: str) -> Iterator[EventOrder]:
    """Yield full-length orders for one deployment, and shorter orders for the others."""
    is_exhaustive = deployment == "warehouse"
    yield from itertools.product(REPEATABLE, repeat=3 if is_exhaustive else 2)
    yield from itertools.permutations(PERMUTED, len(PERMUTED) if is_exhaustive else 3)


def assert_contract_holds(
    harness: DispatcherHarness, order: EventOrder, limits: dict[str, Any], effect: str
) -> None:
    may_hedge = limits["second_copies"] and effect == "read_like"
    answers = harness.client.answers
    assert harness.max_in_flight <= (2 if may_hedge else 1), order
    assert harness.dispatch_count <= limits["send_cap"], order
    assert len(answers) <= 1, order
    assert answers or Occurrence.CLIENT_LEFT in order, order
    assert not harness.faults, (order, harness.faults)
    if effect == "non_idempotent" and not NEVER_EXECUTED.intersection(order):
        assert harness.dispatch_count <= 1, order
    assert not harness.dispatcher.requests, order
    assert not harness.dispatcher.request_table.by_client_id, order


@pytest.mark.parametrize("name", ALL)
@pytest.mark.parametrize("route", ["glance", "load"])
def test_requests_keep_the_contract_in_every_order_of_events(
    name: str, route: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = ALL[name]
    request_class = next(entry for entry in settings["classes"] if entry["name"] == route)
    for order in orders_of_events(name):
        harness = DispatcherHarness(settings, monkeypatch)
        harness.submit(route)
        for occurrence in order:
            apply_occurrence(harness, occurrence)
        harness.run_until_idle()
        assert_contract_holds(harness, order, settings["policy_limits"], request_class["effect"])
