"""The decisions when settings change: requests in flight, estimates and bounds."""

from __future__ import annotations

import pytest

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def test_requests_in_flight_keep_their_effect_and_new_requests_use_the_new_one() -> None:
    """Otherwise an idempotent request would be failed, or a non-idempotent one retried."""
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


def test_a_lower_attempt_limit_stops_retries_and_requests_of_a_removed_class_are_rejected() -> None:
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


def test_a_kept_class_keeps_its_estimates_and_bounds_scale_with_the_latency_objective() -> None:
    harness = Harness(make_settings(tenants=(api.Tenant("a", 4.0),)), entry(1))
    harness.arrive("r", estimate_ns=100 * MS, tenant="a")
    harness.end("r", api.AttemptResult.SERVED, latency=300 * MS)
    class_state = harness.controller.admission.classes.by_name["short"]
    endpoint = harness.controller.endpoints[1]
    estimates = (class_state.log_bias, class_state.slowdown)
    bound = endpoint.bound_ns
    tokens = harness.controller.admission.quotas.buckets["a"].tokens
    tenants = (api.Tenant("a", 4.0),)
    classes = (query_class(), query_class("more", latency_objective_ns=S))
    harness.do(api.SettingsChanged(make_settings(*classes, tenants=tenants)))
    class_state_after = harness.controller.admission.classes.by_name["short"]
    assert (class_state_after.log_bias, class_state_after.slowdown) == estimates
    assert harness.controller.admission.quotas.buckets["a"].tokens == tokens
    assert endpoint.bound_ns == 2 * bound  # the longest latency objective has doubled
