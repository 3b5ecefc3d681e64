"""The middle: from a client's request through the decisions to an engine, and back.

It knows no client protocol. Whatever speaks with clients turns a request into an `Ask`, submits it
and is told the one final answer through `served`, `refused` or `failed`. It decides nothing either:
it carries out the facade's orders and reports what became of them.
"""

from __future__ import annotations

import asyncio
import math
import re
import traceback
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from ..config.reading import Config
from ..deadlines.cancel_scopes import Act, Kind, Outcome, Scope
from ..deadlines.handover_checks import Hand, Passing, Stop, Tally, stop
from ..deadlines.retry_budget import Budget, attempt_time
from ..deadlines.settings import Deadlines, Stage
from ..decisions.facade import (
    Arrival,
    AttemptNote,
    AttemptOutcome,
    Ban,
    Beside,
    Cancel,
    Closing,
    Departure,
    Effect,
    EngineState,
    Event,
    Facade,
    ListKind,
    ListNews,
    LoadReport,
    NoteKind,
    Orders,
    ProbeResult,
    Refuse,
    Result,
    Retuned,
    Send,
    Settings,
    Terms,
)
from ..discovery.event_codec import BusEvent
from ..endpoints.administrative_state import Bans, Word
from ..endpoints.connection_pools import Pools
from ..endpoints.endpoint_table import EngineTable
from ..metrics import ERROR, OVERLOAD, STATUSES, SUCCESS, Figures
from ..protocols import resp
from ..protocols.engine_connection import EngineConnection
from ..timer_wheel import Clock, Wheel
from .requests import Attempt, Carrier, Client, OpenRequest

if TYPE_CHECKING:
    from ..deadlines.stage_latencies import Stages

MS = 1_000_000
MOST_PATIENCE_MS = 3_600_000.0
MOST_ESTIMATE = 1e7  # milliseconds, megabytes
WAY_BACK = 10 * MS  # of a request's patience, for its way here and the answer's way back
UNDO_WAY = 10 * MS  # the same for an `undo`, before what follows it may leave
BASE_MB = 24  # what the process takes with nothing in hand, and some room
LEAST_ROOM = 2 << 20  # bytes
HELD_PAUSE_MS = 1_000
OWN_WORTH = 0.01  # of a request: about one connection in a hundred ends with what else is on it
LEAST_ENGINES = 4  # connections to engines, whatever the limit
# descriptors for the listener, the bus, the log and some in hand: an eighth, within
RESERVED = (24, 96)
# ns after which it is of no more use that an engine was called back
BACK_FOR_GOOD = 600_000_000_000
NOTE_GAP = 100 * MS  # between two notes of one kind on an attempt; engines tell one a second
LAST_LOOK = 3  # ticks before an attempt's end in which what has not left is taken back
AHEAD = {
    Hand.POOL: (Stage.CONNECT, Stage.WRITE, Stage.ENGINE),
    Hand.CONNECTION: (Stage.WRITE, Stage.ENGINE),
    Hand.SOCKET: (Stage.ENGINE,),
}  # the stages that still lie before a request at each gate
MOST_CALLERS = 12  # operators' calls at once; their descriptors are kept for them
METER = {
    "busy": "utilisation",
    "util": "utilisation",
    "q": "queue",
    "queue": "queue",
    "x0": "memory",
    "x1": "disk",
    "rif": "inflight",
    "inflight": "inflight",
}


NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")


class Unusable(Exception):
    """A request that cannot be used, although its frame can be read: one failed answer."""


def keyed(settings: Settings) -> frozenset[str]:
    """The classes whose requests carry an idempotency key."""
    return frozenset(c.name for c in settings.classes if c.effect is Effect.KEYED)


def read_number(text: str, name: str) -> float:
    """Danger: `float` alone also takes signs, NaN, infinity, underscores and the digits of other
    scripts.
    """
    if NUMBER.fullmatch(text) is None:
        raise Unusable(f"{name}: {text[:40]!r} is no number from 0 up")
    return float(text)


