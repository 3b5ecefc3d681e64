"""Outlier detection: endpoints without answers, unreachable or failing, and faults of others."""

from __future__ import annotations

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def two_endpoint_harness() -> Harness:
    return Harness(make_settings(query_class(deadline_ns=60 * S)), entry(1), entry(2))


def run_requests(
    harness: Harness, count: int, silent_endpoint: int, prefix: str = "r"
) -> list[int]:
    """Send requests 50 ms apart, which all endpoints but the silent one answer.

    Returns the endpoint of each attempt.
    """
    endpoints = []
    for index in range(count):
        name = f"{prefix}{index}"
        harness.arrive(name, estimate_ns=40 * MS, patience=60 * S)
        for dispatch in harness.sends(name):
            endpoints.append(dispatch.endpoint)
            if dispatch.endpoint != silent_endpoint:
                harness.end(name, api.AttemptResult.SERVED, latency=40 * MS)
        harness.pass_time(50 * MS)
    return endpoints


def test_endpoint_without_answers_is_ejected_and_gets_few_trials() -> None:
    """The endpoint accepts attempts and never answers; without ejection it would get half of all
    requests.
    """
    harness = two_endpoint_harness()
    run_requests(harness, 20, silent_endpoint=1)
    later = run_requests(harness, 100, silent_endpoint=1, prefix="s")
    assert harness.controller.endpoints[1].ejected
    assert later.count(1) <= 5


def test_one_answer_readmits_an_ejected_endpoint() -> None:
    harness = two_endpoint_harness()
    endpoints = run_requests(harness, 40, silent_endpoint=1)
    assert harness.controller.endpoints[1].ejected
    harness.end(f"r{endpoints.index(1)}", api.AttemptResult.SERVED, latency=2 * S)
    assert not harness.controller.endpoints[1].ejected


def test_request_is_dispatched_even_if_all_endpoints_are_ejected() -> None:
    harness = two_endpoint_harness()
    for endpoint in harness.controller.endpoints.values():
        endpoint.ejected = True
        endpoint.next_trial_ns = harness.now + 99 * S
    harness.arrive("r", estimate_ns=MS)
    assert harness.sends("r")


def test_refused_connection_ejects_an_endpoint_at_once() -> None:
    harness = two_endpoint_harness()
    harness.arrive("r", estimate_ns=40 * MS)
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    first, second = (dispatch.endpoint for dispatch in harness.sends("r"))
    assert first != second
    assert harness.controller.endpoints[first].ejected


def test_second_reset_ejects_an_endpoint_and_the_first_does_not() -> None:
    """Connections are reset for many reasons; each reset would cost an endpoint for a second."""
    harness = Harness(make_settings(), entry(1))
    harness.arrive("a", estimate_ns=40 * MS)
    harness.arrive("b", estimate_ns=40 * MS)
    harness.end("a", api.AttemptResult.RESET, attempt=0)
    assert not harness.controller.endpoints[1].ejected
    harness.end("b", api.AttemptResult.RESET, attempt=0)
    assert harness.controller.endpoints[1].ejected


def test_errors_lower_the_share_of_an_endpoint_without_ejecting_it() -> None:
    """An endpoint that fails fast looks idle and would get nearly all requests. If it were ejected,
    the capacity for the requests that it serves would be lost.
    """
    harness = two_endpoint_harness()
    bad = harness.controller.endpoints[1]
    for index in range(200):
        harness.arrive(f"r{index}", estimate_ns=40 * MS)
        fails = harness.sends(f"r{index}")[-1].endpoint == 1 and index % 3 > 0
        harness.end(f"r{index}", api.AttemptResult.ERROR if fails else api.AttemptResult.SERVED)
        if fails:
            endpoints = [dispatch.endpoint for dispatch in harness.sends(f"r{index}")]
            assert endpoints == [1, 2]  # no retry at the endpoint of the error
            harness.end(f"r{index}", api.AttemptResult.SERVED)
    first = [harness.sends(f"r{index}")[0].endpoint for index in range(100, 200)].count(1)
    assert 0 < first < 25
    assert bad.error_rate > 0.3
    assert not bad.ejected


def test_requests_that_every_endpoint_fails_leave_their_error_rates_equal() -> None:
    """Requests that no engine can read would make every endpoint look faulty."""
    harness = two_endpoint_harness()
    for index in range(20):
        harness.arrive(f"bad{index}", estimate_ns=40 * MS)
        while not harness.answers(f"bad{index}"):
            harness.end(f"bad{index}", api.AttemptResult.ERROR)
        assert len(harness.sends(f"bad{index}")) == 2  # no retry follows a second error
    one, other = harness.controller.endpoints.values()
    assert one.failure_rate == other.failure_rate == 0.0
    assert abs(one.error_rate - other.error_rate) < 1e-9


