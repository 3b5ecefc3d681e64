"""Pins every decision: a digest of all actions on recorded-by-seed streams of events.

Each stream is drawn from a seed of its own and played against one controller. The digests were
taken from the program at 6ccf8ce; a difference means that a decision, its figures or the order of
the random draws has changed.
"""

from __future__ import annotations

import dataclasses
import hashlib
import random
from typing import Any

import pytest

from query_broker import decisions as api
from query_broker.config import parse_settings
from query_broker.decisions.controller import AdmissionController

from ..support import deployments
from ..support.helpers import MS, S, entry, make_settings, query_class

STEPS = 1_500
ENGINES = 9

#: What each action is called in the digest; it outlives renames of the types.
TAGS: dict[type, str] = {
    api.Dispatch: "send",
    api.Reject: "refuse",
    api.Fail: "fail",
    api.CancelAttempt: "cancel",
    api.SetTimer: "timer",
    api.HealthCheck: "probe",
    api.DispatchOptions: "terms",
}


def own_settings(**changes: Any) -> api.Settings:
    """Every rule at once: order by key, placement, a retry budget, hedging, probes, tenants."""
    classes = (
        query_class("short", deadline_ns=2 * S),
        query_class(
            "keyed",
            effect=api.Effect.IDEMPOTENCY_KEY,
            idempotency_window_ns=S,
            threads=2,
            ordered_by_key=True,
        ),
        query_class(
            "zonal",
            effect=api.Effect.IDEMPOTENCY_KEY,
            idempotency_window_ns=2 * S,
            idempotency_scope=api.IdempotencyScope.ZONE,
        ),
        query_class(
            "unsafe",
            effect=api.Effect.NON_IDEMPOTENT,
            is_load=True,
            priority_weight=5.0,
            deadline_ns=8 * S,
        ),
        query_class(
            "bound", allowed_kinds=("big",), threads=4, blocked_by_loads=True, priority_weight=3.0
        ),
        query_class(
            "wide", threads=2, objective_stretch=1.5, deadline_ns=10 * S, priority_weight=0.3
        ),
    )
    base = make_settings(*classes)
    contract = dataclasses.replace(
        base.contract, retry_budget_window_ns=2 * S, retry_budget_free=20.0, retry_budget_ratio=0.3
    )
    limits = dataclasses.replace(base.limits, hedging=True)
    tenants = (api.Tenant("acme", 30.0), api.Tenant("other", 5.0))
    return dataclasses.replace(
        base,
        contract=contract,
        limits=limits,
        tenants=tenants,
        kind_cores=(("box", 4), ("big", 8)),
        cross_zone_price=0.02,
        memory_grants=True,
        priorities=True,
        **changes,
    )


SETTINGS = {
    "one gateway": own_settings(),
    "three gateways": own_settings(fleet_size=3, broker_index=1),
    "many gateways": own_settings(fleet_size=60, broker_index=17),
    "many gateways with probes": dataclasses.replace(
        own_settings(fleet_size=60, broker_index=40),
        limits=api.Limits(health_checks=True, hedging=True, max_attempts=3, max_retry_after_ns=S),
    ),
    **{name: parse_settings(facts) for name, facts in deployments.ALL.items()},
}


