"""Fakes of the node and the membership for the services under test, without sockets."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple

from query_broker import decisions as api
from query_broker.decisions.facade import AdministrativeChange, EndpointState
from query_broker.dispatch.observers import DispatchExtensions
from query_broker.endpoints.administrative_state import AdministrativeState, AdministrativeStates
from query_broker.quotas.settings import NS_PER_S, LimitSettings, QuotaKind, QuotaSettings

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
    """A membership that sends nothing; its only member by default is this broker."""

    def __init__(self, *names: str) -> None:
        self.members = names or (OWN_NAME,)
        self.name = self.members[0]
        own_address = self.name.partition("/")[0]
        self.detector = SimpleNamespace(
            draw=random.Random(5), me=SimpleNamespace(address=own_address)
        )
        self.views = SimpleNamespace(view=SimpleNamespace(is_certain=True))

    def names(self) -> tuple[str, ...]:
        return self.members

    def subscribe(self, topic: str, receive: Callable[[int, str, bytes], None]) -> None:
        pass

    def send(self, topic: str, name: str, body: bytes) -> None:
        pass

    def flush(self) -> None:
        pass


class FakeNode:
    """A node and dispatcher whose clock and timers the test advances."""

    def __init__(self) -> None:
        self.now_ns = BEGIN_NS
        self.timers: list[tuple[int, Callable[[], None]]] = []
        self.log_lines: list[tuple[str, str]] = []
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
            timer_wheel=SimpleNamespace(set_timer=self._set_timer),
            refresh_settings=lambda: None,
            report_event=self.events.append,
            apply_administrative_state=self._apply_administrative_state,
        )

    def _set_timer(self, due_ns: int, callback: Callable[[], None]) -> None:
        self.timers.append((due_ns, callback))

    def _apply_administrative_state(self, uid: str, state: AdministrativeState) -> None:
        self.administrative_states.record(uid, state)

    def log(self, kind: str, text: str) -> None:
        self.log_lines.append((kind, text))

    def run(self, seconds: float) -> None:
        """Advance the clock by some seconds, and fire the timers that become due."""
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


def decode_answer(answer: tuple[int, bytes, str, str] | None) -> Answer:
    assert answer is not None
    status, body, content_type, allow = answer
    assert content_type == "application/json"
    assert body.endswith(b"\n")
    return Answer(status, json.loads(body), allow)
