"""Draining, slow start and placement: which endpoints may get a request, and how much work."""

from __future__ import annotations

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class
from .harness_steps import change_list


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_no_dispatch_to_a_draining_or_removed_endpoint(state: api.EndpointState) -> None:
    harness = Harness(make_settings(query_class(ordered_by_key=True)), entry(1))
    harness.arrive("first", key="k")
    harness.arrive("queued", key="k")
    change_list(harness, entry(1, state=state))
    harness.now += 2 * S
    harness.end("first", api.AttemptResult.CONNECT_FAILED)
    harness.arrive("new")
    assert len(harness.sends("first")) == 1
    assert not harness.sends("queued")
    assert not harness.sends("new")
    assert len(harness.answers("queued")) == 1


def test_endpoint_missing_from_a_full_list_is_removed() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("busy")
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.FULL, ()))
    harness.arrive("new")
    assert not harness.sends("new")
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.FAILED))
    change_list(harness, entry(1), entry(1))
    harness.arrive("again")
    assert harness.sends("again")[0].endpoint == 1


@pytest.mark.parametrize("fleet_size", [1, 3])
def test_work_in_any_window_stays_within_the_slow_start_budget(fleet_size: int) -> None:
    settings = make_settings(fleet_size=fleet_size)
    started_ns = 99 * S
    harness = Harness(settings, entry(1, started_ns=started_ns))
    rules = settings.contract
    budget = rules.overload_multiple * 4 * rules.overload_window_ns / fleet_size
    work_ns = 50 * MS
    dispatch_times: list[int] = []
    for index in range(400):
        harness.arrive(f"r{index}", estimate_ns=work_ns)
        if harness.sends(f"r{index}"):
            dispatch_times.append(harness.now)
            harness.end(f"r{index}", api.AttemptResult.SERVED, latency=work_ns)
        harness.now += 10 * MS
    assert len(dispatch_times) > 5
    initial = rules.warmup_initial_capacity
    for end_ns in dispatch_times:
        begin_ns = end_ns - rules.overload_window_ns
        work_in_window = sum(work_ns for at_ns in dispatch_times if begin_ns < at_ns <= end_ns)
        assert work_in_window <= initial * budget  # even if the ramp has not begun
        ramp = initial + (1 - initial) * (end_ns - started_ns) / rules.warmup_ns
        assert work_in_window * 2 <= ramp * budget


def test_a_restart_is_recognised_by_its_start_time() -> None:
    harness = Harness(make_settings(), entry(1))
    change_list(harness, entry(1, started_ns=harness.now - S))
    harness.arrive("large", estimate_ns=20 * S, patience=99 * S)
    assert not harness.sends("large")
    harness.now += 10 * S
    harness.arrive("later", estimate_ns=20 * S, patience=99 * S)
    assert harness.sends("later")


def test_slow_start_budget_grows_during_the_warmup() -> None:
    """While all engines warm up after a release, a constant budget would leave them idle.

    The work of a window must also stay below a sixth of the limit of a warm endpoint.
    """
    admitted_work = []
    for age in (0, 5 * S, 9 * S):
        harness = Harness(make_settings(fleet_size=2), entry(1, started_ns=100 * S - age))
        endpoint = harness.controller.endpoints[1]
        rules = harness.controller.active_settings.contract
        for index in range(2_000):
            harness.arrive(f"r{index}", estimate_ns=10 * MS)
            if harness.sends(f"r{index}"):
                harness.end(f"r{index}", api.AttemptResult.SERVED, latency=10 * MS)
        admitted_work.append(endpoint.warmup_work.sum_at(harness.now))
        assert (
            2 * admitted_work[-1]
            <= rules.overload_multiple * endpoint.cores * rules.overload_window_ns / 3
        )
    assert admitted_work[0] < admitted_work[1] < admitted_work[2]
    assert admitted_work[2] > 2 * admitted_work[0]


def test_placement_is_respected_at_every_attempt() -> None:
    bound = query_class("bound", allowed_kinds=("big",))
    harness = Harness(make_settings(query_class(), bound), entry(1, kind="big"), entry(2))
    harness.arrive("r", "bound")
    assert [dispatch.endpoint for dispatch in harness.sends("r")] == [1]
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    assert all(dispatch.endpoint == 1 for dispatch in harness.sends("r"))
    change_list(harness, entry(1, kind="big", state=api.EndpointState.REMOVED))
    harness.arrive("unplaced", "bound")
    assert not harness.sends("unplaced")
    assert harness.answers("unplaced")