def test_non_idempotent_requests_avoid_a_failing_endpoint_more_than_others() -> None:
    """A failed non-idempotent request is lost, while an idempotent one is retried elsewhere."""
    load = query_class("load", effect=api.Effect.NON_IDEMPOTENT)
    harness = Harness(make_settings(query_class(), load), entry(1), entry(2))
    harness.controller.endpoints[1].error_rate = 0.5
    dispatch_counts = {"short": 0, "load": 0}
    for name in ("short", "load"):
        for index in range(300):
            harness.arrive(f"{name}{index}", name, estimate_ns=10 * MS)
            is_to_failing_endpoint = harness.sends(f"{name}{index}")[0].endpoint == 1
            dispatch_counts[name] += is_to_failing_endpoint
            harness.end(f"{name}{index}", api.AttemptResult.CANCELLED, finished=True)
    assert dispatch_counts["load"] < dispatch_counts["short"] / 3


def means_and_timers(harness: Harness) -> tuple[float, float, int]:
    """Return the mean work, the mean priority weight, and the number of timers."""
    capacity = harness.controller.selector.capacity
    return (
        capacity.mean_work_ns,
        capacity.mean_priority_weight,
        len(harness.controller.orders.timers),
    )


def test_rejected_request_changes_no_mean_and_leaves_no_state() -> None:
    """A client's estimate of 10^7 ms would raise the mean work and with it the bound of every
    request, which would overload the endpoints.
    """
    harness = two_endpoint_harness()
    before = means_and_timers(harness)
    for index in range(50):
        harness.arrive(f"r{index}", estimate_ns=10_000 * S)
        assert isinstance(harness.answers(f"r{index}")[0], api.Reject)
    assert means_and_timers(harness) == before
    assert not harness.controller.requests


def test_state_per_data_set_is_bounded() -> None:
    load = query_class(is_load=True, deadline_ns=60 * S)
    harness = Harness(
        make_settings(load, query_class("reader", blocked_by_loads=True)), entry(1), entry(2)
    )
    for index in range(3_000):
        harness.arrive(f"r{index}", estimate_ns=MS, data_set=index)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=MS)
    assert len(harness.controller.affinity.ranks) <= 1_001
    assert not harness.controller.affinity.loads_in_flight


def test_non_idempotent_requests_are_no_trials_of_an_ejected_endpoint() -> None:
    harness = Harness(
        make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), entry(1), entry(2)
    )
    harness.controller.endpoints[1].ejected = True
    for index in range(20):
        harness.arrive(f"r{index}", estimate_ns=MS)
        harness.end(f"r{index}", api.AttemptResult.SERVED, latency=MS)
    assert all(harness.sends(f"r{index}")[0].endpoint == 2 for index in range(20))


def test_a_progress_message_counts_as_activity() -> None:
    harness = Harness(make_settings(), entry(1))
    harness.arrive("r", estimate_ns=2 * S)
    harness.now += 2 * S
    assert harness.do(api.AttemptProgress("r", 0, 1, api.ProgressKind.PROGRESS, 0.1)) == []
    assert harness.controller.endpoints[1].last_activity_ns == harness.now


def test_no_attempt_is_cancelled_if_the_limits_forbid_cancellation() -> None:
    limits = api.Limits(cancellation=False, max_attempts=4)
    harness = Harness(make_settings(limits=limits), entry(1), entry(2))
    harness.arrive("r", estimate_ns=2 * S)
    harness.now += S
    harness.do(
        api.AttemptProgress("r", 0, harness.sends("r")[0].endpoint, api.ProgressKind.PROGRESS, 0.1)
    )
    harness.pass_time(9 * S)
    assert not [order for _, order in harness.log if isinstance(order, api.CancelAttempt)]


def test_request_whose_wait_for_its_key_exceeds_the_latency_objective_is_rejected() -> None:
    """Otherwise all requests of a hot key would be late, and the last would have no time left."""
    harness = Harness(make_settings(query_class(ordered_by_key=True, deadline_ns=60 * S)), entry(1))
    for index in range(6):
        harness.arrive(f"r{index}", key="k", estimate_ns=200 * MS, patience=60 * S)
    assert harness.sends("r0")
    assert not harness.answers("r1")
    assert isinstance(harness.answers("r5")[0], api.Reject)


def test_full_endpoint_without_backlog_is_tried_once_a_second() -> None:
    """Otherwise it would get and reject requests without a pause, which adds to its overload."""
    harness = Harness(make_settings(), entry(1))
    for index in range(50):
        harness.arrive(f"r{index}", estimate_ns=MS)
        for _ in harness.sends(f"r{index}"):
            harness.end(f"r{index}", api.AttemptResult.FULL)
        harness.pass_time(20 * MS)
    assert 1 <= sum(len(harness.sends(f"r{index}")) for index in range(50)) <= 2
    assert all(len(harness.answers(f"r{index}")) == 1 for index in range(50))
