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
from ..deadlines.cancel_scopes import CancelAction, CancelOutcome, CancelScope, ScopeKind
from ..deadlines.handover_checks import (
    HandOver,
    HandOverCheck,
    HandOverStatistics,
    StopReason,
    stop,
)
from ..deadlines.retry_budget import RetryBudget, attempt_time
from ..deadlines.settings import DeadlineSettings, Stage
from ..decisions.facade import (
    AdministrativeChange,
    AttemptEnded,
    AttemptProgress,
    AttemptResult,
    CancelAttempt,
    CloseRequests,
    CoProcessLoad,
    Dispatch,
    DispatchOptions,
    Effect,
    EndpointListUpdate,
    EndpointState,
    Event,
    Facade,
    HealthCheckResult,
    ListUpdateKind,
    LoadReport,
    OrderBatch,
    ProgressKind,
    Reject,
    RequestAbandoned,
    RequestArrived,
    Settings,
    SettingsChanged,
)
from ..discovery.event_codec import EndpointListEvent
from ..endpoints.administrative_state import AdministrativeState, AdministrativeStates
from ..endpoints.connection_pools import ConnectionPools
from ..endpoints.endpoint_table import EndpointTable
from ..metrics import ERROR, OVERLOAD, STATUSES, SUCCESS, Metrics
from ..protocols import resp
from ..protocols.engine_connection import EngineConnection
from ..timer_wheel import Clock, TimerWheel
from .requests import ActiveRequest, Attempt, AttemptConnection, Client

if TYPE_CHECKING:
    from ..deadlines.stage_latencies import StageLatencies

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
    HandOver.POOL: (Stage.CONNECT, Stage.WRITE, Stage.ENGINE),
    HandOver.CONNECTION: (Stage.WRITE, Stage.ENGINE),
    HandOver.SOCKET: (Stage.ENGINE,),
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


class InvalidRequestError(Exception):
    """A request that cannot be used, although its frame can be read: one failed answer."""


def keyed(settings: Settings) -> frozenset[str]:
    """The classes whose requests carry an idempotency key."""
    return frozenset(c.name for c in settings.classes if c.effect is Effect.IDEMPOTENCY_KEY)


def read_number(text: str, name: str) -> float:
    """Danger: `float` alone also takes signs, NaN, infinity, underscores and the digits of other
    scripts.
    """
    if NUMBER.fullmatch(text) is None:
        raise InvalidRequestError(f"{name}: {text[:40]!r} is no number from 0 up")
    return float(text)


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A request in no protocol's words."""

    class_name: str
    client_request_id: str
    tenant: str | None
    timeout_ms: float
    estimate_ms: float
    memory_mb: float
    is_retry: bool
    data_set: int
    statement: bytes
    idempotency_key: str | None = None  # the client's idempotency key


