"""Carries out ejections: informs the decisions and schedules health checks of ejected endpoints.

Performs no I/O; the dispatcher sends the health checks.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..decisions.facade import AdministrativeChange
from .collaborators import ConsensusDispatcher
from .endpoint_directory import EndpointDirectory
from .messages import Endpoint
from .observations import NS_PER_MS
from .settings import NS_PER_S, OutlierConsensusSettings, gossip_rounds

#: Time between two health checks of an ejected endpoint.
HEALTH_CHECK_INTERVAL_NS = NS_PER_S


@dataclass(slots=True)
class EjectedEndpoint:
    """Schedule of the health checks of an ejected endpoint.

    Attributes:
        known_to_all_at_ns: By when all members have received the observations that the ejection
            is based on.
        next_check_at_ns: When the next health check is due.
    """

    known_to_all_at_ns: int
    next_check_at_ns: int


class EjectionControl:
    """The endpoints that this broker does not use because of an ejection.

    Attributes:
        ejected_endpoints: Schedule of health checks by ejected endpoint.
    """

    def __init__(
        self,
        dispatcher: ConsensusDispatcher,
        directory: EndpointDirectory,
        settings: OutlierConsensusSettings,
    ) -> None:
        """Start without ejected endpoints.

        Args:
            dispatcher: Passes ejections to the decisions and sends health checks.
            directory: Maps endpoints to the numbers by which the decisions know them.
            settings: Settings of the consensus.
        """
        self.dispatcher = dispatcher
        self.directory = directory
        self.settings = settings
        self.ejected_endpoints: dict[Endpoint, EjectedEndpoint] = {}

    def eject(self, now_ns: int, endpoint: Endpoint, member_count: int) -> None:
        """Stop using an endpoint; health checks begin once all members have the observations."""
        gossip_ns = gossip_rounds(member_count) * self.settings.gossip_interval_ns
        known_to_all_at_ns = now_ns + gossip_ns
        self.ejected_endpoints[endpoint] = EjectedEndpoint(known_to_all_at_ns, known_to_all_at_ns)
        self._inform_decisions(endpoint, is_ejected=True, at_ns=now_ns)

    def readmit(self, endpoint: Endpoint) -> None:
        """Use an endpoint again; its warm-up counts from its start, not from its readmission."""
        self.ejected_endpoints.pop(endpoint, None)
        started_ns = endpoint.started_ms * NS_PER_MS
        self._inform_decisions(endpoint, is_ejected=False, at_ns=started_ns)

    def _inform_decisions(self, endpoint: Endpoint, *, is_ejected: bool, at_ns: int) -> None:
        """Report a change to the decisions, unless operators have disabled the endpoint."""
        number = self.directory.number(endpoint)
        if number is not None and not self.dispatcher.administrative_states.is_disabled(
            endpoint.uid
        ):
            self.dispatcher.report_event(AdministrativeChange(number, is_ejected, at_ns))

    def ejected_incarnations(self, uid: str) -> list[Endpoint]:
        """Return the ejected incarnations of an endpoint."""
        return [endpoint for endpoint in self.ejected_endpoints if endpoint.uid == uid]

    def counts_health_check(self, now_ns: int, endpoint: Endpoint) -> bool:
        """Return whether the outcome of a health check counts as an observation.

        Only health checks of ejected endpoints count, since a health check runs no query. They
        count only once all members have received the failures: an earlier success would replace the
        failures in this broker's report that the other brokers need for their own ejections.
        """
        ejected = self.ejected_endpoints.get(endpoint)
        return ejected is not None and now_ns >= ejected.known_to_all_at_ns

    def check_health(self, now_ns: int, members: Sequence[str], own_name: str) -> None:
        """Check ejected endpoints if it is this broker's turn.

        In each interval, as many brokers check as an ejection needs observers.

        Args:
            now_ns: This broker's clock.
            members: Names of the members.
            own_name: Name of this broker.
        """
        is_own_turn_to_check = self._is_own_turn_to_check(now_ns, sorted(members), own_name)
        for endpoint, ejected in list(self.ejected_endpoints.items()):
            number = self.directory.number(endpoint)
            if number is None or now_ns < ejected.next_check_at_ns:
                continue
            ejected.next_check_at_ns = now_ns + HEALTH_CHECK_INTERVAL_NS
            if is_own_turn_to_check:
                self.dispatcher.health_checks.start(now_ns, number)

    def _is_own_turn_to_check(self, now_ns: int, members: Sequence[str], own_name: str) -> bool:
        position = members.index(own_name) if own_name in members else 0
        member_count = max(1, len(members))
        observer_count = self.settings.observers
        first_position = (now_ns // HEALTH_CHECK_INTERVAL_NS * observer_count) % member_count
        return (position - first_position) % member_count < observer_count
