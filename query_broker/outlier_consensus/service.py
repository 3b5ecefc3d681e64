"""The service of the consensus on outliers: connects it to membership, dispatcher and node.

The only module of the package with I/O. Ejections and operators' overrides reach the decisions as
events on endpoints.
"""

from __future__ import annotations

import msgspec

from ..decisions.facade import AttemptResult
from ..dispatch.observers import DispatchObserver
from ..endpoints.administrative_state import AdministrativeState
from ..overriding import override
from ..protocols.operator_answers import HttpAnswer
from ..quotas.batching import message_bodies
from ..quotas.collaborators import GossipMembership
from .admin import ConsensusAdmin
from .collaborators import ConsensusHost
from .consensus import Ejection, OutlierConsensus
from .ejection_control import EjectionControl
from .endpoint_directory import EndpointDirectory
from .messages import (
    ConsensusMessage,
    ObserverReport,
    ObserverReports,
    Override,
    OverrideBatch,
    OverrideValue,
)
from .metrics import consensus_metrics
from .observations import ObservationStore
from .overrides import OverrideStore
from .settings import FANOUT, NS_PER_S, OutlierConsensusSettings, gossip_rounds

TOPIC = "verdicts"
TICK_NS = NS_PER_S // 4
SUCCESS_RESULTS = frozenset({AttemptResult.SERVED})
FAILURE_RESULTS = frozenset(
    {AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET}
)
#: Minimum time between two answers to the same broker; each answer contains all overrides.
MIN_ANSWER_INTERVAL_NS = NS_PER_S
MAX_REPORTS_PER_ROUND = 16
MAX_OVERRIDES_PER_ROUND = 8
#: Probability per round that a broker without overrides requests them from another broker.
OVERRIDE_REQUEST_PROBABILITY = 0.25
MAX_LOGGED_UID_LENGTH = 80


class ConsensusGossip:
    """Sends observations and overrides to other brokers."""

    def __init__(
        self,
        membership: GossipMembership,
        observations: ObservationStore,
        overrides: OverrideStore,
    ) -> None:
        """Take the membership, which carries the messages, and the sources of the messages."""
        self.membership = membership
        self.observations = observations
        self.overrides = overrides
        self.encoder = msgspec.msgpack.Encoder()
        self._answered_at_ns: dict[str, int] = {}

    def send_round(self, now_ns: int) -> None:
        """Send the newest reports and overrides to a few members drawn at random."""
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
        # A broker that has just joined has no overrides: its batch makes the other broker answer.
        if not self.overrides.overrides and others and draw.random() < OVERRIDE_REQUEST_PROBABILITY:
            self._send(draw.choice(others), overrides)
        self.membership.flush()

    def answer(self, now_ns: int, sender: str, batch: OverrideBatch) -> None:
        """Send all overrides to a broker whose digest differs from this broker's."""
        if batch.digest == self.overrides.digest():
            return
        if now_ns - self._answered_at_ns.get(sender, 0) < MIN_ANSWER_INTERVAL_NS:
            return
        self._forget_old_answers(now_ns)
        self._answered_at_ns[sender] = now_ns
        self._send_all_overrides(sender)
        if not batch.is_answer:  # The sender may have overrides that are missing here.
            self._send(sender, OverrideBatch(self.overrides.digest(), (), is_answer=True))

    def _forget_old_answers(self, now_ns: int) -> None:
        for sender, answered_at_ns in list(self._answered_at_ns.items()):
            if now_ns - answered_at_ns >= MIN_ANSWER_INTERVAL_NS:
                del self._answered_at_ns[sender]

    def _send(self, recipient: str, batch: OverrideBatch) -> None:
        self.membership.send(TOPIC, recipient, self.encoder.encode(batch))

    def _send_reports(self, recipient: str, reports: list[ObserverReport]) -> None:
        for body in message_bodies(
            reports, lambda batch: self.encoder.encode(ObserverReports(batch))
        ):
            self.membership.send(TOPIC, recipient, body)

    def _send_all_overrides(self, recipient: str) -> None:
        overrides = list(self.overrides.overrides.values())
        for body in message_bodies(
            overrides, lambda batch: self.encoder.encode(OverrideBatch(b"", batch))
        ):
            self.membership.send(TOPIC, recipient, body)


