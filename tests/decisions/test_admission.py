"""The backlog, the admission test, and the choice of an endpoint."""

from __future__ import annotations

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class
from .harness_steps import one_endpoint_harness


@pytest.mark.parametrize("result", list(api.AttemptResult))
def test_backlog_counts_the_work_of_each_attempt_once(result: api.AttemptResult) -> None:
    harness = one_endpoint_harness()
    harness.arrive("r", estimate_ns=80 * MS)
    assert harness.backlog() == 80 * MS
    harness.end("r", result)
    while (
        not harness.answers("r")
        and result is not api.AttemptResult.SERVED
        and len(harness.sends("r")) < 4
    ):
        harness.end("r", result)
    if harness.controller.endpoints[1].in_flight:
        harness.end("r", api.AttemptResult.SERVED)
    assert harness.backlog() == 0


def test_backlog_is_empty_after_an_abandoned_request_and_a_repeated_outcome() -> None:
    harness = one_endpoint_harness()
    harness.arrive("r", estimate_ns=80 * MS)
    actions = harness.do(api.RequestAbandoned("r"))
    assert api.CancelAttempt("r", 0) in actions
    harness.end("r", api.AttemptResult.CANCELLED)
    harness.end("r", api.AttemptResult.CANCELLED)
    assert harness.backlog() == 0
    assert not harness.answers("r")


def send_requests(harness: Harness, count: int, estimate: int) -> None:
    for index in range(count):
        harness.arrive(f"c{index}", estimate_ns=estimate)


def test_request_that_does_not_fit_is_rejected_under_pressure_only() -> None:
    harness = one_endpoint_harness()
    send_requests(harness, 6, estimate=100 * MS)
    endpoint = harness.controller.endpoints[1]
    endpoint.full_until_ns = harness.now + S
    harness.arrive("fits", estimate_ns=100 * MS)
    assert harness.sends("fits")
    harness.arrive("too large", estimate_ns=60 * S, patience=99 * S)
    (answer,) = harness.answers("too large")
    # One of eight arrivals is rejected.
    assert isinstance(answer, api.Reject)
    assert answer.retry_after_ns == S // 8
    endpoint.full_until_ns = 0
    harness.arrive("no pressure", estimate_ns=60 * S, patience=99 * S)
    assert harness.sends("no pressure")


def test_more_than_two_threads_in_flight_per_core_count_as_pressure() -> None:
    """Delays show an overload only after it has begun; the thread count shows it earlier."""
    harness = one_endpoint_harness()
    send_requests(harness, 40, estimate=300 * MS)
    admitted = sum(1 for index in range(40) if harness.sends(f"c{index}"))
    assert 8 <= admitted < 16


def test_request_is_admitted_at_an_idle_endpoint_regardless_of_the_bound() -> None:
    harness = one_endpoint_harness()
    harness.controller.endpoints[1].bound_ns = 0.0
    harness.controller.endpoints[1].full_until_ns = harness.now + S
    harness.arrive("r", estimate_ns=60 * S, patience=99 * S)
    assert harness.sends("r")


@pytest.mark.parametrize(
    "entries",
    [(), (entry(1, state=api.EndpointState.DRAINING),)],
    ids=["empty list", "draining"],
)
def test_request_without_a_ready_endpoint_is_rejected_at_once(
    entries: tuple[api.EndpointEntry, ...],
) -> None:
    harness = Harness(make_settings(), *entries)
    harness.arrive("r")
    assert isinstance(harness.answers("r")[0], api.Reject)


def test_estimates_are_corrected_by_uncontended_attempts_only() -> None:
    """With the latencies of an overload every request would seem to have more work and a longer
    latency objective, so that the bound would not limit the overload.
    """
    harness = one_endpoint_harness()
    statistics = harness.controller.admission.classes.by_name["short"]
    send_requests(harness, 8, estimate=100 * MS)
    for index in range(8):
        harness.end(f"c{index}", api.AttemptResult.SERVED, latency=4 * S)
    uncontended_answers = statistics.uncontended_answer_count
    assert 0 < uncontended_answers < 8


