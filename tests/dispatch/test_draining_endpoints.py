"""A draining endpoint beside ejected ones."""

from __future__ import annotations

from query_broker import decisions as api

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class


def test_ejected_endpoints_get_trials_beside_a_healthy_draining_endpoint() -> None:
    """If all endpoints are ejected, all of them get trials.

    A healthy draining endpoint must not prevent that, since it gets no requests itself.
    """
    harness = Harness(make_settings(query_class(deadline_ns=60 * S)), entry(1), entry(2), entry(3))
    harness.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(3, state=api.EndpointState.DRAINING),)
        )
    )
    for number in (1, 2):
        harness.controller.outlier_detector.set_ejected(
            harness.now, harness.controller.endpoints[number], True
        )
        harness.controller.endpoints[number].next_trial_ns = harness.now + 9 * S
    harness.arrive("r", estimate_ns=40 * MS)
    assert harness.sends("r")[0].endpoint in (1, 2)