class Dispatcher:
    def __init__(self, config: Config, clock: Clock, log: Callable[[str, str], None]) -> None:
        self.config, self.clock, self.log = config, clock, log
        now = clock.now()
        settings = config.settings
        self.wheel = TimerWheel(settings.tick_ns, now)
        self.facade = self._decisions(now)
        self.deadlines = {c.name: c.deadline_ns for c in settings.classes}
        self.keyed = keyed(settings)
        self.customers = {t.name for t in settings.tenants}
        self.endpoint_table = EndpointTable()
        self.administrative_states = AdministrativeStates()
        self.metrics_counts = Metrics(self.deadlines)
        # requests taken that have no final answer and whose client has not left
        self.concurrent = 0
        self.pools = self._connections()
        self.pools.own = settings.handshake_price <= OWN_WORTH
        self.divide(1, 0)
        self.requests: dict[str, ActiveRequest] = {}
        self.ids: dict[
            bytes, list[ActiveRequest]
        ] = {}  # the open requests again, by the client's id
        self.probing: dict[bytes, tuple[int, int]] = {}
        self.blocked: dict[EngineConnection, None] = {}  # their sockets took no more
        self.going: list[tuple[Client, str, int]] = []  # not gone yet, where stages are told
        self.closing = False  # nothing more is sent
        self.tally = HandOverStatistics()
        self.terms = DeadlineSettings()
        # where operators want to see, or to learn from, each stage
        self.stages: StageLatencies | None = None
        self.budget: RetryBudget | None = None  # for further attempts, where operators set one
        self.story: Callable[[ActiveRequest, str], None] | None = None
        self.more_figures: list[Callable[[], bytes]] = []  # of what operators have switched on
        # what the module goes by, beside the files
        self.adjust: list[Callable[[Settings], Settings]] = []
        self.witness: list[Callable[[int, AttemptResult], None]] = []  # hear what becomes of probes
        self.said: Callable[[str, bool], None] | None = None  # hears operators' words on engines
        self.outcome: Callable[[int, AttemptResult], None] | None = (
            None  # hears what becomes of attempts
        )
        # sees each request before it is decided on
        self.arriving: Callable[[ParsedRequest, int], None] | None = None
        self.stay_away: Callable[[int], int] | None = None  # widens the pause of a refusal
        self.margin = WAY_BACK
        self.later: list[tuple[Attempt, AttemptResult]] = []
        self.count = 0
        self.held = 0

    # What a broker with rooms of its own for parts of its traffic makes otherwise:
    # `query_broker.cells`.

    def _decisions(self, now: int) -> Facade:
        return Facade(self.config.settings, self.config.seed, now, self.wheel)

    def _connections(self) -> ConnectionPools:
        config = self.config
        return ConnectionPools(
            self,
            self.log,
            streams=config.streams,
            connect_timeout=config.connect_timeout,
            conn_idle=config.conn_idle,
            unsent=self._unsent,
            may_go=self._may_go,
        )

    def _has_room(self, request: ActiveRequest) -> bool:
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

    def apply_settings(self, read: Config) -> None:
        """Other settings, in one step: for all requests that come from now on."""
        now = self.now()
        # the wheel turns by the one of the start
        settings = replace(read.settings, tick_ns=self.config.tick)
        self._carry_out(now, self.facade.report(now, SettingsChanged(self._adjusted(settings))))
        self.config = replace(
            self.config,
            settings=settings,
            told=read.told,
            streams=read.streams,
            connect_timeout=read.connect_timeout,
            conn_idle=read.conn_idle,
        )
        self.deadlines = {c.name: c.deadline_ns for c in read.settings.classes}
        self.keyed = keyed(read.settings)
        self.customers = {t.name for t in read.settings.tenants}
        self.metrics_counts.learn(self.deadlines)
        self.pools.retune(read.streams, read.connect_timeout, read.conn_idle)
        self.pools.own = settings.handshake_price <= OWN_WORTH

    def _adjusted(self, settings: Settings) -> Settings:
        for change in self.adjust:
            settings = change(settings)
        return settings

    def report_event(self, news: Event) -> None:
        """What others than the engines and clients of this broker have found out."""
        self._report(news)

    def probe(self, engine: int) -> None:
        self._probe(self.now(), engine)

    def refresh_settings(self) -> None:
        """What `adjust` says has changed."""
        self._report(SettingsChanged(self._adjusted(self.config.settings)))

    # --- clients ---

    def submit(
        self, client: Client, stream: int, ask: ParsedRequest, came: int = 0
    ) -> ActiveRequest:
        """Take a request; ``came``: when its first byte was read. Danger: nothing malformed may
        reach an engine or the decisions.
        """
        try:
            self._check(ask)
        except InvalidRequestError:
            self.metrics_counts.answered(ask.class_name, ERROR)
            raise
        return self._take(client, stream, ask, came)

    def _check(self, ask: ParsedRequest) -> None:
        if ask.class_name not in self.deadlines:
            raise InvalidRequestError(f"route: {ask.class_name[:40]!r} is no class of the settings")
        if not 1 <= ask.timeout_ms <= MOST_PATIENCE_MS:
            raise InvalidRequestError(f"patience: must be 1 to {MOST_PATIENCE_MS:.0f} ms")
        if max(ask.estimate_ms, ask.memory_mb) > MOST_ESTIMATE:
            raise InvalidRequestError("weight or ram: is out of range")
        if self.customers and ask.tenant not in self.customers:
            raise InvalidRequestError(
                f"customer: {(ask.tenant or '')[:40]!r} is none of the settings"
            )
        if ask.idempotency_key is None and ask.class_name in self.keyed:
            # Danger: without its key no engine knows a repeat of it, and it would run twice.
            raise InvalidRequestError("nonce: is missing")
        if ask.idempotency_key is not None and (
            not ask.idempotency_key or "," in ask.idempotency_key
        ):
            # Danger: an engine would read the rest of it as a field of its own.
            raise InvalidRequestError("nonce: is empty or holds a comma: no engine can be told it")
        for other in self.ids.get(ask.client_request_id.encode(), ()):
            if (other.class_name, other.statement, other.idempotency_key) != (
                ask.class_name.encode(),
                ask.statement,
                ask.idempotency_key,
            ):
                # Danger: the engine takes it for the open one, and answers one of them with the
                # other's rows.
                raise InvalidRequestError("trace: is open with another statement or nonce")

    def _take(
        self, client: Client, stream: int, ask: ParsedRequest, came: int = 0
    ) -> ActiveRequest:
        trace, now = ask.client_request_id.encode(), self.now()
        # Danger: books kept for an hour, since a client says that it waits so long: its class ends
        # sooner.
        patience = min(int(ask.timeout_ms * MS), self.deadlines[ask.class_name])
        patience -= min(self.margin, patience // 4)
        if came and self.terms.count_from == "first":
            patience = max(1, patience - (now - came))
        if self.arriving is not None:
            self.arriving(ask, now)
        self.count += 1
        request = ActiveRequest(
            str(self.count),
            trace,
            ask.class_name.encode(),
            ask.statement,
            client,
            stream,
            now + patience,
            ask.tenant or "",
            came or now,
            now,
            idempotency_key=ask.idempotency_key,
        )
        self.concurrent += 1
        if not self._has_room(request):
            self.log("client", "no room for another statement: refused")
            self._answering(request, OVERLOAD).rejected(stream, HELD_PAUSE_MS)
            return request
        self.held += len(ask.statement)
        self.requests[request.id] = request
        self.ids.setdefault(trace, []).append(request)
        query = RequestArrived(
            request.id,
            ask.class_name,
            patience,
            ask.tenant or None,
            None,
            int(ask.estimate_ms * MS),
            ask.memory_mb,
            ask.data_set,
            ask.is_retry,
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

    def abandon(self, request: ActiveRequest) -> None:
        """Nobody waits for this request any more; no answer is owed."""
        if request.client is not None:
            request.client, request.abandoned = None, True
            self.concurrent -= 1
            if self.story is not None:
                self.story(request, "left")
            self._report(RequestAbandoned(request.id))
            self._end_scope(request)
            self._close_out(request)

    def _answering(self, request: ActiveRequest, status: int) -> Client:
        """The client that gets its final answer now. Danger: a request that is counted anywhere
        else is counted twice, or never: every answer passes here.
        """
        client, request.client = request.client, None
        assert client is not None, "a second answer"
        self.concurrent -= 1
        self.metrics_counts.answered(request.class_name.decode(), status)
        if self.story is not None:
            self.story(request, STATUSES[status])
        return client

    # --- operators ---

    def set_endpoint_disabled(self, uid: str, out: bool) -> bool:
        """Leave an engine out, or use it again; False if none has this uid."""
        # Danger: it restarts while it is out, so that the list may not name it when it is called
        # back.
        if uid not in self.endpoint_table.by_uid and not self.administrative_states.is_disabled(
            uid
        ):
            return False
        if out != self.administrative_states.is_disabled(uid):
            self.apply_administrative_state(uid, AdministrativeState(self.now(), out))
        if self.said is not None:
            self.said(uid, out)
        return True

    def apply_administrative_state(self, uid: str, word: AdministrativeState) -> None:
        """The operators' word on an engine, said to us or to a process beside us."""
        if not self.administrative_states.record(uid, word):
            return
        self.administrative_states.forget(self.now() - BACK_FOR_GOOD)
        number = self.endpoint_table.number(uid)
        self._report(AdministrativeChange(number, word.disabled, word.at_ns))
        if (pool := self.pools.get(number)) is not None:
            # Danger: what still waits for a connection would leave after the yes; it has not run.
            pool.take_back() if word.disabled else pool.renew()

    def metrics(self) -> bytes:
        text = self.metrics_counts.text(
            self.concurrent, len(self.endpoint_table.by_uid), self.facade.avoided()
        )
        text += b"".join(more() for more in self.more_figures)
        return text if self.stages is None else text + self.deadline_figures()

    def deadline_figures(self) -> bytes:
        from ..deadlines.metrics import text

        assert self.stages is not None
        return text(self.tally, self.stages, self.margin, self.budget)

    def beside(self, others: CoProcessLoad) -> None:
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

    def _end_soon(self, attempt: Attempt, result: AttemptResult) -> None:
        """With the next tick."""
        self.later.append((attempt, result))
        self.wheel.soon()

    def _rest(self, attempt: Attempt) -> None:
        """Danger: its `undo`, or the end of its connection, and the attempt that follows go two
        ways, and nothing orders them: what leaves next may be there first.
        """
        if not self.config.settings.limits.hedging:
            attempt.report_after_ns = self.now() + UNDO_WAY

    def _end_later(self) -> None:
        now = self.now()
        stay: list[tuple[Attempt, AttemptResult]] = []
        while self.later:  # an end may order what ends at once
            later, self.later = self.later, []
            for attempt, result in later:
                by = attempt.connection
                if by is not None and attempt.request.client_request_id in by.cancels_in_transit:
                    self._rest(attempt)
                # Danger: the next attempt may leave with the report, and two would be out at once.
                held = attempt.report_after_ns > now
                stay.append((attempt, result)) if held else self._end(attempt, result, None)
        self.later = stay
        if stay:
            self.wheel.soon()

    def endpoint_list_changed(self, event: EndpointListEvent) -> None:
        entries = self.endpoint_table.learn(event)
        for entry in entries:
            self.pools.learn(entry.endpoint, self.endpoint_table.by_number[entry.endpoint].target)
        if event.full:
            for known in self.endpoint_table.by_number.values():
                self.pools.learn(known.number, known.target)
        self._report(
            EndpointListUpdate(
                ListUpdateKind.FULL if event.full else ListUpdateKind.CHANGES, entries
            )
        )
        self.endpoint_table.let_go()

    def close_out_all(self) -> None:
        """The process is about to end: what is open gets the answer that the rules allow."""
        self.closing = True
        self._take_back_unsent(self.requests.values())
        self._report(CloseRequests())

    def give_up(self, requests: Sequence[ActiveRequest]) -> None:
        """The same for these alone: their client can't be read any more."""
        if requests:
            for request in requests:
                request.closing = True
            self._take_back_unsent(requests)
            self._report(CloseRequests(frozenset(request.id for request in requests)))

    def _take_back_unsent(self, requests: Iterable[ActiveRequest]) -> None:
        """Danger: what has not left would be answered as if it may have run: it is taken back
        before its answer, and goes nowhere else.
        """
        for attempt in [a for r in requests for a in r.attempts.values()]:
            connection = attempt.connection
            if not attempt.write_started and (connection is None or connection.withdraw(attempt)):
                self._end(attempt, AttemptResult.NOT_SENT, None)
        self._end_later()

    # --- orders ---

    def _report(self, news: Event) -> None:
        now = self.now()
        try:
            self._carry_out(now, self.facade.report(now, news))
        except Exception:
            self.log("fault", traceback.format_exc())

    def _carry_out(self, now: int, orders: OrderBatch) -> None:
        for options in orders.options:
            self._set_terms(options)
        for send in orders.dispatches:
            self._send(now, send)
        for answer in orders.answers:
            request = self.requests.get(answer.request_id)
            if request is None or request.client is None:
                continue
            if isinstance(answer, Reject):
                pause = answer.retry_after_ns
                if self.stay_away is not None:
                    pause = self.stay_away(pause)
                self._answering(request, OVERLOAD).rejected(request.stream, -(-pause // MS))
            else:
                self._answering(request, ERROR).failed(request.stream, "")
            self._end_scope(request)
            self._close_out(request)
        for cancellation in orders.cancellations:
            self._cancel(cancellation)
        for check in orders.health_checks:
            self._probe(now, check.endpoint)

    def _set_terms(self, options: DispatchOptions) -> None:
        if (request := self.requests.get(options.request_id)) is None:
            return
        changed = request.priority is not None and request.priority != options.priority
        request.priority = options.priority
        request.memory_mb = math.ceil(options.memory_mb)
        for attempt in request.attempts.values() if changed else ():
            if attempt.connection is not None:
                attempt.connection.raise_priority(attempt, options.priority)

    def _send(self, now: int, order: Dispatch) -> None:
        request = self.requests.get(order.request_id)
        if request is None:
            return
        attempt = Attempt(
            request,
            order.attempt,
            order.endpoint,
            now,
            now + order.timeout_ns,
            order.latest_start_ns,
        )
        request.attempts[attempt.number] = attempt
        if self.closing or request.closing or request.client_unreadable:
            self._end_soon(attempt, AttemptResult.NOT_SENT)
            return
        if self.budget is not None and not self._in_budget(self.budget, request, attempt):
            self.tally.stopped[HandOver.POOL, StopReason.BUDGET] += 1
            self._end_soon(attempt, AttemptResult.NOT_SENT)
            return
        attempt.timer = self.wheel.at(
            attempt.deadline_ns - LAST_LOOK * self.wheel.tick_ns, partial(self._last_look, attempt)
        )
        if (pool := self.pools.get(order.endpoint)) is not None:
            pool.send(attempt, now)
        # reported with the next tick: an order's failure must not come before the order is done
        else:
            self._end_soon(attempt, AttemptResult.CONNECT_FAILED)

    def _in_budget(self, budget: RetryBudget, request: ActiveRequest, attempt: Attempt) -> bool:
        """A further attempt is paid for; a first one may be cut short where it can be made
        again.
        """
        route = request.class_name.decode()
        spec = next((c for c in self.config.settings.classes if c.name == route), None)
        safe = spec is not None and spec.effect is Effect.IDEMPOTENT
        attempt.deadline_ns = attempt.dispatched_ns + attempt_time(
            attempt.deadline_ns - attempt.dispatched_ns, attempt.number, safe, budget.terms
        )
        if attempt.number:
            attempt.budgeted = budget.further(route, request.tenant)
            return attempt.budgeted
        budget.first(route, request.tenant)
        return True

    # --- gates and scopes: what is not wanted any more goes no further ---

    def _may_go(self, attempt: Attempt, hand: HandOver) -> bool:
        """The gate at a hand-over. What it stops is reported as never sent, with the next tick.
        Danger: one that was taken back while it waited, its report still to follow, would run
        beside the next one.
        """
        if attempt.reported or attempt.concluded:
            return False
        now = self.now()
        known = self.endpoint_table.by_number.get(attempt.endpoint)
        drained = known is None or known.target.state is not EndpointState.READY
        why = stop(
            now,
            HandOverCheck(
                attempt.request.client is not None and not attempt.request.client_unreadable,
                min(attempt.deadline_ns, attempt.request.deadline_ns, attempt.latest_start_ns),
                0
                if self.stages is None
                else self.stages.fastest(attempt.request.class_name.decode(), now, *AHEAD[hand]),
                known is not None
                and bool(self.administrative_states.states)
                and self.administrative_states.is_disabled(known.target.uid),
                now if drained else 0,
            ),
        )
        if why is None:
            return True
        self.tally.stopped[hand, why] += 1
        self._unsent_later(attempt)
        return False

    def may_go(self, attempt: Attempt) -> bool:
        return self._may_go(attempt, HandOver.SOCKET)

    def _unsent_later(self, attempt: Attempt) -> None:
        if attempt.connection is not None:
            attempt.connection.in_flight.pop(attempt.request.client_request_id, None)
        self._end_soon(attempt, AttemptResult.NOT_SENT)

    def _end_scope(self, request: ActiveRequest) -> None:
        """Nobody waits for the request any more: nothing unsent of it leaves, what is out is undone
        where engines honour that, and no more pages are asked for.
        """
        if request.attempts:
            for act, scope in request.scope().end(self.config.settings.limits.cancellation):
                if isinstance(scope.name, Attempt):
                    self._act(act, scope.name)

    def _act(self, act: CancelAction, attempt: Attempt) -> None:
        connection = attempt.connection
        if attempt.reported or attempt.concluded or act is CancelAction.LET_RUN:
            return
        if act is CancelAction.TAKE_BACK and (connection is None or connection.withdraw(attempt)):
            self.tally.stopped[
                HandOver.POOL if connection is None else HandOver.SOCKET, StopReason.LEFT
            ] += 1
            result = AttemptResult.NOT_SENT
        elif act is CancelAction.UNDO and connection is not None:
            self._undo(attempt, connection)
            result = AttemptResult.CANCELLED
        elif act is CancelAction.FORGET and connection is not None:
            connection.forget(attempt)  # it has run; only its pages are left
            result = AttemptResult.SERVED
        else:
            return
        attempt.concluded = True
        self._end_soon(attempt, result)

    def _undo(self, attempt: Attempt, connection: AttemptConnection) -> None:
        connection.cancel(attempt)
        self._rest(attempt)
        self.tally.undone += 1

    def undone(self, outcome: CancelOutcome, count: int) -> None:
        if outcome is CancelOutcome.WENT_ON:
            self.tally.went_on += count
        else:
            self.tally.cancelled += count

    def stuck(self, connection: EngineConnection) -> None:
        self.blocked[connection] = None
        self.wheel.soon()

    def _cancel(self, order: CancelAttempt) -> None:
        request = self.requests.get(order.request_id)
        attempt = request.attempts.get(order.attempt) if request is not None else None
        # Danger: sites forbid it; an `undo` there is a broken rule.
        if attempt is None or not self.config.settings.limits.cancellation:
            return
        for act, _ in attempt.scope(CancelScope(ScopeKind.REQUEST, request)).end(True):
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
        self.probed(tag, AttemptResult.TIMEOUT, "")

    def _last_look(self, attempt: Attempt) -> None:
        """Danger: the decisions answer a tick before the time is up. What has not left by then
        would be answered as if it had: it is taken back while there is time to say so.
        """
        if attempt.write_started:
            attempt.timer = self.wheel.at(attempt.deadline_ns, partial(self._out_of_time, attempt))
            return
        if attempt.connection is not None:
            attempt.connection.withdraw(attempt)
        self._end(attempt, AttemptResult.CONNECT_FAILED, None)

    def _out_of_time(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if attempt.concluded:
            return  # its report follows
        if (
            connection is not None
            and not attempt.reported
            and self.config.settings.limits.cancellation
        ):
            self._undo(attempt, connection)  # what nobody waits for any more
            attempt.concluded = True
            self._end_soon(attempt, AttemptResult.TIMEOUT)
        else:
            self._end(attempt, AttemptResult.TIMEOUT, None)

    def _unsent(self, attempt: Attempt, result: AttemptResult) -> None:
        self._end(attempt, result, None)

    # --- what connections to engines tell ---

    def written_at_once(self) -> None:
        self.metrics_counts.dispatches += 1

    def written(self, attempt: Attempt) -> None:
        self.metrics_counts.dispatches += 1
        attempt.written_ns = self.now()
        if not attempt.wanted():  # it was half gone when this came: the rest had to follow
            self.tally.begun_after[
                StopReason.LEFT if attempt.request.abandoned else StopReason.PAST
            ] += 1

    def twice(self, connection: EngineConnection, trace: bytes) -> bool:
        pool = self.pools.get(connection.endpoint)
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
        self._end(attempt, AttemptResult.SERVED, self._load(meter))
        self._end_scope(request)

    def _time(self, stages: StageLatencies, attempt: Attempt, client: Client) -> None:
        """How long each stage of a served request took; that of its answer is known once it has
        left.
        """
        request, now = attempt.request, self.now()
        route = request.class_name.decode()
        marks = (
            request.received_ns,
            request.accepted_ns,
            attempt.dispatched_ns,
            attempt.assigned_ns,
            attempt.written_ns,
            now,
        )
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

    def noted(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """It is not over yet. Danger: a flood of notes would be a flood of work: one of a kind at a
        time.
        """
        now = self.now()
        if now - attempt.progress_ns.get(kind, -NOTE_GAP) >= NOTE_GAP:
            attempt.progress_ns[kind] = now
            self._report(
                AttemptProgress(attempt.request.id, attempt.number, attempt.endpoint, kind, amount)
            )

    def ended(self, attempt: Attempt, result: AttemptResult, meter: str) -> None:
        self._end(attempt, result, self._load(meter))

    def late(self, attempt: Attempt, meter: str) -> None:
        """An answer that nobody waits for: dropped, but its load report is as good as any."""
        self.tally.late += 1
        if (load := self._load(meter)) is not None:
            self._report(HealthCheckResult(attempt.endpoint, AttemptResult.SERVED, 0, load))

    def probed(self, tag: bytes, result: AttemptResult, meter: str) -> None:
        engine, sent = self.probing.pop(tag, (None, 0))
        if engine is not None:
            self._report(HealthCheckResult(engine, result, self.now() - sent, self._load(meter)))
            for heard in self.witness:
                heard(engine, result)

    def lost(self, connection: EngineConnection, why: str, spoilt: bool) -> None:
        """Danger: what was open on a connection that ended may have run. Where a spoilt answer made
        us end it, that tells nothing of the engine's health: it is reported as given up by us, not
        as reset.
        """
        self.pools.lost(connection)
        attempts, connection.in_flight = list(connection.in_flight.values()), {}
        if attempts:
            self.log("engine", f"connection with {len(attempts)} open attempts ended: {why}")
        for attempt in attempts:
            # Of what had not left, nothing ran, whatever became of the rest. Danger: an end that is
            # ours has not reached the engine yet; what follows it may not be there first.
            if spoilt and attempt.write_started and not attempt.reported:
                attempt.concluded = True
                self._rest(attempt)
                self._end_soon(attempt, AttemptResult.CANCELLED)
            else:
                self._end(
                    attempt,
                    AttemptResult.RESET if attempt.write_started else AttemptResult.NOT_SENT,
                    None,
                )
        for tag in connection.probes:
            self.probed(tag, AttemptResult.RESET, "")

    def _load(self, meter: str) -> LoadReport | None:
        try:
            values = resp.read_meter(meter) if meter else {}
        except resp.BadAnswer as error:
            self.log("engine", str(error))
            return None
        known = {METER[name]: value for name, value in values.items() if name in METER}
        return LoadReport(**known) if known else None

    def _end(self, attempt: Attempt, result: AttemptResult, load: LoadReport | None) -> None:
        if attempt.reported:
            return
        attempt.reported = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        request = attempt.request
        request.attempts.pop(attempt.number, None)
        if attempt.budgeted and self.budget is not None and not attempt.write_started:
            self.budget.back(request.class_name.decode(), request.tenant)
        if self.outcome is not None:
            self.outcome(attempt.endpoint, result)
        latency = (attempt.answered_ns or self.now()) - attempt.dispatched_ns
        self._report(
            AttemptEnded(
                request.id,
                attempt.number,
                attempt.endpoint,
                result,
                latency,
                request.client is None,
                load,
            )
        )
        self._close_out(request)

    def _close_out(self, request: ActiveRequest) -> None:
        gone = request.client is None and not request.attempts
        if gone and self.requests.pop(request.id, None) is not None:
            self.held -= len(request.statement)
            self.ids[request.client_request_id].remove(request)
            if not self.ids[request.client_request_id]:
                del self.ids[request.client_request_id]
            self.facade.forget(request.id)
