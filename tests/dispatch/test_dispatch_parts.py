"""The parts of the dispatcher that need no sockets, and the observers that others register."""

from __future__ import annotations

from dataclasses import replace

import pytest

from query_broker.deadlines.settings import DeadlineSettings
from query_broker.decisions.facade import (
    AttemptEnded,
    AttemptResult,
    Event,
    LoadReport,
    OrderBatch,
    RequestAbandoned,
    Settings,
)
from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.capacity import Capacity, divide_capacity
from query_broker.dispatch.deadline_controls import DeadlineControls
from query_broker.dispatch.dispatcher import Dispatcher
from query_broker.dispatch.load_reports import parse_load_report
from query_broker.dispatch.observers import DispatchExtensions, DispatchObserver, RequestEnding
from query_broker.dispatch.request_table import RequestTable
from query_broker.dispatch.requests import ActiveRequest
from query_broker.dispatch.validation import (
    DispatchError,
    InvalidRequestError,
    ParsedRequest,
    RequestValidator,
    read_number,
)
from query_broker.timer_wheel import Clock

from ..support.sockets import MS, STATEMENT, make_config, on_uvloop, target_entry, topology_event

S = 1_000 * MS
VALID = ParsedRequest("glance", "a" * 16, "acme", 4_000.0, 10.0, 16.0, False, 3, STATEMENT)
KEYED_CLASS = {
    "name": "claim",
    "aim": S,
    "deadline": 20 * S,
    "worth": 1.0,
    "effect": "idempotency_key",
    "window": S,
}


class Recorder(DispatchObserver):
    """Notes each call under its own name."""

    def __init__(self, name: str, calls: list[tuple[object, ...]]) -> None:
        self.name = name
        self.calls = calls

    def request_arrived(self, parsed: ParsedRequest, now_ns: int) -> None:
        self.calls.append((self.name, "arrived", parsed.class_name))

    def request_ended(self, request: ActiveRequest, ending: RequestEnding) -> None:
        self.calls.append((self.name, "ended", ending))

    def attempt_ended(self, endpoint: int, result: AttemptResult) -> None:
        self.calls.append((self.name, "attempt", result))

    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        self.calls.append((self.name, "health check", endpoint, result))

    def endpoint_administered(self, uid: str, disabled: bool) -> None:
        self.calls.append((self.name, "administered", uid, disabled))


class Caller:
    """A client without a connection; keeps its answers."""

    def __init__(self) -> None:
        self.answers: list[tuple[str, int]] = []

    def served(self, stream: int, body: bytes) -> None:
        self.answers.append(("served", stream))

    def rejected(self, stream: int, pause_ms: int) -> None:
        self.answers.append(("rejected", pause_ms))

    def failed(self, stream: int, reason: str) -> None:
        self.answers.append(("failed", stream))

    def unread_bytes(self) -> int:
        return 0


def make_dispatcher() -> Dispatcher:
    return Dispatcher(make_config(), Clock(), lambda kind, text: None)


# --- observers and policies ---


def test_observers_are_called_in_the_order_of_their_registration() -> None:
    dispatcher = make_dispatcher()
    calls: list[tuple[object, ...]] = []
    for name in ("first", "second"):
        dispatcher.add_observer(Recorder(name, calls))
    dispatcher.endpoint_list_changed(
        parse_event(topology_event(1, target_entry("s-1", 1), full=True))
    )
    assert dispatcher.set_endpoint_disabled("s-1", True)
    assert calls == [
        ("first", "administered", "s-1", True),
        ("second", "administered", "s-1", True),
    ]


@on_uvloop
async def test_an_observer_sees_a_request_before_its_decision_and_each_end_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    dispatcher = make_dispatcher()
    calls: list[tuple[object, ...]] = []
    dispatcher.endpoint_list_changed(
        parse_event(topology_event(1, target_entry("s-1", 1), full=True))
    )
    dispatcher.add_observer(Recorder("", calls))
    report = dispatcher.facade.report

    def noted(now_ns: int, reported: Event) -> OrderBatch:
        calls.append(("", "decisions", type(reported)))
        return report(now_ns, reported)

    monkeypatch.setattr(dispatcher.facade, "report", noted)
    request = dispatcher.submit(Caller(), 1, VALID)
    dispatcher.cancellations.abandon(request)
    dispatcher.cancellations.abandon(request)  # its client has gone already
    dispatcher.outcomes.report_deferred()
    assert calls == [
        ("", "arrived", "glance"),
        ("", "ended", RequestEnding.ABANDONED),
        ("", "decisions", RequestAbandoned),
        ("", "attempt", AttemptResult.NOT_SENT),
        ("", "decisions", AttemptEnded),
    ]
    assert not dispatcher.requests
    assert not dispatcher.request_table.unanswered_count
    dispatcher.pools.close()


