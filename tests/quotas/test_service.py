"""The services of shared limits and outlier consensus on a fake node: operators' answers, metrics.

The texts and keys are read by operators' scripts and dashboards, and must not change.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple, cast

import pytest

from query_broker import decisions as api
from query_broker.decisions.facade import AdministrativeChange, AttemptResult, EndpointState
from query_broker.dispatch.observers import DispatchExtensions
from query_broker.endpoints.administrative_state import AdministrativeState, AdministrativeStates
from query_broker.outlier_consensus.service import OutlierConsensusService
from query_broker.outlier_consensus.settings import OutlierConsensusSettings
from query_broker.quotas.batching import MAX_BODY_BYTES, message_bodies
from query_broker.quotas.service import QuotaService
from query_broker.quotas.settings import NS_PER_S, LimitSettings, QuotaKind, QuotaSettings
from query_broker.token_bucket import TokenBucket

BEGIN_NS = 1_000 * NS_PER_S
OWN_ADDRESS = "10.0.0.1:7000"
OWN_NAME = f"{OWN_ADDRESS}/aa"
SETTINGS = QuotaSettings(
    limits=(
        LimitSettings("acme"),
        LimitSettings("again", QuotaKind.RETRIES, 30.0),
    )
)


class FakeMembership:
    """A membership whose only member is this broker."""

    def __init__(self) -> None:
        self.name = OWN_NAME
        self.detector = SimpleNamespace(
            draw=random.Random(5), me=SimpleNamespace(address=OWN_ADDRESS)
        )
        self.views = SimpleNamespace(view=SimpleNamespace(is_certain=True))

    def names(self) -> tuple[str, ...]:
        return (OWN_NAME,)

    def subscribe(self, topic: str, receive: Callable[[int, str, bytes], None]) -> None:
        pass

    def send(self, topic: str, name: str, body: bytes) -> None:
        pass

    def flush(self) -> None:
        pass


class FakeNode:
    """A node and dispatcher with a clock and timers that a test turns."""

    def __init__(self) -> None:
        self.now_ns = BEGIN_NS
        self.timers: list[tuple[int, Callable[[], None]]] = []
        self.lines: list[tuple[str, str]] = []
        self.administrative_states = AdministrativeStates()
        self.events: list[AdministrativeChange] = []
        self.clock = SimpleNamespace(now=lambda: self.now_ns)
        settings = api.Settings(
            classes=(api.RequestClass("glance", NS_PER_S, 5 * NS_PER_S, 1.0),),
            fleet_size=1,
            tick_ns=25_000_000,
            tenants=(api.Tenant("acme", 100.0),),
        )
        self.config = SimpleNamespace(settings=settings)
        target = SimpleNamespace(
            uid="e1",
            started_ns=5 * NS_PER_S,
            zone="a",
            state=EndpointState.READY,
            kind="",
            weight=4.0,
        )
        known = SimpleNamespace(number=7, target=target)
        self.extensions = DispatchExtensions()
        self.dispatcher = SimpleNamespace(
            extensions=self.extensions,
            add_observer=self.extensions.add_observer,
            health_checks=SimpleNamespace(start=lambda now_ns, endpoint: None),
            administrative_states=self.administrative_states,
            endpoint_table=SimpleNamespace(by_number={7: known}, by_uid={"e1": known}),
            pools=SimpleNamespace(turn=None),
            timer_wheel=SimpleNamespace(set_timer=self._at),
            refresh_settings=lambda: None,
            report_event=self.events.append,
            apply_administrative_state=self._take_word,
        )

    def _at(self, due_ns: int, callback: Callable[[], None]) -> None:
        self.timers.append((due_ns, callback))

    def _take_word(self, uid: str, state: AdministrativeState) -> None:
        self.administrative_states.record(uid, state)

    def log(self, kind: str, text: str) -> None:
        self.lines.append((kind, text))

    def run(self, seconds: float) -> None:
        """Let the timers fire that fall due within some seconds."""
        end_ns = self.now_ns + int(seconds * NS_PER_S)
        while due := [timer for timer in self.timers if timer[0] <= end_ns]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.now_ns, callback = first
            callback()
        self.now_ns = end_ns


class Answer(NamedTuple):
    """A decoded HTTP answer."""

    status: int
    content: Any
    allow: str


def decoded(answer: tuple[int, bytes, str, str] | None) -> Answer:
    assert answer is not None
    status, body, content_type, allow = answer
    assert content_type == "application/json"
    assert body.endswith(b"\n")
    return Answer(status, json.loads(body), allow)


@pytest.fixture
def node() -> FakeNode:
    return FakeNode()


@pytest.fixture
def quotas(node: FakeNode) -> QuotaService:
    """Return the service after it was elected leader and has a lease."""
    service = QuotaService(cast(Any, node), cast(Any, FakeMembership()), SETTINGS)
    node.run(7)
    for _ in range(8):
        for _ in range(50):
            request = cast(Any, SimpleNamespace(tenant="acme", estimate_ms=1.0))
            node.extensions.observers[0].request_arrived(request, node.now_ns)
        node.run(1)
    return service


@pytest.fixture
def consensus(node: FakeNode) -> OutlierConsensusService:
    return OutlierConsensusService(
        cast(Any, node), cast(Any, FakeMembership()), OutlierConsensusSettings()
    )


# --- limits ---


def test_limits_status_has_the_keys_that_operators_read(quotas: QuotaService) -> None:
    status, content, _ = decoded(quotas.handle_admin_call("GET", "/limits"))
    assert status == 200
    assert list(content) == ["me", "limits", "breaches", "figures"]
    assert content["me"] == OWN_ADDRESS
    assert list(content["figures"]) == [
        "asked",
        "granted",
        "refused",
        "homes_lost",
        "ended",
        "rows",
        "old_rows",
    ]
    hard, soft = content["limits"]
    common = ["name", "kind", "hard", "whole", "ours", "asked", "stale_s", "overshoot_promised"]
    hard_keys = ["floor", "held", "left_s", "want", "home", "floor_in_force", "lent"]
    assert list(hard) == [*common, *hard_keys]
    assert list(soft) == [*common, "age_s", "overshoot_seen"]


def test_only_broker_leases_all_but_the_guaranteed_part(quotas: QuotaService) -> None:
    content = decoded(quotas.handle_admin_call("GET", "/limits")).content
    limit = content["limits"][0]
    assert limit["home"] == OWN_ADDRESS
    assert limit["floor"] == 20.0
    assert limit["held"] == pytest.approx(80.0)
    assert limit["ours"] == pytest.approx(100.0)
    assert limit["lent"] == {OWN_ADDRESS: pytest.approx(80.0)}
    assert limit["floor_in_force"] is False


def test_lease_record_is_a_list_of_changes(quotas: QuotaService) -> None:
    content = decoded(quotas.handle_admin_call("GET", "/limits/record")).content
    at_ns, limit, amount_per_s, expires_at_ns = content[-1]
    assert limit == "acme"
    assert amount_per_s == pytest.approx(80.0)
    assert at_ns < expires_at_ns


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/limits", (405, "this call is a GET", "GET")),
        ("PUT", "/limits/record", (405, "this call is a GET", "GET")),
        ("GET", "/limits/recall/acme/x", (405, "this call is a POST", "POST")),
        ("POST", "/limits/recall/none/x", (404, "no such call, or no such limit", "")),
        ("POST", "/limits/recall/again/x", (404, "no such call, or no such limit", "")),
        ("POST", "/limits/lend/acme/x", (404, "no such call, or no such limit", "")),
        ("POST", "/limits/recall/acme/10.0.0.9:1", (404, "10.0.0.9:1 is no member", "")),
        (
            "POST",
            f"/limits/lend/acme/{OWN_ADDRESS}/much",
            (400, "'much' is no amount", ""),
        ),
    ],
    ids=[
        "status by POST",
        "record by PUT",
        "recall by GET",
        "unknown limit",
        "soft limit",
        "lend without amount",
        "no member",
        "no amount",
    ],
)
def test_unusable_limits_call_is_answered_with_its_reason(
    quotas: QuotaService, method: str, path: str, expected: tuple[int, str, str]
) -> None:
    status, content, allow = decoded(quotas.handle_admin_call(method, path))
    assert (status, content, allow) == (expected[0], {"error": expected[1]}, expected[2])


@pytest.mark.parametrize(
    ("call", "at_most"),
    [
        (f"/limits/recall/acme/{OWN_ADDRESS}", 0.0),
        (f"/limits/lend/acme/{OWN_ADDRESS}/12.5", 12.5),
        (f"/limits/lend/acme/{OWN_ADDRESS}/-3", 0.0),
    ],
    ids=["recall", "lend", "lend a negative amount"],
)
def test_cap_is_confirmed_and_limits_what_is_granted(
    quotas: QuotaService, node: FakeNode, call: str, at_most: float
) -> None:
    status, content, _ = decoded(quotas.handle_admin_call("POST", call))
    assert (status, content) == (
        200,
        {"limit": "acme", "holder": OWN_ADDRESS, "at_most": at_most},
    )
    node.run(2)
    assert quotas.leases.amount_per_s("acme", node.now_ns) <= at_most


def test_cap_is_rejected_by_a_broker_that_does_not_lead(quotas: QuotaService) -> None:
    quotas.leases.set_view(("10.0.0.9:7000/bb",), True)
    call = f"/limits/recall/acme/{OWN_ADDRESS}"
    status, content, _ = decoded(quotas.handle_admin_call("POST", call))
    assert status == 409
    assert content == {"error": "the home of acme is 10.0.0.9:7000: say it there"}


def test_post_without_an_action_is_left_to_the_connection(quotas: QuotaService) -> None:
    with pytest.raises(ValueError, match="not enough values"):
        quotas.handle_admin_call("POST", "/limits/")


def test_call_of_another_part_is_passed_on(
    quotas: QuotaService, consensus: OutlierConsensusService
) -> None:
    assert quotas.handle_admin_call("GET", "/verdicts") is None
    assert consensus.handle_admin_call("GET", "/limits") is None


def test_limit_metrics_keep_their_names_and_labels(quotas: QuotaService) -> None:
    lines = quotas.metrics().decode().splitlines()
    samples = [line.rpartition(" ")[0] for line in lines if not line.startswith("#")]
    gauges = ["ours", "asked", "held", "overshoot_promised", "overshoot_seen"]
    events = ["asked", "granted", "refused", "homes_lost", "ended", "breaches"]
    assert samples == [
        *(
            f'edge_proxy_limit_{gauge}{{limit="{limit}"}}'
            for gauge in gauges
            for limit in ("acme", "again")
        ),
        *(f'edge_proxy_limit_events_total{{event="{event}"}}' for event in events),
    ]
    assert "# HELP edge_proxy_limit_held What of it is leased." in lines
    assert "# TYPE edge_proxy_limit_events_total counter" in lines


def test_exceeded_soft_limit_is_counted_and_logged(quotas: QuotaService, node: FakeNode) -> None:
    quotas.counters.next_round(node.now_ns, {"again": 60.0}, (OWN_NAME,))
    node.run(1)
    assert quotas.tracker.breaches == 1
    expected = "again: 60.0 a second were let pass, 30.0 over; 0.0 are promised at the most"
    assert ("limits", expected) in node.lines


def test_fault_in_a_tick_is_logged_and_ticks_go_on(quotas: QuotaService, node: FakeNode) -> None:
    cast(Any, quotas.membership).views = None
    node.run(0.5)
    fault = "limits: AttributeError: 'NoneType' object has no attribute 'view'"
    assert node.lines == [("fault", fault), ("fault", fault)]


# --- outlier consensus ---


@pytest.mark.parametrize(
    ("call", "value"),
    [("pin", "pinned"), ("clear", "back"), ("out", "out")],
    ids=["pin", "clear", "out"],
)
def test_override_is_confirmed_shown_and_logged(
    consensus: OutlierConsensusService, node: FakeNode, call: str, value: str
) -> None:
    answer = decoded(consensus.handle_admin_call("POST", f"/verdicts/{call}/e1"))
    assert answer == (200, {"uid": "e1", "word": value, "version": 1}, "")
    status = decoded(consensus.handle_admin_call("GET", "/verdicts")).content
    assert status == {
        "verdicts": [],
        "words": [{"uid": "e1", "word": value, "version": 1, "by": OWN_ADDRESS}],
        "lost": [],
        "figures": {"verdicts": 0, "lifted": 0, "over_part": 0},
    }
    assert node.lines == [("operator", f"{value}: 'e1' for all brokers, version 1")]
    assert node.administrative_states.is_disabled("e1") is (value == "out")


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/verdicts", (405, "this call is a GET", "GET")),
        ("GET", "/verdicts/out/e1", (405, "this call is a POST", "POST")),
        ("POST", "/verdicts/burn/e1", (404, "no such call", "")),
        ("POST", "/verdicts/out/e1/more", (404, "no such call", "")),
        ("POST", "/verdicts/out/e9", (404, "no data engine has this id", "")),
    ],
    ids=["status by POST", "out by GET", "unknown action", "too long", "unknown endpoint"],
)
def test_unusable_verdicts_call_is_answered_with_its_reason(
    consensus: OutlierConsensusService, method: str, path: str, expected: tuple[int, str, str]
) -> None:
    status, content, allow = decoded(consensus.handle_admin_call(method, path))
    assert (status, content, allow) == (expected[0], {"error": expected[1]}, expected[2])


def test_own_switch_for_an_endpoint_becomes_an_override(
    consensus: OutlierConsensusService, node: FakeNode
) -> None:
    node.extensions.observers[0].endpoint_administered("e1", True)
    assert consensus.overrides.overrides["e1"].value == "out"


def test_consensus_metrics_keep_their_names_and_labels(
    consensus: OutlierConsensusService,
) -> None:
    assert consensus.metrics().decode().splitlines() == [
        "# HELP edge_proxy_verdicts Engines that shared verdicts hold out.",
        "# TYPE edge_proxy_verdicts gauge",
        "edge_proxy_verdicts 0",
        "# HELP edge_proxy_verdict_events_total Verdicts begun, lifted, or over the part.",
        "# TYPE edge_proxy_verdict_events_total counter",
        'edge_proxy_verdict_events_total{event="verdicts"} 0',
        'edge_proxy_verdict_events_total{event="lifted"} 0',
        'edge_proxy_verdict_events_total{event="over_part"} 0',
    ]


def test_ejection_and_readmission_are_logged_and_reach_the_decisions(node: FakeNode) -> None:
    settings = OutlierConsensusSettings(observers=1, failures=2, max_ejected_fraction=1.0)
    OutlierConsensusService(cast(Any, node), cast(Any, FakeMembership()), settings)
    for _ in range(2):
        node.extensions.observers[0].attempt_ended(7, AttemptResult.ERROR)
    node.run(20)
    assert node.lines == [
        ("verdicts", "e1: bad for all, by 1 observers, held out for 5 s at least"),
        ("verdicts", "e1: let in again"),
    ]
    assert [event.disabled for event in node.events] == [True, False]
    assert node.events[1].at_ns == 5 * NS_PER_S  # its start: no more warming up than it needs


# --- helpers ---


def test_batches_are_as_few_as_fit_and_leave_out_what_is_too_large() -> None:
    def encode(items: tuple[bytes, ...]) -> bytes:
        return b"".join(items)

    items = [b"a" * 600, b"b" * 400, b"c" * 1, b"d" * (MAX_BODY_BYTES + 1), b"e" * 2]
    bodies = list(message_bodies(items, encode))
    assert bodies == [b"a" * 600 + b"b" * 400, b"c", b"ee"]


def test_bucket_holds_the_tokens_of_one_second_at_most() -> None:
    bucket = TokenBucket(0)
    later_ns = 100 * NS_PER_S
    taken = [bucket.try_take(later_ns, 3.0) for _ in range(4)]
    assert taken == [True, True, True, False]


def test_bucket_tells_how_long_a_reserved_token_takes_to_come() -> None:
    bucket = TokenBucket(0)
    waits_ns = [bucket.reserve_ns(0, 2.0) for _ in range(3)]
    assert waits_ns == [0, NS_PER_S // 2, NS_PER_S]
