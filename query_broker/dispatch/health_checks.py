"""Health checks of endpoints, and their timeouts."""

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
# A timer that fires later than this after its due time indicates a stall of this process.
STALL_THRESHOLD_NS = 50_000_000
# Time that the event loop gets to read its sockets after a stall.
READ_TIME_AFTER_STALL_NS = 20_000_000


class PendingCheck(NamedTuple):
    """A health check without an outcome; ``started_ns`` is in Unix nanoseconds."""

    endpoint: int
    started_ns: int


class HealthChecks:
    """Starts health checks and reports their outcomes.

    Attributes:
        pending_checks: Health checks without an outcome, by tag.
    """

    def __init__(
        self,
        context: DispatchContext,
        clock: Clock,
        timer_wheel: TimerWheel,
        extensions: DispatchExtensions,
        id_sequence: Iterator[int],
    ) -> None:
        """Start without health checks.

        ``id_sequence`` also numbers the requests, so that no tag equals a request id.
        """
        self._context = context
        self._clock = clock
        self._timer_wheel = timer_wheel
        self._extensions = extensions
        self._id_sequence = id_sequence
        self.pending_checks: dict[bytes, PendingCheck] = {}

    def start(self, now_ns: int, endpoint: int) -> None:
        """Send a health check to an endpoint; its timeout is the connect timeout."""
        tag = TAG_FORMAT % next(self._id_sequence)
        self.pending_checks[tag] = PendingCheck(endpoint, now_ns)
        self._set_timer(now_ns + self._context.config.connect_timeout_ns, endpoint, tag)
        pool = self._context.pools.get(endpoint)
        if pool is not None:
            pool.send_health_check(tag, now_ns)

    def _set_timer(self, due_ns: int, endpoint: int, tag: bytes) -> None:
        self._timer_wheel.set_timer(due_ns, partial(self._time_out, endpoint, tag, due_ns))

    def _time_out(self, endpoint: int, tag: bytes, due_ns: int) -> None:
        """End a health check that has not been answered in time.

        After a stall of this process the timer fires before the event loop reads the sockets, where
        the answer may already wait. A timeout would then eject a healthy endpoint.
        """
        now_ns = self._clock.now()
        if tag in self.pending_checks and now_ns - due_ns > STALL_THRESHOLD_NS:
            self._set_timer(now_ns + READ_TIME_AFTER_STALL_NS, endpoint, tag)
            return
        pool = self._context.pools.get(endpoint)
        if pool is not None:
            pool.forget_health_check(tag)
        self.end(tag, AttemptResult.TIMEOUT, "")

    def end(self, tag: bytes, result: AttemptResult, load_text: str) -> None:
        """Report the outcome of a health check, unless it has already been reported."""
        check = self.pending_checks.pop(tag, None)
        if check is None:
            return
        duration_ns = self._clock.now() - check.started_ns
        load = parse_load_report(load_text, self._context.log)
        self._context.report_event(HealthCheckResult(check.endpoint, result, duration_ns, load))
        for observer in self._extensions.observers:
            observer.health_check_ended(check.endpoint, result)
