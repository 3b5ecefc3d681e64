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
    base: dict[str, Any] = {
        "name": name,
        "latency_objective_ns": 500 * MS,
        "deadline_ns": 5 * S,
        "priority_weight": 1.0,
        "threads": 1,
    }
    return api.RequestClass(**{**base, **changes})


def make_settings(*classes: api.RequestClass, **changes: Any) -> api.Settings:
    base: dict[str, Any] = {
        "classes": classes or (query_class(),),
        "fleet_size": 1,
        "tick_ns": TICK,
        "zone": "a",
        "kind_cores": (("box", 4),),
        "contract": api.Contract(
            answer_slack_ns=20 * MS,
            drain_grace_ns=S,
            warmup_initial_capacity=0.3,
            warmup_ns=10 * S,
            overload_window_ns=2 * S,
            overload_multiple=2.0,
            key_cooldown_ns=300 * MS,
        ),
        "limits": api.Limits(cancellation=True, max_attempts=4, max_retry_after_ns=2 * S),
    }
    return api.Settings(**{**base, **changes})


def entry(engine: int, **changes: Any) -> api.EndpointEntry:
    base: dict[str, Any] = {
        "endpoint": engine,
        "state": api.EndpointState.READY,
        "zone": "a",
        "kind": "box",
    }
    return api.EndpointEntry(**{**base, **changes})


class Harness:
    """Drives one controller, fires its timers and remembers its actions with their times."""

    def __init__(self, settings: api.Settings, *entries: api.EndpointEntry, seed: int = 7) -> None:
        self.now = 100 * S
        self.controller = AdmissionController(settings, seed, self.now)
        self.log: list[tuple[int, api.Order]] = []
        self.timers: list[tuple[int, int]] = []
        self.sent: dict[str, list[api.Dispatch]] = {}
        self.do(api.EndpointListUpdate(api.ListUpdateKind.CACHED, entries))

    def do(self, event: api.Event) -> list[api.Order]:
        actions = self.controller.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, api.SetTimer):
                self.timers.append((action.due_ns, action.token))
            if isinstance(action, api.Dispatch):
                self.sent.setdefault(action.request_id, []).append(action)
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
    ) -> list[api.Order]:
        return self.do(api.RequestArrived(request, class_name, patience, **more))

    def end(
        self,
        request: str,
        result: api.AttemptResult,
        attempt: int | None = None,
        latency: int = 50 * MS,
        finished: bool | None = None,
        report: api.LoadReport | None = None,
    ) -> list[api.Order]:
        number = len(self.sent[request]) - 1 if attempt is None else attempt
        over = result is api.AttemptResult.SERVED if finished is None else finished
        return self.do(
            api.AttemptEnded(
                request, number, self.sent[request][number].endpoint, result, latency, over, report
            )
        )

    def sends(self, request: str) -> list[api.Dispatch]:
        return self.sent.get(request, [])

    def answers(self, request: str) -> list[api.Order]:
        return [
            a
            for _, a in self.log
            if isinstance(a, api.Reject | api.Fail) and a.request_id == request
        ]

    def backlog(self) -> int:
        return sum(engine.backlog_ns for engine in self.controller.endpoints.values())
