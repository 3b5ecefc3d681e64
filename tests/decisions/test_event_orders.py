"""Orders of events, exhaustively: a request keeps the rules of its deployment in each of them."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Any

import pytest

from ..support.deployments import ALL
from .dispatcher_harness import DispatcherHarness
from .occurrences import Occurrence, let_happen

EventOrder = tuple[Occurrence, ...]

#: Tried in every order; at its review the attempt is cancelled.
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
    Occurrence.SOCKET_JAMMED,
)
#: After these even a request that must not run twice may be dispatched again.
NEVER_EXECUTED = {
    Occurrence.OVERLOADED,
    Occurrence.SOCKET_JAMMED,
    Occurrence.ENGINES_DRAINING,
}


def orders_of_events(deployment: str) -> Iterator[EventOrder]:
    """Yield all orders for one deployment in full, and shorter ones for the others."""
    is_tried_in_full = deployment == "warehouse"
    yield from itertools.product(REPEATABLE, repeat=3 if is_tried_in_full else 2)
    yield from itertools.permutations(PERMUTED, len(PERMUTED) if is_tried_in_full else 3)


def assert_rules_hold(
    harness: DispatcherHarness, order: EventOrder, limits: dict[str, Any], effect: str
) -> None:
    may_hedge = limits["second_copies"] and effect == "read_like"
    answers = harness.client.answers
    assert harness.most_in_flight <= (2 if may_hedge else 1), order
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
def test_no_order_of_events_breaks_a_rule(
    name: str, route: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = ALL[name]
    request_class = next(entry for entry in settings["classes"] if entry["name"] == route)
    for order in orders_of_events(name):
        harness = DispatcherHarness(settings, monkeypatch)
        harness.submit(route)
        for occurrence in order:
            let_happen(harness, occurrence)
        harness.let_all_end()
        assert_rules_hold(harness, order, settings["policy_limits"], request_class["effect"])
