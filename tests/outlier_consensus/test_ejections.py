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

FAILING = Endpoint("e1", 5)

MEMBERS = [f"{zone}{number}" for zone in "xy" for number in range(5)]

ZONES = {Endpoint(f"e{number}", 5): "x" if number < 5 else "y" for number in range(10)}


class Seen(NamedTuple):
    """What one observer saw of the failing endpoint; its zone is the first letter of its name."""

    observer: str
    failures: int
    successes: int


def report(
    seen: Seen, failure_age_ms: int = 100, success_age_ms: int = -1, version: int = 1
) -> ObserverReport:
    observation = Observation(
        FAILING, seen.failures, seen.successes, failure_age_ms, success_age_ms
    )
    return ObserverReport(seen.observer, seen.observer[0], version, 0, (observation,))


def all_failing(observer: str, failures: int, failure_age_ms: int, version: int) -> ObserverReport:
    observations = tuple(
        Observation(endpoint, failures, 0, failure_age_ms, -1) for endpoint in ZONES
    )
    return ObserverReport(observer, observer[0], version, 0, observations)


def consensus_in(zone: str, settings: OutlierConsensusSettings = SETTINGS) -> OutlierConsensus:
    return OutlierConsensus(ObservationStore("y4", zone, settings))


def receive(consensus: OutlierConsensus, now_ns: int, *reports: ObserverReport) -> None:
    consensus.observations.receive(now_ns, ObserverReports(reports), MEMBERS)


def evaluate(consensus: OutlierConsensus, now_ns: int = BEGIN_NS) -> ConsensusChange:
    return consensus.evaluate(now_ns, MEMBERS, ZONES)


FAILING_IN_X = (Seen("x0", 3, 0), Seen("x1", 3, 0), Seen("x2", 3, 0))


@pytest.mark.parametrize(
    ("seen", "zone", "scope"),
    [
        pytest.param(
            [Seen("x0", 3, 0), Seen("x1", 3, 0), Seen("y1", 2, 0)],
            "x",
            OutlierScope.FLEET,
            id="three observers",
        ),
        pytest.param([Seen("x0", 3, 0), Seen("x1", 3, 0)], "x", None, id="two of three"),
        pytest.param(
            [Seen("x0", 1, 0), Seen("x1", 1, 0), Seen("x2", 1, 0)], "x", None, id="once each"
        ),
        pytest.param(
            [*FAILING_IN_X, Seen("y0", 0, 5), Seen("y1", 0, 5)],
            "x",
            OutlierScope.ZONE,
            id="reached from other zones",
        ),
        pytest.param(
            [*FAILING_IN_X, Seen("y0", 0, 5), Seen("y1", 0, 5)],
            "y",
            None,
            id="reached from this zone alone",
        ),
        pytest.param(
            [*FAILING_IN_X, Seen("x3", 0, 5), Seen("x4", 0, 5)],
            "x",
            None,
            id="reached by some of this zone",
        ),
        pytest.param(
            [Seen("z9", 3, 0), Seen("z8", 3, 0), Seen("z7", 3, 0)], "x", None, id="no members"
        ),
    ],
)
def test_ejection_needs_distinct_observers_and_has_the_scope_they_prove(
    seen: Collection[Seen], zone: str, scope: OutlierScope | None
) -> None:
    consensus = consensus_in(zone)
    reports = [
        report(one, 100 if one.failures else -1, 50 if one.successes else -1) for one in seen
    ]
    receive(consensus, BEGIN_NS, *reports)
    ejected = evaluate(consensus).ejected
    assert [ejection.scope for ejection in ejected] == ([] if scope is None else [scope])


def test_one_observer_that_reports_all_as_failing_ejects_none() -> None:
    consensus = consensus_in("y")
    for version in range(1, 50):
        receive(consensus, BEGIN_NS, all_failing("x0", 9, 10, version))
    assert evaluate(consensus) == ([], [])


@pytest.fixture
def all_failing_consensus() -> OutlierConsensus:
    """Return a consensus for which three observers saw all endpoints fail."""
    consensus = consensus_in("y")
    for observer in ("x0", "x1", "y0"):
        receive(consensus, BEGIN_NS, all_failing(observer, 3, 100, 1))
    return consensus


def test_no_more_than_the_configured_fraction_of_a_zone_is_ejected(
    all_failing_consensus: OutlierConsensus,
) -> None:
    ejected = evaluate(all_failing_consensus).ejected
    # 0.3 of five: one of each zone
    assert sorted(ZONES[ejection.endpoint] for ejection in ejected) == ["x", "y"]


def test_restarted_endpoint_begins_without_a_past(all_failing_consensus: OutlierConsensus) -> None:
    ejected = evaluate(all_failing_consensus).ejected
    restarted = {Endpoint(endpoint.uid, 9): zone for endpoint, zone in ZONES.items()}
    change = all_failing_consensus.evaluate(BEGIN_NS + NS_PER_S, MEMBERS, restarted)
    assert change.readmitted == [ejection.endpoint for ejection in ejected]
    assert not all_failing_consensus.ejections


def test_fewer_and_newer_successes_readmit_and_each_relapse_lasts_longer() -> None:
    consensus = consensus_in("y", replace(SETTINGS, max_age_ns=60 * NS_PER_S))
    now_ns = BEGIN_NS
    version = 0
    durations_ns: list[int] = []
    for _ in range(3):
        version += 1
        receive(consensus, now_ns, *(report(seen, version=version) for seen in FAILING_IN_X))
        (ejection,) = evaluate(consensus, now_ns).ejected
        durations_ns.append(ejection.min_end_ns - ejection.ejected_at_ns)
        now_ns = ejection.min_end_ns + NS_PER_S
        version += 1
        receive(consensus, now_ns, report(Seen("x0", 3, 4), 5_000, 10, version))
        assert evaluate(consensus, now_ns).readmitted == []  # one of two
        receive(consensus, now_ns, report(Seen("x1", 3, 4), 5_000, 10, version))
        assert evaluate(consensus, now_ns).readmitted == [FAILING]
        now_ns += 65 * NS_PER_S  # all observations are too old by now
    assert durations_ns == [5 * NS_PER_S, 10 * NS_PER_S, 20 * NS_PER_S]
