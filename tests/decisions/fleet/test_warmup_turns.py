"""The turns in which the brokers of a fleet use endpoints that warm up."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from query_broker import decisions as api
from query_broker.decisions.controller import AdmissionController
from query_broker.decisions.tracked_endpoint import TrackedEndpoint

from ...support.helpers import MS, Harness, S, entry
from .fleet_brokers import (
    CONTRACT,
    CORES_PER_ENDPOINT,
    FLEET_SIZE,
    change_list,
    endpoint_numbers,
    make_broker,
    make_fleet,
)


def has_turn(controller: AdmissionController, now: int, number: int) -> bool:
    """Whether this broker may use this endpoint, which warms up, at this moment."""
    slow_start = controller.selector.balancer.slow_start
    return slow_start.has_turn(now, controller.endpoints[number])


class DispatchedWork(NamedTuple):
    """An attempt that a broker made, and the work that it takes."""

    at_ns: int
    work_ns: int


def dispatch_while_warming_up(
    fleet: list[Harness], warming: set[int], draw: random.Random
) -> dict[int, list[DispatchedWork]]:
    """Twelve seconds of requests while these endpoints warm up, and what each of them got.

    The brokers hear of the new endpoints within two seconds. In a large fleet a tenth of them
    are down, and each of the others has fewer requests.
    """
    is_large = len(fleet) > FLEET_SIZE
    began = fleet[0].now
    new_entries = [entry(endpoint, started_ns=began) for endpoint in sorted(warming)]
    notified_at = [began + draw.randrange(2 * S) for _ in fleet]
    absent = set(draw.sample(range(len(fleet)), len(fleet) // 10)) if is_large else set()
    dispatched: dict[int, list[DispatchedWork]] = {endpoint: [] for endpoint in warming}
    for step in range(120):
        for index, harness in enumerate(fleet):
            if index in absent:
                continue
            if is_large and draw.random() > 0.4:
                continue
            harness.pass_time(began + step * 100 * MS - harness.now)
            if harness.now < notified_at[index]:
                continue
            if notified_at[index]:
                change_list(harness, *new_entries)
                notified_at[index] = 0
            serve_one_request(harness, f"r{step}", draw, dispatched)
    return dispatched


def serve_one_request(
    harness: Harness,
    name: str,
    draw: random.Random,
    dispatched: dict[int, list[DispatchedWork]],
) -> None:
    """A report or a lookup arrives and is served at once."""
    is_report = draw.random() < 0.2
    class_name = "report" if is_report else "glance"
    mean_work_ns = 2 * S if is_report else 200 * MS
    work_ns = int(mean_work_ns * draw.uniform(0.5, 1.5))
    harness.arrive(name, class_name, estimate_ns=work_ns)
    for attempt in harness.sends(name):
        if attempt.endpoint in dispatched:
            dispatched[attempt.endpoint].append(DispatchedWork(harness.now, work_ns))
        harness.end(name, api.AttemptResult.SERVED, latency=work_ns // 4)


def warmup_budget_ns(age_ns: int) -> float:
    """The work that an endpoint of this age may get within one overload window."""
    initial = CONTRACT.warmup_initial_capacity
    warmed_up = min(1.0, age_ns / CONTRACT.warmup_ns)
    capacity = initial + (1 - initial) * warmed_up
    window_ns = CONTRACT.overload_window_ns
    return capacity * CORES_PER_ENDPOINT * CONTRACT.overload_multiple * window_ns


@pytest.mark.parametrize(
    ("listed", "fresh", "brokers"),
    [
        pytest.param(30, 1, 40, id="one engine"),
        pytest.param(30, 15, 40, id="a zone"),
        pytest.param(30, 18, 40, id="six in ten"),
        pytest.param(60, 36, 40, id="six in ten of sixty"),
        pytest.param(80, 1, 200, id="one of eighty"),
        pytest.param(70, 40, 200, id="over half"),
        pytest.param(30, 30, 200, id="all"),
    ],
)
def test_the_sum_of_all_brokers_keeps_the_warmup_budget(
    listed: int, fresh: int, brokers: int
) -> None:
    """The budget holds for the sum of brokers that each know only what they dispatch themselves.

    Equal quotas would be under one query each and leave the endpoint idle; quotas that each
    broker draws for itself might all be large at once.
    """
    endpoints = endpoint_numbers(listed)
    warming = set(endpoints[:fresh])
    fleet = make_fleet(endpoints, brokers)
    began = fleet[0].now
    dispatched = dispatch_while_warming_up(fleet, warming, random.Random(3))
    for endpoint in warming:
        for at_ns, _ in dispatched[endpoint]:
            window_begins = at_ns - CONTRACT.overload_window_ns
            within_window = sum(
                work_ns
                for other_ns, work_ns in dispatched[endpoint]
                if window_begins < other_ns <= at_ns
            )
            assert within_window <= warmup_budget_ns(at_ns - began)
    all_work_ns = sum(work_ns for attempts in dispatched.values() for _, work_ns in attempts)
    cores_used = all_work_ns / len(warming) / (12 * S)
    initial_cores = CONTRACT.warmup_initial_capacity * CORES_PER_ENDPOINT
    assert cores_used > 0.3 * initial_cores


def test_turns_on_different_engines_are_not_in_step() -> None:
    """In step, all new endpoints would idle at the same moments, and the others get everything."""
    endpoints = endpoint_numbers(30)
    warming = endpoints[:15]
    harness = make_broker(endpoints)
    change_list(harness, *(entry(endpoint, started_ns=harness.now) for endpoint in warming))

    def open_now(at_ns: int) -> int:
        window_ns = CONTRACT.overload_window_ns
        return sum((at_ns + endpoint) % (2 * window_ns) < window_ns for endpoint in warming)

    open_counts = [open_now(harness.now + index * 100 * MS) for index in range(30)]
    assert min(open_counts) >= 3
    assert max(open_counts) <= 12


def test_at_most_one_broker_has_its_turn_on_an_endpoint() -> None:
    endpoints = endpoint_numbers(30)
    fleet = make_fleet(endpoints)
    now = fleet[0].now
    owner_counts = [
        sum(has_turn(broker.controller, now, endpoint) for broker in fleet)
        for endpoint in endpoints[:15]
    ]
    assert all(count <= 1 for count in owner_counts)
    assert any(owner_counts)


def test_a_turn_is_not_cut_short_by_the_usual_quota() -> None:
    """A broker's quota of a warm endpoint is a query or two; a turn is all that the endpoint has.

    And no more: all that the contract allows, dispatched by one broker, would jam it.
    """
    endpoints = endpoint_numbers(30)
    harness = make_broker(endpoints)
    change_list(harness, *(entry(endpoint, started_ns=harness.now) for endpoint in endpoints))
    controller = harness.controller

    def endpoints_in_turn() -> list[TrackedEndpoint]:
        return [
            endpoint
            for endpoint in controller.pool.warming_endpoints
            if has_turn(controller, harness.now, endpoint.entry.endpoint)
        ]

    while not endpoints_in_turn():
        harness.pass_time(50 * MS)
    endpoint = endpoints_in_turn()[0]
    for index in range(60):
        harness.arrive(f"r{index}", "glance", estimate_ns=200 * MS)
    assert endpoint.thread_quota < endpoint.threads_in_flight <= 2 * CORES_PER_ENDPOINT
