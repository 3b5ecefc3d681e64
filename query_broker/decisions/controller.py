"""Every decision of the gateway, in the words of `interface.py`; times in ns, backlogs in
thread-ns.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from .accounting import (
    Attempt,
    FadingMean,
    LoopBooks,
    Request,
    SlidingSum,
    TokenBucket,
    memberships,
)
from .events import (
    NEVER_EXECUTED,
    AdministrativeChange,
    AttemptEnded,
    AttemptProgress,
    AttemptResult,
    CloseRequests,
    CoProcessLoad,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    Event,
    HealthCheckResult,
    ListUpdateKind,
    LoadReport,
    OutstandingWork,
    PeerMessage,
    RequestAbandoned,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from .orders import (
    CancelAttempt,
    Dispatch,
    DispatchOptions,
    Fail,
    HealthCheck,
    Order,
    Reject,
    SetTimer,
)
from .settings import Effect, IdempotencyScope, RequestClass, Settings

PERIOD = 1_000_000_000  # ns; the controller's period, also the unit of the retry-after
SPAN = 0.5  # of a class's aim; half-width of the fuzzy universe of error and change
# aims; the pool's mean delay S_t: an overrun by all gateways tells of itself late
POOL_WANTED = 0.5
# nine sets: -4 (NVL) to 4 (PVL); but for the corners, output is held to 3
TOP_LEVEL, HELD_LEVEL = 4, 3
CORNER_UP, CORNER_DOWN = 5, -6  # level sums from which the output is very large
THREADS_A_CORE = 2  # start of the bound: this share of threads a core for the longest aim
POOL_THREADS = 1.5  # the same for the pool, which does not see what runs on after its time is up
CEILING = 4  # times the start
REACH = 1 / 8  # of the ceiling: the largest step of one period
TIMEOUT_SCORE = 2.0  # aims; what a time-out counts for in the mean delay
EMPTY_STEP = 1 / 8  # of the way back to the start that an empty period goes
SLOWED = 2.0  # latency over its expectation, against the engine's own best, that is "far above"
BUSY = 0.9  # reported utilisation, memory or disk share of a busy engine
STALL = PERIOD // 4  # a period timer so late: this gateway stood still, the engines did not
MEMORY = 3 * PERIOD  # over which the pool's mean of our threads is taken: several run times
CROWDING = 4  # exponent by which the bound shrinks once our threads pass our share
SHARPNESS = 3  # exponent of the load in the draw; higher comes nearer to "least loaded"
IDLE_LOAD = 0.15  # threads a core added to every load, so that an idle engine does not take all
# a point of price for crossing rooms divides a foreign engine's weight by 1 + this
FOREIGN_COST = 25
HOME_SHARE = 1 / 3  # the part of the engines that a data set's loads go to and its readers avoid
APART = 0.1  # weight of an engine on the wrong side of that parting
COLD_SET = 0.5  # weight of an engine that does not keep the data set warm, where no class is a load
BESIDE_LOAD = 0.05  # weight where our own load holds the data set that the query reads
CALM_LOAD = 1.0  # threads a core; only work sent below this teaches what a query costs by itself
# of (latency x threads / estimate): below the middle, since contention only adds
BIAS_QUANTILE = 0.3
BIAS_STEP = 0.05  # log step of that quantile; the first answers move it faster
NEAR = 10  # engines that one of many gateways uses: few, so that it meets each often
GOLDEN = (5**0.5 - 1) / 2  # multiples of it, less their whole parts, lie evenly from 0 to 1
LEARN = 0.1  # weight of one answer in an engine's mean slowdown
BEST_DRIFT = 0.01  # share of the gap by which an engine's best slowdown rises at each period
ERROR_LEARN = 0.2  # weight of one outcome in an engine's failure share
# more than one reset adds to that share; a second soon after tells of a dead process
ONE_RESET = 0.3
SILENCE = 1.0  # of the shortest aim: an engine that owes answers and gives none for so long
# between single trials on an engine held to be out or full; so long full is pressure
TRIAL_GAP = PERIOD
# times its failure share, the most that is further left, so that none go in step
TRIAL_REST = 8 * PERIOD
COPY = 3.0  # times its expected time: a second copy, where allowed and harmless, runs beside it
OVERDUE = 6.0  # times its expected time: an attempt held to have a bad plan
GRANT_MARGIN = 1.2  # times the estimated memory, where grants are heeded; more makes others spill
COLD_SAFETY = 3.0  # estimates may be this far too low: divides the budget of a cold engine
TURN = 4  # windows of the contract to a turn; the last is nobody's: no window meets two turns
# the same for a whole turn of one of many gateways: errors of its queries even out
TURN_SAFETY = 1.5
# divides the pool's bound at the most: a class refused more often sees more room
LEAST_ADMITTED = 0.2
OVER_SHARE_ROOM = 0.25  # of the bound, under pressure, for a tenant's traffic beyond its share
YIELD_LEARN = 0.02  # weight of one arrival in the mean worth and work
TENANT_BURST = 2.0  # seconds of its share that a tenant may save up


def rule(error_level: int, change_level: int) -> int:
    """Table 2 of the paper as a formula: the sum, held to +-3, very large in the corners."""
    total = error_level + change_level
    if total >= CORNER_UP or total <= CORNER_DOWN:
        return TOP_LEVEL if total > 0 else -TOP_LEVEL
    return max(-HELD_LEVEL, min(HELD_LEVEL, total))


def fuzzy_step(error: float, change: float, largest: float) -> float:
    """Fuzzify, infer at minimum strength, take the centre of gravity; error and change in
    half-spans.
    """
    fired = [
        (rule(e, c) / TOP_LEVEL * largest, min(mu_e, mu_c))
        for e, mu_e in memberships(error, TOP_LEVEL)
        for c, mu_c in memberships(change, TOP_LEVEL)
    ]
    return sum(centre * mu for centre, mu in fired) / sum(mu for _, mu in fired)


@dataclass(slots=True)
class ClassView:
    """What outcomes have taught of a class: how far its estimates lie off, and its mean work."""

    spec: RequestClass
    log_bias: float = 0.0
    answers: int = 0
    mean_work: float = 0.0
    pace: float = 1.0
    admitted: float = 1.0  # the fading share of those within their tenants' shares that were sent

    def expected_work(self, estimate: int | None) -> int:
        """Thread-nanoseconds: the estimate corrected from outcomes, else the class mean."""
        if estimate is None or estimate <= 0:
            return max(
                1,
                int(self.mean_work)
                or self.spec.latency_objective_ns * self.spec.threads // THREADS_A_CORE,
            )
        return max(1, int(estimate * math.exp(self.log_bias)))

    def expected_time(self, work: int) -> float:  # from send to answer, at the present pace
        return work / self.spec.threads * max(1.0, self.pace)

    def learn(self, estimate: int | None, latency: int) -> None:
        work = max(1, latency) * self.spec.threads
        self.answers += 1
        self.mean_work += (work - self.mean_work) / min(self.answers, 1 / LEARN)
        if estimate is not None and estimate > 0:
            above = math.log(work / estimate) > self.log_bias
            self.log_bias += (BIAS_STEP + 1 / (1 + self.answers)) * (BIAS_QUANTILE - (not above))


@dataclass(slots=True, kw_only=True)
class Loop(LoopBooks):
    """One fuzzy loop: the bound on our outstanding work and what moves it, for an engine or for the
    pool.
    """

    def crowd(self, now: int, threads: int) -> float:
        """Our threads, with so many more, against our share."""
        return (self.threads_out + threads) / self.thread_share

    def pressed(self, now: int) -> bool:
        """Danger: answers tell of a jam only after it; so our own share of the threads counts as
        well.
        """
        return self.slowdown > SLOWED * self.best or now < self.full_until or self.crowd(now, 0) > 1

    def fits(self, now: int, size: int, threads: int, room: float) -> bool:
        """The design's test: no pressure or nothing outstanding admits, else backlog + size <=
        bound.
        """
        crowd = self.crowd(now, threads)
        if self.backlog == 0 or not (self.pressed(now) or crowd > 1):
            return True
        # it shrinks at once as our threads pass our share: delays tell of that late
        self.bound_used = True
        return self.backlog + size <= self.bound * room / max(1.0, crowd) ** CROWDING

    def learn(self, ratio: float) -> None:
        """Geometric. Danger: estimates scatter; the few far too low ones make every engine look
        slowed.
        """
        self.slowdown *= (ratio / self.slowdown) ** LEARN
        self.best = max(1.0, min(self.best, self.slowdown))

    def move(self) -> None:
        """d_t(k) = d_t(k-1) + fuzzy step of e(k) = S_t - s(k) and its change, held to [0,
        ceiling].
        """
        self.best += BEST_DRIFT * (self.slowdown - self.best)
        if not self.delays or not self.bound_used:
            # Danger: windup; periods without a test would raise the bound and let the next jump in
            # whole.
            self.bound, self.last_error = self.bound + EMPTY_STEP * (self.start - self.bound), None
        else:
            error = self.wanted - sum(self.delays) / len(self.delays)
            change = 0.0 if self.last_error is None else error - self.last_error
            bound = self.bound + fuzzy_step(
                error / SPAN, change / SPAN, REACH * CEILING * self.start
            )
            self.bound, self.last_error = max(0.0, min(CEILING * self.start, bound)), error
        self.bound_used, self.delays = False, []


@dataclass(slots=True, kw_only=True)
class Pool(Loop):
    """All engines at once. Danger: few threads pass a share by chance; their mean tells what all
    hold.
    """

    held: FadingMean  # of threads_out

    def crowd(self, now: int, threads: int) -> float:
        return self.held.at(now) / self.thread_share


@dataclass(slots=True, kw_only=True)
class Engine(Loop):
    entry: EndpointEntry
    cores: int
    out: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    failures: float = 0.0
    erring: float = 0.0  # the fading share of errors among its answers
    report: LoadReport | None = None
    threads_since_report: int = 0
    cold_until: int = 0
    cold_sends: SlidingSum
    last_sign: int = 0
    # of other processes of this gateway; booked as ours
    beside: OutstandingWork = OutstandingWork(0, 0, 0)
    born: int = 0  # what was sent before belongs to another process
    suspect: bool = False
    counted: bool = False  # in the pool's books
    next_trial: int = 0
    asked: int = 0  # when we last asked for its load

    def busy(self) -> float:  # the scarcest of what it reports; a queue for memory: all is taken
        r = self.report or LoadReport()
        hands = (r.inflight or 0.0) / THREADS_A_CORE / self.cores
        return max(
            r.utilisation or 0.0, r.memory or 0.0, r.disk or 0.0, min(1.0, r.queue or 0.0), hands
        )

    def load(self) -> float:  # threads a core: reported and sent since; not below our own
        since = self.threads_since_report if self.report is not None else 0
        return max(self.threads_out, self.busy() * self.cores + since) / self.cores

    def size(self, work: int) -> int:  # thread-time here, at the pace that outcomes show
        return int(work * max(1.0, self.slowdown))

    def pressed(self, now: int) -> bool:
        return self.busy() > BUSY or Loop.pressed(self, now)


class AdmissionController:
    """One gateway's decisions: `handle` takes an event at the caller's time and returns actions."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.views, self.shares = dict[str, ClassView](), dict[str, TokenBucket]()
        self.engines, self.banned = dict[int, Engine](), set[int]()
        # processes that take requests; means
        self.taking, self.mean_worth, self.mean_work = 1, 1e-9, 1.0
        self.pool = Pool(held=FadingMean(MEMORY, now), wanted=POOL_WANTED)
        # that we use; that we use in our turns
        self.near, self.cold = list[Engine](), list[Engine]()
        # to a cold engine's turn; `_measure_pool`
        self.owners, self.thin, self.by_probe = 1, False, False
        self.requests, self.queues = dict[str, Request](), dict[str, deque[Request]]()
        self.key_free_at, self.serving = dict[str, int](), set[str]()
        self.held_sets: Counter[tuple[int, int]] = Counter()  # (engine, data set): our loads there
        # failure share by room and by kind
        self.groups: defaultdict[str, float] = defaultdict(float)
        self.ranks: dict[int, dict[int, float]] = {}
        self.taken, self.further = (
            SlidingSum(settings.contract.retry_budget_window_ns) for _ in range(2)
        )
        self.period_arrivals, self.period_refusals, self.refused_share = 0, 0, 0.0
        self.timers: dict[int, tuple[Callable[..., None], tuple[Any, ...]]] = {}
        self.random, self.next_token, self.period_due, self.stalled = (
            random.Random(seed),
            0,
            now + PERIOD,
            -1,
        )
        self._retune(now, SettingsChanged(settings))
        self.actions: list[Order] = []
        self.handlers: dict[type, Callable[[int, Any], None]] = {
            RequestArrived: self._arrive,
            AttemptEnded: self._outcome,
            AttemptProgress: self._note,
            RequestAbandoned: self._depart,
            TimerFired: self._fire,
            EndpointListUpdate: self._list_news,
            AdministrativeChange: self._ban,
            CoProcessLoad: self._beside,
            HealthCheckResult: self._seen,
            SettingsChanged: self._retune,
            CloseRequests: self._close,
            PeerMessage: lambda now, event: None,
        }

    def _retune(self, now: int, event: SettingsChanged) -> None:
        """For all that comes from now on; classes that stay keep what was learned. Danger: a
        request under way may not change its class's terms, above all whether it may run twice: it
        keeps its view.
        """
        settings = self.settings = event.settings
        self.contract, self.limits, classes = settings.contract, settings.limits, settings.classes
        self.views = {
            c.name: replace(self.views.get(c.name, ClassView(c)), spec=c) for c in classes
        }
        self.longest_aim, self.shortest_aim = (
            max(c.latency_objective_ns for c in classes),
            min(c.latency_objective_ns for c in classes),
        )
        self.widest = max(c.threads for c in classes)
        self.shares = {
            t.name: TokenBucket(rate / PERIOD, rate * TENANT_BURST, now, self.shares.get(t.name))
            for t in settings.tenants
            for rate in [t.quota_per_s / settings.fleet_size]
        }
        self.taken.span = self.further.span = self.contract.retry_budget_window_ns
        for engine in self.engines.values():
            self._measure(engine)
        self._measure_pool(now)

    def handle(self, now: int, event: Event) -> list[Order]:
        if type(event) not in self.handlers:
            raise TypeError(f"event: {type(event).__name__} is none of the interface's events")
        self.actions = []
        if self.next_token == 0:
            self._timer(now + PERIOD, self._period)
        if now > self.period_due + STALL:
            self.stalled = now
        self.handlers[type(event)](now, event)
        return self.actions

    def _timer(self, at: int, call: Callable[..., None], *about: Any) -> None:
        self.timers[self.next_token] = (call, about)
        self.actions.append(SetTimer(at, self.next_token))
        self.next_token += 1

    def _fire(self, now: int, event: TimerFired) -> None:
        call, about = self.timers.pop(event.token, (lambda now: None, ()))
        call(now, *about)

    def _arrive(self, now: int, event: RequestArrived) -> None:
        if (view := self.views.get(event.class_name)) is None:
            raise ValueError(f"class_name: {event.class_name!r} is not in the settings")
        self.period_arrivals += 1
        self.taken.add(now)
        # Danger: refused traffic comes back and takes the tokens of new requests: a marked retry
        # gets none.
        share = self.shares.get(event.tenant or "")
        beyond = share is not None and (event.is_retry or not share.take(now, self.taking))
        request = Request(
            event.request_id,
            view,
            now + event.timeout_ns,
            view.expected_work(event.estimate_ns),
            event.estimate_ns,
            -1 if event.data_set is None else event.data_set,
            event.key if view.spec.ordered_by_key else None,
            beyond,
            now,
            max(0.0, event.memory_mb or 0.0),
        )
        self.requests[request.id] = request
        if request.key is not None:
            self.queues.setdefault(request.key, deque()).append(request)
        if event.timeout_ns <= 2 * self.settings.tick_ns or self._waits_too_long(now, request):
            return self._finish(now, request)
        self._admit(now, request) if request.key is None else self._serve_key(now, request.key)
        if not request.done:  # rule 1: a final answer a tick before the client gives up
            self._timer(request.deadline - self.settings.tick_ns, self._finish, request)

    def _waits_too_long(self, now: int, request: Request) -> bool:
        """Danger: a key's requests run one at a time; a queue longer than the aim makes all of them
        late.
        """
        return (
            request.key is not None
            and len(self.queues[request.key]) > 1
            and request.aim()
            < sum(
                max(
                    0.0,
                    r.view.expected_time(r.work)
                    - max((now - a.sent for a in r.out.values()), default=0),
                )
                for r in self.queues[request.key]
            )
        )

    def _admit(self, now: int, request: Request) -> None:
        """The ordinary path: a weighted draw among the engines where the query fits, else refusal
        at once.
        """
        able = [e for e in self._within_reach(now) if self._may_send(now, request, e)]
        # else it is all waste
        in_time = request.sends > 0 or request.deadline - now > request.run_time()
        fit = [e for e in able if in_time and self._fits(now, request, e)]
        # cold: what our turn leaves is lost
        fit = [e for e in fit if not (e.counted or e.suspect)] or fit
        sent = bool(fit) and self._send(now, request, self._draw(request, fit))
        request.view.admitted += (
            ERROR_LEARN * (sent - request.view.admitted) * (not request.over_share)
        )
        self._finish(now, request) if not sent else None

    def _fits(self, now: int, request: Request, engine: Engine) -> bool:
        """The design's test. Work beyond a tenant's share sees a smaller bound, under pressure
        only.
        """
        # our usual share would waste the turn: its owners are alone
        if self.thin and not engine.counted:
            return engine.backlog == 0 or engine.threads_out + request.spec.threads <= (
                THREADS_A_CORE * engine.cores * self._warmth(now, engine) / self.owners
            )
        size, threads = engine.size(request.work), request.spec.threads
        # Danger: large work shuts out small queries that pay more for theirs: each sees its worth
        # per work.
        room = request.spec.priority_weight / request.work * self.mean_work / self.mean_worth
        room *= OVER_SHARE_ROOM if request.over_share else 1.0
        return engine.fits(now, size, threads, room) and (
            not self.thin
            or self.pool.fits(now, size, threads, room / max(LEAST_ADMITTED, request.view.admitted))
        )

    def _seen(self, now: int, event: HealthCheckResult) -> None:
        if (engine := self.engines.get(event.endpoint)) is None:
            return
        if event.load_report is not None:
            engine.report, engine.threads_since_report = event.load_report, 0
        if self.by_probe:  # danger: a jammed engine that says it lives would be given more
            told = event.load_report.inflight or 0.0 if event.load_report is not None else 0.0
            held = event.result is not AttemptResult.SERVED or told > THREADS_A_CORE * engine.cores
            self._blame(engine, held)
            self._suspect(now, engine, held)

    def _draw(self, request: Request, engines: list[Engine]) -> Engine:
        return self.random.choices(engines, [self._weight(request, e) for e in engines])[0]

    def _weight(self, request: Request, engine: Engine) -> float:
        groups = (engine.entry.zone, engine.entry.kind) if self.thin else ()
        failing = max(engine.failures, engine.erring, *(self.groups[g] for g in groups))
        weight = engine.cores * ((1 - failing) / (IDLE_LOAD + engine.load())) ** SHARPNESS
        weight /= max(1.0, engine.slowdown / engine.best) * engine.slowdown
        # it would be lost
        weight *= (1 - failing) ** (SHARPNESS * (request.spec.effect is Effect.NON_IDEMPOTENT))
        if engine.entry.zone != self.settings.zone:
            weight /= 1 + FOREIGN_COST * self.settings.cross_zone_price
        if request.data_set >= 0:
            weight *= self._data_set_factor(request.spec, request.data_set, engine)
        if engine.entry.endpoint in request.tried:
            weight *= APART
        return max(weight, 1e-9)

    def _data_set_factor(self, spec: RequestClass, data_set: int, engine: Engine) -> float:
        """A load stops the readers of its data set on its engine: keep the two apart. All gateways
        rank alike, by a hash: loads go to a data set's last engines, its readers to others, warm
        ones first.
        """
        if not any(v.spec.is_load for v in self.views.values()):
            return 1.0 if self._rank(data_set, engine) < HOME_SHARE else COLD_SET
        home = self._rank(data_set, engine) >= 1 - HOME_SHARE
        factor = APART if (not home if spec.is_load else home and spec.blocked_by_loads) else 1.0
        if (spec.is_load or spec.blocked_by_loads) and self.held_sets[
            engine.entry.endpoint, data_set
        ]:
            factor *= BESIDE_LOAD
        return factor

    # place in the set's own order, 0 to below 1
    def _rank(self, data_set: int, engine: Engine) -> float:
        if data_set not in self.ranks:
            if len(self.ranks) > 1_000:  # danger: a client can name any number of data sets
                self.ranks.clear()
            order = sorted(
                self.engines, key=lambda e: hashlib.blake2b(b"%d/%d" % (data_set, e)).digest()
            )
            self.ranks[data_set] = {e: i / len(order) for i, e in enumerate(order)}
        return self.ranks[data_set].get(engine.entry.endpoint, 0.0)

    def _may_send(self, now: int, request: Request, engine: Engine) -> bool:
        return (
            not request.done
            and self._open(engine)  # rule 3, drains
            and request.sends < self.limits.max_attempts
            and self._effect_allows(now, request, engine)  # rule 2
            and self._placed(request.spec, engine)  # rule 6
            and self._turn_has_come(now, request)  # rule 5
            and (request.sends == 0 or self._budget_allows(now))  # rule 7
            and self._cold_allows(now, engine, request.work)  # rule 4
            and self._healthy(now, request, engine)
        )

    def _open(self, engine: Engine) -> bool:
        """Danger: the list calls an engine ready that the operators have taken out: no news lifts
        that.
        """
        return (
            engine.entry.state is EndpointState.READY and engine.entry.endpoint not in self.banned
        )

    def _effect_allows(self, now: int, request: Request, engine: Engine) -> bool:
        """Rule 2. Danger: a repeat of what may have run does it twice."""
        spec = request.spec
        if request.out and not (
            self.limits.hedging and spec.effect is Effect.IDEMPOTENT and len(request.out) == 1
        ):
            return False
        if not request.may_have_run or spec.effect is Effect.IDEMPOTENT:
            return True
        origin = self.engines.get((first := request.may_have_run[0]).engine)
        if (
            spec.effect is Effect.NON_IDEMPOTENT
            or now - first.sent >= spec.idempotency_window_ns - 2 * self.settings.tick_ns
        ):
            return False
        return spec.idempotency_scope is IdempotencyScope.ALL or (
            origin is not None
            and origin.entry.zone == engine.entry.zone
            and (
                spec.idempotency_scope is IdempotencyScope.ZONE
                or origin.entry.cell == engine.entry.cell
            )
        )

    def _placed(self, spec: RequestClass, engine: Engine) -> bool:
        return (not spec.allowed_zones or engine.entry.zone in spec.allowed_zones) and (
            not spec.allowed_kinds or engine.entry.kind in spec.allowed_kinds
        )

    def _turn_has_come(self, now: int, request: Request) -> bool:
        return request.key is None or (
            self.queues[request.key][0] is request
            and (request.sends > 0 or now >= self.key_free_at.get(request.key, 0))
        )

    def _budget_allows(self, now: int) -> bool:
        allowed = (
            self.contract.retry_budget_free + self.contract.retry_budget_ratio * self.taken.at(now)
        )
        return self.contract.retry_budget_window_ns <= 0 or self.further.at(now) + 1 <= allowed

    def _cold_allows(self, now: int, engine: Engine, work: int) -> bool:
        """Rule 4. Danger: a fresh engine falls over and stays down. Our share of its budget, any
        window; with many gateways, where that is no query: the whole in our turn, and the time
        after each is nobody's.
        """
        rules = self.contract
        if now >= engine.cold_until or rules.overload_window_ns <= 0:
            return True
        budget = (
            engine.cores
            * rules.overload_window_ns
            * rules.overload_multiple
            * self._warmth(now, engine)
        )
        part = (
            self._our_turn(now, engine) / TURN_SAFETY / self.owners
            if self.thin
            else 1 / COLD_SAFETY / self.settings.fleet_size
        )
        return engine.cold_sends.at(now) + engine.beside.warmup_ns + work <= budget * part

    def _our_turn(self, now: int, engine: Engine) -> bool:
        # not all engines in step
        turn, into = divmod(now + engine.entry.endpoint, TURN * self.contract.overload_window_ns)
        place = (
            turn * self.owners + engine.entry.endpoint - self.settings.broker_index
        ) % self.settings.fleet_size
        return into < (TURN - 1) * self.contract.overload_window_ns and place < self.owners

    # of its capacity; the ramp is not told: late
    def _warmth(self, now: int, engine: Engine) -> float:
        past = 1 - max(0, engine.cold_until - now) / max(1, self.contract.warmup_ns)
        return (
            self.contract.warmup_initial_capacity
            + (1 - self.contract.warmup_initial_capacity) * max(0.0, past) ** 2
        )

    def _healthy(self, now: int, request: Request, engine: Engine) -> bool:
        """An engine held to be out gets one safe trial at a time, unless every open engine is held
        to be out. Danger: a full engine where we have nothing out admits, turns away and is asked
        again without end.
        """
        self._watch_silence(now, engine)
        if engine.backlog == 0 and now < engine.full_until:
            return now >= engine.next_trial
        if not engine.suspect or all(e.suspect for e in self.engines.values() if self._open(e)):
            return True
        return (
            now >= engine.next_trial
            and request.spec.effect is Effect.IDEMPOTENT
            and not self.by_probe
            and not any(a.trial for a in engine.out.values())
        )

    def _send(self, now: int, request: Request, engine: Engine) -> bool:
        if not self._may_send(now, request, engine):
            return False
        if request.sends > 0:
            self.further.add(now)
        else:  # danger: what never fits must not move what others are held to
            self.mean_worth += YIELD_LEARN * (request.spec.priority_weight - self.mean_worth)
            self.mean_work += YIELD_LEARN * (request.work - self.mean_work)
        attempt = Attempt(
            request.sends,
            engine.entry.endpoint,
            now,
            engine.size(request.work),
            engine.load() < CALM_LOAD and not engine.pressed(now),
            engine.suspect,
        )
        if (self.settings.priorities or self.settings.memory_grants) and request.sends == 0:
            # short work first: 3 below the shortest aim, 0 what is beyond a share
            run = request.run_time()
            rank = (
                0
                if request.over_share
                else 1 + (run < self.shortest_aim) + (run < self.longest_aim)
            )
            self.actions.append(DispatchOptions(request.id, rank, GRANT_MARGIN * request.memory_mb))
        # rule 2 counts what leaves
        keyed = request.may_have_run and request.spec.effect is Effect.IDEMPOTENCY_KEY
        latest = (
            request.may_have_run[0].sent + request.spec.idempotency_window_ns
            if keyed
            else request.deadline
        )
        self.actions.append(
            Dispatch(
                request.id, attempt.number, engine.entry.endpoint, request.deadline - now, latest
            )
        )
        request.sends += 1
        request.tried.append(engine.entry.endpoint)
        request.out[attempt.number] = attempt
        request.may_have_run.append(attempt)  # until an outcome proves that it never ran
        engine.out[(request.id, attempt.number)] = attempt
        if len(engine.out) == 1:
            engine.last_sign = max(engine.last_sign, now)
        self._book(now, engine, request, attempt.size, 1)
        engine.threads_since_report += request.spec.threads
        engine.next_trial = now + TRIAL_GAP
        if now < engine.cold_until:
            engine.cold_sends.add(now, request.work)
        if self.by_probe or self.limits.hedging and request.spec.effect is Effect.IDEMPOTENT:
            expected = request.view.expected_time(request.work) / self._warmth(now, engine)
            self._timer(now + int(COPY * expected), self._overdue, request, attempt.number)
        if self.limits.cancellation:
            wait = OVERDUE * 2**attempt.number * request.run_time() * max(1.0, engine.slowdown)
            self._timer(
                now + max(int(wait), self.shortest_aim), self._review, request, attempt.number
            )
        return True

    def _review(self, now: int, request: Request, number: int) -> None:
        """An attempt far past its expected time (bad plan, lost, crowded out) is cancelled and
        tried anew.
        """
        if (
            number in request.out
            and request.spec.effect is not Effect.NON_IDEMPOTENT
            and not request.done
            and request.sends < self.limits.max_attempts
            and request.deadline - now >= request.run_time()
        ):
            self.actions.append(CancelAttempt(request.id, number))

    def _overdue(self, now: int, request: Request, number: int) -> None:
        """Danger: its answer was lost, or the engine is jammed: of many gateways each hears of it
        late.
        """
        if (
            number in request.out
            and (engine := self.engines.get(request.out[number].engine)) is not None
        ):
            if self.by_probe and not engine.suspect and now - engine.asked > PERIOD:
                self._ask(now, engine)
            if number == 0:
                self._further(now, request)

    def _ask(self, now: int, engine: Engine) -> None:
        engine.next_trial, engine.asked = now + TRIAL_GAP, now
        self.actions.append(HealthCheck(engine.entry.endpoint))

    def _note(self, now: int, event: AttemptProgress) -> None:
        if (engine := self.engines.get(event.endpoint)) is not None:
            engine.last_sign = now  # a sign of life; no progress is told that could be heeded

    def _outcome(self, now: int, event: AttemptEnded) -> None:
        engine, request = self.engines.get(event.endpoint), self.requests.get(event.request_id)
        if request is None or (attempt := request.out.pop(event.attempt, None)) is None:
            return
        if event.result in NEVER_EXECUTED:
            request.may_have_run.remove(attempt)
        if engine is not None:
            del engine.out[(request.id, attempt.number)]
            self._book(now, engine, request, attempt.size, -1)
            if attempt.sent >= engine.born:
                self._judge(now, engine, request, attempt, event)
            if engine.entry.state is EndpointState.REMOVED:
                self._remove(event.endpoint)
        if (
            event.result in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
            and request.key is not None
        ):
            self.key_free_at[request.key] = now + self.contract.key_rest_ns
        if event.finished:
            self._end(now, request)
        if not request.done and not request.out and not self._further(now, request):
            self._finish(now, request)
        self._settle(now, request)

    def _book(self, now: int, engine: Engine, request: Request, size: int, sign: int) -> None:
        for loop in (engine, self.pool) if engine.counted else (engine,):
            loop.backlog += sign * size
            loop.threads_out += sign * request.spec.threads
        self.pool.held.note(now, self.pool.threads_out)
        if request.spec.is_load:
            self.held_sets[(engine.entry.endpoint, request.data_set)] += sign
            # danger: zeros of engines and sets that came and went would pile up
            self.held_sets += Counter()

    def _judge(
        self,
        now: int,
        engine: Engine,
        request: Request,
        attempt: Attempt,
        event: AttemptEnded,
    ) -> None:
        """Health and the controller's delay. Danger: an engine that fails fast looks quick to the
        draw.
        """
        if event.load_report is not None:
            engine.report, engine.threads_since_report = event.load_report, 0
        bad = event.result in (AttemptResult.RESET, AttemptResult.CONNECT_FAILED)
        if event.result in (AttemptResult.TIMEOUT, AttemptResult.RESET):
            for loop in (engine, self.pool):
                loop.delays.append(TIMEOUT_SCORE)
        if bad or event.result is AttemptResult.SERVED:
            self._blame(engine, bad)
        if event.result in (AttemptResult.ERROR, AttemptResult.SERVED):
            engine.erring += ERROR_LEARN * ((event.result is AttemptResult.ERROR) - engine.erring)
        if event.result is AttemptResult.ERROR:
            request.erred.append(engine)
        elif event.result is AttemptResult.FULL:
            engine.full_until = self.pool.full_until = now + TRIAL_GAP
            self._suspect(now, engine, engine.suspect or self.by_probe)
        if event.result is AttemptResult.CONNECT_FAILED or bad and engine.failures > ONE_RESET:
            self._suspect(now, engine, True)
        if event.result is not AttemptResult.SERVED:
            return
        # few engines: each is worth its good half
        for other in request.erred if self.by_probe else ():
            self._blame(other, True)
            self._suspect(now, other, other.suspect or other.failures > ONE_RESET)
        engine.last_sign = now
        late = event.latency_ns > COPY * request.view.expected_time(request.work)
        self._suspect(now, engine, engine.suspect and self.by_probe and late)
        if now == self.stalled:  # danger: the latency holds the time that this gateway stood still
            return
        ratio = max(
            1 / OVERDUE, event.latency_ns * self._warmth(now, engine) / max(1, request.run_time())
        )
        for loop in (engine, self.pool):
            loop.delays.append(event.latency_ns / max(1, request.aim()))
            loop.learn(ratio)
        request.view.pace *= (ratio / request.view.pace) ** LEARN
        if attempt.calm:
            request.view.learn(request.estimate, event.latency_ns)

    def _blame(self, engine: Engine, bad: bool) -> None:
        """Danger: a room or a kind is lost at once: failures and silences of a few foretell the
        rest.
        """
        engine.failures += ERROR_LEARN * (bad - engine.failures)
        for group in (engine.entry.zone, engine.entry.kind):
            self.groups[group] += ERROR_LEARN * (bad - self.groups[group])

    def _further(self, now: int, request: Request) -> bool:
        """Another attempt where the rules allow. Danger: repeats feed the jam that caused them:
        none under pressure or too late to be over in time, none of what two engines answered with
        an error.
        """
        able = [
            e
            for e in self._within_reach(now)
            if self._may_send(now, request, e)
            and (self._fits(now, request, e) if self.thin or request.erred else not e.pressed(now))
        ]
        fit = [e for e in able if e.entry.endpoint not in request.tried] or able * (
            not request.erred
        )
        return (
            bool(fit)
            and len(request.erred) < 2
            and request.deadline - now > request.run_time()
            and self._send(now, request, self._draw(request, fit))
        )

    def _finish(self, now: int, request: Request) -> None:
        """Rule 1 and the end of rule 2: refuse where a retry is harmless, else fail; stop what is
        out.
        """
        if request.done:
            return
        spec = request.spec
        if (
            not request.may_have_run
            or spec.effect is Effect.IDEMPOTENT
            or (
                spec.effect is Effect.IDEMPOTENCY_KEY
                and spec.idempotency_scope is IdempotencyScope.ALL
            )
        ):  # a retry is harmless
            self.period_refusals += 1
            share = max(
                self.refused_share, min(1.0, self.period_refusals / max(1, self.period_arrivals))
            )
            pause = (
                min(int(share * PERIOD), self.limits.max_retry_after_ns) * self.limits.retry_after
            )
            self.actions.append(Reject(request.id, pause))
        else:
            self.actions.append(Fail(request.id))
        self._end(now, request)

    def _end(self, now: int, request: Request) -> None:
        if not request.done:
            request.done = True
            self.actions.extend(
                CancelAttempt(request.id, n) for n in request.out if self.limits.cancellation
            )
            self._settle(now, request)

    def _depart(self, now: int, event: RequestAbandoned) -> None:
        if (request := self.requests.get(event.request_id)) is not None:
            self._end(now, request)

    def _close(self, now: int, event: CloseRequests) -> None:
        for request in [
            r
            for r in self.requests.values()
            if event.request_ids is None or r.id in event.request_ids
        ]:
            self._finish(now, request)

    def _settle(self, now: int, request: Request) -> None:  # its key is free
        if not request.done or request.out or self.requests.pop(request.id, None) is None:
            return
        if request.key is not None:
            self.queues[request.key].remove(request)
            self._serve_key(now, request.key)

    def _serve_key(self, now: int, key: str) -> None:
        """Rule 5: the oldest request of a key alone may be out. A refusal asks for the next: no
        recursion.
        """
        if key in self.serving:
            return
        self.serving.add(key)
        rest_until = self.key_free_at.get(key, 0)
        while (queue := self.queues.get(key)) and not queue[0].done and queue[0].sends == 0:
            if now < rest_until:
                self._timer(rest_until, self._serve_key, key)
                break
            self._admit(now, queue[0])
        self.serving.discard(key)
        if not queue:
            self.queues.pop(key, None)
            if rest_until <= now:
                self.key_free_at.pop(key, None)

    def _period(self, now: int) -> None:
        self._timer(now + PERIOD, self._period)
        self.period_due = now + PERIOD
        self.refused_share = min(1.0, self.period_refusals / max(1, self.period_arrivals))
        self.period_arrivals = self.period_refusals = 0
        self._measure_pool(now)  # cold engines may be warm by now
        used = {e.entry.endpoint for e in self.near}
        for engine in self.engines.values() if self.by_probe else ():
            engine.report = None  # danger: our sends since would add up for good
            if engine.suspect and now >= engine.next_trial:  # danger: not in use, it would stay so
                self._ask(now, engine) if engine.entry.endpoint in used else self._suspect(
                    now, engine, False
                )
        for loop in (*self.engines.values(), self.pool):
            loop.move()

    def _measure_pool(self, now: int) -> None:
        """Danger: with many gateways a share is under one query; no engine's own loop hears enough
        to act. What vanished with an engine, or runs on a drained or cold one, would shut work out
        of the others.
        """
        listed = [e for e in self.engines.values() if self._open(e)]
        fleet, cores = self.settings.fleet_size, [e.cores for e in listed] or [0]
        self.thin = 0 < THREADS_A_CORE * sum(cores) / len(cores) < self.widest * fleet
        # danger: trials by query add up and jam an engine
        self.by_probe = self.thin and self.limits.health_checks
        self.owners = max(1, round(fleet / max(1, len(listed))))
        for e in self.engines.values():
            e.counted = self._open(e) and not (e.suspect or self.thin and now < e.cold_until)
        ready = [e for e in listed if e.counted]
        self.pool.rescale(sum(e.start for e in ready))
        self.pool.thread_share = POOL_THREADS * sum(e.cores for e in ready) / fleet or self.widest
        self.pool.backlog = sum(e.backlog - e.beside.backlog_ns for e in ready)
        self.pool.threads_out = sum(e.threads_out - e.beside.threads for e in ready)
        self.pool.held.note(now, self.pool.threads_out)
        self._choose_near(now, listed)

    def _choose_near(self, now: int, listed: list[Engine]) -> None:
        """Danger: many gateways that use all engines meet each one seldom and lose queries on each
        bad one: each uses a few, one more for each held to be out, from places spread evenly in an
        order all share.
        """
        order = sorted(listed, key=lambda e: e.entry.endpoint)
        first = int(self.settings.broker_index * GOLDEN % 1 * len(order))
        self.near, room = [], NEAR if self.thin else len(order)
        for engine in order[first:] + order[:first]:
            if room > 0 and (engine.counted or engine.suspect):
                self.near.append(engine)
                room -= engine.counted
        self.cold = [e for e in listed if not (e.counted or e.suspect)]

    def _within_reach(self, now: int) -> list[Engine]:
        return [*self.near, *(e for e in self.cold if self._our_turn(now, e))]

    def _suspect(self, now: int, engine: Engine, held: bool) -> None:
        if held or engine.suspect:
            engine.suspect = held
            engine.next_trial = (
                now + TRIAL_GAP + int(TRIAL_REST * engine.failures * self.random.random())
            )
            self._measure_pool(now)

    def _watch_silence(self, now: int, engine: Engine) -> None:
        """Danger: an engine takes work and answers nothing, or is out of reach before the list says
        so.
        """
        limit = SILENCE * self.shortest_aim
        if (
            not engine.suspect
            and now - max(engine.last_sign, self.stalled) > limit
            and any(
                now - a.sent > max(limit, a.size) and a.sent >= engine.born
                for a in engine.out.values()
            )
        ):
            self._blame(engine, True)
            self._suspect(now, engine, True)

    def _list_news(self, now: int, news: EndpointListUpdate) -> None:
        self.ranks.clear()
        for entry in news.entries:
            self._list_entry(now, entry)
        if news.kind in (ListUpdateKind.FULL, ListUpdateKind.CACHED):
            for name in self.engines.keys() - {entry.endpoint for entry in news.entries}:
                self._remove(name)
        self._measure_pool(now)

    def _list_entry(self, now: int, entry: EndpointEntry) -> None:
        if entry.state is EndpointState.REMOVED:
            return self._remove(entry.endpoint)
        if (engine := self.engines.get(entry.endpoint)) is None:
            cores = dict(self.settings.kind_cores).get(entry.kind) or max(1, round(entry.weight))
            engine = self.engines[entry.endpoint] = Engine(
                entry=replace(entry, started_ns=0),
                cores=cores,
                last_sign=now,
                cold_sends=SlidingSum(0),
            )
            self._measure(engine)
        if entry.started_ns > engine.entry.started_ns:
            self._renew(now, engine, entry.started_ns)
        engine.entry = entry

    def _measure(self, engine: Engine) -> None:
        share = THREADS_A_CORE * engine.cores / self.settings.fleet_size
        engine.rescale(share * self.longest_aim)
        # Several gateways seldom peak together, so one query more than its share for each of them.
        engine.thread_share = share + (1 - 1 / self.settings.fleet_size) * self.widest
        engine.cold_sends.span = self.contract.overload_window_ns

    def _renew(self, now: int, engine: Engine, started: int) -> None:
        """Another process under the same id: cold, and nothing that was learned of the last one
        holds.
        """
        engine.suspect, engine.slowdown, engine.best, engine.failures = False, 1.0, 1.0, 0.0
        engine.report, engine.full_until, engine.born, engine.erring = (
            None,
            0,
            min(now, started),
            0.0,
        )
        engine.last_sign = max(engine.last_sign, engine.born)
        engine.cold_until = max(engine.cold_until, started + self.contract.warmup_ns)

    def _ban(self, now: int, event: AdministrativeChange) -> None:
        (self.banned.add if event.disabled else self.banned.discard)(event.endpoint)
        if not event.disabled and (engine := self.engines.get(event.endpoint)) is not None:
            # danger: the list tells of its restart late, or not at all
            self._renew(now, engine, event.at_ns)
        self._measure_pool(now)

    def _beside(self, now: int, event: CoProcessLoad) -> None:
        """Danger: two processes that each fill the whole share overrun engines, cold ones first."""
        self.taking = event.accepting_processes
        for number, engine in self.engines.items():
            was, engine.beside = (
                engine.beside,
                event.outstanding.get(number, OutstandingWork(0, 0, 0)),
            )
            engine.threads_out += engine.beside.threads - was.threads
            engine.backlog += engine.beside.backlog_ns - was.backlog_ns

    def outstanding(self, now: int) -> dict[int, OutstandingWork]:  # ours alone
        return {
            number: OutstandingWork(
                e.threads_out - e.beside.threads,
                e.backlog - e.beside.backlog_ns,
                e.cold_sends.at(now),
            )
            for number, e in self.engines.items()
        }

    def avoided(self) -> int:  # listed engines that get nothing, by word or choice
        return sum(
            e.suspect or e.entry.endpoint in self.banned
            for e in self.engines.values()
            if e.entry.state is not EndpointState.REMOVED
        )

    # keeps its books until the last outcome, and takes no sends
    def _remove(self, name: int) -> None:
        if (engine := self.engines.get(name)) is not None:
            engine.entry = replace(engine.entry, state=EndpointState.REMOVED)
            if not engine.out:
                del self.engines[name]
