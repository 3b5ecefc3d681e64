"""No request is lost: each gets one final answer, in time."""

from __future__ import annotations

from query_broker import decisions as api

from ..support.helpers import TICK, Harness, S, entry, make_settings, query_class
from .harness_steps import non_idempotent_harness


def test_request_with_a_hanging_attempt_is_answered_before_its_deadline() -> None:
    harness = non_idempotent_harness(entry(1))
    harness.arrive("r", patience=2 * S)
    start = harness.now
    harness.pass_time(3 * S)
    times = [at_ns for at_ns, order in harness.log if isinstance(order, api.Fail)]
    assert len(times) == 1
    assert start + S < times[0] <= start + 2 * S


def test_request_queued_behind_a_key_is_answered() -> None:
    harness = Harness(
        make_settings(query_class(ordered_by_key=True, effect=api.Effect.NON_IDEMPOTENT)), entry(1)
    )
    harness.arrive("first", key="k", patience=5 * S)
    harness.arrive("queued", key="k", patience=2 * S)
    harness.pass_time(2 * S)
    assert not harness.sends("queued")
    assert len(harness.answers("queued")) == 1
    harness.pass_time(4 * S)
    assert len(harness.answers("queued")) == 1


def test_request_without_time_left_is_answered_at_once() -> None:
    harness = Harness(make_settings(query_class(ordered_by_key=True)), entry(1))
    for index, time_left_ns in enumerate((0, -5, TICK)):
        harness.arrive(f"r{index}", patience=time_left_ns, key="k")
        assert len(harness.answers(f"r{index}")) == 1
        assert not harness.sends(f"r{index}")


def test_nothing_is_dispatched_after_the_final_answer() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("r", patience=S)
    harness.pass_time(2 * S)
    assert len(harness.answers("r")) == 1
    sends = len(harness.sends("r"))
    harness.end("r", api.AttemptResult.CONNECT_FAILED, finished=True)
    harness.do(api.RequestAbandoned("r"))
    assert len(harness.sends("r")) == sends
    assert len(harness.answers("r")) == 1


def test_unknown_events_are_ignored() -> None:
    harness = Harness(make_settings(), entry(1))
    assert harness.do(api.RequestAbandoned("nobody")) == []
    assert harness.do(api.TimerFired(999)) == []
    assert harness.do(api.AttemptEnded("nobody", 0, 1, api.AttemptResult.SERVED, 1, True)) == []
    assert harness.do(api.AttemptProgress("nobody", 0, 1, api.ProgressKind.PROGRESS, 0.5)) == []
