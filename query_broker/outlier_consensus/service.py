"""The service of the consensus on outliers: connects it to membership, dispatcher and node.

The one module of the package with I/O. Ejections and operators' overrides reach the decisions as
events on endpoints.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..decisions.facade import EngineBan, EngineState, Result
from ..endpoints.administrative_state import Word as AdministrativeState
from ..quotas.admin_responses import AdminResponse
from ..quotas.batching import message_bodies
from ..quotas.collaborators import GossipMembership
from .admin import ConsensusAdmin
from .collaborators import ConsensusHost
from .consensus import Ejection, OutlierConsensus
from .messages import (
    ConsensusMessage,
    Endpoint,
    ObserverReport,
    ObserverReports,
    Override,
    OverrideBatch,
    OverrideValue,
)
from .metrics import consensus_metrics
from .observations import NS_PER_MS, ObservationStore
from .overrides import OverrideStore
from .settings import FANOUT, NS_PER_S, OutlierConsensusSettings, gossip_rounds

TOPIC = "verdicts"
TICK_NS = NS_PER_S // 4
SUCCESSES = frozenset({Result.SERVED})
FAILURES = frozenset({Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET})
#: Time between two health checks of an ejected endpoint.
HEALTH_CHECK_INTERVAL_NS = NS_PER_S
#: A broker whose overrides differ gets all of ours at most this often.
ANSWER_INTERVAL_NS = NS_PER_S
MAX_REPORTS_PER_ROUND = 16
MAX_OVERRIDES_PER_ROUND = 8
#: Probability with which a broker without overrides asks another for its own in a round.
QUERY_PROBABILITY = 0.25
MAX_LOGGED_UID = 80


@dataclass(slots=True)
class EjectedEndpoint:
    """Health checks of an endpoint that is ejected.

    Attributes:
        known_to_all_at_ns: By when all members have received the observations that the ejection
            rests on.
        next_check_at_ns: When a health check is due.
    """

    known_to_all_at_ns: int
    next_check_at_ns: int


class OutlierConsensusService:
    """One broker's part in the consensus on outliers and in operators' overrides.

    Attributes:
        observations: Observations of this broker and of others.
        consensus: Ejections derived from them.
        overrides: Operators' decisions, which stand above the consensus.
        ejected: Endpoints that this broker has ejected, with their health checks.
        admin: Answers operators' calls.
    """

    def __init__(
        self,
        host: ConsensusHost,
        membership: GossipMembership,
        settings: OutlierConsensusSettings,
    ) -> None:
        """Subscribe to the membership and to the dispatcher, and start the timer.

        Args:
            host: The node.
            membership: Carries the messages between brokers.
            settings: Settings of the consensus.
        """
        self.host = host
        self.membership = membership
        self.settings = settings
        zone = host.config.settings.zone
        self.observations = ObservationStore(membership.name, zone, settings)
        self.consensus = OutlierConsensus(self.observations)
        self.overrides = OverrideStore(membership.detector.me.address)
        self.admin = ConsensusAdmin(self.consensus, self.overrides, self, host.clock)
        self.ejected: dict[Endpoint, EjectedEndpoint] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: msgspec.msgpack.Decoder[ConsensusMessage] = msgspec.msgpack.Decoder(
            ConsensusMessage
        )
        self._gossiped_at_ns = host.clock.now()
        self._answered_at_ns: dict[str, int] = {}
        self._attach()
        host.broker.wheel.at(self._gossiped_at_ns + TICK_NS, self._tick)

    def _attach(self) -> None:
        self.membership.subscribe(TOPIC, self._receive)
        dispatcher = self.host.broker
        dispatcher.outcome = self._attempt_ended
        dispatcher.witness.append(self._health_check_ended)
        dispatcher.said = self._operator_decided
        dispatcher.more_figures.append(self.metrics)

    # --- own observations ---

    def _endpoint(self, number: int) -> Endpoint | None:
        known = self.host.broker.engines.by_number.get(number)
        if known is None:
            return None
        return Endpoint(known.target.uid, known.target.started // NS_PER_MS)

    def _number(self, endpoint: Endpoint) -> int | None:
        """Return the decisions' number of an endpoint, unless it has been restarted since."""
        known = self.host.broker.engines.by_uid.get(endpoint.uid)
        if known is None or known.target.started // NS_PER_MS != endpoint.started_ms:
            return None
        return known.number

    def _attempt_ended(self, number: int, result: Result) -> None:
        succeeded = result in SUCCESSES
        if not succeeded and result not in FAILURES:
            return
        endpoint = self._endpoint(number)
        if endpoint is not None:
            self.observations.record(self.host.clock.now(), endpoint, succeeded)

    def _health_check_ended(self, number: int, result: Result) -> None:
        """Record the outcome of a health check of an ejected endpoint.

        Of other endpoints health checks prove nothing: a load report is no answer to a query. If
        the first broker to eject took a success for a proof before the others had received the
        failures, it would take from them what their own ejection would rest on.
        """
        endpoint = self._endpoint(number)
        if endpoint is None:
            return
        now_ns = self.host.clock.now()
        ejected = self.ejected.get(endpoint)
        if ejected is not None and now_ns >= ejected.known_to_all_at_ns:
            self.observations.record(now_ns, endpoint, result is Result.SERVED)

    # --- time ---

    def _tick(self) -> None:
        now_ns = self.host.clock.now()
        self.host.broker.wheel.at(now_ns + TICK_NS, self._tick)
        try:
            self.observations.name = self.membership.name
            if now_ns - self._gossiped_at_ns >= self.settings.gossip_interval_ns:
                self._gossiped_at_ns = now_ns
                self._gossip(now_ns)
            self._evaluate(now_ns)
            self._check_health(now_ns)
        except Exception as error:  # a fault here must not end the wheel's turn
            self.host.log("fault", f"verdicts: {type(error).__name__}: {error}")

    def _gossip(self, now_ns: int) -> None:
        members = self.membership.names()
        others = [member for member in members if member != self.membership.name]
        draw = self.membership.detector.draw
        self.observations.write_report(now_ns)
        newest = self.observations.newest_reports(now_ns, MAX_REPORTS_PER_ROUND)
        reports = [report for report in newest if report.observations]
        digest = self.overrides.digest()
        overrides = OverrideBatch(digest, self.overrides.next_batch(MAX_OVERRIDES_PER_ROUND))
        for recipient in draw.sample(others, min(FANOUT, len(others))):
            self._send_reports(recipient, reports)
            if self.overrides.overrides or overrides.overrides:
                self._send(recipient, overrides)
        # A broker that has just joined queries another for overrides.
        if not self.overrides.overrides and others and draw.random() < QUERY_PROBABILITY:
            self._send(draw.choice(others), overrides)
        self.membership.flush()

    def _send(self, recipient: str, batch: OverrideBatch) -> None:
        self.membership.talk(TOPIC, recipient, self.encoder.encode(batch))

    def _send_reports(self, recipient: str, reports: list[ObserverReport]) -> None:
        for body in message_bodies(
            reports, lambda batch: self.encoder.encode(ObserverReports(batch))
        ):
            self.membership.talk(TOPIC, recipient, body)

    def _evaluate(self, now_ns: int) -> None:
        zones = {
            Endpoint(known.target.uid, known.target.started // NS_PER_MS): known.target.zone
            for known in self.host.broker.engines.by_number.values()
            if known.target.state is EngineState.READY
            and not self.overrides.has_value(known.target.uid, OverrideValue.NEVER_EJECTED)
        }
        change = self.consensus.evaluate(now_ns, self.membership.names(), zones)
        for ejection in change.ejected:
            self._log_ejection(now_ns, ejection)
            self._eject(now_ns, ejection.endpoint)
        for endpoint in change.readmitted:
            self.host.log("verdicts", f"{endpoint.uid[:MAX_LOGGED_UID]}: let in again")
            self._readmit(endpoint)

    def _log_ejection(self, now_ns: int, ejection: Ejection) -> None:
        duration_s = (ejection.until_ns - now_ns) / NS_PER_S
        self.host.log(
            "verdicts",
            f"{ejection.endpoint.uid[:MAX_LOGGED_UID]}: {ejection.scope.value}, by "
            f"{len(ejection.observers)} observers, held out for {duration_s:.0f} s at least",
        )

    def _eject(self, now_ns: int, endpoint: Endpoint) -> None:
        rounds = gossip_rounds(len(self.membership.names()))
        known_to_all_at_ns = now_ns + rounds * self.settings.gossip_interval_ns
        self.ejected[endpoint] = EjectedEndpoint(known_to_all_at_ns, known_to_all_at_ns)
        self._inform_decisions(endpoint, is_ejected=True, at_ns=now_ns)

    def _readmit(self, endpoint: Endpoint) -> None:
        """Use an endpoint again; it is as warmed up as its start says."""
        self.ejected.pop(endpoint, None)
        started_ns = endpoint.started_ms * NS_PER_MS
        self._inform_decisions(endpoint, is_ejected=False, at_ns=started_ns)

    def _inform_decisions(self, endpoint: Endpoint, *, is_ejected: bool, at_ns: int) -> None:
        """Tell the decisions of an ejection, unless operators have disabled the endpoint."""
        number = self._number(endpoint)
        if number is not None and not self.host.broker.bans.out(endpoint.uid):
            self.host.broker.tell(EngineBan(number, is_ejected, at_ns))

    def _check_health(self, now_ns: int) -> None:
        """Check ejected endpoints, each from as many brokers in turn as must observe successes."""
        members = sorted(self.membership.names())
        own_name = self.membership.name
        position = members.index(own_name) if own_name in members else 0
        count = max(1, len(members))
        observers = self.settings.observers
        first = (now_ns // HEALTH_CHECK_INTERVAL_NS * observers) % count
        is_own_turn = (position - first) % count < observers
        for endpoint, ejected in list(self.ejected.items()):
            number = self._number(endpoint)
            if number is None or now_ns < ejected.next_check_at_ns:
                continue
            ejected.next_check_at_ns = now_ns + HEALTH_CHECK_INTERVAL_NS
            if is_own_turn:
                self.host.broker.probe(number)

    # --- messages ---

    def _receive(self, now_ns: int, sender: str, body: bytes) -> None:
        message = self.decoder.decode(body)
        match message:
            case ObserverReports():
                self.observations.receive(now_ns, message, self.membership.names())
            case OverrideBatch():
                self._receive_overrides(now_ns, sender, message)

    def _receive_overrides(self, now_ns: int, sender: str, batch: OverrideBatch) -> None:
        rounds = gossip_rounds(len(self.membership.names()))
        for override in self.overrides.merge(batch.overrides, rounds):
            self._apply(override)
        answered_at_ns = self._answered_at_ns.get(sender, 0)
        if batch.digest == self.overrides.digest():
            return
        if now_ns - answered_at_ns < ANSWER_INTERVAL_NS:
            return
        self._forget_old_answers(now_ns)
        self._answered_at_ns[sender] = now_ns
        self._send_all_overrides(sender)
        if not batch.is_answer:  # The sender may have overrides that we do not.
            self._send(sender, OverrideBatch(self.overrides.digest(), (), is_answer=True))

    def _forget_old_answers(self, now_ns: int) -> None:
        for sender, answered_at_ns in list(self._answered_at_ns.items()):
            if now_ns - answered_at_ns >= ANSWER_INTERVAL_NS:
                del self._answered_at_ns[sender]

    def _send_all_overrides(self, recipient: str) -> None:
        overrides = list(self.overrides.overrides.values())
        for body in message_bodies(
            overrides, lambda batch: self.encoder.encode(OverrideBatch(b"", batch))
        ):
            self.membership.talk(TOPIC, recipient, body)

    # --- operators ---

    def _operator_decided(self, uid: str, is_disabled: bool) -> None:
        """Take an operator's call to this broker's own switch for all brokers."""
        value = OverrideValue.DISABLED if is_disabled else OverrideValue.ENABLED
        if not self.overrides.has_value(uid, value):
            self.overrides.set(uid, value, gossip_rounds(len(self.membership.names())))

    def is_known_endpoint(self, uid: str) -> bool:
        """Return whether the endpoint is listed here or has an override."""
        return uid in self.host.broker.engines.by_uid or uid in self.overrides.overrides

    def override(self, uid: str, value: OverrideValue) -> Override:
        """Take an operator's decision, for all brokers."""
        rounds = gossip_rounds(len(self.membership.names()))
        override = self.overrides.set(uid, value, rounds)
        self._apply(override)
        self.host.log(
            "operator",
            f"{value}: {uid[:MAX_LOGGED_UID]!r} for all brokers, version {override.version}",
        )
        return override

    def _apply(self, override: Override) -> None:
        """Disable or enable an endpoint as operators decided, unless it is so already."""
        now_ns = self.host.clock.now()
        is_disabled = override.value == OverrideValue.DISABLED
        known = self.host.broker.bans.words.get(override.uid)
        self._end_ejections(override.uid)
        was_disabled = known is not None and known.out
        if is_disabled == was_disabled:
            return
        at_ns = now_ns if known is None else max(now_ns, known.at + 1)
        self.host.broker.take_word(override.uid, AdministrativeState(at_ns, is_disabled))

    def _end_ejections(self, uid: str) -> None:
        """End the ejections of an endpoint: an operator's decision stands above them."""
        for endpoint in list(self.ejected):
            if endpoint.uid == uid:
                self.consensus.forget(endpoint)
                self._readmit(endpoint)

    def handle_admin_call(self, method: str, path: str) -> AdminResponse | None:
        """Answer an operators' HTTP call; None if its path belongs to another part."""
        return self.admin.handle(method, path)

    def metrics(self) -> bytes:
        """Return the part of the metrics page that is about the consensus."""
        return consensus_metrics(self.consensus)
