"""The decisions when settings change: requests in flight, estimates and bounds."""

from __future__ import annotations

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def test_a_request_in_flight_keeps_its_class_and_a_new_one_follows_the_new_effect() -> None:
    """Otherwise an idempotent request is failed, or one that must not run twice is retried."""
    idempotent = query_class()
    non_idempotent = query_class(effect=api.Effect.NON_IDEMPOTENT)
    for before, after in ((idempotent, non_idempotent), (non_idempotent, idempotent)):
        harness = Harness(make_settings(before), entry(1))
        harness.arrive("old", estimate_ns=MS)
        harness.do(api.SettingsChanged(make_settings(after)))
        harness.arrive("new", estimate_ns=MS)
        for request, request_class in (("old", before), ("new", after)):
            harness.end(request, api.AttemptResult.RESET, finished=False)
            is_failed = api.Fail(request) in harness.answers(request)
            assert is_failed is (request_class is non_idempotent)
            assert request_class is idempotent or len(harness.sends(request)) == 1


def test_fewer_attempts_stop_retries_only_and_a_removed_class_ends_its_requests_well() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("r", estimate_ns=MS)
    limits = api.Limits(max_attempts=1, max_retry_after_ns=S)
    harness.do(api.SettingsChanged(make_settings(query_class("other"), limits=limits)))
    harness.end("r", api.AttemptResult.FULL)
    assert len(harness.sends("r")) == 1
    assert isinstance(harness.answers("r")[0], api.Reject)
    with pytest.raises(ValueError, match="class_name"):
        harness.arrive("s")
    harness.arrive("t", "other", estimate_ns=MS)
    assert harness.sends("t")


def test_a_class_that_stays_keeps_its_estimates_and_bounds_keep_their_ratio() -> None:
    harness = Harness(make_settings(tenants=(api.Tenant("a", 4.0),)), entry(1))
    harness.arrive("r", estimate_ns=100 * MS, tenant="a")
    harness.end("r", api.AttemptResult.SERVED, latency=300 * MS)
    view = harness.controller.admission.classes.by_name["short"]
    engine = harness.controller.endpoints[1]
    learned = (view.log_bias, view.slowdown)
    bound = engine.bound_ns
    tokens = harness.controller.admission.quotas.buckets["a"].tokens
    tenants = (api.Tenant("a", 4.0),)
    classes = (query_class(), query_class("more", latency_objective_ns=S))
    harness.do(api.SettingsChanged(make_settings(*classes, tenants=tenants)))
    view_after = harness.controller.admission.classes.by_name["short"]
    assert (view_after.log_bias, view_after.slowdown) == learned
    assert harness.controller.admission.quotas.buckets["a"].tokens == tokens
    assert engine.bound_ns == 2 * bound  # the longest latency objective has doubled
