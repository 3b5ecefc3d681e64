"""Observations of failing endpoints, by this broker and by others.

Only a broker itself writes its report, with a rising version; of two reports the newer replaces
the other. Reports contain observations only; each broker derives the consensus from them itself.
Performs no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from .messages import Endpoint, Observation, ObserverReport, ObserverReports
from .settings import OutlierConsensusSettings

NS_PER_MS = 1_000_000
#: Endpoints in one report; those with the latest failures are chosen.
MAX_REPORTED_ENDPOINTS = 64
MAX_TRACKED_ENDPOINTS = 4 * MAX_REPORTED_ENDPOINTS
#: Latest outcomes that are kept of each endpoint.
MAX_OUTCOMES_PER_ENDPOINT = 16
MAX_OBSERVERS = 4_096
#: Age of an outcome that has not occurred.
NO_AGE_MS = -1
#: Time of an outcome that has not occurred.
NEVER_NS = -1


class Outcome(NamedTuple):
    """When an attempt or a health check ended, and whether it succeeded."""

    ended_at_ns: int
    succeeded: bool


@dataclass(slots=True)
class EndpointOutcomes:
    """The latest outcomes of this broker's attempts and health checks at one endpoint."""

    outcomes: deque[Outcome] = field(
        default_factory=lambda: deque(maxlen=MAX_OUTCOMES_PER_ENDPOINT)
    )

    def observation(self, endpoint: Endpoint, now_ns: int, max_age_ns: int) -> Observation:
        """Return the outcomes that are newer than `max_age_ns` as an observation."""
        recent = [outcome for outcome in self.outcomes if now_ns - outcome.ended_at_ns < max_age_ns]
        successes = sum(outcome.succeeded for outcome in recent)
        return Observation(
            endpoint,
            len(recent) - successes,
            successes,
            _last_age_ms(recent, now_ns, succeeded=False),
            _last_age_ms(recent, now_ns, succeeded=True),
        )


def _last_age_ms(outcomes: list[Outcome], now_ns: int, *, succeeded: bool) -> int:
    times = (outcome.ended_at_ns for outcome in outcomes if outcome.succeeded is succeeded)
    last_ns = max(times, default=NEVER_NS)
    return NO_AGE_MS if last_ns < 0 else (now_ns - last_ns) // NS_PER_MS


class ReceivedReport(NamedTuple):
    """A report, and when it arrived by this broker's clock."""

    report: ObserverReport
    received_at_ns: int


class ObserverView(NamedTuple):
    """The state of an endpoint according to one observer's latest outcomes.

    Attributes:
        zone: Zone of the observer.
        is_failing: Whether the endpoint fails for the observer.
        latest_outcome_ns: When the latest outcome was observed, by this broker's clock.
    """

    zone: str
    is_failing: bool
    latest_outcome_ns: int


