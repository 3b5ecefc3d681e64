"""The facade of the decisions: its orders, and its timers."""

from __future__ import annotations

from query_broker.decisions.events import AttemptResult, EndpointState
from query_broker.decisions.facade import (
    AttemptEnded,
    CloseRequests,
    EndpointEntry,
    EndpointListUpdate,
    Facade,
    Fail,
    ListUpdateKind,
    RequestArrived,
    Settings,
)
from query_broker.decisions.settings import Effect
from query_broker.timer_wheel import TimerWheel

from ..support.helpers import MS, S, make_settings, query_class

LOAD_SETTINGS = make_settings(
    query_class(),
    query_class("load", effect=Effect.NON_IDEMPOTENT, deadline_ns=2 * S),
    memory_grants=True,
    priorities=True,
)
LOAD = RequestArrived("1", "load", 2 * S, None, None, 50 * MS, 64.0, 3, False)


def facade_with_one_endpoint(settings: Settings, timers: TimerWheel) -> Facade:
    """Return the decisions of a broker whose endpoint list contains only endpoint 9."""
    facade = Facade(settings, 7, 0, timers)
    entry = EndpointEntry(9, EndpointState.READY, "a", "box")
    facade.report(0, EndpointListUpdate(ListUpdateKind.FULL, (entry,)))
    return facade


def test_a_dispatch_carries_the_endpoint_and_the_memory_to_reserve() -> None:
    facade = facade_with_one_endpoint(LOAD_SETTINGS, TimerWheel(5 * MS, 0))
    orders = facade.pick(0, LOAD)
    dispatches = [(sent.request_id, sent.attempt, sent.endpoint) for sent in orders.dispatches]
    assert dispatches == [("1", 0, 9)]
    assert [(option.request_id, option.memory_mb) for option in orders.options] == [
        ("1", 1.2 * 64.0)
    ]


def test_a_non_idempotent_request_without_an_answer_fails_once_at_its_deadline() -> None:
    timers = TimerWheel(5 * MS, 0)
    facade = facade_with_one_endpoint(LOAD_SETTINGS, timers)
    facade.pick(0, LOAD)
    assert not facade.due  # no timer has fired yet
    timers.advance(2 * S)
    answers = [answer for _ in range(len(facade.due)) for answer in facade.tick(2 * S).answers]
    assert answers == [Fail("1")]  # it may have run: failed, not rejected
    late = facade.report(2 * S, AttemptEnded("1", 0, 9, AttemptResult.SERVED, 2 * S, True))
    assert not late.dispatches
    assert not late.answers


def test_closing_fails_a_request_that_may_have_run_and_answers_it_once() -> None:
    settings = make_settings(query_class(effect=Effect.NON_IDEMPOTENT))
    facade = facade_with_one_endpoint(settings, TimerWheel(5 * MS, 0))
    facade.pick(0, RequestArrived("1", "short", 5 * S, None, None, 0, 0.0, -1, False))
    assert facade.report(1, CloseRequests()).answers == [Fail("1")]
    assert facade.report(2, CloseRequests()).answers == []
