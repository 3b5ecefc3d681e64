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
from ..support.sockets import Engine, connects_held_back, on_uvloop, platform_settings, until
from .recording_client import Outcome, RecordingClient, idempotent_class, parsed_request

pytestmark = pytest.mark.real_time

LIMITS_WITH_CANCELLATION = {**platform_settings()["policy_limits"], "cancel": True}


@on_uvloop
async def test_the_next_attempt_is_sent_only_after_the_cancel_transit_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The cancellation and the next attempt go to two engines, so their order of arrival is open.

    If the next attempt arrived first, two attempts of the request would run at once.
    """
    engines = [silent_engine(), silent_engine()]
    async with broker_with_engines(
        *engines, first_number=0, policy_limits=LIMITS_WITH_CANCELLATION
    ) as broker:
        dispatcher = broker.node.dispatcher
        clock = broker.node.clock
        request = dispatcher.submit(RecordingClient(), 1, parsed_request("glance"))
        await until(lambda: any(engine.commands_named(b"do") for engine in engines))
        now_ns = clock.now()
        monkeypatch.setattr(clock, "now", lambda: now_ns)
        dispatcher.cancellations.cancel_attempt(CancelAttempt(request.id, 0))
        await until(lambda: any(engine.commands_named(b"undo") for engine in engines))
        dispatcher.outcomes.report_deferred()
        assert list(request.attempts) == [0]
        assert request.attempts[0].stopped_by_broker
        now_ns += CANCEL_TRANSIT_NS
        dispatcher.outcomes.report_deferred()
        assert list(request.attempts) == [1]
        await until(lambda: all(engine.commands_named(b"do") for engine in engines))


@pytest.mark.parametrize("late", [False, True], ids=["within", "after"])
@on_uvloop
async def test_a_retry_with_an_idempotency_key_is_sent_only_within_its_window(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The retry is ordered within the window, then waits for a connection until after the window.

    Sent after the window, the query could run a second time.
    """
    window_ns = 600 * MS
    gate, dialled = connects_held_back(monkeypatch, first=1)  # the connection for the retry waits
    claim = idempotent_class(deadline_ns=20 * S, window_ns=window_ns)
    engines = [engine_that_answers(b"crashed"), engine_that_answers(b"crashed")]
    async with broker_with_engines(*engines, first_number=0, classes=[claim]) as broker:
        recorder = RecordingClient()
        broker.node.dispatcher.submit(recorder, 1, parsed_request("claim", idempotency_key="k1"))
        await until(lambda: len(dialled) == 2 and dialled[1].waiting_attempts)
        assert sum(len(engine.commands_named(b"do")) for engine in engines) == 1
        if late:
            broker.node.clock.unix_offset_ns += window_ns
        gate.set()
        assert await recorder.first_outcome() is Outcome.REJECTED  # both engines know the key
        assert sum(len(engine.commands_named(b"do")) for engine in engines) == 1 + (not late)


@on_uvloop
async def test_an_attempt_cancelled_while_its_connection_opens_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The attempt is reported as not sent at the next tick, and the next attempt follows.

    If the cancelled attempt were sent all the same, both attempts would run concurrently.
    """
    engine = Engine()
    gate, _ = connects_held_back(monkeypatch)
    async with broker_with_engines(engine, policy_limits=LIMITS_WITH_CANCELLATION) as broker:
        dispatcher = broker.node.dispatcher
        recorder = RecordingClient()
        request = dispatcher.submit(recorder, 1, parsed_request("glance"))
        pool = first_pool(broker)
        assert pool.waiting_attempts
        original_report = dispatcher.outcomes.report_deferred
        # Nothing is reported before the test restores the method, as if no tick came.
        monkeypatch.setattr(dispatcher.outcomes, "report_deferred", lambda: None)
        dispatcher.cancellations.cancel_attempt(CancelAttempt(request.id, 0))
        gate.set()
        await until(lambda: pool.connections and not pool.waiting_attempts)
        assert not engine.commands_named(b"do")
        monkeypatch.setattr(dispatcher.outcomes, "report_deferred", original_report)
        dispatcher.timer_wheel.wake_next_tick()
        assert await recorder.first_outcome() is Outcome.SERVED
        assert len(engine.commands_named(b"do")) == 1
