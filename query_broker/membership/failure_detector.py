"""Who is there: messages and ticks in, messages and changes out. Pure; time is the caller's, in
nanoseconds.

Random-order probing with indirect probes and gossip that rides on both is SWIM's (Das, Gupta,
Motivala 2002); suspicions that shrink as others confirm them, doubt in ourselves and telling a
suspect first are Lifeguard's (Dadgar, Phillips, Currey 2018). Ours: incarnations and leaves that
only their owner can prove (`chain`), witnesses for a suspect that speaks but can't hear, the word
of a removal as no more than a confirmation, and the doubt of one that stood still.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from .incarnations import LENGTH, MOST_AHEAD, Chain, proven, step
from .local_health import Health, RoundTrip
from .member_table import Gossip, Peer, Suspicion, digest
from .messages import Ack, Claim, Identity, Message, Nack, Ping, PingReq, Status
from .settings import CONFIRMERS, HELPERS, LONGEST, MembersTerms, cap, suspicion

S = 1_000_000_000
MOST_PEERS = 4_096
MOST_OPEN = 16  # probes and relays under way
LATE = 10 * S  # an answer that comes so late still says that somebody is there
AGAIN = 10  # intervals between two looks at one that is held to be gone
ROUNDS = 2  # of helpers, and of further pings, before a probe has failed
EXTRA = 4.0  # probes of one suspect, an interval, by all members beside those of their turns
FADING = 60  # intervals
RECENT = 10  # intervals: what was seen since stands in the verdict


@dataclass(slots=True)
class Probe:
    target: Identity
    sent: int
    wait: int  # for one answer
    indirect_at: int
    fail_at: int
    helpers: set[str] = field(default_factory=set)
    rounds: int = 0  # of helpers
    words: int = 0  # nacks


@dataclass(slots=True)
class Relay:
    """A probe on another's behalf."""

    asker: Identity
    seq: int
    target: Identity
    until: int


@dataclass(frozen=True, slots=True)
class Change:
    id: Identity
    status: Status
    why: str


