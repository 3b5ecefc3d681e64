"""The latency of each stage of served requests, where operators have it recorded."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from typing import NamedTuple

from ..deadlines.settings import LatencyStage
from ..timer_wheel import Clock, TimerWheel
from .deadline_controls import DeadlineControls
from .requests import Attempt, Client


class WaitingAnswer(NamedTuple):
    """An answer that may not have left for its client yet."""

    client: Client
    class_name: str
    answered_ns: int


class StageTimer:
    """Records the stages of served requests.

    The answer's stage ends once its last byte has left; answers are checked each tick until then.

    Attributes:
        waiting: Answers that had not left completely at the last check.
    """

    def __init__(self, clock: Clock, timer_wheel: TimerWheel, controls: DeadlineControls) -> None:
        """Begin with no answers."""
        self._clock = clock
        self._timer_wheel = timer_wheel
        self._controls = controls
        self.waiting: list[WaitingAnswer] = []

    def record(self, attempt: Attempt, client: Client) -> None:
        """Record the stages up to the answer; nothing happens where stages are not recorded."""
        stages = self._controls.stages
        if stages is None:
            return
        request = attempt.request
        now_ns = self._clock.now()
        class_name = request.class_name.decode()
        marks_ns = (
            request.received_ns,
            request.accepted_ns,
            attempt.dispatched_ns,
            attempt.assigned_ns,
            attempt.written_ns,
            now_ns,
        )
        # The last stage, that of the answer, has no end yet.
        for stage, (begin_ns, end_ns) in zip(LatencyStage, pairwise(marks_ns), strict=False):
            stages.add(class_name, stage, end_ns - begin_ns, now_ns)
        self.waiting.append(WaitingAnswer(client, class_name, now_ns))
        self._timer_wheel.wake_next_tick()
        if len(self.waiting) == 1:
            asyncio.get_running_loop().call_soon(self.check_waiting)

    def check_waiting(self) -> None:
        """Record the answers that have left.

        One that has waited for its reader for longer than the limit for slow readers is recorded at
        its present age, so that a client that never reads does not keep it here forever.
        """
        now_ns = self._clock.now()
        answers = self.waiting
        self.waiting = []
        for answer in answers:
            age_ns = now_ns - answer.answered_ns
            is_expected = age_ns < self._controls.settings.slow_reader_timeout_ns
            if answer.client.unread_bytes() and is_expected:
                self.waiting.append(answer)
            elif self._controls.stages is not None:
                self._controls.stages.add(answer.class_name, LatencyStage.ANSWER, age_ns, now_ns)
