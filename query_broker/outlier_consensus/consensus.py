"""The consensus on outliers: ejects endpoints that several brokers observe to fail.

The result depends only on the observations and on earlier ejections. An ejection needs several
distinct observers, so that one faulty broker, or one with a broken network, cannot eject any
endpoint. The fraction of a zone's endpoints that can be ejected is bounded. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple

from .messages import Endpoint
from .observations import ObservationStore, ObserverView
from .settings import OutlierConsensusSettings

#: The duration of an ejection is doubled at most this many times.
MAX_DOUBLINGS = 10
#: Past ejections are remembered for this multiple of the longest ejection.
HISTORY_RETENTION_FACTOR = 10


class OutlierScope(Enum):
    """The brokers for which an endpoint fails; values are in the log and the operators' JSON."""

    FLEET = "bad for all"
    ZONE = "out of this zone's reach"


class ConsensusEvent(StrEnum):
    """Counted events; the values are the labels in the metrics and in the operators' JSON."""

    EJECTED = "verdicts"
    READMITTED = "lifted"
    OVER_FRACTION = "over_part"


@dataclass(slots=True)
class Ejection:
    """The ejection of an endpoint by consensus.

    Attributes:
        endpoint: The endpoint.
        scope: Whether the endpoint fails for all brokers or only for those of this zone.
        zone: The zone for which it is ejected; empty for all zones.
        ejected_at_ns: When the endpoint was ejected.
        min_end_ns: The earliest time at which the ejection can end.
        latest_failure_ns: When the latest failure that the ejection is based on was observed, by
            this broker's clock.
        observers: The brokers on whose observations the ejection is based.
        relapses: Number of earlier ejections that are still remembered.
    """

    endpoint: Endpoint
    scope: OutlierScope
    zone: str
    ejected_at_ns: int
    min_end_ns: int
    latest_failure_ns: int
    observers: frozenset[str]
    relapses: int = 0


class EjectionHistory(NamedTuple):
    """How often an endpoint was ejected, and when it last was."""

    ejection_count: int
    last_ejected_ns: int


NO_EJECTIONS = EjectionHistory(0, 0)


class ConsensusChange(NamedTuple):
    """New ejections, and endpoints whose ejection has ended."""

    ejected: list[Ejection]
    readmitted: list[Endpoint]