def test_a_removed_observer_is_not_called_and_others_stay() -> None:
    extensions = DispatchExtensions()
    calls: list[tuple[object, ...]] = []
    observers = [Recorder(name, calls) for name in ("first", "second", "third")]
    for observer in observers:
        extensions.add_observer(observer)
    extensions.remove_observer(observers[1])
    extensions.remove_observer(observers[1])  # nothing happens
    assert extensions.observers == (observers[0], observers[2])
    for remaining in extensions.observers:
        remaining.endpoint_administered("s-1", True)
    assert [call[0] for call in calls] == ["first", "third"]


def test_the_base_observer_does_nothing() -> None:
    dispatcher = make_dispatcher()
    dispatcher.add_observer(DispatchObserver())
    dispatcher.endpoint_list_changed(
        parse_event(topology_event(1, target_entry("s-1", 1), full=True))
    )
    assert dispatcher.set_endpoint_disabled("s-1", True)
    assert not dispatcher.set_endpoint_disabled("s-2", True)


def test_settings_adjusters_are_applied_one_after_the_other() -> None:
    extensions = DispatchExtensions()
    settings = make_config().settings

    def grow(given: Settings) -> Settings:
        return replace(given, fleet_size=given.fleet_size + 1)

    def double(given: Settings) -> Settings:
        return replace(given, fleet_size=given.fleet_size * 2)

    extensions.settings_adjusters += [grow, double]
    assert extensions.adjusted(settings).fleet_size == (settings.fleet_size + 1) * 2


def test_metrics_sources_follow_the_dispatcher_s_own_lines() -> None:
    dispatcher = make_dispatcher()
    own = dispatcher.metrics()
    dispatcher.extensions.metrics_sources += [lambda: b"one 1\n", lambda: b"two 2\n"]
    assert dispatcher.metrics() == own + b"one 1\ntwo 2\n"


@pytest.mark.parametrize(("widened_ns", "pause_ms"), [(7_000_001, 8), (7_000_000, 7)])
def test_the_retry_after_policy_is_rounded_up_to_milliseconds(
    widened_ns: int, pause_ms: int
) -> None:
    dispatcher = make_dispatcher()
    caller = Caller()
    dispatcher.extensions.retry_after_policy = lambda retry_after_ns: widened_ns
    dispatcher.submit(caller, 1, VALID)  # no endpoint is known: it waits, then it is rejected
    dispatcher.cancellations.close_out_all()
    assert caller.answers == [("rejected", pause_ms)]


# --- capacity ---


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "operator", "processes", "other_clients", "expected"),
    [
        pytest.param(64, 128, None, 1, 0, Capacity(21, 19, 27_262_976), id="few"),
        pytest.param(1_024, 512, None, 1, 0, Capacity(544, 384, 127_926_272), id="alone"),
        pytest.param(
            1_024,
            512,
            ("127.0.0.1", 1),
            1,
            0,
            Capacity(531, 384, 127_926_272),
            id="operators",
        ),
        pytest.param(1_024, 512, None, 2, 100, Capacity(348, 192, 60_817_408), id="upgrade"),
        pytest.param(20, 8, None, 1, 0, Capacity(6, 4, 2_097_152), id="least"),
        pytest.param(
            4_096,
            2_048,
            ("127.0.0.1", 1),
            3,
            5_000,
            Capacity(455, 512, 172_490_752),
            id="three processes",
        ),
    ],
)
def test_division_of_descriptors_and_memory(
    sockets: int,
    memory_mb: int,
    operator: tuple[str, int] | None,
    processes: int,
    other_clients: int,
    expected: Capacity,
) -> None:
    config = replace(make_config(), sockets=sockets, memory_mb=memory_mb, admin_address=operator)
    assert divide_capacity(config, processes, other_clients) == expected


# --- deadlines ---


