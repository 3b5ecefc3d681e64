"""Recording of the latency of each stage of served requests, if operators have enabled it."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from typing import NamedTuple

from ..deadlines.settings import LatencyStage
from ..timer_wheel import Clock, TimerWheel
from .deadline_controls import DeadlineControls
from .requests import Attempt, Client


class UnsentAnswer(NamedTuple):
    """An answer of which some bytes may still wait to be sent to the client."""

    client: Client
    class_name: str
    answered_ns: int


class StageTimer:
    """Records the stages of served requests.

    The stage of the answer ends once its last byte has been sent. Until then the answer is checked
    at each tick.

    Attributes:
        unsent_answers: Answers that had not been sent completely at the last check.
    """

    def __init__(self, clock: Clock, timer_wheel: TimerWheel, controls: DeadlineControls) -> None:
        """Start without answers."""
        self._clock = clock
        self._timer_wheel = timer_wheel
        self._controls = controls
        self.unsent_answers: list[UnsentAnswer] = []

    def record(self, attempt: Attempt, client: Client) -> None:
        """Record the stages before the answer; does nothing if stages are not recorded."""
        stages = self._controls.stages
        if stages is None:
            return
        request = attempt.request
        now_ns = self._clock.now()
        class_name = request.class_name.decode()
        stage_bounds_ns = (
            request.received_ns,
            request.accepted_ns,
            attempt.dispatched_ns,
            attempt.assigned_ns,
            attempt.written_ns,
            now_ns,
        )
        # The last stage, ANSWER, has not ended yet.
        for stage, (begin_ns, end_ns) in zip(LatencyStage, pairwise(stage_bounds_ns), strict=False):
            stages.add(class_name, stage, end_ns - begin_ns, now_ns)
        self.unsent_answers.append(UnsentAnswer(client, class_name, now_ns))
        self._timer_wheel.wake_next_tick()
        if len(self.unsent_answers) == 1:
            asyncio.get_running_loop().call_soon(self.check_unsent_answers)

    def check_unsent_answers(self) -> None:
        """Record the answers that have been sent completely.

        An answer that the client has not read within the timeout for slow readers is recorded with
        its present age, so that a client that never reads does not keep it here forever.
        """
        now_ns = self._clock.now()
        answers = self.unsent_answers
        self.unsent_answers = []
        for answer in answers:
            age_ns = now_ns - answer.answered_ns
            is_within_timeout = age_ns < self._controls.settings.slow_reader_timeout_ns
            if answer.client.unread_bytes() and is_within_timeout:
                self.unsent_answers.append(answer)
            elif self._controls.stages is not None:
                self._controls.stages.add(answer.class_name, LatencyStage.ANSWER, age_ns, now_ns)
