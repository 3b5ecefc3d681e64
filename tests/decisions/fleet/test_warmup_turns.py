"""The turns in which the brokers of a fleet use endpoints in warm-up."""

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
    """Return whether this broker has the turn at an endpoint in warm-up."""
    slow_start = controller.selector.balancer.slow_start
    return slow_start.has_turn(now, controller.endpoints[number])


class DispatchedWork(NamedTuple):
    """The time and the work of a dispatched attempt."""

    at_ns: int
    work_ns: int


def dispatch_while_warming_up(
    fleet: list[Harness], warming: set[int], random_source: random.Random
) -> dict[int, list[DispatchedWork]]:
    """Run requests for twelve seconds while these endpoints warm up; return the work of each.

    The brokers are notified of the new endpoints within two seconds. In a large fleet a tenth of
    the brokers are down, and each of the others has fewer requests.
    """
    is_large = len(fleet) > FLEET_SIZE
    began = fleet[0].now
    new_entries = [entry(endpoint, started_ns=began) for endpoint in sorted(warming)]
    notified_at = [began + random_source.randrange(2 * S) for _ in fleet]
    absent = set(random_source.sample(range(len(fleet)), len(fleet) // 10)) if is_large else set()
    dispatched: dict[int, list[DispatchedWork]] = {endpoint: [] for endpoint in warming}
    for step in range(120):
        for index, harness in enumerate(fleet):
            if index in absent:
                continue
            if is_large and random_source.random() > 0.4:
                continue
            harness.pass_time(began + step * 100 * MS - harness.now)
            if harness.now < notified_at[index]:
                continue
            if notified_at[index]:
                change_list(harness, *new_entries)
                notified_at[index] = 0
            serve_one_request(harness, f"r{step}", random_source, dispatched)
    return dispatched


def serve_one_request(
    harness: Harness,
    name: str,
    random_source: random.Random,
    dispatched: dict[int, list[DispatchedWork]],
) -> None:
    """Let a report or a lookup arrive and serve it at once."""
    is_report = random_source.random() < 0.2
    class_name = "report" if is_report else "glance"
    mean_work_ns = 2 * S if is_report else 200 * MS
    work_ns = int(mean_work_ns * random_source.uniform(0.5, 1.5))
    harness.arrive(name, class_name, estimate_ns=work_ns)
    for attempt in harness.sends(name):
        if attempt.endpoint in dispatched:
            dispatched[attempt.endpoint].append(DispatchedWork(harness.now, work_ns))
        harness.end(name, api.AttemptResult.SERVED, latency=work_ns // 4)


def warmup_budget_ns(age_ns: int) -> float:
    """Return the work that an endpoint of this age may get within one overload window."""
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
    """Brokers that each know only their own attempts must together stay within the budget.

    Equal quotas would be less than one request each and leave the endpoint idle; random quotas
    could be large on all brokers at once.
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


def test_turns_at_different_endpoints_do_not_coincide() -> None:
    """Otherwise all new endpoints would idle at the same time, and the others get all requests."""
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


def test_at_most_one_broker_has_the_turn_at_an_endpoint() -> None:
    endpoints = endpoint_numbers(30)
    fleet = make_fleet(endpoints)
    now = fleet[0].now
    owner_counts = [
        sum(has_turn(broker.controller, now, endpoint) for broker in fleet)
        for endpoint in endpoints[:15]
    ]
    assert all(count <= 1 for count in owner_counts)
    assert any(owner_counts)


def test_the_quota_of_a_warm_endpoint_does_not_limit_a_turn() -> None:
    """A broker's quota of a warm endpoint is one or two requests; in a turn it gets all capacity.

    But no more: the complete overload budget, dispatched by one broker, would overload it.
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
