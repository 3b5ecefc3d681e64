"""Outlier consensus: observations, ejections and readmissions. Performs no I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace
from typing import NamedTuple

import pytest

from query_broker.outlier_consensus.consensus import ConsensusChange, OutlierConsensus, OutlierScope
from query_broker.outlier_consensus.messages import (
    Endpoint,
    Observation,
    ObserverReport,
    ObserverReports,
)
from query_broker.outlier_consensus.observations import ObservationStore
from query_broker.outlier_consensus.settings import NS_PER_S, OutlierConsensusSettings

BEGIN_NS = 1_000 * NS_PER_S

SETTINGS = OutlierConsensusSettings(observers=3, failures=2)

FAILING_ENDPOINT = Endpoint("e1", 5)

MEMBERS = [f"{zone}{number}" for zone in "xy" for number in range(5)]

ZONES = {Endpoint(f"e{number}", 5): "x" if number < 5 else "y" for number in range(10)}


class ObserverCounts(NamedTuple):
    """Outcomes of one observer at the endpoint; its zone is the first letter of its name."""

    observer: str
    failures: int
    successes: int


def observer_report(
    counts: ObserverCounts, failure_age_ms: int = 100, success_age_ms: int = -1, version: int = 1
) -> ObserverReport:
    observation = Observation(
        FAILING_ENDPOINT, counts.failures, counts.successes, failure_age_ms, success_age_ms
    )
    return ObserverReport(counts.observer, counts.observer[0], version, 0, (observation,))


def report_all_failing(
    observer: str, failures: int, failure_age_ms: int, version: int
) -> ObserverReport:
    observations = tuple(
        Observation(endpoint, failures, 0, failure_age_ms, -1) for endpoint in ZONES
    )
    return ObserverReport(observer, observer[0], version, 0, observations)


def consensus_in_zone(zone: str, settings: OutlierConsensusSettings = SETTINGS) -> OutlierConsensus:
    return OutlierConsensus(ObservationStore("y4", zone, settings))


def receive(consensus: OutlierConsensus, now_ns: int, *reports: ObserverReport) -> None:
    consensus.observations.receive(now_ns, ObserverReports(reports), MEMBERS)


def evaluate(consensus: OutlierConsensus, now_ns: int = BEGIN_NS) -> ConsensusChange:
    return consensus.evaluate(now_ns, MEMBERS, ZONES)


OBSERVERS_IN_X = (
    ObserverCounts("x0", 3, 0),
    ObserverCounts("x1", 3, 0),
    ObserverCounts("x2", 3, 0),
)


@pytest.mark.parametrize(
    ("observer_counts", "zone", "scope"),
    [
        pytest.param(
            [ObserverCounts("x0", 3, 0), ObserverCounts("x1", 3, 0), ObserverCounts("y1", 2, 0)],
            "x",
            OutlierScope.FLEET,
            id="three observers",
        ),
        pytest.param(
            [ObserverCounts("x0", 3, 0), ObserverCounts("x1", 3, 0)], "x", None, id="two of three"
        ),
        pytest.param(
            [ObserverCounts("x0", 1, 0), ObserverCounts("x1", 1, 0), ObserverCounts("x2", 1, 0)],
            "x",
            None,
            id="once each",
        ),
        pytest.param(
            [*OBSERVERS_IN_X, ObserverCounts("y0", 0, 5), ObserverCounts("y1", 0, 5)],
            "x",
            OutlierScope.ZONE,
            id="reached from other zones",
        ),
        pytest.param(
            [*OBSERVERS_IN_X, ObserverCounts("y0", 0, 5), ObserverCounts("y1", 0, 5)],
            "y",
            None,
            id="reached from this zone alone",
        ),
        pytest.param(
            [*OBSERVERS_IN_X, ObserverCounts("x3", 0, 5), ObserverCounts("x4", 0, 5)],
            "x",
            None,
            id="reached by some of this zone",
        ),
        pytest.param(
            [ObserverCounts("z9", 3, 0), ObserverCounts("z8", 3, 0), ObserverCounts("z7", 3, 0)],
            "x",
            None,
            id="no members",
        ),
    ],
)
def test_ejection_needs_distinct_observers_whose_zones_determine_its_scope(
    observer_counts: Collection[ObserverCounts], zone: str, scope: OutlierScope | None
) -> None:
    consensus = consensus_in_zone(zone)
    reports = [
        observer_report(counts, 100 if counts.failures else -1, 50 if counts.successes else -1)
        for counts in observer_counts
    ]
    receive(consensus, BEGIN_NS, *reports)
    ejected = evaluate(consensus).ejected
    assert [ejection.scope for ejection in ejected] == ([] if scope is None else [scope])


def test_one_observer_that_reports_all_as_failing_ejects_none() -> None:
    consensus = consensus_in_zone("y")
    for version in range(1, 50):
        receive(consensus, BEGIN_NS, report_all_failing("x0", 9, 10, version))
    assert evaluate(consensus) == ([], [])


@pytest.fixture
def all_failing_consensus() -> OutlierConsensus:
    """Return a consensus with reports of three observers that all endpoints fail."""
    consensus = consensus_in_zone("y")
    for observer in ("x0", "x1", "y0"):
        receive(consensus, BEGIN_NS, report_all_failing(observer, 3, 100, 1))
    return consensus


def test_at_most_the_configured_fraction_of_a_zone_is_ejected(
    all_failing_consensus: OutlierConsensus,
) -> None:
    ejected = evaluate(all_failing_consensus).ejected
    # 0.3 of the five endpoints of a zone is one
    assert sorted(ZONES[ejection.endpoint] for ejection in ejected) == ["x", "y"]


def test_restart_ends_the_ejection_of_an_endpoint(all_failing_consensus: OutlierConsensus) -> None:
    ejected = evaluate(all_failing_consensus).ejected
    restarted = {Endpoint(endpoint.uid, 9): zone for endpoint, zone in ZONES.items()}
    change = all_failing_consensus.evaluate(BEGIN_NS + NS_PER_S, MEMBERS, restarted)
    assert change.readmitted == [ejection.endpoint for ejection in ejected]
    assert not all_failing_consensus.ejections


def test_newer_successes_of_fewer_observers_readmit_and_relapses_last_longer() -> None:
    consensus = consensus_in_zone("y", replace(SETTINGS, max_age_ns=60 * NS_PER_S))
    now_ns = BEGIN_NS
    version = 0
    durations_ns: list[int] = []
    for _ in range(3):
        version += 1
        receive(
            consensus,
            now_ns,
            *(observer_report(counts, version=version) for counts in OBSERVERS_IN_X),
        )
        (ejection,) = evaluate(consensus, now_ns).ejected
        durations_ns.append(ejection.min_end_ns - ejection.ejected_at_ns)
        now_ns = ejection.min_end_ns + NS_PER_S
        version += 1
        receive(consensus, now_ns, observer_report(ObserverCounts("x0", 3, 4), 5_000, 10, version))
        assert evaluate(consensus, now_ns).readmitted == []  # one of the two needed
        receive(consensus, now_ns, observer_report(ObserverCounts("x1", 3, 4), 5_000, 10, version))
        assert evaluate(consensus, now_ns).readmitted == [FAILING_ENDPOINT]
        now_ns += 65 * NS_PER_S  # all observations are outdated
    assert durations_ns == [5 * NS_PER_S, 10 * NS_PER_S, 20 * NS_PER_S]
