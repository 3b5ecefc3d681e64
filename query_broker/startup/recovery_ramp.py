"""The admission ramp of one start, fed with the dispatcher's answers."""

from __future__ import annotations

from dataclasses import dataclass

from ..metrics import ERROR, SUCCESS
from ..server.host import NodeContext
from .admission_ramp import AdmissionRamp, retry_after_ns
from .dispatcher_hooks import DispatcherHooks
from .settings import StartupSettings


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Answers that clients have got since the process began."""

    good: int = 0
    bad: int = 0


class RecoveryRamp:
    """Steps the admission ramp, and books what is not open yet."""

    def __init__(
        self, host: NodeContext, settings: StartupSettings, hooks: DispatcherHooks, now: int
    ) -> None:
        """Begin the ramp now."""
        self._host = host
        self._hooks = hooks
        self._ramp = AdmissionRamp(settings, now)
        self._ends_at_ns = now + settings.ramp_ns
        self._counted = AnswerCounts()
        self._booked = False

    def advance(self, now: int) -> float:
        """Take a step if it is time, and return the open part of the admission."""
        counts = self._answer_counts()
        fraction_before = self._ramp.open_fraction
        stepped_before = self._ramp.stepped_at_ns
        open_fraction = self._ramp.step(
            now, counts.good - self._counted.good, counts.bad - self._counted.bad
        )
        stepped = self._ramp.stepped_at_ns != stepped_before
        if stepped:
            self._counted = counts
        # The endpoints' threads and bounds change: each step books anew.
        if stepped or not self._booked or open_fraction != fraction_before:
            self._booked = True
            self._hooks.book_assumed_work(open_fraction)
        return open_fraction

    def retry_after_ns(self, proposed_ns: int, now: int, draw: float) -> int:
        """Return how long a rejected client is told to stay away, in nanoseconds."""
        limits = self._host.config.settings.limits
        max_ns = limits.max_retry_after_ns if limits.retry_after else 0
        return retry_after_ns(proposed_ns, max(0, self._ends_at_ns - now), max_ns, draw)

    def _answer_counts(self) -> AnswerCounts:
        replies = self._host.dispatcher.metrics_counts.replies.values()
        return AnswerCounts(
            good=sum(counts[SUCCESS] for counts in replies),
            bad=sum(counts[ERROR] for counts in replies),
        )
