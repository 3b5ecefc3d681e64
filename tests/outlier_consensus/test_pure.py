"""Outlier consensus: observations, ejections, operators' overrides. No sockets, no clock."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import replace
from typing import NamedTuple

import pytest

from query_broker.outlier_consensus.consensus import (
    ConsensusChange,
    OutlierConsensus,
    OutlierScope,
)
from query_broker.outlier_consensus.messages import (
    Endpoint,
    Observation,
    ObserverReport,
    ObserverReports,
    Override,
)
from query_broker.outlier_consensus.observations import ObservationStore
from query_broker.outlier_consensus.overrides import OverrideStore
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


# --- overrides ---


class ConcurrentOverrides(NamedTuple):
    """Overrides by operators on both sides of a partition, and one by a broker in between.

    Attributes:
        first_store: Store of the author of the first.
        second_store: Store of the author of the second.
        first: Enables e1.
        second: Disables e1.
        later: On e2, by one who had received the first.
    """

    first_store: OverrideStore
    second_store: OverrideStore
    first: Override
    second: Override
    later: Override


@pytest.fixture
def concurrent() -> ConcurrentOverrides:
    first_store = OverrideStore("h1")
    second_store = OverrideStore("h2")
    first = first_store.set("e1", "back", 3)
    second = second_store.set("e1", "out", 3)
    third_store = OverrideStore("h3")
    third_store.merge([first], 3)
    later = third_store.set("e2", "pinned", 3)
    return ConcurrentOverrides(first_store, second_store, first, second, later)


def test_overrides_merge_to_the_same_in_any_order(concurrent: ConcurrentOverrides) -> None:
    stores = []
    for seed in range(6):
        store = OverrideStore("h9")
        overrides = [concurrent.first, concurrent.second, concurrent.later, concurrent.first]
        random.Random(seed).shuffle(overrides)
        for override in overrides:
            store.merge([override], 3)
        stores.append(store)
    assert {store.digest() for store in stores} == {stores[0].digest()}
    assert stores[0].overrides["e1"] == concurrent.second  # of equals, out
    assert all(store.superseded["e1"] == concurrent.first for store in stores)


def test_author_of_a_superseded_override_is_shown_it(concurrent: ConcurrentOverrides) -> None:
    concurrent.first_store.merge([concurrent.second], 3)
    assert concurrent.first_store.superseded["e1"] == concurrent.first


def test_override_by_one_who_knew_the_replaced_one_is_no_conflict(
    concurrent: ConcurrentOverrides,
) -> None:
    concurrent.first_store.merge([concurrent.second], 3)
    assert concurrent.first_store.set("e1", "back", 3).version == 2
    concurrent.second_store.merge(concurrent.first_store.overrides.values(), 3)
    assert concurrent.second_store.overrides["e1"].value == "back"
    assert "e1" not in concurrent.second_store.superseded


def test_override_is_sent_a_bounded_number_of_times() -> None:
    store = OverrideStore("h1")
    store.set("e1", "out", 3)
    assert [len(store.next_batch(8)) for _ in range(5)] == [1, 1, 1, 0, 0]


@pytest.mark.parametrize(
    "override",
    [
        pytest.param(Override("e2", "burn", 1, "x"), id="unknown value"),
        pytest.param(Override("e3", "out", 0, "x"), id="version zero"),
    ],
)
def test_invalid_override_is_ignored(override: Override) -> None:
    assert OverrideStore("h1").merge([override], 3) == []
