"""Which endpoints a broker of a fleet ejects, and for what."""

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
    """Requests that this endpoint answers with an error and another one serves.

    While a request arrives all others seem to drain, so that it goes to this endpoint first.
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


def test_an_engine_that_fails_what_others_serve_is_ejected() -> None:
    """It fails fast, looks idle, and would draw three times as much as the others."""
    harness = make_broker(endpoint_numbers(30), limits=LIMITS)
    endpoint = harness.controller.pool.subset[0]
    fail_requests(harness, endpoint.entry.endpoint, 1)
    assert not endpoint.ejected
    fail_requests(harness, endpoint.entry.endpoint, 2)
    assert endpoint.ejected


def test_what_no_engine_can_read_ejects_none() -> None:
    """One client's statements would otherwise eject every endpoint."""
    harness = make_broker(endpoint_numbers(30), limits=LIMITS)
    for index in range(40):
        harness.arrive(f"bad{index}", "glance", estimate_ns=MS)
        while not harness.answers(f"bad{index}"):
            harness.end(f"bad{index}", api.AttemptResult.ERROR)
    assert not any(endpoint.ejected for endpoint in harness.controller.endpoints.values())


def test_engines_with_full_tables_are_tried_seldom_while_others_have_capacity() -> None:
    """A rejected connect of each of 40 brokers for each request would keep the tables full."""
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
    assert 0 < attempts <= len(full)  # once each: from then on by health checks


def test_a_full_engine_is_ejected_and_checked_before_it_gets_more() -> None:
    """Fifty brokers with nothing in flight there would each dispatch one query, again and again."""
    harness = make_broker(endpoint_numbers(80), fleet_size=200, limits=LIMITS)
    harness.arrive("r0", "glance", estimate_ns=MS)
    endpoint = harness.controller.endpoints[harness.sends("r0")[0].endpoint]
    harness.end("r0", api.AttemptResult.FULL)
    assert endpoint.ejected
    assert harness.sends("r0")[-1].endpoint != endpoint.entry.endpoint
    answer_health_check(harness, endpoint, inflight=30.0)
    assert endpoint.ejected  # it lives, and is jammed
    answer_health_check(harness, endpoint, inflight=3.0)
    assert not endpoint.ejected
    assert endpoint.in_pool


def test_an_answer_that_was_late_does_not_clear_a_jammed_engine() -> None:
    harness = make_broker(endpoint_numbers(80), fleet_size=200, limits=LIMITS)
    harness.arrive("r0", "glance", patience=20 * S, estimate_ns=100 * MS)
    endpoint = harness.controller.endpoints[harness.sends("r0")[0].endpoint]
    answer_health_check(harness, endpoint, inflight=30.0)
    harness.pass_time(250 * MS)
    harness.end("r0", api.AttemptResult.SERVED, latency=5 * S)
    assert endpoint.ejected