class OutlierConsensus:
    """Derives ejections from a store of observations.

    Attributes:
        ejections: Present ejection by endpoint.
        ejection_histories: Past ejections by endpoint.
        event_counts: How often each `ConsensusEvent` happened.
    """

    def __init__(self, observations: ObservationStore) -> None:
        """Start without ejections.

        Args:
            observations: Observations of this broker and of others.
        """
        self.observations = observations
        self.settings: OutlierConsensusSettings = observations.settings
        self.ejections: dict[Endpoint, Ejection] = {}
        self.ejection_histories: dict[Endpoint, EjectionHistory] = {}
        self.event_counts: dict[str, int] = {event.value: 0 for event in ConsensusEvent}

    def evaluate(
        self, now_ns: int, members: Collection[str], zones: Mapping[Endpoint, str]
    ) -> ConsensusChange:
        """Eject and readmit endpoints according to the current observations.

        Args:
            now_ns: This broker's clock.
            members: Names of the members; observations by other brokers do not count.
            zones: Zone of each endpoint that may be ejected.
        """
        views = self.observations.views(now_ns, members)
        readmitted = self._readmit(now_ns, zones, views)
        ejected: list[Ejection] = []
        for endpoint, views_by_observer in sorted(views.items(), key=_earliest_outcome_ns):
            if endpoint in self.ejections or endpoint not in zones or endpoint in readmitted:
                continue
            ejection = self._ejection(now_ns, endpoint, views_by_observer)
            if ejection is None:
                continue
            if not self._may_eject_another(zones, zones[endpoint]):
                self.event_counts[ConsensusEvent.OVER_FRACTION] += 1
                continue
            self.ejections[endpoint] = ejection
            self.ejection_histories[endpoint] = EjectionHistory(ejection.relapses + 1, now_ns)
            self.event_counts[ConsensusEvent.EJECTED] += 1
            ejected.append(ejection)
        self._forget_old_histories(now_ns)
        return ConsensusChange(ejected, readmitted)

    def forget(self, endpoint: Endpoint) -> None:
        """Drop the ejection and this broker's outcomes of an endpoint that operators override."""
        self.ejections.pop(endpoint, None)
        self.observations.own_outcomes.pop(endpoint, None)

    def _readmit(
        self,
        now_ns: int,
        zones: Mapping[Endpoint, str],
        views: Mapping[Endpoint, Mapping[str, ObserverView]],
    ) -> list[Endpoint]:
        readmitted = [
            endpoint
            for endpoint, ejection in self.ejections.items()
            if endpoint not in zones or self._has_ended(now_ns, ejection, views.get(endpoint, {}))
        ]
        for endpoint in readmitted:
            del self.ejections[endpoint]
            self.event_counts[ConsensusEvent.READMITTED] += 1
        return readmitted

    def _may_eject_another(self, zones: Mapping[Endpoint, str], zone: str) -> bool:
        ejected_count = sum(zones.get(endpoint) == zone for endpoint in self.ejections)
        endpoint_count = sum(other == zone for other in zones.values())
        return ejected_count + 1 <= max(self.settings.max_ejected_fraction * endpoint_count, 0)

    def _forget_old_histories(self, now_ns: int) -> None:
        retention_ns = HISTORY_RETENTION_FACTOR * self.settings.max_ejection_ns
        self.ejection_histories = {
            endpoint: history
            for endpoint, history in self.ejection_histories.items()
            if now_ns - history.last_ejected_ns < retention_ns
        }

    def _ejection(
        self, now_ns: int, endpoint: Endpoint, views: Mapping[str, ObserverView]
    ) -> Ejection | None:
        """Return the ejection that the observers' views justify, if any."""
        failing = {name: view for name, view in views.items() if view.is_failing}
        working_zones = [view.zone for view in views.values() if not view.is_failing]
        scope = OutlierScope.FLEET
        zone = ""
        if len(working_zones) * 2 > len(failing):
            # For some observers the endpoint works. If they are all in other zones, only this zone
            # cannot reach it.
            scope = OutlierScope.ZONE
            zone = self.observations.zone
            failing = {name: view for name, view in failing.items() if view.zone == zone}
            if zone in working_zones:
                return None
        if len(failing) < self.settings.observers:
            return None
        relapses = self.ejection_histories.get(endpoint, NO_EJECTIONS).ejection_count
        latest_failure_ns = max(view.latest_outcome_ns for view in failing.values())
        min_end_ns = now_ns + self._duration_ns(relapses)
        return Ejection(
            endpoint,
            scope,
            zone,
            now_ns,
            min_end_ns,
            latest_failure_ns,
            frozenset(failing),
            relapses,
        )

    def _duration_ns(self, relapses: int) -> int:
        doubled_ns = self.settings.min_ejection_ns << min(MAX_DOUBLINGS, relapses)
        return min(self.settings.max_ejection_ns, doubled_ns)

    def _has_ended(
        self, now_ns: int, ejection: Ejection, views: Mapping[str, ObserverView]
    ) -> bool:
        """Return whether an ejection has ended.

        It ends once half as many observers as an ejection needs have seen newer successes, or once
        no failure has been observed for `max_age_ns`.
        """
        if now_ns < ejection.min_end_ns:
            return False
        newer = [
            view for view in views.values() if view.latest_outcome_ns > ejection.latest_failure_ns
        ]
        successes = sum(
            not view.is_failing and (not ejection.zone or view.zone == ejection.zone)
            for view in newer
        )
        if successes >= (self.settings.observers + 1) // 2:
            return True
        still_failing = any(view.is_failing for view in newer)
        is_outdated = now_ns - ejection.latest_failure_ns > self.settings.max_age_ns
        return not still_failing and is_outdated


def _earliest_outcome_ns(item: tuple[Endpoint, Mapping[str, ObserverView]]) -> int:
    _, views = item
    return min(view.latest_outcome_ns for view in views.values())
