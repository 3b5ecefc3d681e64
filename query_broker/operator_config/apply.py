"""Applies the settings of an operators' file for deadlines, retries and the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..deadlines.retry_budget import RetryBudget, RetryBudgetSettings
from ..deadlines.settings import DeadlineSettings, Logs
from ..dispatch.deadline_controls import DEFAULT_ANSWER_MARGIN_NS, DeadlineControls
from ..dispatch.observers import DispatchObserver

if TYPE_CHECKING:
    from ..quotas.service import QuotaService
    from ..server.node import Node

PLAIN_LOG_FORMAT = "plain"


def apply_deadlines(controls: DeadlineControls, settings: DeadlineSettings) -> None:
    """Set how deadlines are counted.

    The latencies learned so far are kept unless the settings of the margin have changed.
    """
    controls.settings = settings
    if not settings.learn_margin:
        controls.stages = None
        controls.margin_ns = DEFAULT_ANSWER_MARGIN_NS
        return
    # Imported only if the operators' file enables the learned margin.
    from ..deadlines.stage_latencies import StageLatencies

    if controls.stages is None or controls.stages.settings != settings.margin:
        controls.stages = StageLatencies(settings.margin)
    controls.margin_ns = controls.stages.margin_ns


def apply_retry_budget(
    controls: DeadlineControls,
    settings: RetryBudgetSettings | None,
    quota_service: QuotaService | None,
) -> None:
    """Set the retry budget; its tokens are kept unless its settings have changed.

    Args:
        controls: Hold the retry budget that the dispatcher uses.
        settings: The settings of the retry budget; None removes it.
        quota_service: Shares the limit on retries between brokers, if the file declares one.
    """
    if settings is None:
        controls.retry_budget = None
    elif controls.retry_budget is None or controls.retry_budget.settings != settings:
        controls.retry_budget = RetryBudget(settings)
        gate_retries(controls, quota_service)


def gate_retries(controls: DeadlineControls, quota_service: QuotaService | None) -> None:
    """Make the retry budget observe the shared limit on retries, if both exist."""
    budget = controls.retry_budget
    if budget is not None and quota_service is not None and quota_service.has_retry_limit:
        budget.set_shared_limit(quota_service)


class LogFormat:
    """Switches a node between the plain log and a structured log with traces."""

    def __init__(self, node: Node) -> None:
        """Create the switch for a node, whose log is plain until ``apply`` is called."""
        self._node = node
        self._observer: DispatchObserver | None = None

    def apply(self, logs: Logs | None) -> None:
        """Set the format of the log; None stands for the plain format."""
        node = self._node
        node.log.sink = None
        if self._observer is not None:
            node.dispatcher.extensions.remove_observer(self._observer)
            self._observer = None
        if logs is None or logs.format == PLAIN_LOG_FORMAT:
            return
        # Imported only if the operators' file enables the structured log.
        from ..server.structured_log import StructuredLog, TraceObserver

        lines = StructuredLog(node.config.name, logs)
        node.log.sink = lines
        self._observer = TraceObserver(node.log, lines, node.clock)
        node.dispatcher.add_observer(self._observer)
