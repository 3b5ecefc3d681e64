"""The decision module in blocking style: `pick`, `report` and `tick` take what happened and return
orders.

The network code speaks in the words below and never sees the module's events and actions. Nothing
here decides anything: the facade translates, and keeps the module's timers on the wheel.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..timer_wheel import Wheel
from . import events as api_events
from . import orders as api_orders
from . import settings as api_settings
from .controller import AdmissionController
from .events import EngineEntry, EngineState, LoadReport, NoteKind, Outstanding, Result
from .settings import Effect, Settings

__all__ = [
    "Beside",
    "Closing",
    "Effect",
    "Ended",
    "EngineBan",
    "EngineEntry",
    "EngineNews",
    "EngineState",
    "Facade",
    "Left",
    "LoadReport",
    "News",
    "NoteKind",
    "Noted",
    "Orders",
    "Outstanding",
    "Probed",
    "Query",
    "Result",
    "Retuned",
    "SendOrder",
    "Settings",
    "Verdict",
]


@dataclass(frozen=True, slots=True)
class Query:
    """A client's request as the decisions see it. Times in nanoseconds."""

    id: str
    route: str
    patience: int
    customer: str | None
    estimate: int
    memory_mb: float
    data_set: int
    retry: bool


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt ended. ``over``: nothing more is owed to the client for this request."""

    request: str
    attempt: int
    engine: int
    result: Result
    latency: int
    over: bool
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    """An engine told of its load, or a probe of it failed."""

    engine: int
    result: Result
    latency: int
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Noted:
    """An attempt that is out is not over yet; ``value`` by kind: share done, megabytes missing, 1
    for memory or 2 for a load that it waits for.
    """

    request: str
    attempt: int
    engine: int
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class Left:
    """Nobody waits for this request any more."""

    request: str


@dataclass(frozen=True, slots=True)
class EngineNews:
    full: bool
    entries: tuple[EngineEntry, ...]


@dataclass(frozen=True, slots=True)
class EngineBan:
    """The operators have taken an engine out, or back, at this time."""

    engine: int
    out: bool
    at: int


@dataclass(frozen=True, slots=True)
class Beside:
    """What other processes of this broker have out, by engine; how many processes take requests,
    with us.
    """

    out: dict[int, Outstanding]
    taking: int


@dataclass(frozen=True, slots=True)
class Retuned:
    """Other settings are in force."""

    settings: api_settings.Settings


@dataclass(frozen=True, slots=True)
class Closing:
    """What is open must be closed out now, since the broker is about to end; or the named requests
    alone.
    """

    only: frozenset[str] | None = None


News = Ended | Noted | Probed | Left | EngineNews | EngineBan | Beside | Retuned | Closing


@dataclass(frozen=True, slots=True)
class SendOrder:
    request: str
    attempt: int
    engine: int
    timeout: int
    latest: int  # when its first byte must have left


@dataclass(frozen=True, slots=True)
class Verdict:
    """The final answer of a request that no engine served."""

    request: str
    refused: bool  # a retry is harmless
    pause: int  # nanoseconds the client is to stay away; 0: no advice


@dataclass(slots=True)
class Orders:
    """What the network is to do, each list in its order; terms come before the sends they are
    for.
    """

    # request, priority, megabytes
    terms: list[tuple[str, int, float]] = field(default_factory=list)
    sends: list[SendOrder] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)
    cancels: list[tuple[str, int]] = field(default_factory=list)
    probes: list[int] = field(default_factory=list)


class Facade:
    def __init__(self, settings: api_settings.Settings, seed: int, now: int, wheel: Wheel) -> None:
        self.controller = AdmissionController(settings, seed, now)
        self.wheel = wheel
        self.due: deque[int] = deque()  # timers of the module that the wheel has found due
        self.sends: dict[str, int] = {}  # attempts are numbered in the order of a request's sends

    def pick(self, now: int, query: Query) -> Orders:
        """A request has come: where it goes, or that it does not."""
        self.sends[query.id] = 0
        return self._handle(
            now,
            Orders(),
            api_events.Arrival(
                query.id,
                query.route,
                query.patience,
                query.customer,
                None,
                query.estimate,
                query.memory_mb,
                query.data_set,
                query.retry,
            ),
        )

    def report(self, now: int, news: News) -> Orders:
        """Something else happened."""
        orders = Orders()
        match news:
            case Ended(request, attempt, engine, result, latency, over, load):
                event: api_events.Event = api_events.AttemptOutcome(
                    request, attempt, engine, result, latency, over, load
                )
            case Noted(request, attempt, engine, kind, value):
                event = api_events.AttemptNote(request, attempt, engine, kind, value)
            case Probed(engine, result, latency, load):
                event = api_events.ProbeResult(engine, result, latency, load)
            case Left(request):
                event = api_events.Departure(request)
            case EngineNews(full, entries):
                event = api_events.ListNews(
                    api_events.ListKind.FULL if full else api_events.ListKind.CHANGES, entries
                )
            case EngineBan(engine, out, at):
                event = api_events.Ban(engine, out, at)
            case Beside(beside, taking):
                event = api_events.Beside(beside, taking)
            case Retuned(settings):
                event = api_events.Retuned(settings)
            case Closing(only):
                event = api_events.Closing(only)
        return self._handle(now, orders, event)

    def tick(self, now: int) -> Orders:
        """Hand over the first of the timers that are due. Danger: a fault in one must not cost the
        others, among them the ones that guarantee a final answer; so each is taken out first, and
        alone.
        """
        return self._handle(now, Orders(), api_events.TimerFired(self.due.popleft()))

    def forget(self, request: str) -> None:
        """The network holds nothing of this request any more."""
        self.sends.pop(request, None)

    def avoided(self) -> int:
        """How many listed engines the decisions leave out, by hand or by choice."""
        return self.controller.avoided()

    def outstanding(self, now: int) -> dict[int, Outstanding]:
        """What this process has out, for others of this broker."""
        return self.controller.outstanding(now)

    def shares(self) -> dict[int, tuple[float, float]]:
        """Of each engine: the threads, and the bound on work outstanding, that this process goes
        by.
        """
        return {number: (e.thread_share, e.bound) for number, e in self.controller.engines.items()}

    def widest(self) -> int:
        """Threads of the widest query."""
        return self.controller.widest

    def _fired(self, token: int) -> Callable[[], None]:
        return lambda: self.due.append(token)

    def _handle(self, now: int, orders: Orders, event: api_events.Event) -> Orders:
        for action in self.controller.handle(now, event):
            match action:
                case api_orders.SetTimer(at, token):
                    self.wheel.at(at, self._fired(token))
                case api_orders.Send(request, engine, timeout, latest):
                    number = self.sends.get(request, 0)
                    self.sends[request] = number + 1
                    orders.sends.append(SendOrder(request, number, engine, timeout, latest))
                case api_orders.Terms(request, priority, memory_mb):
                    orders.terms.append((request, priority, memory_mb))
                case api_orders.Refuse(request, retry_after):
                    orders.verdicts.append(Verdict(request, True, retry_after))
                case api_orders.Fail(request):
                    orders.verdicts.append(Verdict(request, False, 0))
                case api_orders.Cancel(request, attempt):
                    orders.cancels.append((request, attempt))
                case api_orders.Probe(engine):
                    orders.probes.append(engine)
        return orders
