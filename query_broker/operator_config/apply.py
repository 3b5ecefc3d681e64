"""Applies the parts of an operators' file that concern deadlines, retries and the log."""

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

    The latencies learned so far are kept if the settings of the margin have not changed.
    """
    controls.settings = settings
    if not settings.learn_margin:
        controls.stages = None
        controls.margin_ns = DEFAULT_ANSWER_MARGIN_NS
        return
    # Loaded only where operators ask for a learned margin.
    from ..deadlines.stage_latencies import StageLatencies

    if controls.stages is None or controls.stages.settings != settings.margin:
        controls.stages = StageLatencies(settings.margin)
    controls.margin_ns = controls.stages.margin_ns


def apply_retry_budget(
    controls: DeadlineControls,
    settings: RetryBudgetSettings | None,
    quota_service: QuotaService | None,
) -> None:
    """Set the retry budget; its tokens are kept if its settings have not changed.

    Args:
        controls: Hold the budget that the dispatcher uses.
        settings: None removes the budget.
        quota_service: Limits retries of all brokers, if operators declare such a limit.
    """
    if settings is None:
        controls.retry_budget = None
    elif controls.retry_budget is None or controls.retry_budget.settings != settings:
        controls.retry_budget = RetryBudget(settings)
        gate_retries(controls, quota_service)


def gate_retries(controls: DeadlineControls, quota_service: QuotaService | None) -> None:
    """Connect the shared limit on retries to the retry budget, if both exist."""
    budget = controls.retry_budget
    if budget is not None and quota_service is not None and quota_service.has_retry_limit:
        budget.set_gate(quota_service)


class LogFormat:
    """Switches a node between the plain log and structured lines with traces."""

    def __init__(self, node: Node) -> None:
        """Create the switch of one node, whose log is plain until ``apply`` is called."""
        self._node = node
        self._observer: DispatchObserver | None = None

    def apply(self, logs: Logs | None) -> None:
        """Set the format of the log; None is the plain one."""
        node = self._node
        node.log.sink = None
        if self._observer is not None:
            node.dispatcher.extensions.remove_observer(self._observer)
            self._observer = None
        if logs is None or logs.format == PLAIN_LOG_FORMAT:
            return
        # Loaded only where operators ask for structured lines.
        from ..server.structured_log import StructuredLog, TraceObserver

        lines = StructuredLog(node.config.name, logs)
        node.log.sink = lines
        self._observer = TraceObserver(node.log, lines, node.clock)
        node.dispatcher.add_observer(self._observer)