class OutlierConsensusService(DispatchObserver):
    """Connects one broker to the consensus on outliers and to operators' overrides.

    Attributes:
        observations: Observations of this broker and of others.
        consensus: Ejections derived from them.
        overrides: Operators' decisions, which take precedence over the consensus.
        ejections: The ejections that this broker carries out.
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
        self.gossip = ConsensusGossip(membership, self.observations, self.overrides)
        self.directory = EndpointDirectory(host.dispatcher.endpoint_table)
        self.ejections = EjectionControl(host.dispatcher, self.directory, settings)
        self.admin = ConsensusAdmin(self.consensus, self.overrides, self, host.clock)
        self.decoder: msgspec.msgpack.Decoder[ConsensusMessage] = msgspec.msgpack.Decoder(
            ConsensusMessage
        )
        self._gossiped_at_ns = host.clock.now()
        self._attach()
        host.dispatcher.timer_wheel.set_timer(self._gossiped_at_ns + TICK_NS, self._tick)

    def _attach(self) -> None:
        self.membership.subscribe(TOPIC, self._receive)
        dispatcher = self.host.dispatcher
        dispatcher.add_observer(self)
        dispatcher.extensions.add_metrics_source(self)

    # --- own observations ---

    @override
    def attempt_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Record the outcome of an attempt."""
        succeeded = result in SUCCESS_RESULTS
        if not succeeded and result not in FAILURE_RESULTS:
            return
        observed = self.directory.endpoint(endpoint)
        if observed is not None:
            self.observations.record(self.host.clock.now(), observed, succeeded)

    @override
    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Record the outcome of a health check of an ejected endpoint."""
        observed = self.directory.endpoint(endpoint)
        if observed is None:
            return
        now_ns = self.host.clock.now()
        if self.ejections.counts_health_check(now_ns, observed):
            self.observations.record(now_ns, observed, result is AttemptResult.SERVED)

    # --- timer ---

    def _tick(self) -> None:
        now_ns = self.host.clock.now()
        self.host.dispatcher.timer_wheel.set_timer(now_ns + TICK_NS, self._tick)
        try:
            self.observations.name = self.membership.name
            if now_ns - self._gossiped_at_ns >= self.settings.gossip_interval_ns:
                self._gossiped_at_ns = now_ns
                self.gossip.send_round(now_ns)
            self._evaluate(now_ns)
            self.ejections.check_health(now_ns, self.membership.names(), self.membership.name)
        except Exception as error:  # an error here must not stop the timer wheel
            self.host.log("fault", f"verdicts: {type(error).__name__}: {error}")

    def _evaluate(self, now_ns: int) -> None:
        members = self.membership.names()
        zones = {
            endpoint: zone
            for endpoint, zone in self.directory.ready_zones().items()
            if not self.overrides.has_value(endpoint.uid, OverrideValue.NEVER_EJECTED)
        }
        change = self.consensus.evaluate(now_ns, members, zones)
        for ejection in change.ejected:
            self._log_ejection(now_ns, ejection)
            self.ejections.eject(now_ns, ejection.endpoint, len(members))
        for endpoint in change.readmitted:
            self.host.log("verdicts", f"{endpoint.uid[:MAX_LOGGED_UID_LENGTH]}: readmitted")
            self.ejections.readmit(endpoint)

    def _log_ejection(self, now_ns: int, ejection: Ejection) -> None:
        duration_s = (ejection.min_end_ns - now_ns) / NS_PER_S
        self.host.log(
            "verdicts",
            f"{ejection.endpoint.uid[:MAX_LOGGED_UID_LENGTH]}: {ejection.scope.value} (observers: "
            f"{len(ejection.observers)}), ejected for at least {duration_s:.0f} s",
        )

    # --- messages ---

    def _receive(self, now_ns: int, sender: str, body: bytes) -> None:
        message = self.decoder.decode(body)
        match message:
            case ObserverReports():
                self.observations.receive(now_ns, message, self.membership.names())
            case OverrideBatch():
                for override in self.overrides.merge(
                    message.overrides, self._rounds_to_all_members()
                ):
                    self._apply(override)
                self.gossip.answer(now_ns, sender, message)

    def _rounds_to_all_members(self) -> int:
        """Return the number of gossip rounds after which all members have received an override."""
        return gossip_rounds(len(self.membership.names()))

    # --- operators ---

    @override
    def endpoint_administered(self, uid: str, disabled: bool) -> None:
        """Set an override for all brokers when an operator disables or enables an endpoint here."""
        value = OverrideValue.DISABLED if disabled else OverrideValue.ENABLED
        if not self.overrides.has_value(uid, value):
            self.overrides.set(uid, value, self._rounds_to_all_members())

    def is_known_endpoint(self, uid: str) -> bool:
        """Return whether the endpoint is or was listed here or has an override."""
        return self.directory.is_listed(uid) or uid in self.overrides.overrides

    def override(self, uid: str, value: OverrideValue) -> Override:
        """Apply an operator's override at all brokers."""
        override = self.overrides.set(uid, value, self._rounds_to_all_members())
        self._apply(override)
        self.host.log(
            "operator",
            f"{value}: {uid[:MAX_LOGGED_UID_LENGTH]!r} for all brokers, version {override.version}",
        )
        return override

    def _apply(self, override: Override) -> None:
        """Disable or enable an endpoint as the override says, if that changes its state."""
        now_ns = self.host.clock.now()
        is_disabled = override.value == OverrideValue.DISABLED
        known = self.host.dispatcher.administrative_states.states.get(override.uid)
        self._end_ejections(override.uid)
        was_disabled = known is not None and known.disabled
        if is_disabled == was_disabled:
            return
        given_ns = now_ns if known is None else max(now_ns, known.given_ns + 1)
        self.host.dispatcher.apply_administrative_state(
            override.uid, AdministrativeState(given_ns, is_disabled)
        )

    def _end_ejections(self, uid: str) -> None:
        """End the ejections of an endpoint, since an override takes precedence over them."""
        for endpoint in self.ejections.ejected_incarnations(uid):
            self.consensus.forget(endpoint)
            self.ejections.readmit(endpoint)

    def handle_admin_call(self, method: str, path: str) -> HttpAnswer | None:
        """Answer an operators' HTTP call; None if its path does not belong to this service."""
        return self.admin.handle_admin_call(method, path)

    def metrics(self) -> bytes:
        """Return the part of the metrics page that is about the consensus."""
        return consensus_metrics(self.consensus)