class Detector:
    """``out``: messages, and to whom, an empty boot for whoever is there; ``syncs``: addresses
    whose tables are to be asked for; ``changes``: what became of members; the caller empties all
    three.
    """

    def __init__(
        self,
        address: str,
        terms: MembersTerms,
        chain: Chain,
        draw: random.Random,
        now: int,
        place: int = 0,
        zone: str = "",
        speaks: int = 1,
    ) -> None:
        self.terms, self.chain, self.draw, self.speaks = terms, chain, draw, speaks
        self.me = Identity(address, chain.boot)
        self.place, self.zone, self.inc, self.left = place, zone, 0, False
        self.table: dict[Identity, Peer] = {}
        self.suspicions: dict[Identity, Suspicion] = {}
        self.gossip, self.health, self.trip = Gossip(), Health(terms.interval), RoundTrip()
        self.ring: deque[Identity] = deque()
        self.probes: dict[int, Probe] = {}
        self.late: dict[int, tuple[Identity, int]] = {}
        self.relays: dict[int, Relay] = {}
        self.out: list[tuple[Identity, Message]] = []
        self.syncs: list[str] = []
        self.changes: list[Change] = []
        self.seeds: list[str] = []
        self.figures: Counter[str] = Counter()
        self.size, self.joined, self.differs = 1, False, 0
        self.seed_tries, self.called = 0, -1
        self.seed_at = now
        self.probe_at = now + int(draw.random() * terms.interval)
        self.sync_at = now + int((0.5 + draw.random()) * terms.sync)
        self.again_at = now + int((0.5 + draw.random()) * AGAIN * terms.interval)
        self.forget_at = now + terms.forget // 4
        self._digest: bytes | None = None
        self._own: Claim | None = None

    # --- what others read ---

    def own(self) -> Claim:
        if self._own is None:
            secret = self.chain.secret if self.left else self.chain.leave
            self._own = Claim(
                self.me,
                self.inc,
                Status.LEFT if self.left else Status.ALIVE,
                self.chain.proof(self.inc),
                secret,
                "",
                self.place,
                self.zone,
                self.speaks,
            )
        return self._own

    def there(self) -> list[Identity]:
        return [p.id for p in self.table.values() if p.there()]

    def digest(self) -> bytes:
        if self._digest is None:
            self._digest = digest([*self.there(), *([] if self.left else [self.me])])
        return self._digest

    def due(self) -> int:
        """When `tick` is needed next."""
        times = [self.probe_at, self.sync_at, self.again_at, self.forget_at]
        times += [t for p in self.probes.values() for t in (p.indirect_at, p.fail_at)]
        times += [r.until for r in self.relays.values()]
        if self.seeds and not self.joined:
            times.append(self.seed_at)
        return min([*times, *(self._deadline(i, s) for i, s in self.suspicions.items())])

    def deadline(self, id: Identity) -> int:
        """When the suspicion of this one ends."""
        return self._deadline(id, self.suspicions[id])

    def verdict(self, peer: Peer, now: int) -> str:
        """In words, from what was seen within the last intervals."""
        since = now - RECENT * self.terms.interval
        if peer.status is Status.LEFT:
            return "has left"
        if peer.status is Status.DEAD:
            return "dead: nobody has heard it"
        if peer.acked > since:
            return "reached"
        if peer.via > since:
            return "its answers don't reach us" if peer.hears_us > since else "we can't reach it"
        if peer.heard > since:
            return "it speaks and doesn't hear us"
        if peer.fresh > since and peer.status is Status.SUSPECT:
            return "others hear it, we don't"
        return "suspect: nobody reaches it" if peer.status is Status.SUSPECT else "not asked yet"

    # --- what comes in ---

    def preload(self, others: Iterable[Detector]) -> None:
        """As if it had been there for long: for simulations."""
        for other in others:
            if other is not self:
                own = other.own()
                peer = Peer(
                    own.id, own.inc, own.proof, own.leave, Status.ALIVE, 0, own.place, own.zone
                )
                self.table[own.id] = peer
                self.ring.append(own.id)
        self.draw.shuffle(self.ring)
        self.joined, self.size = True, 1 + len(self.table)

    def receive(self, now: int, to: bytes, count: int, sender: Claim, message: Message) -> None:
        """``to``, ``count``: as the envelope has them; the caller has checked that the count is
        new.
        """
        if sender.id == self.me or self.left:
            return
        if to != self.me.boot:
            # Danger: what was meant for the process before us may be years old: it gets an answer
            # that says who is here, and proves nothing but what its claims prove.
            if isinstance(message, Ping):
                self.merge(now, sender)
                self._merge_all(now, message.claims)
                self._ack(sender.id, message.seq, -1)
            return
        self.merge(now, sender)
        peer = self.table.get(sender.id)
        if peer is None:
            return  # no place, or no proof
        peer.heard = now
        if count > peer.count:
            peer.count, peer.fresh = count, now
            if peer.status is Status.SUSPECT and not self.terms.plain:
                self.gossip.put(peer.claim(Status.HEARD, self.me.address))
        match message:
            case Ping(seq, behalf, claims):
                self._merge_all(now, claims)
                heard = max(
                    (p.heard for p in self.table.values() if behalf and p.id.address == behalf),
                    default=0,
                )
                self._ack(sender.id, seq, (now - heard) // 1_000_000 if heard else -1)
            case PingReq(seq, target, claims):
                self._merge_all(now, claims)
                self._relay(now, sender.id, seq, target)
            case Ack():
                self._merge_all(now, message.claims)
                self._acked(now, sender.id, message)
            case Nack(seq):
                if (probe := self.probes.get(seq)) is not None:
                    probe.words += 1
                    if (suspect := self.table.get(probe.target)) is not None:
                        suspect.row(sender.id.address, False, now)

    def _merge_all(self, now: int, claims: Iterable[Claim]) -> None:
        for claim in claims:
            self.merge(now, claim)

    def merge(self, now: int, claim: Claim, ahead: int = MOST_AHEAD) -> None:
        """Take in what somebody says of a member. Nothing is believed of an incarnation that is not
        proven."""
        if claim.id == self.me:
            return self._about_us(claim)
        peer = self.table.get(claim.id)
        if peer is None:
            return self._stranger(now, claim, ahead)
        if claim.inc < peer.inc or peer.status is Status.LEFT:
            return
        secret = claim.status is Status.LEFT
        if secret and (len(claim.leave) > 16 or step(claim.leave) != peer.leave):
            self.figures["unproven"] += 1
            return
        newer = claim.inc > peer.inc
        if newer:
            if not proven(
                claim.id.boot, claim.inc, claim.proof, peer.leave, (peer.inc, peer.proof), ahead
            ):
                self.figures["unproven"] += 1
                return
            peer.inc, peer.proof = claim.inc, claim.proof
        if claim.status is Status.ALIVE:
            if newer:
                peer.place, peer.zone, peer.speaks = claim.place, claim.zone, claim.speaks
                self._refuted(now, peer)
            return
        if secret:
            peer.leave = claim.leave
            self._set(now, peer, Status.LEFT, "by its own word")
            self.gossip.put(claim)
        elif claim.status is Status.HEARD:
            if peer.status is Status.SUSPECT and claim.count > peer.count:
                peer.count, peer.fresh = claim.count, now
                self.gossip.put(claim)
        elif self.terms.plain and claim.status is Status.DEAD and peer.status is not Status.DEAD:
            self._remove(now, peer, claim.by)
        elif peer.status is Status.ALIVE or newer and peer.status is Status.DEAD:
            # Danger: one member that lies, or has just woken, would remove whom it likes: the word
            # that one is dead is no more than a suspicion, which it can still refute.
            if newer and peer.status is Status.DEAD:
                self._refuted(now, peer)  # it had come back, and is suspected again
            self._suspect(now, peer, claim.by)
        elif peer.status is Status.SUSPECT:
            self._confirm(peer, claim.by)

    def _about_us(self, claim: Claim) -> None:
        """Refute it. Danger: only the present incarnation counts, or old gossip would drive ours up
        for ever.
        """
        if (
            claim.status in (Status.SUSPECT, Status.DEAD)
            and claim.inc >= self.inc
            and not self.left
        ):
            if self.inc + 1 >= self.chain.length:
                self.chain = Chain()  # the last is used up: we are another from now on
                self.me, self.inc = Identity(self.me.address, self.chain.boot), -1
            self.inc += 1
            self._own = self._digest = None
            self.figures["refuted"] += 1
            self.health.doubt()
            self.gossip.put(self.own())

    def _stranger(self, now: int, claim: Claim, ahead: int) -> None:
        if claim.status is Status.HEARD or claim.id.address == self.me.address:
            return
        leave = claim.leave
        if claim.status is Status.LEFT:
            leave = step(leave) if len(leave) <= 16 else b""
        if len(self.table) >= MOST_PEERS or not proven(
            claim.id.boot, claim.inc, claim.proof, leave, None, ahead
        ):
            self.figures["unproven"] += 1
            return
        peer = Peer(
            claim.id,
            claim.inc,
            claim.proof,
            claim.leave,
            claim.status,
            now,
            claim.place,
            claim.zone,
            claim.speaks,
            claim.by,
        )
        self.table[claim.id] = peer
        if not peer.there():
            return  # remembered, so that it can't come back by old news
        if claim.status is Status.SUSPECT:
            peer.status = Status.ALIVE
        self.ring.insert(self.draw.randrange(len(self.ring) + 1), claim.id)
        self.gossip.put(peer.claim(Status.ALIVE))
        self._changed(peer, "has come")
        if claim.status is Status.SUSPECT:
            self._suspect(now, peer, claim.by)

    # --- what becomes of a member ---

    def _changed(self, peer: Peer, why: str) -> None:
        self._digest = None
        self.size = 1 + sum(p.there() for p in self.table.values())
        self.changes.append(Change(peer.id, peer.status, why))

    def _set(self, now: int, peer: Peer, status: Status, why: str) -> None:
        was = peer.there()
        peer.status, peer.since = status, now
        if status is not Status.SUSPECT:
            self.suspicions.pop(peer.id, None)
        if peer.there() and not was:
            self.ring.insert(self.draw.randrange(len(self.ring) + 1), peer.id)
        self._changed(peer, why)

    def _suspect(self, now: int, peer: Peer, by: str, quietly: bool = False) -> None:
        peer.by = by
        self.figures["suspicions"] += 1
        self.suspicions[peer.id] = Suspicion(now, now, {by})
        self._set(now, peer, Status.SUSPECT, f"suspected by {by}")
        if not quietly:
            self.gossip.put(peer.claim(Status.SUSPECT, by))

    def _confirm(self, peer: Peer, by: str) -> None:
        """Danger: a liar that passes on one suspicion under ever new names can't make it shorter
        than the shortest, in which a living one is told of it and refutes it.
        """
        doubted = self.suspicions[peer.id]
        if by not in doubted.by and len(doubted.by) <= CONFIRMERS:
            doubted.by.add(by)
            self.gossip.put(peer.claim(Status.SUSPECT, by))

    def _refuted(self, now: int, peer: Peer) -> None:
        if peer.status is Status.ALIVE:
            return self.gossip.put(peer.claim(Status.ALIVE))
        self.figures["false_suspicions" if peer.status is Status.SUSPECT else "false_removals"] += 1
        peer.by = ""
        self._wrongly(now, peer)
        self._set(now, peer, Status.ALIVE, "is there after all")
        self.gossip.put(peer.claim(Status.ALIVE))

    def _remove(self, now: int, peer: Peer, by: str, why: str = "") -> None:
        peer.by, peer.removed = by, peer.removed + 1
        self.figures["removals"] += 1
        self.figures["removal_ms"] += max(0, now - (peer.fresh or peer.since)) // 1_000_000
        self._set(now, peer, Status.DEAD, why or f"removed by {by}")
        self.gossip.put(peer.claim(Status.DEAD, by))

    def _deadline(self, id: Identity, doubted: Suspicion) -> int:
        if self.terms.plain:
            return doubted.begun + suspicion(self.terms.interval, self.size, CONFIRMERS)
        wrongly = self.table[id].doubted(doubted.born, FADING * self.terms.interval)
        return doubted.begun + self.health.slowed(
            suspicion(self.terms.interval, self.size, len(doubted.by) - 1, wrongly)
        )

    def _wrongly(self, now: int, peer: Peer) -> None:
        peer.wrongly = min(LONGEST, peer.doubted(now, FADING * self.terms.interval) + 1)
        peer.wrongly_at = now

    def _expire(self, now: int) -> None:
        for id, doubted in list(self.suspicions.items()):
            if now < self._deadline(id, doubted):
                continue
            peer = self.table[id]
            if self.terms.plain:
                self._remove(now, peer, self.me.address)
            elif peer.heard > doubted.begun:
                # it speaks to us: that it does not hear is no end
                doubted.begun = doubted.born = now
                self._wrongly(now, peer)
            elif peer.fresh > doubted.begun and now - doubted.born < cap(
                self.terms.interval, self.size
            ):
                doubted.begun = now  # others hear it
                self._wrongly(now, peer)
            elif now < self.health.recovers_at:
                doubted.begun = now  # we stood still, and have heard nobody since
            else:
                self._remove(now, peer, self.me.address)

    # --- probes ---

    def _send(self, to: Identity, message: Message) -> None:
        self.out.append((to, message))

    def _claims_for(self, to: Identity) -> tuple[Claim, ...]:
        """One that is doubted hears of it first, so that it can refute it."""
        peer = self.table.get(to)
        doubted = peer is not None and peer.status in (Status.SUSPECT, Status.DEAD)
        return self.gossip.take(self.size, [peer.claim()] if doubted and peer is not None else [])

    def _seq(self) -> int:
        """Danger: an answer that could be guessed would keep a dead one alive."""
        return self.draw.getrandbits(62)

    def _ack(self, to: Identity, seq: int, heard: int) -> None:
        self._send(to, Ack(seq, self.me, heard, self.digest(), self._claims_for(to)))

    def _next(self) -> Identity | None:
        for _ in range(len(self.ring)):
            id = self.ring.popleft()
            if (peer := self.table.get(id)) is None or not peer.there():
                continue
            self.ring.append(id)
            return id
        return None

    def _probe(self, now: int, target: Identity) -> None:
        peer = self.table[target]
        open_ = [p.target for p in self.probes.values()]
        if target in open_ or len(open_) >= MOST_OPEN:
            return
        wait = self.health.slowed(peer.trip.time_out(self.terms.interval, self.trip))
        if self.terms.plain:
            wait = self.terms.interval * 2 // 5
        seq = self._seq()
        self.probes[seq] = Probe(
            target,
            now,
            wait,
            now + wait,
            now + max(self.health.slowed(self.terms.interval), 3 * wait),
        )
        self._send(target, Ping(seq, "", self._claims_for(target)))

    def _help(self, now: int, seq: int, probe: Probe) -> None:
        probe.rounds += 1
        last = self.terms.plain or probe.rounds >= ROUNDS
        probe.indirect_at = probe.fail_at if last else now + probe.wait
        if not self.terms.plain:
            # One datagram of three may be lost: a second one costs less than a suspicion of one
            # that is there.
            self._send(probe.target, Ping(seq, "", self._claims_for(probe.target)))
        able = [
            p.id
            for p in self.table.values()
            if p.status is Status.ALIVE
            and p.id != probe.target
            and p.id.address not in probe.helpers
        ]
        for helper in self.draw.sample(able, min(HELPERS, len(able))):
            probe.helpers.add(helper.address)
            self._send(helper, PingReq(seq, probe.target, self._claims_for(helper)))

    def _relay(self, now: int, asker: Identity, seq: int, target: Identity) -> None:
        if len(self.relays) >= MOST_OPEN or target == self.me:
            return
        peer = self.table.get(target)
        wait = (self.trip if peer is None else peer.trip).time_out(self.terms.interval, self.trip)
        mine = self._seq()
        self.relays[mine] = Relay(asker, seq, target, now + max(wait, self.terms.interval * 2 // 5))
        self._send(target, Ping(mine, asker.address, self._claims_for(target)))

    def _acked(self, now: int, sender: Identity, ack: Ack) -> None:
        relay = self.relays.pop(ack.seq, None)
        if relay is not None:
            self.out.append((relay.asker, Ack(relay.seq, ack.who, ack.heard, self.digest(), ())))
            return
        probe = self.probes.pop(ack.seq, None)
        found = self.late.pop(ack.seq, None) if probe is None else (probe.target, probe.sent)
        if found is None:
            return
        target, sent = found
        if self.health.reassured():
            # Danger: as our doubt falls, so do the times that we give others: what was suspected
            # while we heard nobody would end at once.
            for doubted in self.suspicions.values():
                doubted.begun = now
        self.joined = True
        if ack.seq == self.called:
            self.syncs.append(sender.address)
        if ack.who.address == target.address and ack.who != target:
            # Another process has the address: the one that we asked for is no more.
            if (gone := self.table.get(target)) is not None and gone.there():
                self._remove(now, gone, self.me.address, f"{target.address} is another's now")
            return
        peer = self.table.get(target)
        if peer is None or ack.who != target:
            return
        if sender == target:
            peer.acked = now
            peer.trip.learn(now - sent)
            self.trip.learn(now - sent)
            self._compare(now, ack)
        else:
            peer.via, peer.fresh = now, max(peer.fresh, now)
            peer.row(sender.address, True, now)
            if 0 <= ack.heard <= RECENT * self.terms.interval // 1_000_000:
                peer.hears_us = now

    def _compare(self, now: int, ack: Ack) -> None:
        """Two that hold different views though no news is under way ask each other for the
        whole.
        """
        self.differs = self.differs + 1 if ack.digest and ack.digest != self.digest() else 0
        if self.differs >= 4 and not self.gossip.waiting and not self.suspicions:
            self.differs = 0
            self.sync_at = min(self.sync_at, now)

    def _failed(self, now: int, seq: int, probe: Probe) -> None:
        del self.probes[seq]
        self.late[seq] = (probe.target, probe.sent)
        while len(self.late) > MOST_OPEN:
            del self.late[next(iter(self.late))]
        peer = self.table.get(probe.target)
        if peer is None or not peer.there():
            return
        if not self.terms.plain:
            if probe.words:
                self.health.failed = 0
            elif probe.helpers:
                self.health.failed += 1
                # not one helper could be reached either
                self.health.doubt(min(2, len(probe.helpers)))
            if now < self.health.recovers_at or probe.sent <= peer.via:
                return
        if peer.status is Status.ALIVE:
            # Danger: one that is cut off would accuse everybody: it keeps that to itself.
            self._suspect(now, peer, self.me.address, self.health.isolated(len(self.table)))
        elif self.me.address not in self.suspicions[peer.id].by:
            self._confirm(peer, self.me.address)

    # --- time ---

    def tick(self, now: int, late: int = 0) -> None:
        """``late``: how far behind `due` this comes."""
        if not self.terms.plain and self.health.stood_still(now, late):
            self.probes.clear()
            self.relays.clear()
            for doubted in self.suspicions.values():
                doubted.begun += late
        for seq, relay in list(self.relays.items()):
            if now >= relay.until:
                del self.relays[seq]
                self.out.append((relay.asker, Nack(relay.seq)))
        for seq, probe in list(self.probes.items()):
            if now >= probe.fail_at:
                self._failed(now, seq, probe)
            elif now >= probe.indirect_at:
                self._help(now, seq, probe)
        self._expire(now)
        if now >= self.probe_at:
            # Not slowed by doubt, as time-outs are: one that hears nobody shows by its probes that
            # it is there.
            self.probe_at = now + self.terms.interval
            if (target := self._next()) is not None:
                self._probe(now, target)
            if not self.terms.plain:
                for id in list(self.suspicions):
                    if self.draw.random() < EXTRA / self.size:
                        self._probe(now, id)
        self._rejoin(now)
        if now >= self.sync_at:
            self.sync_at = now + int((0.5 + self.draw.random()) * self.terms.sync)
            if others := [p.id.address for p in self.table.values() if p.status is Status.ALIVE]:
                self.syncs.append(self.draw.choice(others))
        if now >= self.forget_at:
            self.forget_at = now + self.terms.forget // 4
            for peer in [p for p in self.table.values() if not p.there()]:
                if now - peer.since > self.terms.forget:
                    del self.table[peer.id]

    def _rejoin(self, now: int) -> None:
        """Seeds until somebody has answered; then, seldom, one that is held to be gone: a healed
        cut is found by it, and each member asks one at a time, however many were lost.
        """
        if self.seeds and not self.joined and now >= self.seed_at:
            self.seed_tries = min(5, self.seed_tries + 1)
            spread = 0.5 + self.draw.random() * (1 << self.seed_tries) / 4
            self.seed_at = now + int(spread * self.terms.interval)
            self._call(now, Identity(self.draw.choice(self.seeds), b""))
        if now >= self.again_at:
            self.again_at = now + int((0.5 + self.draw.random()) * AGAIN * self.terms.interval)
            known = {p.id.address for p in self.table.values() if p.there()}
            gone = [
                p.id
                for p in self.table.values()
                if p.status is Status.DEAD and p.id.address not in known
            ]
            gone += [Identity(seed, b"") for seed in self.seeds if seed not in known]
            if gone and not self.left:
                self._call(now, self.draw.choice(gone))

    def _call(self, now: int, target: Identity) -> None:
        """Whoever has this address: its answer tells who it is."""
        if target.address == self.me.address:
            return
        self.called = self._seq()
        self.late[self.called] = (target, now)
        self._send(target, Ping(self.called, "", self._claims_for(target)))

    # --- the whole table, and the end ---

    def told(self) -> tuple[Claim, ...]:
        return (self.own(), *(p.claim() for p in self.table.values()))

    def merge_table(self, now: int, claims: Iterable[Claim]) -> None:
        for claim in claims:
            self.merge(now, claim, LENGTH)
        self.joined = self.joined or bool(self.there())

    def leave(self, now: int) -> None:
        """Say so to some; they pass it on."""
        if self.left:
            return
        self.left, self._own, self._digest = True, None, None
        able = [p.id for p in self.table.values() if p.there()]
        for id in self.draw.sample(able, min(2 * HELPERS, len(able))):
            self._send(id, Ping(self._seq(), "", (self.own(),)))
