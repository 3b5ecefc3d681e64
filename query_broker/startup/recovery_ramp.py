"""Drives the admission ramp of one start by the final answers to clients."""

from __future__ import annotations

from dataclasses import dataclass

from ..metrics import ERROR, SUCCESS
from ..server.host import NodeContext
from .admission_ramp import AdmissionRamp, retry_after_ns
from .dispatcher_hooks import DispatcherHooks
from .settings import StartupSettings


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Final answers to clients since the process began."""

    successes: int = 0
    failures: int = 0


class RecoveryRamp:
    """Steps the admission ramp, and accounts its closed part as outstanding work."""

    def __init__(
        self, node: NodeContext, settings: StartupSettings, hooks: DispatcherHooks, now_ns: int
    ) -> None:
        """Begin the ramp at ``now_ns``."""
        self._node = node
        self._hooks = hooks
        self._ramp = AdmissionRamp(settings, now_ns)
        self._ends_at_ns = now_ns + settings.ramp_ns
        self._counts_at_step = AnswerCounts()
        self._has_accounted = False

    def advance(self, now_ns: int) -> float:
        """Take a step if one is due, and return the open part of the admission."""
        counts = self._answer_counts()
        fraction_before = self._ramp.open_fraction
        stepped_before_ns = self._ramp.stepped_at_ns
        open_fraction = self._ramp.step(
            now_ns,
            counts.successes - self._counts_at_step.successes,
            counts.failures - self._counts_at_step.failures,
        )
        has_stepped = self._ramp.stepped_at_ns != stepped_before_ns
        if has_stepped:
            self._counts_at_step = counts
        # The endpoints' threads and bounds change, so each step accounts the work again.
        if has_stepped or not self._has_accounted or open_fraction != fraction_before:
            self._has_accounted = True
            self._hooks.account_assumed_work(open_fraction)
        return open_fraction

    def retry_after_ns(self, proposed_ns: int, now_ns: int, random_fraction: float) -> int:
        """Return the backoff that a rejected client is asked for, in nanoseconds."""
        limits = self._node.config.settings.limits
        max_ns = limits.max_retry_after_ns if limits.retry_after else 0
        return retry_after_ns(
            proposed_ns, max(0, self._ends_at_ns - now_ns), max_ns, random_fraction
        )

    def _answer_counts(self) -> AnswerCounts:
        replies = self._node.dispatcher.metrics_counts.replies.values()
        return AnswerCounts(
            successes=sum(counts[SUCCESS] for counts in replies),
            failures=sum(counts[ERROR] for counts in replies),
        )