class Stream:
    """Plays a drawn stream of events against a controller and digests what it answers."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.draw = random.Random(seed)
        self.now = 100 * S
        self.controller = AdmissionController(settings, seed, self.now)
        self.digest = hashlib.blake2b(digest_size=8)
        self.timers: list[tuple[int, int]] = []
        self.open: dict[tuple[str, int], tuple[int, int]] = {}  # engine, time of the send
        self.sends: dict[str, int] = {}
        self.states = dict.fromkeys(range(1, ENGINES + 1), api.EndpointState.READY)
        self.started = dict.fromkeys(self.states, 0)
        self.actions = 0

    def engine_entry(self, engine: int) -> api.EndpointEntry:
        return entry(
            engine,
            state=self.states[engine],
            zone=("a", "east", "north")[engine % 3],
            kind=("box", "big", "")[engine % 3],
            cell=engine % 2,
            weight=4.0,
            started_ns=self.started[engine],
        )

    def play(self) -> str:
        self.handle(
            api.EndpointListUpdate(
                api.ListUpdateKind.CACHED, tuple(map(self.engine_entry, self.states))
            )
        )
        for number in range(STEPS):
            self.pass_time(self.draw.randrange(1, 40) * MS)
            self.step(number)
        self.handle(api.CloseRequests())
        figures = (
            self.controller.avoided(),
            sorted((n, tuple(o)) for n, o in self.controller.outstanding(self.now).items()),
            [(e.bound_ns, e.slowdown, e.thread_quota) for e in self.controller.endpoints.values()],
        )
        self.digest.update(repr(figures).encode())
        return f"{self.actions}:{self.digest.hexdigest()}"

    def handle(self, event: api.Event) -> None:
        for action in self.controller.handle(self.now, event):
            self.actions += 1
            names = [field.name for field in dataclasses.fields(action)]
            if isinstance(action, api.Dispatch):
                assert action.attempt == self.sends.get(action.request_id, 0)
                names.remove("attempt")  # it was counted by the caller when the digests were taken
            fields = [getattr(action, name) for name in names]
            self.digest.update(repr((self.now, TAGS[type(action)], fields)).encode())
            if isinstance(action, api.SetTimer):
                self.timers.append((action.due_ns, action.token))
            elif isinstance(action, api.Dispatch):
                number = self.sends.get(action.request_id, 0)
                self.sends[action.request_id] = number + 1
                self.open[action.request_id, number] = (action.endpoint, self.now)

    def pass_time(self, span: int) -> None:
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.handle(api.TimerFired(due[1]))
        self.now = end

    def step(self, number: int) -> None:
        choice = self.draw.random()
        if choice < 0.45:
            self.arrive(number)
        elif choice < 0.85:
            self.finish()
        elif choice < 0.91:
            self.change_engine()
        else:
            self.other_event()

    def arrive(self, number: int) -> None:
        spec = self.draw.choice(self.settings.classes)
        self.handle(
            api.RequestArrived(
                f"r{number}",
                spec.name,
                self.draw.choice((8 * MS, 300 * MS, spec.deadline_ns)),
                self.draw.choice((None, "acme", "other")),
                self.draw.choice("xyz"),
                self.draw.choice((None, MS, 40 * MS, 400 * MS, 2 * S)),
                self.draw.choice((None, 16.0, 900.0)),
                self.draw.choice((None, 3, 4)),
                self.draw.random() < 0.1,
            )
        )

    def report(self) -> api.LoadReport | None:
        if self.draw.random() < 0.5:
            return None
        busy, queue = self.draw.random() * 1.1, self.draw.random()
        return api.LoadReport(busy, queue * 0.2, 0.3, None, self.draw.choice((None, 3.0, 40.0)))

    def finish(self) -> None:
        if not self.open:
            return
        request, number = self.draw.choice(list(self.open))
        engine, sent = self.open.pop((request, number))
        chance = self.draw.random()
        result = (
            api.AttemptResult.SERVED if chance < 0.75 else self.draw.choice(list(api.AttemptResult))
        )
        over = result is api.AttemptResult.SERVED
        self.handle(
            api.AttemptEnded(request, number, engine, result, self.now - sent, over, self.report())
        )

    def change_engine(self) -> None:
        engine = self.draw.randrange(1, ENGINES + 1)
        self.states[engine] = self.draw.choice((api.EndpointState.READY, *api.EndpointState))
        if self.states[engine] is api.EndpointState.READY and self.draw.random() < 0.5:
            self.started[engine] = self.now - self.draw.randrange(3) * S
        if self.draw.random() < 0.2:
            kept = [n for n in self.states if self.states[n] is not api.EndpointState.REMOVED]
            news = api.EndpointListUpdate(
                api.ListUpdateKind.FULL, tuple(map(self.engine_entry, kept))
            )
        else:
            news = api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (self.engine_entry(engine),))
        self.handle(news)

    def other_event(self) -> None:
        engine = self.draw.randrange(1, ENGINES + 1)
        choice = self.draw.randrange(6)
        if choice == 0:
            result = self.draw.choice((api.AttemptResult.SERVED, api.AttemptResult.TIMEOUT))
            self.handle(api.HealthCheckResult(engine, result, 3 * MS, self.report()))
        elif choice == 1:
            self.handle(api.AdministrativeChange(engine, self.draw.random() < 0.3, self.now))
        elif choice == 2:
            out = api.OutstandingWork(self.draw.randrange(4), self.draw.randrange(S), 0)
            self.handle(api.CoProcessLoad({engine: out}, self.draw.choice((1, 1, 2))))
        elif choice == 3 and self.open:
            self.handle(api.RequestAbandoned(self.draw.choice(list(self.open))[0]))
        elif choice == 4 and self.open:
            request, number = self.draw.choice(list(self.open))
            kind = self.draw.choice(list(api.ProgressKind))
            self.handle(
                api.AttemptProgress(request, number, self.open[request, number][0], kind, 1.0)
            )
        else:
            quotas = tuple(
                dataclasses.replace(t, quota_per_s=t.quota_per_s + 1.0)
                for t in self.settings.tenants
            )
            self.settings = dataclasses.replace(self.settings, tenants=quotas)
            self.handle(api.SettingsChanged(self.settings))


DIGESTS: dict[tuple[str, int], str] = {
    ("one gateway", 1): "2235:462590be74f1ecf2",
    ("one gateway", 2): "2055:dc8e282e5982cce1",
    ("one gateway", 3): "2118:2943d926822cc94a",
    ("three gateways", 1): "2037:04c8fcf4bfafaccb",
    ("three gateways", 2): "1658:d033bfe6096e1503",
    ("three gateways", 3): "1846:9cdc608effeeca79",
    ("many gateways", 1): "1363:820de0a224b68271",
    ("many gateways", 2): "1271:312e4e502166a6f9",
    ("many gateways", 3): "1234:42c664abd8717d43",
    ("many gateways with probes", 1): "1145:e2e69a6d67ee693d",
    ("many gateways with probes", 2): "960:9f5b59f245807f55",
    ("many gateways with probes", 3): "1329:f9e5d9ede126b87a",
    ("counters", 1): "1763:c848dd55825c17ca",
    ("counters", 2): "1645:7f884ebd9c98677f",
    ("counters", 3): "1872:15f00974687315eb",
    ("warehouse", 1): "2235:00d111690ca0756c",
    ("warehouse", 2): "2071:ee5b152ba3faa7dc",
    ("warehouse", 3): "2269:c73b0e3346f5314d",
    ("bound", 1): "1972:061e4844021d6947",
    ("bound", 2): "1531:f5811eb524687457",
    ("bound", 3): "1832:6ace76ba0946ecdc",
}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("name", list(SETTINGS))
def test_decisions_are_those_of_the_recorded_program(name: str, seed: int) -> None:
    assert Stream(SETTINGS[name], seed).play() == DIGESTS[name, seed]
