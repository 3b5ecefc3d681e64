"""Arbitrary legal event sequences against a ledger of what was sent. No engine is modelled."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker import decisions as api
from query_broker.config import parse_settings

from ..support import deployments
from ..support.helpers import MS, Harness, S, entry, make_settings, query_class

CLASSES = (
    query_class("short", deadline_ns=2 * S),
    query_class(
        "keyed",
        effect=api.Effect.IDEMPOTENCY_KEY,
        idempotency_window_ns=S,
        threads=2,
        ordered_by_key=True,
        is_load=True,
    ),
    query_class("unsafe", effect=api.Effect.NON_IDEMPOTENT, ordered_by_key=True),
    query_class("bound", allowed_kinds=("big",), threads=4, blocked_by_loads=True),
)
ENGINES = (1, 2, 3)


def own_settings() -> api.Settings:
    """Strict order, placement and a budget, with short times."""
    base = make_settings(*CLASSES)
    contract = dataclasses.replace(
        base.contract, retry_budget_window_ns=2 * S, retry_budget_free=2.0, retry_budget_ratio=0.2
    )
    return dataclasses.replace(base, contract=contract)


SETTINGS = {
    "own": own_settings(),
    **{name: parse_settings(facts) for name, facts in deployments.ALL.items()},
}
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 11), st.sampled_from("km"), st.integers(-1, 3000)),
    st.tuples(
        st.just("end"),
        st.integers(0, 50),
        st.sampled_from(list(api.AttemptResult)),
        st.integers(1, 3000),
    ),
    st.tuples(st.just("depart"), st.integers(0, 50)),
    st.tuples(
        st.just("list"),
        st.sampled_from(ENGINES),
        st.sampled_from(list(api.EndpointState)),
        st.booleans(),
    ),
    st.tuples(st.just("wait"), st.integers(1, 1500)),
)


class Ledger:
    """What a caller could see: who is open, what is out, and what the list said."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.kinds = {1: "big", 2: "box", 3: "box"}
        self.zones = {1: "east", 2: "east", 3: "north"}
        self.harness = Harness(self.settings, *(self.entry(e) for e in ENGINES))
        self.first_at: dict[str, int] = {}
        self.listed = dict.fromkeys(ENGINES, api.EndpointState.READY)
        self.cls: dict[str, api.RequestClass] = {}
        self.key: dict[str, str] = {}
        self.deadline: dict[str, int] = {}
        self.over: dict[str, int] = {}
        self.out: dict[tuple[str, int], int] = {}
        self.ran_from: dict[str, int] = {}
        self.rest_until: dict[str, int] = {}
        self.taken: list[int] = []
        self.retries: list[int] = []
        self.counts: dict[str, int] = {}
        self.arrived: dict[str, int] = {}
        self.clean: dict[str, bool] = {}
        self.seen = 0
        self.order: list[str] = []

    def entry(self, engine: int, **more: Any) -> api.EndpointEntry:
        return entry(engine, kind=self.kinds[engine], zone=self.zones[engine], **more)

    def check(self) -> None:
        for now, action in self.harness.log[self.seen :]:
            if isinstance(action, api.Dispatch):
                self.check_send(now, action)
            elif isinstance(action, api.Reject | api.Fail):
                self.check_answer(now, action)
        self.seen = len(self.harness.log)

    def check_send(self, now: int, send: api.Dispatch) -> None:
        name = send.request_id
        spec = self.cls[send.request_id]
        number = self.counts.get(name, 0)
        assert name not in self.over, "sent after its end"
        assert self.listed[send.endpoint] is api.EndpointState.READY, "sent to a draining engine"
        assert not spec.allowed_kinds or self.kinds[send.endpoint] in spec.allowed_kinds
        assert not spec.allowed_zones or self.zones[send.endpoint] in spec.allowed_zones
        copies = self.settings.limits.hedging and spec.effect is api.Effect.IDEMPOTENT
        assert sum(r == name for r, _ in self.out) <= copies, "too many attempts at once"
        assert number < self.settings.limits.max_attempts
        if spec.effect is api.Effect.NON_IDEMPOTENT:
            assert name not in self.ran_from, "unsafe work repeated"
        if spec.effect is api.Effect.IDEMPOTENCY_KEY and name in self.ran_from:
            assert now - self.ran_from[name] < spec.idempotency_window_ns
            if spec.idempotency_scope is api.IdempotencyScope.ZONE:
                assert self.zones[send.endpoint] == self.zones[self.first_at[name]]
        if spec.ordered_by_key:
            for other in self.order[: self.order.index(name)]:
                if self.key.get(other) == self.key[name] and self.cls[other].ordered_by_key:
                    assert other in self.over, "out of turn"
                    assert not any(r == other for r, _ in self.out), "out of turn"
            assert number > 0 or now >= self.rest_until.get(self.key[name], 0), "the key rests"
        if number > 0 and (window := (rules := self.settings.contract).retry_budget_window_ns):
            self.retries.append(now)
            recent = sum(t > now - window for t in self.taken)
            most = rules.retry_budget_free + rules.retry_budget_ratio * recent
            assert sum(t > now - window for t in self.retries) <= most
        self.out[(name, number)] = now
        self.counts[name] = number + 1
        if name not in self.ran_from:
            self.ran_from[name] = now
            self.first_at[name] = send.endpoint

    def check_answer(self, now: int, action: api.Reject | api.Fail) -> None:
        name = action.request_id
        assert name not in self.over, "answered twice"
        assert now <= max(self.deadline[name], self.arrived[name]), "answered too late"
        spec = self.cls[name]
        if isinstance(action, api.Reject) and (
            spec.effect is api.Effect.NON_IDEMPOTENT
            or (
                spec.effect is api.Effect.IDEMPOTENCY_KEY
                and spec.idempotency_scope is not api.IdempotencyScope.ALL
            )
        ):
            assert name not in self.ran_from, "refused although it may have run"
        self.over[name] = now

    def arrive(self, spec: api.RequestClass, key: str, patience: int) -> None:
        name = f"r{len(self.order)}"
        self.order.append(name)
        self.cls[name] = spec
        self.key[name] = key
        self.arrived[name] = self.harness.now
        self.deadline[name] = self.harness.now + patience * MS
        self.taken.append(self.harness.now)
        tenant = self.settings.tenants[0].name if self.settings.tenants else None
        self.harness.arrive(
            name, spec.name, patience * MS, key=key, estimate_ns=50 * MS, data_set=1, tenant=tenant
        )

    def end(self, index: int, result: api.AttemptResult, latency: int) -> None:
        if not self.out:
            return
        name, number = sorted(self.out)[index % len(self.out)]
        del self.out[(name, number)]
        if result in api.NEVER_EXECUTED and not any(r == name for r, _ in self.out):
            if self.clean.get(name, True):
                self.ran_from.pop(name, None)
        else:
            self.clean[name] = False
        if (
            result
            in (api.AttemptResult.TIMEOUT, api.AttemptResult.RESET, api.AttemptResult.CANCELLED)
            and self.cls[name].ordered_by_key
        ):
            self.rest_until[self.key[name]] = self.harness.now + self.settings.contract.key_rest_ns
        if result is api.AttemptResult.SERVED:
            self.over.setdefault(name, self.harness.now)
        self.harness.end(name, result, number, latency * MS, finished=name in self.over)


