"""Small settings and a harness that keeps a ledger of what a controller did. It models no
engine.
"""

from __future__ import annotations

from typing import Any

from query_broker import decisions as api
from query_broker.decisions.controller import AdmissionController

MS = 1_000_000
S = 1_000 * MS
TICK = 5 * MS


def query_class(name: str = "short", **changes: Any) -> api.RequestClass:
    base: dict[str, Any] = dict(name=name, aim=500 * MS, deadline=5 * S, worth=1.0, threads=1)
    return api.RequestClass(**{**base, **changes})


def make_settings(*classes: api.RequestClass, **changes: Any) -> api.Settings:
    base: dict[str, Any] = dict(
        classes=classes or (query_class(),),
        fleet_size=1,
        tick=TICK,
        zone="a",
        kind_cores=(("box", 4),),
        contract=api.Contract(
            answer_slack=20 * MS,
            drain_grace=S,
            cold_from=0.3,
            cold=10 * S,
            fall=2 * S,
            fall_multiple=2.0,
            order_settle=300 * MS,
        ),
        limits=api.Limits(cancel=True, max_attempts=4, max_retry_after=2 * S),
    )
    return api.Settings(**{**base, **changes})


def entry(engine: int, **changes: Any) -> api.EngineEntry:
    base: dict[str, Any] = dict(engine=engine, state=api.EngineState.READY, zone="a", kind="box")
    return api.EngineEntry(**{**base, **changes})


class Harness:
    """Drives one controller, fires its timers and remembers its actions with their times."""

    def __init__(self, settings: api.Settings, *entries: api.EngineEntry, seed: int = 7) -> None:
        self.now = 100 * S
        self.controller = AdmissionController(settings, seed, self.now)
        self.log: list[tuple[int, api.Action]] = []
        self.timers: list[tuple[int, int]] = []
        self.sent: dict[str, list[api.Send]] = {}
        self.do(api.ListNews(api.ListKind.CACHED, entries))

    def do(self, event: api.Event) -> list[api.Action]:
        actions = self.controller.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at, action.token))
            if isinstance(action, api.Send):
                self.sent.setdefault(action.request, []).append(action)
        return actions

    def pass_time(self, span: int) -> None:
        """Let time go by and fire what falls due, in order and not before its tick."""
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.do(api.TimerFired(due[1]))
        self.now = end

    def arrive(
        self, request: str, class_name: str = "short", patience: int = 5 * S, **more: Any
    ) -> list[api.Action]:
        return self.do(api.Arrival(request, class_name, patience, **more))

    def end(
        self,
        request: str,
        result: api.Result,
        attempt: int | None = None,
        latency: int = 50 * MS,
        finished: bool | None = None,
        report: api.LoadReport | None = None,
    ) -> list[api.Action]:
        number = len(self.sent[request]) - 1 if attempt is None else attempt
        over = result is api.Result.SERVED if finished is None else finished
        return self.do(
            api.AttemptOutcome(
                request, number, self.sent[request][number].engine, result, latency, over, report
            )
        )

    def sends(self, request: str) -> list[api.Send]:
        return self.sent.get(request, [])

    def answers(self, request: str) -> list[api.Action]:
        return [
            a for _, a in self.log if isinstance(a, api.Refuse | api.Fail) and a.request == request
        ]

    def backlog(self) -> int:
        return sum(engine.backlog for engine in self.controller.engines.values())
