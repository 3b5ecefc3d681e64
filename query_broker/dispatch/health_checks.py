"""Health checks of endpoints, and their time-outs."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import NamedTuple

from ..decisions.facade import AttemptResult, HealthCheckResult
from ..timer_wheel import Clock, TimerWheel
from .context import DispatchContext
from .load_reports import parse_load_report
from .observers import DispatchExtensions

# The tag of a health check on the wire; the endpoint repeats it in its answer.
TAG_FORMAT = b"probe-%d"
# A timer that fires later than this shows a stall of this process.
STALL_NS = 50_000_000
# Time in which the event loop comes to its sockets after a stall.
AFTER_STALL_NS = 20_000_000


class PendingCheck(NamedTuple):
    """A health check that has no outcome yet; the start is in Unix nanoseconds."""

    endpoint: int
    started_ns: int


class HealthChecks:
    """Starts health checks and reports their outcomes.

    Attributes:
        pending: Health checks without an outcome, by the tag that the endpoint repeats.
    """

    def __init__(
        self,
        context: DispatchContext,
        clock: Clock,
        timer_wheel: TimerWheel,
        extensions: DispatchExtensions,
        numbers: Iterator[int],
    ) -> None:
        """Begin without health checks.

        ``numbers`` is the sequence that request ids are drawn from too, so that no tag equals one.
        """
        self._context = context
        self._clock = clock
        self._timer_wheel = timer_wheel
        self._extensions = extensions
        self._numbers = numbers
        self.pending: dict[bytes, PendingCheck] = {}

    def start(self, now_ns: int, endpoint: int) -> None:
        """Send a health check to an endpoint; its timeout is that of a connect."""
        tag = TAG_FORMAT % next(self._numbers)
        self.pending[tag] = PendingCheck(endpoint, now_ns)
        self._set_timer(now_ns + self._context.config.connect_timeout_ns, endpoint, tag)
        pool = self._context.pools.get(endpoint)
        if pool is not None:
            pool.send_health_check(tag, now_ns)

    def _set_timer(self, due_ns: int, endpoint: int, tag: bytes) -> None:
        self._timer_wheel.set_timer(due_ns, partial(self._time_out, endpoint, tag, due_ns))

    def _time_out(self, endpoint: int, tag: bytes, due_ns: int) -> None:
        """End a health check without an answer.

        After a stall of this process the timer is due before the loop comes to the sockets, where
        the answer may lie: to time out then would eject an endpoint that is well.
        """
        now_ns = self._clock.now()
        if tag in self.pending and now_ns - due_ns > STALL_NS:
            self._set_timer(now_ns + AFTER_STALL_NS, endpoint, tag)
            return
        pool = self._context.pools.get(endpoint)
        if pool is not None:
            pool.forget_health_check(tag)
        self.end(tag, AttemptResult.TIMEOUT, "")

    def end(self, tag: bytes, result: AttemptResult, load_text: str) -> None:
        """Report the outcome of a health check; nothing happens if it has one already."""
        check = self.pending.pop(tag, None)
        if check is None:
            return
        duration_ns = self._clock.now() - check.started_ns
        load = parse_load_report(load_text, self._context.log)
        self._context.report_event(HealthCheckResult(check.endpoint, result, duration_ns, load))
        for observer in self._extensions.observers:
            observer.health_check_ended(check.endpoint, result)
