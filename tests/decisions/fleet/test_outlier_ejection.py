"""Which endpoints a broker of a fleet ejects, and why."""

from __future__ import annotations

from query_broker import decisions as api

from ...support.helpers import MS, Harness, S, entry
from .fleet_brokers import (
    LIMITS,
    answer_health_check,
    endpoint_numbers,
    make_broker,
)


def fail_requests(harness: Harness, number: int, times: int) -> None:
    """Run requests that this endpoint answers with an error and another endpoint serves.

    At each arrival all other endpoints are marked as draining, so that the request is dispatched to
    this endpoint first.
    """
    endpoints = harness.controller.endpoints.values()
    for index in range(times):
        name = f"{number}-{index}-{harness.now}"
        for endpoint in endpoints:
            is_ready = endpoint.entry.endpoint == number
            state = api.EndpointState.READY if is_ready else api.EndpointState.DRAINING
            endpoint.entry = entry(endpoint.entry.endpoint, state=state)
        harness.arrive(name, "glance", estimate_ns=MS)
        for endpoint in endpoints:
            endpoint.entry = entry(endpoint.entry.endpoint)
        assert harness.sends(name)[0].endpoint == number
        harness.end(name, api.AttemptResult.ERROR)
        harness.end(name, api.AttemptResult.SERVED, latency=MS)


def test_endpoint_that_fails_requests_which_others_serve_is_ejected() -> None:
    """It fails fast, looks idle, and would get three times as many requests as the others."""
    harness = make_broker(endpoint_numbers(30), limits=LIMITS)
    endpoint = harness.controller.pool.subset[0]
    fail_requests(harness, endpoint.entry.endpoint, 1)
    assert not endpoint.ejected
    fail_requests(harness, endpoint.entry.endpoint, 2)
    assert endpoint.ejected


def test_requests_that_every_endpoint_fails_eject_none() -> None:
    """Otherwise the faulty statements of one client would eject every endpoint."""
    harness = make_broker(endpoint_numbers(30), limits=LIMITS)
    for index in range(40):
        harness.arrive(f"bad{index}", "glance", estimate_ns=MS)
        while not harness.answers(f"bad{index}"):
            harness.end(f"bad{index}", api.AttemptResult.ERROR)
    assert not any(endpoint.ejected for endpoint in harness.controller.endpoints.values())


def test_endpoints_that_refuse_connections_are_tried_once() -> None:
    """Connection attempts of 40 brokers for each request would keep the connection tables full."""
    endpoints = endpoint_numbers(30)
    harness = make_broker(endpoints, limits=LIMITS)
    full = set(endpoints[::2])
    attempts = 0
    for index in range(100):
        name = f"r{index}"
        harness.arrive(name, "glance", estimate_ns=MS)
        while harness.sends(name)[-1].endpoint in full:
            attempts += 1
            harness.end(name, api.AttemptResult.CONNECT_FAILED)
        harness.end(name, api.AttemptResult.SERVED, latency=MS)
        harness.pass_time(100 * MS)
    assert 0 < attempts <= len(full)  # one request each; later trials are health checks


def test_full_endpoint_stays_ejected_until_a_health_check_shows_capacity() -> None:
    """Otherwise brokers without an attempt at the endpoint would go on dispatching to it."""
    harness = make_broker(endpoint_numbers(80), fleet_size=200, limits=LIMITS)
    harness.arrive("r0", "glance", estimate_ns=MS)
    endpoint = harness.controller.endpoints[harness.sends("r0")[0].endpoint]
    harness.end("r0", api.AttemptResult.FULL)
    assert endpoint.ejected
    assert harness.sends("r0")[-1].endpoint != endpoint.entry.endpoint
    answer_health_check(harness, endpoint, inflight=30.0)
    assert endpoint.ejected  # it answers, but is overloaded
    answer_health_check(harness, endpoint, inflight=3.0)
    assert not endpoint.ejected
    assert endpoint.in_pool


def test_late_answer_does_not_end_the_ejection_of_an_overloaded_endpoint() -> None:
    harness = make_broker(endpoint_numbers(80), fleet_size=200, limits=LIMITS)
    harness.arrive("r0", "glance", patience=20 * S, estimate_ns=100 * MS)
    endpoint = harness.controller.endpoints[harness.sends("r0")[0].endpoint]
    answer_health_check(harness, endpoint, inflight=30.0)
    harness.pass_time(250 * MS)
    harness.end("r0", api.AttemptResult.SERVED, latency=5 * S)
    assert endpoint.ejected