@dataclass(frozen=True, slots=True)
class Ask:
    """A request in no protocol's words."""

    route: str
    trace: str
    customer: str | None
    patience_ms: float
    weight_ms: float
    ram_mb: float
    retry: bool
    data_set: int
    statement: bytes
    nonce: str | None = None  # the client's idempotency key


class Broker:
    def __init__(self, config: Config, clock: Clock, log: Callable[[str, str], None]) -> None:
        self.config, self.clock, self.log = config, clock, log
        now = clock.now()
        settings = config.settings
        self.wheel = Wheel(settings.tick, now)
        self.facade = self._decisions(now)
        self.deadlines = {c.name: c.deadline for c in settings.classes}
        self.keyed = keyed(settings)
        self.customers = {t.name for t in settings.tenants}
        self.engines = EngineTable()
        self.bans = Bans()
        self.figures = Figures(self.deadlines)
        # requests taken that have no final answer and whose client has not left
        self.concurrent = 0
        self.pools = self._connections()
        self.pools.own = settings.handshake_price <= OWN_WORTH
        self.divide(1, 0)
        self.requests: dict[str, OpenRequest] = {}
        self.ids: dict[bytes, list[OpenRequest]] = {}  # the open requests again, by the client's id
        self.probing: dict[bytes, tuple[int, int]] = {}
        self.blocked: dict[EngineConnection, None] = {}  # their sockets took no more
        self.going: list[tuple[Client, str, int]] = []  # not gone yet, where stages are told
        self.closing = False  # nothing more is sent
        self.tally = Tally()
        self.terms = Deadlines()
        # where operators want to see, or to learn from, each stage
        self.stages: Stages | None = None
        self.budget: Budget | None = None  # for further attempts, where operators set one
        self.story: Callable[[OpenRequest, str], None] | None = None
        self.more_figures: list[Callable[[], bytes]] = []  # of what operators have switched on
        # what the module goes by, beside the files
        self.adjust: list[Callable[[Settings], Settings]] = []
        self.witness: list[Callable[[int, Result], None]] = []  # hear what becomes of probes
        self.said: Callable[[str, bool], None] | None = None  # hears operators' words on engines
        self.outcome: Callable[[int, Result], None] | None = None  # hears what becomes of attempts
        # sees each request before it is decided on
        self.arriving: Callable[[Ask, int], None] | None = None
        self.stay_away: Callable[[int], int] | None = None  # widens the pause of a refusal
        self.margin = WAY_BACK
        self.later: list[tuple[Attempt, Result]] = []
        self.count = 0
        self.held = 0

    # What a broker with rooms of its own for parts of its traffic makes otherwise:
    # `query_broker.cells`.

    def _decisions(self, now: int) -> Facade:
        return Facade(self.config.settings, self.config.seed, now, self.wheel)

    def _connections(self) -> Pools:
        config = self.config
        return Pools(
            self,
            self.log,
            streams=config.streams,
            connect_timeout=config.connect_timeout,
            conn_idle=config.conn_idle,
            unsent=self._unsent,
            may_go=self._may_go,
        )

    def _has_room(self, request: OpenRequest) -> bool:
        """For one more statement. Danger: a flood of large ones ends the process for memory, and
        all that it had taken.
        """
        return self.held + len(request.statement) <= self.room

    def divide(self, processes: int, clients: int) -> None:
        """What this process may hold, beside others of this broker that hold so many clients.

        Engines get three eighths of the descriptors, since most attempts have a connection of their
        own. Danger: many clients ask once and stay a while; a third at the least, and all the rest,
        is theirs.
        """
        sockets = self.config.sockets
        reserved = min(RESERVED[1], max(RESERVED[0], sockets // 8))
        # Danger: floods of clients must not keep the operators' calls out.
        reserved += MOST_CALLERS + 1 if self.config.operator is not None else 0
        reserved *= processes
        beside = sockets - sockets // 3 - reserved
        most = max(LEAST_ENGINES, min(sockets * 3 // 8, beside))
        every = sockets - most - reserved
        self.most_clients = max(sockets // 3 // processes, every - clients)
        self.pools.limit(max(LEAST_ENGINES, most // processes))
        # Danger: past its memory the process is killed, with all that it had taken. A quarter each
        # of what is left goes to statements of open requests, frames that are half here, and
        # answers nobody reads.
        self.room = max(LEAST_ROOM, (self.config.memory_mb // processes - BASE_MB << 20) // 4)

    def now(self) -> int:
        return self.clock.now()

    def retune(self, read: Config) -> None:
        """Other settings, in one step: for all requests that come from now on."""
        now = self.now()
        # the wheel turns by the one of the start
        settings = replace(read.settings, tick=self.config.tick)
        self._carry_out(now, self.facade.report(now, Retuned(self._adjusted(settings))))
        self.config = replace(
            self.config,
            settings=settings,
            told=read.told,
            streams=read.streams,
            connect_timeout=read.connect_timeout,
            conn_idle=read.conn_idle,
        )
        self.deadlines = {c.name: c.deadline for c in read.settings.classes}
        self.keyed = keyed(read.settings)
        self.customers = {t.name for t in read.settings.tenants}
        self.figures.learn(self.deadlines)
        self.pools.retune(read.streams, read.connect_timeout, read.conn_idle)
        self.pools.own = settings.handshake_price <= OWN_WORTH

    def _adjusted(self, settings: Settings) -> Settings:
        for change in self.adjust:
            settings = change(settings)
        return settings

    def tell(self, news: Event) -> None:
        """What others than the engines and clients of this broker have found out."""
        self._report(news)

    def probe(self, engine: int) -> None:
        self._probe(self.now(), engine)

    def readjust(self) -> None:
        """What `adjust` says has changed."""
        self._report(Retuned(self._adjusted(self.config.settings)))

    # --- clients ---

    def submit(self, client: Client, stream: int, ask: Ask, came: int = 0) -> OpenRequest:
        """Take a request; ``came``: when its first byte was read. Danger: nothing malformed may
        reach an engine or the decisions.
        """
        try:
            self._check(ask)
        except Unusable:
            self.figures.answered(ask.route, ERROR)
            raise
        return self._take(client, stream, ask, came)

    def _check(self, ask: Ask) -> None:
        if ask.route not in self.deadlines:
            raise Unusable(f"route: {ask.route[:40]!r} is no class of the settings")
        if not 1 <= ask.patience_ms <= MOST_PATIENCE_MS:
            raise Unusable(f"patience: must be 1 to {MOST_PATIENCE_MS:.0f} ms")
        if max(ask.weight_ms, ask.ram_mb) > MOST_ESTIMATE:
            raise Unusable("weight or ram: is out of range")
        if self.customers and ask.customer not in self.customers:
            raise Unusable(f"customer: {(ask.customer or '')[:40]!r} is none of the settings")
        if ask.nonce is None and ask.route in self.keyed:
            # Danger: without its key no engine knows a repeat of it, and it would run twice.
            raise Unusable("nonce: is missing")
        if ask.nonce is not None and (not ask.nonce or "," in ask.nonce):
            # Danger: an engine would read the rest of it as a field of its own.
            raise Unusable("nonce: is empty or holds a comma: no engine can be told it")
        for other in self.ids.get(ask.trace.encode(), ()):
            if (other.route, other.statement, other.nonce) != (
                ask.route.encode(),
                ask.statement,
                ask.nonce,
            ):
                # Danger: the engine takes it for the open one, and answers one of them with the
                # other's rows.
                raise Unusable("trace: is open with another statement or nonce")

    def _take(self, client: Client, stream: int, ask: Ask, came: int = 0) -> OpenRequest:
        trace, now = ask.trace.encode(), self.now()
        # Danger: books kept for an hour, since a client says that it waits so long: its class ends
        # sooner.
        patience = min(int(ask.patience_ms * MS), self.deadlines[ask.route])
        patience -= min(self.margin, patience // 4)
        if came and self.terms.count_from == "first":
            patience = max(1, patience - (now - came))
        if self.arriving is not None:
            self.arriving(ask, now)
        self.count += 1
        request = OpenRequest(
            str(self.count),
            trace,
            ask.route.encode(),
            ask.statement,
            client,
            stream,
            now + patience,
            ask.customer or "",
            came or now,
            now,
            nonce=ask.nonce,
        )
        self.concurrent += 1
        if not self._has_room(request):
            self.log("client", "no room for another statement: refused")
            self._answering(request, OVERLOAD).refused(stream, HELD_PAUSE_MS)
            return request
        self.held += len(ask.statement)
        self.requests[request.id] = request
        self.ids.setdefault(trace, []).append(request)
        query = Arrival(
            request.id,
            ask.route,
            patience,
            ask.customer or None,
            None,
            int(ask.weight_ms * MS),
            ask.ram_mb,
            ask.data_set,
            ask.retry,
        )
        try:
            orders = self.facade.pick(now, query)
        except Exception:
            # Danger: a fault in the decisions must cost this request alone, and even that gets its
            # answer.
            self.log("fault", traceback.format_exc())
            self._answering(request, ERROR).failed(stream, "internal error")
            self._close_out(request)
            return request
        self._carry_out(now, orders)
        return request

    def leave(self, request: OpenRequest) -> None:
        """Nobody waits for this request any more; no answer is owed."""
        if request.client is not None:
            request.client, request.left = None, True
            self.concurrent -= 1
            if self.story is not None:
                self.story(request, "left")
            self._report(Departure(request.id))
            self._end_scope(request)
            self._close_out(request)

    def _answering(self, request: OpenRequest, status: int) -> Client:
        """The client that gets its final answer now. Danger: a request that is counted anywhere
        else is counted twice, or never: every answer passes here.
        """
        client, request.client = request.client, None
        assert client is not None, "a second answer"
        self.concurrent -= 1
        self.figures.answered(request.route.decode(), status)
        if self.story is not None:
            self.story(request, STATUSES[status])
        return client

    # --- operators ---

    def set_engine(self, uid: str, out: bool) -> bool:
        """Leave an engine out, or use it again; False if none has this uid."""
        # Danger: it restarts while it is out, so that the list may not name it when it is called
        # back.
        if uid not in self.engines.by_uid and not self.bans.out(uid):
            return False
        if out != self.bans.out(uid):
            self.take_word(uid, Word(self.now(), out))
        if self.said is not None:
            self.said(uid, out)
        return True

    def take_word(self, uid: str, word: Word) -> None:
        """The operators' word on an engine, said to us or to a process beside us."""
        if not self.bans.say(uid, word):
            return
        self.bans.forget(self.now() - BACK_FOR_GOOD)
        number = self.engines.number(uid)
        self._report(Ban(number, word.out, word.at))
        if (pool := self.pools.get(number)) is not None:
            # Danger: what still waits for a connection would leave after the yes; it has not run.
            pool.take_back() if word.out else pool.renew()

    def metrics(self) -> bytes:
        text = self.figures.text(self.concurrent, len(self.engines.by_uid), self.facade.avoided())
        text += b"".join(more() for more in self.more_figures)
        return text if self.stages is None else text + self.deadline_figures()

    def deadline_figures(self) -> bytes:
        from ..deadlines.metrics import text

        assert self.stages is not None
        return text(self.tally, self.stages, self.margin, self.budget)

    def beside(self, others: Beside) -> None:
        """What the other processes of this broker have out counts with ours."""
        self._report(others)

    # --- time and news ---

    def tick(self) -> None:
        now = self.now()
        self.wheel.advance(now)
        while self.facade.due:
            try:
                self._carry_out(now, self.facade.tick(now))
            except Exception:
                self.log("fault", traceback.format_exc())
        if self.going:
            self._look_at_answers()
        if self.blocked:
            blocked, self.blocked = self.blocked, {}
            for connection in blocked:
                connection.flush()
        self._end_later()
        if self.going or self.blocked:
            self.wheel.soon()

    def _end_soon(self, attempt: Attempt, result: Result) -> None:
        """With the next tick."""
        self.later.append((attempt, result))
        self.wheel.soon()

    def _rest(self, attempt: Attempt) -> None:
        """Danger: its `undo`, or the end of its connection, and the attempt that follows go two
        ways, and nothing orders them: what leaves next may be there first.
        """
        if not self.config.settings.limits.second_copies:
            attempt.quiet_until = self.now() + UNDO_WAY

    def _end_later(self) -> None:
        now = self.now()
        stay: list[tuple[Attempt, Result]] = []
        while self.later:  # an end may order what ends at once
            later, self.later = self.later, []
            for attempt, result in later:
                by = attempt.connection
                if by is not None and attempt.request.trace in by.undo_waits:
                    self._rest(attempt)
                # Danger: the next attempt may leave with the report, and two would be out at once.
                held = attempt.quiet_until > now
                stay.append((attempt, result)) if held else self._end(attempt, result, None)
        self.later = stay
        if stay:
            self.wheel.soon()

    def news(self, event: BusEvent) -> None:
        entries = self.engines.learn(event)
        for entry in entries:
            self.pools.learn(entry.engine, self.engines.by_number[entry.engine].target)
        if event.full:
            for known in self.engines.by_number.values():
                self.pools.learn(known.number, known.target)
        self._report(ListNews(ListKind.FULL if event.full else ListKind.CHANGES, entries))
        self.engines.let_go()

    def close_out_all(self) -> None:
        """The process is about to end: what is open gets the answer that the rules allow."""
        self.closing = True
        self._take_back_unsent(self.requests.values())
        self._report(Closing())

    def give_up(self, requests: Sequence[OpenRequest]) -> None:
        """The same for these alone: their client can't be read any more."""
        if requests:
            for request in requests:
                request.given_up = True
            self._take_back_unsent(requests)
            self._report(Closing(frozenset(request.id for request in requests)))

    def _take_back_unsent(self, requests: Iterable[OpenRequest]) -> None:
        """Danger: what has not left would be answered as if it may have run: it is taken back
        before its answer, and goes nowhere else.
        """
        for attempt in [a for r in requests for a in r.attempts.values()]:
            connection = attempt.connection
            if not attempt.written and (connection is None or connection.take_back(attempt)):
                self._end(attempt, Result.NOT_SENT, None)
        self._end_later()

    # --- orders ---

    def _report(self, news: Event) -> None:
        now = self.now()
        try:
            self._carry_out(now, self.facade.report(now, news))
        except Exception:
            self.log("fault", traceback.format_exc())

    def _carry_out(self, now: int, orders: Orders) -> None:
        for options in orders.options:
            self._set_terms(options)
        for send in orders.dispatches:
            self._send(now, send)
        for answer in orders.answers:
            request = self.requests.get(answer.request)
            if request is None or request.client is None:
                continue
            if isinstance(answer, Refuse):
                pause = answer.retry_after
                if self.stay_away is not None:
                    pause = self.stay_away(pause)
                self._answering(request, OVERLOAD).refused(request.stream, -(-pause // MS))
            else:
                self._answering(request, ERROR).failed(request.stream, "")
            self._end_scope(request)
            self._close_out(request)
        for cancellation in orders.cancellations:
            self._cancel(cancellation)
        for check in orders.health_checks:
            self._probe(now, check.engine)

    def _set_terms(self, options: Terms) -> None:
        if (request := self.requests.get(options.request)) is None:
            return
        changed = request.level is not None and request.level != options.priority
        request.level = options.priority
        request.reserve = math.ceil(options.memory_mb)
        for attempt in request.attempts.values() if changed else ():
            if attempt.connection is not None:
                attempt.connection.bump(attempt, options.priority)

    def _send(self, now: int, order: Send) -> None:
        request = self.requests.get(order.request)
        if request is None:
            return
        attempt = Attempt(
            request, order.attempt, order.engine, now, now + order.timeout, order.latest
        )
        request.attempts[attempt.number] = attempt
        if self.closing or request.given_up or request.unheard:
            self._end_soon(attempt, Result.NOT_SENT)
            return
        if self.budget is not None and not self._in_budget(self.budget, request, attempt):
            self.tally.stopped[Hand.POOL, Stop.BUDGET] += 1
            self._end_soon(attempt, Result.NOT_SENT)
            return
        attempt.timer = self.wheel.at(
            attempt.until - LAST_LOOK * self.wheel.tick, partial(self._last_look, attempt)
        )
        if (pool := self.pools.get(order.engine)) is not None:
            pool.send(attempt, now)
        # reported with the next tick: an order's failure must not come before the order is done
        else:
            self._end_soon(attempt, Result.CONNECT_FAILED)

    def _in_budget(self, budget: Budget, request: OpenRequest, attempt: Attempt) -> bool:
        """A further attempt is paid for; a first one may be cut short where it can be made
        again.
        """
        route = request.route.decode()
        spec = next((c for c in self.config.settings.classes if c.name == route), None)
        safe = spec is not None and spec.effect is Effect.SAFE
        attempt.until = attempt.sent + attempt_time(
            attempt.until - attempt.sent, attempt.number, safe, budget.terms
        )
        if attempt.number:
            attempt.paid = budget.further(route, request.customer)
            return attempt.paid
        budget.first(route, request.customer)
        return True

    # --- gates and scopes: what is not wanted any more goes no further ---

    def _may_go(self, attempt: Attempt, hand: Hand) -> bool:
        """The gate at a hand-over. What it stops is reported as never sent, with the next tick.
        Danger: one that was taken back while it waited, its report still to follow, would run
        beside the next one.
        """
        if attempt.reported or attempt.ended:
            return False
        now = self.now()
        known = self.engines.by_number.get(attempt.engine)
        drained = known is None or known.target.state is not EngineState.READY
        why = stop(
            now,
            Passing(
                attempt.request.client is not None and not attempt.request.unheard,
                min(attempt.until, attempt.request.deadline, attempt.latest),
                0
                if self.stages is None
                else self.stages.fastest(attempt.request.route.decode(), now, *AHEAD[hand]),
                known is not None and bool(self.bans.words) and self.bans.out(known.target.uid),
                now if drained else 0,
            ),
        )
        if why is None:
            return True
        self.tally.stopped[hand, why] += 1
        self._unsent_later(attempt)
        return False

    def may_go(self, attempt: Attempt) -> bool:
        return self._may_go(attempt, Hand.SOCKET)

    def _unsent_later(self, attempt: Attempt) -> None:
        if attempt.connection is not None:
            attempt.connection.open.pop(attempt.request.trace, None)
        self._end_soon(attempt, Result.NOT_SENT)

    def _end_scope(self, request: OpenRequest) -> None:
        """Nobody waits for the request any more: nothing unsent of it leaves, what is out is undone
        where engines honour that, and no more pages are asked for.
        """
        if request.attempts:
            for act, scope in request.scope().end(self.config.settings.limits.cancel):
                if isinstance(scope.name, Attempt):
                    self._act(act, scope.name)

    def _act(self, act: Act, attempt: Attempt) -> None:
        connection = attempt.connection
        if attempt.reported or attempt.ended or act is Act.LET_RUN:
            return
        if act is Act.TAKE_BACK and (connection is None or connection.take_back(attempt)):
            self.tally.stopped[Hand.POOL if connection is None else Hand.SOCKET, Stop.LEFT] += 1
            result = Result.NOT_SENT
        elif act is Act.UNDO and connection is not None:
            self._undo(attempt, connection)
            result = Result.CANCELLED
        elif act is Act.FORGET and connection is not None:
            connection.forget(attempt)  # it has run; only its pages are left
            result = Result.SERVED
        else:
            return
        attempt.ended = True
        self._end_soon(attempt, result)

    def _undo(self, attempt: Attempt, connection: Carrier) -> None:
        connection.undo(attempt)
        self._rest(attempt)
        self.tally.undone += 1

    def undone(self, outcome: Outcome, count: int) -> None:
        if outcome is Outcome.WENT_ON:
            self.tally.went_on += count
        else:
            self.tally.cancelled += count

    def stuck(self, connection: EngineConnection) -> None:
        self.blocked[connection] = None
        self.wheel.soon()

    def _cancel(self, order: Cancel) -> None:
        request = self.requests.get(order.request)
        attempt = request.attempts.get(order.attempt) if request is not None else None
        # Danger: sites forbid it; an `undo` there is a broken rule.
        if attempt is None or not self.config.settings.limits.cancel:
            return
        for act, _ in attempt.scope(Scope(Kind.REQUEST, request)).end(True):
            self._act(act, attempt)

    def _probe(self, now: int, engine: int) -> None:
        self.count += 1
        tag = b"probe-%d" % self.count
        self.probing[tag] = (engine, now)
        self.wheel.at(
            now + self.config.connect_timeout, partial(self._probe_out_of_time, engine, tag)
        )
        if (pool := self.pools.get(engine)) is not None:
            pool.probe(tag, now)

    def _probe_out_of_time(self, engine: int, tag: bytes) -> None:
        if (pool := self.pools.get(engine)) is not None:
            pool.forget_probe(tag)
        self.probed(tag, Result.TIMEOUT, "")

    def _last_look(self, attempt: Attempt) -> None:
        """Danger: the decisions answer a tick before the time is up. What has not left by then
        would be answered as if it had: it is taken back while there is time to say so.
        """
        if attempt.written:
            attempt.timer = self.wheel.at(attempt.until, partial(self._out_of_time, attempt))
            return
        if attempt.connection is not None:
            attempt.connection.take_back(attempt)
        self._end(attempt, Result.CONNECT_FAILED, None)

    def _out_of_time(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if attempt.ended:
            return  # its report follows
        if connection is not None and not attempt.reported and self.config.settings.limits.cancel:
            self._undo(attempt, connection)  # what nobody waits for any more
            attempt.ended = True
            self._end_soon(attempt, Result.TIMEOUT)
        else:
            self._end(attempt, Result.TIMEOUT, None)

    def _unsent(self, attempt: Attempt, result: Result) -> None:
        self._end(attempt, result, None)

    # --- what connections to engines tell ---

    def written_at_once(self) -> None:
        self.figures.dispatches += 1

    def written(self, attempt: Attempt) -> None:
        self.figures.dispatches += 1
        attempt.gone = self.now()
        if not attempt.wanted():  # it was half gone when this came: the rest had to follow
            self.tally.begun_after[Stop.LEFT if attempt.request.left else Stop.PAST] += 1

    def twice(self, connection: EngineConnection, trace: bytes) -> bool:
        pool = self.pools.get(connection.engine)
        return pool is not None and any(
            trace in c.carried for c in pool.connections if c is not connection
        )

    def whole(self, attempt: Attempt, meter: str) -> None:
        """Every page is here: the answer goes out as one frame, if somebody still waits for it."""
        request = attempt.request
        if request.client is not None:
            body = b"".join(page for page in attempt.pages if page is not None)
            client = self._answering(request, SUCCESS)
            client.served(request.stream, body)
            if self.stages is not None:
                self._time(self.stages, attempt, client)
        attempt.pages = []
        self._end(attempt, Result.SERVED, self._load(meter))
        self._end_scope(request)

    def _time(self, stages: Stages, attempt: Attempt, client: Client) -> None:
        """How long each stage of a served request took; that of its answer is known once it has
        left.
        """
        request, now = attempt.request, self.now()
        route = request.route.decode()
        marks = (request.came, request.taken, attempt.sent, attempt.put, attempt.gone, now)
        for stage, begun, ended in zip(Stage, marks, marks[1:], strict=False):
            stages.add(route, stage, ended - begun, now)
        self.going.append((client, route, now))
        self.wheel.soon()
        if len(self.going) == 1:
            asyncio.get_running_loop().call_soon(self._look_at_answers)

    def _look_at_answers(self) -> None:
        """Danger: a client that never reads would keep its answer here for good."""
        now, answers, self.going = self.now(), self.going, []
        for client, route, since in answers:
            unread = getattr(client, "unread", None)
            if unread is not None and unread() and now - since < self.terms.slow_reader:
                self.going.append((client, route, since))
            elif self.stages is not None:
                self.stages.add(route, Stage.ANSWER, now - since, now)

    def noted(self, attempt: Attempt, kind: NoteKind, amount: float) -> None:
        """It is not over yet. Danger: a flood of notes would be a flood of work: one of a kind at a
        time.
        """
        now = self.now()
        if now - attempt.notes.get(kind, -NOTE_GAP) >= NOTE_GAP:
            attempt.notes[kind] = now
            self._report(
                AttemptNote(attempt.request.id, attempt.number, attempt.engine, kind, amount)
            )

    def ended(self, attempt: Attempt, result: Result, meter: str) -> None:
        self._end(attempt, result, self._load(meter))

    def late(self, attempt: Attempt, meter: str) -> None:
        """An answer that nobody waits for: dropped, but its load report is as good as any."""
        self.tally.late += 1
        if (load := self._load(meter)) is not None:
            self._report(ProbeResult(attempt.engine, Result.SERVED, 0, load))

    def probed(self, tag: bytes, result: Result, meter: str) -> None:
        engine, sent = self.probing.pop(tag, (None, 0))
        if engine is not None:
            self._report(ProbeResult(engine, result, self.now() - sent, self._load(meter)))
            for heard in self.witness:
                heard(engine, result)

    def lost(self, connection: EngineConnection, why: str, spoilt: bool) -> None:
        """Danger: what was open on a connection that ended may have run. Where a spoilt answer made
        us end it, that tells nothing of the engine's health: it is reported as given up by us, not
        as reset.
        """
        self.pools.lost(connection)
        attempts, connection.open = list(connection.open.values()), {}
        if attempts:
            self.log("engine", f"connection with {len(attempts)} open attempts ended: {why}")
        for attempt in attempts:
            # Of what had not left, nothing ran, whatever became of the rest. Danger: an end that is
            # ours has not reached the engine yet; what follows it may not be there first.
            if spoilt and attempt.written and not attempt.reported:
                attempt.ended = True
                self._rest(attempt)
                self._end_soon(attempt, Result.CANCELLED)
            else:
                self._end(attempt, Result.RESET if attempt.written else Result.NOT_SENT, None)
        for tag in connection.probes:
            self.probed(tag, Result.RESET, "")

    def _load(self, meter: str) -> LoadReport | None:
        try:
            values = resp.read_meter(meter) if meter else {}
        except resp.BadAnswer as error:
            self.log("engine", str(error))
            return None
        known = {METER[name]: value for name, value in values.items() if name in METER}
        return LoadReport(**known) if known else None

    def _end(self, attempt: Attempt, result: Result, load: LoadReport | None) -> None:
        if attempt.reported:
            return
        attempt.reported = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        request = attempt.request
        request.attempts.pop(attempt.number, None)
        if attempt.paid and self.budget is not None and not attempt.written:
            self.budget.back(request.route.decode(), request.customer)
        if self.outcome is not None:
            self.outcome(attempt.engine, result)
        latency = (attempt.answered or self.now()) - attempt.sent
        self._report(
            AttemptOutcome(
                request.id,
                attempt.number,
                attempt.engine,
                result,
                latency,
                request.client is None,
                load,
            )
        )
        self._close_out(request)

    def _close_out(self, request: OpenRequest) -> None:
        gone = request.client is None and not request.attempts
        if gone and self.requests.pop(request.id, None) is not None:
            self.held -= len(request.statement)
            self.ids[request.trace].remove(request)
            if not self.ids[request.trace]:
                del self.ids[request.trace]
            self.facade.forget(request.id)
