"""When, and in which order, observers of the dispatcher are called."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from query_broker.decisions.facade import (
    AttemptEnded,
    AttemptResult,
    Event,
    OrderBatch,
    RequestAbandoned,
)
from query_broker.dispatch.observers import DispatchExtensions, DispatchObserver, RequestEnding
from query_broker.dispatch.requests import ActiveRequest
from query_broker.dispatch.validation import ParsedRequest
from query_broker.overriding import override

from ..support.sockets import on_uvloop
from .dispatchers import list_endpoint, make_dispatcher
from .recording_client import RecordingClient, parsed_request


class RecordedCall(NamedTuple):
    """A call of an observer: its event, and the subject of the event."""

    observer: str
    event: str
    detail: object


class RecordingObserver(DispatchObserver):
    """Records each call together with the name of the observer."""

    def __init__(self, name: str, calls: list[RecordedCall]) -> None:
        self.name = name
        self.calls = calls

    @override
    def request_arrived(self, parsed: ParsedRequest, now_ns: int) -> None:
        self._record("arrived", parsed.class_name)

    @override
    def request_ended(self, request: ActiveRequest, ending: RequestEnding) -> None:
        self._record("ended", ending)

    @override
    def attempt_ended(self, endpoint: int, result: AttemptResult) -> None:
        self._record("attempt", result)

    @override
    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        self._record("health check", (endpoint, result))

    @override
    def endpoint_administered(self, uid: str, disabled: bool) -> None:
        self._record("administered", (uid, disabled))

    def _record(self, event: str, detail: object) -> None:
        self.calls.append(RecordedCall(self.name, event, detail))


def test_observers_are_called_in_the_order_of_their_registration() -> None:
    dispatcher = make_dispatcher()
    calls: list[RecordedCall] = []
    for name in ("first", "second"):
        dispatcher.add_observer(RecordingObserver(name, calls))
    list_endpoint(dispatcher, "s-1")
    assert dispatcher.set_endpoint_disabled("s-1", True)
    assert calls == [
        RecordedCall("first", "administered", ("s-1", True)),
        RecordedCall("second", "administered", ("s-1", True)),
    ]


@on_uvloop
async def test_an_observer_sees_a_request_before_its_decision_and_each_end_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    dispatcher = make_dispatcher()
    calls: list[RecordedCall] = []
    list_endpoint(dispatcher, "s-1")
    dispatcher.add_observer(RecordingObserver("", calls))
    report = dispatcher.facade.report

    def record_and_report(now_ns: int, event: Event) -> OrderBatch:
        calls.append(RecordedCall("", "decisions", type(event)))
        return report(now_ns, event)

    monkeypatch.setattr(dispatcher.facade, "report", record_and_report)
    request = dispatcher.submit(RecordingClient(), 1, parsed_request("glance"))
    dispatcher.cancellations.abandon(request)
    dispatcher.cancellations.abandon(request)  # has no effect the second time
    dispatcher.outcomes.report_deferred()
    assert calls == [
        RecordedCall("", "arrived", "glance"),
        RecordedCall("", "ended", RequestEnding.ABANDONED),
        RecordedCall("", "decisions", RequestAbandoned),
        RecordedCall("", "attempt", AttemptResult.NOT_SENT),
        RecordedCall("", "decisions", AttemptEnded),
    ]
    assert not dispatcher.requests
    assert not dispatcher.request_table.unanswered_count
    dispatcher.pools.close()


def test_a_removed_observer_is_not_called_and_others_stay() -> None:
    extensions = DispatchExtensions()
    calls: list[RecordedCall] = []
    observers = [RecordingObserver(name, calls) for name in ("first", "second", "third")]
    for observer in observers:
        extensions.add_observer(observer)
    extensions.remove_observer(observers[1])
    extensions.remove_observer(observers[1])  # has no effect the second time
    assert extensions.observers == (observers[0], observers[2])
    for remaining in extensions.observers:
        remaining.endpoint_administered("s-1", True)
    assert [call.observer for call in calls] == ["first", "third"]


def test_the_base_observer_does_nothing() -> None:
    dispatcher = make_dispatcher()
    dispatcher.add_observer(DispatchObserver())
    list_endpoint(dispatcher, "s-1")
    assert dispatcher.set_endpoint_disabled("s-1", True)
    assert not dispatcher.set_endpoint_disabled("s-2", True)