@pytest.mark.parametrize(
    ("count_from", "stated_ms", "received_ns", "expected_ns"),
    [
        pytest.param("last", 4_000.0, 0, 3_990 * MS, id="stated"),
        pytest.param("last", 90_000.0, 0, 19_990 * MS, id="deadline of the class"),
        pytest.param("last", 8.0, 0, 6 * MS, id="short: a quarter at the most is kept"),
        pytest.param("last", 4_000.0, 7 * S, 3_990 * MS, id="age does not count"),
        pytest.param("first", 4_000.0, 7 * S, 2_990 * MS, id="age counts"),
        pytest.param("first", 4_000.0, 0, 3_990 * MS, id="age is not known"),
        pytest.param("first", 500.0, 7 * S, 1, id="nothing is left"),
    ],
)
def test_timeout_of_a_request(
    count_from: str, stated_ms: float, received_ns: int, expected_ns: int
) -> None:
    controls = DeadlineControls()
    controls.settings = replace(DeadlineSettings(), count_from=count_from)  # type: ignore[arg-type]
    assert controls.timeout_ns(stated_ms, 20 * S, received_ns, 8 * S) == expected_ns


# --- validation ---


@pytest.mark.parametrize(
    ("parsed", "text"),
    [
        pytest.param(
            replace(VALID, class_name="x" * 50),
            f"route: {'x' * 40!r} is no class of the settings",
            id="class",
        ),
        pytest.param(
            replace(VALID, timeout_ms=0.5), "patience: must be 1 to 3600000 ms", id="timeout"
        ),
        pytest.param(
            replace(VALID, memory_mb=2e7), "weight or ram: is out of range", id="estimate"
        ),
        pytest.param(
            replace(VALID, tenant=None), "customer: '' is none of the settings", id="tenant"
        ),
        pytest.param(replace(VALID, class_name="claim"), "nonce: is missing", id="no key"),
        pytest.param(
            replace(VALID, class_name="claim", idempotency_key="a,b"),
            "nonce: is empty or holds a comma: no engine can be told it",
            id="comma in the key",
        ),
        pytest.param(
            replace(VALID, client_request_id="b" * 16, statement=b"other"),
            "trace: is open with another statement or nonce",
            id="open id",
        ),
    ],
)
def test_invalid_requests_get_one_line_that_names_the_field(
    parsed: ParsedRequest, text: str
) -> None:
    table = RequestTable()
    table.add(ActiveRequest("1", b"b" * 16, b"glance", STATEMENT, Caller(), 1, S))
    classes = [*make_config().settings.classes]
    keyed = make_config(classes=[KEYED_CLASS]).settings.classes
    settings = replace(make_config().settings, classes=(*classes, *keyed))
    validator = RequestValidator(settings, table)
    validator.check(VALID)
    validator.check(replace(VALID, client_request_id="b" * 16))  # the same statement again
    with pytest.raises(InvalidRequestError) as caught:
        validator.check(parsed)
    assert str(caught.value) == text
    assert isinstance(caught.value, DispatchError)


@pytest.mark.parametrize("text", ["", "-1", "+1", "nan", "inf", "1_0", "\u0661", "1e100", "1" * 16])
def test_texts_that_are_no_number(text: str) -> None:
    with pytest.raises(InvalidRequestError, match="weight: .* is no number from 0 up"):
        read_number(text, "weight")


# --- the table of open requests ---


def test_a_request_is_removed_once() -> None:
    table = RequestTable()
    requests = [
        ActiveRequest(number, b"a" * 16, b"glance", STATEMENT, None, 1, S) for number in "12"
    ]
    for request in requests:
        table.add(request)
    assert table.statement_bytes == 2 * len(STATEMENT)
    assert table.remove(requests[0])
    assert not table.remove(requests[0])
    assert table.by_client_id == {b"a" * 16: [requests[1]]}
    assert table.remove(requests[1])
    assert not table.by_id
    assert not table.by_client_id
    assert not table.statement_bytes


# --- load reports ---


@pytest.mark.parametrize(
    ("text", "expected", "logged"),
    [
        pytest.param("", None, 0, id="empty"),
        pytest.param(
            "q:2;rif:7;x1:0.5;x0:0.25",
            LoadReport(queue=2.0, memory=0.25, disk=0.5, inflight=7.0),
            0,
            id="all",
        ),
        pytest.param("what:1", None, 0, id="unknown names"),
        pytest.param("q:x", None, 1, id="malformed"),
    ],
)
def test_load_reports(text: str, expected: LoadReport | None, logged: int) -> None:
    lines: list[str] = []
    assert parse_load_report(text, lambda kind, line: lines.append(line)) == expected
    assert len(lines) == logged
