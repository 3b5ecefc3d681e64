"""Golden form of the metrics of deadlines."""

from __future__ import annotations

from query_broker.deadlines import metrics
from query_broker.deadlines.handover_checks import HandOver, HandOverStatistics, StopReason
from query_broker.deadlines.retry_budget import RetryBudget, RetryBudgetSettings
from query_broker.deadlines.settings import LatencyStage, MarginSettings
from query_broker.deadlines.stage_latencies import StageLatencies

from .expected_deadline_metrics import DEADLINE_METRICS, METRICS_WITHOUT_A_RETRY_BUDGET
from .nodes import NOW_NS

NS_PER_MS = 1_000_000
MARGIN_NS = 10 * NS_PER_MS


def test_metrics_of_deadlines() -> None:
    statistics = HandOverStatistics(
        cancels_confirmed=1, cancels_answered=2, cancels_sent=3, late_answers=4
    )
    for number, hand_over in enumerate(HandOver, 1):
        for reason in StopReason:
            statistics.stop_counts[hand_over, reason] = number
    for number, reason in enumerate(StopReason, 1):
        statistics.partial_write_counts[reason] = number
    latencies = StageLatencies(MarginSettings())
    for number, stage in enumerate(LatencyStage, 1):
        latencies.add("glance", stage, number * NS_PER_MS, NOW_NS)
    budget = RetryBudget(RetryBudgetSettings(), refused_count=6)
    text = metrics.render_deadline_metrics(statistics, latencies, MARGIN_NS, budget).decode()
    assert text == DEADLINE_METRICS


def test_metrics_of_deadlines_without_a_retry_budget() -> None:
    latencies = StageLatencies(MarginSettings())
    text = metrics.render_deadline_metrics(
        HandOverStatistics(), latencies, MARGIN_NS, None
    ).decode()
    assert text == METRICS_WITHOUT_A_RETRY_BUDGET