@pytest.mark.parametrize("name", SETTINGS)
@settings(derandomize=True, max_examples=250, deadline=None)
@given(steps=st.lists(STEP, max_size=60))
def test_rules_hold_on_arbitrary_days(name: str, steps: list[tuple[object, ...]]) -> None:
    ledger = Ledger(SETTINGS[name])
    classes = ledger.settings.classes
    for step in steps:
        match step:
            case ("arrive", int(which), str(key), int(patience)):
                ledger.arrive(classes[which % len(classes)], key, patience)
            case ("end", int(index), api.AttemptResult() as result, int(latency)):
                ledger.end(index, result, latency)
            case ("depart", int(index)):
                open_ones = [n for n in ledger.order if n not in ledger.over]
                if open_ones:
                    leaving = open_ones[index % len(open_ones)]
                    ledger.over[leaving] = ledger.harness.now
                    ledger.harness.do(api.RequestAbandoned(leaving))
            case ("list", int(engine), api.EndpointState() as state, bool(fresh)):
                ledger.listed[engine] = state
                update = ledger.entry(
                    engine, state=state, started_ns=ledger.harness.now if fresh else 0
                )
                ledger.harness.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (update,)))
            case ("wait", int(span)):
                ledger.harness.pass_time(span * MS)
        ledger.check()
    ledger.harness.pass_time(6 * S)
    ledger.check()
    assert set(ledger.order) == set(ledger.over), "a request without a final answer"
    for request, number in sorted(ledger.out):
        ledger.harness.end(request, api.AttemptResult.CANCELLED, number, finished=True)
    ledger.harness.pass_time(S)
    ledger.check()
    assert ledger.harness.backlog() == 0
