"""The decisions with a second process of the broker: bounds, quotas and observations."""

from __future__ import annotations

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def test_work_of_another_process_counts_towards_the_bound_until_it_ends() -> None:
    """Otherwise each process would fill the whole bound, and both would overload the endpoint."""
    harness = Harness(make_settings(), entry(1))
    bound = int(harness.controller.endpoints[1].bound_ns)
    harness.do(
        api.PeerProcessLoad(
            {1: api.OutstandingWork(40, bound, 0), 7: api.OutstandingWork(1, 1, 1)}, 2
        )
    )
    harness.arrive("r", estimate_ns=100 * MS)
    assert not harness.sends("r")
    assert isinstance(harness.answers("r")[0], api.Reject)
    # the work of other processes is not reported as work of this process
    assert harness.controller.outstanding(harness.now)[1] == api.OutstandingWork(0, 0, 0)
    harness.do(api.PeerProcessLoad({}, 1))
    assert harness.backlog() == 0
    harness.arrive("s", estimate_ns=100 * MS)
    assert harness.sends("s")


def test_a_warming_up_endpoint_gets_no_more_work_from_two_processes_than_from_one() -> None:
    harness = Harness(make_settings(), entry(1, started_ns=100 * S))
    harness.do(api.PeerProcessLoad({1: api.OutstandingWork(0, 0, 2 * S)}, 2))
    harness.arrive("r", estimate_ns=100 * MS)
    assert not harness.sends("r")
    harness.do(api.PeerProcessLoad({}, 1))
    harness.arrive("s", estimate_ns=100 * MS)
    assert harness.sends("s")


def test_the_quota_of_a_tenant_is_halved_between_two_accepting_processes() -> None:
    tenants = (api.Tenant("a", 4.0),)

    def within_quota(accepting: int) -> int:
        harness = Harness(make_settings(query_class(), tenants=tenants), entry(1))
        harness.do(api.PeerProcessLoad({}, accepting))
        for number in range(10):
            harness.arrive(f"r{number}", estimate_ns=MS, tenant="a")
        return sum(not request.over_quota for request in harness.controller.requests.values())

    assert (within_quota(1), within_quota(2)) == (8, 4)


def test_failures_count_for_an_endpoint_with_a_start_time_in_the_future() -> None:
    """Otherwise its timeouts and failures would not count until that time."""
    harness = Harness(make_settings(), entry(1, started_ns=110 * S))
    harness.arrive("r", estimate_ns=MS)
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    assert harness.controller.endpoints[1].ejected


def test_the_result_of_an_attempt_from_before_an_enable_is_not_counted() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("r", estimate_ns=MS)
    endpoint = harness.sends("r")[0].endpoint
    harness.do(api.AdministrativeChange(endpoint, True, harness.now))
    harness.now += S
    harness.do(api.AdministrativeChange(endpoint, False, harness.now))
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    assert not harness.controller.endpoints[endpoint].ejected
    assert harness.controller.count_avoided_endpoints() == 0
