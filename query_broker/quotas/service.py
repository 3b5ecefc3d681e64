"""Joins shared limits and verdicts to the membership, the broker and the operators: the one module
of both with input and output. What comes from others reaches the module as settings (shares,
quotas) and as words on engines.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from ..decisions.facade import AdministrativeChange, AttemptResult, EndpointState, Settings
from ..dispatch.dispatcher import ParsedRequest
from ..endpoints.administrative_state import AdministrativeState as BanWord
from ..membership.service import MembershipService
from ..outlier_consensus.observations import Engine, Evidence, Reports
from ..outlier_consensus.overrides import VALUES, Wordbook, Words
from ..outlier_consensus.settings import VerdictTerms, rounds
from ..server.host import Host
from .counters import Counters
from .fair_allocation import Forecast
from .leases import Leases
from .messages import Body, LeaseGrant, Rows
from .settings import LimitTerms, SharesTerms, overshoot, stale

S = 1_000_000_000
MS = 1_000_000
LOOK = S // 4
ROOM = 1_000  # bytes of one message's body
CHANGED = 0.05  # a share that moves by less is not told to the module anew
MOST_SIZE = 8  # times the size in the file: no lease makes our part smaller than that
GOOD, BAD = (
    {AttemptResult.SERVED},
    {AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET},
)
PROBED = S  # between two probes of an engine that is held out
KEPT = 60  # seconds of what was let pass, for the figures
RECORD = 400  # changes of leases that an auditor may read
JSON = "application/json"
Answer = tuple[int, bytes, str, str]


def no(status: int, why: str, allow: str = "") -> Answer:
    return status, json.dumps({"error": why}).encode() + b"\n", JSON, allow


def yes(said: Any) -> Answer:
    return 200, json.dumps(said).encode() + b"\n", JSON, ""


def packed(items: Sequence[Any], encode: Any) -> Iterable[bytes]:
    """As few bodies as they fit in; what alone is too large is left out."""
    body, part = b"", list[Any]()
    for item in items:
        more = encode([*part, item])
        if len(more) > ROOM:
            if part:
                yield body
            part, body = [item], encode([item])
            if len(body) > ROOM:
                part, body = [], b""
            continue
        part.append(item)
        body = more
    if part:
        yield body


class Sharing:
    """One broker's part of the limits."""

    def __init__(self, node: Host, membership: MembershipService, terms: SharesTerms) -> None:
        self.node, self.membership, self.terms = node, membership, terms
        now, settings = node.clock.now(), node.config.settings
        draw = membership.detector.draw
        self.leases = Leases(membership.name, terms, settings.fleet_size, now, draw.random)
        self.leases.spare = {limit.name for limit in terms.limits if limit.kind == "work"}
        self.record: deque[tuple[int, str, float, int]] = deque(maxlen=RECORD)
        self.counters = Counters(membership.name, terms.told, draw.random)
        self.forecasts = {limit.name: Forecast() for limit in terms.limits}
        self.by_tenant = {limit.name: limit for limit in terms.limits if limit.kind == "tenant"}
        self.of_kind = {limit.kind: limit for limit in terms.limits if limit.kind != "tenant"}
        self.asked: dict[str, float] = {}  # since the last second
        self.passed: dict[str, deque[float]] = {
            limit.name: deque(maxlen=KEPT) for limit in terms.limits
        }
        self.told: dict[str, float] = {}  # what the module goes by
        self.ends = 0  # of the first lease that the module goes by
        self.looked = self.second = self.round = now
        self.tokens, self.tokens_at = 1.0, now
        self.breaches = 0
        self.written: dict[str, tuple[float, int]] = {}
        self.worst: dict[str, float] = {}
        self.lent: dict[str, str] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)
        membership.subscribe("limits", self._heard)
        node.dispatcher.arriving = self._arriving
        node.dispatcher.adjust.append(self.adjust)
        node.dispatcher.more_figures.append(self.figures)
        if "connects" in self.of_kind:
            node.dispatcher.pools.turn = self._connect_wait
        self.configure()
        node.dispatcher.wheel.at(now + LOOK, self._look)

    # --- what the limits are ---

    def whole(self, limit: LimitTerms) -> float:
        if limit.rate:
            return limit.rate
        if limit.kind == "tenant":
            tenants = self.node.config.settings.tenants
            return next((t.quota_per_s for t in tenants if t.name == limit.name), 0.0)
        return 1.0  # of all that the engines can do

    def configure(self) -> None:
        """At the start, and at SIGHUP."""
        self.leases.fleet = self.node.config.settings.fleet_size
        self.leases.limits = {
            limit.name: self.whole(limit) * (1 - self.terms.guaranteed)
            for limit in self.terms.limits
            if limit.hard()
        }

    def ours(self, limit: LimitTerms, now: int) -> float:
        """What we may use of it, a second, at this moment."""
        whole = self.whole(limit)
        if limit.hard():
            return self.leases.floor(whole) + self.leases.amount(limit.name, now)
        return self.counters.may(
            now, limit.name, whole, self.node.config.settings.fleet_size, self.membership.names()
        )[0]

    def adjust(self, settings: Settings) -> Settings:
        """Shares that are leased in place of even ones. The module divides tenants' allowances by
        the size: what is told is our own part times it.
        """
        now, even = self.node.clock.now(), settings.fleet_size
        size, me = even, settings.broker_index
        work = self.of_kind.get("work")
        if work is not None and not self._cold(now):
            most = MOST_SIZE * self.node.config.settings.fleet_size
            size = max(1, min(most, round(1 / max(1e-6, self.ours(work, now)))))
            me %= size
        tenants = tuple(
            replace(
                t,
                quota_per_s=size
                * (
                    self.ours(self.by_tenant[t.name], now)
                    if t.name in self.by_tenant
                    else t.quota_per_s / even
                ),
            )
            for t in settings.tenants
        )
        return replace(settings, fleet_size=size, broker_index=me, tenants=tenants)

    def _cold(self, now: int) -> bool:
        """Danger: what many hold a large part of at once is pushed over while it is cold."""
        cold = self.node.config.settings.contract.warmup_ns
        return any(
            k.target.state is EndpointState.READY and k.target.started_ns + cold > now
            for k in self.node.dispatcher.endpoint_table.by_number.values()
        )

    # --- the ordinary path ---

    def _arriving(self, ask: ParsedRequest, now: int) -> None:
        """Danger: one that was paused reads what waits for it before it looks at any timer: a lease
        that has ended meanwhile must not be used.
        """
        if self.ends and now >= self.ends:
            self._tell(now)
        if ask.tenant in self.by_tenant:
            self.asked[ask.tenant] = self.asked.get(ask.tenant, 0.0) + 1
        if "work" in self.of_kind:
            name = self.of_kind["work"].name
            self.asked[name] = self.asked.get(name, 0.0) + ask.estimate_ms / 1_000

    def may_try(self) -> bool:
        """A further attempt, under the soft limit of them all."""
        limit, now = self.of_kind["further"], self.node.clock.now()
        rate = self.ours(limit, now)
        self.tokens = min(max(1.0, rate), self.tokens + rate * (now - self.tokens_at) / S)
        self.tokens_at = now
        self.asked[limit.name] = self.asked.get(limit.name, 0.0) + 1
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _connect_wait(self, engine: int) -> int:
        limit, now = self.of_kind["connects"], self.node.clock.now()
        rate = max(1e-3, self.ours(limit, now))
        self.asked[limit.name] = self.asked.get(limit.name, 0.0) + 1
        self.tokens = min(max(1.0, rate), self.tokens + rate * (now - self.tokens_at) / S) - 1
        self.tokens_at = now
        return max(0, int(-self.tokens / rate * S))

    # --- time ---

    def _look(self) -> None:
        now = self.node.clock.now()
        self.node.dispatcher.wheel.at(now + LOOK, self._look)
        try:
            self._second(now)
            view = self.membership.views.view
            self.leases.me = self.counters.me = self.membership.name
            self.leases.view(self.membership.names(), view.certain)
            self.leases.tick(now)
            self._write_down(now)
            if now - self.round >= self.terms.told:
                self.round = now
                rates = {
                    li.name: self.let_pass(li.name) for li in self.of_kind.values() if not li.hard()
                }
                for to, rows in self.counters.round(now, rates, self.membership.names()):
                    for body in packed(
                        rows.rows, lambda part: self.encoder.encode(Rows(tuple(part)))
                    ):
                        self.membership.send("limits", to, body)
            self._send()
            self._tell(now)
        except Exception as error:  # a fault here must not end the wheel's turn
            self.node.log("fault", f"limits: {type(error).__name__}: {error}")

    def let_pass(self, name: str) -> float:
        passed = self.passed[name]
        return passed[-1] if passed else 0.0

    def _second(self, now: int) -> None:
        if now - self.second < S:
            return
        seconds, self.second = (now - self.second) / S, now
        cores = self._cores()
        for limit in self.terms.limits:
            asked = self.asked.pop(limit.name, 0.0) / seconds
            if limit.kind == "work":
                asked /= max(1, cores)
            self.forecasts[limit.name].second(asked)
            self.passed[limit.name].append(min(asked, self.ours(limit, now)))
            if limit.hard():
                need = self.forecasts[limit.name].need() - self.leases.floor(self.whole(limit))
                self.leases.want[limit.name] = max(0.0, need)
                if need > self.leases.amount(limit.name, now):
                    self.leases.hurry(now)
            else:
                total = sum(
                    dict(k.row.rates).get(limit.name, 0.0) for k in self.counters.rows.values()
                )
                over = total - self.whole(limit)
                self.worst[limit.name] = max(self.worst.get(limit.name, 0.0), over)
                promised = overshoot(self.terms, limit, self.whole(limit), self.leases.fleet)
                if over > promised + 1e-9:
                    self.breaches += 1
                    self.node.log(
                        "limits",
                        f"{limit.name}: {total:.1f} a second were let pass, {over:.1f} "
                        f"over; {promised:.1f} are promised at the most",
                    )

    def _cores(self) -> int:
        sizes, known = (
            dict(self.node.config.settings.kind_cores),
            self.node.dispatcher.endpoint_table.by_number.values(),
        )
        return sum(
            sizes.get(k.target.kind) or max(1, round(k.target.weight))
            for k in known
            if k.target.state is EndpointState.READY
        )

    def _send(self) -> None:
        out, self.leases.out = self.leases.out, []
        for to, message in out:
            self.membership.send("limits", to, self.encoder.encode(message))
        self.membership.flush()

    def _tell(self, now: int) -> None:
        """The module goes by what we hold now, if that has moved."""
        self.ends = self.leases.ends(now)
        ours = {limit.name: self.ours(limit, now) for limit in self.terms.limits if limit.hard()}
        if any(abs(ours[n] - self.told.get(n, -1.0)) > CHANGED * max(ours[n], 1e-9) for n in ours):
            self.told = ours
            self.node.dispatcher.refresh_settings()

    def _heard(self, now: int, sender: str, body: bytes) -> None:
        message = self.decoder.decode(body)
        if isinstance(message, Rows):
            self.counters.receive(now, message, self.membership.names())
            return
        self.leases.receive(now, sender, message)
        self._send()
        if isinstance(message, LeaseGrant):
            self._write_down(now)
            self._tell(now)

    def _write_down(self, now: int) -> None:
        for name in self.leases.limits:
            lease = self.leases.held.get(name)
            amount, until = (lease.amount, lease.until) if lease is not None else (0.0, now)
            if self.written.get(name) != (amount, until):
                self.written[name] = amount, until
                self.record.append((now, name, amount, until))

    # --- operators ---

    def call(self, method: str, path: str) -> Answer | None:
        parts = path.strip("/").split("/")
        if parts[0] != "limits":
            return None
        if path in ("/limits", "/limits/record"):
            if method != "GET":
                return no(405, "this call is a GET", "GET")
            return yes(self.status() if path == "/limits" else list(self.record))
        if method != "POST":
            return no(405, "this call is a POST", "POST")
        if parts[1] == "recall" and len(parts) == 4 and parts[2] in self.leases.limits:
            return self._recall(parts[2], parts[3], 0.0)
        if parts[1] == "lend" and len(parts) == 5 and parts[2] in self.leases.limits:
            try:
                return self._recall(parts[2], parts[3], max(0.0, float(parts[4])))
            except ValueError:
                return no(400, f"{parts[4][:40]!r} is no amount")
        return no(404, "no such call, or no such limit")

    def _recall(self, limit: str, address: str, most: float) -> Answer:
        """Here alone, if we are its home: `lend` caps a holder at an amount, `recall` at none."""
        name = next((n for n in self.membership.names() if n.startswith(f"{address}/")), "")
        if not name:
            return no(404, f"{address[:60]} is no member")
        if self.leases.home(limit) != self.leases.me:
            return no(
                409, f"the home of {limit} is {self.leases.home(limit).split('/')[0]}: say it there"
            )
        self.leases.caps[limit, name] = most
        return yes({"limit": limit, "holder": address, "at_most": most})

    def status(self) -> dict[str, Any]:
        now, leases = self.node.clock.now(), self.leases
        told = []
        for limit in self.terms.limits:
            whole, lease = self.whole(limit), leases.held.get(limit.name)
            live = lease is not None and now < lease.until
            said: dict[str, Any] = {
                "name": limit.name,
                "kind": limit.kind,
                "hard": limit.hard(),
                "whole": whole,
                "ours": round(self.ours(limit, now), 6),
                "asked": round(self.forecasts[limit.name].last, 6),
                "stale_s": stale(self.terms, limit),
                "overshoot_promised": overshoot(self.terms, limit, whole, leases.fleet),
            }
            if limit.hard():
                home = leases.home(limit.name)
                said |= {
                    "floor": leases.floor(whole),
                    "held": lease.amount if live and lease else 0.0,
                    "left_s": round((lease.until - now) / S, 2) if live and lease else 0.0,
                    "want": round(leases.want.get(limit.name, 0.0), 6),
                    "home": home.split("/")[0],
                    "floor_in_force": not live,
                }
                if home == leases.me:
                    said["lent"] = self._lent(limit.name, now)
            else:
                age = self.counters.may(
                    now, limit.name, whole, leases.fleet, self.membership.names()
                )[1]
                said |= {
                    "age_s": round(age / S, 2),
                    "overshoot_seen": round(self.worst.get(limit.name, 0.0), 3),
                }
            told.append(said)
        return {
            "me": self.membership.detector.me.address,
            "limits": told,
            "breaches": self.breaches,
            "figures": {**leases.figures, **self.counters.figures},
        }

    def _lent(self, limit: str, now: int) -> dict[str, float]:
        return {
            holder.split("/")[0]: round(entry.out(now), 6)
            for home in self.leases.homes.values()
            for holder, entry in home.books.get(limit, {}).items()
        }

    def figures(self) -> bytes:
        now, limits = self.node.clock.now(), self.terms.limits
        values: dict[str, tuple[str, list[float]]] = {
            "ours": (
                "What this broker may use of a limit, a second.",
                [self.ours(li, now) for li in limits],
            ),
            "asked": (
                "What was asked of it in the last second.",
                [self.forecasts[li.name].last for li in limits],
            ),
            "held": ("What of it is leased.", [self.leases.amount(li.name, now) for li in limits]),
            "overshoot_promised": (
                "By how much all may be over.",
                [overshoot(self.terms, li, self.whole(li), self.leases.fleet) for li in limits],
            ),
            "overshoot_seen": (
                "By how much all were seen to be over.",
                [self.worst.get(li.name, 0.0) for li in limits],
            ),
        }
        lines = list[str]()
        for key, (help, told) in values.items():
            name = f"edge_proxy_limit_{key}"
            lines += [
                f"# HELP {name} {help}",
                f"# TYPE {name} gauge",
                *(
                    f'{name}{{limit="{li.name}"}} {v:.6g}'
                    for li, v in zip(limits, told, strict=True)
                ),
            ]
        lines += [
            "# HELP edge_proxy_limit_events_total What became of leases.",
            "# TYPE edge_proxy_limit_events_total counter",
            *(
                f'edge_proxy_limit_events_total{{event="{k}"}} {n}'
                for k, n in {**self.leases.figures, "breaches": self.breaches}.items()
            ),
        ]
        return ("\n".join(lines) + "\n").encode()


