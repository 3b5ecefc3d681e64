"""Attempts that are cancelled, or whose window ends, while they wait for a connection."""

from __future__ import annotations

import pytest

from query_broker.decisions.facade import CancelAttempt
from query_broker.dispatch.attempt_outcomes import CANCEL_TRANSIT_NS

from ..protocols.scripted_engines import (
    broker_with_engines,
    engine_that_answers,
    first_pool,
    silent_engine,
)
from ..support.helpers import MS, S
from ..support.sockets import Engine, gated, on_uvloop, platform_settings, until
from .recording_client import Outcome, RecordingClient, idempotent_class, parsed_request

pytestmark = pytest.mark.real_time

LIMITS_WITH_CANCELLATION = {**platform_settings()["policy_limits"], "cancel": True}


@on_uvloop
async def test_an_undo_has_time_to_arrive_before_the_next_attempt_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They go to two engines: nothing orders them, and two attempts would be in flight at once."""
    engines = [silent_engine(), silent_engine()]
    async with broker_with_engines(
        *engines, first_number=0, policy_limits=LIMITS_WITH_CANCELLATION
    ) as rig:
        broker = rig.node.dispatcher
        clock = rig.node.clock
        request = broker.submit(RecordingClient(), 1, parsed_request("glance"))
        await until(lambda: any(engine.commands_named(b"do") for engine in engines))
        now_ns = clock.now()
        monkeypatch.setattr(clock, "now", lambda: now_ns)
        broker.cancellations.cancel_attempt(CancelAttempt(request.id, 0))
        await until(lambda: any(engine.commands_named(b"undo") for engine in engines))
        broker.outcomes.report_deferred()
        assert list(request.attempts) == [0]
        assert request.attempts[0].stopped_by_broker
        now_ns += CANCEL_TRANSIT_NS
        broker.outcomes.report_deferred()
        assert list(request.attempts) == [1]
        await until(lambda: all(engine.commands_named(b"do") for engine in engines))


@pytest.mark.parametrize("late", [False, True], ids=["within", "after"])
@on_uvloop
async def test_a_keyed_retry_leaves_within_its_window_or_not_at_all(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Decided on within the window, it waits for a slow connection and could leave after it."""
    window_ns = 600 * MS
    gate, dialled = gated(monkeypatch, first=1)  # the one for the retry waits
    claim = idempotent_class(deadline_ns=20 * S, window_ns=window_ns)
    engines = [engine_that_answers(b"crashed"), engine_that_answers(b"crashed")]
    async with broker_with_engines(*engines, first_number=0, classes=[claim]) as rig:
        recorder = RecordingClient()
        rig.node.dispatcher.submit(recorder, 1, parsed_request("claim", idempotency_key="k1"))
        await until(lambda: len(dialled) == 2 and dialled[1].waiting_attempts)
        assert sum(len(engine.commands_named(b"do")) for engine in engines) == 1
        if late:
            rig.node.clock.anchor += window_ns
        gate.set()
        assert await recorder.first_outcome() is Outcome.REJECTED  # its engines all know the key
        assert sum(len(engine.commands_named(b"do")) for engine in engines) == 1 + (not late)


@on_uvloop
async def test_an_attempt_cancelled_as_its_connection_comes_up_is_not_dispatched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is reported as never sent with the next tick, and would run concurrently with the attempt
    that follows.
    """
    engine = Engine()
    gate, _ = gated(monkeypatch)
    async with broker_with_engines(engine, policy_limits=LIMITS_WITH_CANCELLATION) as rig:
        broker = rig.node.dispatcher
        recorder = RecordingClient()
        request = broker.submit(recorder, 1, parsed_request("glance"))
        pool = first_pool(rig)
        assert pool.waiting_attempts
        report = broker.outcomes.report_deferred
        # The next tick is still to come.
        monkeypatch.setattr(broker.outcomes, "report_deferred", lambda: None)
        broker.cancellations.cancel_attempt(CancelAttempt(request.id, 0))
        gate.set()
        await until(lambda: pool.connections and not pool.waiting_attempts)
        assert not engine.commands_named(b"do")
        monkeypatch.setattr(broker.outcomes, "report_deferred", report)
        broker.timer_wheel.wake_next_tick()
        assert await recorder.first_outcome() is Outcome.SERVED
        assert len(engine.commands_named(b"do")) == 1
