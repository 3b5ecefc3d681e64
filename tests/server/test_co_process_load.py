"""The decisions with a second process: they divide one quota, and keep what they observe."""

from __future__ import annotations

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def test_work_of_the_other_process_counts_against_the_bound_and_ends_with_it() -> None:
    """Each would fill the complete bound, and together they would overrun the endpoint."""
    harness = Harness(make_settings(), entry(1))
    bound = int(harness.controller.endpoints[1].bound_ns)
    harness.do(
        api.CoProcessLoad(
            {1: api.OutstandingWork(40, bound, 0), 7: api.OutstandingWork(1, 1, 1)}, 2
        )
    )
    harness.arrive("r", estimate_ns=100 * MS)
    assert not harness.sends("r")
    assert isinstance(harness.answers("r")[0], api.Reject)
    # the work of the others is not reported as that of this process
    assert harness.controller.outstanding(harness.now)[1] == api.OutstandingWork(0, 0, 0)
    harness.do(api.CoProcessLoad({}, 1))
    assert harness.backlog() == 0
    harness.arrive("s", estimate_ns=100 * MS)
    assert harness.sends("s")


def test_an_endpoint_that_warms_up_gets_no_more_from_two_processes_than_from_one() -> None:
    harness = Harness(make_settings(), entry(1, started_ns=100 * S))
    harness.do(api.CoProcessLoad({1: api.OutstandingWork(0, 0, 2 * S)}, 2))
    harness.arrive("r", estimate_ns=100 * MS)
    assert not harness.sends("r")
    harness.do(api.CoProcessLoad({}, 1))
    harness.arrive("s", estimate_ns=100 * MS)
    assert harness.sends("s")


def test_the_quota_of_a_tenant_is_halved_between_two_accepting_processes() -> None:
    tenants = (api.Tenant("a", 4.0),)

    def within_quota(accepting: int) -> int:
        harness = Harness(make_settings(query_class(), tenants=tenants), entry(1))
        harness.do(api.CoProcessLoad({}, accepting))
        for number in range(10):
            harness.arrive(f"r{number}", estimate_ns=MS, tenant="a")
        return sum(not request.over_quota for request in harness.controller.requests.values())

    assert (within_quota(1), within_quota(2)) == (8, 4)


def test_an_endpoint_whose_start_lies_ahead_is_observed_all_the_same() -> None:
    """Its timeouts and failures would count for nothing until that time."""
    harness = Harness(make_settings(), entry(1, started_ns=110 * S))
    harness.arrive("r", estimate_ns=MS)
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    assert harness.controller.endpoints[1].ejected


def test_an_attempt_dispatched_before_an_enable_is_no_observation_of_the_endpoint() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("r", estimate_ns=MS)
    engine = harness.sends("r")[0].endpoint
    harness.do(api.AdministrativeChange(engine, True, harness.now))
    harness.now += S
    harness.do(api.AdministrativeChange(engine, False, harness.now))
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    assert not harness.controller.endpoints[engine].ejected
    assert harness.controller.avoided() == 0