@dataclass(slots=True)
class HeldOut:
    """An engine under a verdict. ``heard``: by when all others have been told what it rests on."""

    heard: int
    probe_at: int


class Judging:
    """One broker's part of the verdicts, and of the operators' words."""

    def __init__(self, node: Host, membership: MembershipService, terms: VerdictTerms) -> None:
        self.node, self.membership, self.terms = node, membership, terms
        self.evidence = Evidence(membership.name, node.config.settings.zone, terms)
        self.book = Wordbook(membership.detector.me.address)
        self.held: dict[Engine, HeldOut] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: msgspec.msgpack.Decoder[Reports | Words] = msgspec.msgpack.Decoder(
            Reports | Words
        )
        self.round = node.clock.now()
        self.answered: dict[str, int] = {}
        membership.subscribe("verdicts", self._heard)
        node.dispatcher.outcome = self._outcome
        node.dispatcher.witness.append(self._witness)
        node.dispatcher.said = self._said
        node.dispatcher.more_figures.append(self.figures)
        node.dispatcher.wheel.at(self.round + LOOK, self._look)

    # --- what is seen here ---

    def _engine(self, number: int) -> Engine | None:
        known = self.node.dispatcher.endpoint_table.by_number.get(number)
        return None if known is None else Engine(known.target.uid, known.target.started_ns // MS)

    def _number(self, engine: Engine) -> int | None:
        known = self.node.dispatcher.endpoint_table.by_uid.get(engine.uid)
        return (
            None if known is None or known.target.started_ns // MS != engine.boot else known.number
        )

    def _outcome(self, number: int, result: AttemptResult) -> None:
        if (result in GOOD or result in BAD) and (engine := self._engine(number)) is not None:
            self.evidence.outcome(self.node.clock.now(), engine, result in GOOD)

    def _witness(self, number: int, result: AttemptResult) -> None:
        """Probes tell of those that are held out alone: a report of load is no answer to a query.
        Danger: who comes to a verdict first and takes an answer for a proof before the others have
        heard of the failures takes from them what their verdict would rest on.
        """
        engine, now = self._engine(number), self.node.clock.now()
        if engine is not None and (held := self.held.get(engine)) is not None and now >= held.heard:
            self.evidence.outcome(now, engine, result is AttemptResult.SERVED)

    # --- time ---

    def _look(self) -> None:
        now = self.node.clock.now()
        self.node.dispatcher.wheel.at(now + LOOK, self._look)
        try:
            self.evidence.me = self.membership.name
            if now - self.round >= self.terms.told:
                self.round = now
                self._tell(now)
            self._judge(now)
            self._probe(now)
        except Exception as error:  # a fault here must not end the wheel's turn
            self.node.log("fault", f"verdicts: {type(error).__name__}: {error}")

    def _tell(self, now: int) -> None:
        members = self.membership.names()
        self.evidence.report(now)
        others = [m for m in members if m != self.membership.name]
        draw = self.membership.detector.draw
        rows = [r for r in self.evidence.told(now, 16) if r.seen]
        words = Words(self.book.digest(), self.book.told(8))
        for to in draw.sample(others, min(3, len(others))):
            for body in packed(rows, lambda part: self.encoder.encode(Reports(tuple(part)))):
                self.membership.send("verdicts", to, body)
            if self.book.words or words.words:
                self.membership.send("verdicts", to, self.encoder.encode(words))
        if not self.book.words and others and draw.random() < 0.25:  # one that has just come asks
            self.membership.send("verdicts", draw.choice(others), self.encoder.encode(words))
        self.membership.flush()

    def _judge(self, now: int) -> None:
        engines = {
            Engine(k.target.uid, k.target.started_ns // MS): k.target.zone
            for k in self.node.dispatcher.endpoint_table.by_number.values()
            if k.target.state is EndpointState.READY and not self._pinned(k.target.uid)
        }
        begun, lifted = self.evidence.judge(now, self.membership.names(), engines)
        for verdict in begun:
            self.node.log(
                "verdicts",
                f"{verdict.engine.uid[:80]}: {verdict.kind.value}, by "
                f"{len(verdict.by)} observers, held out for "
                f"{(verdict.until - now) / S:.0f} s at least",
            )
            self._hold(now, verdict.engine, True)
        for engine in lifted:
            self.node.log("verdicts", f"{engine.uid[:80]}: let in again")
            self._hold(now, engine, False)

    def _pinned(self, uid: str) -> bool:
        word = self.book.words.get(uid)
        return word is not None and word.value == "pinned"

    def _hold(self, now: int, engine: Engine, out: bool) -> None:
        """As on an operator's word, which stands above it. Let in again it is no colder than it
        was.
        """
        number = self._number(engine)
        if out:
            heard = now + rounds(len(self.membership.names())) * self.terms.told
            self.held[engine] = HeldOut(heard, heard)
        else:
            self.held.pop(engine, None)
        if number is not None and not self.node.dispatcher.administrative_states.is_disabled(
            engine.uid
        ):
            self.node.dispatcher.report_event(
                AdministrativeChange(number, out, now if out else engine.boot * MS)
            )

    def _probe(self, now: int) -> None:
        """What is held out is asked by as many as it takes to let it in, each once in a while."""
        members = sorted(self.membership.names())
        for engine, held in list(self.held.items()):
            number = self._number(engine)
            if number is None or now < held.probe_at:
                continue
            held.probe_at = now + PROBED
            place = members.index(self.membership.name) if self.membership.name in members else 0
            turn = (now // PROBED * self.terms.observers) % max(1, len(members))
            if (place - turn) % max(1, len(members)) < self.terms.observers:
                self.node.dispatcher.probe(number)

    # --- what others say ---

    def _heard(self, now: int, sender: str, body: bytes) -> None:
        message = self.decoder.decode(body)
        if isinstance(message, Reports):
            self.evidence.receive(now, message, self.membership.names())
            return
        for word in self.book.hear(message.words, rounds(len(self.membership.names()))):
            self._act(word.uid, word.value)
        if message.digest != self.book.digest() and now - self.answered.get(sender, 0) >= S:
            self.answered = {s: at for s, at in self.answered.items() if now - at < S}
            self.answered[sender] = now
            mine = list(self.book.words.values())
            for part in packed(mine, lambda words: self.encoder.encode(Words(b"", tuple(words)))):
                self.membership.send("verdicts", sender, part)
            if not message.answer:  # it may know what we don't
                self.membership.send(
                    "verdicts", sender, self.encoder.encode(Words(self.book.digest(), (), True))
                )

    def _said(self, uid: str, out: bool) -> None:
        """An operator's word, here."""
        word = self.book.words.get(uid)
        if word is None or word.value != ("out" if out else "back"):
            self.book.say(uid, "out" if out else "back", rounds(len(self.membership.names())))

    def _act(self, uid: str, value: str) -> None:
        now = self.node.clock.now()
        known = self.node.dispatcher.administrative_states.states.get(uid)
        self._free(uid)
        if (
            known is None
            and value != "out"
            or known is not None
            and known.disabled == (value == "out")
        ):
            return
        self.node.dispatcher.apply_administrative_state(
            uid, BanWord(now if known is None else max(now, known.at_ns + 1), value == "out")
        )

    def _free(self, uid: str) -> None:
        """Operators have spoken: no verdict stands beside that."""
        now = self.node.clock.now()
        for engine in [e for e in self.held if e.uid == uid]:
            self.evidence.verdicts.pop(engine, None)
            self.evidence.own.pop(engine, None)
            self._hold(now, engine, False)

    # --- operators ---

    def call(self, method: str, path: str) -> Answer | None:
        parts = path.strip("/").split("/")
        if parts[0] != "verdicts":
            return None
        if len(parts) == 1:
            return yes(self.status()) if method == "GET" else no(405, "this call is a GET", "GET")
        if method != "POST":
            return no(405, "this call is a POST", "POST")
        value = {"pin": "pinned", "clear": "back", "out": "out"}.get(parts[1])
        if value is None or len(parts) != 3:
            return no(404, "no such call")
        uid = parts[2]
        if uid not in self.node.dispatcher.endpoint_table.by_uid and uid not in self.book.words:
            return no(404, "no data engine has this id")
        assert value in VALUES
        word = self.book.say(uid, value, rounds(len(self.membership.names())))
        self._act(uid, value)
        self.node.log("operator", f"{value}: {uid[:80]!r} for all brokers, version {word.version}")
        return yes({"uid": uid, "word": value, "version": word.version})

    def status(self) -> dict[str, Any]:
        now = self.node.clock.now()
        return {
            "verdicts": [
                {
                    "uid": v.engine.uid,
                    "kind": v.kind.value,
                    "zone": v.zone,
                    "observers": len(v.by),
                    "for": round((now - v.since) / S, 2),
                    "at_least": round((v.until - now) / S, 2),
                    "evidence_age": round((now - v.newest) / S, 2),
                    "relapses": v.relapses,
                }
                for v in self.evidence.verdicts.values()
            ],
            "words": [
                {"uid": w.uid, "word": w.value, "version": w.version, "by": w.by}
                for w in self.book.words.values()
            ],
            "lost": [
                {"uid": w.uid, "word": w.value, "version": w.version, "by": w.by}
                for w in self.book.lost.values()
            ],
            "figures": self.evidence.figures,
        }

    def figures(self) -> bytes:
        lines = [
            "# HELP edge_proxy_verdicts Engines that shared verdicts hold out.",
            "# TYPE edge_proxy_verdicts gauge",
            f"edge_proxy_verdicts {len(self.evidence.verdicts)}",
            "# HELP edge_proxy_verdict_events_total Verdicts begun, lifted, or over the part.",
            "# TYPE edge_proxy_verdict_events_total counter",
            *(
                f'edge_proxy_verdict_events_total{{event="{k}"}} {n}'
                for k, n in self.evidence.figures.items()
            ),
        ]
        return ("\n".join(lines) + "\n").encode()