def test_over_quota_traffic_is_rejected_first_under_pressure() -> None:
    harness = one_endpoint_harness(tenants=(api.Tenant("x", 2.0), api.Tenant("y", 2.0)))
    endpoint = harness.controller.endpoints[1]
    for index in range(8):
        harness.arrive(f"x{index}", tenant="x", estimate_ns=200 * MS)
    endpoint.full_until_ns = harness.now + S
    harness.arrive("more x", tenant="x", estimate_ns=200 * MS)
    harness.arrive("first y", tenant="y", estimate_ns=200 * MS)
    assert not harness.sends("more x")
    assert harness.sends("first y")


def test_endpoint_with_failures_gets_fewer_requests() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.controller.endpoints[1].failure_rate = 0.9
    for index in range(40):
        harness.arrive(f"r{index}", estimate_ns=10 * MS)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=10 * MS)
    assert sum(harness.sends(f"r{index}")[0].endpoint == 2 for index in range(40)) > 35


def test_loads_and_readers_of_a_data_set_use_different_endpoints() -> None:
    """A load blocks the readers of its data set on its endpoint."""
    load = query_class("load", is_load=True)
    reader = query_class("short", blocked_by_loads=True)
    harness = Harness(make_settings(reader, load), *(entry(index) for index in range(6)))
    endpoints: dict[str, list[int]] = {"load": [], "short": []}
    for index in range(160):
        name = "load" if index % 2 else "short"
        harness.arrive(f"r{index}", name, data_set=3, estimate_ns=10 * MS)
        endpoints[name].append(harness.sends(f"r{index}")[0].endpoint)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=10 * MS)
    load_endpoints = endpoints["load"]
    load_partition = sorted(set(load_endpoints), key=load_endpoints.count)[-2:]
    assert sum(endpoint in load_partition for endpoint in endpoints["load"]) > 56
    assert sum(endpoint in load_partition for endpoint in endpoints["short"]) < 18


def test_readers_avoid_an_endpoint_that_runs_a_load_of_their_data_set() -> None:
    load = query_class("load", is_load=True)
    reader = query_class("short", blocked_by_loads=True)
    harness = Harness(make_settings(reader, load), entry(1), entry(2))
    harness.arrive("load", "load", data_set=3, estimate_ns=10 * MS)
    for index in range(20):
        harness.arrive(f"r{index}", data_set=3, estimate_ns=10 * MS)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=10 * MS)
    load_endpoint = harness.sends("load")[0].endpoint
    reader_endpoints = [harness.sends(f"r{index}")[0].endpoint for index in range(20)]
    assert reader_endpoints.count(load_endpoint) < 6


def test_request_of_an_unknown_class_raises_an_error_that_names_the_key() -> None:
    harness = Harness(make_settings(query_class("short")), entry(1))
    with pytest.raises(ValueError, match="class_name"):
        harness.arrive("r", "unknown")


def test_marked_retries_take_no_tokens_of_the_quota() -> None:
    """Retries of rejected requests would take the tokens of new requests within the quota."""
    harness = one_endpoint_harness(tenants=(api.Tenant("x", 4.0),))
    for index in range(30):
        harness.arrive(f"again{index}", tenant="x", estimate_ns=MS, is_retry=True)
    harness.arrive("new", tenant="x", estimate_ns=MS)
    assert harness.controller.requests["again0"].over_quota
    assert not harness.controller.requests["new"].over_quota


def test_memory_grant_is_slightly_above_the_estimate() -> None:
    """With grants of twice the estimate an engine would make every second query spill."""
    harness = Harness(make_settings(memory_grants=True), entry(1))
    harness.arrive("r", estimate_ns=MS, memory_mb=100.0)
    granted = [
        order.memory_mb for _, order in harness.log if isinstance(order, api.DispatchOptions)
    ]
    assert len(granted) == 1
    assert 100.0 < granted[0] <= 130.0