class ObservationStore:
    """This broker's observations and the latest report of each other broker.

    Attributes:
        name: Name of this broker.
        zone: Zone of this broker.
        settings: Settings of the consensus.
        own_outcomes: Outcomes observed by this broker, by endpoint.
        reported_failing_at_ns: When another broker last reported a failure, by endpoint.
        reports: Latest report by observer.
    """

    def __init__(self, name: str, zone: str, settings: OutlierConsensusSettings) -> None:
        """Start without observations."""
        self.name = name
        self.zone = zone
        self.settings = settings
        self.own_outcomes: dict[Endpoint, EndpointOutcomes] = {}
        self.reported_failing_at_ns: dict[Endpoint, int] = {}
        self.reports: dict[str, ReceivedReport] = {}
        self.version = 0

    def record(self, now_ns: int, endpoint: Endpoint, succeeded: bool) -> None:
        """Record the outcome of an attempt or health check of this broker.

        Successes are recorded only for endpoints that have failed for this or another broker.
        """
        tracked = self.own_outcomes.get(endpoint)
        if tracked is None:
            if succeeded and endpoint not in self.reported_failing_at_ns:
                return
            if len(self.own_outcomes) >= MAX_TRACKED_ENDPOINTS:
                self.own_outcomes.pop(next(iter(self.own_outcomes)))
            tracked = EndpointOutcomes()
            self.own_outcomes[endpoint] = tracked
        tracked.outcomes.append(Outcome(now_ns, succeeded))

    def write_report(self, now_ns: int) -> ObserverReport:
        """Write this broker's next report, and drop outdated outcomes."""
        self._forget_old(now_ns)
        self.version += 1
        max_age_ns = self.settings.max_age_ns
        observations = [
            outcomes.observation(endpoint, now_ns, max_age_ns)
            for endpoint, outcomes in self.own_outcomes.items()
        ]
        observations.sort(key=_latest_failure_first)
        report = ObserverReport(
            self.name, self.zone, self.version, 0, tuple(observations[:MAX_REPORTED_ENDPOINTS])
        )
        self.reports[self.name] = ReceivedReport(report, now_ns)
        return report

    def _forget_old(self, now_ns: int) -> None:
        max_age_ns = self.settings.max_age_ns
        for endpoint, tracked in list(self.own_outcomes.items()):
            if now_ns - tracked.outcomes[-1].ended_at_ns > max_age_ns:
                del self.own_outcomes[endpoint]
        for endpoint, reported_at_ns in list(self.reported_failing_at_ns.items()):
            if now_ns - reported_at_ns > max_age_ns:
                del self.reported_failing_at_ns[endpoint]

    def newest_reports(self, now_ns: int, count: int) -> list[ObserverReport]:
        """Return this broker's report and the newest ones with observations, with current ages."""
        candidates = [
            received
            for received in self.reports.values()
            if received.report.observations or received.report.observer == self.name
        ]
        candidates.sort(key=self._own_then_newest)
        return [
            msgspec.structs.replace(
                report, age_ms=report.age_ms + (now_ns - received_at_ns) // NS_PER_MS
            )
            for report, received_at_ns in candidates[:count]
        ]

    def _own_then_newest(self, received: ReceivedReport) -> tuple[bool, int]:
        report = received.report
        is_other = report.observer != self.name
        return is_other, report.age_ms - received.received_at_ns // NS_PER_MS

    def receive(self, now_ns: int, batch: ObserverReports, members: Collection[str]) -> None:
        """Merge reports of members; ignore outdated ones and those out of bounds."""
        for report in batch.reports:
            if not self._is_acceptable(report, members):
                continue
            self.reports[report.observer] = ReceivedReport(report, now_ns)
            for observation in report.observations:
                is_full = len(self.reported_failing_at_ns) >= MAX_TRACKED_ENDPOINTS
                if observation.failures and not is_full:
                    self.reported_failing_at_ns[observation.endpoint] = now_ns

    def _is_acceptable(self, report: ObserverReport, members: Collection[str]) -> bool:
        if report.observer == self.name or report.observer not in members:
            return False
        if report.age_ms < 0 or len(report.observations) > MAX_REPORTED_ENDPOINTS:
            return False
        previous = self.reports.get(report.observer)
        if previous is None:
            return len(self.reports) < MAX_OBSERVERS
        return previous.report.version < report.version

    def views(
        self, now_ns: int, members: Collection[str]
    ) -> dict[Endpoint, dict[str, ObserverView]]:
        """Return the observers' views by endpoint and observer.

        Reports of brokers that are no longer members are dropped.
        """
        for observer in list(self.reports):
            if observer not in members and observer != self.name:
                del self.reports[observer]
        views: dict[Endpoint, dict[str, ObserverView]] = {}
        for observer, received in self.reports.items():
            for observation in received.report.observations:
                view = self._view(now_ns, received, observation)
                if view is not None:
                    views.setdefault(observation.endpoint, {})[observer] = view
        return views

    def _view(
        self, now_ns: int, received: ReceivedReport, observation: Observation
    ) -> ObserverView | None:
        """Return the view of an observation; None if it is inconclusive or too old."""
        report = received.report
        written_at_ns = received.received_at_ns - report.age_ms * NS_PER_MS
        failed_at_ns = _outcome_time_ns(written_at_ns, observation.failure_age_ms)
        succeeded_at_ns = _outcome_time_ns(written_at_ns, observation.success_age_ms)
        latest_outcome_ns = max(failed_at_ns, succeeded_at_ns)
        if latest_outcome_ns < 0 or now_ns - latest_outcome_ns > self.settings.max_age_ns:
            return None
        is_working = succeeded_at_ns > failed_at_ns
        is_failing = (
            observation.failures >= self.settings.failures
            and observation.failures > observation.successes
            and failed_at_ns > succeeded_at_ns
        )
        if not is_failing and not is_working:
            return None
        return ObserverView(report.zone, is_failing, latest_outcome_ns)


def _latest_failure_first(observation: Observation) -> tuple[bool, int]:
    return observation.failure_age_ms < 0, observation.failure_age_ms


def _outcome_time_ns(written_at_ns: int, age_ms: int) -> int:
    return written_at_ns - age_ms * NS_PER_MS if age_ms >= 0 else NEVER_NS
