"""Metrics of deadlines in the Prometheus text format. Performs no I/O.

Dashboards depend on the names, labels and help texts, which therefore keep their older terms.
"""

from __future__ import annotations

from ..prometheus_text import metric_header, metrics_page, single_metric
from .handover_checks import HandOverStatistics
from .retry_budget import RetryBudget
from .stage_latencies import StageLatencies

PREFIX = "larchhall_"
NS_PER_S = 1e9


def render_deadline_metrics(
    statistics: HandOverStatistics,
    stages: StageLatencies,
    margin_ns: int,
    budget: RetryBudget | None,
) -> bytes:
    """Return the lines of all metrics of deadlines.

    Args:
        statistics: The counts of hand-over checks and cancellations.
        stages: The latencies of each stage.
        margin_ns: The margin in force.
        budget: The retry budget; None if operators set none.
    """
    lines = [
        *_hand_over_lines(statistics),
        *_cancellation_lines(statistics),
        *single_metric(
            f"{PREFIX}margin_seconds",
            "Kept of each request's time for its answer's way back.",
            "gauge",
            f"{margin_ns / NS_PER_S:.6f}",
        ),
    ]
    if budget is not None:
        lines += single_metric(
            f"{PREFIX}further_refused_total",
            "Further attempts that the budget did not allow.",
            "counter",
            budget.refused_count,
        )
    lines += stages.metrics_lines(PREFIX)
    return metrics_page(lines)


def _hand_over_lines(statistics: HandOverStatistics) -> list[str]:
    """Return the counts of attempts that were stopped, and of those that were partly written."""
    lines = metric_header(
        f"{PREFIX}taken_back_total",
        "Attempts stopped at a hand-over before a byte left.",
        "counter",
    )
    stop_counts = sorted(
        (hand_over.value, reason.value, count)
        for (hand_over, reason), count in statistics.stop_counts.items()
    )
    for hand_over, cause, count in stop_counts:
        lines.append(f'{PREFIX}taken_back_total{{at="{hand_over}",cause="{cause}"}} {count}')
    lines += metric_header(
        f"{PREFIX}begun_after_total", "Attempts half written when their request ended.", "counter"
    )
    partial_write_counts = sorted(
        (reason.value, count) for reason, count in statistics.partial_write_counts.items()
    )
    for cause, count in partial_write_counts:
        lines.append(f'{PREFIX}begun_after_total{{cause="{cause}"}} {count}')
    return lines


def _cancellation_lines(statistics: HandOverStatistics) -> list[str]:
    counters = (
        ("undone_total", "Running attempts that were undone.", statistics.cancels_sent),
        (
            "undone_stopped_total",
            "Of them, those that were silent from then on.",
            statistics.cancels_confirmed,
        ),
        (
            "undone_went_on_total",
            "Of them, those that answered all the same.",
            statistics.cancels_answered,
        ),
        ("answers_late_total", "Answers that came when nobody waited.", statistics.late_answers),
    )
    lines: list[str] = []
    for name, help_text, count in counters:
        lines += single_metric(f"{PREFIX}{name}", help_text, "counter", count)
    return lines
